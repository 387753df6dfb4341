#include "coordination/stages/stage_replicas.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace acaciachute {

void StageReplicas::SetService(const std::string& name,
                               const BatchLimits& limits) {
  service_ = name;
  limits_ = limits;
}

double StageReplicas::SlownessOf(TimeUs now, const ReplicaState& state) {
  const double age_in_decay_times =
      static_cast<double>(now - state.measured_at) /
      static_cast<double>(kSlownessDecayTime);
  return 1 +
         (state.slowness - 1) * std::exp(-std::max(0.0, age_in_decay_times));
}

const StageReplicas::ReplicaState* StageReplicas::Find(
    const ReplicaId& id) const {
  const auto it = states_.find(id);
  return it == states_.end() ? nullptr : &it->second;
}

double StageReplicas::Slowness(TimeUs now, const ReplicaId& id) const {
  const ReplicaState* state = Find(id);
  return state == nullptr ? 1 : SlownessOf(now, *state);
}

DurationUs StageReplicas::CallTime(double slowness, std::size_t pieces) const {
  const auto normal =
      static_cast<double>(limits_.call) +
      static_cast<double>(limits_.piece) * static_cast<double>(pieces);
  return static_cast<DurationUs>(slowness * normal);
}

bool StageReplicas::InEvacuatedDomain(const std::string& handle) const {
  const ReplicaEntry* producer = directory_->ProducerOf(handle);
  return producer != nullptr && directory_->IsEvacuated(producer->domain);
}

std::vector<const ReplicaEntry*> StageReplicas::FreeReplicas(TimeUs now) {
  std::vector<std::tuple<bool, double, const ReplicaEntry*>> found;
  for (const ReplicaEntry* it : All()) {
    const ReplicaState& state = states_[it->id];
    if (state.calls < limits_.slots && state.overdue <= limits_.queue &&
        now >= state.backoff_until && now >= state.out_of_memory_until) {
      found.emplace_back(it->superseded, SlownessOf(now, state), it);
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return std::pair(std::get<0>(a), std::get<1>(a)) <
           std::pair(std::get<0>(b), std::get<1>(b));
  });
  std::vector<const ReplicaEntry*> free;
  free.reserve(found.size());
  for (const auto& [superseded, slowness, it] : found) {
    free.push_back(it);
  }
  return free;
}

bool StageReplicas::ShouldUse(TimeUs now,
                              const ReplicaEntry& replica,
                              std::size_t waiting) {
  const double slowness = Slowness(now, replica.id);
  if (slowness < kSlowThreshold) {
    return true;
  }
  std::size_t normal_replicas = 0;
  DurationUs time_until_free = 0;
  for (const ReplicaEntry* it : All()) {
    const ReplicaState& state = states_[it->id];
    if (it->id == replica.id || now < state.backoff_until ||
        SlownessOf(now, state) >= kSlowThreshold) {
      continue;
    }
    const DurationUs wait = state.calls < limits_.slots
                                ? 0
                                : std::max<DurationUs>(0, state.free_at - now);
    time_until_free =
        normal_replicas == 0 ? wait : std::min(time_until_free, wait);
    ++normal_replicas;
  }
  if (normal_replicas == 0) {
    return true;
  }
  const std::size_t rounds = waiting / (normal_replicas * limits_.batch) + 1;
  const DurationUs others_done =
      time_until_free +
      static_cast<DurationUs>(rounds) * CallTime(1, limits_.batch);
  return CallTime(slowness, std::min<std::size_t>(waiting, limits_.batch)) <
         others_done;
}

bool StageReplicas::InBackoff(TimeUs now, const ReplicaId& id) const {
  const ReplicaState* state = Find(id);
  return state != nullptr && now < state->backoff_until;
}

