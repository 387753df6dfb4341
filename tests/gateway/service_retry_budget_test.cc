// Tests of the retry budget of a service over a fleet of gateways, judged by
// what arrives at replicas.
#include "coordination/gateway/service_retry_budget.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/random.h"
#include "tests/gateway/quiet_log.h"
#include "tests/soak/retry_judge.h"

namespace acaciachute {
namespace {

constexpr DurationUs kMs = kMillisecond;
const ServiceRetryBudgetLimits kLimits = {0.2, 56, 10 * kSecond};

struct BudgetRig {
  explicit BudgetRig(std::size_t gateways = 1) {
    budget.SetLimits(now, kLimits);
    budget.SetGatewayCount(now, gateways);
  }
  // Number of retries that are allowed now, one after the other.
  int UseAll() {
    int n = 0;
    while (budget.TryUse(now, {})) {
      ++n;
    }
    return n;
  }

  Metrics metrics;
  QuietLog log;
  TimeUs now = 1000 * kSecond;
  ServiceRetryBudget budget{"s", &metrics, &log};
};

// Guards against a process that is killed again and again and has the whole
// fixed part at each start.
TEST(ServiceRetryBudgetTest, StartsEmpty) {
  BudgetRig rig;
  EXPECT_EQ(rig.UseAll(), 0);
  rig.now += kLimits.window;
  EXPECT_GT(rig.UseAll(), 10);
}

// Guards against a gateway that knows no others and takes the whole fixed part.
TEST(ServiceRetryBudgetTest, HasNoFixedPartUntilTheGatewaysAreKnown) {
  BudgetRig rig(0);
  rig.now += kLimits.window;
  EXPECT_EQ(rig.UseAll(), 0);
  for (int n = 0; n < 100; ++n) {
    rig.budget.OnRequest(rig.now);
  }
  EXPECT_EQ(rig.UseAll(), 10);
}

// Guards against retries that are sent over a long time to a replica which is
// suspended, and arrive together.
TEST(ServiceRetryBudgetTest, RetriesInTransitKeepTheirPlaces) {
  BudgetRig rig;
  rig.now += kLimits.window;
  const int burst = rig.UseAll();
  rig.now += 3 * kLimits.window;
  EXPECT_EQ(rig.UseAll(), 0);
  rig.budget.OnArrived(static_cast<std::uint32_t>(burst));
  rig.now += kLimits.window;
  EXPECT_EQ(rig.UseAll(), burst);
}

// Guards against retries that are given up, whose replica never answered: it
// may still get them.
TEST(ServiceRetryBudgetTest, UnconfirmedRetriesCountForAnotherWindow) {
  BudgetRig rig;
  rig.now += kLimits.window;
  const int burst = rig.UseAll();
  rig.budget.OnUnconfirmed(static_cast<std::uint32_t>(burst));
  rig.now += kLimits.window;
  EXPECT_EQ(rig.UseAll(), 0);
  rig.now += 2 * kLimits.window;
  EXPECT_EQ(rig.UseAll(), burst);
}

TEST(ServiceRetryBudgetTest, RetriesThatWereNotSentAreGivenBack) {
  BudgetRig rig;
  rig.now += kLimits.window;
  const int burst = rig.UseAll();
  rig.budget.OnNotSent(3);
  EXPECT_EQ(rig.UseAll(), 3);
  EXPECT_EQ(burst, static_cast<int>(ServiceRetryBudget::kHeldShare *
                                    ServiceRetryBudget::kKnownGatewaysShare *
                                    kLimits.slack));
}

// Guards against a budget that is safe and useless: with steady requests, the
// retries of many windows reach most of what the ratio allows.
TEST(ServiceRetryBudgetTest, SteadyRetriesReachHalfOfTheRatioAndTheFixedPart) {
  BudgetRig rig;
  int retries = 0;
  constexpr int kRequests = 10000;
  for (int n = 0; n < kRequests; ++n) {
    rig.now += 10 * kMs;
    rig.budget.OnRequest(rig.now);
    while (rig.budget.TryUse(rig.now, {})) {
      rig.budget.OnArrived();
      ++retries;
    }
  }
  EXPECT_GT(retries, 0.5 * kLimits.ratio * kRequests);
}

// A fleet of gateways in virtual time that retry as much as their budgets let
// them. Gateways are killed and come back, are suspended and then read all
// their requests at once, and join under new names; retries are in transit for
// up to a window, and some are given up before they arrive.
class RetryFleet {
 public:
  explicit RetryFleet(std::uint64_t seed) : random_(seed) {
    const std::size_t gateways = 1 + Draw(12);
    requests_per_second_ =
        1 + static_cast<double>(Draw(40)) * static_cast<double>(gateways);
    max_transit_ = static_cast<DurationUs>(1 + Draw(10000)) * kMs;
    for (std::size_t n = 0; n < gateways; ++n) {
      AddGateway();
    }
    known_ = gateways;
  }

  void Run(DurationUs time) {
    constexpr DurationUs kStep = 10 * kMs;
    for (const TimeUs end = now_ + time; now_ < end; now_ += kStep) {
      RunEvents();
      InjectFaults();
      due_requests_ += rate_factor_ * requests_per_second_ *
                       static_cast<double>(kStep) /
                       static_cast<double>(kSecond);
      for (; due_requests_ >= 1; --due_requests_) {
        SendRequest();
      }
      for (auto& it : gateways_) {
        RetryAll(it.get());
      }
    }
    RunEvents();
  }

