// Bounds retries to a share of first tries.
//
// Load pattern: an upstream fails or a pool is full, and each request is tried
// again elsewhere. Without a budget the retries multiply the load that caused
// them. A tenth is the share at which retries cannot more than slightly raise
// the load, while single failures are still all retried.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_

#include <algorithm>

namespace acaciachute {

class RetryBudget {
 public:
  static constexpr double kShare = 0.1;
  // Lets a quiet entry still retry a handful at once.
  static constexpr double kMost = 20;

  void OnFirstTry() { tokens_ = std::min(kMost, tokens_ + kShare); }
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kMost;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_RETRY_BUDGET_H_
