#include "coordination/sidecar/tombstones.h"

#include <algorithm>
#include <limits>

namespace acaciachute {

void Tombstones::Add(const StageKey& key, TimeUs until) {
  const auto it = ends_at_.find(key);
  if (it != ends_at_.end()) {
    if (it->second >= until) {
      return;
    }
    by_end_.erase({it->second, key});
  } else if (ends_at_.size() >= most_) {
    DropFirst();
  }
  ends_at_[key] = until;
  by_end_.emplace(until, key);
}

void Tombstones::DropFirst() {
  const auto [until, key] = *by_end_.begin();
  Floor& floor = floors_[key.request.origin];
  floor.sequence = std::max(floor.sequence, key.request.sequence);
  floor.until = std::max(floor.until, until);
  ends_at_.erase(key);
  by_end_.erase(by_end_.begin());
}

bool Tombstones::MayBeDropped(const StageKey& key) const {
  const auto it = floors_.find(key.request.origin);
  return it != floors_.end() && key.request.sequence <= it->second.sequence;
}

void Tombstones::Expire(TimeUs now) {
  while (!by_end_.empty() && by_end_.begin()->first <= now) {
    ends_at_.erase(by_end_.begin()->second);
    by_end_.erase(by_end_.begin());
  }
  std::erase_if(floors_,
                [now](const auto& it) { return it.second.until <= now; });
}

TimeUs Tombstones::NextEnd() const {
  return by_end_.empty() ? std::numeric_limits<TimeUs>::max()
                         : by_end_.begin()->first;
}

}  // namespace acaciachute
