// What clients hear, and what replicas are sent, when things fail.
#include <gtest/gtest.h>

#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

TEST(GatewayTest, PassesAWholeAnswerOn) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const ExchangeId id = rig.Call("plain");
  ASSERT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.sent[0].account, "acme");
  EXPECT_LT(rig.sent[0].time_left, 10 * kSecond);
  rig.AnswerWith(rig.sent[0].call, GatewayRig::Head(), "body");
  EXPECT_EQ(rig.answered[id], (std::pair<int, std::string>(200, "body")));
  EXPECT_EQ(rig.core.in_progress(), 0U);
}

// The client of a request that must run once gets 502. Its replica's connection
// broke after the request was sent, so the request may have run, and sending it
// elsewhere could run it twice.
TEST(GatewayTest, NeverSendsANonIdempotentRequestAgainAfterABreak) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  rig.AddReplica("r2", "app");
  const ExchangeId id = rig.Call("plain");
  rig.core.OnReplicaFailed(rig.sent[0].call, true, "broken");
  EXPECT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(Info(rig.refused[id].reason).http_status, 502);
}

// The client gets its answer although the first replica could not be reached:
// no byte of the request left, so another one may run it.
TEST(GatewayTest, SendsElsewhereWhenNoByteLeft) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  rig.AddReplica("r2", "app");
  const ExchangeId id = rig.Call("plain");
  rig.core.OnReplicaFailed(rig.sent[0].call, false, "no connection");
  ASSERT_EQ(rig.sent.size(), 2U);
  EXPECT_NE(rig.sent[0].replica, rig.sent[1].replica);
  rig.AnswerWith(rig.sent[1].call, GatewayRig::Head(), "b");
  EXPECT_EQ(rig.answered[id].first, 200);
}

// The client gets its answer although the first replica was full: the replica
// itself says that it did not run the request.
TEST(GatewayTest, SendsElsewhereAfterTheReplicasOwnWord) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  rig.AddReplica("r2", "app");
  const ExchangeId id = rig.Call("plain");
  rig.AnswerWith(rig.sent[0].call, GatewayRig::NotRun());
  ASSERT_EQ(rig.sent.size(), 2U);
  rig.AnswerWith(rig.sent[1].call, GatewayRig::NotRun());
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
  EXPECT_EQ(Info(rig.refused[id].reason).http_status, 503);
  EXPECT_GT(rig.refused[id].retry_after, 0);
}

// The client of a request that may be repeated gets the second replica's answer
// after the first one failed it.
TEST(GatewayTest, RepeatsAnIdempotentRequestThatItsReplicaFailed) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  rig.AddReplica("r2", "app");
  const ExchangeId id = rig.Call("repeat");
  rig.AnswerWith(rig.sent[0].call, GatewayRig::Head(500), "failed");
  ASSERT_EQ(rig.sent.size(), 2U);
  rig.AnswerWith(rig.sent[1].call, GatewayRig::Head(), "good");
  EXPECT_EQ(rig.answered[id].second, "good");
}

// The client gets the second replica's own failure, not a third run: the route
// allows two.
TEST(GatewayTest, KeepsToTheRoutesAttempts) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  rig.AddReplica("r2", "app");
  rig.AddReplica("r3", "app");
  const ExchangeId id = rig.Call("repeat");
  rig.AnswerWith(rig.sent[0].call, GatewayRig::Head(500), "failed");
  rig.AnswerWith(rig.sent[1].call, GatewayRig::Head(500), "again");
  EXPECT_EQ(rig.sent.size(), 2U);
  EXPECT_EQ(rig.answered[id].first, 500);
}

// The client gets 502 instead of bytes that some cache or proxy made up: a
// success counts only with the replica's proof, and only in its own coding.
TEST(GatewayTest, TakesNoSuccessWithoutProofOrInAnotherCoding) {
  for (const bool sealed : {false, true}) {
    GatewayRig rig;
    rig.AddReplica("r1", "app");
    const ExchangeId id = rig.Call("plain");
    ReplicaHead head = GatewayRig::Head();
    head.sealed = sealed;
    head.encoded = sealed;
    rig.AnswerWith(rig.sent[0].call, head, "bytes");
    EXPECT_EQ(rig.answered.count(id), 0U);
    EXPECT_EQ(rig.refused[id].verdict, Verdict::kMayHaveRun);
  }
}

