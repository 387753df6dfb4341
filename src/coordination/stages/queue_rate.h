// How fast a queue of pieces was seen to move.
//
// Load pattern: replicas wait for memory or for near pieces, so the queue moves
// slower than their calls' times say. Counted are pieces that were begun while
// others waited.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_QUEUE_RATE_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_QUEUE_RATE_H_

#include <deque>
#include <optional>

#include "types.h"

namespace acaciachute {

class QueueRate {
 public:
  static constexpr DurationUs kWindow = 2 * kSecond;
  // The least of it that counts.
  static constexpr DurationUs kLeastWindow = 600 * kMillisecond;

  // Pieces left the queue; `others` says whether any still wait.
  void OnBegun(TimeUs now, std::size_t pieces, bool others);
  // Microseconds a piece; none until the queue has been seen long enough.
  std::optional<double> Each(TimeUs now) const;

 private:
  struct Begun {
    TimeUs at = 0;
    std::size_t pieces = 0;
  };
  std::deque<Begun> begun_;
  std::optional<TimeUs> since_;  // None: nothing waits.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_QUEUE_RATE_H_
