// Process tests of real gateways and replicas that state in their answers that
// they leave.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/soak/world.h"

namespace acaciachute {
namespace {

// Time after which no request may reach a replica from a gateway that has
// passed on such an answer (the settings' bound on leaving replicas).
constexpr DurationUs kBound = 2 * kSecond;

// Sends requests of all kinds for this time, to all gateways in turn.
void SendFor(Loop* loop, World* world, DurationUs time) {
  constexpr DurationUs kPeriod = 20 * kMillisecond;
  const std::size_t gateways = world->gateways().size();
  const TimeUs end = Loop::Now() + time;
  TimeUs next = Loop::Now();
  std::size_t sent = 0;
  world->WaitFor(time + kSecond, [&] {
    for (; Loop::Now() >= next && next < end; next += kPeriod) {
      const std::size_t n = sent++;
      world->Send(n % 2 == 0 ? "safe" : "staged", n / 2 % gateways);
    }
    return Loop::Now() >= end;
  });
}

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
  SendFor(&loop, &world, kSecond);
  for (auto& it : world.store_links()) {
    it->Cut();
  }
  // The first of each service.
  std::vector<StandinReplica*> leaving;
  for (std::size_t n = 0; n < world.replicas().size(); n += 3) {
    leaving.push_back(world.replicas()[n].get());
    leaving.back()->SetLeaving(true);
  }
  SendFor(&loop, &world, kSecond);
  for (const StandinReplica* it : leaving) {
    EXPECT_FALSE(it->arrivals().empty()) << it->id();
  }
  const TimeUs told_at = Loop::Now();
  SendFor(&loop, &world, kBound);
  for (const StandinReplica* it : leaving) {
    world.RemoveReplicaRow(*it);
  }
  for (auto& it : world.store_links()) {
    it->Restore();
  }
  SendFor(&loop, &world, 2 * kSecond);
  for (const StandinReplica* it : leaving) {
    world.WriteReplicaRow(*it, false);
  }
  SendFor(&loop, &world, 2 * kSecond);
  for (const StandinReplica* it : leaving) {
    EXPECT_EQ(std::count_if(it->arrivals().begin(), it->arrivals().end(),
                            [&](TimeUs at) { return at > told_at + kBound; }),
              0)
        << it->id();
  }
  EXPECT_TRUE(world.ledger()->Violations().empty());
}

}  // namespace
}  // namespace acaciachute
