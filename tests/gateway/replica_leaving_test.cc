// Tests that gateways send nothing to a replica after one of its answers has
// stated that it leaves.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/requests.h"
#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

struct LeavingRig : GatewayRig {
  // The head of an answer with this field by which a replica says that it
  // leaves.
  static ReplicaHead HeadWith(const std::string& value, int status = 200) {
    HttpAnswerHead head;
    head.status = status;
    head.fields = {{"Replica-Seal", "x"}, {"Server-Leaving", value}};
    return platform::ReadReplicaHead(head);
  }
  // Answers a request whose replica states that it leaves.
  ReplicaId AnswerLeaving(const std::string& route) {
    Call(route);
    const Sent it = sent.back();
    core.OnReplicaHead(it.call, HeadWith("1"));
    core.OnReplicaBody(it.call, "id: 1\ndata: x\n\n");
    core.OnReplicaEnd(it.call, AnswerEnd::kLength);
    return it.replica;
  }
  // Number of replicas that further requests are sent to; fails if `leaving` is
  // one of them.
  std::size_t OthersUsed(const ReplicaId& leaving, const std::string& route) {
    constexpr int kCalls = 30;
    const std::set<std::string> used = ReplicasUsed(route, kCalls);
    EXPECT_FALSE(used.contains(leaving.name));
    return used.size();
  }
  // Lets time pass in which the configuration stays confirmed.
  void Wait(DurationUs time) {
    Pass(time);
    core.OnConfirmed(now);
  }
};

// Guards against requests to a replica that has said that it leaves while the
// store, and so its row, was out of reach: during the outage, after its row
// vanished and the entry is kept, and after an older row came back.
TEST(ReplicaLeavingTest, NothingIsSentAfterAnAnswerSaysSo) {
  for (const char* route : {"plain", "repeat", "stream", "resume"}) {
    SCOPED_TRACE(route);
    LeavingRig rig;
    const bool plain = route[0] == 'p' || std::string(route) == "repeat";
    const std::string service = plain ? "app" : "engine";
    for (const char* it : {"r1", "r2", "r3"}) {
      rig.AddReplica(it, service);
    }
    rig.directory.OnStoreLost(rig.now);
    const ReplicaId leaves = rig.AnswerLeaving(route);
    EXPECT_EQ(rig.OthersUsed(leaves, route), 2U);
    rig.Wait(10 * kSecond);
    rig.directory.OnStoreRecovered(rig.now);
    rig.directory.Remove(rig.now, leaves.name);
    EXPECT_EQ(rig.OthersUsed(leaves, route), 2U);
    rig.AddReplica(leaves, service);
    EXPECT_EQ(rig.OthersUsed(leaves, route), 2U);
    rig.Wait(30 * kSecond);
    EXPECT_EQ(rig.OthersUsed(leaves, route), 2U);
  }
}

// Guards against acting on answers that do not state it: of another replica,
// which now has the address, or with a value that is not defined.
TEST(ReplicaLeavingTest, OtherAnswersChangeNothing) {
  LeavingRig rig;
  rig.AddReplica("r1", "app");
  for (const char* value : {"0", "", "2", "true", "1, 1"}) {
    SCOPED_TRACE(value);
    rig.Call("plain");
    rig.AnswerWith(rig.sent.back().call, LeavingRig::HeadWith(value), "b");
    EXPECT_TRUE(rig.directory.TakesWork("r1"));
    EXPECT_TRUE(rig.log.Saw("statement_unreadable"));
  }
  constexpr int kMisdirected = 421;
  rig.Call("plain");
  rig.AnswerWith(rig.sent.back().call, LeavingRig::HeadWith("1", kMisdirected));
  EXPECT_TRUE(rig.directory.TakesWork("r1"));
}

// Guards against statements that are heard in successes only: a refusal, an
// error, an answer without proof, and one that names the field twice count.
TEST(ReplicaLeavingTest, EachKindOfAnswerCounts) {
  const std::vector<std::pair<int, HttpFields>> answers = {
      {503, {{"Not-Executed", "1"}, {"server-leaving", "1"}}},
      {429, {{"Not-Executed", "1"}, {"Server-Leaving", " 1 "}}},
      {500, {{"Replica-Seal", "x"}, {"Server-Leaving", "1"}}},
      {200, {{"Server-Leaving", "1"}}},
      {200, {{"Server-Leaving", "no"}, {"Server-Leaving", "1"}}},
  };
  for (const auto& [status, fields] : answers) {
    LeavingRig rig;
    rig.AddReplica("r1", "app");
    rig.Call("plain");
    HttpAnswerHead head;
    head.status = status;
    head.fields = fields;
    rig.core.OnReplicaHead(rig.sent[0].call, platform::ReadReplicaHead(head));
    EXPECT_FALSE(rig.directory.TakesWork("r1")) << status;
  }
}

