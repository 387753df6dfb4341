// Tests gateways that batch for one another, and what happens when one is lost.
#include "coordination/stages/shared_piece_dispatcher.h"

#include <gtest/gtest.h>

#include <memory>

#include "coordination/stages/piece_messages.h"
#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

// Several gateways with the same replicas, whose messages arrive when `Deliver`
// runs.
struct DispatcherNet {
  struct Node : SharedPieceDispatcherOutput,
                PieceBatcherOutput,
                DirectoryWatcher {
    Node(DispatcherNet* owner, const NodeId& node_name)
        : net(owner), name(node_name), peers({node_name, "", 1}, &log) {
      budget.SetLimits(0, {0.2, 200, 10 * kSecond});
      budget.SetGatewayCount(0, 1);
      ServingConfig config;
      Service service;
      service.name = "maker";
      service.batching = BatchLimits{
          1, 2, 10, 240 * kMillisecond, 5 * kMillisecond, 1000, 4 * kSecond};
      config.AddService(service);
      local.SetServices(config);
      ReplicaEntry entry;
      entry.id = "m";
      entry.service = "maker";
      entry.address = {"10.0.0.1", 80};
      directory.Put(entry);
    }
    void SendToPeer(const NodeId& peer, const Message& message) override {
      net->in_flight.push_back({name, peer, message});
    }
    void OnOwnPiece(const PieceResult& result) override {
      received.push_back(result);
    }
    void StartCall(const PieceCall& call) override { calls.push_back(call); }
    void OnPiece(const PieceResult& result) override {
      dispatcher.OnLocalPiece(result);
    }
    bool ShortOfMemory(const std::vector<std::string>&) override {
      return true;
    }
    void OnInputsRead(const std::vector<std::string>& released) override {
      dispatcher.ReleaseResults(released);
    }
    void ReleaseAt(const Address&,
                   const std::vector<std::string>& released) override {
      freed.insert(freed.end(), released.begin(), released.end());
    }
    void OnReplica(const ReplicaEntry&, DirectoryChange) override {}
    void Handle(const NodeId& from, const Message& message, TimeUs now) {
      if (const auto* it = std::get_if<PieceTasks>(&message)) {
        dispatcher.OnPeerTasks(now, from, *it);
      } else if (const auto* cancel = std::get_if<PieceCancel>(&message)) {
        dispatcher.OnPeerCancel(*cancel);
      } else if (const auto* release = std::get_if<PieceRelease>(&message)) {
        dispatcher.OnPeerRelease(*release);
      } else if (const auto* results = std::get_if<PieceResults>(&message)) {
        dispatcher.OnPeerResults(*results);
      }
    }

    DispatcherNet* const net;
    const NodeId name;
    QuietLog log;
    Metrics metrics;
    ServiceRetryBudget budget{"maker", &metrics, &log};
    ReplicaDirectory directory{this};
    GatewayPeers peers;
    LocalPieceDispatcher local{&directory, this,
                               [this](const std::string&) { return &budget; }};
    SharedPieceDispatcher dispatcher{
        name,
        &peers,
        &local,
        &directory,
        [this](const std::string&) { return &budget; },
        this,
        &log};
    std::vector<PieceCall> calls;
    std::vector<PieceResult> received;
    std::vector<std::string> freed;
  };
  struct InFlightMessage {
    NodeId from;
    NodeId to;
    Message message;
  };

  explicit DispatcherNet(int n) {
    for (int k = 0; k < n; ++k) {
      const NodeId name = "g" + std::to_string(k);
      nodes[name] = std::make_unique<Node>(this, name);
    }
    for (auto& [name, node] : nodes) {
      for (auto& [other, unused] : nodes) {
        if (other != name) {
          node->peers.OnGatewayHeartbeat(now, other, 1, {});
        }
      }
    }
    owner = nodes.begin()->second->peers.OwnerOf("maker");
    for (auto& [name, node] : nodes) {
      if (name != owner) {
        other = name;
      }
    }
  }
  Node& At(const NodeId& name) { return *nodes.at(name); }
  void Deliver() {
    while (!in_flight.empty()) {
      const InFlightMessage next = in_flight.front();
      in_flight.erase(in_flight.begin());
      if (!lost.contains(next.to)) {
        At(next.to).Handle(next.from, next.message, now);
      }
    }
  }
  void Advance(DurationUs time) {
    now += time;
    for (auto& [name, node] : nodes) {
      node->local.OnTick(now);
      node->dispatcher.OnTick(now);
    }
    Deliver();
  }
  void CompleteCall(Node* node, std::size_t call) {
    PieceCallEnd end;
    end.kind = PieceCallEnd::Kind::kAnswered;
    for (const PieceTask& it : node->calls.at(call).pieces) {
      end.results.push_back({it.key, PieceOutcome::kMade,
                             "10.0.0.1:80/" + node->name + it.key.request});
    }
    node->local.OnCallEnd(now, "maker", node->calls.at(call).id, end);
  }
  static PieceTask Task(const std::string& request) {
    PieceTask task;
    task.key = {request, 0, 0};
    task.service = "maker";
    task.time_left = 8 * kSecond;
    task.time_to_begin = kSecond;
    return task;
  }

