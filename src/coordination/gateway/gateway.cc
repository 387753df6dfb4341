#include "coordination/gateway/gateway.h"

#include <algorithm>

#include "coordination/gateway/gateway_impl.h"
#include "text.h"

namespace acaciachute {

Gateway::Impl::Impl(GatewayOptions options_in,
                    GatewayOutput* output_in,
                    PieceDispatcher* dispatcher_in,
                    ReplicaDirectory* directory_in,
                    Random* random_in,
                    Metrics* metrics_in,
                    EventLog* log_in)
    : options(std::move(options_in)),
      output(output_in),
      dispatcher(dispatcher_in),
      directory(directory_in),
      random(random_in),
      metrics(metrics_in),
      log(log_in),
      replica_rate_limiter(options.node),
      rate_loans(&replica_rate_limiter, this, metrics_in, log_in),
      cause_trials(options.node),
      request_trials(options.node, this, log),
      version_ledger(output_in, random_in, log_in),
      stream_recorder(
          options.node,
          output_in,
          [this] { return version_ledger.Several(); },
          metrics_in,
          log_in),
      capacity(directory_in, metrics_in, log_in),
      engines(directory_in, &replica_rate_limiter, random_in, &capacity),
      account_shares(random_in, metrics_in, log_in) {
  replica_rate_limiter.SetRateLimit(options.cold_rate_bound,
                                    options.replica_heartbeat_period);
  freshness.SetMaxUseAge(options.max_config_use_age);
}

ServingRequest* Gateway::Impl::FindByExchange(ExchangeId id) {
  const auto it = requests.find(id);
  return it == requests.end() ? nullptr : it->second.get();
}

ServingRequest* Gateway::Impl::FindByCall(CallId id) {
  const auto it = by_call.find(id);
  return it == by_call.end() ? nullptr : it->second;
}

PlainChoice& Gateway::Impl::PlainChoiceOf(const std::string& service) {
  auto& choice = plain_choices[service];
  if (choice == nullptr) {
    choice = std::make_unique<PlainChoice>(directory, &replica_rate_limiter,
                                           random, &capacity);
  }
  return *choice;
}

ServiceRetryBudget& Gateway::Impl::ServiceBudget(const std::string& service) {
  const auto [it, inserted] =
      budgets.try_emplace(service, service, metrics, log);
  if (inserted) {
    it->second.SetLimits(output->Now(), options.budget);
    it->second.SetGatewayCount(output->Now(), known_gateway_count);
  }
  return it->second;
}

void Gateway::Impl::RefuseUnadmitted(ExchangeId id,
                                     const ClientRequest& call,
                                     LocalReply answer) {
  cause_trials.OnEnded(id, false);
  metrics->Count("acaciachute_gateway_refused_total", Name(answer.reason));
  log->Write("refused",
             {{"id", call.id},
              {"reason", Name(answer.reason)},
              {"verdict", Name(answer.verdict)},
              {"detail", answer.detail},
              {"retry_after_ms", answer.retry_after / kMillisecond},
              {"another_is_current", peer_can_check_keys},
              {"config", config ? config->version : 0},
              {"config_age_ms", freshness.Age(output->Now()) / kMillisecond},
              {"newer_config_known", freshness.newer_known()}});
  output->Refuse(id, answer);
}

void Gateway::Impl::Refuse(ServingRequest* request, LocalReply answer) {
  const ExchangeId id = request->id;
  // An earlier attempt may have run even if the last one did not, for example
  // because no replica was available or no time was left for another attempt.
  // The verdict must then not be "not run".
  if (request->possible_runs > 0 && answer.verdict == Verdict::kNotRun) {
    answer.reason = Refusal::kUpstreamFailed;
    answer.verdict = Verdict::kMayHaveRun;
  }
  if (answer.verdict == Verdict::kNotRun && answer.retry_after == 0 &&
      Info(answer.reason).retryable) {
    answer.retry_after = RetryAfter(*request);
  }
  log->Write("gave_up",
             {{"id", request->call.id},
              {"reason", Name(answer.reason)},
              {"verdict", Name(answer.verdict)},
              {"detail", answer.detail},
              {"retry_after_ms", answer.retry_after / kMillisecond}});
  if (request->stream_begun) {
    request->client_end = output->EndStream(id, AnswerEnd::kBroken);
  } else {
    output->Refuse(id, answer);
    request->client_end = AnswerEnd::kLength;
  }
  Finish(request, Name(answer.reason), Info(answer.reason).http_status);
}

std::string_view Gateway::Impl::NameOf(const std::optional<AnswerEnd>& end) {
  return end ? Name(*end) : "none";
}

std::string_view Gateway::Impl::ExpectedEndOf(const Attempt& attempt) {
  return attempt.head ? Name(attempt.head->expected_end) : "none";
}

// Logs the request and removes it from all indexes. `request` is invalid after
// this call.
void Gateway::Impl::Finish(ServingRequest* request,
                           std::string_view outcome,
                           int status) {
  AbandonAttempt(request);
  cause_trials.OnEnded(request->id, request->arrivals > 0);
  request_trials.OnEnded(output->Now(), request->id,
                         request->arrivals > 0
                             ? RequestTrials::Result::kUnknown
                             : RequestTrials::Result::kNotSent);
  ReturnReservedRetries(request);
  if (!request->route->stages.empty()) {
    dispatcher->CancelRequest(request->call.id);
    dispatcher->ReleaseResults(request->progress.TakeAll());
  }
  const TimeUs now = output->Now();
  metrics->Count("acaciachute_gateway_requests_total", outcome);
  metrics->Count("acaciachute_gateway_client_ends_total",
                 NameOf(request->client_end));
  metrics->Observe("acaciachute_gateway_request_seconds", request->route->name,
                   now - request->received_at);
  log->Write(
      "request",
      {{"id", request->call.id},
       {"route", request->route->name},
       {"account",
        request->account != nullptr ? request->account->name : std::string()},
       {"outcome", outcome},
       {"status", status},
       {"config", request->config->version},
       {"replica", request->attempt.replica.id.name},
       {"version", request->attempt.replica.version},
       {"resumes", request->call.resumed_attempt},
       {"expected_end", ExpectedEndOf(request->attempt)},
       {"answer_end", NameOf(request->attempt.end)},
       {"answer_bytes", request->attempt.received_bytes},
       {"events", request->events.complete_events()},
       {"rest_bytes", request->events.partial_event().size()},
       {"client_end", NameOf(request->client_end)},
       {"runs", request->possible_runs},
       {"tried", request->sends},
       {"list_ms", request->attempt.replica_list_age / kMillisecond},
       {"connect_ms", request->attempt.connect_time / kMillisecond},
       {"chosen_ms",
        request->sends == 0
            ? -1
            : (request->attempt.sent_at - request->received_at) / kMillisecond},
       {"admitted", Name(request->admission)},
       {"expected_wait_ms", request->expected_wait / kMillisecond},
       {"stages_ms", request->stage_times},
       {"staged_ms",
        request->stages_done
            ? (request->stages_done_at - request->received_at) / kMillisecond
            : -1},
       {"first_ms",
        request->stream_begun
            ? (request->stream_begun_at - request->received_at) / kMillisecond
            : -1},
       {"total_ms", (now - request->received_at) / kMillisecond},
       {"target_ms", request->route->target / kMillisecond},
       {"deadline_ms", request->call.deadline / kMillisecond}});
  deadlines.erase({request->expires_at, request->id});
  if (request->parked) {
    parked.erase({request->priority, request->received_at, request->id});
  }
  if (request->awaits_limited_replica) {
    awaiting_limited_replica.erase(
        {request->priority, request->received_at, request->id});
  }
  awaiting_origin.erase(request->id);
  awaiting_trial.erase(request->id);
  const auto it = by_request_id.find(request->call.id);
  if (it != by_request_id.end() && it->second == request) {
    by_request_id.erase(it);
  }
  requests.erase(request->id);
}

void Gateway::Impl::SetExpiry(ServingRequest* request, TimeUs expires_at) {
  deadlines.erase({request->expires_at, request->id});
  request->expires_at = expires_at;
  deadlines.emplace(expires_at, request->id);
}

void Gateway::Impl::Expire(ServingRequest* request) {
  if (awaiting_trial.contains(request->id)) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     "replicas ended under copies of it, and the trial of one "
                     "took too long"});
    return;
  }
  if (request->attempt.call == 0 && request->possible_runs == 0) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     "the time was over before a replica was reached"});
    return;
  }
  Refuse(request, {Refusal::kLate, Verdict::kMayHaveRun, 0,
                   "the replica did not answer in time"});
}