// A process that has just started refuses with 503. It must not say 404 or 401
// before it knows any configuration: the route and the key may be there.
TEST(GatewayTest, RefusesWithoutAConfiguration) {
  struct Bare : GatewayRig {
    Gateway fresh{{}, this, this, &directory, &random, &metrics, &log};
  } rig;
  ClientRequest call;
  call.id = "x";
  call.host = "h.example";
  call.target = "/none/";
  rig.fresh.OnCall(90, call);
  EXPECT_EQ(Info(rig.refused[90].reason).http_status, 503);
  EXPECT_FALSE(rig.fresh.can_check_keys());
}

TEST(GatewayTest, KnowsRoutesAndKeys) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  EXPECT_EQ(Info(rig.refused[rig.Call("none")].reason).http_status, 404);
  EXPECT_EQ(Info(rig.refused[rig.Call("plain", "bad")].reason).http_status,
            401);
  rig.Call("open", "bad");
  ASSERT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.sent[0].account, "");
}

// Clients with keys are refused as not run while this process cannot show that
// its configuration is current: a key may have been taken away meanwhile. Those
// of anonymous routes are served.
TEST(GatewayTest, UsesNoKeyUnderAnOldConfiguration) {
  GatewayOptions options;
  options.key_age = 4 * kSecond;
  GatewayRig rig(options);
  rig.AddReplica("r1", "app");
  rig.Pass(5 * kSecond);
  const ExchangeId id = rig.Call("plain");
  EXPECT_EQ(rig.refused[id].reason, Refusal::kNotCurrent);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
  rig.Call("open");
  EXPECT_EQ(rig.sent.size(), 1U);
  rig.core.OnConfirmed(rig.now - kSecond);
  rig.Call("plain");
  EXPECT_EQ(rig.sent.size(), 2U);
}

// What the caller sees: 503 from a host that is cut from the store, and 200 a
// moment later from another. While no entry can check keys it is sent away for
// long, as far as clients honour, because its tries are few.
TEST(GatewayTest, SendsClientsWhereKeysCanBeChecked) {
  GatewayRig rig;
  rig.Pass(10 * kSecond);
  rig.core.SetPeerCanCheckKeys(true);
  const ExchangeId cut = rig.Call("plain");
  EXPECT_EQ(rig.refused[cut].reason, Refusal::kNotCurrent);
  EXPECT_LE(rig.refused[cut].retry_after, 50 * kMillisecond);
  EXPECT_GT(rig.refused[cut].retry_after, 0);
  rig.core.SetPeerCanCheckKeys(false);
  const ExchangeId outage = rig.Call("plain");  // It gives ten seconds.
  EXPECT_GE(rig.refused[outage].retry_after, 10 * kSecond / 6);
  EXPECT_LE(rig.refused[outage].retry_after, 10 * kSecond / 3);
}

// Load: replicas that take 50 connections of all callers. Few gateways keep
// several idle ones each; of 103 none does, or the replicas would reset those
// of requests that must run once.
TEST(GatewayTest, SharesTheConnectionsThatReplicasTake) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  rig.core.SetGatewayCount(5);
  rig.Call("plain");
  EXPECT_EQ(rig.sent.back().most_idle_connections, 7U);
  rig.core.SetGatewayCount(103);
  rig.Call("plain");
  EXPECT_EQ(rig.sent.back().most_idle_connections, 0U);
}

// Clients see no version of the configuration after a later one, whatever a
// stale read brings.
TEST(GatewayTest, NeverGoesBackToAnOlderConfiguration) {
  GatewayRig rig;
  auto newer = GatewayRig::Config(5);
  Route route;
  route.name = "new";
  route.host = "h.example";
  route.prefix = "/new/";
  route.timeout = kSecond;
  route.split = {{"app", 1}};
  newer->AddRoute(route);
  rig.AddReplica("r1", "app");
  rig.core.OnConfig(newer);
  rig.Configure(4);
  rig.Call("new");
  EXPECT_EQ(rig.sent.size(), 1U);
}

// The client gets 504 when its time is over at a replica, and the replica's
// work is ended.
TEST(GatewayTest, AnswersWhenTheTimeIsOver) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const ExchangeId id = rig.Call("plain");
  rig.Pass(10 * kSecond);
  EXPECT_EQ(Info(rig.refused[id].reason).http_status, 504);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(rig.cancelled, std::vector<CallId>{rig.sent[0].call});
}

// A client that hangs up ends its request's work at the replica at once.
TEST(GatewayTest, EndsTheWorkOfAClientThatLeft) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const ExchangeId id = rig.Call("plain");
  rig.core.OnGone(id);
  EXPECT_EQ(rig.cancelled, std::vector<CallId>{rig.sent[0].call});
  EXPECT_EQ(rig.core.in_progress(), 0U);
}

