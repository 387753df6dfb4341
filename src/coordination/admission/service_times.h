// Estimates the service time of a call at this upstream.
//
// Calls of several kinds share one upstream, and a few take much longer than
// the others. Without an estimate per kind, calls that cannot end in time would
// be started, and long jobs could not be distinguished from short ones. The
// kind of a call is its path. If the entry sent its own estimate with the call,
// that one is used.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_SERVICE_TIMES_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_SERVICE_TIMES_H_

#include <map>
#include <string>

#include "messages.h"
#include "types.h"

namespace acaciachute {

class ServiceTimes {
 public:
  // The newest answer has a weight of 1/kAverageDivisor in an average, so a
  // change shows after about ten answers.
  static constexpr int kAverageDivisor = 8;
  // Limit on the number of paths with an average of their own. An upstream
  // serves one or a few paths; if a caller uses more, the further ones get the
  // average over all calls.
  static constexpr std::size_t kMaxPaths = 64;
  // A call is long if its expected service time exceeds this many medians. For
  // shorter calls, holding them back would cost more than the slot that they
  // occupy.
  static constexpr int kLongFactor = 4;

  void OnAnswer(const StageCall& call, DurationUs service);
  // Zero if no service time is known yet.
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
