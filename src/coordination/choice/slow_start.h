// Slow start: a replica that may be used again gets few requests at first and
// twice as many each period, so that all that waited for it do not arrive
// together.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_SLOW_START_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_SLOW_START_H_

#include <cstddef>

#include "types.h"

namespace acaciachute {

struct SlowStart {
  static constexpr DurationUs kDoublingPeriod = 250 * kMillisecond;
  // After this time there is no limit any more.
  static constexpr DurationUs kDuration = kSecond;

  // Factor on the limit, `elapsed` after its reason has ended; one before.
  static constexpr std::size_t Factor(DurationUs elapsed) {
    return elapsed < 0
               ? 1
               : std::size_t{2}
                     << static_cast<unsigned>(elapsed / kDoublingPeriod);
  }
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_SLOW_START_H_
