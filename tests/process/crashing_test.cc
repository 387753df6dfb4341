// Process tests of real gateways and requests that end the replicas which run
// them.
#include <gtest/gtest.h>

#include <csignal>
#include <string>

#include "tests/soak/world.h"
#include "text.h"

namespace acaciachute {
namespace {

// Sends `body` to `route` every half second, and others beside it, to all
// gateways in turn.
void SendBesideOthers(World* world,
                      const std::string& route,
                      const std::string& body,
                      DurationUs time) {
  constexpr DurationUs kPeriod = 20 * kMillisecond;
  constexpr std::size_t kCrashingPeriod = 25;  // In requests.
  const TimeUs end = Loop::Now() + time;
  TimeUs next = Loop::Now();
  std::size_t sent = 0;
  world->WaitFor(time + kSecond, [&] {
    for (; Loop::Now() >= next && next < end; next += kPeriod) {
      const std::size_t n = sent++;
      const std::size_t gateway = n % world->gateways().size();
      if (n % kCrashingPeriod == 0) {
        world->Send(route, gateway, 0, body);
      } else {
        world->Send(n % 2 == 0 ? "safe" : "resumed", gateway);
      }
    }
    return Loop::Now() >= end;
  });
}

class CrashingProcessTest : public ::testing::TestWithParam<std::string> {};

// Guards against a request that ends its replicas and is sent to more of them
// whenever its client sends it again, at whichever gateway.
TEST_P(CrashingProcessTest, IsSentNoMoreAfterThreeReplicas) {
  Loop loop;
  WorldOptions options;
  options.gateways = 3;
  options.plain_replicas = 8;
  options.engines = 8;
  options.events = 5;
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  const std::string body =
      GetParam() == "resumed" ? "crash-in-stream" : "crash";
  SendBesideOthers(&world, GetParam(), body, 15 * kSecond);
  EXPECT_GE(world.ledger()->crashes().deaths(), CrashJudge::kDeaths);
  EXPECT_EQ(world.ledger()->crashes().InnocentsRefused(), 0U);
  EXPECT_LE(world.ledger()->crashes().MostLateArrivals(),
            CrashJudge::kMaxLateArrivals);
}

INSTANTIATE_TEST_SUITE_P(Routes,
                         CrashingProcessTest,
                         ::testing::Values("unsafe", "safe", "resumed"));

struct Leaves {
  const char* name;
  DurationUs deadline;
  DurationUs leaves_after;
};

class SilentCrashProcessTest : public ::testing::TestWithParam<Leaves> {};

// Guards against a request under which replicas fall silent, and whose deadline
// passes, or whose client leaves, before that shows: each copy reaches one more
// replica for as long as it is sent.
TEST_P(SilentCrashProcessTest, IsSentNoMoreAfterThreeReplicas) {
  constexpr int kSends = 8;
  constexpr DurationUs kPeriod = 3200 * kMillisecond;
  Loop loop;
  WorldOptions options;
  options.gateways = 3;
  options.plain_replicas = 8;
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  for (std::size_t n = 0; n < kSends; ++n) {
    ClientCall call;
    call.route = "safe";
    call.gateway = n % 3;
    call.body = StrCat(StandinReplica::kCrashingBody, StandinReplica::kSilent);
    call.deadline = GetParam().deadline;
    call.leaves_after = GetParam().leaves_after;
    world.Send(call);
    SendBesideOthers(&world, "safe", kUsualBody, kPeriod);
  }
  EXPECT_GE(world.ledger()->crashes().deaths(), CrashJudge::kDeaths);
  EXPECT_LE(world.ledger()->crashes().deaths(), CrashJudge::kDeaths + 1);
  EXPECT_LE(world.ledger()->crashes().MostLateArrivals(),
            CrashJudge::kMaxLateArrivals);
  EXPECT_EQ(world.ledger()->crashes().InnocentsRefused(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Ways,
    SilentCrashProcessTest,
    ::testing::Values(Leaves{"Deadline", kSecond, 0},
                      Leaves{"ClientLeaves", 6 * kSecond, kSecond / 2},
                      Leaves{"DeadlineAfterTheRow", 6 * kSecond, 0}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against gateways that forget, when all of them are killed at once,
// which requests ended replicas, so that each mass restart costs three more.
TEST(CrashingProcessRestartTest, IsRememberedWhenAllGatewaysAreKilled) {
  Loop loop;
  WorldOptions options;
  options.gateways = 3;
  options.plain_replicas = 8;
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  SendBesideOthers(&world, "unsafe", "crash", 5 * kSecond);
  const std::size_t deaths = world.ledger()->crashes().deaths();
  EXPECT_GE(deaths, CrashJudge::kDeaths);
  for (auto& it : world.gateways()) {
    it->Signal(SIGKILL);
  }
  for (auto& it : world.gateways()) {
    ASSERT_TRUE(world.WaitFor(5 * kSecond, [&] { return it->Ended(); }));
  }
  ASSERT_TRUE(world.Start());
  SendBesideOthers(&world, "unsafe", "crash", 3 * kSecond);
  EXPECT_EQ(world.ledger()->crashes().deaths(), deaths);
  EXPECT_EQ(world.ledger()->crashes().InnocentsRefused(), 0U);
}

// Guards against a request that begins anew after each kill of all gateways, as
// too few replicas ended under it before to block it.
TEST(CrashingProcessRestartTest, TwoEndsCountAfterAKillOfAllGateways) {
  Loop loop;
  WorldOptions options;
  options.gateways = 3;
  options.plain_replicas = 8;
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  const auto deaths = [&] { return world.ledger()->crashes().deaths(); };
  for (std::size_t n = 0; n < 2; ++n) {
    // A gateway that has just started may refuse a request.
    for (int sends = 0; sends < 5 && deaths() == n; ++sends) {
      world.Send("unsafe", n, 0, "crash");
      world.WaitFor(kSecond, [&] { return deaths() > n; });
    }
    ASSERT_EQ(deaths(), n + 1);
    world.WaitFor(kSecond, [] { return false; });
  }
  for (auto& it : world.gateways()) {
    it->Signal(SIGKILL);
  }
  for (auto& it : world.gateways()) {
    ASSERT_TRUE(world.WaitFor(5 * kSecond, [&] { return it->Ended(); }));
  }
  ASSERT_TRUE(world.Start());
  SendBesideOthers(&world, "unsafe", "crash", 4 * kSecond);
  EXPECT_EQ(deaths(), CrashJudge::kDeaths);
  EXPECT_EQ(world.ledger()->crashes().InnocentsRefused(), 0U);
}

}  // namespace
}  // namespace acaciachute