  TimeUs now = 1000 * kSecond;
  std::map<NodeId, std::unique_ptr<Node>> nodes;
  std::vector<InFlightMessage> in_flight;
  std::set<NodeId> lost;
  NodeId owner;
  NodeId other;
};

TEST(SharedPieceDispatcherTest, GatewaysAgreeOnWhoBatches) {
  DispatcherNet net(5);
  for (auto& [name, node] : net.nodes) {
    EXPECT_EQ(node->peers.OwnerOf("maker"), net.owner);
  }
}

// Pieces of two gateways that wait for the only replica share its next call,
// and each result is returned to the gateway that submitted the piece.
TEST(SharedPieceDispatcherTest, BringsResultsToTheGatewayThatAsked) {
  DispatcherNet net(3);
  auto& owner = net.At(net.owner);
  owner.dispatcher.Submit(net.now, {DispatcherNet::Task("first")});
  net.At(net.other).dispatcher.Submit(net.now, {DispatcherNet::Task("r")});
  owner.dispatcher.Submit(net.now, {DispatcherNet::Task("s")});
  net.Deliver();
  ASSERT_EQ(owner.calls.size(), 1U);
  net.CompleteCall(&owner, 0);
  ASSERT_EQ(owner.calls.size(), 2U);
  EXPECT_EQ(owner.calls[1].pieces.size(), 2U);
  net.CompleteCall(&owner, 1);
  net.Advance(10 * kMillisecond);
  ASSERT_EQ(net.At(net.other).received.size(), 1U);
  EXPECT_EQ(net.At(net.other).received[0].key.request, "r");
  ASSERT_EQ(owner.received.size(), 2U);
  EXPECT_EQ(owner.received[1].key.request, "s");
}

// Guards against clients of other gateways that fill the memory of the one that
// batches: what goes beyond the limit is refused as not made, the rest is made,
// and what has ended counts no longer.
TEST(SharedPieceDispatcherTest, BoundsTheMemoryOfOtherGatewaysPieces) {
  DispatcherNet net(2);
  auto& owner = net.At(net.owner);
  auto& other = net.At(net.other);
  owner.dispatcher.SetPeerMemory(2 * kPieceMemoryBytes + 100);
  for (const char* request : {"first", "second", "third"}) {
    other.dispatcher.Submit(net.now, {DispatcherNet::Task(request)});
  }
  net.Deliver();
  net.Advance(10 * kMillisecond);
  ASSERT_EQ(other.received.size(), 1U);
  EXPECT_EQ(other.received[0].key.request, "third");
  EXPECT_EQ(other.received[0].outcome, PieceOutcome::kNotMade);
  other.dispatcher.CancelRequest("first");
  net.Deliver();
  other.dispatcher.Submit(net.now, {DispatcherNet::Task("fourth")});
  net.Deliver();
  net.Advance(10 * kMillisecond);
  EXPECT_EQ(other.received.size(), 1U);
}

// Requests continue although the batching gateway crashes with their pieces:
// the pieces are sent to the next one at once.
TEST(SharedPieceDispatcherTest, ResubmitsPiecesWhenTheBatchingGatewayIsLost) {
  DispatcherNet net(3);
  net.At(net.other).dispatcher.Submit(net.now, {DispatcherNet::Task("r")});
  net.Deliver();
  net.lost.insert(net.owner);
  auto& requester = net.At(net.other);
  requester.peers.OnUnreachable(net.now, net.owner);
  requester.dispatcher.OnPeerLost(net.now, net.owner);
  const NodeId next = requester.peers.OwnerOf("maker");
  ASSERT_NE(next, net.owner);
  net.Advance(10 * kMillisecond);
  ASSERT_EQ(net.At(next).calls.size(), 1U);
  net.CompleteCall(&net.At(next), 0);
  net.Advance(10 * kMillisecond);
  EXPECT_EQ(requester.received.size(), 1U);
}

