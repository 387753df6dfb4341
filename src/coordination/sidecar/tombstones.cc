#include "coordination/sidecar/tombstones.h"

#include <algorithm>
#include <limits>

namespace acaciachute {

void Tombstones::Add(const StageKey& key, TimeUs until) {
  const auto it = expires_at_.find(key);
  if (it != expires_at_.end()) {
    if (it->second >= until) {
      return;
    }
    by_expiry_.erase({it->second, key});
  } else if (expires_at_.size() >= max_tombstones_) {
    EvictFirst();
  }
  expires_at_[key] = until;
  by_expiry_.emplace(until, key);
}

void Tombstones::EvictFirst() {
  const auto [until, key] = *by_expiry_.begin();
  EvictedRange& range = evicted_[key.request.origin];
  range.sequence = std::max(range.sequence, key.request.sequence);
  range.until = std::max(range.until, until);
  expires_at_.erase(key);
  by_expiry_.erase(by_expiry_.begin());
}

bool Tombstones::MayBeEvicted(const StageKey& key) const {
  const auto it = evicted_.find(key.request.origin);
  return it != evicted_.end() && key.request.sequence <= it->second.sequence;
}

void Tombstones::Expire(TimeUs now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    expires_at_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
  std::erase_if(evicted_,
                [now](const auto& it) { return it.second.until <= now; });
}

TimeUs Tombstones::NextExpiry() const {
  return by_expiry_.empty() ? std::numeric_limits<TimeUs>::max()
                            : by_expiry_.begin()->first;
}

}  // namespace acaciachute