TEST(GatewayStreamTest, PassesWholeEventsOnAsTheyArrive) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("stream");
  const CallId call = rig.sent[0].call;
  rig.core.OnReplicaHead(call, GatewayRig::Head());
  rig.core.OnReplicaBody(call, "id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_EQ(rig.streams[id], "id: 1\ndata: a\n\n");
  rig.core.OnReplicaBody(call, "ta: b\n\n");
  rig.core.OnReplicaEnd(call);
  EXPECT_EQ(rig.streams[id], "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(rig.ended, std::vector<ExchangeId>{id});
}

// The client's connection breaks, so that what it has cannot pass for the whole
// stream: the replica broke off and the route does not allow another run.
TEST(GatewayStreamTest, BreaksAStreamThatCannotGoOn) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.AddReplica("e2", "engine");
  const ExchangeId id = rig.Call("stream");
  rig.core.OnReplicaHead(rig.sent[0].call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent[0].call, "id: 1\ndata: a\n\n");
  rig.core.OnReplicaFailed(rig.sent[0].call, true, "broken");
  EXPECT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.broken, std::vector<ExchangeId>{id});
  EXPECT_TRUE(rig.ended.empty());
}

// The client gets one stream without a gap or a repeat: the first replica broke
// off in the middle of an event, and another one goes on after the last whole
// event.
TEST(GatewayStreamTest, ResumesAfterTheLastWholeEvent) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.AddReplica("e2", "engine");
  const ExchangeId id = rig.Call("resume");
  rig.core.OnReplicaHead(rig.sent[0].call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent[0].call, "id: 1\ndata: a\n\nid: 2\nda");
  rig.core.OnReplicaFailed(rig.sent[0].call, true, "broken");
  ASSERT_EQ(rig.sent.size(), 2U);
  EXPECT_EQ(rig.sent[1].resume_after, 1U);
  rig.AnswerWith(rig.sent[1].call, GatewayRig::Head(), "id: 2\ndata: b\n\n");
  EXPECT_EQ(rig.streams[id], "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(rig.ended, std::vector<ExchangeId>{id});
}

// A client that takes its stream slowly makes the replica wait instead of
// filling this process's memory.
TEST(GatewayStreamTest, StopsReadingForASlowClient) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("stream");
  const CallId call = rig.sent[0].call;
  rig.core.OnReplicaHead(call, GatewayRig::Head());
  rig.unsent = Gateway::kMostUnsent + 1;
  rig.core.OnReplicaBody(call, "id: 1\ndata: a\n\n");
  EXPECT_TRUE(rig.paused[call]);
  rig.core.OnWritten(id);
  EXPECT_FALSE(rig.paused[call]);
}

// A client whose first event does not come leaves after a while that is known;
// nothing is held for it beyond that.
TEST(GatewayStreamTest, GivesUpWhenTheClientWouldLeave) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("stream");
  rig.Pass(4 * kSecond);  // Four times the route's target.
  EXPECT_EQ(rig.refused.count(id), 1U);
}

TEST(GatewayStagesTest, MakesStagesInOrderAndHandsResultsOn) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("staged", "k1", {1, 2});
  ASSERT_EQ(rig.tasks.size(), 1U);
  EXPECT_EQ(rig.tasks[0].source, "source");
  rig.Made(rig.tasks[0], "10.0.0.9:80/a");
  ASSERT_EQ(rig.tasks.size(), 3U);
  EXPECT_EQ(rig.tasks[1].inputs, std::vector<std::string>{"10.0.0.9:80/a"});
  EXPECT_TRUE(rig.sent.empty());
  rig.Made(rig.tasks[1], "10.0.0.9:80/b");
  rig.Made(rig.tasks[2], "10.0.0.9:80/c");
  EXPECT_EQ(rig.freed, std::vector<std::string>{"10.0.0.9:80/a"});
  ASSERT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.sent[0].inputs,
            (std::vector<std::string>{"10.0.0.9:80/b", "10.0.0.9:80/c"}));
  rig.AnswerWith(rig.sent[0].call, GatewayRig::Head(), "id: 1\ndata: a\n\n");
  EXPECT_EQ(rig.ended, std::vector<ExchangeId>{id});
  EXPECT_EQ(rig.freed.size(), 3U);
}

