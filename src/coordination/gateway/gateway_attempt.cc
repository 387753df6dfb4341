// The attempts of one request: choosing a replica, and retrying or refusing
// when an attempt fails.
#include <algorithm>
#include <utility>

#include "coordination/gateway/gateway_impl.h"
#include "text.h"

namespace acaciachute {

bool Gateway::Impl::IsEngine(const ServingRequest& request) const {
  const Service* service = request.config->FindService(request.service);
  return service != nullptr && service->engine.has_value();
}

const ReplicaEntry* Gateway::Impl::ChooseReplica(ServingRequest* request) {
  const TimeUs now = output->Now();
  // A request probes at most one replica: where many ended at once, all of its
  // tries would go to such, and it would be refused though others are free.
  const bool may_probe = request->route->MayRepeat() && request->tried.empty();
  const std::vector<ReplicaId> excluded = ExcludedReplicas(*request);
  if (IsEngine(*request)) {
    return engines.Choose(now, request->service, request->ForEngine(), excluded,
                          may_probe);
  }
  return PlainChoiceOf(request->service)
      .Choose(now, request->service, options.domain, excluded, may_probe);
}

std::vector<ReplicaId> Gateway::Impl::ExcludedReplicas(
    const ServingRequest& request) {
  std::vector<ReplicaId> excluded = request.tried;
  if (request.route->kind != RouteKind::kStream) {
    return excluded;
  }
  const TimeUs now = output->Now();
  std::vector<ReplicaId> uncertain;
  const auto& replicas = directory->Of(request.service);
  for (const ReplicaEntry* it : replicas) {
    const ServiceVersion version = {it->service, it->version};
    if (!version_ledger.MayBegin(now, version)) {
      version_ledger.NeedAtOnce(now, version);
    }
    if (!MayServe(request, *it)) {
      excluded.push_back(it->id);
    } else if (version_doubts.InDoubt(it->id) ||
               !version_ledger.IsRecorded(version)) {
      uncertain.push_back(it->id);
    }
  }
  // A stream that begins there can't be taken up, or, after all gateways have
  // ended, is taken for one of a version that has a record. Others go first.
  if (excluded.size() + uncertain.size() < replicas.size()) {
    excluded.insert(excluded.end(), uncertain.begin(), uncertain.end());
  }
  return excluded;
}

bool Gateway::Impl::AnyVersionIsRecorded(const ServingRequest& request) const {
  const auto& replicas = directory->Of(request.service);
  return request.route->kind != RouteKind::kStream || replicas.empty() ||
         std::any_of(replicas.begin(), replicas.end(),
                     [&](const ReplicaEntry* it) {
                       return version_ledger.MayBegin(
                           output->Now(), {it->service, it->version});
                     });
}

bool Gateway::Impl::MayServe(const ServingRequest& request,
                             const ReplicaEntry& replica) const {
  return HasVersionFor(request, replica) &&
         (request.route->kind != RouteKind::kStream ||
          version_ledger.MayBegin(output->Now(),
                                  {replica.service, replica.version}));
}

bool Gateway::Impl::CanGoOn(const ServingRequest& request) const {
  if (!request.stream_version) {
    return true;
  }
  const auto& replicas = directory->Of(request.service);
  return std::any_of(
      replicas.begin(), replicas.end(), [&](const ReplicaEntry* it) {
        return HasVersionFor(request, *it) &&
               std::find(request.tried.begin(), request.tried.end(), it->id) ==
                   request.tried.end();
      });
}

void Gateway::Impl::StartAttempt(ServingRequest* request) {
  if (request->body_released) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     "memory was short, and its body is gone"});
    return;
  }
  const bool may_send = request->sends < kMaxReplicasPerRequest;
  const ReplicaEntry* replica = may_send ? ChooseReplica(request) : nullptr;
  if (replica == nullptr && may_send && !LimitedReplicas(*request).empty()) {
    const auto turn = NextTurn(*request);
    if (turn && *turn <= LatestTurn(*request)) {
      AwaitLimitedReplica(request);
    } else {
      Refuse(request, NoTurn(*request, turn));
    }
    return;
  }
  if (replica == nullptr && may_send && !AnyVersionIsRecorded(*request)) {
    AwaitLimitedReplica(request);  // A record takes a round trip to the store.
    return;
  }
  if (replica == nullptr) {
    const bool listed = !directory->Of(request->service).empty();
    Refuse(request,
           {listed ? Refusal::kFull : Refusal::kNoReplica, Verdict::kNotRun, 0,
            StrCat(request->sends, " replicas asked")});
    return;
  }
  SendTo(request, *replica);
}

bool Gateway::Impl::ReserveAttempt(ServingRequest* request,
                                   RetryReason reason) {
  if (request->arrivals > 0 && !request->retry_reserved) {
    request->retry_reserved =
        ServiceBudget(request->service)
            .TryUse(output->Now(), {reason, request->call.id});
    return request->retry_reserved;
  }
  return true;
}

