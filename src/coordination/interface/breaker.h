// Circuit breaker that distinguishes a platform that is down from one that is
// slow, by the outcomes of calls.
//
// When the store is down for an hour, each arriving claim would wait for its
// timeout, and its caller would receive "not run" seconds late instead of at
// once. A slow store differs: its answers are late but valid, and refusing
// requests because of them would turn a slow hour into an outage. So
// consecutive calls without an answer, or without one in useful time, mean
// down; late answers mean slow and only lower the number of concurrent calls.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_BREAKER_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_BREAKER_H_

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

#include "state/random.h"
#include "types.h"

namespace acaciachute {

enum class PlatformState { kUp, kSlow, kDown };
inline constexpr std::array<std::string_view, 3> kPlatformStateNames = {
    "up", "slow", "down"};
constexpr std::string_view Name(PlatformState v) {
  return detail::NameIn(kPlatformStateNames, v);
}

enum class CallOutcome { kAnswered, kFailed };

class Breaker {
 public:
  // Number and minimum time span of consecutive failures that mean down. A
  // single lost answer or refused call is no outage; five in a row over 300 ms
  // are, also at a few calls per second.
  static constexpr int kMinFailures = 5;
  static constexpr DurationUs kMinFailuresSpan = 300 * kMillisecond;
  // Maximum answer time of a claim call that is still of use: the deadline of a
  // request is 5 s, and its stages run after the claim.
  static constexpr DurationUs kMaxUsefulAnswerTime = 1500 * kMillisecond;
  // Age at which an unanswered call counts as failed, if no other call was
  // answered since it started.
  static constexpr DurationUs kUnansweredTimeout = kMaxUsefulAnswerTime;
  // Mean answer time above which the platform is slow: fifty times the usual
  // few milliseconds.
  static constexpr DurationUs kSlowAnswerTime = 250 * kMillisecond;
  // Interval between probe calls while the platform is down, plus a random
  // addition of up to the same length. 380 entries then make at most 760
  // calls/s, a third of the reads that the platform can serve.
  static constexpr DurationUs kProbeInterval = 500 * kMillisecond;
  static constexpr int kMaxConcurrentCalls = 64;

  explicit Breaker(Random* random) : random_(random) {}

  // Whether a call may be made now. The caller reports each call that it makes
  // by `OnStart`.
  bool Allows(TimeUs now);
  void OnStart(TimeUs now, std::uint64_t call);
  void OnEnd(TimeUs now, std::uint64_t call, CallOutcome outcome);

  PlatformState state(TimeUs now) const;
  int limit() const { return limit_; }

 private:
  bool IsDown(TimeUs now) const;

  Random* const random_;
  // Calls in progress, with their start times.
  std::map<std::uint64_t, TimeUs> calls_;
  int consecutive_failures_ = 0;
  TimeUs first_failure_ = 0;
  TimeUs last_answer_ = 0;
  TimeUs next_probe_ = 0;
  DurationUs mean_answer_time_ = 0;  // Exponential moving average.
  int limit_ = kMaxConcurrentCalls;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_BREAKER_H_
