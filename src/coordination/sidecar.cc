#include "coordination/sidecar.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/class_queue.h"

namespace acaciachute {
namespace {

// Told with a refusal when the queue is full.
constexpr DurationUs kQueueFullRetryAfter = 200 * kMillisecond;

// How long a call may stay in the network after it was sent. TCP gives up on a
// silent peer within the transport's limit, which is below this.
constexpr DurationUs kTombstoneSlack = 30 * kSecond;

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
  void StartWaiting(TimeUs now);
  void HandOver(TimeUs now, Work& work);
  void Fail(TimeUs now,
            const Work& work,
            Verdict verdict,
            Refusal reason,
            bool crashed = false);
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
  // Attempts that ended or were cancelled, kept until their deadline.
  absl::flat_hash_map<StageKey, TimeUs> tombstones;
  std::set<std::pair<TimeUs, StageKey>> tombstone_ends;
  DurationUs mean_service = 0;
};

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
  if (work.contains(call.key) || tombstones.contains(call.key)) {
    metrics->Count("acaciachute_sidecar_duplicates_total");
    return;
  }
  Work item;
  item.entry = from;
  item.call = call;
  item.received = now;
  item.deadline = now + call.time_left;
  if (state != NodeState::kReady) {
    Fail(now, item, Verdict::kNotRun, Refusal::kLeaving);
    return;
  }
  if (call.time_left <= 0) {
    Fail(now, item, Verdict::kNotRun, Refusal::kLate);
    return;
  }
  if (queue.size() >= options.max_queued) {
    Fail(now, item, Verdict::kNotRun, Refusal::kFull);
    return;
  }
  deadlines.emplace(item.deadline, call.key);
  queue.Push(call.caller_class, call.key);
  work[call.key] = std::move(item);
  StartWaiting(now);
}

void Sidecar::Impl::StartWaiting(TimeUs now) {
  while (running.size() < options.limit) {
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

// Ends the work under `key` and leaves a tombstone that outlives any late copy
// of the call: its deadline and the longest stay in the network.
void Sidecar::Impl::Forget(TimeUs now, const StageKey& key) {
  const auto it = work.find(key);
  if (it == work.end()) {
    return;
  }
  const TimeUs deadline = it->second.deadline;
  deadlines.erase({deadline, key});
  running.erase(it->second.upstream_call);
  work.erase(it);
  tombstones[key] = std::max(deadline, now) + kTombstoneSlack;
  tombstone_ends.emplace(tombstones[key], key);
}

void Sidecar::Impl::OnCancel(TimeUs now,
                             const NodeId& from,
                             const StageCancel& cancel) {
  if (cancel.sidecar != options.incarnation) {
    return;
  }
  const auto it = work.find(cancel.key);
  if (it == work.end()) {
    if (!tombstones.contains(cancel.key)) {
      tombstones[cancel.key] = now + cancel.time_left + kTombstoneSlack;
      tombstone_ends.emplace(tombstones[cancel.key], cancel.key);
    }
    return;
  }
  Work& item = it->second;
  if (item.upstream_call == 0) {
    queue.Remove(cancel.key);
    Fail(now, item, Verdict::kNotRun, Refusal::kCancelled);
  } else {
    output->CancelUpstream(item.upstream_call);
    Fail(now, item, Verdict::kMayHaveRun, Refusal::kCancelled);
  }
  Forget(now, cancel.key);
  StartWaiting(now);
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
  if (const auto* call = std::get_if<StageCall>(&message)) {
    impl_->OnCall(now, from, *call);
  } else if (const auto* cancel = std::get_if<StageCancel>(&message)) {
    impl_->OnCancel(now, from, *cancel);
  } else {
    impl_->metrics->Count("acaciachute_unexpected_messages_total");
  }
}

void Sidecar::OnPeerLost(TimeUs now, const NodeId& entry) {
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
  Work* item = impl_->FindRunning(id);
  if (item == nullptr) {
    impl_->metrics->Count("acaciachute_sidecar_stale_answers_total");
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
  Work* item = impl_->FindRunning(id);
  if (item == nullptr) {
    impl_->metrics->Count("acaciachute_sidecar_stale_answers_total");
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
  while (!impl_->deadlines.empty() && impl_->deadlines.begin()->first <= now) {
    const StageKey key = impl_->deadlines.begin()->second;
    Work& item = impl_->work[key];
    const bool waits = item.upstream_call == 0;
    if (waits) {
      impl_->queue.Remove(key);
    } else if (item.call.idempotent) {
      impl_->output->CancelUpstream(item.upstream_call);
    }
    impl_->Fail(now, item, waits ? Verdict::kNotRun : Verdict::kMayHaveRun,
                Refusal::kLate);
    impl_->Forget(now, key);
  }
  auto& ends = impl_->tombstone_ends;
  while (!ends.empty() && ends.begin()->first <= now) {
    impl_->tombstones.erase(ends.begin()->second);
    ends.erase(ends.begin());
  }
  impl_->StartWaiting(now);
}

TimeUs Sidecar::NextWakeup() const {
  TimeUs next = std::numeric_limits<TimeUs>::max();
  if (!impl_->deadlines.empty()) {
    next = impl_->deadlines.begin()->first;
  }
  if (!impl_->tombstone_ends.empty()) {
    next = std::min(next, impl_->tombstone_ends.begin()->first);
  }
  return next;
}

void Sidecar::SetState(NodeState state) {
  impl_->state = state;
}

NodeState Sidecar::state() const {
  return impl_->state;
}

std::size_t Sidecar::InProgress() const {
  return impl_->work.size();
}

Heartbeat Sidecar::MakeHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.role = Role::kSidecar;
  heartbeat.state = impl_->state;
  heartbeat.load.queued = impl_->queue.size();
  heartbeat.load.in_progress = impl_->running.size();
  heartbeat.load.limit = impl_->options.limit;
  heartbeat.load.service_us = impl_->mean_service;
  return heartbeat;
}

}  // namespace acaciachute