// Guards against pieces that are sent once more without limit when the gateway
// that batches them is lost, and even earn retries at the next one: a piece may
// have been run before. The budget is enough for one; the more urgent request
// gets it, the other one is given up at once.
TEST(SharedPieceDispatcherTest, PiecesOfALostGatewayAreRetries) {
  DispatcherNet net(3);
  auto& requester = net.At(net.other);
  PieceTask urgent = DispatcherNet::Task("s");
  urgent.priority = 0;
  PieceTask patient = DispatcherNet::Task("r");
  patient.priority = 2;
  requester.dispatcher.Submit(net.now, {patient});
  requester.dispatcher.Submit(net.now, {urgent});
  net.Deliver();
  net.lost.insert(net.owner);
  requester.budget.SetLimits(net.now, {0, 3, 10 * kSecond});
  requester.peers.OnUnreachable(net.now, net.owner);
  auto& next = net.At(requester.peers.OwnerOf("maker"));
  const double before = requester.budget.Available(net.now);
  requester.dispatcher.OnPeerLost(net.now, net.owner);
  net.Deliver();
  ASSERT_EQ(next.calls.size(), 1U);
  ASSERT_EQ(next.calls[0].pieces.size(), 1U);
  EXPECT_EQ(next.calls[0].pieces[0].key.request, "s");
  ASSERT_EQ(requester.received.size(), 1U);
  EXPECT_EQ(requester.received[0].key.request, "r");
  EXPECT_EQ(requester.received[0].outcome, PieceOutcome::kNotMade);
  EXPECT_DOUBLE_EQ(requester.budget.Available(net.now), before - 1);
}

// A gateway that is asked again for pieces that it has sends nothing and pays
// nothing.
TEST(SharedPieceDispatcherTest, AskingTheSameGatewayAgainIsNoRetry) {
  DispatcherNet net(2);
  auto& requester = net.At(net.other);
  auto& owner = net.At(net.owner);
  requester.dispatcher.Submit(net.now, {DispatcherNet::Task("r")});
  net.Deliver();
  const double before = owner.budget.Available(net.now);
  net.now += SharedPieceDispatcher::kResultTimeout + kMillisecond;
  requester.dispatcher.OnTick(net.now);
  net.Deliver();
  EXPECT_EQ(owner.calls.size(), 1U);
  EXPECT_GE(owner.budget.Available(net.now), before);
}

// If it has them no longer, it may have run them, and pays.
TEST(SharedPieceDispatcherTest, PiecesThatAGatewayHasNoMoreAreRetries) {
  DispatcherNet net(2);
  auto& requester = net.At(net.other);
  auto& owner = net.At(net.owner);
  requester.dispatcher.Submit(net.now, {DispatcherNet::Task("r")});
  net.in_flight.clear();
  owner.budget.SetLimits(net.now, {0, 0, 10 * kSecond});
  net.now += SharedPieceDispatcher::kResultTimeout + kMillisecond;
  requester.dispatcher.OnTick(net.now);
  net.Deliver();
  EXPECT_TRUE(owner.calls.empty());
  owner.dispatcher.SendResults();
  net.Deliver();
  ASSERT_EQ(requester.received.size(), 1U);
  EXPECT_EQ(requester.received[0].outcome, PieceOutcome::kNotMade);
}

// A gateway that refuses connections is not tried in a loop: pieces go to a
// live one, and the dead one counts again only after a heartbeat that was sent
// later.
TEST(SharedPieceDispatcherTest, DoesNotTryAnUnreachableGatewayAgainAtOnce) {
  DispatcherNet net(2);
  auto& requester = net.At(net.other);
  requester.peers.OnUnreachable(net.now, net.owner);
  requester.peers.OnGatewayHeartbeat(net.now + kMillisecond, net.owner, 1, {});
  EXPECT_EQ(requester.peers.OwnerOf("maker"), net.other);
  requester.peers.OnGatewayHeartbeat(
      net.now + GatewayPeers::kUnreachableDuration, net.owner, 1, {});
  EXPECT_EQ(requester.peers.OwnerOf("maker"), net.owner);
}

