#include "coordination/sidecar.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/class_queue.h"
#include "coordination/leaving.h"
#include "coordination/message_age.h"
#include "coordination/tombstones.h"

namespace acaciachute {
namespace {

// Told with a refusal when the queue is full.
constexpr DurationUs kQueueFullRetryAfter = 200 * kMillisecond;

// A copy that comes after its deadline is refused by its age; a tombstone
// outlives the deadline by what an age may be wrong by, with room to spare.
constexpr DurationUs kTombstoneSlack = 5 * kSecond;

// A call that may not be repeated is not cut at its deadline: the upstream
// would stop half-way through an order. Its slot stays taken until it ends, or
// until this long after, when the upstream is taken to have lost it.
constexpr DurationUs kOverrun = 30 * kSecond;

// Weight of the newest answer in the mean service time.
constexpr int kServiceWeight = 8;

struct Work {
  NodeId entry;
  StageCall call;
  TimeUs received = 0;
  TimeUs deadline = 0;
  TimeUs handed_over = 0;
  UpstreamCallId upstream_call = 0;  // Zero while it waits.
  std::uint32_t next_chunk = 0;
};

}  // namespace

struct Sidecar::Impl {
  Impl(SidecarOptions options, SidecarOutput* output, Metrics* metrics)
      : options(std::move(options)), output(output), metrics(metrics) {}

  void OnCall(TimeUs now, const NodeId& from, const StageCall& call);
  void OnCancel(TimeUs now, const NodeId& from, const StageCancel& cancel);
  void BeforeInput(TimeUs now);
  Refusal Closed(TimeUs now) const;
  void EndLate(TimeUs now);
  void EndOverrun(TimeUs now, UpstreamCallId id);
  void HandBackWaiting(TimeUs now, Refusal reason);
  void StopRunning(TimeUs now, const Work& work);
  void StartWaiting(TimeUs now);
  void HandOver(TimeUs now, Work& work);
  void Fail(TimeUs now,
            const Work& work,
            Verdict verdict,
            Refusal reason,
            bool crashed = false);
  void Refuse(TimeUs now, const Work& work, Refusal reason);
  void Forget(TimeUs now, const StageKey& key);
  void ExportSpan(TimeUs now, const Work& work, std::string_view outcome);
  Work* FindRunning(UpstreamCallId id);

