// Tests how long after the store's acknowledgement of a change a gateway still
// acts on the state before it.
#include "coordination/tables/freshness_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <tuple>

#include "coordination/tables/remote_clock.h"
#include "tests/gateway/table_net.h"

namespace acaciachute {
namespace {

// Time after which no new request may reach a replica that left.
constexpr DurationUs kMaxStaleness = TableNet::kMaxStaleness;
// Part of the bound for the steps after a choice: connecting, and the transfer
// to the replica.
constexpr DurationUs kDispatchTime = kMaxStaleness / 4;

// The running gateways that reach the store.
std::vector<std::size_t> GatewaysReachingStore(TableNet* net) {
  std::vector<std::size_t> reaching;
  for (std::size_t n = 0; n < net->size(); ++n) {
    const TableNet::Node& it = net->node(n);
    if (it.store_behavior == TableNet::StoreBehavior::kServes && it.alive &&
        !it.frozen) {
      reaching.push_back(n);
    }
  }
  return reaching;
}

// Returns the time until no gateway that reaches the store would choose the
// replica.
DurationUs TimeUntilNoneChooses(TableNet* net, const std::string& replica) {
  return net->RunUntil(
      [&] {
        const auto reaching = GatewaysReachingStore(net);
        return std::none_of(reaching.begin(), reaching.end(), [&](auto n) {
          return net->node(n).directory->TakesWork(replica);
        });
      },
      20 * kSecond);
}

// Guards against a gateway that reaches the store but uses a replica list
// without a limit on its age, because the gateway that it asks has lost the
// store without noticing.
TEST(FreshnessTest, ReplicaListStaysFreshAlthoughTheRelayLostTheStore) {
  TableNet net(23, 4);
  net.Run(5 * kSecond);
  net.StopStoreAnswers(net.Relays().front());
  DurationUs oldest = 0;
  for (int n = 0; n < 600; ++n) {
    net.Run(TableNet::kTick);
    for (const std::size_t it : GatewaysReachingStore(&net)) {
      oldest = std::max(oldest, net.Age(it));
    }
  }
  EXPECT_LE(oldest, kMaxStaleness - kDispatchTime);
}

// Guards against a gateway that keeps a replica whose row was removed, as
// during an outage of the store, although only its relay had lost the store.
TEST(FreshnessTest, ARemovedReplicaIsNotKeptBecauseTheRelayLostTheStore) {
  TableNet net(23, 4);
  net.Write("replica-1", "1");
  net.Write("replica-2", "1");
  net.Run(5 * kSecond);
  net.StopStoreAnswers(net.Relays().front());
  net.Run(TableNet::kTick);
  net.Remove("replica-1");
  EXPECT_LE(TimeUntilNoneChooses(&net, "replica-1"),
            kMaxStaleness - kDispatchTime);
}

// Faults of the gateway that others ask.
enum class RelayFault {
  kLostStore,
  kRefused,
  kFrozen,
  kIsolated,
  kOneWayPartition,
  kSlow,
  kKilled,
};
inline constexpr std::array<std::string_view, 7> kRelayFaultNames = {
    "LostStore", "TurnedAway", "Frozen", "CutFromAll",
    "CutOneWay", "Slow",       "Killed"};
std::string_view Name(RelayFault v) {
  return detail::NameIn(kRelayFaultNames, v);
}

class FreshnessBoundTest
    : public ::testing::TestWithParam<std::tuple<DurationUs, RelayFault>> {
 protected:
  void InjectFault(TableNet* net, std::size_t relay) {
    switch (std::get<RelayFault>(GetParam())) {
      case RelayFault::kLostStore:
        net->StopStoreAnswers(relay);
        return;
      case RelayFault::kRefused:
        net->node(relay).store_behavior = TableNet::StoreBehavior::kRefuses;
        return;
      case RelayFault::kFrozen:
        net->node(relay).frozen = true;
        return;
      case RelayFault::kIsolated:
        net->StopStoreAnswers(relay);
        net->SetPartition([=](std::size_t from, std::size_t to) {
          return from == relay || to == relay;
        });
        return;
      case RelayFault::kOneWayPartition:
        net->SetPartition(
            [=](std::size_t from, std::size_t) { return from == relay; });
        return;
      case RelayFault::kSlow:
        // Runs in one of a hundred ticks.
        net->StopStoreAnswers(relay);
        net->node(relay).runs_every = 100;
        return;
      case RelayFault::kKilled:
        net->Kill(relay);
        return;
    }
  }
  static void ClearFault(TableNet* net, std::size_t relay) {
    net->node(relay).store_behavior = TableNet::StoreBehavior::kServes;
    net->node(relay).frozen = false;
    net->node(relay).runs_every = 1;
    net->SetPartition(nullptr);
    if (!net->node(relay).alive) {
      net->Restart(relay);
    }
  }
};

// Guards against a removed replica being chosen after the staleness bound,
// because the delays between the store and a gateway add up to more. Checks
// several bounds and each fault of the relay that is asked.
TEST_P(FreshnessBoundTest, RemovedReplicasAreNotChosenAfterTheBound) {
  const DurationUs bound = std::get<DurationUs>(GetParam());
  // The removal happens at a different time in each.
  constexpr int kRounds = 8;
  const FreshnessPlan plan = PlanFreshness(bound, 4 * kSecond);
  TableNet net(23, 4, plan);
  // As slow as the plan allows, less the tick that the model takes to check.
  net.SetLatency(plan.store_answer_time - TableNet::kTick);
  for (int n = 0; n < kRounds; ++n) {
    net.Write("replica-" + std::to_string(n), "1");
  }
  net.Run(5 * kSecond);
  for (int n = 0; n < kRounds; ++n) {
    const std::vector<std::size_t> relays = net.Relays();
    const std::size_t relay =
        relays[static_cast<std::size_t>(n) % relays.size()];
    InjectFault(&net, relay);
    net.Run(n * bound / kRounds);
    const std::string replica = "replica-" + std::to_string(n);
    net.Remove(replica);
    EXPECT_LE(TimeUntilNoneChooses(&net, replica), bound - plan.dispatch_time)
        << n;
    ClearFault(&net, relay);
    net.Run(TableNet::kRecoveryBound + n * bound / 70);
  }
  EXPECT_TRUE(net.violations().empty()) << net.violations().front();
}

INSTANTIATE_TEST_SUITE_P(
    AllBounds,
    FreshnessBoundTest,
    ::testing::Combine(::testing::Values(kMinFreshnessBound,
                                         500 * kMillisecond,
                                         kSecond,
                                         2 * kSecond,
                                         3 * kSecond,
                                         4 * kSecond,
                                         10 * kSecond),
                       ::testing::Values(RelayFault::kLostStore,
                                         RelayFault::kRefused,
                                         RelayFault::kFrozen,
                                         RelayFault::kIsolated,
                                         RelayFault::kOneWayPartition,
                                         RelayFault::kSlow,
                                         RelayFault::kKilled)),
    [](const auto& info) {
      return std::string(Name(std::get<RelayFault>(info.param))) +
             std::to_string(std::get<DurationUs>(info.param) / kMillisecond);
    });

class FreshnessContactTest : public ::testing::TestWithParam<DurationUs> {};

// Guards against a gateway that waits for the answer to a request lost during a
// store outage and so sends no new request for longer than the settings allow.
TEST_P(FreshnessContactTest,
       TableIsCurrentWithinTheRecoveryBoundAfterAnOutage) {
  const DurationUs recovery_bound = GetParam();
  constexpr int kRounds = 12;
  const FreshnessPlan plan = PlanFreshness(kMaxStaleness, recovery_bound);
  TableNet net(23, 4, plan);
  net.SetLatency(plan.store_answer_time - TableNet::kTick);
  net.Run(5 * kSecond);
  for (int n = 0; n < kRounds; ++n) {
    for (std::size_t it = 0; it < net.size(); ++it) {
      net.StopStoreAnswers(it);
    }
    net.Run(kMaxStaleness + n * recovery_bound / kRounds);
    const std::string value = std::to_string(n + 1);
    net.Write("config", value);
    net.SetStoreBehavior(TableNet::StoreBehavior::kServes);
    const auto known = [&] { return net.AllHold("config", value); };
    EXPECT_LE(net.RunUntil(known, 20 * kSecond), recovery_bound) << n;
    net.Run(TableNet::kRecoveryBound + n * 70 * kMillisecond);
  }
  EXPECT_TRUE(net.violations().empty()) << net.violations().front();
}

INSTANTIATE_TEST_SUITE_P(AllContacts,
                         FreshnessContactTest,
                         ::testing::Values(kMinFreshnessBound,
                                           500 * kMillisecond,
                                           kSecond,
                                           3 * kSecond,
                                           10 * kSecond));

// Guards against a store whose answers are all ignored because each takes
// longer than a host waits, so that all hosts keep their old tables.
TEST(FreshnessTest, AnswersOfASlowStoreAreUsed) {
  TableNet net(23, 4);
  net.Run(5 * kSecond);
  constexpr DurationUs kSlow = 1500 * kMillisecond;
  net.SetLatency(kSlow);
  net.Run(10 * kSecond);
  DurationUs oldest = 0;
  for (int n = 0; n < 1500; ++n) {
    net.Run(TableNet::kTick);
    oldest = std::max(oldest, net.OldestAge());
  }
  // The time of three answers: a new request is sent at once, is answered, and
  // the answer of the previous one comes before it.
  EXPECT_LE(oldest, 3 * kSlow);
  net.Write("config", "1");
  EXPECT_LE(
      net.RunUntil([&] { return net.AllHold("config", "1"); }, 20 * kSecond),
      3 * kSlow);
  EXPECT_TRUE(net.violations().empty()) << net.violations().front();
}

// Links of 10 and 200 Mbit/s, of which requests take a fifth.
constexpr TableNet::LinkRates kThinLinks = {1e6, 20e6};
// Processor time that reading a kilobyte of a configuration takes.
constexpr DurationUs kReadTimePerKilobyte = 100;

// A configuration as the model's operator writes it: a line with its version
// and a line for each of `routes` routes, in order of their names.
std::string MakeConfiguration(int version, int routes) {
  constexpr std::size_t kBytesPerRoute = 170;
  constexpr int kFirstRoute = 100'000;
  std::string text = std::to_string(version);
  for (int n = 0; n < routes; ++n) {
    std::string line = "\nroute-" + std::to_string(kFirstRoute + n) + ' ';
    line.resize(kBytesPerRoute, 'x');
    text += line;
  }
  return text;
}

// Guards against a host on a thin link that serves by an old configuration for
// seconds: the transfer of a large one took longer than the host waits, so it
// gave the transfer up and began it again elsewhere, which filled the link.
TEST(FreshnessTest, ChangesOfALargeConfigurationArriveInTimeOnThinLinks) {
  constexpr int kRoutesPerGrowth = 1400;
  constexpr int kGrowths = 3;
  TableNet net(23, 4);
  net.SetLinkRates(kThinLinks);
  net.SetReadTimePerKilobyte(kReadTimePerKilobyte);
  int version = 1;
  int routes = 50;
  const auto change_and_wait = [&] {
    const std::string value = MakeConfiguration(++version, routes);
    net.Write("config", value);
    const auto known = [&] { return net.AllHold("config", value); };
    EXPECT_LE(net.RunUntil(known, 20 * kSecond), kMaxStaleness)
        << routes << " routes, version " << version;
  };
  net.Run(5 * kSecond);
  for (int n = 0; n < kGrowths; ++n) {
    routes += kRoutesPerGrowth;
    change_and_wait();
    ++routes;
    change_and_wait();
    net.Run(5 * kSecond);
  }
  EXPECT_TRUE(net.violations().empty()) << net.violations().front();
}

// Guards against a host that never has a configuration, or never a current one,
// because the store's answer takes longer to arrive than the host waits for it.
TEST(FreshnessTest, AHostWithoutPeersReceivesALargeConfiguration) {
  constexpr int kRoutes = 20'000;
  constexpr DurationUs kTransferTime = 7 * kSecond;
  TableNet net(1, 1);
  net.SetLinkRates({kThinLinks.small, kThinLinks.small});
  const auto known_after_write = [&](int version) {
    const std::string value = MakeConfiguration(version, kRoutes);
    net.Write("config", value);
    return net.RunUntil([&] { return net.AllHold("config", value); },
                        20 * kSecond);
  };
  EXPECT_LE(known_after_write(2), kTransferTime);
  const std::size_t calls = net.calls();
  EXPECT_LE(known_after_write(3), kTransferTime);
  // The transfer is not begun again while it goes on.
  EXPECT_LE(net.calls() - calls, 5U);
}

class ConfigurationBoundTest
    : public ::testing::TestWithParam<std::tuple<DurationUs, int>> {};

// Guards against a host that serves by a replaced configuration after the
// bound, because no time limit of a transfer or of reading holds for any size.
// All routes change in each round; hosts may refuse, but not serve by what they
// had.
TEST_P(ConfigurationBoundTest, NoHostServesByAReplacedConfigurationAfterIt) {
  const auto [bound, routes] = GetParam();
  constexpr int kRounds = 3;
  const FreshnessPlan plan = PlanFreshness(bound, 4 * kSecond);
  TableNet net(12, 2, plan);
  net.SetLinkRates(kThinLinks);
  net.SetReadTimePerKilobyte(kReadTimePerKilobyte);
  net.Run(5 * kSecond);
  for (int n = 1; n <= kRounds; ++n) {
    std::string value = MakeConfiguration(n, routes);
    std::replace(value.begin(), value.end(), 'x', static_cast<char>('a' + n));
    net.Write("config", value);
    for (TimeUs end = net.now() + bound + 8 * kSecond; net.now() < end;) {
      net.Run(TableNet::kTick);
      for (std::size_t it = 0; it < net.size(); ++it) {
        ASSERT_FALSE(net.ServesByOldConfig(it, bound))
            << net.node(it).name << " in round " << n;
      }
    }
  }
  EXPECT_TRUE(net.violations().empty()) << net.violations().front();
}

INSTANTIATE_TEST_SUITE_P(
    AllBoundsAndSizes,
    ConfigurationBoundTest,
    ::testing::Combine(::testing::Values(kMinFreshnessBound,
                                         kSecond,
                                         3 * kSecond,
                                         10 * kSecond),
                       ::testing::Values(1, 1'000, 8'000)));

// An outage of the store stops nobody from serving: no newer configuration is
// known then. One that a host still got before the outage reaches the others.
TEST(FreshnessTest, HostsServeOnInAnOutageAndPassANewerConfigurationOn) {
  TableNet net(12, 2);
  net.Run(5 * kSecond);
  const std::size_t relay = net.Relays().front();
  for (std::size_t it = 0; it < net.size(); ++it) {
    if (it != relay) {
      net.StopStoreAnswers(it);
    }
  }
  net.Write("config", "1");
  net.Run(50 * kMillisecond);
  net.StopStoreAnswers(relay);
  EXPECT_LE(
      net.RunUntil([&] { return net.AllHold("config", "1"); }, 20 * kSecond),
      2 * kSecond);
  net.Run(20 * kSecond);
  for (std::size_t it = 0; it < net.size(); ++it) {
    EXPECT_TRUE(net.node(it).freshness.MayServe(net.now())) << it;
    EXPECT_FALSE(net.node(it).freshness.MayDeny(net.now())) << it;
  }
}

// The sum of all time limits stays within the bounds, for any values of the
// bounds.
RC_GTEST_PROP(FreshnessPlanTest, WaitsAddUpToLessThanTheBound, ()) {
  const auto ms =
      rc::gen::inRange<DurationUs>(kMinFreshnessBound / kMillisecond, 100'000);
  const DurationUs bound = *ms * kMillisecond;
  const DurationUs recovery_bound = *ms * kMillisecond;
  const FreshnessPlan plan = PlanFreshness(bound, recovery_bound);
  RC_ASSERT(plan.WorstCaseStaleness() <= bound);
  RC_ASSERT(plan.RecoveryTime() <= recovery_bound);
  RC_ASSERT(plan.StatementDelay() < bound);
  RC_ASSERT(plan.Connect() <= plan.dispatch_time / 2);
  // A working store never exceeds the time limit, and a failing one is detected
  // in time.
  RC_ASSERT(plan.store_answer_time < plan.store_timeout);
  RC_ASSERT(plan.store_timeout + plan.max_retry_delay <
            plan.store_retry_period);
  // Working gateways need not ask the store themselves.
  RC_ASSERT(plan.store_hold_time > 0);
  RC_ASSERT(plan.store_hold_time + plan.settle_delay < plan.store_request_age);
}

// A store that holds a request reports when it answered, and no answer is taken
// for newer than it is, whatever the store's clock shows.
RC_GTEST_PROP(RemoteClockTest, NeverPutsAMomentTooLate, ()) {
  RemoteClock clock;
  TimeUs now = 1000 * kSecond;
  DurationUs behind = 500 * kSecond;
  const int steps = *rc::gen::inRange(1, 50);
  for (int n = 0; n < steps; ++n) {
    if (*rc::gen::weightedElement<bool>({{9, false}, {1, true}})) {
      // The store restarted: its clock is further behind.
      behind += *rc::gen::inRange<DurationUs>(0, 100) * kSecond;
    }
    const TimeUs sent_at = now;
    const TimeUs answered_at =
        sent_at + *rc::gen::inRange<DurationUs>(1, 1500) * kMillisecond;
    now = answered_at + *rc::gen::inRange<DurationUs>(1, 300) * kMillisecond;
    const TimeUs local_time =
        clock.LocalTimeOf(answered_at - behind, sent_at, now);
    RC_ASSERT(local_time >= sent_at);
    RC_ASSERT(local_time <= answered_at);
  }
}

TEST(RemoteClockTest, ComputesWhenAHeldRequestWasAnswered) {
  RemoteClock clock;
  constexpr DurationUs kBehind = 70 * kSecond;
  const TimeUs first = 100 * kSecond;
  clock.LocalTimeOf(first + kMillisecond - kBehind, first,
                    first + 2 * kMillisecond);
  const TimeUs sent_at = first + kSecond;
  const TimeUs answered_at = sent_at + kSecond;
  EXPECT_GE(clock.LocalTimeOf(answered_at - kBehind, sent_at,
                              answered_at + kMillisecond),
            answered_at - 5 * kMillisecond);
}

// If the remote clock jumps ahead, no answer is placed in the future.
TEST(RemoteClockTest, DiscardsTheBoundWhenTheRemoteClockJumpsAhead) {
  RemoteClock clock;
  clock.LocalTimeOf(5 * kSecond, 100 * kSecond, 100 * kSecond + 1);
  EXPECT_EQ(clock.LocalTimeOf(500 * kSecond, 101 * kSecond, 102 * kSecond),
            101 * kSecond);
}

}  // namespace
}  // namespace acaciachute