StageReplicas::Availability StageReplicas::NextAvailability(
    TimeUs now,
    DurationUs max_wait,
    const NextCallFn& next_call) const {
  Availability open{0, max_wait};
  Availability closed{0, max_wait};
  for (const ReplicaEntry* it : All()) {
    if (InBackoff(now, it->id)) {
      continue;
    }
    const ReplicaState* state = Find(it->id);
    const bool busy = state != nullptr && state->calls >= limits_.slots;
    const DurationUs until_free =
        busy ? std::max<DurationUs>(0, state->free_at - now) : 0;
    const DurationUs until_next = next_call(*it) - now;
    Availability& first = until_next > 0 ? closed : open;
    ++first.replicas;
    first.wait = std::min(first.wait, std::max(until_free, until_next));
  }
  return open.replicas > 0 ? open : closed;
}

DurationUs StageReplicas::OnCallStarted(TimeUs now,
                                        const ReplicaId& id,
                                        std::size_t pieces) {
  ReplicaState& state = states_[id];
  ++state.calls;
  const DurationUs takes = CallTime(SlownessOf(now, state), pieces);
  state.free_at = now + takes;
  return takes;
}

void StageReplicas::OnCallOverdue(TimeUs now,
                                  const ReplicaId& id,
                                  const CallView& call) {
  ReplicaState& state = states_[id];
  if (state.calls > 0) {
    --state.calls;
    ++state.overdue;
  }
  state.slowness =
      std::max(state.slowness, static_cast<double>(now - call.started) /
                                   static_cast<double>(call.expected));
  state.measured_at = now;
}

void StageReplicas::OnCallEnded(TimeUs now,
                                const ReplicaId& id,
                                const CallView& call,
                                End end) {
  ReplicaState& state = states_[id];
  std::uint32_t& calls = call.overdue ? state.overdue : state.calls;
  if (calls > 0) {
    --calls;
  }
  Release(id, call.result_bytes);
  if (end == End::kLost) {
    return;
  }
  if (end == End::kFailed) {
    state.backoff_until = now + state.backoff;
    state.backoff = std::min(kMaxFailureBackoff, 2 * state.backoff);
    return;
  }
  state.backoff = kFailureBackoff;
  const double measured = static_cast<double>(now - call.started) /
                          static_cast<double>(call.expected);
  const double before = SlownessOf(now, state);
  state.slowness =
      std::max(1.0, before + kNewestCallWeight * (measured - before));
  state.measured_at = now;
}

void StageReplicas::OnOutOfMemory(TimeUs now, const ReplicaId& id) {
  states_[id].out_of_memory_until = now + kOutOfMemoryBackoff;
}

std::uint64_t StageReplicas::HeldBytes(const ReplicaId& id) const {
  const ReplicaState* state = Find(id);
  return state == nullptr ? 0 : state->held_bytes;
}

void StageReplicas::Reserve(const ReplicaId& id, std::uint64_t bytes) {
  states_[id].held_bytes += bytes;
}

void StageReplicas::Release(const ReplicaId& id, std::uint64_t bytes) {
  if (const auto it = states_.find(id); it != states_.end()) {
    it->second.held_bytes -= std::min(it->second.held_bytes, bytes);
  }
}

void StageReplicas::AddResult(TimeUs now,
                              const ReplicaId& id,
                              const std::string& handle,
                              std::uint64_t bytes) {
  results_[handle] = {id, bytes, now + limits_.result_lifetime};
  Reserve(id, bytes);
}

void StageReplicas::RemoveResult(const std::string& handle) {
  if (const auto it = results_.find(handle); it != results_.end()) {
    Release(it->second.producer, it->second.bytes);
    results_.erase(it);
  }
}

void StageReplicas::RemoveExpiredResults(TimeUs now) {
  for (auto it = results_.begin(); it != results_.end();) {
    if (now < it->second.expires_at) {
      ++it;
      continue;
    }
    Release(it->second.producer, it->second.bytes);
    it = results_.erase(it);
  }
}

double StageReplicas::MemoryShareInUse() const {
  double held = 0;
  for (const ReplicaEntry* it : All()) {
    held += static_cast<double>(HeldBytes(it->id));
  }
  const double capacity = static_cast<double>(limits_.result_memory_bytes) *
                          static_cast<double>(All().size());
  return capacity > 0 ? held / capacity : 0;
}

}  // namespace acaciachute