Gateway::Gateway(GatewayOptions options,
                 GatewayOutput* output,
                 PieceDispatcher* dispatcher,
                 ReplicaDirectory* directory,
                 Random* random,
                 Metrics* metrics,
                 EventLog* log)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   output,
                                   dispatcher,
                                   directory,
                                   random,
                                   metrics,
                                   log)) {}
Gateway::~Gateway() = default;

void Gateway::SetOptions(const GatewayOptions& options) {
  impl_->options = options;
  impl_->freshness.SetMaxUseAge(options.max_config_use_age);
  impl_->replica_rate_limiter.SetRateLimit(options.cold_rate_bound,
                                           options.replica_heartbeat_period);
  if (impl_->config != nullptr) {
    impl_->replica_rate_limiter.SetServices(*impl_->config);
  }
  for (auto& [service, budget] : impl_->budgets) {
    budget.SetLimits(impl_->output->Now(), options.budget);
  }
}

void Gateway::OnConfig(std::shared_ptr<const ServingConfig> config) {
  if (impl_->config != nullptr && config->version < impl_->config->version) {
    impl_->log->Write(
        "config_passed_over",
        {{"version", config->version}, {"in_force", impl_->config->version}});
    return;
  }
  impl_->log->Write("config", {{"version", config->version},
                               {"routes", config->routes()},
                               {"services", config->services().size()}});
  impl_->config = std::move(config);
  impl_->replica_rate_limiter.SetServices(*impl_->config);
  for (const auto& [name, service] : impl_->config->services()) {
    impl_->ServiceBudget(name);  // Starts to fill before the first retry.
  }
  impl_->versions_changed = true;
}

