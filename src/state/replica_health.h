// How far a replica is trusted, by what became of recent calls to it.
//
// Load pattern: one upstream of nine fails fast, or its process is gone. It has
// the least work in progress of all, so without this the better of several
// samples is always the broken one and it draws in the whole load. Its score is
// raised in proportion to its recent failures; past `kShunAt` it is left out
// but for one idempotent call every `kProbeEvery`, which brings it back.
#ifndef ACACIACHUTE_SRC_STATE_REPLICA_HEALTH_H_
#define ACACIACHUTE_SRC_STATE_REPLICA_HEALTH_H_

#include "types.h"

namespace acaciachute {

class ReplicaHealth {
 public:
  // Newest call's weight. A replica that breaks every call is shunned after
  // three, one that breaks a twentieth of them never is.
  static constexpr double kFailureWeight = 0.25;
  static constexpr double kSuccessWeight = 0.25;
  static constexpr double kShunAt = 0.5;
  // One call in half a second is under 1 % of a replica's rate at today's
  // sizes, and brings a mended replica back within two seconds.
  static constexpr DurationUs kProbeEvery = 500 * kMillisecond;

  // A pool that only gets calls that may not be repeated has no probes; there a
  // shunned replica is taken for sound again after ten probes' time.
  static constexpr DurationUs kTrustAgainAfter = 10 * kProbeEvery;

  void OnSuccess() { failing_ -= failing_ * kSuccessWeight; }
  void OnFailure(TimeUs now) {
    failing_ += (1 - failing_) * kFailureWeight;
    next_probe_ = now + kProbeEvery;
  }
  // Its connection broke, or a message to it could not leave: nothing goes
  // there until it is heard of again.
  void OnUnreachable() { unreachable_ = true; }
  void OnHeard() { unreachable_ = false; }

  bool Takes(TimeUs now, bool may_probe) const {
    if (unreachable_) {
      return false;
    }
    const TimeUs again =
        may_probe ? next_probe_ : next_probe_ - kProbeEvery + kTrustAgainAfter;
    return failing_ < kShunAt || now >= again;
  }
  bool reachable() const { return !unreachable_; }
  bool shunned() const { return unreachable_ || failing_ >= kShunAt; }
  bool probing(TimeUs now) const {
    return !unreachable_ && failing_ >= kShunAt && now >= next_probe_;
  }
  void OnProbe(TimeUs now) { next_probe_ = now + kProbeEvery; }
  // Factor on the expected time, one for a sound replica: the expected number
  // of tries until one succeeds.
  double Penalty() const { return 1 / (1 - failing_); }

 private:
  double failing_ = 0;
  TimeUs next_probe_ = 0;
  bool unreachable_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_REPLICA_HEALTH_H_
