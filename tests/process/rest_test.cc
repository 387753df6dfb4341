// Process tests of a real gateway and replicas that turn requests away and ask
// for rest.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/soak/world.h"

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
    most = std::max(
        most, static_cast<std::size_t>(std::count_if(
                  replica.arrivals().begin(), replica.arrivals().end(),
                  [&](TimeUs at) {
                    return at > refused_at + kGrace && at < refused_at + kRest;
                  })));
  }
  return most;
}

// Guards against replicas that turn requests away, ask for rest and get more of
// them than others: a plain one, one of each stage and an engine. When they
// serve again, they get their share.
TEST(RestProcessTest, ReplicasThatAskForRestGetNone) {
  Loop loop;
  WorldOptions options;
  options.events = 5;
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  std::size_t sent = 0;
  const auto run = [&](DurationUs time) {
    constexpr DurationUs kPeriod = 20 * kMillisecond;
    const TimeUs end = Loop::Now() + time;
    TimeUs next = Loop::Now();
    world.WaitFor(time + kSecond, [&] {
      for (; Loop::Now() >= next && next < end; next += kPeriod) {
        world.Send(sent++ % 2 == 0 ? "safe" : "staged", 0);
      }
      return Loop::Now() >= end;
    });
  };
  run(kSecond);
  // The first of each service.
  std::vector<StandinReplica*> refusing;
  for (std::size_t n = 0; n < world.replicas().size(); n += 3) {
    refusing.push_back(world.replicas()[n].get());
    refusing.back()->SetRest("3");
  }
  run(2 * kRest);
  for (StandinReplica* it : refusing) {
    EXPECT_FALSE(it->refusals().empty()) << it->id();
    EXPECT_LE(MostInRest(*it), kMaxInRest) << it->id();
    it->SetRest("");
  }
  run(kRest);
  const TimeUs served_since = Loop::Now();
  run(2 * kSecond);
  for (const StandinReplica* it : refusing) {
    EXPECT_GT(it->arrivals().back(), served_since) << it->id();
  }
  EXPECT_TRUE(world.ledger()->Violations().empty());
}

}  // namespace
}  // namespace acaciachute