  std::vector<RetryWindow> Windows() const { return judge_.WorstWindows(); }

 private:
  struct GatewayModel {
    std::unique_ptr<ServiceRetryBudget> budget;
    TimeUs down_until = 0;
    TimeUs suspended_until = 0;
    TimeUs settled_at = 0;
    bool settled = false;
    int unread_requests = 0;
    int incarnation = 0;
  };

  std::size_t Draw(std::size_t n) {
    return static_cast<std::size_t>(random_.Below(n));
  }
  bool Happens(double per_second) {
    constexpr std::size_t kDenominator = 100000;
    return static_cast<double>(Draw(kDenominator)) <
           per_second * 0.01 * kDenominator;
  }

  void AddGateway() {
    gateways_.push_back(std::make_unique<GatewayModel>());
    Start(gateways_.back().get());
  }
  void Start(GatewayModel* it) {
    it->budget = std::make_unique<ServiceRetryBudget>("s", &metrics_, &log_);
    it->budget->SetLimits(now_, kLimits);
    it->settled = false;
    it->settled_at = now_ + kSecond;
    it->unread_requests = 0;
    ++it->incarnation;
  }

  void InjectFaults() {
    if (Happens(0.1)) {
      refusing_ = !refusing_;
    }
    if (Happens(0.1)) {
      rate_factor_ = Draw(2) == 0 ? 1 : 0.2 + static_cast<double>(Draw(4));
    }
    // One that joins is known to the others when it has settled.
    if (gateways_.size() < 14 && Happens(0.02)) {
      AddGateway();
      known_ = gateways_.size();
    }
    for (auto& it : gateways_) {
      if (it->down_until == 0 && Happens(kill_rate_)) {
        it->down_until = now_ + static_cast<DurationUs>(Draw(2000)) * kMs;
        it->budget = nullptr;
      }
      if (it->down_until > 0 && now_ >= it->down_until) {
        it->down_until = 0;
        Start(it.get());
      }
      if (Happens(0.02)) {
        it->suspended_until = now_ + static_cast<DurationUs>(Draw(3000)) * kMs;
      }
      if (it->budget != nullptr && !it->settled && now_ >= it->settled_at) {
        it->settled = true;
      }
      if (it->settled && it->budget != nullptr) {
        it->budget->SetGatewayCount(now_, known_);
      }
    }
    if (Happens(0.03)) {
      kill_rate_ = kill_rate_ > 0.1 ? 0.01 : 0.5;
    }
  }

  void SendRequest() {
    judge_.OnRequest(now_, "s");
    ++gateways_[Draw(gateways_.size())]->unread_requests;
  }

  void RetryAll(GatewayModel* it) {
    if (it->budget == nullptr || now_ < it->suspended_until) {
      return;
    }
    for (; it->unread_requests > 0; --it->unread_requests) {
      it->budget->OnRequest(now_);
    }
    if (!refusing_) {
      return;
    }
    while (it->budget->TryUse(now_, {})) {
      SendRetry(it);
    }
  }

  void SendRetry(GatewayModel* it) {
    const DurationUs transit =
        Draw(4) > 0 ? static_cast<DurationUs>(Draw(20)) * kMs
                    : static_cast<DurationUs>(
                          Draw(static_cast<std::size_t>(max_transit_)));
    const DurationUs given_up_after = static_cast<DurationUs>(Draw(6000)) * kMs;
    const int incarnation = it->incarnation;
    At(now_ + transit, [this, it, incarnation, transit, given_up_after] {
      judge_.OnArrival(now_, "s", "r");
      if (it->budget != nullptr && it->incarnation == incarnation &&
          transit < given_up_after) {
        it->budget->OnArrived();
      }
    });
    if (transit >= given_up_after) {
      At(now_ + given_up_after, [it, incarnation] {
        if (it->budget != nullptr && it->incarnation == incarnation) {
          it->budget->OnUnconfirmed();
        }
      });
    }
  }

  void At(TimeUs time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }
  void RunEvents() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
  }

  Random random_;
  Metrics metrics_;
  QuietLog log_;
  RetryJudge judge_{kLimits};
  TimeUs now_ = 1000 * kSecond;
  std::vector<std::unique_ptr<GatewayModel>> gateways_;
  std::multimap<TimeUs, std::function<void()>> events_;
  std::size_t known_ = 0;
  double requests_per_second_ = 0;
  double due_requests_ = 0;
  double rate_factor_ = 1;
  double kill_rate_ = 0.01;
  DurationUs max_transit_ = 0;
  bool refusing_ = true;
};

// Guards against any history of restarts, suspensions, joins and long transits
// in which the sum over all gateways exceeds the budget.
TEST(ServiceRetryBudgetTest, TheSumHoldsInGeneratedHistories) {
  constexpr std::uint64_t kSeeds = 300;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RetryFleet fleet(seed);
    fleet.Run(90 * kSecond);
    for (const RetryWindow& it : fleet.Windows()) {
      ASSERT_FALSE(it.Exceeded())
          << "seed " << seed << ": " << it.retries << " of " << it.allowed;
    }
  }
}

}  // namespace
}  // namespace acaciachute
