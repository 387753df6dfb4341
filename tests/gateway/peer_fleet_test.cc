// Tests fleets of more than a hundred gateways that watch one another by
// heartbeats.
#include <gtest/gtest.h>

#include "state/random.h"
#include "tests/gateway/peer_net.h"

namespace acaciachute {
namespace {

// Loses one datagram in thirty, at random.
PeerNet::LossFn LoseOneInThirty(Random* random) {
  return [random](std::size_t, std::size_t) { return random->Below(30) == 0; };
}

// Guards against pieces that run twice, and stages that start again, although
// all gateways are alive. At the start each gateway sends a heartbeat every 150
// ms and later, in a large fleet, every 2.5 s. Peers that were not informed of
// the longer period took the gateway for dead and sent it fewer heartbeats, so
// it took them for dead too, batched for itself and announced its shorter
// period to all others, without end.
TEST(PeerFleetTest, LiveGatewaysAreNeverTakenForDead) {
  for (const std::size_t n : {18U, 103U, 380U}) {
    PeerNet net(n, n / 6);
    net.Run(10 * kSecond);
    EXPECT_EQ(net.LostCount(), 0U) << n;
    for (std::size_t i = 0; i < n; ++i) {
      EXPECT_EQ(net.node(i).peers.LiveCount(), n) << i;
    }
  }
}

// All gateways agree on which one batches.
TEST(PeerFleetTest, OneGatewayBatchesAService) {
  PeerNet net(103, 18);
  net.Run(5 * kSecond);
  for (const char* service : {"first", "second", "third"}) {
    const NodeId owner = net.node(0).peers.OwnerOf(service);
    for (std::size_t n = 1; n < net.size(); ++n) {
      EXPECT_EQ(net.node(n).peers.OwnerOf(service), owner) << n;
    }
  }
}

// Some heartbeats are lost. Probes show that their senders are alive: among the
// six million heartbeats of a minute no gateway is taken for dead.
TEST(PeerFleetTest, LostHeartbeatsAreNoLostGateways) {
  Random random(7);
  PeerNet net(103, 18);
  net.SetLoss(LoseOneInThirty(&random));
  net.Run(30 * kSecond);
  EXPECT_EQ(net.LostCount(), 0U);
}

// The batching gateway is killed. All others detect it within the bound for its
// heartbeats and agree on the next one.
TEST(PeerFleetTest, ALostBatcherIsReplacedWithinASecond) {
  PeerNet net(103, 18);
  net.Run(5 * kSecond);
  const NodeId owner = net.node(0).peers.OwnerOf("first");
  const std::size_t killed = std::stoul(owner.substr(1));
  net.node(killed).alive = false;
  net.Run(kSecond);
  const std::size_t observer = killed == 0 ? 1 : 0;
  const NodeId next = net.node(observer).peers.OwnerOf("first");
  EXPECT_NE(next, owner);
  for (std::size_t n = 0; n < net.size(); ++n) {
    if (n != killed) {
      EXPECT_EQ(net.node(n).peers.OwnerOf("first"), next) << n;
    }
  }
}

// A network partition cuts off a third of the fleet and ends. All gateways see
// each other again.
TEST(PeerFleetTest, PartitionedGatewaysReconnect) {
  PeerNet net(103, 18);
  net.Run(5 * kSecond);
  net.SetLoss([](std::size_t from, std::size_t to) {
    return (from % 3 == 0) != (to % 3 == 0);
  });
  net.Run(15 * kSecond);
  EXPECT_LT(net.node(0).peers.LiveCount(), 103U);
  net.SetLoss(nullptr);
  net.Run(3 * kSecond);
  for (std::size_t n = 0; n < net.size(); ++n) {
    EXPECT_EQ(net.node(n).peers.LiveCount(), 103U) << n;
  }
}

// A fleet of 380 gateways causes no more datagrams per second at a host with a
// tenth of a core than one of 30.
TEST(PeerFleetTest, HeartbeatsAHostReceivesDoNotGrowWithTheFleet) {
  // Mean per second over a full heartbeat period of the gateways that do not
  // batch.
  const auto received = [](std::size_t n) {
    PeerNet net(n, n / 6);
    net.Run(kSecond);
    const auto period = static_cast<std::size_t>(
        GatewayPeers::kGatewayHeartbeatPeriod * static_cast<DurationUs>(n - 1) /
        static_cast<DurationUs>(GatewayPeers::kMaxPeersAtFullRate));
    const std::size_t before = net.heartbeats_sent();
    net.Run(static_cast<DurationUs>(period));
    return (net.heartbeats_sent() - before) * kSecond / n / period;
  };
  constexpr std::size_t kBatchers = 3;
  constexpr std::size_t kAtFullRate =
      kSecond / GatewayPeers::kGatewayHeartbeatPeriod + 1;
  const std::size_t max_received =
      kAtFullRate * (GatewayPeers::kMaxPeersAtFullRate + kBatchers);
  EXPECT_LE(received(103), max_received);
  EXPECT_LE(received(380), max_received);
}

}  // namespace
}  // namespace acaciachute
