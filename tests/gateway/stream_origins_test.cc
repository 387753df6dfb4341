// Tests of streams that clients take up again where replicas of several
// software versions serve.
#include "coordination/gateway/stream_origins.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

StreamOrigin Origin(const std::string& attempt, const std::string& version) {
  return {attempt, "acme", "engine", version, 0};
}

// Guards against going on at the version of another account's stream, of one
// that began long ago, or of one of two with the same id.
TEST(StreamOriginsTest, KnowsOnlyWhatIsCertain) {
  StreamOrigins origins;
  origins.Add(kSecond, Origin("a", "v1"));
  EXPECT_EQ(origins.Find(2 * kSecond, "a", "acme")->version, "v1");
  EXPECT_FALSE(origins.Find(2 * kSecond, "a", "other"));
  EXPECT_FALSE(origins.Find(2 * kSecond, "b", "acme"));
  EXPECT_FALSE(
      origins.Find(2 * kSecond + StreamOrigins::kLifetime, "a", "acme"));
  origins.Add(2 * kSecond, Origin("a", "v1"));
  EXPECT_TRUE(origins.Find(2 * kSecond, "a", "acme"));
  origins.Add(2 * kSecond, Origin("a", "v2"));
  EXPECT_FALSE(origins.Find(2 * kSecond, "a", "acme"));
  origins.Add(2 * kSecond, Origin("", "v1"));
  EXPECT_FALSE(origins.Find(2 * kSecond, "", "acme"));
  const std::string huge(2 * StreamOrigins::kMaxIdLength, 'x');
  origins.Add(2 * kSecond, Origin(huge, "v1"));
  EXPECT_FALSE(origins.Find(2 * kSecond, huge, "acme"));
}

// Guards against memory that grows with the streams of an account.
TEST(StreamOriginsTest, DropsTheOldest) {
  StreamOrigins origins;
  for (std::size_t n = 0; n < StreamOrigins::kMaxStreams + 10; ++n) {
    origins.Add(kSecond + static_cast<TimeUs>(n),
                Origin("a" + std::to_string(n), "v1"));
  }
  EXPECT_FALSE(origins.Find(2 * kSecond, "a0", "acme"));
  EXPECT_TRUE(origins.Find(2 * kSecond, "a20", "acme"));
}

// Guards against a question to gateways of which none was told, whichever one
// began the stream and whichever one asks, after two were lost.
TEST(StreamOriginsTest, SomeOfTheAskedWereTold) {
  std::vector<NodeId> all(20);
  for (std::size_t n = 0; n < all.size(); ++n) {
    all[n] = "g" + std::to_string(n);
  }
  const auto without = [&](const std::set<NodeId>& gone) {
    std::vector<NodeId> left = all;
    std::erase_if(left, [&](const NodeId& it) { return gone.contains(it); });
    return left;
  };
  for (int n = 0; n < 200; ++n) {
    const std::string attempt = "a" + std::to_string(n);
    const NodeId began = all[static_cast<std::size_t>(n) % all.size()];
    const auto told = StreamOrigins::Holders(attempt, without({began}),
                                             StreamOrigins::kHolders);
    for (const NodeId& lost : told) {
      for (const NodeId& asker : without({began, lost})) {
        const auto asked = StreamOrigins::Holders(
            attempt, without({began, lost, asker}), StreamOrigins::kAsked);
        EXPECT_TRUE(std::any_of(asked.begin(), asked.end(),
                                [&](const NodeId& it) {
                                  return std::find(told.begin(), told.end(),
                                                   it) != told.end();
                                }))
            << attempt;
      }
    }
  }
}

// A gateway with engines e1 of version v1 and e2 of v2.
struct TwoVersions : GatewayRig {
  TwoVersions() {
    AddVersion("e1", "v1");
    AddVersion("e2", "v2");
  }
  void AddVersion(const ReplicaId& name, const std::string& version) {
    ReplicaEntry entry;
    entry.id = name;
    entry.service = "engine";
    entry.address = {"10.0.1." + std::to_string(++last_host), 80};
    entry.domain = "a";
    entry.version = version;
    entry.slots = 8;
    directory.Put(entry);
  }
  ExchangeId TakeUp(const std::string& attempt, std::uint64_t last) {
    ClientRequest call;
    call.resume_after = last;
    call.resumed_attempt = attempt;
    return GatewayRig::Send("resume", "k1", std::move(call));
  }
  // Begins a stream and breaks it off after its first event; returns its id.
  ExchangeId Begin() {
    const ExchangeId id = Call("resume");
    core.OnReplicaHead(sent.back().call, Head());
    core.OnReplicaBody(sent.back().call, "id: 0\ndata: x\n\n");
    return id;
  }
};

