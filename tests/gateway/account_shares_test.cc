// Tests how client accounts share a pool that is short of room, over several
// gateways.
#include <gtest/gtest.h>
#include <malloc.h>

#include <ctime>
#include <set>
#include <string>
#include <vector>

#include "protocol/frame.h"
#include "tests/gateway/gateway_rig.h"
#include "tests/gateway/share_fleet.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr std::size_t kGateways = 5;
constexpr double kCapacity = 200;  // Requests per second.
constexpr std::size_t kOthers = 15;
constexpr DurationUs kRunTime = 30 * kSecond;
// Part of the others' requests that must be admitted beside a hot account.
constexpr double kKept = 0.99;
// Part of what admission by arrival takes that shares must take in total.
constexpr double kTotalKept = 0.98;

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Load in parts of the capacity, and the share of a single account in it.
struct Load {
  double total = 1;
  double hot_share = 0;
};
constexpr Load kHotTenfold = {1.525, 0.41};
constexpr Load kLargeAt150 = {1.5, 0.42};
constexpr Load kLargeAt200 = {2, 0.42};

void Apply(const Load& load, ShareFleet* fleet) {
  const double total = load.total * kCapacity;
  fleet->SetLoad(kOthers, total * (1 - load.hot_share), total * load.hot_share);
}

// Total of a run without shares.
std::uint64_t ServedByArrival(const Load& load, std::uint64_t seed) {
  ShareFleet fleet(kGateways, kCapacity, seed);
  Apply(load, &fleet);
  fleet.ShareByArrival();
  fleet.Run(kRunTime);
  return fleet.Served();
}

// Hot account at ten times its share. Guards against the other accounts being
// refused because of it, and against idle replicas because it is refused.
TEST(AccountSharesTest, HotAccountAtTenfoldCostsOthersNothing) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    ShareFleet fleet(kGateways, kCapacity, seed);
    Apply(kHotTenfold, &fleet);
    fleet.Run(kRunTime);
    EXPECT_GE(fleet.ServedOfOthers(), kKept) << "seed " << seed;
    EXPECT_GE(
        static_cast<double>(fleet.Served()),
        kTotalKept * static_cast<double>(ServedByArrival(kHotTenfold, seed)))
        << "seed " << seed;
  }
}

// One account with 42% of the load, at one and a half times the capacity: the
// others need less than the capacity, so they are admitted.
TEST(AccountSharesTest, LargeAccountAtOneAndAHalfTimesTheCapacity) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    ShareFleet fleet(kGateways, kCapacity, seed);
    Apply(kLargeAt150, &fleet);
    fleet.Run(kRunTime);
    EXPECT_GE(fleet.ServedOfOthers(), kKept) << "seed " << seed;
    EXPECT_GE(
        static_cast<double>(fleet.Served()),
        kTotalKept * static_cast<double>(ServedByArrival(kLargeAt150, seed)))
        << "seed " << seed;
  }
}

// The same at twice the capacity: all accounts need more than a share, so each
// gets one.
TEST(AccountSharesTest, LargeAccountAtTwiceTheCapacityLeavesEachAShare) {
  constexpr double kShare = kCapacity / (kOthers + 1);
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    ShareFleet fleet(kGateways, kCapacity, seed);
    Apply(kLargeAt200, &fleet);
    fleet.Run(kRunTime);
    const double due = kKept * kShare * kRunTime / kSecond;
    std::uint64_t others = 0;
    for (std::size_t n = 1; n <= kOthers; ++n) {
      others += fleet.accounts()[n].served;
    }
    EXPECT_GE(static_cast<double>(others), due * kOthers) << "seed " << seed;
    EXPECT_GE(
        static_cast<double>(fleet.Served()),
        kTotalKept * static_cast<double>(ServedByArrival(kLargeAt200, seed)))
        << "seed " << seed;
  }
}

