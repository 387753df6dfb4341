// Tells a platform that is down from one that is slow, by the results of calls.
//
// Load pattern: the store is down for an hour while claims arrive. Without a
// breaker each of them waits for its timeout, and the caller is told "not run"
// seconds late instead of at once. Slow is another matter: its answers are
// late but good, and refusing because of them would turn a slow hour into an
// outage. So calls in a row that bring no answer, or none in useful time, mean
// down; late answers mean slow, and only lower how many calls go side by side.
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
  // One lost answer or refused call in passing is no outage; five in a row over
  // 300 ms are, also at a few calls a second.
  static constexpr int kFailures = 5;
  static constexpr DurationUs kFailuresSpan = 300 * kMillisecond;
  // A claim's answer is useless later than this: the deadline is 5 s and the
  // stages come after it.
  static constexpr DurationUs kUseful = 1500 * kMillisecond;
  // A call this old, with nothing answered since it began, is a failure that
  // has only not been told yet.
  static constexpr DurationUs kSilence = kUseful;
  // The platform answers in a few milliseconds; fifty times that is slow.
  static constexpr DurationUs kSlow = 250 * kMillisecond;
  // While down one call in this time passes and tries it, plus up to as much
  // again: 380 entries make at most 760 tries a second, a third of the reads
  // that the platform takes.
  static constexpr DurationUs kTryPeriod = 500 * kMillisecond;
  static constexpr int kMaxSideBySide = 64;

  explicit Breaker(Random* random) : random_(random) {}

  // Whether a call may be made now; if so, it is told by `OnStart`.
  bool Allows(TimeUs now);
  void OnStart(TimeUs now, std::uint64_t call);
  void OnEnd(TimeUs now, std::uint64_t call, CallOutcome outcome);

  PlatformState state(TimeUs now) const;
  int limit() const { return limit_; }

 private:
  bool IsDown(TimeUs now) const;

  Random* const random_;
  std::map<std::uint64_t, TimeUs> calls_;  // In progress, when begun.
  int failures_ = 0;                       // In a row.
  TimeUs first_failure_ = 0;
  TimeUs last_answer_ = 0;
  TimeUs next_try_ = 0;
  DurationUs mean_ = 0;  // Moving mean time of an answer.
  int limit_ = kMaxSideBySide;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_BREAKER_H_
