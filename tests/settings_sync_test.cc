// Tests that settings reach every entry in time, that versions never decrease,
// and that a node that cannot prove that its settings are in force accepts no
// new work.
#include "coordination/settings/settings_sync.h"

#include <gtest/gtest.h>

#include "tests/property.h"
#include "tests/settings_net.h"

namespace acaciachute {
namespace {

constexpr DurationUs kChangeBound = 5 * kSecond;

bool AllServe(const SettingsNet& net, int nodes) {
  for (int n = 0; n < nodes; ++n) {
    if (!net.Serves(n)) {
      return false;
    }
  }
  return true;
}

TEST(SettingsSyncTest, ChangeReachesAllNodesWithinTheBound) {
  constexpr int kNodes = 60;
  SettingsNet net(kNodes, 1);
  ASSERT_EQ(net.Change("depot", 1), 1U);
  net.Run(kChangeBound);
  EXPECT_TRUE(AllServe(net, kNodes));
  for (int round = 2; round < 10; ++round) {
    const SettingsVersion version = net.Change("depot", round);
    net.Run(kChangeBound);
    for (int n = 0; n < kNodes; ++n) {
      EXPECT_EQ(net.VersionAt(n, "depot"), version) << n;
    }
  }
}

// Few nodes read the table: three readers once a second, and occasionally one
// more that received no recent proof in time.
TEST(SettingsSyncTest, FewNodesReadTheTable) {
  constexpr int kNodes = 60;
  SettingsNet net(kNodes, 2);
  net.Change("depot", 1);
  net.Run(10 * kSecond);
  const auto before = net.metrics.Value("acaciachute_settings_reads_total");
  net.Run(60 * kSecond);
  const auto reads =
      net.metrics.Value("acaciachute_settings_reads_total") - before;
  EXPECT_LT(reads, 60U * kNodes / 4);
}

// The platform is down for an hour. Each node learns from a majority that none
// has a newer version, so all continue; the change made after the outage
// reaches all nodes in time.
TEST(SettingsSyncTest, HourOfOutageStopsNoNode) {
  constexpr int kNodes = 5;
  SettingsNet net(kNodes, 3);
  net.Change("depot", 1);
  net.Run(kChangeBound);
  net.table.down = true;
  bool all_served = true;
  net.on_step = [&] { all_served = all_served && AllServe(net, kNodes); };
  net.Run(3600 * kSecond);
  EXPECT_TRUE(all_served);
  net.table.down = false;
  net.Change("depot", 2);
  net.Run(kChangeBound);
  EXPECT_TRUE(all_served);
  for (int n = 0; n < kNodes; ++n) {
    EXPECT_EQ(net.VersionAt(n, "depot"), 2U);
  }
}

// During the outage reads are not answered instead of refused, and a fifth of
// all datagrams is lost. No node waits for the unanswered reads to end.
TEST(SettingsSyncTest, UnansweredOutageWithLossStopsNoNode) {
  constexpr int kNodes = 5;
  SettingsNet net(kNodes, 4);
  net.Change("depot", 1);
  net.Run(kChangeBound);
  net.lost_percent = 20;
  for (int n = 0; n < kNodes; ++n) {
    net.disconnected_from_table.insert(n);
  }
  bool all_served = true;
  net.on_step = [&] { all_served = all_served && AllServe(net, kNodes); };
  net.Run(600 * kSecond);
  EXPECT_TRUE(all_served);
}

// One node loses the table and its peers, and a change is accepted. The node
// cannot distinguish that from an outage; alone it is not a majority, so it
// stops accepting work within five seconds, and accepts it again, under the new
// version, once it is reconnected.
TEST(SettingsSyncTest, IsolatedNodeStopsWithinTheBound) {
  SettingsNet net(3, 5);
  net.Change("depot", 1);
  net.Run(kChangeBound);
  net.Isolate(2);
  net.Run(500 * kMillisecond);
  net.Change("depot", 2);
  const TimeUs accepted = net.now;
  net.on_step = [&] {
    const bool old = net.Serves(2) && net.VersionAt(2, "depot") < 2;
    EXPECT_FALSE(old && net.now > accepted + kChangeBound);
  };
  net.Run(60 * kSecond);
  EXPECT_FALSE(net.Serves(2));
  EXPECT_TRUE(net.Serves(0) && net.Serves(1));
  net.Reconnect();
  net.Run(kChangeBound);
  EXPECT_TRUE(net.Serves(2));
  EXPECT_EQ(net.VersionAt(2, "depot"), 2U);
}

// A minority loses the table and the other nodes, but not one another. Two of
// five that agree are no majority: they stop as well.
TEST(SettingsSyncTest, IsolatedMinorityStops) {
  SettingsNet net(5, 6);
  net.Change("depot", 1);
  net.Run(kChangeBound);
  for (int a : {3, 4}) {
    net.disconnected_from_table.insert(a);
    for (int b : {0, 1, 2}) {
      net.blocked.emplace(a, b);
      net.blocked.emplace(b, a);
    }
  }
  net.Run(kChangeBound);
  EXPECT_FALSE(net.Serves(3) || net.Serves(4));
  EXPECT_TRUE(net.Serves(0) && net.Serves(1) && net.Serves(2));
}

// A process is suspended for a minute while versions change. Answers to its old
// requests wait in its sockets and are handled first when it resumes; they are
// no proof, because their age counts from when the request was sent.
TEST(SettingsSyncTest, PausedNodeDoesNotServeOldSettings) {
  for (int offset = 0; offset < 40; ++offset) {
    SettingsNet net(3, 7);
    net.Change("depot", 1);
    net.Run(kChangeBound + offset * SettingsNet::kStep);
    net.Pause(1, true);
    net.Run(60 * kSecond);
    net.Change("depot", 2);
    net.Run(kChangeBound);
    net.Pause(1, false);
    EXPECT_TRUE(!net.Serves(1) || net.VersionAt(1, "depot") == 2U) << offset;
    net.on_step = [&] {
      EXPECT_TRUE(!net.Serves(1) || net.VersionAt(1, "depot") == 2U);
    };
    net.Run(kChangeBound);
    EXPECT_TRUE(net.Serves(1));
  }
}

// Entries 0 and 2 have version 2; entry 1 was disconnected and has version 1.
// Then 0 restarts and reaches only 1. Both agree on version 1, but 0 has lost
// its state and does not count as a witness: neither may serve, or the accepted
// change would be reverted where it was already served.
TEST(SettingsSyncTest, RestartedWitnessDoesNotCountForAMajority) {
  SettingsNet net(3, 10);
  net.Change("depot", 1);
  net.Run(kChangeBound);
  net.Isolate(1);
  net.Change("depot", 2);
  net.Run(2 * kSecond);
  ASSERT_EQ(net.VersionAt(0, "depot"), 2U);
  ASSERT_EQ(net.VersionAt(2, "depot"), 2U);
  net.Kill(0);
  net.Reconnect();
  net.Isolate(2);
  net.disconnected_from_table = {0, 1};
  net.Start(0);
  net.on_step = [&] { EXPECT_FALSE(net.Serves(0)); };
  net.Run(60 * kSecond);
  EXPECT_EQ(net.VersionAt(0, "depot"), 1U);
  EXPECT_FALSE(net.Serves(1));
}

// A process starts without settings while the platform is down; its peers send
// it the tree, and confirm as a majority that none has a newer version.
TEST(SettingsSyncTest, NodeJoinsDuringAnOutage) {
  SettingsNet net(3, 8);
  net.Change("depot", 1);
  net.Change("office", 1);
  net.Run(kChangeBound);
  net.Kill(2);
  net.table.down = true;
  net.Run(60 * kSecond);
  net.Start(2);
  net.Run(kChangeBound);
  EXPECT_TRUE(net.Serves(2));
  EXPECT_EQ(net.VersionAt(2, "office"), 1U);
}

// Entries restart in turn while operators change branches. A restarted entry
// never serves under an older version than before its restart.
TEST(SettingsSyncTest, RestartsInTurnNeverDecreaseVersions) {
  constexpr int kNodes = 4;
  SettingsNet net(kNodes, 9);
  net.Change("depot", 1);
  net.Run(kChangeBound);
  std::vector<SettingsVersion> served(kNodes, 0);
  net.on_step = [&] {
    for (int n = 0; n < kNodes; ++n) {
      if (net.Serves(n)) {
        const auto version = net.VersionAt(n, "depot");
        EXPECT_GE(version, served[n]);
        served[n] = std::max(served[n], version);
      }
    }
  };
  for (int n = 0; n < 3 * kNodes; ++n) {
    net.Change("depot", n + 2);
    net.Run(700 * kMillisecond);
    net.Kill(n % kNodes);
    net.Run(200 * kMillisecond);
    net.Start(n % kNodes);
    net.Run(kSecond);
  }
  net.Run(kChangeBound);
  EXPECT_TRUE(AllServe(net, kNodes));
}

// Whatever happens in any order, the version that a request would be served
// under at a node never decreases, and no version is served 5 s after the table
// accepted a newer one, unless the table was down before a majority could read
// it.
TEST(SettingsSyncProperty, VersionsNeverGoDown) {
  constexpr int kNodes = 3;
  CheckProperty("versions never go down", 20261202, 100, [] {
    SettingsNet net(kNodes, *rc::gen::arbitrary<std::uint32_t>());
    net.Change("depot", 1);
    net.Run(kChangeBound);
    std::vector<SettingsVersion> served(kNodes, 0);
    std::map<SettingsVersion, TimeUs> accepted;
    bool down = false;
    bool ever_down = false;
    net.on_step = [&] {
      for (int n = 0; n < kNodes; ++n) {
        if (!net.Serves(n)) {
          continue;
        }
        const auto version = net.VersionAt(n, "depot");
        RC_ASSERT(version >= served[n]);
        served[n] = version;
        const auto newer = accepted.upper_bound(version);
        RC_ASSERT(ever_down || newer == accepted.end() ||
                  net.now <= newer->second + kChangeBound);
      }
    };
    const auto steps = *rc::gen::container<std::vector<int>>(
        12, rc::gen::inRange(0, 8 * kNodes));
    for (const int step : steps) {
      const int n = step % kNodes;
      switch (step / kNodes) {
        case 0:
          if (const auto version = net.Change("depot", 2); version != 0) {
            accepted[version] = net.now;
          }
          break;
        case 1:
          if (net.Alive(n)) {
            net.Kill(n);
          } else {
            net.Start(n);
          }
          break;
        case 2:
          net.Isolate(n);
          break;
        case 3:
          net.Reconnect();
          break;
        case 4:
          net.Pause(n, true);
          break;
        case 5:
          net.Pause(n, false);
          break;
        case 6:
          down = !down;
          ever_down = ever_down || down;
          net.table.down = down;
          break;
        default:
          net.lost_percent = net.lost_percent == 0 ? 20 : 0;
          break;
      }
      net.Run(1500 * kMillisecond);
    }
  });
}

}  // namespace
}  // namespace acaciachute