// The client still gets its answer: a result was gone when the model replica
// wanted it, which then did not run, and the stages were made again.
TEST(GatewayStagesTest, MakesStagesAgainWhenAResultIsGone) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.Call("staged", "k1", {1, 0});
  rig.Made(rig.tasks[0], "10.0.0.9:80/a");
  ASSERT_EQ(rig.sent.size(), 1U);
  rig.AnswerWith(rig.sent[0].call, GatewayRig::NotRun(409));
  ASSERT_EQ(rig.tasks.size(), 2U);
  rig.Made(rig.tasks[1], "10.0.0.9:80/b");
  ASSERT_EQ(rig.sent.size(), 2U);
  EXPECT_EQ(rig.sent[1].inputs, std::vector<std::string>{"10.0.0.9:80/b"});
}

// Load: a burst, and requests whose results lapsed while they waited for their
// turn. There is no time to make them again. The client hears it now, not when
// its time is over, and no work is begun for nothing.
TEST(GatewayStagesTest, RefusesAtOnceWhatHasNoTimeToBeginAgain) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("staged", "k1", {1, 0});
  rig.now += 3700 * kMillisecond;
  rig.Made(rig.tasks[0], "10.0.0.9:80/a");
  ASSERT_EQ(rig.sent.size(), 1U);
  rig.AnswerWith(rig.sent[0].call, GatewayRig::NotRun(409));
  EXPECT_EQ(rig.tasks.size(), 1U);
  ASSERT_TRUE(rig.refused.contains(id));
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
}

// A client that leaves in the middle of its stages leaves nothing behind.
TEST(GatewayStagesTest, DropsPiecesAndResultsOfAClientThatLeft) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("staged", "k1", {1, 2});
  rig.Made(rig.tasks[0], "10.0.0.9:80/a");
  rig.core.OnGone(id);
  EXPECT_EQ(rig.dropped, std::vector<std::string>{"c1"});
  EXPECT_EQ(rig.freed, std::vector<std::string>{"10.0.0.9:80/a"});
}

// Load: a burst fills the stages' queues for longer than a client waits. It is
// refused before any work is done for it, and told to come back within a third
// of its time, instead of waiting for nothing.
TEST(GatewayStagesTest, RefusesAtOnceWhatCannotBeMadeInTime) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.wait.in_time.fill(3 * kSecond);
  rig.wait.late = 9 * kSecond;
  const ExchangeId id = rig.Call("staged", "k1", {1, 2});
  EXPECT_TRUE(rig.tasks.empty());
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
  EXPECT_GT(rig.refused[id].retry_after, 0);
  EXPECT_LE(rig.refused[id].retry_after, 10 * kSecond / 3);
}

// Load: the queue of late requests is long, that of requests that can be on
// time is short. A request that can be on time is admitted.
TEST(GatewayStagesTest, AdmitsWhatCanBeOnTime) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.wait.late = 9 * kSecond;
  rig.Call("staged", "k1", {1, 0});
  EXPECT_EQ(rig.tasks.size(), 1U);
}

// Load: a burst fills the stages' queues for a while. A request that cannot be
// on time, but that the time after the burst can serve, waits without any work
// done for it: results made early would hold memory that others need. It is
// begun when the queues are short.
TEST(GatewayStagesTest, ParksWhatTheTimeAfterABurstCanServe) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.wait.in_time.fill(3 * kSecond);
  rig.wait.late = 1600 * kMillisecond;
  const ExchangeId id = rig.Call("staged", "k1", {1, 2});
  rig.Pass(kSecond);
  EXPECT_TRUE(rig.tasks.empty());
  EXPECT_FALSE(rig.refused.contains(id));
  rig.wait = {};
  rig.Pass(200 * kMillisecond);
  EXPECT_EQ(rig.tasks.size(), 1U);
}

// What the client hears when the burst lasts longer: that its request has not
// run, as soon as it is too late to begin it, and not when its time is over.
TEST(GatewayStagesTest, RefusesAParkedRequestOnceItIsTooLateToBegin) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.wait.in_time.fill(3 * kSecond);
  rig.wait.late = 1600 * kMillisecond;
  const ExchangeId id = rig.Call("staged", "k1", {1, 2});
  rig.Pass(3500 * kMillisecond);  // Of four.
  ASSERT_TRUE(rig.refused.contains(id));
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
  rig.wait = {};
  rig.Pass(200 * kMillisecond);
  EXPECT_TRUE(rig.tasks.empty());
}

