// What a call is expected to take at this upstream.
//
// Load pattern: calls of several kinds share one upstream, a few of them much
// longer than the rest. Without an estimate by kind, work that cannot end in
// time is started, and long jobs cannot be told from short ones. Calls are told
// apart by their path; an entry's own estimate, where it has one, goes first.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_SERVICE_TIMES_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_SERVICE_TIMES_H_

#include <map>
#include <string>

#include "messages.h"
#include "types.h"

namespace acaciachute {

class ServiceTimes {
 public:
  // Weight of the newest answer in a mean: a change shows after some ten.
  static constexpr int kWeight = 8;
  // Paths kept. An upstream serves one or a few; a caller that invents more
  // gets the mean of all.
  static constexpr std::size_t kMostPaths = 64;
  // A job is long from this many times the median: below, holding it back
  // would cost more than its slot.
  static constexpr int kLongFactor = 4;

  void OnAnswer(const StageCall& call, DurationUs service);
  // Zero when nothing is known yet.
  DurationUs Expected(const StageCall& call) const;
  bool IsLong(const StageCall& call) const;
  DurationUs Mean() const { return mean_; }

 private:
  DurationUs mean_ = 0;
  DurationUs median_ = 0;
  std::map<std::string, DurationUs, std::less<>> by_path_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_SERVICE_TIMES_H_
