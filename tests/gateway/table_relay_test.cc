// A store asked by few: gateways that follow its table through one another.
#include <gtest/gtest.h>

#include "tests/gateway/table_net.h"

namespace acaciachute {
namespace {

// Keys are used for 4.5 s after the moment up to which the configuration is
// known.
constexpr DurationUs kKeyAge = 4500 * kMillisecond;
// Within which gateways notice that the one they ask is gone, and ask another.
constexpr DurationUs kNotice = kSecond;

void ExpectSound(const TableNet& net) {
  EXPECT_TRUE(net.faults().empty()) << net.faults().front();
}

// Load: a hundred gateways, a calm day. Calls to the store grow with the
// failure domains, not with the gateways, and all know the table well within
// the bound.
TEST(TableRelayTest, FewAskTheStore) {
  for (const std::size_t n : {24U, 103U}) {
    TableNet net(n, 6);
    net.Run(5 * kSecond);
    const std::size_t before = net.calls();
    net.Run(15 * kSecond);
    EXPECT_LE(net.calls() - before, 6 * 15U) << n;
    EXPECT_LT(net.OldestAge(), TableNet::kStale);
    ExpectSound(net);
  }
}

// Load: 30 replicas start one after the other, two a second apart by 30 ms
// each. Every gateway knows each within a second, and they ask the store a few
// times.
TEST(TableRelayTest, NewsReachesAll) {
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
  ExpectSound(net);
}

// What the caller sees: hosts refuse all requests with keys, because the one
// gateway that they learned the configuration from was killed.
TEST(TableRelayTest, AKilledRelayIsLeft) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  for (const std::size_t it : net.Relays()) {
    net.Kill(it);
  }
  net.Write("config", "1");
  const DurationUs took =
      net.RunUntil([&] { return net.AllHold("config", "1"); }, 10 * kSecond);
  EXPECT_LE(took, kNotice);
  ExpectSound(net);
}

// A relay that freezes answers nothing and closes nothing. What it held answers
// late, when it wakes, and is older by then than what its followers know.
TEST(TableRelayTest, AFrozenRelayIsLeftAndBelievedNothingWhenItWakes) {
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
  ExpectSound(net);
}

// The store turns all relays away, at once or by silence, and serves the
// others. Nobody's knowledge gets older than the bound.
TEST(TableRelayTest, RelaysThatTheStoreTurnsAwayStayCurrentByOthers) {
  for (const auto mood :
       {TableNet::Mood::kTurnsAway, TableNet::Mood::kSilent}) {
    TableNet net(103, 6);
    net.Run(5 * kSecond);
    const std::vector<std::size_t> relays = net.Relays();
    for (std::size_t n = 0; n < relays.size() / 2; ++n) {
      net.node(relays[n]).mood = mood;
    }
    DurationUs oldest = 0;
    for (int n = 0; n < 150; ++n) {
      net.Run(100 * kMillisecond);
      oldest = std::max(oldest, net.OldestAge());
    }
    EXPECT_LT(oldest, kKeyAge);
    ExpectSound(net);
  }
}

// All relays are turned away: some of the others ask the store themselves.
TEST(TableRelayTest, AStoreThatTurnsAllRelaysAwayIsAskedByOthers) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  for (const std::size_t it : net.Relays()) {
    net.node(it).mood = TableNet::Mood::kTurnsAway;
  }
  net.Write("config", "1");
  const DurationUs took =
      net.RunUntil([&] { return net.AllHold("config", "1"); }, 10 * kSecond);
  EXPECT_LE(took, kKeyAge);
  ExpectSound(net);
}

// What the caller sees: nobody is served for seconds after an outage that
// ended. The store is silent to all for 8 s. It is not pressed by all
// meanwhile, and when it answers again, all know within half a second.
TEST(TableRelayTest, AllKnowSoonAfterAnOutage) {
  for (const auto mood :
       {TableNet::Mood::kTurnsAway, TableNet::Mood::kSilent}) {
    TableNet net(103, 6);
    net.Run(5 * kSecond);
    const std::size_t before = net.calls();
    net.SetMood(mood);
    net.Run(8 * kSecond);
    EXPECT_LE(net.calls() - before, 8 * 60U);
    net.SetMood(TableNet::Mood::kServes);
    net.Write("config", "1");
    const TimeUs back = net.now();
    // An age counts from the requests: a tick each for the store's answer, the
    // relay's and what it was asked, and what the clocks may have parted by.
    constexpr DurationUs kOnTheWay = 5 * TableNet::kTick;
    const DurationUs took = net.RunUntil(
        [&] {
          return net.AllHold("config", "1") &&
                 net.OldestAge() <= net.now() - back + kOnTheWay;
        },
        5 * kSecond);
    EXPECT_LE(took, kSecond);
    ExpectSound(net);
  }
}

