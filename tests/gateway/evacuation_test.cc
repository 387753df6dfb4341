// Tests of the evacuation of failure domains: where work goes during an
// evacuation, and what clients receive when no replica is left.
#include "coordination/gateway/evacuations.h"

#include <gtest/gtest.h>

#include <set>

#include "address_text.h"
#include "coordination/stages/piece_batcher.h"
#include "platform/rows.h"
#include "tests/gateway/gateway_rig.h"
#include "text.h"

#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

struct EvacuationRig : GatewayRig {
  Evacuations evacuations{&directory, &metrics, &log};

  void Evacuate(const std::string& domain, std::uint64_t version) {
    if (evacuations.OnOrder({domain, version})) {
      core.OnEvacuated();
    }
  }
  void EndEvacuation(const std::string& domain, std::uint64_t version) {
    evacuations.OnEvacuationEnded(now, {domain, version});
  }
};

// One of two failure domains is evacuated and put back into use while plain
// requests and streams arrive. New requests go to the other domain meanwhile;
// requests in progress finish in the evacuated one.
TEST(EvacuationTest, SendsNothingNewToAnEmptiedDomain) {
  EvacuationRig rig;
  for (const char* it : {"app", "engine"}) {
    rig.AddReplica(StrCat(it, "-a"), it, "a");
    rig.AddReplica(StrCat(it, "-b"), it, "b");
  }
  EXPECT_EQ(rig.ReplicasUsed("plain", 20).size(), 2U);
  std::optional<CallId> begun;
  for (const auto& it : rig.sent) {
    if (it.replica.name == "app-a") {
      begun = it.call;
    }
  }
  ASSERT_TRUE(begun);
  rig.Evacuate("a", 5);
  EXPECT_EQ(rig.ReplicasUsed("plain", 20), (std::set<std::string>{"app-b"}));
  EXPECT_EQ(rig.ReplicasUsed("stream", 20),
            (std::set<std::string>{"engine-b"}));
  EXPECT_TRUE(rig.cancelled.empty());
  const auto answered = rig.answered.size();
  rig.AnswerWith(*begun, GatewayRig::Head(), "body");
  EXPECT_EQ(rig.answered.size(), answered + 1);
  rig.EndEvacuation("a", 6);
  EXPECT_EQ(rig.ReplicasUsed("plain", 40).size(), 2U);
}

// The retry of a request whose first replica failed avoids a failure domain
// that was evacuated between the two attempts.
TEST(EvacuationTest, RepeatsGoElsewhereToo) {
  EvacuationRig rig;
  rig.AddReplica("r1", "app", "a");
  const ExchangeId id = rig.Call("repeat");
  rig.AddReplica("r2", "app", "b");
  rig.AddReplica("r3", "app", "c");
  rig.Evacuate("b", 5);
  rig.AnswerWith(rig.sent[0].call, GatewayRig::Head(500), "failed");
  ASSERT_EQ(rig.sent.size(), 2U);
  EXPECT_EQ(rig.sent[1].replica, ReplicaId("r3"));
  rig.AnswerWith(rig.sent[1].call, GatewayRig::Head(), "good");
  EXPECT_EQ(rig.answered[id].second, "good");
}

// All failure domains are evacuated. New requests are refused at once, with the
// verdict that they did not run and a Retry-After, and so are requests whose
// stages are in progress; a request that is already at a replica is answered.
TEST(EvacuationTest, RefusesAtOnceWhenAllAreEmptied) {
  EvacuationRig rig;
  rig.AddReplica("e1", "engine", "a");
  rig.AddReplica("e2", "engine", "b");
  rig.AddReplica("m1", "maker", "a");
  rig.AddReplica("m2", "maker", "b");
  const ExchangeId staged = rig.Call("staged", "k1", {1, 1});
  ASSERT_EQ(rig.tasks.size(), 1U);
  const ExchangeId running = rig.Call("stream");
  ASSERT_EQ(rig.sent.size(), 1U);
  rig.Evacuate("a", 5);
  EXPECT_TRUE(rig.refused.empty());
  rig.Evacuate("b", 6);
  ASSERT_TRUE(rig.refused.contains(staged));
  EXPECT_FALSE(rig.refused.contains(running));
  const ExchangeId late = rig.Call("staged", "k1", {1, 1});
  for (const ExchangeId it : {staged, late}) {
    EXPECT_EQ(rig.refused[it].verdict, Verdict::kNotRun);
    EXPECT_EQ(Info(rig.refused[it].reason).http_status, 503);
    EXPECT_GT(rig.refused[it].retry_after, 0);
  }
  EXPECT_EQ(rig.tasks.size(), 1U);
  rig.core.OnReplicaHead(rig.sent[0].call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent[0].call, "id: 1\ndata: x\n\n");
  rig.core.OnReplicaEnd(rig.sent[0].call, AnswerEnd::kLength);
  EXPECT_EQ(rig.ended, std::vector<ExchangeId>{running});
}

// A replica that is added to an evacuated failure domain gets no requests.
// Evacuating an unknown failure domain has no effect until replicas are added
// there.
TEST(EvacuationTest, HoldsForReplicasThatComeLater) {
  EvacuationRig rig;
  rig.AddReplica("r1", "app", "a");
  rig.Evacuate("nowhere", 4);
  EXPECT_EQ(rig.directory.Of("app").size(), 1U);
  rig.AddReplica("r2", "app", "nowhere");
  EXPECT_EQ(rig.directory.Of("app").size(), 1U);
  rig.EndEvacuation("nowhere", 5);
  EXPECT_EQ(rig.directory.Of("app").size(), 2U);
}

