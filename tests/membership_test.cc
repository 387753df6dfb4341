// Who is there, leaving, suspected or dead, judged by what an entry would send
// to whom.
#include "coordination/membership/membership.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>

#include "text.h"

namespace acaciachute {
namespace {

// Entries and sidecars in virtual time. A sidecar answers every question.
class MemberNet {
 public:
  static constexpr DurationUs kOneWay = 5 * kMillisecond;

  MemberNet(int entries, int sidecars, std::uint64_t seed) : random_(seed) {
    std::vector<NodeId> targets;
    for (int n = 0; n < sidecars; ++n) {
      targets.push_back(StrCat("s", n));
      sidecars_[targets.back()].incarnation = n + 1;
    }
    for (int n = 0; n < entries; ++n) {
      auto entry = std::make_unique<EntryPort>(this, StrCat("e", n));
      entry->membership.SetTargets(now, targets);
      entries_[entry->name] = std::move(entry);
    }
    for (auto& [name, entry] : entries_) {
      std::vector<NodeId> helpers;
      for (const auto& [other, unused] : entries_) {
        if (other != name) {
          helpers.push_back(other);
        }
      }
      entry->membership.SetHelpers(helpers);
    }
  }

  struct Sidecar {
    Incarnation incarnation = 1;
    NodeState state = NodeState::kReady;
    bool alive = true;
  };

  void Run(DurationUs duration) {
    for (const TimeUs end = now + duration; now < end; now += kMillisecond) {
      while (!tasks_.empty() && tasks_.begin()->first <= now) {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
      }
      for (auto& [unused, entry] : entries_) {
        if (!entry->paused && now >= entry->next_tick) {
          entry->next_tick = now + Membership::kTick;
          entry->membership.OnTick(now);
        }
      }
      if (on_step) {
        on_step();
      }
    }
  }

  void Pause(const NodeId& entry, bool paused) {
    EntryPort& port = *entries_.at(entry);
    port.paused = paused;
    const auto held = std::move(port.held);
    port.held.clear();
    // Timers that are due may well run before the sockets are read.
    port.membership.OnTick(now);
    for (const auto& it : held) {
      it();
    }
  }

  NodeState StateAt(const NodeId& entry, const NodeId& sidecar) const {
    return entries_.at(entry)->membership.StateOf(sidecar);
  }
  Membership& membership(const NodeId& entry) {
    return entries_.at(entry)->membership;
  }
  Sidecar& sidecar(const NodeId& name) { return sidecars_.at(name); }
  int lost(const NodeId& entry) const { return entries_.at(entry)->lost; }

  TimeUs now = kSecond;
  std::uint32_t lost_percent = 0;
  std::set<std::pair<NodeId, NodeId>> cuts;
  std::uint64_t questions = 0;
  std::function<void()> on_step;

 private:
  struct EntryPort : MembershipOutput {
    EntryPort(MemberNet* net, NodeId name)
        : net(net),
          name(std::move(name)),
          random(net->random_.Next()),
          membership(this, &random, &metrics) {}
    void AskSidecar(const NodeId& sidecar, std::uint64_t sequence) override {
      ++net->questions;
      net->Send(name, sidecar, [this, sidecar, sequence] {
        const Sidecar& it = net->sidecars_.at(sidecar);
        if (!it.alive) {
          return;
        }
        Heartbeat heartbeat;
        heartbeat.role = Role::kSidecar;
        heartbeat.state = it.state;
        heartbeat.reply_to = sequence;
        net->Send(sidecar, name,
                  [this, sidecar, heartbeat, incarnation = it.incarnation] {
                    AtEntry([this, sidecar, heartbeat, incarnation] {
                      membership.OnAnswer(net->now, sidecar, incarnation,
                                          heartbeat);
                    });
                  });
      });
    }
    void SendToEntry(const NodeId& entry, const Message& message) override {
      net->Send(name, entry, [this, entry, message] {
        EntryPort& to = *net->entries_.at(entry);
        to.AtEntry([this, &to, message] {
          if (const auto* query = std::get_if<ReachQuery>(&message)) {
            to.membership.OnReachQuery(net->now, name, *query);
          } else {
            to.membership.OnReachReport(net->now,
                                        std::get<ReachReport>(message));
          }
        });
      });
    }
    void OnMemberState(const NodeId& sidecar, NodeState state) override {}
    void OnMemberLost(const NodeId& sidecar) override { ++lost; }
    void AtEntry(std::function<void()> task) {
      if (paused) {
        held.push_back(std::move(task));
      } else {
        task();
      }
    }