void Gateway::OnConfirmed(TimeUs asked_at) {
  impl_->freshness.OnConfirmed(asked_at);
}

void Gateway::SetNewerConfigKnown(bool newer_known) {
  const TimeUs now = impl_->output->Now();
  const bool before = impl_->freshness.newer_known();
  impl_->freshness.OnTick(now, newer_known);
  if (before == newer_known) {
    return;
  }
  impl_->log->Write(
      "newer_config",
      {{"known", newer_known},
       {"config", impl_->config ? impl_->config->version : 0},
       {"config_age_ms", impl_->freshness.Age(now) / kMillisecond}});
}

void Gateway::OnReplica(const ReplicaEntry& replica, DirectoryChange change) {
  impl_->versions_changed = true;
  impl_->LearnVersions();
  const bool restarted = change == DirectoryChange::kRestarted;
  if (restarted || (change == DirectoryChange::kRemoved && !replica.leaving)) {
    impl_->OnReplicaEnded(replica.id, Name(change));
  }
  if (change == DirectoryChange::kLeaving) {
    impl_->RecallUnsent(replica.id, "the replica leaves");
    if (impl_->directory->Of(replica.service).empty()) {
      impl_->RefuseUnservable();
    }
  }
  if (!restarted && change != DirectoryChange::kRemoved) {
    return;
  }
  impl_->version_doubts.Clear(replica.id);
  impl_->replica_rate_limiter.OnReplicaRemoved(replica.id);
  impl_->rate_loans.OnReplicaRemoved(replica.id);
  impl_->engines.OnReplicaRemoved(replica.id);
  impl_->capacity.OnReplicaRemoved(replica.id);
  for (auto& [service, choice] : impl_->plain_choices) {
    choice->OnReplicaRemoved(replica.id);
  }
  if (restarted) {
    impl_->FailAttemptsAt(replica.id);
  }
}

void Gateway::OnEvacuated() {
  impl_->RefuseUnservable();
}

void Gateway::OnCall(ExchangeId id, ClientRequest call) {
  const TimeUs now = impl_->output->Now();
  if (impl_->KnowsTables() || !impl_->startup_hold.Add(now, id, &call)) {
    impl_->Admit(id, std::move(call), now);
  }
}

void Gateway::OnClientDisconnected(ExchangeId id) {
  impl_->startup_hold.Remove(id);
  if (auto* request = impl_->FindByExchange(id)) {
    request->client_end.reset();
    impl_->Finish(request, Name(Refusal::kCancelled), 0);
  }
}

