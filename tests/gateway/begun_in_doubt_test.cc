// Tests of streams at replicas that were replaced under their ids, by processes
// whose rows come late.
#include "coordination/streams/begun_in_doubt.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

// Replicas of version v1 that state when they started.
struct ReplacedRig : GatewayRig {
  ReplacedRig() {
    Put("e1", 5, "v1");
    Put("e2", 5, "v1");
  }
  void Put(const std::string& name,
           Incarnation start,
           const std::string& version) {
    ReplicaEntry entry;
    entry.id = {name, start};
    entry.service = "engine";
    entry.address = {name == "e1" ? "10.0.1.1" : "10.0.1.2", 80};
    entry.domain = "a";
    entry.version = version;
    entry.slots = 8;
    directory.Put(entry);
  }
  ExchangeId TakeUp(const std::string& attempt) {
    ClientRequest call;
    call.resume_after = 0;
    call.resumed_attempt = attempt;
    return GatewayRig::Send("resume", "k1", std::move(call));
  }
  // The last request that was sent gets its first event.
  void BringEvent() {
    core.OnReplicaHead(sent.back().call, Head());
    core.OnReplicaBody(sent.back().call, "id: 0\ndata: x\n\n");
  }
};

// Guards against a gateway that had no connection to a replica when it was
// replaced, and passes on what the other version writes.
TEST(BegunInDoubtTest, AFirstConnectionIsCheckedBeforeAStreamGoesOn) {
  ReplacedRig rig;
  rig.core.OnStreamOrigins({{{"c0", "acme", "engine", "v1", 0}}});
  for (const Incarnation start : {Incarnation{5}, Incarnation{9}}) {
    const ExchangeId id = rig.TakeUp("c0");
    const auto call = rig.sent.back().call;
    const ReplicaId replica = rig.sent.back().replica;
    const std::size_t asked = rig.asked_start.size();
    rig.core.OnFirstConnection(replica);
    rig.core.OnReplicaConnected(call);
    EXPECT_EQ(rig.asked_start.size(), asked + 1);
    EXPECT_TRUE(rig.paused[call]);
    rig.core.OnReplicaStart(replica, start);
    if (start == replica.incarnation) {
      EXPECT_FALSE(rig.paused[call]);
      rig.BringEvent();
      EXPECT_TRUE(rig.streams.contains(id));
    } else {
      EXPECT_EQ(std::count(rig.cancelled.begin(), rig.cancelled.end(), call),
                1);
      EXPECT_FALSE(rig.streams.contains(id));
    }
  }
}

// Guards against a stream that begins, before any client has taken one up, at a
// process that has replaced the one of the row, and is known as the row's.
TEST(BegunInDoubtTest, AFirstConnectionIsCheckedBeforeAStreamIsKnown) {
  GatewayRig rig;
  ReplicaEntry entry;
  entry.id = {"e1", 5};
  entry.service = "engine";
  entry.address = {"10.0.1.1", 80};
  entry.version = "v1";
  entry.slots = 8;
  rig.directory.Put(entry);
  rig.peers = {"g2"};
  rig.Call("resume");
  rig.core.OnFirstConnection(entry.id);
  rig.core.OnReplicaConnected(rig.sent.back().call);
  EXPECT_EQ(rig.asked_start.size(), 1U);
  EXPECT_FALSE(rig.paused[rig.sent.back().call]);
  rig.core.OnReplicaStart(entry.id, 9);
  rig.core.OnReplicaHead(rig.sent.back().call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent.back().call, "id: 0\ndata: x\n\n");
  EXPECT_TRUE(rig.datagrams.empty());
}

// Guards against questions without end: the connection of each one is the first
// again once the one before it is answered and closed.
TEST(BegunInDoubtTest, AQuestionAsksNoOther) {
  ReplacedRig rig;
  rig.core.OnFirstConnection({"e1", 5});
  EXPECT_TRUE(rig.asked_start.empty());
  rig.core.OnConnectionsLost({"e1", 5});
  rig.core.OnFirstConnection({"e1", 5});
  rig.core.OnReplicaStart({"e1", 5}, 9);
  rig.core.OnFirstConnection({"e1", 5});
  EXPECT_EQ(rig.asked_start.size(), 1U);
}

// Guards against questions to replicas whose answer could decide nothing.
TEST(BegunInDoubtTest, AsksNothingOfReplicasWhoseRowStatesNoStart) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.Call("resume");
  rig.core.OnFirstConnection("e1");
  rig.core.OnReplicaConnected(rig.sent.back().call);
  EXPECT_TRUE(rig.asked_start.empty());
}

// Guards against streams that nobody can take up as they began before the row
// of their process came, and against going on with them at the row's version.
TEST(BegunInDoubtTest, AStreamIsKnownOnceTheRowOfItsProcessIs) {
  ReplacedRig rig;
  for (const char* it : {"e1", "e2"}) {
    rig.core.OnConnectionsLost({it, 5});
    rig.core.OnReplicaStart({it, 5}, 9);
  }
  rig.Call("resume");
  const std::string name = rig.sent.back().replica.name;
  const std::string attempt = "c" + std::to_string(rig.last_exchange);
  rig.BringEvent();
  rig.core.OnReplicaFailed(rig.sent.back().call, true, "reset");
  const std::size_t sent = rig.sent.size();
  EXPECT_TRUE(rig.refused.contains(rig.TakeUp(attempt)));
  // The rows are late, however long: the process said that it is another one.
  rig.directory.OnCurrent(rig.now + 20 * kSecond);
  rig.Pass(20 * kSecond);
  rig.core.OnConfirmed(rig.now);
  EXPECT_TRUE(rig.refused.contains(rig.TakeUp(attempt)));
  EXPECT_EQ(rig.sent.size(), sent);
  rig.Put(name, 9, "v2");
  rig.TakeUp(attempt);
  ASSERT_EQ(rig.sent.size(), sent + 1);
  EXPECT_EQ(rig.sent.back().replica, ReplicaId(name, 9));
}

// Guards against memory that grows with the streams, and against versions of
// other processes.
TEST(BegunInDoubtTest, KeepsSomeStreamsForSomeTime) {
  BegunInDoubt streams;
  for (std::size_t n = 0; n < BegunInDoubt::kMaxStreams + 10; ++n) {
    streams.Add({{"a" + std::to_string(n), "", "engine", "", 0},
                 {"e1", n % 2 + 1},
                 0,
                 kSecond});
  }
  EXPECT_EQ(streams.size(), BegunInDoubt::kMaxStreams);
  const auto of_first = [](const ReplicaId& it) {
    return it.incarnation == 1 ? std::optional<std::string>("v1")
                               : std::nullopt;
  };
  const auto known = streams.TakeKnown(2 * kSecond, of_first);
  EXPECT_EQ(known.size(), BegunInDoubt::kMaxStreams / 2);
  EXPECT_EQ(known[0].origin.version, "v1");
  EXPECT_EQ(known[0].origin.age, kSecond);
  streams.TakeKnown(2 * kSecond + BegunInDoubt::kLifetime, of_first);
  EXPECT_EQ(streams.size(), 0U);
}

}  // namespace
}  // namespace acaciachute
