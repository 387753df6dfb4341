// Where a moment of another process's steady clock lies on this host's clock.
//
// A request sent at S and answered with the other's time T shows that T came
// after S. So S - T bounds the difference of the clocks from below, and the
// largest bound is the best: that of an answer which came at once. An answer
// that the other held for a while then tells when it was given, not just when
// it was asked for. Steady clocks part by `kMostDrift` at most; a bound loses
// as much as it gets older.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_REMOTE_CLOCK_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_REMOTE_CLOCK_H_

#include <algorithm>
#include <optional>

#include "types.h"

namespace acaciachute {

class RemoteClock {
 public:
  // Twice the most by which NTP slews a clock.
  static constexpr double kMostDrift = 0.001;

  // The other's `remote` came at the returned time or later, never before
  // `sent_at`. The answer arrived at `now`.
  TimeUs LocalTimeOf(TimeUs remote, TimeUs sent_at, TimeUs now) {
    const DurationUs difference = sent_at - remote;
    // What would put the answer into the future is of a clock before a restart.
    const bool restarted = best_ && remote + Known(now) > now;
    if (!best_ || restarted || difference >= Known(now)) {
      best_ = {difference, now};
    }
    return std::max(sent_at, remote + Known(now));
  }

 private:
  struct Bound {
    DurationUs difference = 0;
    TimeUs learnt_at = 0;
  };

  DurationUs Known(TimeUs now) const {
    const auto drift = static_cast<DurationUs>(
        kMostDrift * static_cast<double>(now - best_->learnt_at));
    return best_->difference - drift;
  }

  std::optional<Bound> best_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_REMOTE_CLOCK_H_
