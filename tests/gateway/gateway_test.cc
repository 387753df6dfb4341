// What clients and replicas receive from a `Gateway`, mainly when something
// fails.
#include <gtest/gtest.h>

#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

TEST(GatewayTest, PassesACompleteAnswerOn) {
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

// A replica's connection breaks after a non-idempotent request was sent. The
// request may have run, and sending it elsewhere could run it twice, so the
// client gets 502.
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

// The first replica cannot be reached. No byte of the request was sent, so
// another replica may run it, and the client gets its answer.
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

// The first replica is full and answers that it did not run the request, so
// another replica may run it.
TEST(GatewayTest, RetriesElsewhereWhenTheReplicaReportsThatItDidNotRun) {
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

// The first replica answers an idempotent request with an error; the client
// gets the answer of the second one.
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

// The route allows two attempts, so after two failures the client gets the
// second replica's error, and there is no third attempt.
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

// A cache or proxy may answer in place of the replica. A success counts only if
// it carries the replica's seal and has no added content encoding; otherwise
// the client gets 502.
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

// A gateway that has not received a configuration refuses with 503. It must not
// answer 404 or 401, because the route and the key may exist.
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

// Guards against a draw among no weights.
TEST(GatewayTest, ARouteWithoutWeightsGoesToItsFirstService) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  auto config = GatewayRig::Config(2);
  Route route = *config->FindRoute("h.example", "/plain/x");
  route.split = {{"app", 0}, {"engine", 0}};
  config->AddRoute(route);
  rig.core.OnConfig(config);
  rig.Call("plain");
  ASSERT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.sent[0].replica, ReplicaId("r1"));
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

// Guards against a 404 or 401 for a route or key that a confirmed change has
// added: the gateway's configuration was older than the bound.
TEST(GatewayTest, DeniesNothingByAnOldConfiguration) {
  GatewayOptions options;
  options.key_age = 4 * kSecond;
  options.max_config_use_age = 2 * kSecond;
  GatewayRig rig(options);
  rig.AddReplica("r1", "app");
  rig.now += 2 * kSecond + 1;
  for (const ExchangeId id : {rig.Call("none"), rig.Call("plain", "unknown")}) {
    EXPECT_EQ(rig.refused[id].reason, Refusal::kNotCurrent);
    EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
    EXPECT_GT(rig.refused[id].retry_after, 0);
  }
  rig.Call("plain");
  EXPECT_EQ(rig.sent.size(), 1U);
}

// Guards against a request that is run as a replaced configuration says, while
// the newer one is known to exist and arrives too slowly. In an outage of the
// store none is known, and the gateway serves on.
TEST(GatewayTest, ServesByAnOldConfigurationOnlyWhileNoNewerOneIsKnown) {
  GatewayOptions options;
  options.key_age = 4 * kSecond;
  options.max_config_use_age = 2 * kSecond;
  GatewayRig rig(options);
  rig.AddReplica("r1", "app");
  const auto call_is_served = [&] {
    const std::size_t before = rig.sent.size();
    const ExchangeId id = rig.Call("open");
    if (rig.sent.size() == before) {
      EXPECT_EQ(rig.refused[id].reason, Refusal::kNotCurrent);
    }
    return rig.sent.size() > before;
  };
  rig.core.SetNewerConfigKnown(true);
  EXPECT_TRUE(call_is_served());
  rig.now += 2 * kSecond + 1;
  rig.core.SetNewerConfigKnown(true);
  EXPECT_FALSE(call_is_served());
  rig.core.SetNewerConfigKnown(false);
  rig.now += 150 * kMillisecond;
  rig.core.SetNewerConfigKnown(false);
  rig.now += 150 * kMillisecond;
  EXPECT_TRUE(call_is_served());
  // The process did not run for a while: heartbeats wait to be read.
  rig.now += kSecond;
  EXPECT_FALSE(call_is_served());
  rig.core.SetNewerConfigKnown(false);
  EXPECT_FALSE(call_is_served());
  rig.core.OnConfirmed(rig.now);
  EXPECT_TRUE(call_is_served());
}

// While the gateway cannot confirm its configuration, a key may have been
// revoked, so requests with keys are refused with the verdict that they did not
// run. Anonymous routes are served.
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

// A gateway that cannot read the store answers 503 and sends the client to
// another gateway that can check keys. If no gateway can, it requests the
// longest wait that clients accept, because clients retry only a few times.
TEST(GatewayTest, SendsClientsWhereKeysCanBeChecked) {
  GatewayRig rig;
  rig.Pass(10 * kSecond);
  rig.core.SetPeerCanCheckKeys(true);
  const ExchangeId cut = rig.Call("plain");
  EXPECT_EQ(rig.refused[cut].reason, Refusal::kNotCurrent);
  EXPECT_LE(rig.refused[cut].retry_after, 50 * kMillisecond);
  EXPECT_GT(rig.refused[cut].retry_after, 0);
  rig.core.SetPeerCanCheckKeys(false);
  // The client's deadline is ten seconds.
  const ExchangeId outage = rig.Call("plain");
  EXPECT_GE(rig.refused[outage].retry_after, 10 * kSecond / 6);
  EXPECT_LE(rig.refused[outage].retry_after, 10 * kSecond / 3);
}

// Replicas accept 50 connections from all gateways together. Few gateways may
// keep several idle ones each; with 103 gateways none may be kept, because the
// replicas would otherwise reset connections of requests that must run only
// once.
TEST(GatewayTest, SharesTheConnectionsThatReplicasTake) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  rig.core.SetGatewayCount(5);
  rig.Call("plain");
  EXPECT_EQ(rig.sent.back().max_idle_connections, 7U);
  rig.core.SetGatewayCount(103);
  rig.Call("plain");
  EXPECT_EQ(rig.sent.back().max_idle_connections, 0U);
}

