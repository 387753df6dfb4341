// Tests the load of replicas that state how many requests a second they accept
// from all gateways together.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/gateway/rate_fleet.h"

namespace acaciachute {
namespace {

// The replica states this limit in an answer.
void StateRate(GatewayRig* rig, const ReplicaId& replica, double max_rate) {
  ReplicaStatement statement;
  statement.proven = true;
  statement.max_rate = max_rate;
  rig->core.OnStatement(replica, statement);
}

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

// A replica in need is used as far as it states, not left idle.
TEST(StatedRateTest, AReplicaGetsAtLeastHalfOfItsLimit) {
  for (const std::size_t gateways : {1U, 5U, 26U}) {
    for (const std::string text : {"0.2", "1", "1.3", "20"}) {
      SCOPED_TRACE(std::to_string(gateways) + " gateways, limit " + text);
      const double limit = std::stod(text);
      RateFleet fleet(gateways, 4);
      fleet.SetLimit("e0", text);
      fleet.Run(10 * kSecond, 8 * limit + 200);
      fleet.Run(20 * kSecond, 8 * limit + 200);
      EXPECT_GE(static_cast<double>(fleet.Arrivals("e0", 20 * kSecond)),
                20 * limit / 2);
    }
  }
}

// The limit ends with an answer that does not name it, and the replica then
// gets its share of the load again.
TEST(StatedRateTest, TheLimitEndsWithAnAnswerWithoutIt) {
  RateFleet fleet(5, 4);
  fleet.SetLimit("e0", "1");
  fleet.Run(10 * kSecond, 100);
  fleet.SetLimit("e0", "");
  fleet.Run(10 * kSecond, 100);
  EXPECT_GT(fleet.Arrivals("e0", 4 * kSecond), 50U);
}

// A value that is no number, or below zero, changes nothing; a huge one limits
// nothing.
TEST(StatedRateTest, UnreadableLimitsChangeNothing) {
  for (const char* text :
       {"many", "-3", "nan", "inf", "1e400", "1 2", "1e300"}) {
    SCOPED_TRACE(text);
    RateFleet fleet(5, 4);
    fleet.SetLimit("e0", text);
    fleet.Run(8 * kSecond, 100);
    EXPECT_GT(fleet.Arrivals("e0", 4 * kSecond), 50U);
  }
  RateFleet fleet(5, 4);
  fleet.SetLimit("e0", "1");
  fleet.Run(8 * kSecond, 100);
  fleet.SetLimit("e0", "many");
  fleet.Run(8 * kSecond, 100);
  EXPECT_LE(fleet.Arrivals("e0", 4 * kSecond), RateFleet::Allowed(1));
}

// Gateways that have not been told by the replica learn its limit from others,
// also after a restart, and keep it from the first request on.
TEST(StatedRateTest, GatewaysTellOneAnother) {
  RateFleet fleet(26, 4);
  fleet.SetLimit("e0", "1");
  fleet.Run(8 * kSecond, 200);
  for (std::size_t n = 0; n < fleet.size(); n += 3) {
    fleet.Restart(n);
  }
  fleet.ExchangeStatements();
  fleet.Run(4 * kSecond, 200);
  // Those that restarted have forgotten what they sent before.
  EXPECT_LE(fleet.Arrivals("e0", 4 * kSecond), RateFleet::Allowed(1));
  // An older statement does not replace a newer one.
  ReplicaRateStatement old;
  old.replica = "e0";
  old.age = 60 * kSecond;
  fleet.rig(1).core.OnPeerStatement(old);
  EXPECT_EQ(fleet.rig(1).core.rate_limiter()->statements().LimitOf("e0"), 1);
}

// Guards against the same sum by restarts: a process has forgotten what the one
// before it sent within the window. Each gateway is restarted every two seconds
// and uses its part from a second after its start, when it knows the others.
TEST(StatedRateTest, RestartsInSeriesDoNotAddUp) {
  constexpr double kLimit = 10;
  RateFleet fleet(5, 4);
  fleet.SetLimit("e0", "10");
  fleet.Run(8 * kSecond, 200);
  for (std::size_t n = 0; n < 10 * fleet.size(); ++n) {
    const std::size_t restarted = n % fleet.size();
    const std::size_t settled = (n + fleet.size() / 2) % fleet.size();
    fleet.Restart(restarted);
    fleet.rig(restarted).core.SetKnownGateways({});
    fleet.rig(settled).core.SetKnownGateways(fleet.names());
    fleet.ExchangeStatements();
    fleet.Run(2 * kSecond / static_cast<DurationUs>(fleet.size()), 200);
    EXPECT_LE(fleet.Arrivals("e0", RateFleet::kWindow),
              RateFleet::Allowed(kLimit));
  }
}

// A new incarnation of the replica has stated nothing.
TEST(StatedRateTest, ANewIncarnationHasNoLimit) {
  GatewayRig rig;
  rig.AddReplica(ReplicaId("e0", 1), "engine");
  StateRate(&rig, ReplicaId("e0", 1), 1.0);
  rig.AddReplica(ReplicaId("e0", 2), "engine");
  const auto& statements = rig.core.rate_limiter()->statements();
  EXPECT_FALSE(statements.LimitOf(ReplicaId("e0", 2)));
  EXPECT_FALSE(statements.LimitOf(ReplicaId("e0", 1)));
  // News of the former one arrive late.
  ReplicaRateStatement late;
  late.replica = "e0";
  late.incarnation = 1;
  late.limited = true;
  rig.core.OnPeerStatement(late);
  EXPECT_FALSE(statements.LimitOf(ReplicaId("e0", 1)));
}

// A cold replica that states a limit is held by the stricter of the two.
TEST(StatedRateTest, BothLimitsHoldForAColdReplica) {
  GatewayRig rig;
  rig.AddReplica("e0", "engine", "a", rig.now + 60 * kSecond);
  StateRate(&rig, "e0", 0.5);
  for (int n = 0; n < 20; ++n) {
    rig.Call("stream");
  }
  // Half a request a second is two in four seconds; cold, it would get six.
  EXPECT_EQ(rig.sent.size(), 2U);
}

// All replicas state limits. Requests that have a turn soon wait for it, the
// most urgent first; the others are refused at once, with the time of the next
// turn, instead of being held until it is too late.
TEST(StatedRateTest, WhatHasNoTurnIsRefusedAtOnce) {
  GatewayRig rig;
  rig.AddReplica("e0", "engine");
  StateRate(&rig, "e0", 1.0);
  std::vector<ExchangeId> calls(8);
  for (ExchangeId& it : calls) {
    it = rig.Call("stream");
  }
  EXPECT_EQ(rig.sent.size(), 4U);
  for (std::size_t n = 4; n < calls.size(); ++n) {
    ASSERT_TRUE(rig.refused.contains(calls[n]));
    EXPECT_EQ(rig.refused[calls[n]].verdict, Verdict::kNotRun);
    EXPECT_EQ(rig.refused[calls[n]].retry_after, 4 * kSecond);
  }
  // The turns come again four seconds after the answers.
  for (const auto& it : std::vector(rig.sent)) {
    rig.core.OnReplicaHead(it.call, GatewayRig::Head());
    StateRate(&rig, "e0", 1.0);
  }
  rig.Pass(3 * kSecond);
  const ExchangeId waits = rig.Call("stream");
  EXPECT_FALSE(rig.refused.contains(waits));
  rig.Pass(kSecond + 10 * kMillisecond);
  EXPECT_EQ(rig.sent.size(), 5U);
}

// The gateway that batches for all uses the limit alone, and two that take
// themselves for it keep the bound together.
TEST(StatedRateTest, TwoBatchingGatewaysKeepTheLimit) {
  for (const double limit : {0.0, 0.2, 1.0, 1.3, 7.0, 20.0}) {
    std::size_t sum = 0;
    for (const char* name : {"g0", "g1"}) {
      ReplicaRateLimiter limiter(name);
      limiter.statements().OnAnswer(0, "m0", limit);
      ReplicaEntry replica;
      replica.id = "m0";
      replica.service = "maker";
      std::size_t sent = 0;
      for (TimeUs now = 0; now < RateFleet::kWindow; now += kMillisecond) {
        if (limiter.MaySendBatch(now, replica)) {
          limiter.OnSent(replica);
          limiter.OnArrived(now, replica);
          ++sent;
        }
      }
      EXPECT_GE(sent, 1U);
      sum += sent;
    }
    EXPECT_LE(sum, RateFleet::Allowed(limit)) << limit;
  }
}

}  // namespace
}  // namespace acaciachute
