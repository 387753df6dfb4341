#include "coordination/entry.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "coordination/retry_budget.h"
#include "coordination/router.h"
#include "state/claim.h"
#include "text.h"

namespace acaciachute {
namespace {

// A claim whose answer is lost is written again under the same nonce. Three
// tries outlast a single lost answer; a longer silence is an outage, and the
// caller is told at once instead of at the deadline.
constexpr int kClaimTries = 3;

// Told to callers until the overload signal gives a better figure.
constexpr DurationUs kDefaultRetryAfter = kSecond;

// Weight of the newest answer in a replica's moving latency.
constexpr int kLatencyWeight = 8;

struct Attempt {
  StageKey key;
  NodeId node;
  Incarnation incarnation = 0;
  TimeUs sent_at = 0;
  std::uint64_t span = 0;
  std::map<std::uint32_t, std::string> chunks;
  std::uint32_t next_streamed = 0;
  std::optional<std::uint32_t> last_sequence;
  DurationUs service = 0;
};

struct Request {
  RequestId id;
  CallerRequest call;
  bool caller_gone = false;
  SettingsPtr settings;  // Those it was admitted under.
  const Event* event = nullptr;
  TimeUs arrived = 0;
  TimeUs deadline = 0;
  std::uint32_t stage = 0;
  std::uint32_t attempts = 0;
  std::vector<NodeId> tried;
  std::optional<Attempt> attempt;
  std::string input;           // Of the current stage.
  bool something_ran = false;  // Some stage was or may have been handed over.
  std::vector<StageCost> cost;
  TraceContext trace;
  std::uint64_t parent_span = 0;
  // Claim of a non-idempotent request.
  std::uint64_t nonce = 0;
  std::uint64_t body_hash = 0;
  std::uint64_t claim_version = 0;
  int claim_tries = 0;
  bool claimed = false;
};

}  // namespace

struct Entry::Impl {
  Impl(EntryOptions options,
       EntryOutput* output,
       Random* random,
       Metrics* metrics)
      : options(std::move(options)),
        output(output),
        random(random),
        metrics(metrics),
        router(random) {}

  // Admission.
  Refusal Check(const CallerRequest& call, const Event** event) const;
  void Refuse(CallerHandle handle, Refusal reason, std::string detail);
  void Admit(TimeUs now, CallerRequest call, const Event* event);

  // Claims.
  void SendClaim(Request& request);
  void OnClaimAnswer(TimeUs now, Request& request, const StoreAnswer& answer);
  void AnswerFromRow(TimeUs now, Request& request, const StoreRow& row);
  void StoreOutcome(const Request& request, const CallerAnswer& answer);

  // Pipeline.
  void StartStage(TimeUs now, Request& request);
  void OnChunk(TimeUs now, const NodeId& from, const StageChunk& chunk);
  void OnFailure(TimeUs now, const NodeId& from, const StageFailure& failure);
  void FailAttempt(TimeUs now,
                   Request& request,
                   Verdict verdict,
                   Refusal reason,
                   DurationUs retry_after);
  void EndAttempt(TimeUs now, Request& request, std::string_view outcome);
  void FinishStage(TimeUs now, Request& request);
  void GiveUp(TimeUs now,
              Request& request,
              Refusal reason,
              DurationUs retry_after = kDefaultRetryAfter);
  void Finish(TimeUs now, Request& request, CallerAnswer answer);
  void CancelAttempt(TimeUs now, const Request& request);

  Request* FindAttempt(const NodeId& from,
                       const StageKey& key,
                       Incarnation incarnation);

