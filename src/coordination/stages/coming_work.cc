#include "coordination/stages/coming_work.h"

#include <algorithm>
#include <numeric>

namespace acaciachute {

void ComingWork::Add(TimeUs now, const ComingPieces& coming, double work) {
  const std::pair key(coming.request, coming.stage);
  if (entries_.size() >= kMaxEntries && !entries_.contains(key)) {
    return;
  }
  const DurationUs in = std::clamp<DurationUs>(coming.in, 0, kMaxTime);
  entries_[key] = {QueueWait::Level(coming.priority), work, now + in,
                   now + 2 * in + kOverdueMargin};
}

void ComingWork::Remove(const std::string& request, std::uint32_t stage) {
  entries_.erase({request, stage});
}

void ComingWork::RemoveRequest(const std::string& request) {
  auto it = entries_.lower_bound({request, 0});
  while (it != entries_.end() && it->first.first == request) {
    it = entries_.erase(it);
  }
}

void ComingWork::RemoveExpired(TimeUs now) {
  std::erase_if(entries_,
                [&](const auto& it) { return now >= it.second.expires_at; });
}

// Work that arrives evenly over a time arrives after half of it on average.
ComingWork::Load ComingWork::At(TimeUs now) const {
  Load load;
  double work = 0;
  double delay = 0;
  for (const auto& [key, entry] : entries_) {
    load.work[entry.level] += entry.work;
    work += entry.work;
    delay += entry.work *
             static_cast<double>(std::max<DurationUs>(0, entry.due_at - now));
  }
  std::partial_sum(load.work.begin(), load.work.end(), load.work.begin());
  load.within = work > 0 ? static_cast<DurationUs>(2 * delay / work) : 0;
  return load;
}

}  // namespace acaciachute