    MemberNet* const net;
    const NodeId name;
    Random random;
    Metrics metrics;
    Membership membership;
    bool paused = false;
    TimeUs next_tick = 0;
    int lost = 0;
    std::vector<std::function<void()>> held;
  };

  void Send(const NodeId& from, const NodeId& to, std::function<void()> task) {
    if (random_.Below(100) >= lost_percent && !cuts.contains({from, to})) {
      tasks_.emplace(now + kOneWay, std::move(task));
    }
  }

  Random random_;
  std::map<NodeId, Sidecar, std::less<>> sidecars_;
  std::map<NodeId, std::unique_ptr<EntryPort>, std::less<>> entries_;
  std::multimap<TimeUs, std::function<void()>> tasks_;
};

// The stated bound on new work for a host that went silent.
constexpr DurationUs kSilentBound = 2300 * kMillisecond;

// A fifth of all datagrams is lost for ten minutes. Every sidecar is healthy,
// and none is shunned by anybody.
TEST(MembershipTest, LossCondemnsNobody) {
  MemberNet net(2, 20, 1);
  net.lost_percent = 20;
  net.Run(5 * kSecond);
  int shunned = 0;
  net.on_step = [&] {
    for (const NodeId entry : {"e0", "e1"}) {
      for (int n = 0; n < 20; ++n) {
        shunned +=
            net.StateAt(entry, StrCat("s", n)) == NodeState::kReady ? 0 : 1;
      }
    }
  };
  net.Run(600 * kSecond);
  EXPECT_EQ(shunned, 0);
}

// Datagrams from one sidecar to one entry are lost, all others arrive. That
// entry sends it nothing new, but hears through others that it lives: it is
// never dead and its attempts go on. The other entry goes on using it.
TEST(MembershipTest, OneWayCutIsNoDeath) {
  MemberNet net(3, 4, 2);
  net.Run(5 * kSecond);
  net.cuts = {{"s1", "e0"}};
  net.Run(kSilentBound);
  net.on_step = [&] {
    EXPECT_EQ(net.StateAt("e0", "s1"), NodeState::kSuspect);
    EXPECT_EQ(net.StateAt("e1", "s1"), NodeState::kReady);
  };
  net.Run(60 * kSecond);
  EXPECT_EQ(net.lost("e0"), 0);
  net.on_step = nullptr;
  net.cuts.clear();
  net.Run(2 * kSecond);
  EXPECT_EQ(net.StateAt("e0", "s1"), NodeState::kReady);
}

TEST(MembershipTest, DeadGetsNothingNewAfterTheBound) {
  MemberNet net(2, 30, 3);
  net.lost_percent = 20;
  net.Run(5 * kSecond);
  net.sidecar("s7").alive = false;
  net.Run(kSilentBound);
  EXPECT_NE(net.StateAt("e0", "s7"), NodeState::kReady);
  EXPECT_NE(net.StateAt("e1", "s7"), NodeState::kReady);
  net.Run(Membership::kDeadTimeout + kSecond);
  EXPECT_EQ(net.StateAt("e0", "s7"), NodeState::kDead);
  EXPECT_EQ(net.lost("e0"), 1);
}

// A whole failure domain goes at once: half of the sidecars. Nobody hears them,
// so all of them are dead after the bound, and none of the others is touched.
TEST(MembershipTest, FailureDomainGone) {
  MemberNet net(2, 20, 4);
  net.Run(5 * kSecond);
  for (int n = 0; n < 10; ++n) {
    net.sidecar(StrCat("s", n)).alive = false;
  }
  net.Run(kSilentBound + Membership::kDeadTimeout + kSecond);
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(net.StateAt("e1", StrCat("s", n)),
              n < 10 ? NodeState::kDead : NodeState::kReady)
        << n;
  }
}

// The entry itself sleeps for a minute. Its clock says that everybody was
// silent all the while; their answers wait in its socket.
TEST(MembershipTest, OwnPauseCondemnsNobody) {
  for (int offset = 0; offset < 30; ++offset) {
    MemberNet net(2, 5, 5);
    net.Run(5 * kSecond + offset * 7 * kMillisecond);
    net.Pause("e0", true);
    net.Run(60 * kSecond);
    net.Pause("e0", false);
    net.on_step = [&] {
      for (int n = 0; n < 5; ++n) {
        EXPECT_EQ(net.StateAt("e0", StrCat("s", n)), NodeState::kReady);
      }
    };
    net.Run(5 * kSecond);
    EXPECT_EQ(net.lost("e0"), 0);
  }
}

// A successor starts under the same name. Attempts at the predecessor are
// given up, once, and the successor is used.
TEST(MembershipTest, NewIncarnationEndsTheOldOnesAttempts) {
  MemberNet net(1, 2, 6);
  net.Run(kSecond);
  net.sidecar("s0").incarnation = 77;
  net.Run(kSecond);
  EXPECT_EQ(net.lost("e0"), 1);
  EXPECT_EQ(net.StateAt("e0", "s0"), NodeState::kReady);
}

TEST(MembershipTest, LeavingIsHeardWithinAPeriod) {
  MemberNet net(1, 30, 7);
  net.Run(5 * kSecond);
  net.sidecar("s3").state = NodeState::kLeaving;
  net.Run(net.membership("e0").period() + Membership::kTick +
          2 * MemberNet::kOneWay);
  EXPECT_EQ(net.StateAt("e0", "s3"), NodeState::kLeaving);
}

// Only the lagging list tells that a host leaves: it is believed about a
// process that is older than the list's lag. About a younger one it may be
// speaking of the predecessor, and it never brings a silent host back.
TEST(MembershipTest, HostListIsOnlyAHint) {
  MemberNet net(1, 2, 8);
  net.Run(5 * kSecond);
  Membership& membership = net.membership("e0");
  membership.OnHostList(net.now, {{"s0", true}});
  EXPECT_EQ(net.StateAt("e0", "s0"), NodeState::kReady);
  net.Run(Membership::kMaxHostListLag);
  membership.OnHostList(net.now, {{"s0", true}});
  EXPECT_EQ(net.StateAt("e0", "s0"), NodeState::kLeaving);
  net.Run(5 * kSecond);
  EXPECT_EQ(net.StateAt("e0", "s0"), NodeState::kLeaving);
  net.sidecar("s1").alive = false;
  net.Run(10 * kSecond);
  membership.OnHostList(net.now, {{"s0", false}, {"s1", false}});
  EXPECT_EQ(net.StateAt("e0", "s0"), NodeState::kReady);
  EXPECT_EQ(net.StateAt("e0", "s1"), NodeState::kDead);
}

// At the target an entry watches a subset of 24; with a fifth of the datagrams
// lost it still stays within its share of the 10 KB/s.
TEST(MembershipTest, QuestionsStayWithinTheBudget) {
  MemberNet net(1, 24, 9);
  net.Run(10 * kSecond);
  net.questions = 0;
  net.Run(60 * kSecond);
  const auto bytes = net.questions * Membership::kProbeBytes / 60;
  EXPECT_LT(bytes, 5600U);
  net.lost_percent = 20;
  net.questions = 0;
  net.Run(60 * kSecond);
  EXPECT_LT(net.questions * Membership::kProbeBytes / 60, 9000U);
}

}  // namespace
}  // namespace acaciachute
