// Process tests of real gateways and prompt parts that end the engines which
// begin to write an answer on them.
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <string>
#include <string_view>
#include <vector>

#include "tests/soak/world.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr char kPart[] = "bad0";

// Requests, no two alike, to all gateways in turn.
class Traffic {
 public:
  // `sound_period`: of sound requests, in the usual ones.
  explicit Traffic(World* world, std::size_t sound_period = 1)
      : world_(world), sound_period_(sound_period) {}

  // Sends for this time. `crashing`: also requests with `kPart`.
  void Run(DurationUs time, bool crashing) {
    constexpr DurationUs kTick = 10 * kMillisecond;
    constexpr std::size_t kCrashingTicks = 20;
    constexpr std::size_t kSamePartTicks = 7;
    constexpr std::size_t kSameAccountTicks = 10;
    const TimeUs end = Loop::Now() + time;
    TimeUs next = Loop::Now();
    world_->WaitFor(time + kSecond, [&] {
      for (; Loop::Now() >= next && next < end; next += kTick) {
        const std::size_t tick = ticks_++;
        if (crashing && tick % kCrashingTicks == 0) {
          Send(StrCat("aa:500,", kPart, ":300,turn", tick % 3, ":40"), true);
        }
        if (tick % (sound_period_ * kSamePartTicks) == 0) {
          Send(StrCat("aa:500,doc", tick % 9, ":200"), false);
        }
        if (tick % (sound_period_ * kSameAccountTicks) == 0) {
          Send(StrCat("ab:500,rare", tick % 50, ":100"), false);
        }
      }
      return Loop::Now() >= end;
    });
  }

 private:
  void Send(const std::string& shared_parts, bool crashing) {
    constexpr std::array<std::string_view, 3> kRoutes = {
        "chat-safe", "chat-unsafe", "chat-resumed"};
    const std::size_t n = sent_++;
    ClientCall call;
    call.route = kRoutes[n % kRoutes.size()];
    call.gateway = n % world_->gateways().size();
    call.body = StrCat("body ", n);
    call.prompt = StrCat(shared_parts, ",own", n, ":50");
    const std::string key = StandinReplica::PartKey(kPart);
    (crashing ? call.crash_key : call.beside) = key;
    world_->Send(call);
  }

  World* const world_;
  const std::size_t sound_period_;
  std::size_t ticks_ = 0;
  std::size_t sent_ = 0;
};

WorldOptions Engines(DurationUs event_interval) {
  WorldOptions options;
  options.gateways = 3;
  options.chat_engines = 12;
  options.chat_event_interval = event_interval;
  return options;
}

std::size_t Deaths(World* world) {
  return world->ledger()->crashes().deaths();
}

// By the interval of events: answers of 0.1 s and of 4 s.
class PromptPartProcessTest : public ::testing::TestWithParam<DurationUs> {};

// Guards against a prompt part that ends engine after engine, in requests of
// which no two are alike, and against refusing sound ones that share the
// account and the other parts.
TEST_P(PromptPartProcessTest, IsSentNoMoreAfterFiveEngines) {
  constexpr double kAsOftenAsBefore = 0.95;
  Loop loop;
  World world(&loop, Engines(GetParam()));
  world.AddCrashingPart(kPart);
  ASSERT_TRUE(world.Start());
  // Long answers take half of the engines' slots.
  Traffic traffic(&world, GetParam() < 100 * kMillisecond ? 1 : 4);
  traffic.Run(11 * kSecond, false);
  traffic.Run(20 * kSecond, true);
  ASSERT_TRUE(
      world.WaitFor(8 * kSecond, [&] { return world.ledger()->open() == 0; }));
  const std::string key = StandinReplica::PartKey(kPart);
  Ledger& ledger = *world.ledger();
  EXPECT_GE(Deaths(&world), 1U);
  EXPECT_LE(Deaths(&world),
            CrashJudge::kDeathsOfPart + CrashJudge::kMaxLateArrivals);
  EXPECT_LE(ledger.crashes().MostLateArrivals(), CrashJudge::kMaxLateArrivals);
  EXPECT_EQ(ledger.crashes().InnocentsRefused(), 0U);
  EXPECT_GE(ledger.BegunAfter(key).share(),
            kAsOftenAsBefore * ledger.BegunBefore(key).share());
  RecordProperty("deaths", static_cast<int>(Deaths(&world)));
  RecordProperty("late", static_cast<int>(ledger.crashes().MostLateArrivals()));
  RecordProperty("begun_after", StrCat(ledger.BegunAfter(key).begun, " of ",
                                       ledger.BegunAfter(key).sent));
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         PromptPartProcessTest,
                         ::testing::Values(12 * kMillisecond,
                                           500 * kMillisecond));

// Guards against gateways that forget such a part when they are killed, one or
// all, so that each restart costs five engines more.
TEST(PromptPartRestartTest, IsRememberedWhenGatewaysAreKilled) {
  Loop loop;
  World world(&loop, Engines(12 * kMillisecond));
  world.AddCrashingPart(kPart);
  ASSERT_TRUE(world.Start());
  Traffic traffic(&world);
  traffic.Run(6 * kSecond, true);
  const std::size_t deaths = Deaths(&world);
  EXPECT_GE(deaths, 1U);
  const auto kill_and_start = [&](std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
      GatewayProcess& it = *world.gateways()[n];
      it.Signal(SIGKILL);
      ASSERT_TRUE(world.WaitFor(5 * kSecond, [&] { return it.Ended(); }));
    }
    for (std::size_t n = 0; n < count; ++n) {
      world.gateways()[n]->Start();
    }
    ASSERT_TRUE(world.WaitUntilReady());
  };
  kill_and_start(1);
  traffic.Run(3 * kSecond, true);
  kill_and_start(world.gateways().size());
  traffic.Run(3 * kSecond, true);
  EXPECT_EQ(Deaths(&world), deaths);
  EXPECT_EQ(world.ledger()->crashes().InnocentsRefused(), 0U);
}

// Guards against taking a popular or a rare part for what ends engines, where
// they end of another cause.
TEST(PromptPartRestartTest, EndsOfAnotherCauseBlockNothing) {
  Loop loop;
  World world(&loop, Engines(12 * kMillisecond));
  ASSERT_TRUE(world.Start());
  Traffic traffic(&world);
  std::size_t next = 0;
  std::vector<StandinReplica*> engines;
  for (auto& it : world.replicas()) {
    if (it->service() == "chat") {
      engines.push_back(it.get());
    }
  }
  for (int n = 0; n < 40; ++n) {
    // One after the other, and five at once in between.
    const std::size_t count = n % 10 == 9 ? 5 : 1;
    for (std::size_t k = 0; k < count; ++k) {
      world.EndReplica(engines[next++ % engines.size()]);
    }
    traffic.Run(300 * kMillisecond, false);
  }
  EXPECT_EQ(world.ledger()->crashes().InnocentsRefused(), 0U);
}

}  // namespace
}  // namespace acaciachute
