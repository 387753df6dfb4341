// Judges requests that end the replicas which run them, and the others beside
// them, by what arrives at replicas and what clients get.
#ifndef ACACIACHUTE_TESTS_SOAK_CRASH_JUDGE_H_
#define ACACIACHUTE_TESTS_SOAK_CRASH_JUDGE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "text.h"
#include "types.h"

namespace acaciachute {

class CrashJudge {
 public:
  // A request may reach replicas at most `kMaxLateArrivals` times later than
  // `kContact` after the replica that it ended as the `kDeaths`-th.
  static constexpr std::size_t kDeaths = 3;
  static constexpr DurationUs kContact = 3 * kSecond;
  static constexpr std::size_t kMaxLateArrivals = 3;

  void OnArrived(TimeUs now, const std::string& body) {
    requests_[body].arrivals.push_back(now);
  }
  void OnDied(TimeUs now, const std::string& body) {
    requests_[body].deaths.push_back(now);
  }

  // A gateway refused a request because replicas ended under it.
  void OnRefused(const std::string& body) { ++refusals_[body]; }
  // Such refusals of requests that end no replica.
  std::size_t InnocentsRefused() const {
    std::size_t n = 0;
    for (const auto& [body, count] : refusals_) {
      n += requests_.contains(body) ? 0 : count;
    }
    return n;
  }

  // Replicas that ended under all such requests.
  std::size_t deaths() const {
    std::size_t n = 0;
    for (const auto& [body, it] : requests_) {
      n += it.deaths.size();
    }
    return n;
  }
  // The most arrivals that came too late, over all requests.
  std::size_t MostLateArrivals() const {
    std::size_t most = 0;
    for (const auto& [body, it] : requests_) {
      most = std::max(most, LateArrivals(it));
    }
    return most;
  }
  std::vector<std::string> Violations() const {
    std::vector<std::string> out;
    for (const auto& [body, it] : requests_) {
      if (LateArrivals(it) > kMaxLateArrivals) {
        out.push_back(StrCat("a request under which ", it.deaths.size(),
                             " replicas ended reached replicas ",
                             LateArrivals(it), " times too late: ", body));
      }
    }
    if (InnocentsRefused() > 0) {
      out.push_back(StrCat(InnocentsRefused(),
                           " requests that end no replica were refused as if "
                           "they did"));
    }
    return out;
  }

 private:
  struct Request {
    std::vector<TimeUs> arrivals;
    std::vector<TimeUs> deaths;
  };
  static std::size_t LateArrivals(const Request& request) {
    if (request.deaths.size() < kDeaths) {
      return 0;
    }
    const TimeUs last = request.deaths[kDeaths - 1] + kContact;
    return static_cast<std::size_t>(
        std::count_if(request.arrivals.begin(), request.arrivals.end(),
                      [last](TimeUs at) { return at > last; }));
  }

  std::map<std::string, Request> requests_;      // By body.
  std::map<std::string, std::size_t> refusals_;  // By body.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_CRASH_JUDGE_H_
