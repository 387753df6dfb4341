#include "coordination/sidecar/sidecar.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "coordination/sidecar/sidecar_impl.h"

namespace acaciachute {
namespace {

// Minimum retry delay of a refused call. A shorter one would only move the wait
// from this queue into the network.
constexpr DurationUs kMinRetryAfter = 200 * kMillisecond;

// Margin by which a tombstone outlives the deadline, well above the error of a
// call's measured age. Copies that arrive after their deadline are refused by
// age.
constexpr DurationUs kTombstoneMargin = 5 * kSecond;

// Maximum time that a non-idempotent call keeps its slot after its deadline. It
// is not interrupted at the deadline, because the upstream would stop half-way
// through an order; after this time the upstream is assumed to have lost it.
constexpr DurationUs kMaxOverrunDuration = 30 * kSecond;

// Maximum time for which slots are kept free for an isolated call. Calls behind
// it wait at most this long plus one service time; after it the call is refused
// here so that it can try a replica with shorter jobs.
constexpr DurationUs kIsolationHoldDuration = 500 * kMillisecond;

}  // namespace

Sidecar::Impl::Impl(SidecarOptions sidecar_options,
                    SidecarOutput* out,
                    Metrics* counters)
    : options(std::move(sidecar_options)),
      output(out),
      metrics(counters),
      limit(options.limit) {}

// Applies timeouts before each input. After a suspension this process handles
// the contents of its buffers in any order: an answer may free a slot and start
// a call whose deadline has passed, or whose upstream has begun to leave in the
// meantime.
void Sidecar::Impl::ApplyTimeouts(TimeUs now) {
  last_input_at = std::max(last_input_at, now);
  EndExpired(now);
  EndIsolationHold(now);
  tombstones.Expire(now);
  if (const Refusal reason = ClosedReason(now); reason != Refusal::kNone) {
    RefuseWaiting(now, reason);
  }
}

// Returns why no new call may start; `kNone` if calls may start.
Refusal Sidecar::Impl::ClosedReason(TimeUs now) const {
  if (leaving.IsLeaving(now) || state == NodeState::kLeaving) {
    return Refusal::kLeaving;
  }
  return state == NodeState::kReady && leaving.IsReachable(now)
             ? Refusal::kNone
             : Refusal::kNoReplica;
}

void Sidecar::Impl::RefuseWaiting(TimeUs now, Refusal reason) {
  while (!isolated_waiting.empty()) {
    EndWaiting(now, StageKey(isolated_waiting.front()), reason);
  }
  while (const auto next = queue.Pop()) {
    EndWaiting(now, next->key, reason);
  }
}

void Sidecar::Impl::OnCall(TimeUs now,
                           const NodeId& from,
                           const StageCall& call) {
  // The call was sent to a previous incarnation of this process. A copy of it
  // may have run there, so "not run" could be false.
  if (call.sidecar != options.incarnation) {
    metrics->Count("acaciachute_sidecar_wrong_incarnation_total");
    StageFailure failure;
    failure.key = call.key;
    failure.sidecar = call.sidecar;
    failure.verdict = Verdict::kMayHaveRun;
    output->Send(from, failure);
    return;
  }
  // The network may deliver a call twice, or after its cancellation; the call
  // would run a second time, or after "not run" was answered. So each key is
  // accepted once.
  if (work.contains(call.key) || tombstones.Contains(call.key)) {
    metrics->Count("acaciachute_sidecar_duplicates_total");
    return;
  }
  const DurationUs age =
      message_ages.Of(call.key.request.origin, call.sent_at, now);
  quarantine.Merge(now, call.quarantined);
  const QuarantineState quarantine_state = quarantine.Of(now, call.fingerprint);
  Work item;
  item.entry = from;
  item.call = call;
  item.received = now;
  item.deadline = now + call.time_left - age;
  item.is_long = service_times.IsLong(call);
  item.isolated = quarantine_state == QuarantineState::kSuspect;
  if (tombstones.MayBeEvicted(call.key)) {
    Fail(now, item, Verdict::kMayHaveRun, Refusal::kFull);
    return;
  }
  Refusal reason = ClosedReason(now);
  if (quarantine_state == QuarantineState::kConvicted) {
    reason = Refusal::kQuarantined;
  } else if (reason == Refusal::kNone && item.deadline <= now) {
    reason = Refusal::kLate;
  } else if (reason == Refusal::kNone && !CanMeetDeadline(now, item)) {
    reason = Refusal::kFull;
  }
  if (reason != Refusal::kNone) {
    Refuse(now, item, reason);
    return;
  }
  Enqueue(now, std::move(item));
}

void Sidecar::Impl::Enqueue(TimeUs now, Work item) {
  if (queue.size() + isolated_waiting.size() >= options.max_queued) {
    // If the queue is full of patient calls, an urgent call replaces one of
    // them instead of being refused behind work that can wait.
    const auto evicted = item.call.caller_class == CallerClass::kUrgent
                             ? queue.PopLastPatient()
                             : std::nullopt;
    if (!evicted) {
      Refuse(now, item, Refusal::kFull);
      return;
    }
    EndWaiting(now, evicted->key, Refusal::kFull);
  }
  const StageKey key = item.call.key;
  deadlines.emplace(item.deadline, key);
  if (item.isolated) {
    isolated_waiting.push_back(key);
  } else {
    queue.Push({key, item.call.caller_class, item.deadline, item.is_long});
  }
  work[key] = std::move(item);
  StartWaiting(now);
}

// Whether the call can end by its deadline; one that cannot would occupy a slot
// without use. An idle upstream accepts a call in any case: a wrong estimate
// would otherwise refuse all calls for ever, because only answers correct it.
bool Sidecar::Impl::CanMeetDeadline(TimeUs now, const Work& item) const {
  return Occupied() == 0 ||
         now + ExpectedWait(item) + service_times.Expected(item.call) <=
             item.deadline;
}

DurationUs Sidecar::Impl::ExpectedWait(const Work& item) const {
  if (Occupied() < limit.Current()) {
    return 0;
  }
  const auto ahead = static_cast<DurationUs>(
      queue.Ahead(item.call.caller_class, item.deadline) + 1);
  return ahead * service_times.Mean() / limit.Current();
}

// Estimated time until all calls that wait now have started.
DurationUs Sidecar::Impl::RetryAfter() const {
  const auto waiting = static_cast<DurationUs>(queue.size() + 1);
  return std::max(kMinRetryAfter,
                  waiting * service_times.Mean() / limit.Current());
}

std::uint32_t Sidecar::Impl::Occupied() const {
  return static_cast<std::uint32_t>(running.size() + overrunning.size());
}

void Sidecar::Impl::StartWaiting(TimeUs now) {
  while (crash_check_at == 0 && !isolated_running) {
    if (IsolatedIsNext()) {
      if (!StartIsolated(now)) {
        return;
      }
      continue;
    }
    if (Occupied() >= limit.Current()) {
      return;
    }
    const auto next = queue.Pop(running_long < LongSlots(limit.Current()));
    if (!next) {
      return;
    }
    if (StartCall(now, next->key) && starts_before_isolated > 0) {
      --starts_before_isolated;
    }
  }
}

bool Sidecar::Impl::IsolatedIsNext() const {
  return !isolated_waiting.empty() &&
         (starts_before_isolated == 0 || queue.size() == 0);
}

// Starts a suspect once the upstream is idle; no other call starts until it has
// ended. Between suspects, other calls fill each slot once, so that a series of
// suspects does not block them. Returns false while the suspect waits.
bool Sidecar::Impl::StartIsolated(TimeUs now) {
  if (Occupied() > 0) {
    isolation_hold_until = isolation_hold_until == 0
                               ? now + kIsolationHoldDuration
                               : isolation_hold_until;
    return false;
  }
  const StageKey key = isolated_waiting.front();
  isolated_waiting.pop_front();
  isolation_hold_until = 0;
  starts_before_isolated = limit.Current();
  isolated_running = StartCall(now, key);
  return true;
}

void Sidecar::Impl::EndIsolationHold(TimeUs now) {
  if (isolation_hold_until == 0 || now < isolation_hold_until) {
    return;
  }
  isolation_hold_until = 0;
  starts_before_isolated = limit.Current();
  EndWaiting(now, StageKey(isolated_waiting.front()), Refusal::kFull);
}

// Sends a call to the upstream. Returns false if the call may not start: its
// deadline is too near, or its request became suspected or convicted while it
// waited.
bool Sidecar::Impl::StartCall(TimeUs now, const StageKey& key) {
  Work& item = work[key];
  const QuarantineState quarantine_state =
      quarantine.Of(now, item.call.fingerprint);
  if (quarantine_state == QuarantineState::kConvicted) {
    EndWaiting(now, key, Refusal::kQuarantined);
    return false;
  }
  if (quarantine_state == QuarantineState::kSuspect && !item.isolated) {
    item.isolated = true;
    isolated_waiting.push_back(key);
    return false;
  }
  // Few calls take less than half of the expected time; one with less time left
  // would most likely occupy a slot without use.
  const DurationUs min_time_left =
      Occupied() == 0 ? 0 : service_times.Expected(item.call) / 2;
  if (now + min_time_left >= item.deadline) {
    EndWaiting(now, key, Refusal::kLate);
    return false;
  }
  item.upstream_call = next_upstream_call++;
  item.started_at = now;
  running[item.upstream_call] = key;
  running_long += item.is_long ? 1 : 0;
  metrics->Count("acaciachute_sidecar_handed_over_total",
                 Name(item.call.caller_class));
  metrics->Observe("acaciachute_sidecar_wait_seconds",
                   Name(item.call.caller_class), now - item.received);
  output->CallUpstream(item.upstream_call, item.call, item.deadline - now);
  return true;
}

void Sidecar::Impl::Fail(TimeUs now,
                         const Work& item,
                         Verdict verdict,
                         Refusal reason,
                         bool crashed) {
  metrics->Count("acaciachute_sidecar_refused_total", Name(reason));
  StageFailure failure;
  failure.key = item.call.key;
  failure.sidecar = options.incarnation;
  failure.verdict = verdict;
  failure.reason = reason;
  failure.crashed = crashed;
  failure.retry_after = reason == Refusal::kFull ? RetryAfter() : 0;
  failure.quarantined = quarantine.RecordOf(now, item.call.fingerprint);
  ExportSpan(now, item, Name(reason));
  output->Send(item.entry, failure);
}

// Refuses a call and remembers it like one that ended: a second copy, delayed
// in the network, may arrive when there is capacity again, and would run
// although "not run" was answered.
void Sidecar::Impl::Refuse(TimeUs now, const Work& item, Refusal reason) {
  Fail(now, item, Verdict::kNotRun, reason);
  tombstones.Add(item.call.key,
                 std::max(item.deadline, now) + kTombstoneMargin);
}

void Sidecar::Impl::EndWaiting(TimeUs now,
                               const StageKey& key,
                               Refusal reason) {
  const Work& item = work.at(key);
  if (!item.isolated) {
    queue.Remove(key);
  } else if (const auto it = std::find(isolated_waiting.begin(),
                                       isolated_waiting.end(), key);
             it != isolated_waiting.end()) {
    isolation_hold_until =
        it == isolated_waiting.begin() ? 0 : isolation_hold_until;
    isolated_waiting.erase(it);
  }
  Fail(now, item, Verdict::kNotRun, reason);
  Forget(now, key);
}

// Ends a running call whose result is no longer needed. It is cancelled at the
// upstream only if that is safe.
void Sidecar::Impl::EndRunning(TimeUs now,
                               const StageKey& key,
                               Refusal reason) {
  const Work& item = work.at(key);
  if (item.call.idempotent) {
    output->CancelUpstream(item.upstream_call);
  } else if (!item.connection_lost) {
    overrunning[item.upstream_call] = {
        now + kMaxOverrunDuration, {item.call.fingerprint, item.call.account}};
  }
  Fail(now, item, Verdict::kMayHaveRun, reason);
  Forget(now, key);
}

// Removes the call `key`; its tombstone outlives any late copy of the call.
void Sidecar::Impl::Forget(TimeUs now, const StageKey& key) {
  const auto it = work.find(key);
  const Work& item = it->second;
  const TimeUs deadline = item.deadline;
  if (!item.waits()) {
    isolated_running = isolated_running && !item.isolated;
    running_long -= item.is_long ? 1 : 0;
  }
  deadlines.erase({deadline, key});
  running.erase(item.upstream_call);
  // Copied, because `key` may refer into the item that is erased.
  const StageKey kept = key;
  work.erase(it);
  tombstones.Add(kept, std::max(deadline, now) + kTombstoneMargin);
}

void Sidecar::Impl::OnCancel(TimeUs now,
                             const NodeId& from,
                             const StageCancel& cancel) {
  if (cancel.sidecar != options.incarnation) {
    return;
  }
  const auto it = work.find(cancel.key);
  if (it == work.end()) {
    // The call may still arrive and must not run then.
    tombstones.Add(cancel.key, now + cancel.time_left + kTombstoneMargin);
    return;
  }
  if (it->second.waits()) {
    EndWaiting(now, cancel.key, Refusal::kCancelled);
  } else {
    EndRunning(now, cancel.key, Refusal::kCancelled);
  }
  StartWaiting(now);
}

void Sidecar::Impl::EndExpired(TimeUs now) {
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const StageKey key = deadlines.begin()->second;
    if (work.at(key).waits()) {
      EndWaiting(now, key, Refusal::kLate);
    } else {
      EndRunning(now, key, Refusal::kLate);
    }
  }
  std::vector<UpstreamCallId> lost;
  for (const auto& [id, overrun] : overrunning) {
    if (overrun.until <= now) {
      lost.push_back(id);
    }
  }
  for (const UpstreamCallId id : lost) {
    output->CancelUpstream(id);
    overrunning.erase(id);
  }
}