// Guards against a gateway that goes on with a stream, within one answer, at a
// replica of another version.
TEST(GatewayStreamTest, AnAnswerGoesOnAtItsVersionOrEndsAtOnce) {
  TwoVersions rig;
  const ExchangeId id = rig.Begin();
  const std::string first = rig.sent.back().replica.name;
  rig.core.OnReplicaFailed(rig.sent.back().call, true, "reset");
  EXPECT_EQ(rig.sent.size(), 1U);
  ASSERT_EQ(rig.broken.size(), 1U);
  EXPECT_EQ(rig.broken[0], id);
  // With a second replica of that version it goes on there.
  rig.AddVersion("e3", first == "e1" ? "v1" : "v2");
  rig.AddVersion("e4", first == "e1" ? "v1" : "v2");
  rig.Begin();
  const auto version = [&](const ReplicaId& it) {
    return rig.directory.Find(it)->version;
  };
  const ReplicaId began = rig.sent.back().replica;
  rig.core.OnReplicaFailed(rig.sent.back().call, true, "reset");
  if (version(began) == (first == "e1" ? "v1" : "v2")) {
    ASSERT_EQ(rig.sent.size(), 3U);
    EXPECT_EQ(version(rig.sent.back().replica), version(began));
  } else {
    EXPECT_EQ(rig.sent.size(), 2U);
  }
}

// Guards against a client that takes a stream up and gets events of another
// version, at the gateway that began it or at one that was told.
TEST(GatewayStreamTest, AClientGoesOnAtTheVersionItsStreamBegan) {
  TwoVersions rig;
  rig.peers = {"g2", "g3"};
  rig.Begin();
  const std::string began = rig.sent.back().replica.name;
  EXPECT_EQ(rig.datagrams.size(), 2U);
  for (int n = 0; n < 10; ++n) {
    rig.TakeUp("c1", 0);
    EXPECT_EQ(rig.sent.back().replica.name, began);
  }
  rig.core.OnStreamOrigins({{{"c9", "acme", "engine", "v2", 0}}});
  for (int n = 0; n < 10; ++n) {
    rig.TakeUp("c9", 0);
    EXPECT_EQ(rig.sent.back().replica.name, "e2");
  }
  // None of that version serves any more.
  rig.directory.Remove(rig.now, "e2");
  const std::size_t sent = rig.sent.size();
  const ExchangeId id = rig.TakeUp("c9", 0);
  EXPECT_EQ(rig.sent.size(), sent);
  EXPECT_EQ(rig.refused[id].reason, Refusal::kNoReplica);
}

// Guards against going on where nobody knows how the stream began, and against
// a client that waits for that longer than other gateways take to answer.
TEST(GatewayStreamTest, AsksOthersAndRefusesWhatNobodyKnows) {
  TwoVersions rig;
  rig.peers = {"g2", "g3"};
  const ExchangeId known = rig.TakeUp("elsewhere", 3);
  EXPECT_TRUE(rig.sent.empty());
  ASSERT_EQ(rig.datagrams.size(), 2U);
  const auto query = std::get<StreamOriginQuery>(rig.datagrams[0].second);
  EXPECT_EQ(query.attempt, "elsewhere");
  EXPECT_EQ(query.account, "acme");
  rig.core.OnStreamOriginAnswer("g3", {query.request, {}});
  rig.core.OnStreamOriginAnswer(
      "g2", {query.request, {{"elsewhere", "acme", "engine", "v2", kSecond}}});
  ASSERT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.sent[0].replica.name, "e2");
  EXPECT_FALSE(rig.refused.contains(known));
  // Both say that they do not know it.
  const ExchangeId unknown = rig.TakeUp("nowhere", 3);
  for (const char* it : {"g2", "g3"}) {
    EXPECT_FALSE(rig.refused.contains(unknown));
    rig.core.OnStreamOriginAnswer(it, {unknown, {}});
  }
  EXPECT_EQ(rig.refused[unknown].reason, Refusal::kUnknownStream);
  EXPECT_EQ(rig.refused[unknown].verdict, Verdict::kNotRun);
  // Nobody answers.
  const ExchangeId lost = rig.TakeUp("nowhere", 3);
  for (int n = 0; n < 30; ++n) {
    rig.Pass(10 * kMillisecond);
  }
  EXPECT_EQ(rig.refused[lost].reason, Refusal::kUnknownStream);
  EXPECT_EQ(rig.sent.size(), 1U);
}

