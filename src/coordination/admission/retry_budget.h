// Limits retries to a share of first attempts.
//
// When an upstream fails or a pool is full, each request is retried at another
// replica. Without a limit, these retries multiply the load that caused the
// failures. With one retry per ten first attempts, retries raise the load by a
// tenth at most in the long run, while single failures are still all retried.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_

#include <algorithm>

namespace acaciachute {

class RetryBudget {
 public:
  // Retry tokens earned per first attempt.
  static constexpr double kTokensPerFirstAttempt = 0.1;
  // Limit on the stored tokens, one per retry; an entry with little traffic can
  // still send 20 retries at once.
  static constexpr double kMaxRetryTokens = 20;

  void OnFirstAttempt() {
    tokens_ = std::min(kMaxRetryTokens, tokens_ + kTokensPerFirstAttempt);
  }
  bool TryUseRetry() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kMaxRetryTokens;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_
