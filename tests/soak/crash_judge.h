// Judges requests that end the replicas which run them, as one body or any with
// one prompt part, and the others beside them, by what arrives at replicas and
// what clients get.
#ifndef ACACIACHUTE_TESTS_SOAK_CRASH_JUDGE_H_
#define ACACIACHUTE_TESTS_SOAK_CRASH_JUDGE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "text.h"
#include "types.h"

namespace acaciachute {

class CrashJudge {
 public:
  // What ends replicas is a body or a prompt part, named by its key: the body,
  // or this prefix and the part's id. It may reach replicas at most
  // `kMaxLateArrivals` times later than `kContact` after the replica that it
  // ended as the `kDeaths`-th or, a part, as the `kDeathsOfPart`-th.
  static constexpr std::string_view kPartPrefix = "part ";
  static constexpr std::size_t kDeaths = 3;
  static constexpr std::size_t kDeathsOfPart = 5;
  static constexpr DurationUs kContact = 3 * kSecond;
  static constexpr std::size_t kMaxLateArrivals = 3;

  void OnArrived(TimeUs now, const std::string& key) {
    causes_[key].arrivals.push_back(now);
  }
  void OnDied(TimeUs now, const std::string& key) {
    causes_[key].deaths.push_back(now);
  }

  // A gateway refused a request because replicas ended under it. `key`: what
  // ends replicas in it, or its body.
  void OnRefused(const std::string& key) { ++refusals_[key]; }
  // Such refusals of requests that end no replica.
  std::size_t InnocentsRefused() const {
    std::size_t n = 0;
    for (const auto& [key, count] : refusals_) {
      n += causes_.contains(key) ? 0 : count;
    }
    return n;
  }

  // Replicas that ended under all such requests.
  std::size_t deaths() const {
    std::size_t n = 0;
    for (const auto& [key, it] : causes_) {
      n += it.deaths.size();
    }
    return n;
  }
  // The first replica that it ended, and the one whose end is to be the last
  // (the latest one if there were fewer); empty if there was none.
  std::optional<TimeUs> FirstDeath(const std::string& key) const {
    const auto it = causes_.find(key);
    return it == causes_.end() || it->second.deaths.empty()
               ? std::nullopt
               : std::optional(it->second.deaths.front());
  }
  std::optional<TimeUs> LastAllowedDeath(const std::string& key) const {
    const auto it = causes_.find(key);
    if (it == causes_.end() || it->second.deaths.empty()) {
      return std::nullopt;
    }
    const auto& deaths = it->second.deaths;
    return deaths[std::min(deaths.size(), MaxDeaths(key)) - 1];
  }
  // The most arrivals that came too late, over all causes.
  std::size_t MostLateArrivals() const {
    std::size_t most = 0;
    for (const auto& [key, it] : causes_) {
      most = std::max(most, LateArrivals(key, it));
    }
    return most;
  }
  std::vector<std::string> Violations() const {
    std::vector<std::string> out;
    for (const auto& [key, it] : causes_) {
      if (LateArrivals(key, it) > kMaxLateArrivals) {
        out.push_back(StrCat("requests under which ", it.deaths.size(),
                             " replicas ended reached replicas ",
                             LateArrivals(key, it), " times too late: ", key));
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
  struct Cause {
    std::vector<TimeUs> arrivals;
    std::vector<TimeUs> deaths;
  };
  static std::size_t MaxDeaths(const std::string& key) {
    return key.starts_with(kPartPrefix) ? kDeathsOfPart : kDeaths;
  }
  static std::size_t LateArrivals(const std::string& key, const Cause& cause) {
    const std::size_t allowed = MaxDeaths(key);
    if (cause.deaths.size() < allowed) {
      return 0;
    }
    const TimeUs last = cause.deaths[allowed - 1] + kContact;
    return static_cast<std::size_t>(
        std::count_if(cause.arrivals.begin(), cause.arrivals.end(),
                      [last](TimeUs at) { return at > last; }));
  }

  std::map<std::string, Cause> causes_;          // By key.
  std::map<std::string, std::size_t> refusals_;  // By key or body.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_CRASH_JUDGE_H_
