#include "coordination/tables/freshness_plan.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Shares of the bound; what they leave is for looking at ages.
constexpr double kAskStore = 0.5;
constexpr double kStoreAnswer = 0.2;
constexpr double kAct = 0.24;
// Of the time in touch.
constexpr double kStoreInTime = 0.25;
constexpr double kStoreAgain = 0.75;
constexpr double kPause = 0.15;
// Left of `ask_store` for the way of news from the store through a relay.
constexpr double kWay = 0.1;
constexpr double kSettle = 0.075;
constexpr DurationUs kMostPause = 500 * kMillisecond;
constexpr DurationUs kMostSettle = 150 * kMillisecond;
// Longer waits save calls that are few already.
constexpr DurationUs kMostStoreWait = 1500 * kMillisecond;

DurationUs ShareOf(DurationUs time, double share) {
  return static_cast<DurationUs>(share * static_cast<double>(time));
}

}  // namespace

FreshnessPlan PlanFreshness(DurationUs bound, DurationUs contact) {
  FreshnessPlan plan;
  plan.ask_store = ShareOf(bound, kAskStore);
  plan.store_answer = ShareOf(std::min(bound, contact), kStoreAnswer);
  plan.act = ShareOf(bound, kAct);
  plan.store_in_time = ShareOf(contact, kStoreInTime);
  plan.store_again = ShareOf(contact, kStoreAgain);
  plan.most_pause = std::min(kMostPause, ShareOf(contact, kPause));
  plan.settle = std::min(kMostSettle, ShareOf(bound, kSettle));
  plan.store_wait = std::min(
      kMostStoreWait, plan.ask_store - plan.settle - ShareOf(bound, kWay));
  return plan;
}

}  // namespace acaciachute
