// The answer of a replica to one attempt: passing it on as it arrives, and
// ending the client's answer as the replica's ended.
#include <utility>

#include "coordination/gateway/gateway_impl.h"

namespace acaciachute {

bool Gateway::Impl::IsStream(const ServingRequest& request) {
  const ReplicaHead& head = *request.attempt.head;
  return request.route->kind == RouteKind::kStream && head.ok() &&
         head.expected_end != AnswerEnd::kNoBody;
}

void Gateway::Impl::OnHead(ServingRequest* request, ReplicaHead head) {
  const ReplicaId& replica = request->attempt.replica.id;
  if (!head.other_replica) {
    broken_attempts.OnAnswering(replica);
  } else if (directory->Find(replica) != nullptr) {
    log->Write("replica_misdirected",
               {{"replica", replica.name},
                {"life", replica.incarnation},
                {"id", request->call.id},
                {"list_ms", directory->Age(output->Now()) / kMillisecond}});
    replica_rate_limiter.refusals().OnMisdirected(output->Now(), replica);
  }
  OnStatement(request->attempt.replica.id, head.statement, request->call.id);
  request->attempt.head = std::move(head);
  ReportArrival(request);
}

void Gateway::Impl::OnBody(ServingRequest* request, std::string_view bytes) {
  Attempt& attempt = request->attempt;
  attempt.received_bytes += bytes.size();
  if (attempt.head->not_run || attempt.head->other_replica) {
    if (attempt.received_bytes > kMaxRefusalBytes) {
      AbandonAnswer(request, "the refusal is too long");
    }
    return;
  }
  if (const auto why = WhyUnusable(*attempt.head); !why.empty()) {
    CancelAttempt(request);
    OnMayHaveRun(request, why);
    return;
  }
  if (!IsStream(*request)) {
    if (attempt.body.size() + bytes.size() > kMaxAnswerBytes) {
      AbandonAnswer(request, "the answer is too long");
      return;
    }
    attempt.body.Append(absl::string_view(bytes.data(), bytes.size()));
    output->SetCollected(request->id, attempt.body.size());
    return;
  }
  if (request->stream_version && !attempt.first_event_received &&
      version_doubts.InDoubt(attempt.replica.id)) {
    CancelAttempt(request);
    OnMayHaveRun(request, "another version may have taken the replica's place");
    return;
  }
  const std::string events = request->events.Add(bytes);
  if (!events.empty()) {
    PassEvents(request, events);
  }
  if (request->events.EventIsTooLong()) {
    AbandonAnswer(request, "an event is too long");
  }
}

// What the head said holds: a replica that refuses at length has still not run
// the request. The replica has not ended either, so the request is not
// suspected of it.
void Gateway::Impl::AbandonAnswer(ServingRequest* request,
                                  std::string_view why) {
  Attempt& attempt = request->attempt;
  const bool not_run = attempt.head->not_run || attempt.head->other_replica;
  attempt.end = AnswerEnd::kBroken;
  metrics->Count("acaciachute_gateway_answer_ends_total",
                 Name(AnswerEnd::kBroken));
  log->Write("answer_abandoned", {{"id", request->call.id},
                                  {"replica", attempt.replica.id.name},
                                  {"status", attempt.head->status},
                                  {"bytes", attempt.received_bytes},
                                  {"why", why}});
  ReportFailure(*request);
  CancelAttempt(request);
  if (not_run) {
    OnNotRun(request);
  } else {
    OnMayHaveRun(request, why);
  }
}

std::string_view Gateway::Impl::WhyUnusable(const ReplicaHead& head) {
  if (!head.ok()) {
    return "";
  }
  return !head.sealed   ? "the answer bears no proof"
         : head.encoded ? "the body is encoded"
                        : "";
}

void Gateway::Impl::LearnTime(const ServingRequest& request) {
  const Attempt& attempt = request.attempt;
  const TimeUs now = output->Now();
  capacity.OnAnswer(now, attempt.replica.id, attempt.work,
                    now - attempt.sent_at - attempt.connect_time);
}

void Gateway::Impl::PassEvents(ServingRequest* request,
                               std::string_view events) {
  Attempt& attempt = request->attempt;
  if (!attempt.first_event_received) {
    attempt.first_event_received = true;
    OnBegun(*request);
    request_trials.OnEnded(output->Now(), request->id,
                           RequestTrials::Result::kBegun);
    LearnTime(*request);
    engines.OnFirstEvent(attempt.replica.id, request->ForEngine());
    // The replica fetched its inputs before it read the prompt, so they can be
    // released.
    dispatcher->ReleaseResults(request->progress.TakeAll());
  }
  TellOrigin(request);
  if (!request->stream_begun) {
    request->stream_begun = true;
    request->stream_begun_at = output->Now();
    SetExpiry(request, request->deadline_at);
    metrics->Observe("acaciachute_gateway_first_event_seconds",
                     request->route->name,
                     request->stream_begun_at - request->received_at);
    request->client_end = output->BeginStream(request->id, *attempt.head);
  }
  output->StreamData(request->id, events);
  if (!attempt.paused && output->Unsent(request->id) > kMaxUnsentBytes) {
    attempt.paused = true;
    output->SetReading(attempt.call, false);
  }
}

void Gateway::Impl::OnEnd(ServingRequest* request, AnswerEnd end) {
  Attempt& attempt = request->attempt;
  attempt.end = end;
  metrics->Count("acaciachute_gateway_answer_ends_total", Name(end));
  const ReplicaHead& head = *attempt.head;
  if (head.not_run || head.other_replica) {
    EndAttempt(request);
    OnNotRun(request);
    return;
  }
  if (const auto why = WhyUnusable(head); !why.empty()) {
    EndAttempt(request);
    OnMayHaveRun(request, why);
    return;
  }
  if (!IsStream(*request)) {
    FinishPlainAnswer(request);
    return;
  }
  if (const auto why = WhyIncomplete(*request, end); !why.empty()) {
    OnFailed(request, true, why);
    return;
  }
  const std::string comments = request->events.partial_event();
  if (!comments.empty() || !attempt.first_event_received) {
    PassEvents(request, comments);
  }
  engines.OnSuccess(attempt.replica.id);
  if (request->possible_runs == 0) {
    capacity.OnStreamEnded(output->Now(), attempt.replica.id, attempt.work,
                           request->events.complete_events(),
                           output->Now() - request->stream_begun_at);
  }
  OnAnsweredWhole(request);
  ++request->possible_runs;
  EndAttempt(request);
  request->client_end = output->EndStream(request->id, end);
  Finish(request, Name(Verdict::kAnswered), head.status);
}

std::string_view Gateway::Impl::WhyIncomplete(const ServingRequest& request,
                                              AnswerEnd end) {
  if (request.events.InsideEvent()) {
    return "the stream ended inside an event";
  }
  if (StatesComplete(end)) {
    return "";
  }
  if (!request.attempt.first_event_received) {
    return "the connection was closed before the first event";
  }
  if (request.client_end && StatesComplete(*request.client_end)) {
    return "a resumed stream was closed, and its client's states its end";
  }
  return "";
}

void Gateway::Impl::FinishPlainAnswer(ServingRequest* request) {
  const Attempt attempt = request->attempt;
  const TimeUs now = output->Now();
  const bool failed = attempt.head->status >= 500;
  if (!IsEngine(*request)) {
    PlainChoiceOf(request->service)
        .OnAnswer(now, attempt.replica.id, attempt.sent_at);
  }
  // A replica that ends after the head of an answer without a length leaves an
  // empty one that looks whole.
  const bool may_have_ended =
      *attempt.end == AnswerEnd::kClosed && attempt.body.empty();
  if (may_have_ended) {
    OnBroken(request);
  }
  EndAttempt(request);
  ++request->possible_runs;
  if (attempt.head->ok() && !may_have_ended) {
    answer_times.OnAnswer(request->route->name, now - attempt.sent_at);
    if (!IsEngine(*request)) {
      LearnTime(*request);
    }
    OnAnsweredWhole(request);
    OnBegun(*request);
  }
  if (request->stream_begun) {
    // A replica that should have resumed the stream answered with an error.
    Refuse(request, {Refusal::kUpstreamFailed, Verdict::kMayHaveRun, 0,
                     "the stream could not be resumed"});
    return;
  }
  if (failed && MayRetry(request) &&
      ReserveAttempt(request, RetryReason::kFailed)) {
    metrics->Count("acaciachute_gateway_retries_total", "failed");
    StartAttempt(request);
    return;
  }
  request->client_end = output->Answer(request->id, *attempt.head,
                                       std::string(attempt.body), *attempt.end);
  Finish(request, failed ? "replica_failed" : Name(Verdict::kAnswered),
         attempt.head->status);
}

}  // namespace acaciachute
