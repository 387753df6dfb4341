// Tests that gateways send nothing to a replica after one of its answers has
// stated that it leaves.
#include <gtest/gtest.h>

#include <set>
#include <string>

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
    core.OnReplicaEnd(it.call);
    return it.replica;
  }
  std::set<std::string> ReplicasUsed(const std::string& route, int calls) {
    const std::size_t before = sent.size();
    for (int n = 0; n < calls; ++n) {
      Call(route);
    }
    std::set<std::string> used;
    for (std::size_t n = before; n < sent.size(); ++n) {
      used.insert(sent[n].replica.name);
    }
    return used;
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

}  // namespace
}  // namespace acaciachute