void Sidecar::Impl::ExportSpan(TimeUs now,
                               const Work& item,
                               std::string_view outcome) {
  const auto parent = ParseTraceparent(item.call.traceparent);
  if (!parent) {
    return;
  }
  Span span;
  span.context = *parent;
  // Derived instead of random, so that a replayed trace yields the same ids.
  span.context.span = parent->span ^ options.incarnation;
  span.parent = parent->span;
  span.name = "sidecar";
  span.start = item.received;
  span.end = now;
  span.attributes = {
      {"node", options.node},
      {"outcome", std::string(outcome)},
      {"waited_us",
       std::to_string((item.started_at == 0 ? now : item.started_at) -
                      item.received)}};
  output->Export(span);
}

Sidecar::Sidecar(SidecarOptions options,
                 SidecarOutput* output,
                 Metrics* metrics)
    : impl_(std::make_unique<Impl>(std::move(options), output, metrics)) {}
Sidecar::~Sidecar() = default;

void Sidecar::OnMessage(TimeUs now,
                        const NodeId& from,
                        const Message& message) {
  impl_->ApplyTimeouts(now);
  if (const auto* call = std::get_if<StageCall>(&message)) {
    impl_->OnCall(now, from, *call);
  } else if (const auto* cancel = std::get_if<StageCancel>(&message)) {
    impl_->OnCancel(now, from, *cancel);
  } else {
    impl_->metrics->Count("acaciachute_unexpected_messages_total");
  }
}

