// How long after the store's acknowledgement a gateway still goes by what was
// true before.
#include "coordination/tables/freshness_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <tuple>

#include "coordination/tables/remote_clock.h"
#include "tests/gateway/table_net.h"

namespace acaciachute {
namespace {

// After which nothing new may reach a replica that left.
constexpr DurationUs kBound = TableNet::kBound;
// Of it, for what follows a choice: a connection, and the way to the replica.
constexpr DurationUs kUntilThere = kBound / 4;

// Gateways that reach the store, whoever else does not.
std::vector<std::size_t> InTouch(TableNet* net) {
  std::vector<std::size_t> in_touch;
  for (std::size_t n = 0; n < net->size(); ++n) {
    const TableNet::Node& it = net->node(n);
    if (it.mood == TableNet::Mood::kServes && it.alive && !it.frozen) {
      in_touch.push_back(n);
    }
  }
  return in_touch;
}

// Until no gateway in touch would choose the replica any more.
DurationUs UntilNoneChooses(TableNet* net, const std::string& replica) {
  return net->RunUntil(
      [&] {
        const auto in_touch = InTouch(net);
        return std::none_of(in_touch.begin(), in_touch.end(), [&](auto n) {
          return net->node(n).directory->TakesWork(replica);
        });
      },
      20 * kSecond);
}

// Guards against: a gateway that reaches the store goes by a list of any age,
// because the gateway that it asks has lost the store and has not noticed.
TEST(FreshnessTest, AListIsYoungAlthoughTheRelayLostTheStore) {
  TableNet net(23, 4);
  net.Run(5 * kSecond);
  net.Silence(net.Relays().front());
  DurationUs oldest = 0;
  for (int n = 0; n < 600; ++n) {
    net.Run(TableNet::kTick);
    for (const std::size_t it : InTouch(&net)) {
      oldest = std::max(oldest, net.Age(it));
    }
  }
  EXPECT_LE(oldest, kBound - kUntilThere);
}

// Guards against: a gateway keeps a replica whose row is gone as if the store
// had been away, when only the gateway that it asked had lost the store.
TEST(FreshnessTest, ARemovedReplicaIsNotKeptBecauseTheRelayLostTheStore) {
  TableNet net(23, 4);
  net.Write("replica-1", "1");
  net.Write("replica-2", "1");
  net.Run(5 * kSecond);
  net.Silence(net.Relays().front());
  net.Run(TableNet::kTick);
  net.Remove("replica-1");
  EXPECT_LE(UntilNoneChooses(&net, "replica-1"), kBound - kUntilThere);
}

// What may be wrong with the gateway that others ask.
enum class Trouble {
  kLostStore,
  kTurnedAway,
  kFrozen,
  kCutFromAll,
  kCutOneWay,
  kSlow,
  kKilled,
};
inline constexpr std::array<std::string_view, 7> kTroubleNames = {
    "LostStore", "TurnedAway", "Frozen", "CutFromAll",
    "CutOneWay", "Slow",       "Killed"};
std::string_view Name(Trouble v) {
  return detail::NameIn(kTroubleNames, v);
}

class FreshnessBoundTest
    : public ::testing::TestWithParam<std::tuple<DurationUs, Trouble>> {
 protected:
  void Begin(TableNet* net, std::size_t relay) {
    switch (std::get<Trouble>(GetParam())) {
      case Trouble::kLostStore:
        net->Silence(relay);
        return;
      case Trouble::kTurnedAway:
        net->node(relay).mood = TableNet::Mood::kTurnsAway;
        return;
      case Trouble::kFrozen:
        net->node(relay).frozen = true;
        return;
      case Trouble::kCutFromAll:
        net->Silence(relay);
        net->SetCut([=](std::size_t from, std::size_t to) {
          return from == relay || to == relay;
        });
        return;
      case Trouble::kCutOneWay:
        net->SetCut(
            [=](std::size_t from, std::size_t) { return from == relay; });
        return;
      case Trouble::kSlow:
        // Runs for one tick in a hundred.
        net->Silence(relay);
        net->node(relay).runs_every = 100;
        return;
      case Trouble::kKilled:
        net->Kill(relay);
        return;
    }
  }
  static void End(TableNet* net, std::size_t relay) {
    net->node(relay).mood = TableNet::Mood::kServes;
    net->node(relay).frozen = false;
    net->node(relay).runs_every = 1;
    net->SetCut(nullptr);
    if (!net->node(relay).alive) {
      net->Restart(relay);
    }
  }
};

// Guards against: waits along the way from the store add up to more than a
// bound allows, at some value of the bound, whatever befalls the gateway that
// is asked.
TEST_P(FreshnessBoundTest, NothingIsChosenThatLeftLongerAgoThanTheBoundAllows) {
  const DurationUs bound = std::get<DurationUs>(GetParam());
  constexpr int kRounds = 8;  // The removal at another moment in each.
  const FreshnessPlan plan = PlanFreshness(bound, 4 * kSecond);
  TableNet net(23, 4, plan);
  // As slow as the plan allows; the model looks once a tick.
  net.SetLatency(plan.store_answer - TableNet::kTick);
  for (int n = 0; n < kRounds; ++n) {
    net.Write("replica-" + std::to_string(n), "1");
  }
  net.Run(5 * kSecond);
  for (int n = 0; n < kRounds; ++n) {
    const std::vector<std::size_t> relays = net.Relays();
    const std::size_t relay =
        relays[static_cast<std::size_t>(n) % relays.size()];
    Begin(&net, relay);
    net.Run(n * bound / kRounds);
    const std::string replica = "replica-" + std::to_string(n);
    net.Remove(replica);
    EXPECT_LE(UntilNoneChooses(&net, replica), bound - plan.act) << n;
    End(&net, relay);
    net.Run(TableNet::kContact + n * bound / 70);
  }
  EXPECT_TRUE(net.faults().empty()) << net.faults().front();
}

INSTANTIATE_TEST_SUITE_P(
    AllBounds,
    FreshnessBoundTest,
    ::testing::Combine(::testing::Values(kLeastFreshnessBound,
                                         500 * kMillisecond,
                                         kSecond,
                                         2 * kSecond,
                                         3 * kSecond,
                                         4 * kSecond,
                                         10 * kSecond),
                       ::testing::Values(Trouble::kLostStore,
                                         Trouble::kTurnedAway,
                                         Trouble::kFrozen,
                                         Trouble::kCutFromAll,
                                         Trouble::kCutOneWay,
                                         Trouble::kSlow,
                                         Trouble::kKilled)),
    [](const auto& info) {
      return std::string(Name(std::get<Trouble>(info.param))) +
             std::to_string(std::get<DurationUs>(info.param) / kMillisecond);
    });

class FreshnessContactTest : public ::testing::TestWithParam<DurationUs> {};

// Guards against: a request that was lost while the store could not be reached
// keeps a host from asking anew, for longer than the settings give it.
TEST_P(FreshnessContactTest, WhatTheStoreHoldsIsKnownInTimeAfterItIsBack) {
  const DurationUs contact = GetParam();
  constexpr int kRounds = 12;
  const FreshnessPlan plan = PlanFreshness(kBound, contact);
  TableNet net(23, 4, plan);
  net.SetLatency(plan.store_answer - TableNet::kTick);
  net.Run(5 * kSecond);
  for (int n = 0; n < kRounds; ++n) {
    for (std::size_t it = 0; it < net.size(); ++it) {
      net.Silence(it);
    }
    net.Run(kBound + n * contact / kRounds);
    const std::string value = std::to_string(n + 1);
    net.Write("config", value);
    net.SetMood(TableNet::Mood::kServes);
    const auto known = [&] { return net.AllHold("config", value); };
    EXPECT_LE(net.RunUntil(known, 20 * kSecond), contact) << n;
    net.Run(TableNet::kContact + n * 70 * kMillisecond);
  }
  EXPECT_TRUE(net.faults().empty()) << net.faults().front();
}

INSTANTIATE_TEST_SUITE_P(AllContacts,
                         FreshnessContactTest,
                         ::testing::Values(kLeastFreshnessBound,
                                           500 * kMillisecond,
                                           kSecond,
                                           3 * kSecond,
                                           10 * kSecond));

// Guards against: a store that takes longer for each answer than a host waits
// is never heard, and all go on with what they knew.
TEST(FreshnessTest, ASlowStoreIsHeard) {
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
  // Asked at once, answered, and the answer of the request before it.
  EXPECT_LE(oldest, 3 * kSlow);
  net.Write("config", "1");
  EXPECT_LE(
      net.RunUntil([&] { return net.AllHold("config", "1"); }, 20 * kSecond),
      3 * kSlow);
  EXPECT_TRUE(net.faults().empty()) << net.faults().front();
}

// The sum of all waits, at any value of the bounds.
RC_GTEST_PROP(FreshnessPlanTest, WaitsAddUpToLessThanTheBound, ()) {
  const auto ms = rc::gen::inRange<DurationUs>(
      kLeastFreshnessBound / kMillisecond, 100'000);
  const DurationUs bound = *ms * kMillisecond;
  const DurationUs contact = *ms * kMillisecond;
  const FreshnessPlan plan = PlanFreshness(bound, contact);
  RC_ASSERT(plan.Sum() <= bound);
  RC_ASSERT(plan.Recovery() <= contact);
  // A store that works is no failure, and one that fails is so in time.
  RC_ASSERT(plan.store_answer < plan.store_in_time);
  RC_ASSERT(plan.store_in_time + plan.most_pause < plan.store_again);
  // Gateways that work need not ask the store themselves.
  RC_ASSERT(plan.store_wait > 0);
  RC_ASSERT(plan.store_wait + plan.settle < plan.ask_store);
}

// A store that holds a request tells when it answered, and nothing is taken for
// newer than it is, whatever its clock shows.
RC_GTEST_PROP(RemoteClockTest, NeverPutsAMomentTooLate, ()) {
  RemoteClock clock;
  TimeUs now = 1000 * kSecond;
  DurationUs behind = 500 * kSecond;
  const int steps = *rc::gen::inRange(1, 50);
  for (int n = 0; n < steps; ++n) {
    if (*rc::gen::weightedElement<bool>({{9, false}, {1, true}})) {
      // It started anew: its clock is behind by more.
      behind += *rc::gen::inRange<DurationUs>(0, 100) * kSecond;
    }
    const TimeUs sent_at = now;
    const TimeUs answered_at =
        sent_at + *rc::gen::inRange<DurationUs>(1, 1500) * kMillisecond;
    now = answered_at + *rc::gen::inRange<DurationUs>(1, 300) * kMillisecond;
    const TimeUs told = clock.LocalTimeOf(answered_at - behind, sent_at, now);
    RC_ASSERT(told >= sent_at);
    RC_ASSERT(told <= answered_at);
  }
}

TEST(RemoteClockTest, TellsWhenAHeldRequestWasAnswered) {
  RemoteClock clock;
  constexpr DurationUs kBehind = 70 * kSecond;
  const TimeUs first = 100 * kSecond;
  clock.LocalTimeOf(first + kMillisecond - kBehind, first,
                    first + 2 * kMillisecond);
  const TimeUs asked_at = first + kSecond;
  const TimeUs answered_at = asked_at + kSecond;
  EXPECT_GE(clock.LocalTimeOf(answered_at - kBehind, asked_at,
                              answered_at + kMillisecond),
            answered_at - 5 * kMillisecond);
}

// A clock that jumps ahead puts no answer into the future.
TEST(RemoteClockTest, StartsAnewWhenTheOtherClockJumpsAhead) {
  RemoteClock clock;
  clock.LocalTimeOf(5 * kSecond, 100 * kSecond, 100 * kSecond + 1);
  EXPECT_EQ(clock.LocalTimeOf(500 * kSecond, 101 * kSecond, 102 * kSecond),
            101 * kSecond);
}

}  // namespace
}  // namespace acaciachute
