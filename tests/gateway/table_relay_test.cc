// Tests gateways that follow a table of the store through one another, so that
// only few ask the store.
#include <gtest/gtest.h>

#include "tests/gateway/table_net.h"

namespace acaciachute {
namespace {

// Keys may be used until the configuration is this old.
constexpr DurationUs kKeyAge = 4500 * kMillisecond;
// Time within which gateways detect that the relay they ask is lost, and ask
// another one.
constexpr DurationUs kRelayReplacementTime = kSecond;

void ExpectNoViolations(const TableNet& net) {
  EXPECT_TRUE(net.violations().empty()) << net.violations().front();
}

// With a hundred gateways and no faults, the number of calls to the store grows
// with the failure domains and not with the gateways, and all gateways keep the
// table well within the bound.
TEST(TableRelayTest, FewAskTheStore) {
  for (const std::size_t n : {24U, 103U}) {
    TableNet net(n, 6);
    net.Run(5 * kSecond);
    const std::size_t before = net.calls();
    net.Run(15 * kSecond);
    EXPECT_LE(net.calls() - before, 6 * 15U) << n;
    EXPECT_LT(net.OldestAge(), TableNet::kMaxTableAge);
    ExpectNoViolations(net);
  }
}

// 30 replicas start one after the other, 30 ms apart. Every gateway has each
// row within a second, and the store is asked only a few times.
TEST(TableRelayTest, ChangesReachAllGateways) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  const std::size_t before = net.calls();
  for (int n = 0; n < 30; ++n) {
    net.Write("r" + std::to_string(n), "1");
    net.Run(30 * kMillisecond);
  }
  const DurationUs took =
      net.RunUntil([&] { return net.AllHold("r29", "1"); }, 5 * kSecond);
  EXPECT_LE(took, kSecond);
  EXPECT_LE(net.calls() - before, 6 * 15U);
  ExpectNoViolations(net);
}

// Guards against gateways that refuse all requests with keys because the relay
// from which they read the configuration was killed.
TEST(TableRelayTest, AKilledRelayIsReplaced) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  for (const std::size_t it : net.Relays()) {
    net.Kill(it);
  }
  net.Write("config", "1");
  const DurationUs took =
      net.RunUntil([&] { return net.AllHold("config", "1"); }, 10 * kSecond);
  EXPECT_LE(took, kRelayReplacementTime);
  ExpectNoViolations(net);
}

// A frozen relay neither answers nor closes its connections. When it resumes,
// the answers that it held are late and older than the tables of its followers.
TEST(TableRelayTest, AFrozenRelayIsReplacedAndItsLateAnswersAreIgnored) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  const std::vector<std::size_t> relays = net.Relays();
  for (const std::size_t it : relays) {
    net.node(it).frozen = true;
  }
  net.Write("config", "1");
  DurationUs oldest = 0;
  for (int n = 0; n < 100; ++n) {
    net.Run(100 * kMillisecond);
    oldest = std::max(oldest, net.OldestAge());
  }
  EXPECT_LT(oldest, kKeyAge);
  EXPECT_TRUE(net.AllHold("config", "1"));
  for (const std::size_t it : relays) {
    net.node(it).frozen = false;
  }
  net.Run(5 * kSecond);
  EXPECT_LT(net.OldestAge(), kKeyAge);
  ExpectNoViolations(net);
}

// The store refuses half of the relays, or does not answer them, and serves the
// other gateways. No gateway's table becomes older than the bound.
TEST(TableRelayTest, RefusedRelaysStayCurrentThroughOthers) {
  for (const auto store_behavior : {TableNet::StoreBehavior::kRefuses,
                                    TableNet::StoreBehavior::kNoAnswer}) {
    TableNet net(103, 6);
    net.Run(5 * kSecond);
    const std::vector<std::size_t> relays = net.Relays();
    for (std::size_t n = 0; n < relays.size() / 2; ++n) {
      net.node(relays[n]).store_behavior = store_behavior;
    }
    DurationUs oldest = 0;
    for (int n = 0; n < 150; ++n) {
      net.Run(100 * kMillisecond);
      oldest = std::max(oldest, net.OldestAge());
    }
    EXPECT_LT(oldest, kKeyAge);
    ExpectNoViolations(net);
  }
}

// The store refuses all relays: some of the other gateways ask the store
// themselves.
TEST(TableRelayTest, AStoreThatRefusesAllRelaysIsAskedByOthers) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  for (const std::size_t it : net.Relays()) {
    net.node(it).store_behavior = TableNet::StoreBehavior::kRefuses;
  }
  net.Write("config", "1");
  const DurationUs took =
      net.RunUntil([&] { return net.AllHold("config", "1"); }, 10 * kSecond);
  EXPECT_LE(took, kKeyAge);
  ExpectNoViolations(net);
}

