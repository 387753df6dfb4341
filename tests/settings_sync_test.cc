// Settings reach every entry in time, never go down, and a node that cannot
// show that it is current takes no new work.
#include "coordination/settings/settings_sync.h"

#include <gtest/gtest.h>

#include "tests/property.h"
#include "tests/settings_net.h"

namespace acaciachute {
namespace {

constexpr DurationUs kPromise = 5 * kSecond;

bool AllServe(const SettingsNet& net, int nodes) {
  for (int n = 0; n < nodes; ++n) {
    if (!net.Serves(n)) {
      return false;
    }
  }
  return true;
}

TEST(SettingsSyncTest, ChangeIsEverywhereWithinThePromise) {
  constexpr int kNodes = 60;
  SettingsNet net(kNodes, 1);
  ASSERT_EQ(net.Change("depot", 1), 1U);
  net.Run(kPromise);
  EXPECT_TRUE(AllServe(net, kNodes));
  for (int round = 2; round < 10; ++round) {
    const SettingsVersion version = net.Change("depot", round);
    net.Run(kPromise);
    for (int n = 0; n < kNodes; ++n) {
      EXPECT_EQ(net.VersionAt(n, "depot"), version) << n;
    }
  }
}

// Few nodes read: three readers once a second, and now and then one more that
// heard nothing fresh in time.
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

// The platform is down for an hour. Each node hears from a majority that nobody
// has anything newer, so all go on; the change made after the outage
// is everywhere in time.
TEST(SettingsSyncTest, HourOfOutageStopsNobody) {
  constexpr int kNodes = 5;
  SettingsNet net(kNodes, 3);
  net.Change("depot", 1);
  net.Run(kPromise);
  net.table.down = true;
  bool all = true;
  net.on_step = [&] { all = all && AllServe(net, kNodes); };
  net.Run(3600 * kSecond);
  EXPECT_TRUE(all);
  net.table.down = false;
  net.Change("depot", 2);
  net.Run(kPromise);
  EXPECT_TRUE(all);
  for (int n = 0; n < kNodes; ++n) {
    EXPECT_EQ(net.VersionAt(n, "depot"), 2U);
  }
}

// The outage shows as silence instead of refusals, with a fifth of all
// datagrams lost. Nothing waits for the silent reads to end.
TEST(SettingsSyncTest, SilentOutageWithLossStopsNobody) {
  constexpr int kNodes = 5;
  SettingsNet net(kNodes, 4);
  net.Change("depot", 1);
  net.Run(kPromise);
  net.lost_percent = 20;
  for (int n = 0; n < kNodes; ++n) {
    net.cut_from_table.insert(n);
  }
  bool all = true;
  net.on_step = [&] { all = all && AllServe(net, kNodes); };
  net.Run(600 * kSecond);
  EXPECT_TRUE(all);
}

// One node loses both the table and its peers, and a change is accepted. It
// cannot tell that from an outage by itself; alone it is no majority, so it
// stops taking work before five seconds are over, and takes it again, under the
// new version, once it is heard.
TEST(SettingsSyncTest, CutNodeStopsBeforeThePromiseBreaks) {
  SettingsNet net(3, 5);
  net.Change("depot", 1);
  net.Run(kPromise);
  net.CutOff(2);
  net.Run(500 * kMillisecond);
  net.Change("depot", 2);
  const TimeUs accepted = net.now;
  net.on_step = [&] {
    const bool old = net.Serves(2) && net.VersionAt(2, "depot") < 2;
    EXPECT_FALSE(old && net.now > accepted + kPromise);
  };
  net.Run(60 * kSecond);
  EXPECT_FALSE(net.Serves(2));
  EXPECT_TRUE(net.Serves(0) && net.Serves(1));
  net.Heal();
  net.Run(kPromise);
  EXPECT_TRUE(net.Serves(2));
  EXPECT_EQ(net.VersionAt(2, "depot"), 2U);
}

// A minority loses the table and the others, but not one another. Two of five
// that agree are no majority: they stop as well.
TEST(SettingsSyncTest, CutMinorityIsNoOutage) {
  SettingsNet net(5, 6);
  net.Change("depot", 1);
  net.Run(kPromise);
  for (int a : {3, 4}) {
    net.cut_from_table.insert(a);
    for (int b : {0, 1, 2}) {
      net.cuts.emplace(a, b);
      net.cuts.emplace(b, a);
    }
  }
  net.Run(kPromise);
  EXPECT_FALSE(net.Serves(3) || net.Serves(4));
  EXPECT_TRUE(net.Serves(0) && net.Serves(1) && net.Serves(2));
}

// A process sleeps for a minute while versions change. Answers to its old
// questions wait in its sockets and are handled first on waking; they prove
// nothing, because their age counts from when it asked.
TEST(SettingsSyncTest, PausedNodeWakesWithoutServingOldSettings) {
  for (int offset = 0; offset < 40; ++offset) {
    SettingsNet net(3, 7);
    net.Change("depot", 1);
    net.Run(kPromise + offset * SettingsNet::kStep);
    net.Pause(1, true);
    net.Run(60 * kSecond);
    net.Change("depot", 2);
    net.Run(kPromise);
    net.Pause(1, false);
    EXPECT_TRUE(!net.Serves(1) || net.VersionAt(1, "depot") == 2U) << offset;
    net.on_step = [&] {
      EXPECT_TRUE(!net.Serves(1) || net.VersionAt(1, "depot") == 2U);
    };
    net.Run(kPromise);
    EXPECT_TRUE(net.Serves(1));
  }
}

// Entries 0 and 2 hold version 2; entry 1 was cut off and has version 1. Then 0
// restarts and reaches only 1. Both agree on version 1, but 0 has forgotten
// what it held and counts for nothing: neither may serve, or the accepted
// change would revert where it was already served.
TEST(SettingsSyncTest, RestartedWitnessDoesNotMakeUpAMajority) {
  SettingsNet net(3, 10);
  net.Change("depot", 1);
  net.Run(kPromise);
  net.CutOff(1);
  net.Change("depot", 2);
  net.Run(2 * kSecond);
  ASSERT_EQ(net.VersionAt(0, "depot"), 2U);
  ASSERT_EQ(net.VersionAt(2, "depot"), 2U);
  net.Kill(0);
  net.Heal();
  net.CutOff(2);
  net.cut_from_table = {0, 1};
  net.Start(0);
  net.on_step = [&] { EXPECT_FALSE(net.Serves(0)); };
  net.Run(60 * kSecond);
  EXPECT_EQ(net.VersionAt(0, "depot"), 1U);
  EXPECT_FALSE(net.Serves(1));
}

// A process starts with nothing while the platform is down; its peers give it
// the tree and, with it, a majority that has nothing newer.
TEST(SettingsSyncTest, NodeJoinsDuringAnOutage) {
  SettingsNet net(3, 8);
  net.Change("depot", 1);
  net.Change("office", 1);
  net.Run(kPromise);
  net.Kill(2);
  net.table.down = true;
  net.Run(60 * kSecond);
  net.Start(2);
  net.Run(kPromise);
  EXPECT_TRUE(net.Serves(2));
  EXPECT_EQ(net.VersionAt(2, "office"), 1U);
}

// Entries restart in turn while operators change branches. What a successor
// serves under is never older than what its predecessor served under.
TEST(SettingsSyncTest, RestartsInTurnNeverGoBack) {
  constexpr int kNodes = 4;
  SettingsNet net(kNodes, 9);
  net.Change("depot", 1);
  net.Run(kPromise);
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
  net.Run(kPromise);
  EXPECT_TRUE(AllServe(net, kNodes));
}

// Whatever happens in whatever order, the version that a request would see at
// a node never goes down, and none is served 5 s after a newer one was taken by
// the table, unless the table was down before a majority could read it.
TEST(SettingsSyncProperty, VersionsNeverGoDown) {
  constexpr int kNodes = 3;
  CheckProperty("versions never go down", 20261202, 100, [] {
    SettingsNet net(kNodes, *rc::gen::arbitrary<std::uint32_t>());
    net.Change("depot", 1);
    net.Run(kPromise);
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
                  net.now <= newer->second + kPromise);
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
          net.CutOff(n);
          break;
        case 3:
          net.Heal();
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