// A stale read must not replace the configuration by an older version.
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

// If a replica does not answer before the deadline, the client gets 504 and the
// call to the replica is cancelled.
TEST(GatewayTest, AnswersWhenTheTimeIsOver) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const ExchangeId id = rig.Call("plain");
  rig.Pass(10 * kSecond);
  EXPECT_EQ(Info(rig.refused[id].reason).http_status, 504);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(rig.cancelled, std::vector<CallId>{rig.sent[0].call});
}

// If the client disconnects, the call to the replica is cancelled at once.
TEST(GatewayTest, EndsTheWorkOfAClientThatLeft) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const ExchangeId id = rig.Call("plain");
  rig.core.OnClientDisconnected(id);
  EXPECT_EQ(rig.cancelled, std::vector<CallId>{rig.sent[0].call});
  EXPECT_EQ(rig.core.in_progress(), 0U);
}

TEST(GatewayStreamTest, PassesCompleteEventsOnAsTheyArrive) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("stream");
  const CallId call = rig.sent[0].call;
  rig.core.OnReplicaHead(call, GatewayRig::Head());
  rig.core.OnReplicaBody(call, "id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_EQ(rig.streams[id], "id: 1\ndata: a\n\n");
  rig.core.OnReplicaBody(call, "ta: b\n\n");
  rig.core.OnReplicaEnd(call, AnswerEnd::kLength);
  EXPECT_EQ(rig.streams[id], "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(rig.ended, std::vector<ExchangeId>{id});
}

// A replica breaks off a stream that may not be repeated. The client's
// connection is closed, so that the client does not take the stream for
// complete.
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

// The first replica breaks off in the middle of an event, and another one
// resumes after the last complete event. The client gets one stream without a
// gap or a repeated event.
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

// If the client reads slowly, the gateway stops reading from the replica
// instead of buffering the stream in memory.
TEST(GatewayStreamTest, StopsReadingForASlowClient) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("stream");
  const CallId call = rig.sent[0].call;
  rig.core.OnReplicaHead(call, GatewayRig::Head());
  rig.unsent = Gateway::kMaxUnsentBytes + 1;
  rig.core.OnReplicaBody(call, "id: 1\ndata: a\n\n");
  EXPECT_TRUE(rig.paused[call]);
  rig.core.OnWritten(id);
  EXPECT_FALSE(rig.paused[call]);
}

// Clients disconnect if the first event does not arrive within a known time;
// the gateway keeps no state for the request beyond that.
TEST(GatewayStreamTest, GivesUpWhenTheClientWouldLeave) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("stream");
  rig.Pass(4 * kSecond);  // Four times the route's target.
  EXPECT_EQ(rig.refused.count(id), 1U);
}