  const SidecarOptions options;
  SidecarOutput* const output;
  Metrics* const metrics;
  NodeState state = NodeState::kReady;
  UpstreamCallId next_upstream_call = 1;
  ClassQueue queue;
  absl::flat_hash_map<StageKey, Work> work;
  absl::flat_hash_map<UpstreamCallId, StageKey> running;
  std::set<std::pair<TimeUs, StageKey>> deadlines;
  // Calls nobody waits for any longer, which still hold a slot.
  absl::flat_hash_map<UpstreamCallId, TimeUs> overrunning;
  Tombstones tombstones;
  MessageAge ages;
  Leaving leaving;
  TimeUs clock = 0;  // Of the last input.
  DurationUs mean_service = 0;
};

// Failure: this process wakes from a pause and handles what its buffers hold in
// any order. Symptom: an answer frees a slot and a call whose time is over, or
// whose upstream began to leave in the meantime, is started. Whatever the input
// is, what time alone has changed comes first.
void Sidecar::Impl::BeforeInput(TimeUs now) {
  clock = std::max(clock, now);
  EndLate(now);
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
  while (const auto key = queue.Pop()) {
    Fail(now, work[*key], Verdict::kNotRun, reason);
    Forget(now, *key);
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
  Work item;
  item.entry = from;
  item.call = call;
  item.received = now;
  item.deadline = now + call.time_left - age;
  if (tombstones.MayBeDropped(call.key)) {
    Fail(now, item, Verdict::kMayHaveRun, Refusal::kFull);
    return;
  }
  if (const Refusal reason = Closed(now); reason != Refusal::kNone) {
    Refuse(now, item, reason);
    return;
  }
  if (item.deadline <= now) {
    Refuse(now, item, Refusal::kLate);
    return;
  }
  if (queue.size() >= options.max_queued) {
    Refuse(now, item, Refusal::kFull);
    return;
  }
  deadlines.emplace(item.deadline, call.key);
  queue.Push(call.caller_class, call.key);
  work[call.key] = std::move(item);
  StartWaiting(now);
}

void Sidecar::Impl::StartWaiting(TimeUs now) {
  while (running.size() + overrunning.size() < options.limit) {
    const auto key = queue.Pop();
    if (!key) {
      return;
    }
    Work& item = work[*key];
    // Failure: this process was paused with the call in its queue. Symptom: a
    // stale call runs after its caller was answered. The time left is checked
    // again here, the last point before the upstream.
    if (now >= item.deadline) {
      Fail(now, item, Verdict::kNotRun, Refusal::kLate);
      Forget(now, *key);
      continue;
    }
    HandOver(now, item);
  }
}

void Sidecar::Impl::HandOver(TimeUs now, Work& item) {
  item.upstream_call = next_upstream_call++;
  item.handed_over = now;
  running[item.upstream_call] = item.call.key;
  metrics->Count("acaciachute_sidecar_handed_over_total",
                 Name(item.call.caller_class));
  metrics->Observe("acaciachute_sidecar_wait_seconds",
                   Name(item.call.caller_class), now - item.received);
  output->CallUpstream(item.upstream_call, item.call, item.deadline - now);
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
  failure.retry_after = reason == Refusal::kFull ? kQueueFullRetryAfter : 0;
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

// Ends the work under `key`; its tombstone outlives any late copy of the call.
void Sidecar::Impl::Forget(TimeUs now, const StageKey& key) {
  const auto it = work.find(key);
  if (it == work.end()) {
    return;
  }
  const TimeUs deadline = it->second.deadline;
  deadlines.erase({deadline, key});
  running.erase(it->second.upstream_call);
  work.erase(it);
  tombstones.Add(key, std::max(deadline, now) + kTombstoneSlack);
}

// Nobody waits for what runs. It is stopped where that does no harm.
void Sidecar::Impl::StopRunning(TimeUs now, const Work& item) {
  if (item.call.idempotent) {
    output->CancelUpstream(item.upstream_call);
  } else {
    overrunning[item.upstream_call] = now + kOverrun;
  }
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
  const Work& item = it->second;
  if (item.upstream_call == 0) {
    queue.Remove(cancel.key);
    Fail(now, item, Verdict::kNotRun, Refusal::kCancelled);
  } else {
    StopRunning(now, item);
    Fail(now, item, Verdict::kMayHaveRun, Refusal::kCancelled);
  }
  Forget(now, cancel.key);
  StartWaiting(now);
}

void Sidecar::Impl::EndLate(TimeUs now) {
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const StageKey key = deadlines.begin()->second;
    const Work& item = work[key];
    if (item.upstream_call == 0) {
      queue.Remove(key);
      Fail(now, item, Verdict::kNotRun, Refusal::kLate);
    } else {
      StopRunning(now, item);
      Fail(now, item, Verdict::kMayHaveRun, Refusal::kLate);
    }
    Forget(now, key);
  }
  for (auto it = overrunning.begin(); it != overrunning.end();) {
    const auto current = it++;
    if (current->second <= now) {
      output->CancelUpstream(current->first);
      overrunning.erase(current);
    }
  }
}

void Sidecar::Impl::EndOverrun(TimeUs now, UpstreamCallId id) {
  if (overrunning.erase(id) > 0) {
    StartWaiting(now);
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

Work* Sidecar::Impl::FindRunning(UpstreamCallId id) {
  const auto it = running.find(id);
  return it == running.end() ? nullptr : &work[it->second];
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
  impl_->BeforeInput(now);
}

void Sidecar::OnUpstreamReport(TimeUs now,
                               TimeUs asked_at,
                               const UpstreamReport& report) {
  impl_->leaving.OnReport(asked_at, report.reachable);
  if (report.reachable) {
    impl_->leaving.OnWord(now, LeaveRoute::kUpstream, report.leaving);
  }
  impl_->BeforeInput(now);
  impl_->StartWaiting(now);
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
    if (item.entry == entry &&
        (item.upstream_call == 0 || item.call.idempotent)) {
      keys.push_back(key);
    }
  }
  std::sort(keys.begin(), keys.end());
  for (const StageKey& key : keys) {
    impl_->OnCancel(now, entry, {key, impl_->options.incarnation, 0});
  }
}

void Sidecar::OnUpstreamChunk(TimeUs now,
                              UpstreamCallId id,
                              std::string body,
                              bool last) {
  impl_->BeforeInput(now);
  Work* item = impl_->FindRunning(id);
  if (item == nullptr) {
    impl_->metrics->Count("acaciachute_sidecar_stale_answers_total");
    if (last) {
      impl_->EndOverrun(now, id);
    }
    return;
  }
  StageChunk chunk;
  chunk.key = item->call.key;
  chunk.sidecar = impl_->options.incarnation;
  chunk.sequence = item->next_chunk++;
  chunk.last = last;
  chunk.service = now - item->handed_over;
  chunk.body = std::move(body);
  impl_->output->Send(item->entry, chunk);
  if (!last) {
    return;
  }
  auto& mean = impl_->mean_service;
  mean = mean == 0 ? chunk.service
                   : mean + (chunk.service - mean) / kServiceWeight;
  impl_->ExportSpan(now, *item, "answered");
  impl_->Forget(now, chunk.key);
  impl_->StartWaiting(now);
}

void Sidecar::OnUpstreamError(TimeUs now,
                              UpstreamCallId id,
                              UpstreamError error) {
  impl_->BeforeInput(now);
  Work* item = impl_->FindRunning(id);
  if (item == nullptr) {
    impl_->metrics->Count("acaciachute_sidecar_stale_answers_total");
    impl_->EndOverrun(now, id);
    return;
  }
  const bool not_run =
      error == UpstreamError::kNotSent || error == UpstreamError::kRejected;
  impl_->Fail(now, *item, not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
              Refusal::kUpstreamFailed, error == UpstreamError::kBroken);
  impl_->Forget(now, StageKey(item->call.key));
  impl_->StartWaiting(now);
}

void Sidecar::OnTick(TimeUs now) {
  impl_->BeforeInput(now);
  impl_->StartWaiting(now);
}

TimeUs Sidecar::NextWakeup() const {
  TimeUs next = std::min(impl_->tombstones.NextEnd(),
                         impl_->leaving.NextChange(impl_->clock));
  if (!impl_->deadlines.empty()) {
    next = std::min(next, impl_->deadlines.begin()->first);
  }
  for (const auto& [unused, until] : impl_->overrunning) {
    next = std::min(next, until);
  }
  return next;
}

void Sidecar::SetState(NodeState state) {
  impl_->state = state;
  impl_->BeforeInput(impl_->clock);
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

Heartbeat Sidecar::MakeHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.role = Role::kSidecar;
  heartbeat.state = state();
  heartbeat.load.queued = impl_->queue.size();
  heartbeat.load.in_progress =
      impl_->running.size() + impl_->overrunning.size();
  heartbeat.load.limit = impl_->options.limit;
  heartbeat.load.service_us = impl_->mean_service;
  return heartbeat;
}

}  // namespace acaciachute
