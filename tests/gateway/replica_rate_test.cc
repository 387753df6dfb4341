// Tests the load of replicas that state how many requests a second they accept
// from all gateways together.
#include <gtest/gtest.h>

#include <string>

#include "tests/gateway/rate_fleet.h"

namespace acaciachute {
namespace {

// Guards against a replica in need that gets more requests than it has stated
// to accept, because gateways do not read its limit or each use all of it.
TEST(StatedRateTest, FleetsOfAnySizeKeepTheLimitOfAReplicaInSum) {
  for (const std::size_t gateways : {1U, 5U, 26U, 103U}) {
    for (const std::string text : {"0", "0.2", "1", "1.3", "20"}) {
      SCOPED_TRACE(std::to_string(gateways) + " gateways, limit " + text);
      const double limit = std::stod(text);
      const double per_second = 4 * (4 * limit + 20);
      RateFleet fleet(gateways, 4);
      fleet.Run(3 * kSecond, per_second);
      fleet.SetLimit("e0", text);
      fleet.Run(20 * kSecond, per_second);
      EXPECT_LE(fleet.MostInWindow("e0"), RateFleet::Allowed(limit));
      // The other replicas take the load.
      std::size_t others = 0;
      for (const char* it : {"e1", "e2", "e3"}) {
        others += fleet.Arrivals(it, 5 * kSecond);
      }
      EXPECT_GT(static_cast<double>(others), 5 * per_second / 2);
    }
  }
}

}  // namespace
}  // namespace acaciachute