// Guards against a gateway that lacks the record of a stream, has seen one
// version only, and goes on from that while others know better.
TEST(GatewayStreamTest, AsksOthersBeforeItConcludesFromTheOnlyVersion) {
  TwoVersions rig;
  rig.directory.Remove(rig.now, "e2");
  rig.recorded.clear();
  rig.peers = {"g2"};
  rig.TakeUp("elsewhere", 3);
  EXPECT_TRUE(rig.sent.empty());
  EXPECT_EQ(rig.version_reads, 0);
  ASSERT_EQ(rig.datagrams.size(), 1U);
  // Nor does it tell another gateway what it does not know.
  rig.core.OnStreamOriginQuery("g2", {7, "elsewhere", "acme"});
  EXPECT_TRUE(std::get<StreamOriginAnswer>(rig.datagrams.back().second)
                  .origins.empty());
}

// A gateway whose replicas all have version v1.
struct OneVersion : TwoVersions {
  OneVersion() {
    directory.Remove(now, "e2");
    Pass(10 * kMillisecond);
    Pass(VersionLedger::kMaxWriteDelay);
  }
};

// Guards against streams that are refused, after all gateways were killed,
// although there has never been another version, whoever the client names.
TEST(GatewayStreamTest, GoesOnAtTheOnlyVersionThatEverWas) {
  OneVersion rig;
  EXPECT_EQ(rig.recorded.size(), 1U);
  rig.TakeUp("forgotten", 3);
  rig.TakeUp("", 3);
  rig.Pass(VersionLedger::kReadInterval);
  ASSERT_EQ(rig.sent.size(), 2U);
  EXPECT_EQ(rig.sent[0].replica.name, "e1");
  EXPECT_EQ(rig.sent[1].replica.name, "e1");
}

// Guards against a conclusion from a list that does not show the replicas of
// another version any more, or not yet.
TEST(GatewayStreamTest, RefusesWhereTheStoreHasRecordsOfTwoVersions) {
  OneVersion rig;
  rig.recorded.push_back({"engine", "v0"});  // Listed here no more.
  const ExchangeId read = rig.TakeUp("forgotten", 3);
  EXPECT_EQ(rig.refused[read].reason, Refusal::kUnknownStream);
  EXPECT_EQ(rig.version_reads, 1);
  // That there are two does not change: nothing is read for the next.
  const ExchangeId known = rig.TakeUp("forgotten", 3);
  EXPECT_EQ(rig.refused[known].reason, Refusal::kUnknownStream);
  EXPECT_EQ(rig.version_reads, 1);
}

// Guards against going on at the old version by what was read before: a gateway
// that is cut off from the others has not heard of a version that joined, and a
// stream that began there through them is taken up here.
TEST(GatewayStreamTest, ReadsTheStoreAfreshWhereTheOthersAreCutOff) {
  OneVersion rig;
  rig.peers = {"g2", "g3"};  // They get no datagram, and send none.
  const auto wait = [&] {
    for (int n = 0; n < 100; ++n) {
      rig.Pass(10 * kMillisecond);
    }
  };
  const ExchangeId before = rig.TakeUp("old", 3);
  wait();
  EXPECT_EQ(rig.version_reads, 1);
  ASSERT_EQ(rig.sent.size(), 1U);
  EXPECT_FALSE(rig.refused.contains(before));
  rig.recorded.push_back({"engine", "v2"});
  const ExchangeId after = rig.TakeUp("new", 3);
  wait();
  EXPECT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.refused[after].reason, Refusal::kUnknownStream);
  EXPECT_EQ(rig.refused[after].verdict, Verdict::kNotRun);
}

// Guards against a conclusion for a stream of another service: the route moved.
TEST(GatewayStreamTest, RefusesWhereTheOnlyVersionIsOfAnotherService) {
  GatewayRig rig;
  rig.recorded.push_back({"former-engine", "v1"});
  ClientRequest call;
  call.resume_after = 3;
  call.resumed_attempt = "forgotten";
  const ExchangeId id = rig.Send("resume", "k1", std::move(call));
  EXPECT_TRUE(rig.sent.empty());
  EXPECT_TRUE(rig.refused.contains(id));
}