TEST(GatewayStagesTest, RunsStagesInOrderAndPassesResultsOn) {
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

// A stage result is no longer available when the engine fetches it. The engine
// then does not run the request, the stages run again, and the client still
// gets its answer.
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

GatewayOptions NoRetries() {
  GatewayOptions options;
  options.budget = {0, 0, 10 * kSecond};
  return options;
}

// A send of which nothing left the host is not an arrival: the next one is free
// as long as none before it arrived.
TEST(GatewayRetryTest, OnlySendsAfterTheFirstArrivalTakeRetries) {
  GatewayRig rig(NoRetries());
  rig.AddReplica("r1", "app");
  rig.AddReplica("r2", "app");
  rig.AddReplica("r3", "app");
  const ExchangeId id = rig.Call("repeat");
  rig.core.OnReplicaFailed(rig.sent.at(0).call, false, "refused");
  ASSERT_EQ(rig.sent.size(), 2U);
  rig.AnswerWith(rig.sent[1].call, GatewayRig::NotRun(503));
  EXPECT_EQ(rig.sent.size(), 2U);
  EXPECT_TRUE(rig.refused.contains(id));
}

// Guards against second sends after a lost result that the retry budget does
// not count: the engine's, and those of all pieces that are made again.
TEST(GatewayStagesTest, MakingStagesAgainTakesRetriesOfEachService) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.Call("staged", "k1", {1, 2});
  rig.Made(rig.tasks[0], "10.0.0.9:80/a");
  ASSERT_EQ(rig.tasks.size(), 3U);
  rig.Made(rig.tasks[1], "10.0.0.9:80/b");
  rig.Made(rig.tasks[2], "10.0.0.9:80/c");
  ASSERT_EQ(rig.sent.size(), 1U);
  rig.AnswerWith(rig.sent[0].call, GatewayRig::NotRun(409));
  const auto paid = [&](std::string_view kind) {
    return rig.metrics.Value("acaciachute_gateway_second_sends_total", kind);
  };
  EXPECT_EQ(paid("engine not_run paid"), 1U);
  EXPECT_EQ(paid("maker stages_again paid"), 3U);
  ASSERT_EQ(rig.tasks.size(), 4U);
  EXPECT_EQ(rig.tasks[0].send, PieceSend::kFirst);
  EXPECT_TRUE(rig.tasks[0].earns_retries);
  EXPECT_EQ(rig.tasks[3].send, PieceSend::kRetryPaid);
  EXPECT_FALSE(rig.tasks[3].earns_retries);
}

// Guards against engines that are asked again without limit when many results
// are gone: with the budget spent, the client is refused at once.
TEST(GatewayStagesTest, RefusesWhenARetryAfterALostResultIsNotAllowed) {
  GatewayRig rig(NoRetries());
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("staged", "k1", {1, 0});
  rig.Made(rig.tasks[0], "10.0.0.9:80/a");
  rig.AnswerWith(rig.sent.at(0).call, GatewayRig::NotRun(409));
  EXPECT_EQ(rig.tasks.size(), 1U);
  ASSERT_TRUE(rig.refused.contains(id));
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
}

// The same for a stage that found the result of an earlier one gone.
TEST(GatewayStagesTest, RefusesWhenPiecesMayNotBeMadeAgain) {
  GatewayRig rig(NoRetries());
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("staged", "k1", {1, 1});
  rig.Made(rig.tasks[0], "10.0.0.9:80/a");
  rig.core.OnPiece({rig.tasks.at(1).key, PieceOutcome::kInputMissing, ""});
  EXPECT_EQ(rig.tasks.size(), 2U);
  ASSERT_TRUE(rig.refused.contains(id));
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
}

// In a burst, results expire while their request waits, and there is no time to
// make them again. The client is refused at once instead of at its deadline,
// and no more stage work is done.
TEST(GatewayStagesTest, RefusesARequestWithoutTimeToRestartItsStages) {
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

// If a client disconnects while its stages run, its pieces are cancelled and
// its results released.
TEST(GatewayStagesTest, DropsPiecesAndResultsOfAClientThatLeft) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("staged", "k1", {1, 2});
  rig.Made(rig.tasks[0], "10.0.0.9:80/a");
  rig.core.OnClientDisconnected(id);
  EXPECT_EQ(rig.dropped, std::vector<std::string>{"c1"});
  EXPECT_EQ(rig.freed, std::vector<std::string>{"10.0.0.9:80/a"});
}

// A burst fills the stages' queues for longer than clients wait. A new request
// is refused before any work is done for it, with a Retry-After within a third
// of its deadline.
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

// The queue of late requests is long, but that of requests that can be on time
// is short. A request that can be on time is admitted.
TEST(GatewayStagesTest, AdmitsARequestThatCanMeetItsTarget) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.wait.late = 9 * kSecond;
  rig.Call("staged", "k1", {1, 0});
  EXPECT_EQ(rig.tasks.size(), 1U);
}

// A burst fills the stages' queues for a limited time. A request that cannot be
// on time but can be served after the burst is parked: no work is done for it,
// because early results would hold memory that other requests need. It starts
// when the queues are short.
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

