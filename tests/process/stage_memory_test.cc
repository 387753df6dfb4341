// Process tests of the memory of stages' replicas, with real gateways.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <memory>

#include "tests/soak/world.h"

namespace acaciachute {
namespace {

constexpr int kGateways = 3;
constexpr DurationUs kRequestInterval = 20 * kMillisecond;

void SendFor(World* world, DurationUs time) {
  const TimeUs end = Loop::Now() + time;
  TimeUs next = Loop::Now();
  std::size_t sent = 0;
  world->WaitFor(time + kSecond, [&] {
    for (; Loop::Now() >= next && next < end; next += kRequestInterval) {
      world->Send("staged", sent++ % kGateways);
    }
    return Loop::Now() >= end;
  });
}

// Guards against requests that end for lack of memory after all gateways were
// killed in a burst: the replicas of a stage are full of the dead's results,
// and the new gateways have an empty account and an empty retry budget.
TEST(StageMemoryTest, ServesAfterAllGatewaysWereKilledInABurst) {
  Loop loop;
  WorldOptions options;
  options.gateways = kGateways;
  options.stage_replicas = 3;
  options.retries = {0.2, 10, 10 * kSecond};
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  SendFor(&world, kSecond);
  for (auto& it : world.gateways()) {
    it->Signal(SIGKILL);
  }
  ASSERT_TRUE(world.WaitFor(5 * kSecond, [&] {
    return std::all_of(world.gateways().begin(), world.gateways().end(),
                       [](auto& it) { return it->Ended(); });
  }));
  for (auto& it : world.gateways()) {
    it->Start();
  }
  ASSERT_TRUE(world.WaitUntilReady());
  int made_before = 0;
  for (auto& it : world.replicas()) {
    if (it->service() == "first") {
      it->SetFullUntil(Loop::Now() + 1500 * kMillisecond);
      made_before += it->pieces_made();
    }
  }
  SendFor(&world, 4 * kSecond);
  int made = 0;
  for (auto& it : world.replicas()) {
    EXPECT_EQ(it->pieces_without_memory(), 0) << it->id();
    made += it->service() == "first" ? it->pieces_made() : 0;
  }
  EXPECT_GT(made, made_before + 50);
}

}  // namespace
}  // namespace acaciachute
