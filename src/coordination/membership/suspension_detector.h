// Tells when this process did not run.
//
// Failure: a process is suspended and goes on. Symptom: everybody else seems to
// have been silent for as long.
#ifndef ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_SUSPENSION_DETECTOR_H_
#define ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_SUSPENSION_DETECTOR_H_

#include <algorithm>
#include <optional>
#include <utility>

#include "types.h"

namespace acaciachute {

class SuspensionDetector {
 public:
  // `longest_turn` may pass between two turns of a process that runs.
  explicit SuspensionDetector(DurationUs longest_turn)
      : longest_turn_(longest_turn) {}

  // What was beyond it since the last turn; zero for a process that ran.
  DurationUs OnTurn(TimeUs now) {
    const TimeUs last = std::exchange(last_, now).value_or(now);
    return std::max<DurationUs>(0, now - last - longest_turn_);
  }

 private:
  const DurationUs longest_turn_;
  std::optional<TimeUs> last_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_SUSPENSION_DETECTOR_H_
