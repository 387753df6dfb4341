// Process tests of a real gateway and replicas that turn requests away and ask
// for rest.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/process/replica_traffic.h"

namespace acaciachute {
namespace {

constexpr DurationUs kRest = 3 * kSecond;
// The users' rule: at most this many requests of one gateway from this long
// after a refusal until the rest that it asked for ends.
constexpr std::size_t kMaxInRest = 2;
constexpr DurationUs kGrace = 500 * kMillisecond;

std::size_t MostInRest(const StandinReplica& replica) {
  std::size_t most = 0;
  for (const TimeUs refused_at : replica.refusals()) {
    most = std::max(most, static_cast<std::size_t>(std::count_if(
                              replica.arrivals().begin(),
                              replica.arrivals().end(), [&](TimeUs at) {
                                return at > refused_at + kGrace &&
                                       at < refused_at + kRest;
                              })));
  }
  return most;
}

// Guards against replicas that turn requests away, ask for rest and get more of
// them than others: a plain one, one of each stage and an engine. When they
// serve again, they get requests again.
TEST(RestProcessTest, ReplicasThatAskForRestGetNone) {
  Loop loop;
  WorldOptions options;
  options.events = 5;
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  SendFor(&world, kSecond);
  const std::vector<StandinReplica*> refusing = BusiestOfEachService(&world);
  for (StandinReplica* it : refusing) {
    it->SetRest("3");
  }
  SendFor(&world, 2 * kRest);
  for (StandinReplica* it : refusing) {
    EXPECT_FALSE(it->refusals().empty()) << it->id();
    EXPECT_LE(MostInRest(*it), kMaxInRest) << it->id();
    it->SetRest("");
  }
  SendFor(&world, kRest + 2 * kSecond);
  for (const StandinReplica* it : refusing) {
    EXPECT_GT(it->arrivals().back(), it->refusals().back()) << it->id();
  }
  EXPECT_TRUE(world.ledger()->Violations().empty());
}

}  // namespace
}  // namespace acaciachute