void Sidecar::OnHeartbeat(TimeUs now,
                          const NodeId& from,
                          Incarnation incarnation,
                          const Heartbeat& heartbeat) {
  const DurationUs age =
      impl_->message_ages.Of(incarnation, heartbeat.sent_at, now);
  // The age of an entry's report counts from when it was sent.
  impl_->leaving.OnLeaveReport(now - age, LeaveRoute::kEntry,
                               heartbeat.receiver_leaving);
  impl_->quarantine.Merge(now, heartbeat.quarantined);
  impl_->ApplyTimeouts(now);
}

void Sidecar::OnHostList(TimeUs now, bool leaving) {
  impl_->leaving.OnLeaveReport(now, LeaveRoute::kHostList, leaving);
  impl_->ApplyTimeouts(now);
}

void Sidecar::OnPeerLost(TimeUs now, const NodeId& entry) {
  impl_->ApplyTimeouts(now);
  std::vector<StageKey> keys;
  for (const auto& [key, item] : impl_->work) {
    // A running call that is not idempotent is finished: its answer cannot be
    // delivered, but an interrupted run would be worse for the caller.
    if (item.entry == entry && (item.waits() || item.call.idempotent)) {
      keys.push_back(key);
    }
  }
  std::sort(keys.begin(), keys.end());
  for (const StageKey& key : keys) {
    impl_->OnCancel(now, entry, {key, impl_->options.incarnation, 0});
  }
}