// Guards against gateways that serve no requests for seconds after an outage
// has ended. The store does not answer any gateway for 8 s. The gateways do not
// overload it meanwhile, and when it answers again, all are current within a
// second.
TEST(TableRelayTest, AllAreCurrentSoonAfterAnOutage) {
  for (const auto store_behavior : {TableNet::StoreBehavior::kRefuses,
                                    TableNet::StoreBehavior::kNoAnswer}) {
    TableNet net(103, 6);
    net.Run(5 * kSecond);
    const std::size_t before = net.calls();
    net.SetStoreBehavior(store_behavior);
    net.Run(8 * kSecond);
    EXPECT_LE(net.calls() - before, 8 * 60U);
    net.SetStoreBehavior(TableNet::StoreBehavior::kServes);
    net.Write("config", "1");
    const TimeUs back = net.now();
    // An age counts from the request: one tick each for the store's answer, the
    // relay's answer and the two requests, and one for the drift of the clocks.
    constexpr DurationUs kTransitTime = 5 * TableNet::kTick;
    const DurationUs took = net.RunUntil(
        [&] {
          return net.AllHold("config", "1") &&
                 net.OldestAge() <= net.now() - back + kTransitTime;
        },
        5 * kSecond);
    EXPECT_LE(took, kSecond);
    ExpectNoViolations(net);
  }
}

// All gateways are killed and start one after the other, while rows of a large
// table change. Guards against gateways that receive the complete table a
// second time because they started before their relay, which occupies the
// relay's network link for seconds.
TEST(TableRelayTest, AStartReadsTheTableOnce) {
  TableNet net(103, 6);
  for (std::size_t n = 0; n < net.size(); ++n) {
    net.Write("row-" + std::to_string(n), "0");
  }
  net.Run(5 * kSecond);
  const std::size_t read = net.complete_reads();
  const std::size_t replied = net.complete_replies();
  for (std::size_t n = 0; n < net.size(); ++n) {
    net.Kill(n);
  }
  net.Run(kSecond);
  for (std::size_t n = 0; n < net.size(); ++n) {
    net.Restart(n * 37 % net.size());
    net.Write("row-" + std::to_string(n), "1");
    net.Run(TableNet::kTick);
  }
  net.Run(5 * kSecond);
  EXPECT_LE(net.complete_reads() - read + net.complete_replies() - replied,
            net.size());
  ExpectNoViolations(net);
}

// The store stops answering all gateways. Requests with keys are served only
// while the configuration is recent enough, so it must be recent at any moment
// at which an outage may begin: of the five seconds for which a revoked key may
// be used, three must be left at every gateway. Hold times of a fifth of that
// bound achieve it, with a few calls per second.
TEST(TableRelayTest, AnOutageFindsKeysUsableForMostOfTheirBound) {
  constexpr DurationUs kRevocation = 5 * kSecond;
  FreshnessPlan plan =
      PlanFreshness(TableNet::kMaxStaleness, TableNet::kRecoveryBound);
  plan.store_hold_time = kRevocation / 5;
  TableNet net(103, 6, plan);
  net.Run(5 * kSecond);
  const std::size_t before = net.calls();
  for (int n = 0; n < 100; ++n) {
    net.Run(70 * kMillisecond);
    EXPECT_LE(net.OldestAge(), kKeyAge - kRevocation * 3 / 5);
  }
  EXPECT_LE(net.calls() - before, 7 * 6 * 3U);
  ExpectNoViolations(net);
}

// The store drops its history. The relays read the complete table; the other
// gateways receive the changes from them.
TEST(TableRelayTest, OnlyRelaysReadTheTableAgain) {
  TableNet net(103, 6);
  net.Write("r1", "1");
  net.Run(5 * kSecond);
  const std::size_t before = net.complete_reads();
  net.Write("r2", "1");
  net.Remove("r1");
  net.DropHistory();
  net.Run(5 * kSecond);
  EXPECT_TRUE(net.AllHold("r2", "1"));
  for (std::size_t n = 0; n < net.size(); ++n) {
    EXPECT_FALSE(net.node(n).rows.contains("r1")) << n;
  }
  EXPECT_LE(net.complete_reads() - before, 6U);
  ExpectNoViolations(net);
}

// Guards against requests that find no replica because a gateway that had to
// read the complete table received an empty or older table from a relay and
// replaced its own.
TEST(TableRelayTest, AnOlderTableIsNotSent) {
  struct Output : TableRelayOutput {
    void SendToPeer(const NodeId&, const Message& message) override {
      replies.push_back(std::get<TableReply>(message));
    }
    std::vector<TableReply> replies;
  } output;
  TableRelay relay("t", &output);
  TableRequest whole;
  whole.table = "t";
  whole.whole = true;
  relay.OnTableRequest(kSecond, "a", whole);
  relay.OnTable({{"k", "v", 3, false}}, 5);
  relay.OnCurrent(kSecond, 5);
  whole.after = 9;
  relay.OnTableRequest(kSecond, "a", whole);
  whole.after = 5;
  relay.OnTableRequest(kSecond, "a", whole);
  ASSERT_EQ(output.replies.size(), 3U);
  EXPECT_EQ(output.replies[0].answer.kind, TableAnswer::Kind::kFailed);
  EXPECT_EQ(output.replies[1].answer.kind, TableAnswer::Kind::kFailed);
  EXPECT_EQ(output.replies[2].answer.rows.size(), 1U);
}