void Gateway::Impl::ReturnReservedRetries(ServingRequest* request) {
  if (std::exchange(request->retry_reserved, false)) {
    ServiceBudget(request->service).OnNotSent();
  }
  ReturnReservedPieces(request);
}

// The only place that sends requests to replicas.
void Gateway::Impl::SendTo(ServingRequest* request,
                           const ReplicaEntry& replica) {
  if (LocalReply refusal;
      IsTooLate(*request, &refusal) || IsBlocked(request, &refusal)) {
    Refuse(request, std::move(refusal));
    return;
  }
  if (!MaySendInDoubt(request)) {
    AwaitTrial(request);
    return;
  }
  if (!ReserveAttempt(request, RetryReason::kNotRun)) {
    Refuse(request,
           {Refusal::kFull, Verdict::kNotRun, 0, "the retry budget is spent"});
    return;
  }
  const TimeUs now = output->Now();
  AttemptRequest attempt_request;
  attempt_request.call = &request->call;
  attempt_request.replica = replica.id;
  attempt_request.address = replica.address;
  attempt_request.time_left = request->deadline_at - now;
  attempt_request.account =
      request->account != nullptr ? request->account->name : "";
  attempt_request.inputs = request->progress.FinalResults();
  attempt_request.resume_after = request->resume_after;
  attempt_request.may_repeat = request->route->MayRepeat();
  attempt_request.max_idle_connections = MaxIdleConnections(*request);
  ReplicaWork work;
  if (IsEngine(*request)) {
    attempt_request.priority = request->priority;
    work = engines.WorkFor(now, replica, request->ForEngine());
    engines.OnSent(replica.id, request->ForEngine());
  } else {
    work = PlainChoiceOf(request->service).WorkFor(now, replica);
    PlainChoiceOf(request->service).OnSent(now, replica.id);
  }
  capacity.OnSent(replica.id);
  replica_rate_limiter.OnSent(replica);
  replica_rate_limiter.rests().OnSent(now, replica.id);
  request->tried.push_back(replica.id);
  ++request->sends;
  ++request->arrivals;
  request->attempt = {};
  request->attempt.retry_in_transit =
      std::exchange(request->retry_reserved, false);
  request->attempt.replica = replica;
  request->attempt.work = work;
  request->attempt.sent_at = now;
  request->attempt.replica_list_age = directory->Age(now);
  metrics->Observe("acaciachute_gateway_replica_list_age_seconds",
                   request->service, request->attempt.replica_list_age);
  request->attempt.call = output->Send(attempt_request);
  by_call[request->attempt.call] = request;
  AwaitStart(request);
}

std::optional<std::size_t> Gateway::Impl::MaxIdleConnections(
    const ServingRequest& request) const {
  const Service* service = request.config->FindService(request.service);
  if (service == nullptr || service->max_connections == 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(
      kIdleConnectionShare * static_cast<double>(service->max_connections) /
      static_cast<double>(gateway_count));
}

bool Gateway::Impl::MayRetry(ServingRequest* request) const {
  // Without the id of the last event that was passed on, another replica cannot
  // tell where to go on, and the client would receive events twice. Without its
  // version, none is known to go on as it began.
  const bool cannot_resume =
      request->events.complete_events() > 0 &&
      (!request->events.last_event_id() || !request->stream_version);
  return request->route->MayRepeat() && !cannot_resume &&
         !request->body_released && !MayCrashReplicas(request) &&
         request->possible_runs < request->route->max_attempts &&
         request->sends < kMaxReplicasPerRequest &&
         output->Now() < request->deadline_at;
}

// Retries a request that certainly did not run: the replica said so, or no byte
// of the request was sent.
void Gateway::Impl::OnNotRun(ServingRequest* request) {
  const Attempt& attempt = request->attempt;
  constexpr int kConflict = 409;
  const int status = attempt.head ? attempt.head->status : 0;
  log->Write("not_run", {{"id", request->call.id},
                         {"replica", attempt.replica.id.name},
                         {"status", status}});
  if (status == kConflict) {
    request->tried.clear();
    request->sends = 0;
    if (!ReserveAttempt(request, RetryReason::kNotRun)) {
      Refuse(request,
             {Refusal::kFull, Verdict::kNotRun, 0,
              "the replica found a result gone, and the retry budget is "
              "spent"});
      return;
    }
    RemakeInputs(request, std::nullopt, "the replica found a result gone");
    return;
  }
  if (replica_rate_limiter.rests().IsResting(output->Now(),
                                             attempt.replica.id)) {
    std::erase(request->tried, attempt.replica.id);
  }
  if (!ReserveAttempt(request, RetryReason::kNotRun)) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     "the replica refused, and the retry budget is spent"});
    return;
  }
  metrics->Count("acaciachute_gateway_retries_total", "not_run");
  StartAttempt(request);
}