void Sidecar::OnTick(TimeUs now) {
  impl_->ApplyTimeouts(now);
  if (impl_->crash_check_at != 0 &&
      now >= impl_->crash_check_at + kCrashCheckTimeout) {
    impl_->EndCrashCheck(now, /*crashed=*/true);
  }
  impl_->StartWaiting(now);
}

TimeUs Sidecar::NextWakeup() const {
  TimeUs next = std::min(impl_->tombstones.NextExpiry(),
                         impl_->leaving.NextChange(impl_->last_input_at));
  if (!impl_->deadlines.empty()) {
    next = std::min(next, impl_->deadlines.begin()->first);
  }
  for (const auto& [unused, overrun] : impl_->overrunning) {
    next = std::min(next, overrun.until);
  }
  if (impl_->isolation_hold_until != 0) {
    next = std::min(next, impl_->isolation_hold_until);
  }
  if (impl_->crash_check_at != 0) {
    next = std::min(next, impl_->crash_check_at + kCrashCheckTimeout);
  }
  return next;
}

void Sidecar::SetState(NodeState state) {
  impl_->state = state;
  impl_->ApplyTimeouts(impl_->last_input_at);
}

void Sidecar::LeaveByOrder(TimeUs now) {
  impl_->leaving.OnLeaveReport(now, LeaveRoute::kOrder, true);
  impl_->ApplyTimeouts(now);
}

