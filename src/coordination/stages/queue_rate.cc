#include "coordination/stages/queue_rate.h"

#include <algorithm>

namespace acaciachute {

void QueueRate::OnBegun(TimeUs now, std::size_t pieces, bool others) {
  if (!others) {
    since_.reset();
    begun_.clear();
    return;
  }
  since_ = since_.value_or(now);
  begun_.push_back({now, pieces});
  while (now - begun_.front().at > kWindow) {
    begun_.pop_front();
  }
}

std::optional<double> QueueRate::Each(TimeUs now) const {
  if (!since_) {
    return std::nullopt;
  }
  const DurationUs span = std::min(now - *since_, kWindow);
  if (span < kLeastWindow) {
    return std::nullopt;
  }
  std::size_t begun = 1;
  for (const Begun& it : begun_) {
    begun += now - it.at <= kWindow ? it.pieces : 0;
  }
  return static_cast<double>(span) / static_cast<double>(begun);
}

}  // namespace acaciachute