// While room is plentiful, all are admitted and gateways tell nothing.
TEST(AccountSharesTest, PlentifulRoomIsFreeToTake) {
  ShareFleet fleet(kGateways, kCapacity, 1);
  fleet.SetLoad(kOthers, 0.05 * kCapacity, 0.6 * kCapacity);
  fleet.Run(kRunTime);
  EXPECT_EQ(fleet.hot().served, fleet.hot().first_tries);
  EXPECT_EQ(fleet.ServedOfOthers(), 1);
  EXPECT_TRUE(fleet.log.events.empty());
  EXPECT_TRUE(fleet.shares(0).ReportTo(fleet.now(), "peer").empty());
}

// Room that the small accounts leave goes to the one that asks for it.
TEST(AccountSharesTest, RoomThatNobodyNeedsIsFreeToTakeInOverload) {
  ShareFleet fleet(kGateways, kCapacity, 1);
  fleet.SetLoad(kOthers, 0.2 * kCapacity, 1.5 * kCapacity);
  fleet.Run(kRunTime);
  EXPECT_GE(fleet.ServedOfOthers(), kKept);
  EXPECT_GE(static_cast<double>(fleet.hot().served),
            kTotalKept * 0.8 * kCapacity * kRunTime / kSecond);
}

// Clients of the hot account repeat refused requests at once. Guards against
// repeats taking the room of others.
TEST(AccountSharesTest, RepeatsAtOnceCostOthersNothing) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    ShareFleet fleet(kGateways, kCapacity, seed);
    Apply(kHotTenfold, &fleet);
    fleet.hot().repeats = 5;
    fleet.Run(kRunTime);
    EXPECT_GE(fleet.ServedOfOthers(), kKept) << "seed " << seed;
  }
}

// An account with urgent and patient requests is over its share. Its urgent
// ones go first.
TEST(AccountSharesTest, UrgentRequestsOfAnAccountGoBeforeItsPatientOnes) {
  ShareFleet fleet(kGateways, kCapacity, 1);
  Apply(kHotTenfold, &fleet);
  fleet.hot().urgent_share = 0.1;
  fleet.Run(kRunTime);
  const ShareFleet::Account& hot = fleet.hot();
  EXPECT_GE(static_cast<double>(hot.urgent_served),
            kKept * static_cast<double>(hot.urgent_tries));
  EXPECT_LT(hot.served, hot.first_tries / 2);
  EXPECT_GE(fleet.ServedOfOthers(), kKept);
}

// Guards against a gateway that joins in overload and gives the hot account
// all its room until it knows of its debt.
TEST(AccountSharesTest, SharesHoldWhenAGatewayRestartsInOverload) {
  ShareFleet fleet(kGateways, kCapacity, 1);
  Apply(kHotTenfold, &fleet);
  fleet.Run(10 * kSecond);
  fleet.Kill(0);
  fleet.Run(2 * kSecond);
  fleet.ResetCounts();
  fleet.Run(10 * kSecond);
  EXPECT_GE(fleet.ServedOfOthers(), kKept) << "after its death";
  fleet.Restart(0);
  fleet.Run(2 * kSecond);
  fleet.ResetCounts();
  EXPECT_LT(fleet.shares(0).CreditsOf("stage", "account-0"), 1);
  fleet.Run(10 * kSecond);
  EXPECT_GE(fleet.ServedOfOthers(), kKept) << "after its start";
}

// Guards against a gateway that is cut off from the others, and that admits
// the hot account as if it were alone; and against use that counts twice when
// the gateway is back.
TEST(AccountSharesTest, SharesHoldWhenAGatewayIsCutOff) {
  ShareFleet fleet(kGateways, kCapacity, 1);
  Apply(kHotTenfold, &fleet);
  fleet.Run(10 * kSecond);
  fleet.CutOff(0, true);
  fleet.Run(2 * kSecond);
  fleet.ResetCounts();
  fleet.Run(10 * kSecond);
  EXPECT_GE(fleet.ServedOfOthers(), kKept) << "while it is cut off";
  fleet.CutOff(0, false);
  fleet.Run(2 * kSecond);
  fleet.ResetCounts();
  fleet.Run(10 * kSecond);
  EXPECT_GE(fleet.ServedOfOthers(), kKept) << "after it is back";
}