// Guards against a conclusion while the store is away, and from a reading that
// was older than the client's request.
TEST(GatewayStreamTest, ConcludesNothingWithoutTheStore) {
  OneVersion rig;
  rig.store_answers = false;
  const ExchangeId id = rig.TakeUp("forgotten", 3);
  EXPECT_EQ(rig.refused[id].reason, Refusal::kUnknownStream);
  rig.store_answers = true;
  rig.TakeUp("forgotten", 3);
  EXPECT_TRUE(rig.sent.empty());  // Readings have an interval.
  rig.recorded.push_back({"engine", "v2"});
  rig.Pass(VersionLedger::kReadInterval);
  EXPECT_TRUE(rig.sent.empty());
  EXPECT_EQ(rig.refused.size(), 2U);
}

// Guards against streams that begin at a version which the store does not know
// of, so that others take the version before it for the only one; and against
// an outage of the store that keeps replicas out of use.
TEST(GatewayStreamTest, BeginsNoStreamBeforeItsVersionHasARecord) {
  OneVersion rig;
  rig.store_answers = false;
  rig.peers = {"g2"};
  rig.AddVersion("e3", "v3");
  for (int n = 0; n < 20; ++n) {
    rig.Begin();
    EXPECT_EQ(rig.sent.back().replica.name, "e1");
  }
  // The others know of it, and conclude nothing.
  ASSERT_FALSE(rig.version_datagrams.empty());
  OneVersion other;
  other.core.OnServiceVersions("g1", std::get<ServiceVersionReport>(
                                         rig.version_datagrams.back().second));
  const ExchangeId id = other.TakeUp("forgotten", 3);
  EXPECT_EQ(other.refused[id].reason, Refusal::kUnknownStream);
  rig.Pass(VersionLedger::kMaxRecordWait);
  for (int n = 0; n < 20; ++n) {
    rig.Begin();
    EXPECT_EQ(rig.sent.back().replica.name, "e1");
  }
  rig.directory.Remove(rig.now, "e1");
  rig.Begin();
  EXPECT_EQ(rig.sent.back().replica.name, "e3");
}

// Guards against a client that is refused as the first one after a start,
// before the store has answered.
TEST(GatewayStreamTest, AStreamWaitsForTheRecordOfItsVersion) {
  GatewayRig rig;
  rig.store_answers = false;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("resume");
  EXPECT_TRUE(rig.sent.empty());
  EXPECT_FALSE(rig.refused.contains(id));
  rig.core.OnVersionRecorded({"engine", ""}, true);
  rig.Pass(10 * kMillisecond);
  EXPECT_EQ(rig.sent.size(), 1U);
}

// Guards against hundreds of gateways that all write the same record.
TEST(GatewayStreamTest, WritesNoRecordThatAnotherGatewayTellsOf) {
  GatewayRig rig;
  rig.core.OnServiceVersions("g2", {{{{"engine", "v1"}, true}}});
  ReplicaEntry entry;
  entry.id = "e1";
  entry.service = "engine";
  entry.version = "v1";
  entry.address = {"10.0.1.1", 80};
  rig.directory.Put(entry);
  rig.Pass(kSecond);
  EXPECT_TRUE(rig.recorded.empty());
  EXPECT_TRUE(rig.core.VersionsRecorded());
}

// Guards against a stream that begins at a process of another version than the
// row under whose name and address it runs: it is not taken for one of the
// row's version, by this gateway or by a client.
TEST(GatewayStreamTest, NeitherResumesNorRecordsAStreamThatBeganInDoubt) {
  TwoVersions rig;
  rig.AddVersion("e3", "v1");
  rig.AddVersion("e4", "v2");
  const ExchangeId id = rig.Call("resume");
  const ReplicaId began = rig.sent.back().replica;
  rig.core.OnConnectionsLost(began);
  rig.core.OnReplicaConnected(rig.sent.back().call);
  EXPECT_EQ(rig.asked_start, (std::vector<ReplicaId>{began, began}));
  // It refuses the question: it is asked again once it accepts a connection.
  rig.core.OnConnectionsLost(began);
  EXPECT_EQ(rig.asked_start.size(), 2U);
  rig.core.OnReplicaHead(rig.sent.back().call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent.back().call, "id: 0\ndata: x\n\n");
  rig.core.OnReplicaFailed(rig.sent.back().call, true, "reset");
  EXPECT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.broken, std::vector<ExchangeId>{id});
  const ExchangeId taken_up = rig.TakeUp("c1", 0);
  EXPECT_TRUE(rig.refused.contains(taken_up));
}

