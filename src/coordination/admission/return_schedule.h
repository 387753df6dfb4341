// Computes the Retry-After of refused callers.
//
// If all callers refused in a burst got the same Retry-After, they would return
// together as another burst. Each refusal reserves the next place in a schedule
// that advances as fast as the pool serves requests, so that retries arrive at
// a rate that can be served. Refusals that would be scheduled beyond
// `kMaxRetryAfter` get a random time instead.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETURN_SCHEDULE_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETURN_SCHEDULE_H_

#include <algorithm>

#include "state/random.h"
#include "types.h"

namespace acaciachute {

class ReturnSchedule {
 public:
  explicit ReturnSchedule(Random* random) : random_(random) {}

  // Limit on Retry-After; callers would not wait longer.
  static constexpr DurationUs kMaxRetryAfter = 30 * kSecond;
  // Minimum Retry-After. Sooner, the load reports that caused the refusal would
  // still be the same.
  static constexpr DurationUs kMinRetryAfter = kSecond;

  // Returns the Retry-After of a caller refused now. `wait` is the minimum
  // duration of the shortage, `call_time` the time in which the pool serves one
  // more request, in microseconds.
  DurationUs Next(TimeUs now, DurationUs wait, double call_time) {
    const TimeUs earliest = now + std::max(kMinRetryAfter, wait);
    last_return_at_ = std::max(last_return_at_, earliest) +
                      static_cast<DurationUs>(call_time);
    if (last_return_at_ - now <= kMaxRetryAfter) {
      return last_return_at_ - now;
    }
    last_return_at_ = now + kMaxRetryAfter;
    const DurationUs min_wait = earliest - now;
    return min_wait + static_cast<DurationUs>(random_->Below(
                          std::max<DurationUs>(1, kMaxRetryAfter - min_wait)));
  }

 private:
  Random* const random_;
  TimeUs last_return_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETURN_SCHEDULE_H_
