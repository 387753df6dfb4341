// Decides what a gateway may do on its configuration, by how long ago it was
// confirmed and by whether a newer one is known to exist.
//
// A large change may take longer to arrive than the settings allow for it to be
// in force, on any link that is thin enough. Requests would meanwhile be
// answered with 404 for routes that exist, or run by a service that they have
// left. Others have the newer configuration then, or its first bytes have
// arrived here, so this is known, and a request is better refused: it has not
// run, and another gateway can serve it. While no newer one is known, as in an
// outage of the store, the gateway serves on.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_CONFIG_FRESHNESS_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_CONFIG_FRESHNESS_H_

#include <algorithm>

#include "types.h"

namespace acaciachute {

class ConfigFreshness {
 public:
  // `max_use_age` is `FreshnessPlan::MaxUseAge` of the configuration.
  void SetMaxUseAge(DurationUs max_use_age) { max_use_age_ = max_use_age; }
  // The configuration in use was the newest one at `known_at`.
  void OnConfirmed(TimeUs known_at) {
    confirmed_at_ = std::max(confirmed_at_, known_at);
  }
  // Whether a newer configuration than the one in use is known to exist. Call
  // it every 10 ms: when this process did not run for a while, heartbeats of
  // others wait to be read, and what it knows counts only some time later.
  void OnTick(TimeUs now, bool newer_known) {
    if (Stalled(now)) {
      knows_from_ = now + kCatchUpTime;
    }
    last_tick_at_ = now;
    newer_known_ = newer_known;
  }

  bool IsConfirmedWithin(TimeUs now, DurationUs age) const {
    return confirmed_at_ >= 0 && now - confirmed_at_ <= age;
  }
  // Whether requests may be served by the configuration in use.
  bool MayServe(TimeUs now) const {
    const bool none_newer =
        !newer_known_ && !Stalled(now) && now >= knows_from_;
    return none_newer || IsConfirmedWithin(now, max_use_age_);
  }
  // Whether a request may be told that its route or its key does not exist.
  bool MayDeny(TimeUs now) const {
    return !newer_known_ && IsConfirmedWithin(now, max_use_age_);
  }
  bool newer_known() const { return newer_known_; }
  // Age of the last confirmation; negative if there was none.
  DurationUs Age(TimeUs now) const {
    return confirmed_at_ < 0 ? -kMillisecond : now - confirmed_at_;
  }

 private:
  // A process that has not run for `max_use_age_` divided by this counts as
  // stalled. Shorter stalls are frequent on hosts that are short of processor
  // time, which would then refuse requests in every outage of the store.
  static constexpr int kStallDivisor = 4;
  // Time in which a process that runs again has read what waited for it.
  static constexpr DurationUs kCatchUpTime = 200 * kMillisecond;

  bool Stalled(TimeUs now) const {
    return last_tick_at_ >= 0 &&
           now - last_tick_at_ > max_use_age_ / kStallDivisor;
  }

  DurationUs max_use_age_ = 2 * kSecond;
  TimeUs confirmed_at_ = -1;
  bool newer_known_ = false;
  TimeUs last_tick_at_ = -1;  // Negative before the first tick.
  TimeUs knows_from_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_CONFIG_FRESHNESS_H_