TEST(AccountSharesTest, SharesHoldWhenHeartbeatsAreLost) {
  ShareFleet fleet(kGateways, kCapacity, 1);
  Apply(kHotTenfold, &fleet);
  fleet.SetHeartbeatLoss(0.3);
  fleet.Run(kRunTime);
  EXPECT_GE(fleet.ServedOfOthers(), kKept);
}

// Twenty gateways: each sees a twentieth of a small account's requests.
TEST(AccountSharesTest, SharesHoldOverManyGateways) {
  ShareFleet fleet(20, kCapacity, 1);
  Apply(kHotTenfold, &fleet);
  fleet.Run(kRunTime);
  EXPECT_GE(fleet.ServedOfOthers(), kKept);
}

// Guards against decisions that take longer, and heartbeats that grow, with
// the number of accounts.
TEST(AccountSharesTest, DecidesFastAmong33000Accounts) {
  constexpr std::size_t kAccounts = 33'000;
  constexpr std::size_t kDecisions = 500'000;
  constexpr std::size_t kMaxBytesPerAccount = 400;
  constexpr std::size_t kMaxHeartbeatBytes = 400;
  QuietLog log;
  Metrics metrics;
  Random random(1);
  std::vector<std::string> names;
  for (std::size_t n = 0; n < kAccounts; ++n) {
    names.push_back(StrCat("account-", n));
  }
  const std::size_t bytes_before = HeapBytes();
  AccountShares shares(&random, &metrics, &log);
  const std::vector<PoolDemand> demands = {
      {"stage", kSecond, kSecond / 2, kSecond}};
  TimeUs now = 1000 * kSecond;
  const std::clock_t started = std::clock();
  std::size_t refused = 0;
  for (std::size_t n = 0; n < kDecisions; ++n) {
    // All requests of the accounts of 2 s.
    now += 2 * kSecond / kAccounts;
    const std::string& account = names[random.Below(kAccounts)];
    if (shares.MayTake(now, account, demands).may_take) {
      shares.OnAdmitted(now, account, demands);
      if (n % 4 != 0) {
        shares.OnAnswer(now, "stage");
      }
    } else {
      ++refused;
    }
  }
  const double microseconds =
      1e6 * static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
  const std::size_t bytes = HeapBytes() - bytes_before;
  GatewayHeartbeat heartbeat;
  const std::size_t bare = EncodeFrame({"g", 1, 1, heartbeat}, "key").size();
  heartbeat.pool_use = shares.ReportTo(now, "peer");
  const std::size_t told =
      EncodeFrame({"g", 1, 1, heartbeat}, "key").size() - bare;
  RecordProperty("ns_per_decision",
                 static_cast<int>(1000 * microseconds / kDecisions));
  RecordProperty("bytes_per_account", static_cast<int>(bytes / kAccounts));
  RecordProperty("heartbeat_bytes", static_cast<int>(told));
  RecordProperty("refused", static_cast<int>(refused));
#ifdef __OPTIMIZE__
  constexpr double kMaxMicroseconds = 2;
  EXPECT_LT(microseconds / kDecisions, kMaxMicroseconds);
#endif
  EXPECT_LT(bytes / kAccounts, kMaxBytesPerAccount);
  EXPECT_GT(told, 0U);
  EXPECT_LT(told, kMaxHeartbeatBytes);
}