// Guards against a stream that is learned from only when it ends, seconds
// later, and against one that is cut because its replica leaves.
TEST(ReplicaLeavingTest, AStreamCountsFromItsHeadAndGoesOn) {
  LeavingRig rig;
  rig.AddReplica("r1", "engine");
  rig.AddReplica("r2", "engine");
  const ExchangeId id = rig.Call("stream");
  const auto stream = rig.sent[0];
  rig.core.OnReplicaHead(stream.call, LeavingRig::HeadWith("1"));
  EXPECT_EQ(rig.OthersUsed(stream.replica, "stream"), 1U);
  rig.core.OnReplicaBody(stream.call, "id: 1\ndata: x\n\n");
  rig.directory.Remove(rig.now, stream.replica.name);
  rig.core.OnReplicaBody(stream.call, "id: 2\ndata: y\n\n");
  rig.core.OnReplicaEnd(stream.call, AnswerEnd::kLength);
  EXPECT_TRUE(rig.cancelled.empty());
  EXPECT_EQ(rig.ended, std::vector<ExchangeId>{id});
}

// Guards against a connection that is established after the statement and then
// carries a request that was chosen for the replica before. No byte of it was
// sent, so requests that must run once move, too.
TEST(ReplicaLeavingTest, RequestsThatStillConnectGoElsewhere) {
  for (const char* route : {"plain", "stream"}) {
    LeavingRig rig;
    const std::string service = route[0] == 'p' ? "app" : "engine";
    rig.AddReplica("r1", service);
    const ExchangeId connects = rig.Call(route);
    rig.Call(route);
    rig.AddReplica("r2", service);
    rig.connecting.insert(rig.sent[0].call);
    rig.core.OnReplicaHead(rig.sent[1].call, LeavingRig::HeadWith("1"));
    EXPECT_EQ(rig.cancelled, std::vector<CallId>{rig.sent[0].call});
    ASSERT_EQ(rig.sent.size(), 3U);
    EXPECT_EQ(rig.sent[2].replica, ReplicaId("r2"));
    rig.AnswerWith(rig.sent[2].call, GatewayRig::Head(), "id: 1\ndata: x\n\n");
    EXPECT_EQ(rig.answered.count(connects) + rig.streams.count(connects), 1U);
  }
}

// Guards against second tries at a replica that has said that it leaves: after
// an error, after a refusal, and a stream that is resumed.
TEST(ReplicaLeavingTest, RepeatsAndResumedStreamsGoElsewhere) {
  const ReplicaHead refusal = [] {
    ReplicaHead head = GatewayRig::NotRun();
    head.statement.leaving = true;
    return head;
  }();
  LeavingRig rig;
  rig.AddReplica("r1", "app");
  rig.AddReplica("e1", "engine");
  for (int n = 0; n < 3; ++n) {
    rig.Call("repeat");
    rig.Call("resume");
  }
  rig.AddReplica("r2", "app");
  rig.AddReplica("e2", "engine");
  const auto first = rig.sent;
  rig.core.OnReplicaHead(first[1].call, LeavingRig::HeadWith("1"));
  rig.core.OnReplicaBody(first[1].call, "id: 1\ndata: x\n\n");
  rig.core.OnReplicaFailed(first[1].call, true, "broken");
  rig.core.OnReplicaFailed(first[3].call, true, "broken");
  rig.AnswerWith(first[0].call, LeavingRig::HeadWith("1", 500), "failed");
  rig.core.OnReplicaFailed(first[2].call, true, "broken");
  rig.AnswerWith(first[4].call, refusal);
  ASSERT_EQ(rig.sent.size(), 11U);
  for (std::size_t n = 6; n < rig.sent.size(); ++n) {
    EXPECT_EQ(rig.sent[n].replica.name[1], '2');
  }
  EXPECT_EQ(rig.sent[6].resume_after, 1U);
}

// Guards against a request that waits for its turn at a cold replica and is
// sent there although the replica has said meanwhile that it leaves.
TEST(ReplicaLeavingTest, RequestsThatWaitForATurnGoElsewhere) {
  LeavingRig rig;
  rig.AddReplica("e1", "engine", "a", rig.now + 60 * kSecond);
  for (int n = 0; n < 8; ++n) {
    rig.Call("stream");
  }
  const std::size_t at_once = rig.sent.size();
  ASSERT_LT(at_once, 8U);
  rig.AddReplica("e2", "engine");
  rig.core.OnReplicaHead(rig.sent[0].call, LeavingRig::HeadWith("1"));
  for (int n = 0; n < 20; ++n) {
    rig.Pass(100 * kMillisecond);
  }
  ASSERT_EQ(rig.sent.size(), 8U);
  for (std::size_t n = at_once; n < rig.sent.size(); ++n) {
    EXPECT_EQ(rig.sent[n].replica, ReplicaId("e2"));
  }
}