void Gateway::OnWritten(ExchangeId id) {
  auto* request = impl_->FindByExchange(id);
  if (request != nullptr && request->attempt.paused) {
    request->attempt.paused = false;
    impl_->output->SetReading(request->attempt.call, true);
  }
}

void Gateway::OnReplicaConnected(CallId id) {
  if (ServingRequest* request = impl_->FindByCall(id)) {
    Attempt& attempt = request->attempt;
    attempt.connect_time = impl_->output->Now() - attempt.sent_at;
    impl_->metrics->Observe("acaciachute_gateway_connect_seconds",
                            request->service, attempt.connect_time);
    if (request->route->kind == RouteKind::kStream &&
        impl_->version_doubts.OnConnected(impl_->output->Now(),
                                          attempt.replica.id)) {
      impl_->output->AskReplicaStart(attempt.replica.id,
                                     attempt.replica.address);
    }
    impl_->AwaitStart(request);
  }
}

void Gateway::OnStatement(const ReplicaId& replica,
                          const ReplicaStatement& statement) {
  impl_->OnStatement(replica, statement, "");
}

void Gateway::OnReplicaHead(CallId id, ReplicaHead head) {
  if (auto* request = impl_->FindByCall(id)) {
    impl_->OnHead(request, std::move(head));
  }
}
void Gateway::OnReplicaBody(CallId id, std::string_view bytes) {
  if (auto* request = impl_->FindByCall(id)) {
    impl_->broken_attempts.OnAnswering(request->attempt.replica.id);
    impl_->OnBody(request, bytes);
  }
}
void Gateway::OnReplicaEnd(CallId id, AnswerEnd end) {
  if (auto* request = impl_->FindByCall(id)) {
    impl_->OnEnd(request, end);
  }
}
void Gateway::OnReplicaFailed(CallId id, bool sent, std::string_view why) {
  if (auto* request = impl_->FindByCall(id)) {
    impl_->OnFailed(request, sent, why);
  }
}

void Gateway::OnPiece(const PieceResult& result) {
  const auto it = impl_->by_request_id.find(result.key.request);
  if (it == impl_->by_request_id.end()) {
    if (!result.handle.empty()) {
      impl_->dispatcher->ReleaseResults({result.handle});
    }
    return;
  }
  ServingRequest* request = it->second;
  impl_->metrics->Count("acaciachute_gateway_pieces_total",
                        Name(result.outcome));
  if (result.outcome == PieceOutcome::kInputMissing) {
    impl_->RemakeInputs(
        request, result.key.stage,
        StrCat("stage ", result.key.stage, " found a result gone"));
    return;
  }
  if (result.outcome != PieceOutcome::kMade) {
    impl_->Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                            StrCat("stage ", result.key.stage, ": ",
                                   Name(result.outcome))});
    return;
  }
  if (request->progress.OnMade(result.key.stage, result.key.piece,
                               result.handle)) {
    const DurationUs after = impl_->output->Now() - request->received_at;
    request->stage_times += StrCat(request->stage_times.empty() ? "" : " ",
                                   result.key.stage, ":", after / kMillisecond);
  }
  impl_->dispatcher->ReleaseResults(request->progress.TakeUnneeded());
  impl_->RunStages(request);
}

void Gateway::RefuseStreams() {
  impl_->refuses_streams = true;
}

void Gateway::AnswerUntil(TimeUs until) {
  impl_->answers_until = until;
}

void Gateway::RefuseAll() {
  for (const HeldRequest& it : impl_->startup_hold.TakeAll()) {
    impl_->RefuseUnadmitted(
        it.exchange, it.call,
        {Refusal::kLeaving, Verdict::kNotRun, 0, "the node leaves"});
  }
  std::vector<ServingRequest*> open;
  for (const auto& [id, request] : impl_->requests) {
    if (!request->stream_begun) {
      open.push_back(request.get());
    }
  }
  for (ServingRequest* it : open) {
    const bool sent = it->attempt.call != 0 || it->possible_runs > 0;
    impl_->Refuse(it, {sent ? Refusal::kUpstreamFailed : Refusal::kLeaving,
                       sent ? Verdict::kMayHaveRun : Verdict::kNotRun, 0,
                       "the node leaves"});
  }
}

