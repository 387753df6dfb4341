#include "coordination/sidecar/sidecar.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "coordination/sidecar/sidecar_impl.h"

namespace acaciachute {
namespace {

// Least time after which a refused call may come back. Shorter would only move
// the waiting from this queue into the network.
constexpr DurationUs kMinRetryAfter = 200 * kMillisecond;

// A copy that comes after its deadline is refused by its age; a tombstone
// outlives the deadline by what an age may be wrong by, with room to spare.
constexpr DurationUs kTombstoneSlack = 5 * kSecond;

// A call that may not be repeated is not cut at its deadline: the upstream
// would stop half-way through an order. Its slot stays taken until it ends, or
// until this long after, when the upstream is taken to have lost it.
constexpr DurationUs kOverrun = 30 * kSecond;

// How long slots are kept free for a call that must run apart. Calls behind it
// wait no longer than this and one service; after it the call is handed back,
// to try a replica with shorter jobs.
constexpr DurationUs kApartHold = 500 * kMillisecond;

}  // namespace

Sidecar::Impl::Impl(SidecarOptions sidecar_options,
                    SidecarOutput* out,
                    Metrics* counters)
    : options(std::move(sidecar_options)),
      output(out),
      metrics(counters),
      limit(options.limit) {}

// Failure: this process wakes from a pause and handles what its buffers hold in
// any order. Symptom: an answer frees a slot and a call whose time is over, or
// whose upstream began to leave in the meantime, is started. Whatever the input
// is, what time alone has changed comes first.
void Sidecar::Impl::BeforeInput(TimeUs now) {
  clock = std::max(clock, now);
  EndLate(now);
  EndApartHold(now);
  tombstones.Expire(now);
  if (const Refusal reason = Closed(now); reason != Refusal::kNone) {
    HandBackWaiting(now, reason);
  }
}

// Why nothing new may be started; `kNone` when it may.
Refusal Sidecar::Impl::Closed(TimeUs now) const {
  if (leaving.IsLeaving(now) || state == NodeState::kLeaving) {
    return Refusal::kLeaving;
  }
  return state == NodeState::kReady && leaving.IsReachable(now)
             ? Refusal::kNone
             : Refusal::kNoReplica;
}

void Sidecar::Impl::HandBackWaiting(TimeUs now, Refusal reason) {
  while (!apart_waiting.empty()) {
    EndWaiting(now, StageKey(apart_waiting.front()), reason);
  }
  while (const auto next = queue.Pop()) {
    EndWaiting(now, next->key, reason);
  }
}

void Sidecar::Impl::OnCall(TimeUs now,
                           const NodeId& from,
                           const StageCall& call) {
  // Failure: a call for a predecessor of this process arrives here. Symptom: a
  // copy of it may have run there, so "not run" could be false.
  if (call.sidecar != options.incarnation) {
    metrics->Count("acaciachute_sidecar_wrong_incarnation_total");
    StageFailure failure;
    failure.key = call.key;
    failure.sidecar = call.sidecar;
    failure.verdict = Verdict::kMayHaveRun;
    output->Send(from, failure);
    return;
  }
  // Failure: the network delivers a call twice, or after its cancel. Symptom: a
  // second run, or a run after "not run" was told. A key is taken once.
  if (work.contains(call.key) || tombstones.Contains(call.key)) {
    metrics->Count("acaciachute_sidecar_duplicates_total");
    return;
  }
  const DurationUs age = ages.Of(call.key.request.origin, call.sent_at, now);
  quarantine.Merge(now, call.quarantined);
  const QuarantineState quarantine_state = quarantine.Of(now, call.fingerprint);
  Work item;
  item.entry = from;
  item.call = call;
  item.received = now;
  item.deadline = now + call.time_left - age;
  item.is_long = times.IsLong(call);
  item.apart = quarantine_state == QuarantineState::kSuspect;
  if (tombstones.MayBeDropped(call.key)) {
    Fail(now, item, Verdict::kMayHaveRun, Refusal::kFull);
    return;
  }
  Refusal reason = Closed(now);
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
  if (queue.size() + apart_waiting.size() >= options.max_queued) {
    // Failure: the queue is full of patient work when urgent work comes.
    // Symptom: the urgent call is refused behind work that can wait.
    const auto out = item.call.caller_class == CallerClass::kUrgent
                         ? queue.PopLastPatient()
                         : std::nullopt;
    if (!out) {
      Refuse(now, item, Refusal::kFull);
      return;
    }
    EndWaiting(now, out->key, Refusal::kFull);
  }
  const StageKey key = item.call.key;
  deadlines.emplace(item.deadline, key);
  if (item.apart) {
    apart_waiting.push_back(key);
  } else {
    queue.Push({key, item.call.caller_class, item.deadline, item.is_long});
  }
  work[key] = std::move(item);
  StartWaiting(now);
}

// Work that would end after its deadline costs a slot and helps nobody. An idle
// upstream takes a call in any case: an estimate that went wrong would
// otherwise refuse all work for ever, as only answers correct it.
bool Sidecar::Impl::CanMeetDeadline(TimeUs now, const Work& item) const {
  return Occupied() == 0 ||
         now + ExpectedWait(item) + times.Expected(item.call) <= item.deadline;
}

DurationUs Sidecar::Impl::ExpectedWait(const Work& item) const {
  if (Occupied() < limit.Current()) {
    return 0;
  }
  const auto ahead = static_cast<DurationUs>(
      queue.Ahead(item.call.caller_class, item.deadline) + 1);
  return ahead * times.Mean() / limit.Current();
}

// When the calls that wait now will have been started.
DurationUs Sidecar::Impl::RetryAfter() const {
  const auto waiting = static_cast<DurationUs>(queue.size() + 1);
  return std::max(kMinRetryAfter, waiting * times.Mean() / limit.Current());
}

std::uint32_t Sidecar::Impl::Occupied() const {
  return static_cast<std::uint32_t>(running.size() + overrunning.size());
}

void Sidecar::Impl::StartWaiting(TimeUs now) {
  while (crash_check_at == 0 && !apart_running) {
    if (ApartIsNext()) {
      if (!StartApart(now)) {
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
    if (HandOver(now, next->key) && starts_owed > 0) {
      --starts_owed;
    }
  }
}

bool Sidecar::Impl::ApartIsNext() const {
  return !apart_waiting.empty() && (starts_owed == 0 || queue.size() == 0);
}

// A suspect waits for an idle upstream and nothing starts until it has ended.
// In between, other calls get a slot each, so that a row of suspects does not
// shut them out. False while it has to wait.
bool Sidecar::Impl::StartApart(TimeUs now) {
  if (Occupied() > 0) {
    apart_hold_until =
        apart_hold_until == 0 ? now + kApartHold : apart_hold_until;
    return false;
  }
  const StageKey key = apart_waiting.front();
  apart_waiting.pop_front();
  apart_hold_until = 0;
  starts_owed = limit.Current();
  apart_running = HandOver(now, key);
  return true;
}

void Sidecar::Impl::EndApartHold(TimeUs now) {
  if (apart_hold_until == 0 || now < apart_hold_until) {
    return;
  }
  apart_hold_until = 0;
  starts_owed = limit.Current();
  EndWaiting(now, StageKey(apart_waiting.front()), Refusal::kFull);
}

// The last point before the upstream. False when the call may not start: it is
// too late, or news of a crash came while it waited.
bool Sidecar::Impl::HandOver(TimeUs now, const StageKey& key) {
  Work& item = work[key];
  const QuarantineState quarantine_state =
      quarantine.Of(now, item.call.fingerprint);
  if (quarantine_state == QuarantineState::kConvicted) {
    EndWaiting(now, key, Refusal::kQuarantined);
    return false;
  }
  if (quarantine_state == QuarantineState::kSuspect && !item.apart) {
    item.apart = true;
    apart_waiting.push_back(key);
    return false;
  }
  // Half of the expected time is what few calls stay below; one with less time
  // left would most likely take a slot for nothing.
  const DurationUs least = Occupied() == 0 ? 0 : times.Expected(item.call) / 2;
  if (now + least >= item.deadline) {
    EndWaiting(now, key, Refusal::kLate);
    return false;
  }
  item.upstream_call = next_upstream_call++;
  item.handed_over = now;
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

// Failure: a call is refused here, and a second copy of it, delayed in the
// network, comes when there is room again. Symptom: it runs although "not run"
// was told. A refused attempt is remembered like one that ended.
void Sidecar::Impl::Refuse(TimeUs now, const Work& item, Refusal reason) {
  Fail(now, item, Verdict::kNotRun, reason);
  tombstones.Add(item.call.key, std::max(item.deadline, now) + kTombstoneSlack);
}

void Sidecar::Impl::EndWaiting(TimeUs now,
                               const StageKey& key,
                               Refusal reason) {
  const Work& item = work.at(key);
  if (!item.apart) {
    queue.Remove(key);
  } else if (const auto it =
                 std::find(apart_waiting.begin(), apart_waiting.end(), key);
             it != apart_waiting.end()) {
    apart_hold_until = it == apart_waiting.begin() ? 0 : apart_hold_until;
    apart_waiting.erase(it);
  }
  Fail(now, item, Verdict::kNotRun, reason);
  Forget(now, key);
}

// Nobody waits for what runs. It is stopped where that does no harm.
void Sidecar::Impl::EndRunning(TimeUs now,
                               const StageKey& key,
                               Refusal reason) {
  const Work& item = work.at(key);
  if (item.call.idempotent) {
    output->CancelUpstream(item.upstream_call);
  } else if (!item.broken) {
    overrunning[item.upstream_call] = {
        now + kOverrun, {item.call.fingerprint, item.call.account}};
  }
  Fail(now, item, Verdict::kMayHaveRun, reason);
  Forget(now, key);
}

// Ends the work under `key`; its tombstone outlives any late copy of the call.
void Sidecar::Impl::Forget(TimeUs now, const StageKey& key) {
  const auto it = work.find(key);
  const Work& item = it->second;
  const TimeUs deadline = item.deadline;
  if (!item.waits()) {
    apart_running = apart_running && !item.apart;
    running_long -= item.is_long ? 1 : 0;
  }
  deadlines.erase({deadline, key});
  running.erase(item.upstream_call);
  // The key may live in the work that is erased.
  const StageKey kept = key;
  work.erase(it);
  tombstones.Add(kept, std::max(deadline, now) + kTombstoneSlack);
}

void Sidecar::Impl::OnCancel(TimeUs now,
                             const NodeId& from,
                             const StageCancel& cancel) {
  if (cancel.sidecar != options.incarnation) {
    return;
  }
  const auto it = work.find(cancel.key);
  if (it == work.end()) {
    // The call may still be on its way and must not run when it comes.
    tombstones.Add(cancel.key, now + cancel.time_left + kTombstoneSlack);
    return;
  }
  if (it->second.waits()) {
    EndWaiting(now, cancel.key, Refusal::kCancelled);
  } else {
    EndRunning(now, cancel.key, Refusal::kCancelled);
  }
  StartWaiting(now);
}

void Sidecar::Impl::EndLate(TimeUs now) {
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
  // Derived, so that a replayed trace gives the same ids.
  span.context.span = parent->span ^ options.incarnation;
  span.parent = parent->span;
  span.name = "sidecar";
  span.start = item.received;
  span.end = now;
  span.attributes = {
      {"node", options.node},
      {"outcome", std::string(outcome)},
      {"waited_us",
       std::to_string((item.handed_over == 0 ? now : item.handed_over) -
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
  impl_->BeforeInput(now);
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
  const DurationUs age = impl_->ages.Of(incarnation, heartbeat.sent_at, now);
  // An entry's word counts from when it was sent.
  impl_->leaving.OnWord(now - age, LeaveRoute::kEntry,
                        heartbeat.receiver_leaving);
  impl_->quarantine.Merge(now, heartbeat.quarantined);
  impl_->BeforeInput(now);
}

void Sidecar::OnHostList(TimeUs now, bool leaving) {
  impl_->leaving.OnWord(now, LeaveRoute::kHostList, leaving);
  impl_->BeforeInput(now);
}

void Sidecar::OnPeerLost(TimeUs now, const NodeId& entry) {
  impl_->BeforeInput(now);
  std::vector<StageKey> keys;
  for (const auto& [key, item] : impl_->work) {
    // What runs and may not be repeated is finished; its answer has nowhere to
    // go, but a cut run would be worse for the caller.
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
  impl_->BeforeInput(now);
  if (impl_->crash_check_at != 0 &&
      now >= impl_->crash_check_at + kCrashCheckTime) {
    impl_->EndCrashCheck(now, /*crashed=*/true);
  }
  impl_->StartWaiting(now);
}

TimeUs Sidecar::NextWakeup() const {
  TimeUs next = std::min(impl_->tombstones.NextEnd(),
                         impl_->leaving.NextChange(impl_->clock));
  if (!impl_->deadlines.empty()) {
    next = std::min(next, impl_->deadlines.begin()->first);
  }
  for (const auto& [unused, overrun] : impl_->overrunning) {
    next = std::min(next, overrun.until);
  }
  if (impl_->apart_hold_until != 0) {
    next = std::min(next, impl_->apart_hold_until);
  }
  if (impl_->crash_check_at != 0) {
    next = std::min(next, impl_->crash_check_at + kCrashCheckTime);
  }
  return next;
}

void Sidecar::SetState(NodeState state) {
  impl_->state = state;
  impl_->BeforeInput(impl_->clock);
}

void Sidecar::LeaveByOrder(TimeUs now) {
  impl_->leaving.OnWord(now, LeaveRoute::kOrder, true);
  impl_->BeforeInput(now);
}

void Sidecar::Leave(TimeUs now) {
  impl_->leaving.OnWord(now, LeaveRoute::kSignal, true);
  impl_->BeforeInput(now);
}

NodeState Sidecar::state() const {
  switch (impl_->Closed(impl_->clock)) {
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
      impl_->queue.size() + impl_->apart_waiting.size());
  heartbeat.load.in_progress = impl_->Occupied();
  heartbeat.load.urgent = static_cast<std::uint32_t>(
      std::count_if(impl_->work.begin(), impl_->work.end(), [](const auto& it) {
        return it.second.call.caller_class == CallerClass::kUrgent;
      }));
  heartbeat.load.limit = impl_->limit.Current();
  heartbeat.load.service_us = static_cast<std::uint32_t>(impl_->times.Mean());
  heartbeat.quarantined = impl_->quarantine.Told(impl_->clock);
  return heartbeat;
}

}  // namespace acaciachute
