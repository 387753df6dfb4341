#include "coordination/stages/stage_makers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciachute {

void StageMakers::SetService(const std::string& name,
                             const BatchLimits& limits) {
  service_ = name;
  limits_ = limits;
}

double StageMakers::SlownessOf(TimeUs now, const Maker& maker) {
  const double age = static_cast<double>(now - maker.measured_at) /
                     static_cast<double>(kForget);
  return 1 + (maker.slowness - 1) * std::exp(-std::max(0.0, age));
}

const StageMakers::Maker* StageMakers::Find(const ReplicaId& id) const {
  const auto it = makers_.find(id);
  return it == makers_.end() ? nullptr : &it->second;
}

double StageMakers::Slowness(TimeUs now, const ReplicaId& id) const {
  const Maker* maker = Find(id);
  return maker == nullptr ? 1 : SlownessOf(now, *maker);
}

DurationUs StageMakers::CallTime(double slowness, std::size_t pieces) const {
  const auto plain =
      static_cast<double>(limits_.call) +
      static_cast<double>(limits_.piece) * static_cast<double>(pieces);
  return static_cast<DurationUs>(slowness * plain);
}

bool StageMakers::InEvacuatedDomain(const std::string& handle) const {
  const ReplicaEntry* maker = directory_->MakerOf(handle);
  return maker != nullptr && directory_->IsEvacuated(maker->domain);
}

std::vector<const ReplicaEntry*> StageMakers::Free(TimeUs now) {
  std::vector<std::pair<double, const ReplicaEntry*>> found;
  for (const ReplicaEntry* it : All()) {
    const Maker& maker = makers_[it->id];
    if (maker.calls < limits_.slots && maker.overdue <= limits_.queue &&
        now >= maker.shunned_until && now >= maker.full_until) {
      found.emplace_back(SlownessOf(now, maker), it);
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

bool StageMakers::WorthIt(TimeUs now,
                          const ReplicaEntry& replica,
                          std::size_t waiting) {
  const double own = Slowness(now, replica.id);
  if (own < kSound) {
    return true;
  }
  std::size_t sound = 0;
  DurationUs first_free = 0;
  for (const ReplicaEntry* it : All()) {
    const Maker& maker = makers_[it->id];
    if (it->id == replica.id || now < maker.shunned_until ||
        SlownessOf(now, maker) >= kSound) {
      continue;
    }
    const DurationUs wait = maker.calls < limits_.slots
                                ? 0
                                : std::max<DurationUs>(0, maker.free_at - now);
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

bool StageMakers::IsShunned(TimeUs now, const ReplicaId& id) const {
  const Maker* maker = Find(id);
  return maker != nullptr && now < maker->shunned_until;
}

StageMakers::FirstFree StageMakers::WhenFree(TimeUs now,
                                             DurationUs most) const {
  FirstFree first{0, most};
  for (const ReplicaEntry* it : All()) {
    if (IsShunned(now, it->id)) {
      continue;
    }
    ++first.replicas;
    const Maker* maker = Find(it->id);
    const bool busy = maker != nullptr && maker->calls >= limits_.slots;
    first.wait = std::min(
        first.wait, busy ? std::max<DurationUs>(0, maker->free_at - now) : 0);
  }
  return first;
}

DurationUs StageMakers::OnCallStarted(TimeUs now,
                                      const ReplicaId& id,
                                      std::size_t pieces) {
  Maker& maker = makers_[id];
  ++maker.calls;
  const DurationUs takes = CallTime(SlownessOf(now, maker), pieces);
  maker.free_at = now + takes;
  return takes;
}

void StageMakers::OnCallOverdue(TimeUs now,
                                const ReplicaId& id,
                                const CallView& call) {
  Maker& maker = makers_[id];
  if (maker.calls > 0) {
    --maker.calls;
    ++maker.overdue;
  }
  maker.slowness =
      std::max(maker.slowness, static_cast<double>(now - call.started) /
                                   static_cast<double>(call.expected));
  maker.measured_at = now;
}

void StageMakers::OnCallEnded(TimeUs now,
                              const ReplicaId& id,
                              const CallView& call,
                              End end) {
  Maker& maker = makers_[id];
  std::uint32_t& calls = call.overdue ? maker.overdue : maker.calls;
  if (calls > 0) {
    --calls;
  }
  Release(id, call.bytes);
  if (end == End::kLost) {
    return;
  }
  if (end == End::kFailed) {
    maker.shunned_until = now + maker.shun;
    maker.shun = std::min(kMostShun, 2 * maker.shun);
    return;
  }
  maker.shun = kShun;
  const double measured = static_cast<double>(now - call.started) /
                          static_cast<double>(call.expected);
  const double before = SlownessOf(now, maker);
  maker.slowness = std::max(1.0, before + kNewest * (measured - before));
  maker.measured_at = now;
}

void StageMakers::OnNoRoom(TimeUs now, const ReplicaId& id) {
  makers_[id].full_until = now + kFullFor;
}

std::uint64_t StageMakers::HeldBytes(const ReplicaId& id) const {
  const Maker* maker = Find(id);
  return maker == nullptr ? 0 : maker->held_bytes;
}

void StageMakers::Reserve(const ReplicaId& id, std::uint64_t bytes) {
  makers_[id].held_bytes += bytes;
}

void StageMakers::Release(const ReplicaId& id, std::uint64_t bytes) {
  if (const auto it = makers_.find(id); it != makers_.end()) {
    it->second.held_bytes -= std::min(it->second.held_bytes, bytes);
  }
}

void StageMakers::Hold(TimeUs now,
                       const ReplicaId& id,
                       const std::string& handle,
                       std::uint64_t bytes) {
  held_[handle] = {id, bytes, now + limits_.result_life};
  Reserve(id, bytes);
}

void StageMakers::Forget(const std::string& handle) {
  if (const auto it = held_.find(handle); it != held_.end()) {
    Release(it->second.maker, it->second.bytes);
    held_.erase(it);
  }
}

void StageMakers::ForgetLapsed(TimeUs now) {
  for (auto it = held_.begin(); it != held_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    Release(it->second.maker, it->second.bytes);
    it = held_.erase(it);
  }
}

double StageMakers::MemoryHeld() const {
  double held = 0;
  for (const ReplicaEntry* it : All()) {
    held += static_cast<double>(HeldBytes(it->id));
  }
  const double room = static_cast<double>(limits_.room_bytes) *
                      static_cast<double>(All().size());
  return room > 0 ? held / room : 0;
}

}  // namespace acaciachute
