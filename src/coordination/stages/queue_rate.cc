#include "coordination/stages/queue_rate.h"

#include <algorithm>

namespace acaciachute {

void QueueRate::OnPiecesStarted(TimeUs now, double pieces, bool more_waiting) {
  if (!more_waiting) {
    waiting_since_.reset();
    starts_.clear();
    return;
  }
  waiting_since_ = waiting_since_.value_or(now);
  starts_.push_back({now, pieces});
  while (now - starts_.front().at > kRateWindow) {
    starts_.pop_front();
  }
}

std::optional<double> QueueRate::TimePerPiece(TimeUs now) const {
  if (!waiting_since_) {
    return std::nullopt;
  }
  const DurationUs span = std::min(now - *waiting_since_, kRateWindow);
  if (span < kMinRateWindow) {
    return std::nullopt;
  }
  double started = 1;
  for (const Start& it : starts_) {
    started += now - it.at <= kRateWindow ? it.pieces : 0;
  }
  return static_cast<double>(span) / started;
}

}  // namespace acaciachute