// A gateway that is suspended with pieces in progress delays its peers'
// requests by `kResultTimeout` at most; its late result is released.
TEST(SharedPieceDispatcherTest, DoesNotWaitForASilentGatewayForEver) {
  DispatcherNet net(2);
  auto& requester = net.At(net.other);
  requester.dispatcher.Submit(net.now, {DispatcherNet::Task("r")});
  net.Deliver();
  net.now += SharedPieceDispatcher::kResultTimeout + kMillisecond;
  requester.peers.TakeLost(net.now);
  requester.dispatcher.OnTick(net.now);
  requester.local.OnTick(net.now);
  ASSERT_EQ(requester.calls.size(), 1U);
  net.CompleteCall(&requester, 0);
  EXPECT_EQ(requester.received.size(), 1U);
  requester.dispatcher.OnPeerResults(
      {{{{"r", 0, 0}, PieceOutcome::kMade, "10.0.0.1:80/late"}}});
  requester.local.OnTick(net.now);
  EXPECT_EQ(requester.received.size(), 1U);
  EXPECT_EQ(requester.freed, std::vector<std::string>{"10.0.0.1:80/late"});
}

// In a burst, the batching gateway reports a queue of three seconds in its
// heartbeats. Pieces are not sent again while they wait in that queue: that
// would double the messages to the gateways with the highest load.
TEST(SharedPieceDispatcherTest, WaitsAsLongAsTheReportedQueue) {
  DispatcherNet net(2);
  auto& requester = net.At(net.other);
  QueueWait wait;
  wait.late = 3 * kSecond;
  requester.dispatcher.OnPeerQueueWaits(
      {{DispatcherNet::Task("r").service, wait}});
  requester.dispatcher.Submit(net.now, {DispatcherNet::Task("r")});
  net.Deliver();
  requester.log.events.clear();
  net.now += SharedPieceDispatcher::kResultTimeout + kSecond;
  requester.dispatcher.OnTick(net.now);
  EXPECT_FALSE(requester.log.Saw("pieces_again"));
  net.now += 2 * kSecond + kMillisecond;
  requester.dispatcher.OnTick(net.now);
  EXPECT_TRUE(requester.log.Saw("pieces_again"));
}

TEST(SharedPieceDispatcherTest, CancelsPiecesOfAnEndedRequest) {
  DispatcherNet net(2);
  net.At(net.other).dispatcher.Submit(net.now, {DispatcherNet::Task("r")});
  net.Deliver();
  net.At(net.other).dispatcher.CancelRequest("r");
  net.Deliver();
  EXPECT_TRUE(net.At(net.owner).dispatcher.HasNoPeerRequests());
  EXPECT_TRUE(net.At(net.owner).local.Idle() ||
              net.At(net.owner).calls.size() == 1);
}

// Pieces of a gateway that crashed are cancelled.
TEST(SharedPieceDispatcherTest, CancelsThePiecesOfALostGateway) {
  DispatcherNet net(2);
  auto& owner = net.At(net.owner);
  net.At(net.other).dispatcher.Submit(net.now, {DispatcherNet::Task("r")});
  net.Deliver();
  owner.dispatcher.OnPeerLost(net.now, net.other);
  EXPECT_TRUE(owner.dispatcher.HasNoPeerRequests());
}

TEST(GatewayPeersTest, DetectsUnresponsiveAndRestartedGateways) {
  QuietLog log;
  GatewayPeers peers({"self", "", 1}, &log);
  const TimeUs now = 100 * kSecond;
  peers.OnGatewayHeartbeat(now, "a", 1, {});
  peers.OnGatewayHeartbeat(now, "b", 1, {});
  EXPECT_EQ(peers.LiveCount(), 3U);
  EXPECT_TRUE(peers.TakeLost(now + GatewayPeers::kPeerTimeout).empty());
  peers.OnGatewayHeartbeat(now + GatewayPeers::kPeerTimeout, "b", 2, {});
  EXPECT_EQ(peers.TakeLost(now + GatewayPeers::kPeerTimeout + 1),
            (std::vector<NodeId>{"a", "b"}));
  EXPECT_EQ(peers.LiveCount(), 2U);
}

