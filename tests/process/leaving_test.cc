// Process tests of real gateways and replicas that state in their answers that
// they leave.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/process/replica_traffic.h"

namespace acaciachute {
namespace {

// Time after which no request may reach a replica from a gateway that has
// passed on such an answer (the settings' bound on leaving replicas).
constexpr DurationUs kBound = 2 * kSecond;

// Guards against replicas that get requests seconds after they have said, in
// answers that passed through all gateways, that they leave: a plain one, one
// of a stage and an engine. Their rows say nothing, as the store is out of
// reach, vanish in the outage, and come back as if the replicas stayed.
TEST(LeavingProcessTest, AnswersThatSayItAreEnoughInAnOutage) {
  Loop loop;
  WorldOptions options;
  options.gateways = 3;
  options.events = 5;
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  SendFor(&world, kSecond);
  for (auto& it : world.store_links()) {
    it->Cut();
  }
  const std::vector<StandinReplica*> leaving = BusiestOfEachService(&world);
  for (StandinReplica* it : leaving) {
    it->SetLeaving(true);
  }
  SendFor(&world, kSecond + kBound);
  for (const StandinReplica* it : leaving) {
    world.RemoveReplicaRow(*it);
  }
  for (auto& it : world.store_links()) {
    it->Restore();
  }
  SendFor(&world, 2 * kSecond);
  for (const StandinReplica* it : leaving) {
    world.WriteReplicaRow(*it, false);
  }
  SendFor(&world, 2 * kSecond);
  for (const StandinReplica* it : leaving) {
    ASSERT_TRUE(it->first_stated_leaving_at()) << it->id();
    const TimeUs last = *it->first_stated_leaving_at() + kBound;
    EXPECT_EQ(std::count_if(it->arrivals().begin(), it->arrivals().end(),
                            [&](TimeUs at) { return at > last; }),
              0)
        << it->id();
  }
  EXPECT_TRUE(world.ledger()->Violations().empty());
}

}  // namespace
}  // namespace acaciachute
