// When a refused caller is told to come back.
//
// Load pattern: a burst is refused. With one Retry-After for all, the refused
// come back together and are a burst again. Each refusal takes the next free
// place in a line that moves as fast as the pool serves, so the resends arrive
// at a rate that can be served; behind `kMost` places are drawn at random.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETURN_SCHEDULE_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETURN_SCHEDULE_H_

#include <algorithm>

#include "state/random.h"
#include "types.h"

namespace acaciachute {

class ReturnSchedule {
 public:
  explicit ReturnSchedule(Random* random) : random_(random) {}

  // A caller told to wait longer than this would not.
  static constexpr DurationUs kMost = 30 * kSecond;
  // Sooner the reports that the refusal was made on have not changed.
  static constexpr DurationUs kLeast = kSecond;

  // `wait` is how long the shortage lasts at least, `call_time` the time in
  // which the pool serves one more request.
  DurationUs Next(TimeUs now, DurationUs wait, double call_time) {
    const TimeUs earliest = now + std::max(kLeast, wait);
    line_end_ =
        std::max(line_end_, earliest) + static_cast<DurationUs>(call_time);
    if (line_end_ - now <= kMost) {
      return line_end_ - now;
    }
    line_end_ = now + kMost;
    const DurationUs least = earliest - now;
    return least + static_cast<DurationUs>(
                       random_->Below(std::max<DurationUs>(1, kMost - least)));
  }

 private:
  Random* const random_;
  TimeUs line_end_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETURN_SCHEDULE_H_