void Gateway::Impl::OnMayHaveRun(ServingRequest* request,
                                 std::string_view why) {
  ++request->possible_runs;
  log->Write("lost", {{"id", request->call.id},
                      {"fingerprint", FingerprintOf(request)},
                      {"parts", PartIds(request->call)},
                      {"replica", request->attempt.replica.id.name},
                      {"version", request->attempt.replica.version},
                      {"why", why},
                      {"head", request->attempt.head.has_value()},
                      {"expected_end", ExpectedEndOf(request->attempt)},
                      {"answer_end", NameOf(request->attempt.end)},
                      {"answer_bytes", request->attempt.received_bytes},
                      {"events", request->events.complete_events()},
                      {"rest_bytes", request->events.partial_event().size()},
                      {"begun", request->stream_begun}});
  if (MayRetry(request) && CanGoOn(*request) &&
      ReserveAttempt(request, RetryReason::kLost)) {
    metrics->Count("acaciachute_gateway_retries_total", "lost");
    request->events.DiscardPartialEvent();
    if (const auto last = request->events.last_event_id()) {
      request->resume_after = last;
    }
    if (request->route->stages.empty() ||
        !request->attempt.first_event_received) {
      StartAttempt(request);
    } else {
      // The results were released at the first event and have to be made again.
      RestartStages(request, "its stream is begun again");
    }
    return;
  }
  Refuse(request,
         {Refusal::kUpstreamFailed, Verdict::kMayHaveRun, 0, std::string(why)});
}

void Gateway::Impl::OnFailed(ServingRequest* request,
                             bool sent,
                             std::string_view why) {
  if (request->attempt.head && !request->attempt.end) {
    request->attempt.end = AnswerEnd::kBroken;
    metrics->Count("acaciachute_gateway_answer_ends_total",
                   Name(AnswerEnd::kBroken));
  }
  const Attempt attempt = request->attempt;
  ReportFailure(*request);
  const bool said_not_run =
      attempt.head && (attempt.head->not_run || attempt.head->other_replica);
  if (!sent) {
    ReportNotSent(request);
  } else if (!said_not_run) {
    OnBroken(request);
  }
  EndAttempt(request);
  if (!sent || said_not_run) {
    OnNotRun(request);
  } else {
    OnMayHaveRun(request, why);
  }
}

void Gateway::Impl::ReportFailure(const ServingRequest& request) {
  const ReplicaId& replica = request.attempt.replica.id;
  if (IsEngine(request)) {
    engines.OnFailure(output->Now(), replica);
  } else {
    PlainChoiceOf(request.service).OnFailure(output->Now(), replica);
  }
}

std::vector<CallId> Gateway::Impl::CallsAt(const ReplicaId& replica) const {
  std::vector<CallId> calls;
  for (const auto& [call, request] : by_call) {
    if (request->attempt.replica.id == replica) {
      calls.push_back(call);
    }
  }
  return calls;
}

// A replica may crash while it is unreachable and restart under the same name.
// Nothing closes the connections to the old incarnation then, so requests sent
// to it would wait until their deadlines. The old incarnation may have run
// them, but will never answer them.
void Gateway::Impl::FailAttemptsAt(const ReplicaId& replica) {
  for (const CallId call : CallsAt(replica)) {
    // Failing an earlier call may have ended this call's request.
    if (ServingRequest* request = FindByCall(call)) {
      output->Cancel(call);
      OnFailed(request, true, "the replica started again");
    }
  }
}

void Gateway::Impl::ReportArrival(ServingRequest* request) {
  Attempt& attempt = request->attempt;
  if (!attempt.arrival_reported) {
    attempt.arrival_reported = true;
    replica_rate_limiter.OnArrived(output->Now(), attempt.replica);
  }
  if (attempt.head && std::exchange(attempt.retry_in_transit, false)) {
    ServiceBudget(request->service).OnArrived();
  }
}

void Gateway::Impl::ReportNotSent(ServingRequest* request) {
  Attempt& attempt = request->attempt;
  if (!attempt.arrival_reported) {
    attempt.arrival_reported = true;
    replica_rate_limiter.OnNotSent(attempt.replica);
    replica_rate_limiter.rests().OnNotSent(attempt.replica.id);
    --request->arrivals;
    if (std::exchange(attempt.retry_in_transit, false)) {
      ServiceBudget(request->service).OnNotSent();
    }
  }
}

// Ends the current call and updates the load and the limits of its replica.
void Gateway::Impl::EndAttempt(ServingRequest* request) {
  Attempt& attempt = request->attempt;
  if (attempt.call == 0) {
    return;
  }
  by_call.erase(attempt.call);
  attempt.call = 0;
  if (!attempt.body.empty()) {
    output->SetCollected(request->id, 0);
  }
  ReportArrival(request);
  if (std::exchange(attempt.retry_in_transit, false)) {
    ServiceBudget(request->service).OnUnconfirmed();
  }
  if (IsEngine(*request)) {
    engines.OnEnded(attempt.replica.id, request->ForEngine(),
                    attempt.first_event_received);
  } else {
    PlainChoiceOf(request->service)
        .OnEnded(attempt.replica.id, attempt.sent_at);
  }
}

void Gateway::Impl::CancelAttempt(ServingRequest* request) {
  if (request->attempt.call != 0) {
    output->Cancel(request->attempt.call);
    EndAttempt(request);
  }
}

}  // namespace acaciachute