  const EntryOptions options;
  EntryOutput* const output;
  Random* const random;
  Metrics* const metrics;
  Router router;
  RetryBudget retries;
  SettingsPtr settings = std::make_shared<Settings>();
  ReplicaTable replicas;
  bool leaving = false;
  std::uint64_t next_sequence = 1;
  StoreTicket next_ticket = 1;
  absl::flat_hash_map<RequestId, std::unique_ptr<Request>> requests;
  absl::flat_hash_map<CallerHandle, RequestId> by_handle;
  absl::flat_hash_map<StoreTicket, RequestId> claim_tickets;
  absl::flat_hash_map<StoreTicket, CallerHandle> status_tickets;
  std::set<std::pair<TimeUs, RequestId>> deadlines;
};

Refusal Entry::Impl::Check(const CallerRequest& call,
                           const Event** event) const {
  if (leaving) {
    return Refusal::kLeaving;
  }
  *event = settings->FindEvent(call.event);
  if (*event == nullptr) {
    return Refusal::kUnknownEvent;
  }
  const auto& accounts = (*event)->accounts;
  if (std::find(accounts.begin(), accounts.end(), call.account) ==
      accounts.end()) {
    return Refusal::kForbidden;
  }
  if (call.deadline < 0 || call.deadline > (*event)->max_deadline) {
    return Refusal::kMalformed;
  }
  if (!call.idempotent && call.key.empty()) {
    return Refusal::kMalformed;
  }
  if (requests.size() >= options.max_requests) {
    return Refusal::kFull;
  }
  return Refusal::kNone;
}

void Entry::Impl::Refuse(CallerHandle handle,
                         Refusal reason,
                         std::string detail) {
  metrics->Count("acaciachute_refused_total", Name(reason));
  CallerAnswer answer;
  answer.reason = reason;
  answer.detail = std::move(detail);
  answer.retry_after = Info(reason).later_may_help ? kDefaultRetryAfter : 0;
  output->Answer(handle, answer);
}

void Entry::Impl::Admit(TimeUs now, CallerRequest call, const Event* event) {
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.id = {options.incarnation, next_sequence++};
  request.settings = settings;
  request.event = event;
  request.arrived = now;
  request.deadline =
      now + (call.deadline == 0 ? event->max_deadline : call.deadline);
  request.input = call.body;
  if (const auto parent = ParseTraceparent(call.traceparent)) {
    request.trace = *parent;
    request.parent_span = parent->span;
  } else {
    request.trace.trace_high = random->Next();
    request.trace.trace_low = random->Next();
  }
  request.trace.span = random->Next() | 1;
  request.body_hash = BodyHash(call.event, call.body);
  request.call = std::move(call);
  by_handle[request.call.handle] = request.id;
  deadlines.emplace(request.deadline, request.id);
  requests[request.id] = std::move(owned);
  metrics->Count("acaciachute_admitted_total", Name(request.call.caller_class));
  if (request.call.idempotent) {
    StartStage(now, request);
    return;
  }
  request.nonce = random->Next();
  SendClaim(request);
}

void Entry::Impl::SendClaim(Request& request) {
  ++request.claim_tries;
  Claim claim;
  claim.body_hash = request.body_hash;
  claim.nonce = request.nonce;
  claim.holder = options.node;
  const StoreTicket ticket = next_ticket++;
  claim_tickets[ticket] = request.id;
  output->CallStore(ticket,
                    {{StoreOpKind::kInsert,
                      ClaimRowKey(request.call.account, request.call.key),
                      EncodeClaim(claim), 0}});
}

// Failure: the answer to the claim's write is lost after it took effect.
// Symptom: the entry cannot tell its own claim from another's. The same insert
// is written again under the same nonce: either it holds, and the lost one can
// no longer, or the row that stands carries our nonce, and the claim is ours.
void Entry::Impl::OnClaimAnswer(TimeUs now,
                                Request& request,
                                const StoreAnswer& answer) {
  if (answer.status == StoreStatus::kOk && !answer.rows.empty()) {
    request.claimed = true;
    request.claim_version = answer.rows[0].version;
    StartStage(now, request);
    return;
  }
  if (answer.status == StoreStatus::kConflict && !answer.rows.empty()) {
    AnswerFromRow(now, request, answer.rows[0]);
    return;
  }
  if (answer.status == StoreStatus::kUnknown &&
      request.claim_tries < kClaimTries) {
    metrics->Count("acaciachute_claim_retries_total");
    SendClaim(request);
    return;
  }
  // No stage runs before a claim is known to stand, so this is "not run" even
  // if the write lands later.
  GiveUp(now, request, Refusal::kStoreDown);
}

void Entry::Impl::StoreOutcome(const Request& request,
                               const CallerAnswer& answer) {
  Claim claim;
  claim.body_hash = request.body_hash;
  claim.nonce = request.nonce;
  claim.holder = options.node;
  claim.reason = answer.reason;
  claim.answer = answer.body;
  claim.state = answer.verdict == Verdict::kAnswered ? ClaimState::kAnswered
                : answer.verdict == Verdict::kNotRun ? ClaimState::kRefused
                                                     : ClaimState::kMayHaveRun;
  output->CallStore(next_ticket++,
                    {{StoreOpKind::kUpdate,
                      ClaimRowKey(request.call.account, request.call.key),
                      EncodeClaim(claim), request.claim_version}});
}

void Entry::Impl::StartStage(TimeUs now, Request& request) {
  const Stage& stage = request.event->stages[request.stage];
  Replica* replica = router.Choose(replicas.InPool(stage.pool), request.tried);
  if (replica == nullptr) {
    GiveUp(now, request, Refusal::kNoReplica);
    return;
  }
  const Pool* pool = request.settings->FindPool(stage.pool);
  Attempt attempt;
  attempt.key = {request.id, request.stage, ++request.attempts};
  attempt.node = replica->address.node;
  attempt.incarnation = replica->incarnation;
  attempt.sent_at = now;
  attempt.span = random->Next() | 1;
  StageCall call;
  call.key = attempt.key;
  call.sidecar = attempt.incarnation;
  call.caller_class = request.call.caller_class;
  call.kind = pool == nullptr ? StageKind::kService : pool->kind;
  call.idempotent = request.call.idempotent;
  call.stream =
      request.call.stream && request.stage + 1 == request.event->stages.size();
  call.time_left = request.deadline - now;
  call.fingerprint = BodyHash(request.call.account, request.call.body);
  call.account = request.call.account;
  call.path = stage.path;
  call.body = request.input;
  call.traceparent = FormatTraceparent(
      {request.trace.trace_high, request.trace.trace_low, attempt.span});
  request.tried.push_back(attempt.node);
  if (request.cost.size() <= request.stage) {
    request.cost.push_back({stage.pool, 0, 0});
  }
  ++request.cost.back().attempts;
  ++replica->own_in_progress;
  request.attempt = std::move(attempt);
  output->Send(replica->address.node, call);
}

Request* Entry::Impl::FindAttempt(const NodeId& from,
                                  const StageKey& key,
                                  Incarnation incarnation) {
  const auto it = requests.find(key.request);
  if (it == requests.end()) {
    return nullptr;
  }
  const auto& attempt = it->second->attempt;
  const bool ours = attempt && attempt->key == key && attempt->node == from &&
                    attempt->incarnation == incarnation;
  return ours ? it->second.get() : nullptr;
}

// Failure: an answer comes late, twice, out of order or for another attempt.
// Symptom: a caller receives part of an answer, or somebody else's. Only the
// attempt in progress takes chunks, each number once, and the stage ends when
// every number up to the last one is there.
void Entry::Impl::OnChunk(TimeUs now,
                          const NodeId& from,
                          const StageChunk& chunk) {
  Request* request = FindAttempt(from, chunk.key, chunk.sidecar);
  if (request == nullptr) {
    metrics->Count("acaciachute_stale_results_total");
    return;
  }
  Attempt& attempt = *request->attempt;
  if (!attempt.chunks.emplace(chunk.sequence, chunk.body).second) {
    metrics->Count("acaciachute_duplicate_chunks_total");
    return;
  }
  attempt.service = std::max(attempt.service, chunk.service);
  if (chunk.last) {
    attempt.last_sequence = chunk.sequence;
  }
  const bool streams = request->call.stream && !request->caller_gone &&
                       request->stage + 1 == request->event->stages.size();
  for (auto it = attempt.chunks.find(attempt.next_streamed);
       it != attempt.chunks.end();
       it = attempt.chunks.find(attempt.next_streamed)) {
    if (streams && !it->second.empty()) {
      output->Stream(request->call.handle, it->second);
    }
    ++attempt.next_streamed;
  }
  if (attempt.last_sequence && attempt.next_streamed > *attempt.last_sequence) {
    FinishStage(now, *request);
  }
}

void Entry::Impl::FinishStage(TimeUs now, Request& request) {
  std::string body;
  for (const auto& [unused, part] : request.attempt->chunks) {
    body += part;
  }
  request.cost.back().service += request.attempt->service;
  request.something_ran = true;
  EndAttempt(now, request, "answered");
  if (++request.stage < request.event->stages.size()) {
    request.input = std::move(body);
    request.tried.clear();
    StartStage(now, request);
    return;
  }
  CallerAnswer answer;
  answer.verdict = Verdict::kAnswered;
  answer.body = std::move(body);
  Finish(now, request, std::move(answer));
}

void Entry::Impl::OnFailure(TimeUs now,
                            const NodeId& from,
                            const StageFailure& failure) {
  Request* request = FindAttempt(from, failure.key, failure.sidecar);
  if (request == nullptr) {
    metrics->Count("acaciachute_stale_results_total");
    return;
  }
  FailAttempt(now, *request, failure.verdict, failure.reason,
              failure.retry_after);
}

// Failure: an attempt ends without an answer. Symptom: a blind retry runs a
// non-idempotent request twice. Only an attempt that was never handed over, or
// an idempotent request, goes to another replica, and the retry budget bounds
// both.
void Entry::Impl::FailAttempt(TimeUs now,
                              Request& request,
                              Verdict verdict,
                              Refusal reason,
                              DurationUs retry_after) {
  const bool streamed = request.call.stream &&
                        request.attempt->next_streamed > 0 &&
                        request.stage + 1 == request.event->stages.size();
  EndAttempt(now, request, Name(reason));
  if (verdict != Verdict::kNotRun) {
    request.something_ran = true;
  }
  const bool may_repeat =
      verdict == Verdict::kNotRun || request.call.idempotent;
  if (may_repeat && !streamed && now < request.deadline && retries.Take()) {
    metrics->Count("acaciachute_retries_total", Name(reason));
    StartStage(now, request);
    return;
  }
  GiveUp(now, request, reason,
         retry_after > 0 ? retry_after : kDefaultRetryAfter);
}

void Entry::Impl::EndAttempt(TimeUs now,
                             Request& request,
                             std::string_view outcome) {
  const Attempt& attempt = *request.attempt;
  const DurationUs took = now - attempt.sent_at;
  if (Replica* replica = replicas.Find(attempt.node)) {
    replica->own_in_progress -= replica->own_in_progress > 0 ? 1 : 0;
    replica->latency += (took - replica->latency) / kLatencyWeight;
  }
  const Stage& stage = request.event->stages[request.stage];
  metrics->Observe("acaciachute_stage_seconds", stage.pool, took);
  Span span;
  span.context = {request.trace.trace_high, request.trace.trace_low,
                  attempt.span};
  span.parent = request.trace.span;
  span.name = StrCat("stage ", stage.pool);
  span.start = attempt.sent_at;
  span.end = now;
  span.attributes = {{"node", attempt.node}, {"outcome", std::string(outcome)}};
  output->Export(span);
  request.attempt.reset();
}

void Entry::Impl::CancelAttempt(TimeUs now, const Request& request) {
  const Attempt& attempt = *request.attempt;
  output->Send(attempt.node,
               StageCancel{attempt.key, attempt.incarnation,
                           std::max<DurationUs>(0, request.deadline - now)});
}

void Entry::Impl::GiveUp(TimeUs now,
                         Request& request,
                         Refusal reason,
                         DurationUs retry_after) {
  if (request.attempt) {
    request.something_ran = true;
    CancelAttempt(now, request);
    EndAttempt(now, request, Name(reason));
  }
  CallerAnswer answer;
  answer.verdict =
      request.something_ran ? Verdict::kMayHaveRun : Verdict::kNotRun;
  answer.reason = reason;
  answer.retry_after = Info(reason).later_may_help ? retry_after : 0;
  Finish(now, request, std::move(answer));
}

void Entry::Impl::Finish(TimeUs now, Request& request, CallerAnswer answer) {
  answer.cost = request.cost;
  answer.traceparent = FormatTraceparent(request.trace);
  if (request.claimed) {
    StoreOutcome(request, answer);
  }
  Span span;
  span.context = request.trace;
  span.parent = request.parent_span;
  span.name = StrCat("request ", request.call.event);
  span.start = request.arrived;
  span.end = now;
  span.attributes = {{"node", options.node},
                     {"account", request.call.account},
                     {"verdict", std::string(Name(answer.verdict))},
                     {"reason", std::string(Name(answer.reason))}};
  output->Export(span);
  metrics->Count("acaciachute_answers_total", Name(answer.verdict));
  metrics->Observe("acaciachute_request_seconds",
                   Name(request.call.caller_class), now - request.arrived);
  const RequestId id = request.id;
  const CallerHandle handle = request.call.handle;
  const bool gone = request.caller_gone;
  deadlines.erase({request.deadline, id});
  by_handle.erase(handle);
  requests.erase(id);
  if (!gone) {
    output->Answer(handle, answer);
  }
}

namespace {

// What a claim row tells the caller of a later or concurrent copy.
CallerAnswer AnswerOf(const StoreRow& row,
                      std::optional<std::uint64_t> body_hash) {
  CallerAnswer answer;
  const auto claim = DecodeClaim(row.value);
  answer.verdict = Verdict::kMayHaveRun;
  if (!claim.ok()) {
    answer.reason = Refusal::kInProgress;
    answer.detail = std::string(claim.status().message());
    return answer;
  }
  if (body_hash && claim->body_hash != *body_hash) {
    answer.verdict = Verdict::kNotRun;
    answer.reason = Refusal::kKeyReused;
    return answer;
  }
  switch (claim->state) {
    case ClaimState::kAnswered:
      answer.verdict = Verdict::kAnswered;
      answer.body = claim->answer;
      answer.replayed = true;
      return answer;
    case ClaimState::kRefused:
      answer.verdict = Verdict::kNotRun;
      answer.reason = claim->reason;
      answer.detail = "refused before; use a new key to try again";
      return answer;
    case ClaimState::kMayHaveRun:
      answer.reason = claim->reason;
      return answer;
    case ClaimState::kClaimed:
      answer.reason = Refusal::kInProgress;
      answer.retry_after = kDefaultRetryAfter;
      answer.detail = StrCat("claimed by ", claim->holder);
      return answer;
  }
  return answer;
}

}  // namespace

void Entry::Impl::AnswerFromRow(TimeUs now,
                                Request& request,
                                const StoreRow& row) {
  const auto claim = DecodeClaim(row.value);
  if (claim.ok() && claim->nonce == request.nonce &&
      claim->state == ClaimState::kClaimed) {
    request.claimed = true;
    request.claim_version = row.version;
    StartStage(now, request);
    return;
  }
  Finish(now, request, AnswerOf(row, request.body_hash));
}

Entry::Entry(EntryOptions options,
             EntryOutput* output,
             Random* random,
             Metrics* metrics)
    : impl_(
          std::make_unique<Impl>(std::move(options), output, random, metrics)) {
}
Entry::~Entry() = default;

void Entry::OnSettings(TimeUs now, SettingsPtr settings) {
  impl_->settings = std::move(settings);
  impl_->replicas.Apply(*impl_->settings);
}

void Entry::OnRequest(TimeUs now, CallerRequest request) {
  const Currency* currency = impl_->options.currency;
  if (currency != nullptr && !currency->IsCurrent(now)) {
    impl_->Refuse(request.handle, Refusal::kNotCurrent, "");
    return;
  }
  const Event* event = nullptr;
  const Refusal reason = impl_->Check(request, &event);
  if (reason != Refusal::kNone) {
    impl_->Refuse(request.handle, reason, "");
    return;
  }
  impl_->Admit(now, std::move(request), event);
}

void Entry::OnStatus(TimeUs now,
                     CallerHandle handle,
                     std::string_view account,
                     std::string_view key) {
  const StoreTicket ticket = impl_->next_ticket++;
  impl_->status_tickets[ticket] = handle;
  impl_->output->CallStore(
      ticket, {{StoreOpKind::kRead, ClaimRowKey(account, key), "", 0}});
}

void Entry::OnCallerGone(TimeUs now, CallerHandle handle) {
  const auto it = impl_->by_handle.find(handle);
  if (it == impl_->by_handle.end()) {
    return;
  }
  Request& request = *impl_->requests[it->second];
  request.caller_gone = true;
  // A non-idempotent request that runs is finished, so that its answer can be
  // asked for by the status call.
  if (request.call.idempotent) {
    impl_->GiveUp(now, request, Refusal::kCancelled);
  }
}

void Entry::OnMessage(TimeUs now, const NodeId& from, const Message& message) {
  if (const auto* chunk = std::get_if<StageChunk>(&message)) {
    impl_->OnChunk(now, from, *chunk);
  } else if (const auto* failure = std::get_if<StageFailure>(&message)) {
    impl_->OnFailure(now, from, *failure);
  } else {
    impl_->metrics->Count("acaciachute_unexpected_messages_total");
  }
}

void Entry::OnHeartbeat(TimeUs now,
                        const NodeId& from,
                        Incarnation incarnation,
                        const Heartbeat& heartbeat) {
  Replica* replica = impl_->replicas.Find(from);
  if (replica == nullptr) {
    return;
  }
  replica->incarnation = incarnation;
  replica->state = heartbeat.state;
  replica->load = heartbeat.load;
  replica->heard_at = now;
}

void Entry::OnPeerLost(TimeUs now, const NodeId& sidecar) {
  std::vector<Request*> hit;
  for (const auto& [unused, request] : impl_->requests) {
    if (request->attempt && request->attempt->node == sidecar) {
      hit.push_back(request.get());
    }
  }
  std::sort(hit.begin(), hit.end(),
            [](const Request* a, const Request* b) { return a->id < b->id; });
  for (Request* request : hit) {
    impl_->FailAttempt(now, *request, Verdict::kMayHaveRun,
                       Refusal::kUpstreamFailed, 0);
  }
}

void Entry::OnUnsent(TimeUs now,
                     const NodeId& sidecar,
                     const Message& message) {
  const auto* call = std::get_if<StageCall>(&message);
  if (call == nullptr) {
    return;
  }
  Request* request = impl_->FindAttempt(sidecar, call->key, call->sidecar);
  if (request != nullptr) {
    impl_->FailAttempt(now, *request, Verdict::kNotRun, Refusal::kNoReplica, 0);
  }
}

void Entry::OnStoreAnswer(TimeUs now, StoreTicket ticket, StoreAnswer answer) {
  const auto status = impl_->status_tickets.find(ticket);
  if (status != impl_->status_tickets.end()) {
    const CallerHandle handle = status->second;
    impl_->status_tickets.erase(status);
    if (answer.status != StoreStatus::kOk || answer.rows.empty()) {
      impl_->Refuse(handle, Refusal::kStoreDown, "");
    } else if (answer.rows[0].version == 0) {
      impl_->Refuse(handle, Refusal::kUnknownEvent, "no such request");
    } else {
      impl_->output->Answer(handle, AnswerOf(answer.rows[0], std::nullopt));
    }
    return;
  }
  const auto claim = impl_->claim_tickets.find(ticket);
  if (claim == impl_->claim_tickets.end()) {
    return;
  }
  const RequestId id = claim->second;
  impl_->claim_tickets.erase(claim);
  const auto it = impl_->requests.find(id);
  if (it != impl_->requests.end()) {
    impl_->OnClaimAnswer(now, *it->second, answer);
  }
}

void Entry::OnTick(TimeUs now) {
  while (!impl_->deadlines.empty() && impl_->deadlines.begin()->first <= now) {
    const RequestId id = impl_->deadlines.begin()->second;
    impl_->GiveUp(now, *impl_->requests[id], Refusal::kLate);
  }
}

TimeUs Entry::NextWakeup() const {
  return impl_->deadlines.empty() ? std::numeric_limits<TimeUs>::max()
                                  : impl_->deadlines.begin()->first;
}

void Entry::Leave() {
  impl_->leaving = true;
}

std::size_t Entry::InProgress() const {
  return impl_->requests.size();
}

ReplicaTable& Entry::replicas() {
  return impl_->replicas;
}

const SettingsPtr& Entry::settings() const {
  return impl_->settings;
}

}  // namespace acaciachute
