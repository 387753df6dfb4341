// Requests of a `Gateway` that give way when memory is short: what their
// clients are told is true.
#include <gtest/gtest.h>

#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

ExchangeId SendBody(GatewayRig* rig, const std::string& route) {
  ClientRequest call;
  call.body = std::string(100'000, 'b');
  return rig->Send(route, "k1", std::move(call));
}

// Guards against a request that was sent and is refused as "not run": only the
// body that was kept for a further attempt is freed, and the answer comes.
TEST(GatewayMemoryTest, ARequestThatWasSentIsStillAnswered) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const ExchangeId id = SendBody(&rig, "repeat");
  EXPECT_EQ(rig.core.OnMemoryShort(id), GaveWay::kBodyReleased);
  EXPECT_EQ(rig.core.OnMemoryShort(id), GaveWay::kNothing);
  EXPECT_TRUE(rig.refused.empty());
  rig.AnswerWith(rig.sent[0].call, GatewayRig::Head(), "good");
  EXPECT_EQ(rig.answered[id].second, "good");
}

// Guards against a further attempt with an empty body.
TEST(GatewayMemoryTest, WithoutItsBodyARequestIsNotSentAgain) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  rig.AddReplica("r2", "app");
  const ExchangeId lost = SendBody(&rig, "repeat");
  rig.core.OnMemoryShort(lost);
  rig.core.OnReplicaFailed(rig.sent[0].call, true, "broken");
  EXPECT_EQ(rig.refused[lost].verdict, Verdict::kMayHaveRun);
  const ExchangeId not_run = SendBody(&rig, "repeat");
  rig.core.OnMemoryShort(not_run);
  rig.AnswerWith(rig.sent[1].call, GatewayRig::NotRun());
  EXPECT_EQ(rig.refused[not_run].verdict, Verdict::kNotRun);
  EXPECT_GT(rig.refused[not_run].retry_after, 0);
  EXPECT_EQ(rig.sent.size(), 2U);
}

// Guards against requests that wait here with their bodies: they have not run,
// and are told so.
TEST(GatewayMemoryTest, ARequestThatWaitsIsRefusedAsNotRun) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  ClientRequest call;
  call.body = std::string(100'000, 'b');
  call.pieces = {1, 1};
  const ExchangeId id = rig.Send("staged", "k1", std::move(call));
  ASSERT_TRUE(rig.sent.empty());
  EXPECT_EQ(rig.core.OnMemoryShort(id), GaveWay::kRequestRefused);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
  EXPECT_EQ(Info(rig.refused[id].reason).http_status, 503);
  EXPECT_GT(rig.refused[id].retry_after, 0);
  EXPECT_EQ(rig.core.in_progress(), 0U);
}

// Guards against answers that are collected and counted nowhere, and against
// "not run" for a request whose answer had begun.
TEST(GatewayMemoryTest, ACollectedAnswerCountsAndIsBrokenOffTruthfully) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const ExchangeId id = SendBody(&rig, "plain");
  rig.core.OnReplicaHead(rig.sent[0].call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent[0].call, "part");
  EXPECT_EQ(rig.collected[id], 4U);
  EXPECT_EQ(rig.core.OnMemoryShort(id), GaveWay::kBodyReleased);
  EXPECT_EQ(rig.core.OnMemoryShort(id), GaveWay::kRequestRefused);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(rig.collected[id], 0U);
}

}  // namespace
}  // namespace acaciachute
