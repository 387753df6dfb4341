#include "coordination/stages/stage_replicas.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciachute {

void StageReplicas::SetService(const std::string& name,
                               const BatchLimits& limits) {
  service_ = name;
  limits_ = limits;
}

double StageReplicas::SlownessOf(TimeUs now, const ReplicaState& state) {
  const double age = static_cast<double>(now - state.measured_at) /
                     static_cast<double>(kForget);
  return 1 + (state.slowness - 1) * std::exp(-std::max(0.0, age));
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
  const auto plain =
      static_cast<double>(limits_.call) +
      static_cast<double>(limits_.piece) * static_cast<double>(pieces);
  return static_cast<DurationUs>(slowness * plain);
}

bool StageReplicas::InEvacuatedDomain(const std::string& handle) const {
  const ReplicaEntry* producer = directory_->ProducerOf(handle);
  return producer != nullptr && directory_->IsEvacuated(producer->domain);
}

std::vector<const ReplicaEntry*> StageReplicas::Free(TimeUs now) {
  std::vector<std::pair<double, const ReplicaEntry*>> found;
  for (const ReplicaEntry* it : All()) {
    const ReplicaState& state = states_[it->id];
    if (state.calls < limits_.slots && state.overdue <= limits_.queue &&
        now >= state.shunned_until && now >= state.full_until) {
      found.emplace_back(SlownessOf(now, state), it);
    }
  }
  std::sort(found.begin(), found.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<const ReplicaEntry*> free;
  free.reserve(found.size());
  for (const auto& [slowness, it] : found) {
    free.push_back(it);
  }
  return free;
}

bool StageReplicas::WorthIt(TimeUs now,
                            const ReplicaEntry& replica,
                            std::size_t waiting) {
  const double own = Slowness(now, replica.id);
  if (own < kSound) {
    return true;
  }
  std::size_t sound = 0;
  DurationUs first_free = 0;
  for (const ReplicaEntry* it : All()) {
    const ReplicaState& state = states_[it->id];
    if (it->id == replica.id || now < state.shunned_until ||
        SlownessOf(now, state) >= kSound) {
      continue;
    }
    const DurationUs wait = state.calls < limits_.slots
                                ? 0
                                : std::max<DurationUs>(0, state.free_at - now);
    first_free = sound == 0 ? wait : std::min(first_free, wait);
    ++sound;
  }
  if (sound == 0) {
    return true;
  }
  const std::size_t rounds = waiting / (sound * limits_.batch) + 1;
  const DurationUs others =
      first_free + static_cast<DurationUs>(rounds) * CallTime(1, limits_.batch);
  return CallTime(own, std::min<std::size_t>(waiting, limits_.batch)) < others;
}

bool StageReplicas::IsShunned(TimeUs now, const ReplicaId& id) const {
  const ReplicaState* state = Find(id);
  return state != nullptr && now < state->shunned_until;
}

StageReplicas::FirstFree StageReplicas::WhenFree(TimeUs now,
                                                 DurationUs most) const {
  FirstFree first{0, most};
  for (const ReplicaEntry* it : All()) {
    if (IsShunned(now, it->id)) {
      continue;
    }
    ++first.replicas;
    const ReplicaState* state = Find(it->id);
    const bool busy = state != nullptr && state->calls >= limits_.slots;
    first.wait = std::min(
        first.wait, busy ? std::max<DurationUs>(0, state->free_at - now) : 0);
  }
  return first;
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
  Release(id, call.bytes);
  if (end == End::kLost) {
    return;
  }
  if (end == End::kFailed) {
    state.shunned_until = now + state.shun;
    state.shun = std::min(kMostShun, 2 * state.shun);
    return;
  }
  state.shun = kShun;
  const double measured = static_cast<double>(now - call.started) /
                          static_cast<double>(call.expected);
  const double before = SlownessOf(now, state);
  state.slowness = std::max(1.0, before + kNewest * (measured - before));
  state.measured_at = now;
}

void StageReplicas::OnOutOfMemory(TimeUs now, const ReplicaId& id) {
  states_[id].full_until = now + kFullFor;
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

void StageReplicas::Hold(TimeUs now,
                         const ReplicaId& id,
                         const std::string& handle,
                         std::uint64_t bytes) {
  held_[handle] = {id, bytes, now + limits_.result_lifetime};
  Reserve(id, bytes);
}

void StageReplicas::Forget(const std::string& handle) {
  if (const auto it = held_.find(handle); it != held_.end()) {
    Release(it->second.producer, it->second.bytes);
    held_.erase(it);
  }
}

void StageReplicas::ForgetLapsed(TimeUs now) {
  for (auto it = held_.begin(); it != held_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    Release(it->second.producer, it->second.bytes);
    it = held_.erase(it);
  }
}

double StageReplicas::MemoryHeld() const {
  double held = 0;
  for (const ReplicaEntry* it : All()) {
    held += static_cast<double>(HeldBytes(it->id));
  }
  const double room = static_cast<double>(limits_.result_memory_bytes) *
                      static_cast<double>(All().size());
  return room > 0 ? held / room : 0;
}

}  // namespace acaciachute