// Guards against a gateway that, after a suspension, takes all others for dead
// and repeats their work.
TEST(GatewayPeersTest, NoPeerIsLostWhileThisGatewayDidNotRun) {
  QuietLog log;
  GatewayPeers peers({"self", "", 1}, &log);
  TimeUs now = 100 * kSecond;
  peers.OnTick(now);
  peers.OnGatewayHeartbeat(now, "a", 1, {});
  peers.OnGatewayHeartbeat(now, "b", 1, {});
  now += 10 * kSecond;
  peers.OnTick(now);
  EXPECT_TRUE(peers.TakeLost(now).empty());
  EXPECT_TRUE(log.Saw("suspended"));
  // One of them crashed during the suspension.
  peers.OnGatewayHeartbeat(now + kSecond / 10, "a", 1, {});
  std::vector<NodeId> lost;
  const TimeUs resumed = now;
  for (; lost.empty() && now < resumed + kSecond; now += 30 * kMillisecond) {
    peers.OnTick(now);
    lost = peers.TakeLost(now);
  }
  EXPECT_EQ(lost, std::vector<NodeId>{"b"});
  EXPECT_LE(now - resumed, GatewayPeers::kPeerTimeout);
}

// Guards against a heartbeat that is read before the first tick after a
// suspension and then counts as if it had arrived later by the duration of the
// suspension.
TEST(GatewayPeersTest, AHeartbeatReadAfterASuspensionIsOfThatMoment) {
  QuietLog log;
  GatewayPeers peers({"self", "", 1}, &log);
  TimeUs now = 100 * kSecond;
  peers.OnTick(now);
  now += 10 * kSecond;
  peers.OnGatewayHeartbeat(now, "a", 1, {});
  peers.OnTick(now);
  now += GatewayPeers::kPeerTimeout + 1;
  EXPECT_EQ(peers.TakeLost(now), std::vector<NodeId>{"a"});
}

// A host that is so short of processor time that every tick is late still
// detects lost gateways, only later.
TEST(GatewayPeersTest, ASlowHostStillDetectsLostPeers) {
  QuietLog log;
  GatewayPeers peers({"self", "", 1}, &log);
  TimeUs now = 100 * kSecond;
  peers.OnTick(now);
  peers.OnGatewayHeartbeat(now, "a", 1, {});
  std::vector<NodeId> lost;
  for (int n = 0; n < 10 && lost.empty(); ++n) {
    now += 2 * GatewayPeers::kMaxTickInterval;
    peers.OnTick(now);
    lost = peers.TakeLost(now);
  }
  EXPECT_EQ(lost, std::vector<NodeId>{"a"});
}

// 30 gateways send heartbeats to all others. Those that do not batch send
// fewer, and have a proportionally longer time limit before they count as lost.
TEST(GatewayPeersTest, SendsHeartbeatsLessOftenAmongMany) {
  QuietLog log;
  GatewayPeers peers({"self", "", 1}, &log);
  const TimeUs now = 100 * kSecond;
  for (int n = 0; n < 6; ++n) {
    peers.OnGatewayHeartbeat(now, "p" + std::to_string(n), 1, {});
  }
  EXPECT_EQ(peers.HeartbeatPeriod(false),
            GatewayPeers::kGatewayHeartbeatPeriod);
  for (int n = 6; n < 30; ++n) {
    peers.OnGatewayHeartbeat(now, "p" + std::to_string(n), 1, {});
  }
  EXPECT_EQ(peers.HeartbeatPeriod(true), GatewayPeers::kGatewayHeartbeatPeriod);
  const DurationUs slow = peers.HeartbeatPeriod(false);
  EXPECT_EQ(slow, 5 * GatewayPeers::kGatewayHeartbeatPeriod);
  EXPECT_EQ(peers.DueHeartbeats(now, slow).size(), 30U);
  EXPECT_TRUE(peers.DueHeartbeats(now + slow - 1, slow).empty());
  // A gateway that begins to batch sends heartbeats with the shorter period at
  // once.
  EXPECT_EQ(peers
                .DueHeartbeats(now + GatewayPeers::kGatewayHeartbeatPeriod,
                               GatewayPeers::kGatewayHeartbeatPeriod)
                .size(),
            30U);
}

