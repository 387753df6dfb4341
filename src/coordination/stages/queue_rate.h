// Measures how fast a queue of pieces moves.
//
// Replicas sometimes wait for free memory or for pieces whose inputs are near,
// so a queue moves slower than the durations of its calls suggest. Only pieces
// that were started while others were waiting are counted.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_QUEUE_RATE_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_QUEUE_RATE_H_

#include <deque>
#include <optional>

#include "types.h"

namespace acaciachute {

class QueueRate {
 public:
  // Starts of pieces older than this are not counted in the rate.
  static constexpr DurationUs kRateWindow = 2 * kSecond;
  // Shortest observation from which a rate is computed.
  static constexpr DurationUs kMinRateWindow = 600 * kMillisecond;

  // Records that pieces left the queue; `more_waiting` says whether others
  // still wait. A piece may count as more than one.
  void OnPiecesStarted(TimeUs now, double pieces, bool more_waiting);
  // Microseconds per piece; empty until the queue has been observed for
  // `kMinRateWindow`.
  std::optional<double> TimePerPiece(TimeUs now) const;

 private:
  struct Start {
    TimeUs at = 0;
    double pieces = 0;
  };
  std::deque<Start> starts_;
  // Since when pieces have been waiting; empty if none wait.
  std::optional<TimeUs> waiting_since_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_QUEUE_RATE_H_