void Gateway::OnTick() {
  impl_->AdmitHeld();
  impl_->ProbeBroken();
  impl_->ClearDoubts();
  impl_->RecordVersions();
  impl_->version_ledger.OnTick(impl_->output->Now());
  impl_->stream_recorder.OnTick(impl_->output->Now(), impl_->gateway_count);
  impl_->SearchOrigins();
  impl_->rate_loans.OnTick(impl_->output->Now());
  impl_->account_shares.OnTick(impl_->output->Now());
  impl_->BeginParked();
  impl_->RetryAwaitingLimited();
  impl_->request_trials.OnTick(impl_->output->Now());
  impl_->RetryAwaitingTrial();
  const TimeUs now = impl_->output->Now();
  while (!impl_->deadlines.empty() && impl_->deadlines.begin()->first <= now) {
    impl_->Expire(impl_->FindByExchange(impl_->deadlines.begin()->second));
  }
}

void Gateway::SetGatewayCount(std::size_t n) {
  impl_->gateway_count = n;
}

void Gateway::SetKnownGateways(std::vector<NodeId> gateways) {
  impl_->known_gateway_count = gateways.size();
  for (auto& [service, budget] : impl_->budgets) {
    budget.SetGatewayCount(impl_->output->Now(), gateways.size());
  }
  impl_->replica_rate_limiter.SetGateways(impl_->output->Now(),
                                          std::move(gateways));
}

void Gateway::SetPeerCanCheckKeys(bool can_check_keys) {
  impl_->peer_can_check_keys = can_check_keys;
}

void Gateway::OnPeerStatement(const ReplicaRateStatement& statement) {
  const ReplicaId replica = {statement.replica, statement.incarnation};
  if (impl_->directory->Find(replica) != nullptr &&
      impl_->replica_rate_limiter.statements().OnPeerStatement(
          impl_->output->Now(), statement)) {
    impl_->LogRateLimit(replica, "gateway");
  }
}

void Gateway::OnPeerStatement(const ReplicaLeavingStatement& statement) {
  impl_->LearnLeaving({statement.replica, statement.incarnation},
                      {"gateway", "", statement.age});
}

void Gateway::OnRateLoanRequest(const NodeId& from,
                                const RateLoanRequest& request) {
  impl_->rate_loans.OnRequest(impl_->output->Now(), from, request);
}

void Gateway::OnRateLoan(const NodeId& from, const RateLoan& loan) {
  impl_->rate_loans.OnLoan(impl_->output->Now(), from, loan);
}

void Gateway::OnRateLoanReturn(const NodeId& from,
                               const RateLoanReturn& unused) {
  impl_->rate_loans.OnReturn(from, unused);
}

void Gateway::OnTrialRequest(const NodeId& from,
                             const CrashTrialRequest& request) {
  impl_->request_trials.OnRequest(impl_->output->Now(), from, request);
}

void Gateway::OnTrialGrant(const NodeId& from, const CrashTrialGrant& grant) {
  impl_->request_trials.OnGrant(impl_->output->Now(), from, grant);
  impl_->RetryAwaitingTrial();
}

void Gateway::OnTrialEnd(const NodeId& from, const CrashTrialEnd& end) {
  impl_->request_trials.OnEnd(impl_->output->Now(), from, end);
}

const LeavingStatements& Gateway::leaving_statements() const {
  return impl_->leaving_statements;
}
ReplicaRateLimiter* Gateway::rate_limiter() {
  return &impl_->replica_rate_limiter;
}
AccountShares* Gateway::account_shares() {
  return &impl_->account_shares;
}
LearnedCapacity* Gateway::capacity() {
  return &impl_->capacity;
}

EngineChoice* Gateway::engines() {
  return &impl_->engines;
}
ServiceRetryBudget* Gateway::RetryBudgetOf(const std::string& service) {
  return &impl_->ServiceBudget(service);
}
bool Gateway::configured() const {
  return impl_->config != nullptr;
}
bool Gateway::can_check_keys() const {
  return impl_->config != nullptr &&
         (!impl_->config->needs_keys() || impl_->ConfigIsConfirmed());
}
std::size_t Gateway::in_progress() const {
  return impl_->requests.size() + impl_->startup_hold.size();
}

}  // namespace acaciachute
