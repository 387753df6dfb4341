// Tracks the health of a replica by the outcomes of recent calls to it.
//
// If one replica of nine fails every call at once, it has the least work in
// progress of all, and load balancing by work in progress alone would send it
// the whole load. The expected time of a replica is therefore multiplied by a
// penalty that grows with its share of recent failures. Once that share reaches
// `kExclusionThreshold`, the replica is excluded, except for one idempotent
// call every `kProbeEvery`, whose success lets it return.
#ifndef ACACIACHUTE_SRC_STATE_REPLICA_HEALTH_H_
#define ACACIACHUTE_SRC_STATE_REPLICA_HEALTH_H_

#include "types.h"

namespace acaciachute {

class ReplicaHealth {
 public:
  // Weights of the newest call in the moving average of failures. A replica
  // that fails every call is excluded after three calls; one that fails 5 % of
  // its calls is never excluded.
  static constexpr double kFailureWeight = 0.25;
  static constexpr double kSuccessWeight = 0.25;
  // Failure rate from which a replica is excluded.
  static constexpr double kExclusionThreshold = 0.5;
  // Period of probes of an excluded replica. Two calls per second are under 1 %
  // of a replica's present rate, and a repaired replica returns within 2 s.
  static constexpr DurationUs kProbeEvery = 500 * kMillisecond;

  // A pool that receives only calls that must not be repeated has no probes.
  // There an excluded replica gets calls again after the time of ten probes.
  static constexpr DurationUs kExclusionTimeout = 10 * kProbeEvery;

  void OnSuccess() { failure_rate_ -= failure_rate_ * kSuccessWeight; }
  void OnFailure(TimeUs now) {
    failure_rate_ += (1 - failure_rate_) * kFailureWeight;
    next_probe_ = now + kProbeEvery;
  }
  // The connection to the replica broke, or a message to it could not be sent.
  // The replica gets no calls until its next report (`OnHeard`).
  void OnUnreachable() { unreachable_ = true; }
  void OnHeard() { unreachable_ = false; }

  bool Takes(TimeUs now, bool may_probe) const {
    if (unreachable_) {
      return false;
    }
    const TimeUs retry_at =
        may_probe ? next_probe_ : next_probe_ - kProbeEvery + kExclusionTimeout;
    return failure_rate_ < kExclusionThreshold || now >= retry_at;
  }
  bool reachable() const { return !unreachable_; }
  bool shunned() const {
    return unreachable_ || failure_rate_ >= kExclusionThreshold;
  }
  bool probing(TimeUs now) const {
    return !unreachable_ && failure_rate_ >= kExclusionThreshold &&
           now >= next_probe_;
  }
  void OnProbe(TimeUs now) { next_probe_ = now + kProbeEvery; }
  // Factor on the expected time of a call: the expected number of attempts
  // until one succeeds. It is one for a healthy replica.
  double Penalty() const { return 1 / (1 - failure_rate_); }

 private:
  double failure_rate_ = 0;
  TimeUs next_probe_ = 0;
  bool unreachable_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_REPLICA_HEALTH_H_