// If the burst lasts longer than expected, a parked request is refused, with
// the verdict that it did not run, as soon as it is too late to start it and
// not only at its deadline.
TEST(GatewayStagesTest, RefusesAParkedRequestOnceItIsTooLateToBegin) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.wait.in_time.fill(3 * kSecond);
  rig.wait.late = 1600 * kMillisecond;
  const ExchangeId id = rig.Call("staged", "k1", {1, 2});
  // The client disconnects after four seconds without a first event.
  rig.Pass(3500 * kMillisecond);
  ASSERT_TRUE(rig.refused.contains(id));
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
  rig.wait = {};
  rig.Pass(200 * kMillisecond);
  EXPECT_TRUE(rig.tasks.empty());
}

// If a client disconnects, its parked request is removed.
TEST(GatewayStagesTest, RemovesAParkedRequestWhoseClientDisconnected) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.wait.in_time.fill(3 * kSecond);
  rig.wait.late = 1600 * kMillisecond;
  rig.core.OnClientDisconnected(rig.Call("staged", "k1", {1, 2}));
  rig.wait = {};
  rig.Pass(200 * kMillisecond);
  EXPECT_TRUE(rig.tasks.empty());
  EXPECT_EQ(rig.core.in_progress(), 0U);
}

// During shutdown, streams requested on persistent connections are refused,
// with the verdict that they did not run, because a stream could outlast the
// process and be cut off.
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

// Guards against a request that is sent shortly before the process ends and
// whose answer is then cut, though it may run once only.
TEST(GatewayDrainTest, RefusesWhatWouldBeAnsweredTooLate) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  for (int n = 0; n < 5; ++n) {
    rig.Call("plain");
    rig.Pass(300 * kMillisecond);
    rig.AnswerWith(rig.sent.back().call, GatewayRig::Head(), "good");
  }
  rig.core.AnswerUntil(rig.now + kSecond);
  rig.Call("plain");
  EXPECT_EQ(rig.sent.size(), 6U);
  rig.Pass(500 * kMillisecond);
  const ExchangeId late = rig.Call("plain");
  EXPECT_EQ(rig.sent.size(), 6U);
  EXPECT_EQ(rig.refused[late].reason, Refusal::kLeaving);
  EXPECT_EQ(rig.refused[late].verdict, Verdict::kNotRun);
  EXPECT_GT(rig.refused[late].retry_after, 0);
}

// When the process must exit, clients with requests in progress get an answer
// with the correct verdict instead of a closed connection.
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

// An idempotent request is lost at the only replica, which may have run it, and
// there is no other replica. The refusal must not state that the request did
// not run.
TEST(GatewayTest, DoesNotReportNotRunAfterAnAttemptThatMayHaveRun) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const ExchangeId id = rig.Call("repeat");
  rig.core.OnReplicaFailed(rig.sent.back().call, true, "reset");
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(rig.refused[id].reason, Refusal::kUpstreamFailed);
}

// A replica crashes during a network partition and restarts under the same
// name, so nothing closes its old connections. An idempotent request is sent
// again at once; a non-idempotent request is refused with the verdict that it
// may have run.
TEST(GatewayTest, EndsTheAttemptsAtAPreviousIncarnation) {
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

// A replica that is leaving gets no new requests.
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

// A service's replicas refuse everything. Retries by the gateway stop at the
// retry budget, so that they do not double the load.
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

// Guards against refusing a request after all of its tries probed replicas that
// had ended, though others are free.
TEST(GatewayTest, ARequestProbesOneReplica) {
  GatewayRig rig;
  const std::set<std::string> ended = {"a0", "a1", "a2", "a3"};
  for (const std::string& it : ended) {
    rig.AddReplica(it, "app");
  }
  // Returns how many replicas that had ended it was sent to.
  const auto call = [&] {
    const std::size_t before = rig.sent.size();
    rig.Call("repeat");
    std::size_t tries = 0;
    while (rig.sent.size() > before + tries &&
           ended.contains(rig.sent.back().replica.name)) {
      ++tries;
      rig.core.OnReplicaFailed(rig.sent.back().call, false, "refused");
    }
    return tries;
  };
  for (int n = 0; n < 8; ++n) {
    call();
  }
  rig.AddReplica("free", "app");
  rig.Pass(2 * ReplicaHealth::kProbeEvery);
  EXPECT_EQ(call(), 1U);
  EXPECT_EQ(rig.sent.back().replica.name, "free");
}

}  // namespace
}  // namespace acaciachute
