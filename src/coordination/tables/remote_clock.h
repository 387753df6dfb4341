// Maps times of another process's steady clock to the clock of this host.
//
// A request is sent at local time S and answered with the remote time T. The
// remote clock read T after the local time S, so S - T is a lower bound of the
// offset between the clocks, and the largest bound is the most precise one:
// that of an answer which came at once. With it, an answer that the other
// process held for a while shows when it was given, and not just when it was
// requested. Steady clocks drift apart by at most `kMaxDrift`; a bound loses
// precision at that rate.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_REMOTE_CLOCK_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_REMOTE_CLOCK_H_

#include <algorithm>
#include <optional>

#include "types.h"

namespace acaciachute {

class RemoteClock {
 public:
  // Largest assumed drift per unit of time: twice the limit at which NTP slews
  // a clock.
  static constexpr double kMaxDrift = 0.001;

  // Returns the earliest local time at which the remote clock can have shown
  // `remote_time`; at least `sent_at`, when the request was sent. `now` is when
  // the answer arrived.
  TimeUs LocalTimeOf(TimeUs remote_time, TimeUs sent_at, TimeUs now) {
    const DurationUs offset = sent_at - remote_time;
    // If the bound put the answer into the future, it belongs to a clock from
    // before a restart of the other process.
    const bool restarted = best_ && remote_time + OffsetBound(now) > now;
    if (!best_ || restarted || offset >= OffsetBound(now)) {
      best_ = {offset, now};
    }
    return std::max(sent_at, remote_time + OffsetBound(now));
  }

 private:
  struct Bound {
    DurationUs offset = 0;
    TimeUs measured_at = 0;
  };

  DurationUs OffsetBound(TimeUs now) const {
    const auto drift = static_cast<DurationUs>(
        kMaxDrift * static_cast<double>(now - best_->measured_at));
    return best_->offset - drift;
  }

  std::optional<Bound> best_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_REMOTE_CLOCK_H_