// Guards against a request that is sent to a leaving replica because there is
// no other, or held until its client gives up. What waits and what comes are
// refused at once, truthfully.
TEST(ReplicaLeavingTest, RefusesAtOnceWhenTheLastReplicaLeaves) {
  LeavingRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId staged = rig.Call("staged", "k1", {1, 1});
  const ExchangeId running = rig.Call("stream");
  rig.core.OnReplicaHead(rig.sent[0].call, LeavingRig::HeadWith("1"));
  const ExchangeId late = rig.Call("stream");
  for (const ExchangeId it : {staged, late}) {
    ASSERT_TRUE(rig.refused.contains(it));
    EXPECT_EQ(rig.refused[it].verdict, Verdict::kNotRun);
    EXPECT_EQ(rig.refused[it].reason, Refusal::kNoReplica);
    EXPECT_GT(rig.refused[it].retry_after, 0);
  }
  EXPECT_FALSE(rig.refused.contains(running));
  rig.AddReplica("e2", "engine");
  rig.Call("stream");
  EXPECT_EQ(rig.sent.back().replica, ReplicaId("e2"));
}

// Guards against a new incarnation that inherits the statement of the one
// before, under its name or at its address, and against an old row or a late
// answer of the former that speaks for the latter.
TEST(ReplicaLeavingTest, HoldsForOneIncarnation) {
  LeavingRig rig;
  rig.AddReplica(ReplicaId("r", 5), "app");
  rig.Call("plain");
  rig.Call("plain");
  rig.AnswerWith(rig.sent[0].call, LeavingRig::HeadWith("1"), "b");
  EXPECT_FALSE(rig.directory.TakesWork(ReplicaId("r", 5)));
  rig.AddReplica(ReplicaId("r", 6), "app");
  EXPECT_TRUE(rig.directory.TakesWork(ReplicaId("r", 6)));
  rig.core.OnStatement(ReplicaId("r", 5), LeavingRig::HeadWith("1").statement);
  rig.core.OnPeerStatement(ReplicaLeavingStatement{"r", 5, kSecond});
  rig.AddReplica(ReplicaId("r", 5), "app");
  EXPECT_TRUE(rig.directory.TakesWork(ReplicaId("r", 6)));
  rig.core.OnPeerStatement(ReplicaLeavingStatement{"r", 6, kSecond});
  EXPECT_FALSE(rig.directory.TakesWork(ReplicaId("r", 6)));
}

// Guards against gateways that a leaving replica has not answered, or that
// restarted since, and that send it requests until the store lists it so.
TEST(ReplicaLeavingTest, GatewaysTellOneAnother) {
  LeavingRig told;
  LeavingRig other;
  for (LeavingRig* it : {&told, &other}) {
    it->AddReplica("r1", "app");
  }
  EXPECT_TRUE(told.core.leaving_statements().Latest(told.now).empty());
  told.AnswerLeaving("plain");
  told.directory.Remove(told.now, "r1");
  const auto latest =
      told.core.leaving_statements().Latest(told.now + 10 * kSecond);
  ASSERT_EQ(latest.size(), 1U);
  EXPECT_EQ(latest[0].age, 10 * kSecond);
  other.core.OnPeerStatement(latest[0]);
  EXPECT_FALSE(other.directory.TakesWork("r1"));
  // It is not told as its own: it would go round for ever.
  EXPECT_TRUE(other.core.leaving_statements().Latest(other.now).empty());
  // One that starts reads the list later than it hears of it.
  LeavingRig starts;
  starts.core.OnPeerStatement(latest[0]);
  starts.AddReplica("r1", "app");
  EXPECT_FALSE(starts.directory.TakesWork("r1"));
  EXPECT_TRUE(told.core.leaving_statements()
                  .Latest(told.now + LeavingStatements::kMaxAge + kSecond)
                  .empty());
}

// A heartbeat has to fit into a datagram however many replicas leave.
TEST(ReplicaLeavingTest, AHeartbeatNamesTheLatestOnly) {
  LeavingStatements statements;
  for (int n = 0; n < 100; ++n) {
    statements.OnAnswer(n, "r" + std::to_string(n));
  }
  const auto latest = statements.Latest(100);
  ASSERT_EQ(latest.size(), LeavingStatements::kMaxPerHeartbeat);
  EXPECT_EQ(latest.back().replica, "r99");
}

}  // namespace
}  // namespace acaciachute
