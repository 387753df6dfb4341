// Process tests of addresses that go to another kind of replica.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <vector>

#include "tests/process/replica_traffic.h"

namespace acaciachute {
namespace {

// Longer than the platform waits before it gives an address away.
constexpr DurationUs kReuseDelay = 2200 * kMillisecond;

// Guards against work that no client sent: the calls of gateways to an engine
// and to replicas of stages, which ran at the plain replicas that got their
// addresses after a silence.
TEST(AddressReuseTest, TheNextOwnerRunsNoCallOfTheGateways) {
  Loop loop;
  WorldOptions options;
  options.gateways = 3;
  options.events = 5;
  if (const char* folder = std::getenv("GATEWAY_LOGS")) {
    options.log_folder = folder;
  }
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  SendFor(&world, 2 * kSecond);
  std::vector<StandinReplica*> silent;
  for (StandinReplica* it : BusiestOfEachService(&world)) {
    if (it->kind() != ReplicaWork::Kind::kPlain) {
      it->FallSilent();
      silent.push_back(it);
    }
  }
  SendFor(&world, kReuseDelay);
  for (StandinReplica* it : silent) {
    world.GiveAddressToPlain(it);
  }
  SendFor(&world, 3 * kSecond);
  EXPECT_THAT(world.ledger()->Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace acaciachute
