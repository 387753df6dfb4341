#include "coordination/stages/memory_hold.h"

#include <algorithm>

namespace acaciachute {

bool MemoryHold::WaitedLong(TimeUs now, TimeUs queued_at, TimeUs latest_start) {
  const double time = static_cast<double>(latest_start - queued_at);
  return static_cast<double>(now - queued_at) > kHoldShare * time;
}

bool MemoryHold::MayBegin(TimeUs now, std::size_t replicas) const {
  const std::size_t most =
      std::max<std::size_t>(1, replicas / kReplicasPerHold);
  return held_.size() < most && now >= next_at_;
}

bool MemoryHold::HoldsFor(const PieceKey& key) const {
  return std::any_of(held_.begin(), held_.end(), [&](const Held& it) {
    return it.request == key.request && it.stage == key.stage;
  });
}

bool MemoryHold::HoldsAt(const ReplicaId& replica) const {
  return std::any_of(held_.begin(), held_.end(),
                     [&](const Held& it) { return it.replica == replica; });
}

void MemoryHold::OnTick(TimeUs now,
                        const std::function<bool(const Held&)>& waits) {
  std::erase_if(held_, [&](const Held& it) {
    if (!waits(it)) {
      return true;
    }
    if (now < it.since + kMaxHold) {
      return false;
    }
    next_at_ = now + kMaxHold;
    return true;
  });
}

std::uint64_t MemoryHold::BytesKeptFrom(const ReplicaId& replica,
                                        const PieceKey& key) const {
  std::uint64_t bytes = 0;
  for (const Held& it : held_) {
    const bool own = it.request == key.request && it.stage == key.stage;
    bytes += it.replica == replica && !own ? it.bytes : 0;
  }
  return bytes;
}

}  // namespace acaciachute
