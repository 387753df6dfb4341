#include "coordination/interface/pipeline.h"

#include <algorithm>
#include <utility>

#include "text.h"

namespace acaciachute::detail {
namespace {

// Inverse weight of the newest answer time in a replica's moving average.
constexpr int kLatencyInverseWeight = 8;

// Maximum size of one stage's answer. The answer is the body of the next stage,
// so the limit is of the same order as that on callers' bodies; a larger one
// comes from a faulty upstream and would exhaust the entry's memory.
constexpr std::size_t kMaxAnswerBytes = 8 << 20;
// Maximum distance of a chunk ahead of the next expected one; TCP preserves
// order, so few chunks are early.
constexpr std::uint32_t kMaxEarlyChunks = 4096;

std::uint64_t Fingerprint(const EntryRequest& request) {
  return StageFingerprint(request.call.account, request.call.body,
                          request.event->stages[request.stage].pool);
}

// Classifies an attempt without an answer by what it shows about its replica. A
// connection refused by the upstream means "not run" to the caller, but is a
// failure of the replica.
AttemptEnd ClassifyEnd(Verdict verdict, Refusal reason) {
  if (verdict == Verdict::kNotRun && reason == Refusal::kNoReplica) {
    return AttemptEnd::kUnsent;
  }
  const bool fault =
      verdict == Verdict::kMayHaveRun || reason == Refusal::kUpstreamFailed;
  return fault ? AttemptEnd::kFailed : AttemptEnd::kRefused;
}

bool IsComplete(const StageAttempt& attempt) {
  return attempt.last_chunk && attempt.next_chunk > *attempt.last_chunk;
}

}  // namespace

Replica* Pipeline::ChooseReplica(TimeUs now, const EntryRequest& request) {
  return load_->Choose(now, request.settings,
                       request.event->stages[request.stage].pool, request.tried,
                       request.call.caller_class, request.call.idempotent);
}

StageCall Pipeline::MakeCall(TimeUs now, const EntryRequest& request) const {
  const Stage& stage = request.event->stages[request.stage];
  const Pool* pool = request.settings->FindPool(stage.pool);
  const StageAttempt& attempt = *request.attempt;
  StageCall call;
  call.key = attempt.key;
  call.sidecar = attempt.incarnation;
  call.caller_class = request.call.caller_class;
  call.kind = pool == nullptr ? StageKind::kService : pool->kind;
  call.idempotent = request.call.idempotent;
  call.stream = request.Streams();
  call.time_left = request.deadline - now;
  call.sent_at = now;
  call.fingerprint = Fingerprint(request);
  call.quarantined = quarantine_->RecordOf(now, call.fingerprint);
  call.account = request.call.account;
  call.path = stage.path;
  call.body = request.input;
  call.traceparent = FormatTraceparent(
      {request.trace.trace_high, request.trace.trace_low, attempt.span});
  return call;
}

void Pipeline::Start(TimeUs now, EntryRequest& request) {
  const std::uint64_t fingerprint = Fingerprint(request);
  const QuarantineState quarantine_state = quarantine_->Of(now, fingerprint);
  if (quarantine_state == QuarantineState::kConvicted) {
    output_->OnPipelineFailure(now, request, Refusal::kQuarantined, 0);
    return;
  }
  if (quarantine_state == QuarantineState::kSuspect) {
    // Only a crash at another upstream shows that the request is the cause and
    // not the host.
    const auto crashed_at = quarantine_->CrashedAt(fingerprint);
    request.tried.insert(request.tried.end(), crashed_at.begin(),
                         crashed_at.end());
  }
  Replica* replica = ChooseReplica(now, request);
  if (replica == nullptr) {
    output_->OnPipelineFailure(now, request, Refusal::kNoReplica,
                               kDefaultRetryAfter);
    return;
  }
  StageAttempt attempt;
  attempt.key = {request.id, request.stage, ++request.attempts};
  attempt.node = replica->address.node;
  attempt.incarnation = replica->incarnation;
  attempt.sent_at = now;
  attempt.span = random_->Next() | 1;
  request.tried.push_back(attempt.node);
  if (request.cost.size() <= request.stage) {
    request.cost.push_back({request.event->stages[request.stage].pool, 0, 0});
  }
  ++request.cost.back().attempts;
  load_->OnAttemptStart(&request.load, replica);
  request.attempt = std::move(attempt);
  output_->SendStage(replica->address.node, MakeCall(now, request));
}

bool Pipeline::IsCurrentAttempt(const EntryRequest* request,
                                const NodeId& from,
                                const StageKey& key,
                                Incarnation incarnation) {
  const bool current = request != nullptr && request->attempt &&
                       request->attempt->key == key &&
                       request->attempt->node == from &&
                       request->attempt->incarnation == incarnation;
  if (!current) {
    metrics_->Count("acaciachute_stale_results_total");
  }
  return current;
}

// A stage's answer can arrive late, twice, out of order or for another attempt.
// To never send a caller an incomplete answer or that of another request, only
// the attempt in progress accepts chunks, each number once, and the stage ends
// when all numbers up to the last one have arrived.
void Pipeline::OnChunk(TimeUs now,
                       EntryRequest* request,
                       const NodeId& from,
                       const StageChunk& chunk) {
  if (!IsCurrentAttempt(request, from, chunk.key, chunk.sidecar)) {
    return;
  }
  StageAttempt& attempt = *request->attempt;
  if (chunk.sequence < attempt.next_chunk ||
      attempt.early_chunks.contains(chunk.sequence)) {
    metrics_->Count("acaciachute_duplicate_chunks_total");
    return;
  }
  if (!AddChunk(attempt, chunk) || !StreamNewParts(*request)) {
    metrics_->Count("acaciachute_broken_answers_total");
    output_->SendStage(from, StageCancel{attempt.key, attempt.incarnation,
                                         request->deadline - now});
    FailAttempt(now, *request, Verdict::kMayHaveRun, Refusal::kUpstreamFailed,
                0);
    return;
  }
  if (IsComplete(attempt)) {
    FinishStage(now, *request);
  }
}

// Adds a chunk to the answer. Returns false if the chunk contradicts the
// sequence of those received or exceeds a limit.
bool Pipeline::AddChunk(StageAttempt& attempt, const StageChunk& chunk) {
  const bool after_last = attempt.last_chunk &&
                          (chunk.last || chunk.sequence > *attempt.last_chunk);
  const bool last_too_low =
      chunk.last && !attempt.early_chunks.empty() &&
      attempt.early_chunks.rbegin()->first > chunk.sequence;
  attempt.bytes += chunk.body.size();
  if (after_last || last_too_low || attempt.bytes > kMaxAnswerBytes ||
      chunk.sequence - attempt.next_chunk > kMaxEarlyChunks) {
    return false;
  }
  attempt.service_time = std::max(attempt.service_time, chunk.service);
  if (chunk.last) {
    attempt.last_chunk = chunk.sequence;
  }
  attempt.early_chunks.emplace(chunk.sequence, chunk.body);
  for (auto it = attempt.early_chunks.begin();
       it != attempt.early_chunks.end() && it->first == attempt.next_chunk;
       it = attempt.early_chunks.erase(it)) {
    attempt.answer += it->second;
    ++attempt.next_chunk;
  }
  return true;
}

// Sends the caller the new parts of a streamed answer. After a retry the new
// attempt first repeats what the caller already has; returns false if it
// differs, because the caller's stream cannot continue with it.
bool Pipeline::StreamNewParts(EntryRequest& request) {
  const std::string& answer = request.attempt->answer;
  if (!request.Streams()) {
    return true;
  }
  if (IsComplete(*request.attempt) && answer.size() < request.streamed.size()) {
    metrics_->Count("acaciachute_streams_diverged_total");
    return false;
  }
  const std::size_t common = std::min(answer.size(), request.streamed.size());
  if (answer.compare(0, common, request.streamed, 0, common) != 0) {
    metrics_->Count("acaciachute_streams_diverged_total");
    return false;
  }
  if (answer.size() > request.streamed.size()) {
    const auto part = std::string_view(answer).substr(request.streamed.size());
    if (!request.caller_disconnected) {
      output_->StreamPart(request, part);
    }
    request.streamed += part;
  }
  return true;
}

void Pipeline::FinishStage(TimeUs now, EntryRequest& request) {
  std::string body = std::move(request.attempt->answer);
  request.cost.back().service += request.attempt->service_time;
  request.may_have_run = true;
  EndAttempt(now, request, "answered", AttemptEnd::kAnswered);
  if (request.InLastStage()) {
    output_->OnPipelineAnswer(now, request, std::move(body));
    return;
  }
  ++request.stage;
  request.input = std::move(body);
  request.tried.clear();
  Start(now, request);
}

void Pipeline::OnFailure(TimeUs now,
                         EntryRequest* request,
                         const NodeId& from,
                         const StageFailure& failure) {
  quarantine_->Merge(now, failure.quarantined);
  if (IsCurrentAttempt(request, from, failure.key, failure.sidecar)) {
    // Requests returned because an upstream crashed or leaves come back only
    // once, so their retries cannot amplify themselves; the budget limits
    // retries under load.
    const bool spend_retry =
        !failure.crashed && failure.reason != Refusal::kLeaving;
    FailAttempt(now, *request, failure.verdict, failure.reason,
                failure.retry_after, spend_retry);
  }
}

// Handles an attempt that ended without an answer. A blind retry could run a
// non-idempotent request twice, so only an attempt that was never sent to the
// upstream, or an idempotent request, goes to another replica, and the retry
// budget limits both.
void Pipeline::FailAttempt(TimeUs now,
                           EntryRequest& request,
                           Verdict verdict,
                           Refusal reason,
                           DurationUs retry_after,
                           bool spend_retry) {
  const AttemptEnd end = ClassifyEnd(verdict, reason);
  EndAttempt(now, request, Name(reason), end);
  if (verdict != Verdict::kNotRun) {
    request.may_have_run = true;
  }
  const bool may_repeat =
      verdict == Verdict::kNotRun || request.call.idempotent;
  if (may_repeat && now < request.deadline &&
      (!spend_retry || load_->TakeRetry(now, end))) {
    metrics_->Count("acaciachute_retries_total", Name(reason));
    Start(now, request);
    return;
  }
  output_->OnPipelineFailure(
      now, request, reason, retry_after > 0 ? retry_after : kDefaultRetryAfter);
}

void Pipeline::Cancel(TimeUs now, EntryRequest& request, Refusal reason) {
  if (!request.attempt) {
    return;
  }
  const StageAttempt& attempt = *request.attempt;
  request.may_have_run = true;
  output_->SendStage(attempt.node, StageCancel{attempt.key, attempt.incarnation,
                                               std::max<DurationUs>(
                                                   0, request.deadline - now)});
  EndAttempt(now, request, Name(reason), AttemptEnd::kGivenUp);
}

void Pipeline::EndAttempt(TimeUs now,
                          EntryRequest& request,
                          std::string_view outcome,
                          AttemptEnd end) {
  const StageAttempt& attempt = *request.attempt;
  const DurationUs took = now - attempt.sent_at;
  Replica* replica = replicas_->Find(attempt.node);
  load_->OnAttemptEnd(now, &request.load, replica, end, attempt.service_time);
  if (replica != nullptr) {
    replica->latency += (took - replica->latency) / kLatencyInverseWeight;
  }
  const Stage& stage = request.event->stages[request.stage];
  metrics_->Observe("acaciachute_stage_seconds", stage.pool, took);
  Span span;
  span.context = {request.trace.trace_high, request.trace.trace_low,
                  attempt.span};
  span.parent = request.trace.span;
  span.name = StrCat("stage ", stage.pool);
  span.start = attempt.sent_at;
  span.end = now;
  span.attributes = {{"node", attempt.node}, {"outcome", std::string(outcome)}};
  output_->ExportSpan(span);
  request.attempt.reset();
}

}  // namespace acaciachute::detail
