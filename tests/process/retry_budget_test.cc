// Process tests of the retry budget with real gateways, judged by what arrives
// at stand-in replicas.
#include <gtest/gtest.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/soak/world.h"

namespace acaciachute {
namespace {

// The figures of a small site: two plain requests to five with stages.
constexpr int kGateways = 5;
constexpr DurationUs kRequestInterval = 14 * kMillisecond;
constexpr DurationUs kRestartDelay = 200 * kMillisecond;

WorldOptions SmallSite() {
  WorldOptions options;
  options.gateways = kGateways;
  options.plain_replicas = 4;
  options.stage_replicas = 5;
  options.engines = 4;
  options.events = 5;
  options.retries = {0.2, 56, 10 * kSecond};
  return options;
}

void SetFaultOf(World* world, const std::string& service, ReplicaFault fault) {
  for (auto& it : world->replicas()) {
    if (it->service() == service) {
      it->SetFault(fault, 100);
    }
  }
}

// Sends requests to all gateways in turn for `time`, restarts those that have
// ended, and calls `inject` every few milliseconds.
class Traffic {
 public:
  explicit Traffic(World* world) : world_(world) {}

  void SendFor(DurationUs time, const std::function<void()>& inject) {
    const TimeUs end = Loop::Now() + time;
    next_ = Loop::Now();
    world_->WaitFor(time + kSecond, [&] {
      for (; Loop::Now() >= next_ && next_ < end; next_ += kRequestInterval) {
        const std::size_t n = sent_++;
        world_->Send(n % 7 < 2 ? "safe" : "staged", n % kGateways);
      }
      RestartEnded();
      inject();
      return Loop::Now() >= end;
    });
  }

 private:
  void RestartEnded() {
    for (auto& it : world_->gateways()) {
      if (!it->Ended()) {
        ended_at_.erase(it.get());
      } else if (!ended_at_.contains(it.get())) {
        ended_at_[it.get()] = Loop::Now();
      } else if (Loop::Now() - ended_at_[it.get()] >= kRestartDelay) {
        it->Start();
      }
    }
  }

  World* const world_;
  TimeUs next_ = 0;
  std::size_t sent_ = 0;
  std::map<GatewayProcess*, TimeUs> ended_at_;
};

std::vector<std::string> ExceededBudgets(World* world) {
  std::vector<std::string> exceeded;
  for (const RetryWindow& it : world->ledger()->WorstRetryWindows()) {
    std::printf("%s: %zu retries in the worst window, %.1f allowed\n",
                it.service.c_str(), it.retries, it.allowed);
    if (it.Exceeded()) {
      exceeded.push_back(it.service);
    }
  }
  return exceeded;
}

// Guards against a restart handing out the fixed part of the budget again: the
// replicas of two services turn everything away while each gateway is killed
// every two seconds.
TEST(RetryBudgetProcessTest, HoldsThroughRestartsInSeries) {
  Loop loop;
  World world(&loop, SmallSite());
  ASSERT_TRUE(world.Start());
  Traffic traffic(&world);
  traffic.SendFor(2 * kSecond, [] {});
  SetFaultOf(&world, "plain", ReplicaFault::kRefuse);
  SetFaultOf(&world, "engine", ReplicaFault::kRefuse);
  constexpr DurationUs kKillInterval = 400 * kMillisecond;
  TimeUs next_kill = Loop::Now() + kKillInterval;
  std::size_t kills = 0;
  traffic.SendFor(12 * kSecond, [&] {
    if (Loop::Now() >= next_kill) {
      next_kill += kKillInterval;
      world.gateways()[kills++ % kGateways]->Signal(SIGKILL);
    }
  });
  EXPECT_EQ(ExceededBudgets(&world), std::vector<std::string>());
}

}  // namespace
}  // namespace acaciachute
