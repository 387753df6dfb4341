// Tests what becomes of requests that arrive before a gateway knows the
// configuration and the replicas, as after a kill of all gateways in a burst.
#include "coordination/admission/startup_hold.h"

#include <gtest/gtest.h>

#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

constexpr DurationUs kMs = kMillisecond;

// A gateway whose process has just started, beside the one of the rig.
struct StartingRig : GatewayRig {
  ExchangeId CallFresh(const std::string& route, DurationUs deadline) {
    const ExchangeId id = 1000 + ++last_exchange;
    ClientRequest call;
    call.id = "c" + std::to_string(id);
    call.method = "POST";
    call.host = "h.example";
    call.target = "/" + route + "/x";
    call.key = "k1";
    call.deadline = deadline;
    fresh.OnCall(id, call);
    return id;
  }
  void PassFresh(DurationUs time) {
    now += time;
    fresh.OnTick();
  }
  void LearnTables() {
    fresh.OnConfig(Config(1));
    fresh.OnConfirmed(now);
  }

  Gateway fresh{{}, this, this, &directory, &random, &metrics, &log};
};

// Guards against a burst of refusals by gateways that start together.
TEST(StartupHoldTest, ServesRequestsOnceTheTablesAreKnown) {
  StartingRig rig;
  rig.AddReplica("app-1", "app");
  const ExchangeId first = rig.CallFresh("plain", 10 * kSecond);
  const ExchangeId second = rig.CallFresh("plain", 10 * kSecond);
  rig.PassFresh(400 * kMs);
  EXPECT_TRUE(rig.sent.empty());
  EXPECT_EQ(rig.fresh.in_progress(), 2U);
  rig.LearnTables();
  rig.PassFresh(10 * kMs);
  EXPECT_EQ(rig.sent.size(), 2U);
  EXPECT_FALSE(rig.refused.contains(first));
  EXPECT_FALSE(rig.refused.contains(second));
}

// Guards against work that outlasts its client: time held counts.
TEST(StartupHoldTest, CountsTheTimeFromTheArrival) {
  StartingRig rig;
  rig.AddReplica("app-1", "app");
  rig.CallFresh("plain", 8 * kSecond);
  rig.PassFresh(500 * kMs);
  rig.LearnTables();
  rig.PassFresh(10 * kMs);
  ASSERT_EQ(rig.sent.size(), 1U);
  EXPECT_LE(rig.sent[0].time_left, 8 * kSecond - 500 * kMs);
}

// Guards against keeping a client from another gateway for too long.
TEST(StartupHoldTest, RefusesAfterAnEighthOfTheDeadline) {
  StartingRig rig;
  const ExchangeId quick = rig.CallFresh("plain", 800 * kMs);
  const ExchangeId slow = rig.CallFresh("plain", 60 * kSecond);
  rig.PassFresh(90 * kMs);
  EXPECT_TRUE(rig.refused.empty());
  rig.PassFresh(20 * kMs);
  ASSERT_TRUE(rig.refused.contains(quick));
  EXPECT_EQ(rig.refused[quick].verdict, Verdict::kNotRun);
  EXPECT_FALSE(rig.refused.contains(slow));
  rig.PassFresh(StartupHold::kMaxHold);
  ASSERT_TRUE(rig.refused.contains(slow));
  EXPECT_EQ(rig.refused[slow].verdict, Verdict::kNotRun);
  EXPECT_EQ(rig.fresh.in_progress(), 0U);
}

// Guards against running a request whose client has left.
TEST(StartupHoldTest, DropsTheRequestOfAClientThatLeft) {
  StartingRig rig;
  rig.AddReplica("app-1", "app");
  const ExchangeId id = rig.CallFresh("plain", 10 * kSecond);
  rig.fresh.OnClientDisconnected(id);
  rig.LearnTables();
  rig.PassFresh(10 * kMs);
  EXPECT_TRUE(rig.sent.empty());
  EXPECT_FALSE(rig.refused.contains(id));
}

// Guards against a drain that leaves held requests without an answer.
TEST(StartupHoldTest, RefusesHeldRequestsWhenTheProcessLeaves) {
  StartingRig rig;
  const ExchangeId id = rig.CallFresh("plain", 10 * kSecond);
  rig.fresh.RefuseAll();
  ASSERT_TRUE(rig.refused.contains(id));
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
}

// Guards against growth without limit while the store is away.
TEST(StartupHoldTest, HoldsNoMoreThanItsMemoryLimits) {
  StartupHold hold;
  ClientRequest call;
  call.deadline = 10 * kSecond;
  call.body = std::string(StartupHold::kMaxBodyBytes / 2, 'x');
  ClientRequest copy = call;
  EXPECT_TRUE(hold.Add(0, 1, &copy));
  copy = call;
  EXPECT_TRUE(hold.Add(0, 2, &copy));
  copy = call;
  EXPECT_FALSE(hold.Add(0, 3, &copy));
  EXPECT_TRUE(hold.Remove(1));
  EXPECT_TRUE(hold.Add(0, 3, &copy));
  call.body = {};
  for (ExchangeId id = 4; hold.size() < StartupHold::kMaxRequests; ++id) {
    copy = call;
    ASSERT_TRUE(hold.Add(0, id, &copy));
  }
  EXPECT_FALSE(hold.Add(0, 9999, &call));
}

}  // namespace
}  // namespace acaciachute
