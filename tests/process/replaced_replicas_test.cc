// Process tests of replicas that ended and were replaced by others at their
// addresses, while their rows have not expired.
#include <gtest/gtest.h>

#include "tests/soak/world.h"

namespace acaciachute {
namespace {

// Guards against sending requests to ended replicas until their rows expire:
// their successors answer for other names, which costs each request a retry,
// and beyond the retry budget it is refused though all successors are free.
TEST(ReplacedReplicasProcessTest, SuccessorsServeBeforeTheRowsExpire) {
  constexpr DurationUs kPeriod = 25 * kMillisecond;
  // Until all gateways have read the rows of the successors.
  constexpr DurationUs kListTime = 500 * kMillisecond;
  Loop loop;
  WorldOptions options;
  options.gateways = 3;
  options.plain_replicas = 8;
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  const TimeUs ended_at = Loop::Now();
  for (auto& it : world.replicas()) {
    if (it->service() == "plain") {
      world.EndReplica(it.get(), true);
    }
  }
  world.WaitFor(World::kDownTime + kListTime, [] { return false; });
  std::size_t sent = 0;
  while (Loop::Now() < ended_at + World::kRowLifetime) {
    ClientCall call;
    call.route = "safe";
    call.gateway = sent++ % 3;
    call.body = "sound";
    call.beside = "again";
    world.Send(call);
    world.WaitFor(kPeriod, [] { return false; });
  }
  ASSERT_TRUE(
      world.WaitFor(10 * kSecond, [&] { return world.ledger()->open() == 0; }));
  const BegunShare again = world.ledger()->BegunOf("again");
  EXPECT_GT(again.sent, 30U);
  EXPECT_EQ(again.begun, again.sent);
}

}  // namespace
}  // namespace acaciachute
