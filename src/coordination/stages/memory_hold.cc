#include "coordination/stages/memory_hold.h"

namespace acaciachute {

bool MemoryHold::WaitedLong(TimeUs now, TimeUs queued_at, TimeUs latest_start) {
  const double time = static_cast<double>(latest_start - queued_at);
  return static_cast<double>(now - queued_at) > kHoldShare * time;
}

void MemoryHold::OnTick(TimeUs now,
                        const std::function<bool(const Held&)>& waits) {
  if (!held_) {
    return;
  }
  if (!waits(*held_)) {
    held_.reset();
  } else if (now >= held_->since + kMaxHold) {
    held_.reset();
    next_at_ = now + kMaxHold;
  }
}

std::uint64_t MemoryHold::BytesKeptFrom(const ReplicaId& replica,
                                        const PieceKey& key) const {
  if (!held_ || held_->replica != replica ||
      (held_->request == key.request && held_->stage == key.stage)) {
    return 0;
  }
  return held_->bytes;
}

}  // namespace acaciachute
