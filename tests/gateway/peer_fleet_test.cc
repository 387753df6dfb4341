// Fleets of a hundred gateways and more that watch one another by heartbeats.
#include <gtest/gtest.h>

#include "state/random.h"
#include "tests/gateway/peer_net.h"

namespace acaciachute {
namespace {

// Of a datagram in thirty, at random.
PeerNet::LosesFn LosesAThirtieth(Random* random) {
  return [random](std::size_t, std::size_t) { return random->Below(30) == 0; };
}

// What the caller sees: pieces are made twice and stages begin again on a calm
// day. All gateways live. At the start each sends a heartbeat every 150 ms,
// then, among so many, every 2.5 s; those that were not told so took it for
// silent, sent theirs to it less often, and were taken for silent by it: it
// batched for itself, and told all others at its shorter period, and so on
// without end.
TEST(PeerFleetTest, LiveGatewaysAreNeverCalledSilent) {
  for (const std::size_t n : {18U, 103U, 380U}) {
    PeerNet net(n, n / 6);
    net.Run(10 * kSecond);
    EXPECT_EQ(net.Lost(), 0U) << n;
    for (std::size_t i = 0; i < n; ++i) {
      EXPECT_EQ(net.node(i).peers.Live(), n) << i;
    }
  }
}

// All agree who batches, and a host with a tenth of a core does not.
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

// Heartbeats get lost. Probes find out that their senders live: among the six
// million heartbeats of a minute there is no verdict.
TEST(PeerFleetTest, LostHeartbeatsAreNoLostGateways) {
  Random random(7);
  PeerNet net(103, 18);
  net.SetLoses(LosesAThirtieth(&random));
  net.Run(30 * kSecond);
  EXPECT_EQ(net.Lost(), 0U);
}

// A gateway that batches is killed without a word. All others hear of it within
// the bound for its heartbeats and agree on the next.
TEST(PeerFleetTest, ALostBatcherIsReplacedWithinASecond) {
  PeerNet net(103, 18);
  net.Run(5 * kSecond);
  const NodeId owner = net.node(0).peers.OwnerOf("first");
  const std::size_t killed = std::stoul(owner.substr(1));
  net.node(killed).alive = false;
  net.Run(kSecond);
  const std::size_t asker = killed == 0 ? 1 : 0;
  const NodeId next = net.node(asker).peers.OwnerOf("first");
  EXPECT_NE(next, owner);
  for (std::size_t n = 0; n < net.size(); ++n) {
    if (n != killed) {
      EXPECT_EQ(net.node(n).peers.OwnerOf("first"), next) << n;
    }
  }
}

// A third of the fleet is cut off and returns. Nobody stays unheard.
TEST(PeerFleetTest, HalvesFindEachOtherAgain) {
  PeerNet net(103, 18);
  net.Run(5 * kSecond);
  net.SetLoses([](std::size_t from, std::size_t to) {
    return (from % 3 == 0) != (to % 3 == 0);
  });
  net.Run(15 * kSecond);
  EXPECT_LT(net.node(0).peers.Live(), 103U);
  net.SetLoses(nullptr);
  net.Run(3 * kSecond);
  for (std::size_t n = 0; n < net.size(); ++n) {
    EXPECT_EQ(net.node(n).peers.Live(), 103U) << n;
  }
}

// Load: what a host with a tenth of a core receives. A fleet of 380 costs it no
// more datagrams a second than one of 30.
TEST(PeerFleetTest, HeartbeatsAHostReceivesDoNotGrowWithTheFleet) {
  // A second's mean, over a whole period of those that batch for nobody.
  const auto received = [](std::size_t n) {
    PeerNet net(n, n / 6);
    net.Run(kSecond);
    const auto period = static_cast<std::size_t>(
        GatewayPeers::kGatewayHeartbeatPeriod * static_cast<DurationUs>(n - 1) /
        static_cast<DurationUs>(GatewayPeers::kPeersAtFullRate));
    const std::size_t before = net.heartbeats();
    net.Run(static_cast<DurationUs>(period));
    return (net.heartbeats() - before) * kSecond / n / period;
  };
  constexpr std::size_t kBatchers = 3;
  constexpr std::size_t kAtFullRate =
      kSecond / GatewayPeers::kGatewayHeartbeatPeriod + 1;
  const std::size_t most =
      kAtFullRate * (GatewayPeers::kPeersAtFullRate + kBatchers);
  EXPECT_LE(received(103), most);
  EXPECT_LE(received(380), most);
}

}  // namespace
}  // namespace acaciachute
