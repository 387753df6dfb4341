#include "coordination/tables/freshness_plan.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Shares of the bound on staleness. The remainder is for `kAgeCheckPeriod`.
constexpr double kStoreRequestAgeShare = 0.5;
constexpr double kStoreAnswerTimeShare = 0.2;
constexpr double kDispatchTimeShare = 0.24;
// Shares of the bound on recovery.
constexpr double kStoreTimeoutShare = 0.25;
constexpr double kStoreRetryPeriodShare = 0.75;
constexpr double kRetryDelayShare = 0.15;
// Share of the bound that is reserved within `store_request_age` for the
// transfer of changes from the store through a relay.
constexpr double kRelayTransferShare = 0.1;
constexpr double kSettleDelayShare = 0.075;
constexpr DurationUs kMaxRetryDelay = 500 * kMillisecond;
constexpr DurationUs kMaxSettleDelay = 150 * kMillisecond;
// Longer hold times would hardly reduce the number of requests, which is small
// already.
constexpr DurationUs kMaxStoreHoldTime = 1500 * kMillisecond;

DurationUs ShareOf(DurationUs time, double share) {
  return static_cast<DurationUs>(share * static_cast<double>(time));
}

}  // namespace

FreshnessPlan PlanFreshness(DurationUs bound, DurationUs recovery_bound) {
  FreshnessPlan plan;
  plan.store_request_age = ShareOf(bound, kStoreRequestAgeShare);
  plan.store_answer_time =
      ShareOf(std::min(bound, recovery_bound), kStoreAnswerTimeShare);
  plan.dispatch_time = ShareOf(bound, kDispatchTimeShare);
  plan.store_timeout = ShareOf(recovery_bound, kStoreTimeoutShare);
  plan.store_retry_period = ShareOf(recovery_bound, kStoreRetryPeriodShare);
  plan.max_retry_delay =
      std::min(kMaxRetryDelay, ShareOf(recovery_bound, kRetryDelayShare));
  plan.settle_delay =
      std::min(kMaxSettleDelay, ShareOf(bound, kSettleDelayShare));
  plan.store_hold_time =
      std::min(kMaxStoreHoldTime, plan.store_request_age - plan.settle_delay -
                                      ShareOf(bound, kRelayTransferShare));
  return plan;
}

}  // namespace acaciachute