// A client that leaves takes its parked request with it.
TEST(GatewayStagesTest, ForgetsAParkedRequestWhoseClientLeft) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.wait.in_time.fill(3 * kSecond);
  rig.wait.late = 1600 * kMillisecond;
  rig.core.OnGone(rig.Call("staged", "k1", {1, 2}));
  rig.wait = {};
  rig.Pass(200 * kMillisecond);
  EXPECT_TRUE(rig.tasks.empty());
  EXPECT_EQ(rig.core.in_progress(), 0U);
}

// Clients on kept connections are told, seconds after the order to stop, that
// their streams have not run: they would outlast the process and be cut.
TEST(GatewayDrainTest, RefusesStreamsThatWouldOutlastTheProcess) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.AddReplica("r1", "app");
  rig.core.RefuseStreams();
  const ExchangeId id = rig.Call("stream");
  EXPECT_EQ(rig.refused[id].reason, Refusal::kLeaving);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
  rig.Call("plain");
  EXPECT_EQ(rig.sent.size(), 1U);
}

// Clients whose requests are still in progress when a process must end hear a
// true word instead of a closed connection.
TEST(GatewayDrainTest, AnswersEverythingBeforeTheEnd) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.AddReplica("r1", "app");
  const ExchangeId sent = rig.Call("plain");
  const ExchangeId staged = rig.Call("staged", "k1", {1, 0});
  rig.core.RefuseAll();
  EXPECT_EQ(rig.refused[sent].verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(rig.refused[staged].verdict, Verdict::kNotRun);
  EXPECT_EQ(rig.core.in_progress(), 0U);
}

// A request that may be repeated is lost at the only replica, which may have
// run it, and there is no other. Its client must not hear that it has not run.
TEST(GatewayTest, DoesNotSayNotRunAfterATryThatMayHaveRun) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const ExchangeId id = rig.Call("repeat");
  rig.core.OnReplicaFailed(rig.sent.back().call, true, "reset");
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(rig.refused[id].reason, Refusal::kUpstreamFailed);
}

// A replica crashes behind a cut and starts again under its name. Its old
// connections close for nobody. A request that may be repeated runs elsewhere
// at once; the client of one that may not is told that it may have run.
TEST(GatewayTest, EndsWhatAnIncarnationHadWhenItsReplicaStartsAgain) {
  GatewayRig rig;
  rig.AddReplica({"r", 5}, "app");
  const ExchangeId once = rig.Call("plain");
  const ExchangeId repeated = rig.Call("repeat");
  ReplicaEntry again = *rig.directory.Find({"r", 5});
  again.id.incarnation = 6;
  rig.directory.Put(again);
  EXPECT_EQ(rig.refused[once].verdict, Verdict::kMayHaveRun);
  ASSERT_EQ(rig.sent.size(), 3U);
  EXPECT_EQ(rig.sent.back().replica, ReplicaId("r", 6));
  rig.AnswerWith(rig.sent.back().call, GatewayRig::Head(), "body");
  EXPECT_EQ(rig.answered[repeated].second, "body");
  EXPECT_EQ(rig.cancelled.size(), 2U);
}

// Nothing new goes to a replica that says that it leaves.
TEST(GatewayTest, SendsNothingToALeavingReplica) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  ReplicaEntry leaving = *rig.directory.Find("r1");
  leaving.leaving = true;
  rig.directory.Put(leaving);
  const ExchangeId id = rig.Call("plain");
  EXPECT_TRUE(rig.sent.empty());
  EXPECT_EQ(rig.refused[id].reason, Refusal::kNoReplica);
}

// Load: clients retry at once, and a service's replicas refuse everything. The
// second sends stop at the budget, so that they do not double the load.
TEST(GatewayTest, StopsRepeatingAtTheBudget) {
  GatewayOptions options;
  options.budget = {0.2, 20, 10 * kSecond};
  GatewayRig rig(options);
  rig.AddReplica("r1", "app");
  rig.AddReplica("r2", "app");
  for (int n = 0; n < 100; ++n) {
    rig.Call("repeat");
    const std::size_t first = rig.sent.size();
    rig.AnswerWith(rig.sent.back().call, GatewayRig::NotRun());
    if (rig.sent.size() > first) {
      rig.AnswerWith(rig.sent.back().call, GatewayRig::NotRun());
    }
  }
  const std::size_t repeats = rig.sent.size() - 100;
  EXPECT_LE(repeats, 20U);
  EXPECT_GE(repeats, 10U);
}

}  // namespace
}  // namespace acaciachute