// Guards against an old report that counts twice: heartbeats are repeated,
// reordered and lost, and a sender restarts.
TEST(PoolUseTest, EachAdmissionCountsOnce) {
  OwnPoolUse own;
  PeerPoolUse peer;
  TimeUs now = 1000 * kSecond;
  const auto count = [&](const std::vector<PoolUse>& report,
                         Incarnation incarnation) {
    int n = 0;
    for (const PoolUse& use : report) {
      for (const AccountUse& it :
           peer.OnReport(now, "a", incarnation, use).admitted) {
        n += it.admitted;
      }
    }
    return n;
  };
  own.OnAdmitted(now, 7);
  const auto first = own.Report(now, 16);
  own.OnAdmitted(now, 7);
  own.Report(now, 16);  // Lost.
  own.OnAdmitted(now, 7);
  const auto third = own.Report(now, 16);
  EXPECT_EQ(count(third, 1), 3);
  EXPECT_EQ(count(first, 1), 0);  // It was overtaken.
  EXPECT_EQ(count(third, 1), 0);
  now += OwnPoolUse::kWindow;
  own.OnAdmitted(now, 7);
  EXPECT_EQ(count(own.Report(now, 16), 1), 1);
  EXPECT_EQ(count(third, 1), 0);
  EXPECT_EQ(count(third, 2), 3);  // Another process under the same name.
  now += 5 * OwnPoolUse::kWindow;
  EXPECT_EQ(count(third, 1), 0);
  EXPECT_EQ(peer.size(), 0U);
  own.OnAdmitted(now, 7);
  EXPECT_EQ(count(own.Report(now, 16), 1), 1);
}

// More accounts than a report holds: the heaviest first, then all by turns.
TEST(PoolUseTest, ReportsTheHeaviestFirstAndAllByTurns) {
  OwnPoolUse own;
  const TimeUs now = 1000 * kSecond;
  for (AccountIndex account = 0; account < 40; ++account) {
    own.OnAdmitted(now, account);
  }
  own.OnAdmitted(now, 39);
  std::set<AccountIndex> told;
  for (int n = 0; n < 3; ++n) {
    const auto report = own.Report(now, 16);
    ASSERT_EQ(report.size(), 1U);
    ASSERT_EQ(report[0].accounts.size(), 16U);
    if (n == 0) {
      EXPECT_EQ(report[0].accounts[0].account, 39U);
    }
    for (const AccountUse& it : report[0].accounts) {
      told.insert(it.account);
    }
  }
  EXPECT_EQ(told.size(), 40U);
}

// Guards against a refusal at the gateway that is not said to be one by the
// account's share, and against the account's debt hitting another one.
TEST(AccountSharesTest, GatewayRefusesTheAccountWhoseShareIsUsedUp) {
  GatewayRig rig;
  rig.AddReplica("engine-0", "engine");
  auto config = GatewayRig::Config(2);
  config->AddAccount({"small", {}}, {"k2"});
  rig.core.OnConfig(config);
  // Requests are admitted although they will be late.
  rig.wait.in_time.fill(300 * kMillisecond);
  rig.wait.late = 10 * kMillisecond;
  rig.Call("staged", "k2", {1, 1});
  constexpr int kCalls = 20;
  std::vector<ExchangeId> calls;
  calls.reserve(kCalls);
  for (int n = 0; n < kCalls; ++n) {
    calls.push_back(rig.Call("staged", "k1", {1, 1}));
  }
  const ExchangeId small = rig.Call("staged", "k2", {1, 1});
  EXPECT_FALSE(rig.refused.contains(small));
  ASSERT_TRUE(rig.refused.contains(calls.back()));
  const LocalReply& refusal = rig.refused[calls.back()];
  EXPECT_EQ(refusal.reason, Refusal::kOverShare);
  EXPECT_EQ(refusal.verdict, Verdict::kNotRun);
  EXPECT_GT(refusal.retry_after, 0);
  EXPECT_TRUE(Contains(refusal.detail, "the share of acme"));
  EXPECT_TRUE(rig.log.Saw("pool_scarce"));
  // Once waits are short, nobody is refused.
  rig.wait = {};
  const ExchangeId later = rig.Call("staged", "k1", {1, 1});
  EXPECT_FALSE(rig.refused.contains(later));
}

}  // namespace
}  // namespace acaciachute