TEST(GatewayPeersTest, WaitsLongerForThoseWithALongerHeartbeatPeriod) {
  QuietLog log;
  GatewayPeers peers({"self", "", 1}, &log);
  const TimeUs now = 100 * kSecond;
  GatewayHeartbeat slow;
  slow.period = 5 * GatewayPeers::kGatewayHeartbeatPeriod;
  peers.OnGatewayHeartbeat(now, "slow", 1, slow);
  EXPECT_TRUE(peers.TakeLost(now + 4 * GatewayPeers::kPeerTimeout).empty());
  EXPECT_EQ(peers.TakeLost(now + 6 * GatewayPeers::kPeerTimeout).size(), 1U);
}

TEST(GatewayPeersTest, KnowsWhetherAnotherMayCheckKeys) {
  QuietLog log;
  GatewayPeers peers({"self", "", 1}, &log);
  EXPECT_FALSE(peers.AnyPeerCanCheckKeys());
  GatewayHeartbeat heartbeat;
  heartbeat.can_check_keys = true;
  peers.OnGatewayHeartbeat(0, "a", 1, heartbeat);
  EXPECT_TRUE(peers.AnyPeerCanCheckKeys());
  peers.TakeLost(kSecond);
  EXPECT_FALSE(peers.AnyPeerCanCheckKeys());
}

// The batching gateway is cached between requests. A change of the live
// gateways, or of their processor shares, takes effect at once.
TEST(GatewayPeersTest, FollowsChangesOfWhoBatches) {
  QuietLog log;
  GatewayPeers peers({"self", "", 0.01}, &log);
  EXPECT_EQ(peers.OwnerOf("s"), "self");
  GatewayHeartbeat large;
  large.cores = 100;
  peers.OnGatewayHeartbeat(0, "large", 1, large);
  EXPECT_EQ(peers.OwnerOf("s"), "large");
  peers.OnUnreachable(kSecond, "large");
  EXPECT_EQ(peers.OwnerOf("s"), "self");
  peers.OnGatewayHeartbeat(2 * kSecond, "large", 1, large);
  EXPECT_EQ(peers.OwnerOf("s"), "large");
  large.leaving = true;
  peers.OnGatewayHeartbeat(2 * kSecond, "large", 1, large);
  EXPECT_EQ(peers.OwnerOf("s"), "self");
  large.leaving = false;
  peers.OnGatewayHeartbeat(2 * kSecond, "large", 1, large);
  EXPECT_EQ(peers.OwnerOf("s"), "large");
  peers.TakeLost(10 * kSecond);
  EXPECT_EQ(peers.OwnerOf("s"), "self");
}

// With 8 large hosts and 15 that have a fifth of their processor share, no
// service of any name is batched by a small host, where its requests would
// queue for the processor. When the large hosts leave, the small ones batch.
TEST(GatewayPeersTest, LeavesBatchingToLargeHosts) {
  QuietLog log;
  GatewayPeers peers({"small-0", "", 0.09}, &log);
  const auto heartbeat = [&](const NodeId& node, double cores, bool leaving) {
    GatewayHeartbeat it;
    it.cores = cores;
    it.leaving = leaving;
    peers.OnGatewayHeartbeat(1, node, 1, it);
  };
  for (int n = 1; n < 15; ++n) {
    heartbeat("small-" + std::to_string(n), 0.09, false);
  }
  for (int n = 0; n < 8; ++n) {
    heartbeat("large-" + std::to_string(n), 0.5, false);
  }
  for (int n = 0; n < 1000; ++n) {
    const NodeId& owner = peers.OwnerOf("service-" + std::to_string(n));
    EXPECT_EQ(owner.substr(0, 5), "large") << n;
  }
  for (int n = 0; n < 8; ++n) {
    heartbeat("large-" + std::to_string(n), 0.5, true);
  }
  EXPECT_EQ(peers.OwnerOf("service-1").substr(0, 5), "small");
}

// A leaving gateway finishes the pieces it has but gets no new ones.
TEST(GatewayPeersTest, GivesALeavingGatewayNoNewWork) {
  QuietLog log;
  GatewayPeers peers({"self", "", 1}, &log);
  GatewayHeartbeat leaving;
  leaving.leaving = true;
  peers.OnGatewayHeartbeat(0, "a", 1, leaving);
  for (int n = 0; n < 50; ++n) {
    EXPECT_EQ(peers.OwnerOf("s" + std::to_string(n)), "self");
  }
}

}  // namespace
}  // namespace acaciachute