// Load: all gateways are killed and start one after the other, while rows of a
// large table change. Guards against: each that started before the gateway
// which it asks is given the whole table once more, which takes the link of
// that gateway for seconds.
TEST(TableRelayTest, AStartReadsTheTableOnce) {
  TableNet net(103, 6);
  for (std::size_t n = 0; n < net.size(); ++n) {
    net.Write("row-" + std::to_string(n), "0");
  }
  net.Run(5 * kSecond);
  const std::size_t read = net.whole_reads();
  const std::size_t replied = net.whole_replies();
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
  EXPECT_LE(net.whole_reads() - read + net.whole_replies() - replied,
            net.size());
  ExpectSound(net);
}

// Load: the store stops answering everybody. Callers with keys are served while
// the configuration is known to be young enough, so it has to be young at any
// moment at which that may happen: of the five seconds for which a key that was
// taken away may be used, three are left at every gateway. Requests that wait a
// tenth of that bound do it, at a few calls a second.
TEST(TableRelayTest, AnOutageFindsKeysUsableForMostOfTheirBound) {
  constexpr DurationUs kRevocation = 5 * kSecond;
  FreshnessPlan plan = PlanFreshness(TableNet::kBound, TableNet::kContact);
  plan.store_wait = kRevocation / 5;
  TableNet net(103, 6, plan);
  net.Run(5 * kSecond);
  const std::size_t before = net.calls();
  for (int n = 0; n < 100; ++n) {
    net.Run(70 * kMillisecond);
    EXPECT_LE(net.OldestAge(), kKeyAge - kRevocation * 3 / 5);
  }
  EXPECT_LE(net.calls() - before, 7 * 6 * 3U);
  ExpectSound(net);
}

// The store drops its history. The relays read the whole table; the others hear
// what changed from them.
TEST(TableRelayTest, OnlyRelaysReadTheTableAgain) {
  TableNet net(103, 6);
  net.Write("r1", "1");
  net.Run(5 * kSecond);
  const std::size_t before = net.whole_reads();
  net.Write("r2", "1");
  net.Remove("r1");
  net.DropHistory();
  net.Run(5 * kSecond);
  EXPECT_TRUE(net.AllHold("r2", "1"));
  for (std::size_t n = 0; n < net.size(); ++n) {
    EXPECT_FALSE(net.node(n).rows.contains("r1")) << n;
  }
  EXPECT_LE(net.whole_reads() - before, 6U);
  ExpectSound(net);
}

// What the caller sees: no replica takes its request. A gateway that has to
// read the whole table asks one that knows less than it did: an empty or older
// table must not take the place of what it has.
TEST(TableRelayTest, AnOlderTableIsNoAnswer) {
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

// Two halves of the fleet do not see each other: each has relays of its own.
TEST(TableRelayTest, HalvesFollowTheStoreApart) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  net.SetCut([](std::size_t from, std::size_t to) {
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
  ExpectSound(net);
}

// One way only: what a relay says is lost, what it hears arrives.
TEST(TableRelayTest, ARelayThatIsCutOneWayIsLeft) {
  TableNet net(103, 6);
  net.Run(5 * kSecond);
  const std::vector<std::size_t> relays = net.Relays();
  net.SetCut([&](std::size_t from, std::size_t) {
    return std::find(relays.begin(), relays.end(), from) != relays.end();
  });
  DurationUs oldest = 0;
  for (int n = 0; n < 100; ++n) {
    net.Run(100 * kMillisecond);
    oldest = std::max(oldest, net.OldestAge());
  }
  EXPECT_LT(oldest, kKeyAge);
  ExpectSound(net);
}

// All processes are killed and start again. They find the store, then one
// another; it is not asked for the table more than once by each.
TEST(TableRelayTest, NoHerdMeetsTheStoreAfterAMassKill) {
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
  ExpectSound(net);
}

// Drawn troubles, all at once and one after the other: kills, restarts,
// freezes, moods of the store, cuts, dropped history, rows that come and go.
// What a gateway claims to know it knows, at every tick; in peace all catch up.
TEST(TableRelayTest, DrawnTroublesBreakNoPromise) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    TableNet net(24, 3);
    std::uint64_t cut = 0;
    net.SetCut([&](std::size_t from, std::size_t to) {
      return cut != 0 && from != to && (from * 31 + to * 17) % 7 < cut;
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
          net.node(who).mood = static_cast<TableNet::Mood>(random.Below(3));
          break;
        case 4:
          cut = random.Below(3);
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
    cut = 0;
    net.SetMood(TableNet::Mood::kServes);
    for (std::size_t n = 0; n < net.size(); ++n) {
      net.node(n).frozen = false;
      if (!net.node(n).alive) {
        net.Restart(n);
      }
    }
    net.Write("config", "1000");
    net.Run(8 * kSecond);
    EXPECT_TRUE(net.AllHold("config", "1000")) << seed;
    EXPECT_LT(net.OldestAge(), TableNet::kStale) << seed;
    ASSERT_TRUE(net.faults().empty()) << seed << ": " << net.faults().front();
  }
}

}  // namespace
}  // namespace acaciachute