void Sidecar::Leave(TimeUs now) {
  impl_->leaving.OnLeaveReport(now, LeaveRoute::kSignal, true);
  impl_->ApplyTimeouts(now);
}

NodeState Sidecar::state() const {
  switch (impl_->ClosedReason(impl_->last_input_at)) {
    case Refusal::kNone:
      return NodeState::kReady;
    case Refusal::kLeaving:
      return NodeState::kLeaving;
    default:
      return NodeState::kStarting;
  }
}

std::size_t Sidecar::InProgress() const {
  return impl_->work.size() + impl_->overrunning.size();
}

Quarantine& Sidecar::quarantine() {
  return impl_->quarantine;
}

Heartbeat Sidecar::MakeHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.role = Role::kSidecar;
  heartbeat.state = state();
  heartbeat.load.queued = static_cast<std::uint32_t>(
      impl_->queue.size() + impl_->isolated_waiting.size());
  heartbeat.load.in_progress = impl_->Occupied();
  heartbeat.load.urgent = static_cast<std::uint32_t>(
      std::count_if(impl_->work.begin(), impl_->work.end(), [](const auto& it) {
        return it.second.call.caller_class == CallerClass::kUrgent;
      }));
  heartbeat.load.limit = impl_->limit.Current();
  heartbeat.load.service_us =
      static_cast<std::uint32_t>(impl_->service_times.Mean());
  heartbeat.quarantined = impl_->quarantine.RecordsToSend(impl_->last_input_at);
  return heartbeat;
}

}  // namespace acaciachute
