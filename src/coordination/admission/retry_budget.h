// Limits retries to a share of first attempts.
//
// When an upstream fails or a pool is full, each request is retried at another
// replica. Without a limit, these retries multiply the load that caused the
// failures. With one retry per ten first attempts, retries raise the load by a
// tenth at most in the long run, while single failures are still all retried.
//
// The tokens with which a process starts accrue over time. If it had them all
// at once, an entry that crashes again and again would retry without limit.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_

#include <algorithm>

#include "types.h"

namespace acaciachute {

class RetryBudget {
 public:
  // Retry tokens earned per first attempt.
  static constexpr double kTokensPerFirstAttempt = 0.1;
  // Limit on the stored tokens, one per retry; an entry with little traffic can
  // still send 20 retries at once.
  static constexpr double kMaxRetryTokens = 20;

  // Tokens of a process that has just started, and the time in which those up
  // to `kMaxRetryTokens` accrue. Both are given once.
  static constexpr double kStartTokens = 1;
  static constexpr DurationUs kStartTime = 20 * kSecond;

  void OnFirstAttempt() {
    tokens_ = std::min(kMaxRetryTokens, tokens_ + kTokensPerFirstAttempt);
  }
  // Call it at each request, so that tokens accrue from the first one on.
  void OnTime(TimeUs now) {
    if (started_at_ < 0) {
      started_at_ = now;
    }
    const double share = std::min(1.0, static_cast<double>(now - started_at_) /
                                           static_cast<double>(kStartTime));
    const double given = share * (kMaxRetryTokens - kStartTokens);
    tokens_ = std::min(kMaxRetryTokens, tokens_ + given - start_tokens_given_);
    start_tokens_given_ = given;
  }
  bool TryUseRetry(TimeUs now) {
    OnTime(now);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kStartTokens;
  TimeUs started_at_ = -1;
  double start_tokens_given_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_
