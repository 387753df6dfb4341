// Limits retries to a share of first attempts.
//
// When an upstream fails or a pool is full, each request is retried at another
// replica. Without a limit, these retries multiply the load that caused the
// failures. With a tenth, retries raise the load only slightly, while single
// failures are still all retried.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_

#include <algorithm>

namespace acaciachute {

class RetryBudget {
 public:
  // Retry tokens earned per first attempt.
  static constexpr double kTokensPerFirstTry = 0.1;
  // Limit on the stored tokens; lets an entry with little traffic still retry a
  // handful of requests at once.
  static constexpr double kMaxTokens = 20;

  void OnFirstTry() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstTry);
  }
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kMaxTokens;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_