// Guards against a stream that goes on at such a process.
TEST(GatewayStreamTest, GoesOnAtNoReplicaInDoubt) {
  TwoVersions rig;
  rig.core.OnStreamOrigins({{{"c0", "acme", "engine", "v2", 0}}});
  rig.core.OnConnectionsLost("e2");
  const ExchangeId refused = rig.TakeUp("c0", 0);
  EXPECT_TRUE(rig.refused.contains(refused));
  // A connection is lost after the choice.
  rig.AddVersion("e4", "v2");
  rig.TakeUp("c0", 0);
  ASSERT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.sent[0].replica.name, "e4");
  rig.core.OnConnectionsLost("e4");
  rig.core.OnReplicaConnected(rig.sent[0].call);
  rig.core.OnReplicaHead(rig.sent[0].call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent[0].call, "id: 1\ndata: x\n\n");
  EXPECT_TRUE(rig.streams.empty());
}

// Guards against replicas that stay in doubt after a reset of their
// connections: the process says that it is the one of the row, or has not
// written another row in time.
TEST(GatewayStreamTest, ADoubtEndsOnceTheProcessIsKnown) {
  TwoVersions rig;
  rig.directory.Remove(rig.now, "e1");
  rig.directory.Remove(rig.now, "e2");
  const ReplicaId replica = {"e5", 5};
  rig.AddVersion(replica, "v1");
  rig.core.OnConnectionsLost(replica);
  rig.Begin();
  rig.core.OnReplicaConnected(rig.sent.back().call);
  rig.core.OnReplicaStart(replica, 5);
  rig.core.OnReplicaBody(rig.sent.back().call, "id: 1\ndata: x\n\n");
  rig.TakeUp("c1", 1);
  EXPECT_EQ(rig.sent.size(), 2U);
  // It does not say it.
  rig.core.OnConnectionsLost(replica);
  rig.core.OnReplicaStart(replica, 0);
  EXPECT_TRUE(rig.refused.contains(rig.TakeUp("c1", 1)));
  rig.directory.OnCurrent(rig.now + 5 * kSecond);
  rig.Pass(5 * kSecond);
  rig.core.OnConfirmed(rig.now);
  const std::size_t sent = rig.sent.size();
  rig.TakeUp("c1", 1);
  EXPECT_EQ(rig.sent.size(), sent + 1);
}

// Guards against streams that begin at such a process while others serve.
TEST(GatewayStreamTest, BeginsWhereTheVersionIsCertainIfItCan) {
  TwoVersions rig;
  rig.core.OnConnectionsLost("e1");
  for (int n = 0; n < 10; ++n) {
    rig.Begin();
    EXPECT_EQ(rig.sent.back().replica.name, "e2");
  }
  rig.core.OnConnectionsLost("e2");
  rig.Begin();
  EXPECT_EQ(rig.sent.size(), 11U);
}

// Guards against a version that only a gateway which the store turns away
// lists: others conclude from a store that does not know of it.
TEST(GatewayStreamTest, RecordsWhatAnotherGatewayHasNoRecordOf) {
  OneVersion rig;
  rig.core.OnServiceVersions("g2", {{{{"engine", "v2"}, false}}});
  rig.Pass(VersionLedger::kRetryDelay);
  EXPECT_EQ(rig.recorded.back(), (ServiceVersion{"engine", "v2"}));
}

// Guards against a client that names the attempt which took its stream up last.
TEST(GatewayStreamTest, KnowsTheStreamByEachAttemptThatTookItUp) {
  TwoVersions rig;
  rig.core.OnStreamOrigins({{{"c0", "acme", "engine", "v2", 0}}});
  rig.TakeUp("c0", 0);
  rig.core.OnReplicaHead(rig.sent.back().call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent.back().call, "id: 1\ndata: x\n\n");
  const std::string again = "c" + std::to_string(rig.last_exchange);
  for (int n = 0; n < 10; ++n) {
    rig.TakeUp(again, 1);
    EXPECT_EQ(rig.sent.back().replica.name, "e2");
  }
}

// Guards against a fleet whose gateways start again one after the other: each
// is told what the others know and it belongs to.
TEST(GatewayStreamTest, AGatewayThatHasStartedIsTold) {
  TwoVersions rig;
  rig.peers = {"g2", "g3"};
  rig.Begin();
  rig.datagrams.clear();
  rig.core.OnNewPeer("g2");
  ASSERT_EQ(rig.datagrams.size(), 1U);
  const auto report = std::get<StreamOriginReport>(rig.datagrams[0].second);
  ASSERT_EQ(report.streams.size(), 1U);
  EXPECT_EQ(report.streams[0].attempt, "c1");
}

}  // namespace
}  // namespace acaciachute