// An older row, received late from another gateway, neither evacuates a failure
// domain again nor ends a newer evacuation.
TEST(EvacuationTest, OlderRowsChangeNothing) {
  EvacuationRig rig;
  rig.AddReplica("r1", "app", "a");
  rig.Evacuate("a", 5);
  rig.Evacuate("a", 7);  // A newer version of the same order.
  EXPECT_TRUE(rig.directory.Of("app").empty());
  rig.EndEvacuation("a", 6);
  EXPECT_TRUE(rig.directory.Of("app").empty());
  rig.EndEvacuation("a", 8);
  EXPECT_EQ(rig.directory.Of("app").size(), 1U);
  rig.Evacuate("a", 7);
  EXPECT_EQ(rig.directory.Of("app").size(), 1U);
  EXPECT_TRUE(rig.log.Saw("evacuation_passed_over"));
}

// The store has lost its history of changes, in which one evacuation ended and
// another one began. Reading the complete table applies both.
TEST(EvacuationTest, FollowsAWholeTable) {
  EvacuationRig rig;
  rig.AddReplica("r1", "app", "a");
  rig.AddReplica("r2", "app", "b");
  rig.Evacuate("a", 5);
  EXPECT_TRUE(rig.evacuations.OnTable(rig.now, {{"b", 8}}, 9));
  ASSERT_EQ(rig.directory.Of("app").size(), 1U);
  EXPECT_EQ(rig.directory.Of("app")[0]->id, ReplicaId("r1"));
  EXPECT_FALSE(rig.evacuations.OnTable(rig.now, {{"b", 8}}, 10));
}

// A row whose key does not name a failure domain is rejected. The value of a
// row has no meaning, whatever bytes it holds.
TEST(EvacuationTest, ReadsKeys) {
  using platform::ParseEvacuation;
  EXPECT_EQ(ParseEvacuation("evacuate/hall-a")->value(), "hall-a");
  EXPECT_FALSE(ParseEvacuation("config")->has_value());
  EXPECT_FALSE(ParseEvacuation("evacuate")->has_value());
  EXPECT_FALSE(ParseEvacuation("evacuate/").ok());
}

struct PieceOutput : PieceBatcherOutput {
  void StartCall(const PieceCall& call) override { calls.push_back(call); }
  void OnPiece(const PieceResult& result) override {
    results.push_back(result);
  }
  void ReleaseAt(const Address& replica,
                 const std::vector<std::string>&) override {
    freed.push_back(replica.ip);
  }
  void OnInputsRead(const std::vector<std::string>&) override {}
  bool ShortOfMemory(const std::vector<std::string>&) override { return false; }
  std::vector<PieceCall> calls;
  std::vector<PieceResult> results;
  std::vector<std::string> freed;
};

// Pieces wait for the only replica of their preferred failure domain when it is
// evacuated. They are sent to the replica in the other domain at once, although
// their time limit for waiting near their inputs has not passed. The call in
// progress in the evacuated domain finishes there and its result is used, but
// the evacuated replica gets no request to release the result.
TEST(EvacuationTest, QueuedPiecesMoveAtOnce) {
  EvacuationRig rig;
  rig.directory.Remove(rig.now, "maker-0");
  rig.AddReplica("m1", "maker", "a");
  PieceOutput output;
  Metrics metrics;
  QuietLog quiet_log;
  ServiceRetryBudget budget{"maker", &metrics, &quiet_log};
  PieceBatcher batcher(&rig.directory, &budget, &output);
  batcher.SetService("maker",
                     *GatewayRig::Config(1)->FindService("maker")->batching);
  const auto make_task = [](const std::string& request) {
    PieceTask out;
    out.key = {request, 0, 0};
    out.service = "maker";
    out.near_domain = "a";
    out.time_left = 10 * kSecond;
    out.time_to_begin = kSecond;
    out.result_bytes = 1000;
    return out;
  };
  TimeUs now = rig.now;
  batcher.Add(now, make_task("first"));
  batcher.Dispatch(now);
  ASSERT_EQ(output.calls.size(), 1U);
  rig.AddReplica("m2", "maker", "b");
  batcher.Add(now, make_task("second"));
  batcher.Dispatch(now);
  EXPECT_EQ(output.calls.size(), 1U);
  rig.Evacuate("a", 5);
  batcher.OnTick(now += 10 * kMillisecond);
  ASSERT_EQ(output.calls.size(), 2U);
  EXPECT_EQ(output.calls[1].replica, ReplicaId("m2"));
  const std::string handle = AddressText(output.calls[0].address) + "/h";
  batcher.OnCallEnd(now, output.calls[0].id,
                    {PieceCallEnd::Kind::kAnswered,
                     "",
                     {{{"first", 0, 0}, PieceOutcome::kMade, handle}}});
  ASSERT_EQ(output.results.size(), 1U);
  EXPECT_EQ(output.results[0].handle, handle);
  batcher.ReleaseResults({handle});
  batcher.OnTick(now += 10 * kMillisecond);
  EXPECT_TRUE(output.freed.empty());
}

}  // namespace
}  // namespace acaciachute
