// Detects that this process was suspended.
//
// After a suspension, all other processes seem to have been silent for as long.
#ifndef ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_SUSPENSION_DETECTOR_H_
#define ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_SUSPENSION_DETECTOR_H_

#include <algorithm>
#include <optional>
#include <utility>

#include "types.h"

namespace acaciachute {

class SuspensionDetector {
 public:
  // `max_interval` may pass between two checks of a process that is not
  // suspended.
  explicit SuspensionDetector(DurationUs max_interval)
      : max_interval_(max_interval) {}

  // Returns how much the time since the last check exceeded `max_interval`;
  // zero if the process was not suspended. Call it in each turn of the event
  // loop.
  DurationUs CheckSuspension(TimeUs now) {
    const TimeUs last_check_at =
        std::exchange(last_check_at_, now).value_or(now);
    return std::max<DurationUs>(0, now - last_check_at - max_interval_);
  }

 private:
  const DurationUs max_interval_;
  std::optional<TimeUs> last_check_at_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_SUSPENSION_DETECTOR_H_