// A network partition divides the fleet in two: each part has its own relays.
TEST(TableRelayTest, PartitionedHalvesFollowTheStoreSeparately) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  net.SetPartition([](std::size_t from, std::size_t to) {
    return (from < 50) != (to < 50);
  });
  DurationUs oldest = 0;
  for (int n = 0; n < 150; ++n) {
    net.Run(100 * kMillisecond);
    oldest = std::max(oldest, net.OldestAge());
  }
  EXPECT_LT(oldest, kKeyAge);
  net.Write("config", "1");
  EXPECT_LE(
      net.RunUntil([&] { return net.AllHold("config", "1"); }, 5 * kSecond),
      kSecond);
  ExpectNoViolations(net);
}

// A partition in one direction: messages from the relays are lost, messages to
// them arrive.
TEST(TableRelayTest, ARelayWithAOneWayPartitionIsReplaced) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  const std::vector<std::size_t> relays = net.Relays();
  net.SetPartition([&](std::size_t from, std::size_t) {
    return std::find(relays.begin(), relays.end(), from) != relays.end();
  });
  DurationUs oldest = 0;
  for (int n = 0; n < 100; ++n) {
    net.Run(100 * kMillisecond);
    oldest = std::max(oldest, net.OldestAge());
  }
  EXPECT_LT(oldest, kKeyAge);
  ExpectNoViolations(net);
}

// All processes are killed and start again. They find the store and then one
// another, and each asks the store for the table only once.
TEST(TableRelayTest, AMassRestartDoesNotOverloadTheStore) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  for (std::size_t n = 0; n < net.size(); ++n) {
    net.Kill(n);
  }
  net.Run(kSecond);
  const std::size_t before = net.calls();
  for (std::size_t n = 0; n < net.size(); ++n) {
    net.Restart(n);
  }
  const DurationUs took =
      net.RunUntil([&] { return net.OldestAge() < 2 * kSecond; }, 5 * kSecond);
  EXPECT_LE(took, kSecond);
  net.Run(2 * kSecond);
  EXPECT_LE(net.calls() - before, 103 + 6 * 10U);
  ExpectNoViolations(net);
}

// Random faults, simultaneous and successive: kills, restarts, freezes,
// refusals and outages of the store, partitions, dropped history, rows that are
// written and removed. The invariants hold at every tick, and after the faults
// all gateways become current.
TEST(TableRelayTest, InvariantsHoldUnderRandomFaults) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    TableNet net(24, 3);
    std::uint64_t partition = 0;
    net.SetPartition([&](std::size_t from, std::size_t to) {
      return partition != 0 && from != to &&
             (from * 31 + to * 17) % 7 < partition;
    });
    net.Run(3 * kSecond);
    for (int n = 0; n < 60; ++n) {
      const std::size_t who = random.Below(net.size());
      switch (random.Below(8)) {
        case 0:
          net.Kill(who);
          break;
        case 1:
          net.Restart(who);
          break;
        case 2:
          net.node(who).frozen = !net.node(who).frozen;
          break;
        case 3:
          net.node(who).store_behavior =
              static_cast<TableNet::StoreBehavior>(random.Below(3));
          break;
        case 4:
          partition = random.Below(3);
          break;
        case 5:
          net.DropHistory();
          break;
        case 6:
          net.Remove("config");
          break;
        default:
          net.Write("r" + std::to_string(random.Below(5)), std::to_string(n));
          break;
      }
      net.Write("config", std::to_string(n));
      net.Run(static_cast<DurationUs>(random.Below(600)) * kMillisecond);
    }
    partition = 0;
    net.SetStoreBehavior(TableNet::StoreBehavior::kServes);
    for (std::size_t n = 0; n < net.size(); ++n) {
      net.node(n).frozen = false;
      if (!net.node(n).alive) {
        net.Restart(n);
      }
    }
    net.Write("config", "1000");
    net.Run(8 * kSecond);
    EXPECT_TRUE(net.AllHold("config", "1000")) << seed;
    EXPECT_LT(net.OldestAge(), TableNet::kMaxTableAge) << seed;
    ASSERT_TRUE(net.violations().empty())
        << seed << ": " << net.violations().front();
  }
}

}  // namespace
}  // namespace acaciachute
