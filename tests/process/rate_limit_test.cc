// Process tests of several real gateways and a replica that states how many
// requests a second it accepts from all of them together.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "tests/soak/world.h"

namespace acaciachute {
namespace {

constexpr DurationUs kWindow = 4 * kSecond;
// One and a half times four seconds' worth of a limit of one, and five.
constexpr std::size_t kAllowedPerWindow = 11;

std::size_t ArrivalsSince(const StandinReplica& replica, TimeUs time) {
  return static_cast<std::size_t>(
      std::count_if(replica.arrivals().begin(), replica.arrivals().end(),
                    [&](TimeUs it) { return it > time; }));
}

// Guards against replicas in need that get as many requests as all others: a
// plain one, one of a stage and an engine, from three gateways.
TEST(RateLimitProcessTest, GatewaysKeepTheLimitsOfReplicasTogether) {
  Loop loop;
  WorldOptions options;
  options.gateways = 3;
  options.events = 5;
  World world(&loop, options);
  ASSERT_TRUE(world.Start());
  std::size_t sent = 0;
  const auto run = [&](DurationUs time) {
    constexpr DurationUs kPeriod = 30 * kMillisecond;
    const TimeUs end = Loop::Now() + time;
    TimeUs next = Loop::Now();
    world.WaitFor(time + kSecond, [&] {
      for (; Loop::Now() >= next && next < end; next += kPeriod) {
        const std::size_t n = sent++;
        world.Send(n % 2 == 0 ? "safe" : "staged", n % 3);
      }
      return Loop::Now() >= end;
    });
  };
  run(2 * kSecond);
  // The first of each service.
  std::vector<StandinReplica*> limited;
  for (std::size_t n = 0; n < world.replicas().size(); n += 3) {
    limited.push_back(world.replicas()[n].get());
    limited.back()->SetRateLimit("1");
  }
  run(kWindow + kSecond);
  for (int n = 0; n < 4; ++n) {
    run(kSecond);
    for (const StandinReplica* it : limited) {
      EXPECT_LE(ArrivalsSince(*it, Loop::Now() - kWindow), kAllowedPerWindow)
          << it->id();
    }
  }
  // The two other plain replicas serve. The choice may prefer one of them.
  std::size_t others = 0;
  for (const std::size_t n : {1U, 2U}) {
    const std::size_t arrived =
        ArrivalsSince(*world.replicas()[n], Loop::Now() - kWindow);
    RecordProperty("arrived_at_" + std::to_string(n), std::to_string(arrived));
    others += arrived;
  }
  EXPECT_GT(others, 40U);
  EXPECT_TRUE(world.ledger()->Violations().empty());
}

}  // namespace
}  // namespace acaciachute
