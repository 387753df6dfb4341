// Learns how long a service's engines take from the end of a request's stages
// to its first event, waiting included.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_FIRST_EVENT_TIMES_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_FIRST_EVENT_TIMES_H_

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

class FirstEventTimes {
 public:
  static constexpr std::size_t kMaxSamples = 32;
  static constexpr std::size_t kMinSamples = 5;
  static constexpr DurationUs kMaxAge = 10 * kSecond;
  // The share of requests whose first event takes at most the expected time.
  static constexpr double kCoveredShare = 0.8;

  // `initial`: expected without samples.
  explicit FirstEventTimes(DurationUs initial) : initial_(initial) {}

  void Add(TimeUs now, const std::string& service, DurationUs time) {
    std::deque<Sample>& samples = samples_[service];
    samples.push_back({now, time});
    if (samples.size() > kMaxSamples) {
      samples.pop_front();
    }
  }

  DurationUs Expected(TimeUs now, const std::string& service) const {
    const auto found = samples_.find(service);
    std::vector<DurationUs> times;
    if (found != samples_.end()) {
      for (const Sample& it : found->second) {
        if (now - it.at <= kMaxAge) {
          times.push_back(it.time);
        }
      }
    }
    if (times.size() < kMinSamples) {
      return initial_;
    }
    const auto it = times.begin() +
                    static_cast<std::ptrdiff_t>(
                        kCoveredShare * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), it, times.end());
    return *it;
  }

 private:
  struct Sample {
    TimeUs at = 0;
    DurationUs time = 0;
  };
  const DurationUs initial_;
  std::map<std::string, std::deque<Sample>> samples_;  // By service.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_FIRST_EVENT_TIMES_H_
