// Tests which sidecars an entry takes for ready, leaving, suspected or dead
// under loss, partitions and failures.
#include "coordination/membership/membership.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>

#include "text.h"

namespace acaciachute {
namespace {

// Entries and sidecars in virtual time. A sidecar answers every probe.
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
      auto entry = std::make_unique<EntryDriver>(this, StrCat("e", n));
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
        if (!entry->suspended && now >= entry->next_tick) {
          entry->next_tick = now + Membership::kTick;
          entry->membership.OnTick(now);
        }
      }
      if (on_step) {
        on_step();
      }
    }
  }

  void SetSuspended(const NodeId& entry, bool suspended) {
    EntryDriver& driver = *entries_.at(entry);
    driver.suspended = suspended;
    const auto queued_tasks = std::move(driver.queued_tasks);
    driver.queued_tasks.clear();
    // Timers that are due may run before the sockets are read.
    driver.membership.OnTick(now);
    for (const auto& it : queued_tasks) {
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
  std::set<std::pair<NodeId, NodeId>> blocked_links;
  std::uint64_t probes = 0;
  std::function<void()> on_step;

 private:
  struct EntryDriver : MembershipOutput {
    EntryDriver(MemberNet* net, NodeId name)
        : net(net),
          name(std::move(name)),
          random(net->random_.Next()),
          membership(this, &random, &metrics) {}
    void ProbeSidecar(const NodeId& sidecar, std::uint64_t sequence) override {
      ++net->probes;
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
        EntryDriver& to = *net->entries_.at(entry);
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
      if (suspended) {
        queued_tasks.push_back(std::move(task));
      } else {
        task();
      }
    }

    MemberNet* const net;
    const NodeId name;
    Random random;
    Metrics metrics;
    Membership membership;
    bool suspended = false;
    TimeUs next_tick = 0;
    int lost = 0;
    std::vector<std::function<void()>> queued_tasks;
  };

  void Send(const NodeId& from, const NodeId& to, std::function<void()> task) {
    if (random_.Below(100) >= lost_percent &&
        !blocked_links.contains({from, to})) {
      tasks_.emplace(now + kOneWay, std::move(task));
    }
  }

  Random random_;
  std::map<NodeId, Sidecar, std::less<>> sidecars_;
  std::map<NodeId, std::unique_ptr<EntryDriver>, std::less<>> entries_;
  std::multimap<TimeUs, std::function<void()>> tasks_;
};

// Bound on the time for which a sidecar that does not answer may still get new
// work.
constexpr DurationUs kNewWorkBound = 2300 * kMillisecond;

// A fifth of all datagrams is lost for ten minutes. Every sidecar is healthy,
// and no entry suspects any.
TEST(MembershipTest, PacketLossSuspectsNoSidecar) {
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

// Datagrams from one sidecar to one entry are lost; all others arrive. That
// entry sends the sidecar no new work, but learns from other entries that it is
// alive: the sidecar is never dead and its attempts continue. The other entry
// continues to use it.
TEST(MembershipTest, AOneWayPartitionIsNotTakenForDeath) {
  MemberNet net(3, 4, 2);
  net.Run(5 * kSecond);
  net.blocked_links = {{"s1", "e0"}};
  net.Run(kNewWorkBound);
  net.on_step = [&] {
    EXPECT_EQ(net.StateAt("e0", "s1"), NodeState::kSuspect);
    EXPECT_EQ(net.StateAt("e1", "s1"), NodeState::kReady);
  };
  net.Run(60 * kSecond);
  EXPECT_EQ(net.lost("e0"), 0);
  net.on_step = nullptr;
  net.blocked_links.clear();
  net.Run(2 * kSecond);
  EXPECT_EQ(net.StateAt("e0", "s1"), NodeState::kReady);
}

TEST(MembershipTest, ADeadSidecarGetsNoNewWorkAfterTheBound) {
  MemberNet net(2, 30, 3);
  net.lost_percent = 20;
  net.Run(5 * kSecond);
  net.sidecar("s7").alive = false;
  net.Run(kNewWorkBound);
  EXPECT_NE(net.StateAt("e0", "s7"), NodeState::kReady);
  EXPECT_NE(net.StateAt("e1", "s7"), NodeState::kReady);
  net.Run(Membership::kDeadTimeout + kSecond);
  EXPECT_EQ(net.StateAt("e0", "s7"), NodeState::kDead);
  EXPECT_EQ(net.lost("e0"), 1);
}

// A failure domain with half of the sidecars fails at once. No entry reaches
// them, so all of them are dead after the bound, and the others are not
// affected.
TEST(MembershipTest, FailureDomainGone) {
  MemberNet net(2, 20, 4);
  net.Run(5 * kSecond);
  for (int n = 0; n < 10; ++n) {
    net.sidecar(StrCat("s", n)).alive = false;
  }
  net.Run(kNewWorkBound + Membership::kDeadTimeout + kSecond);
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(net.StateAt("e1", StrCat("s", n)),
              n < 10 ? NodeState::kDead : NodeState::kReady)
        << n;
  }
}

// The entry itself is suspended for a minute. By its clock all sidecars were
// silent for as long, while their answers wait in its socket.
TEST(MembershipTest, OwnSuspensionSuspectsNoSidecar) {
  for (int offset = 0; offset < 30; ++offset) {
    MemberNet net(2, 5, 5);
    net.Run(5 * kSecond + offset * 7 * kMillisecond);
    net.SetSuspended("e0", true);
    net.Run(60 * kSecond);
    net.SetSuspended("e0", false);
    net.on_step = [&] {
      for (int n = 0; n < 5; ++n) {
        EXPECT_EQ(net.StateAt("e0", StrCat("s", n)), NodeState::kReady);
      }
    };
    net.Run(5 * kSecond);
    EXPECT_EQ(net.lost("e0"), 0);
  }
}

// A new process starts under the same name. The attempts at its predecessor are
// given up, once, and the new process gets work.
TEST(MembershipTest, NewIncarnationEndsTheOldOnesAttempts) {
  MemberNet net(1, 2, 6);
  net.Run(kSecond);
  net.sidecar("s0").incarnation = 77;
  net.Run(kSecond);
  EXPECT_EQ(net.lost("e0"), 1);
  EXPECT_EQ(net.StateAt("e0", "s0"), NodeState::kReady);
}

TEST(MembershipTest, LeavingIsDetectedWithinAPeriod) {
  MemberNet net(1, 30, 7);
  net.Run(5 * kSecond);
  net.sidecar("s3").state = NodeState::kLeaving;
  net.Run(net.membership("e0").period() + Membership::kTick +
          2 * MemberNet::kOneWay);
  EXPECT_EQ(net.StateAt("e0", "s3"), NodeState::kLeaving);
}

// Only the host list, which lags, says that a host leaves. The hint is used for
// a process that is older than the list's lag; for a younger one it may refer
// to its predecessor. It never revives a dead host.
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

// In a full deployment an entry watches a subset of 24 sidecars; with a fifth
// of the datagrams lost its probes still stay within their share of the 10
// KB/s.
TEST(MembershipTest, ProbesStayWithinTheBudget) {
  MemberNet net(1, 24, 9);
  net.Run(10 * kSecond);
  net.probes = 0;
  net.Run(60 * kSecond);
  const auto bytes = net.probes * Membership::kProbeBytes / 60;
  EXPECT_LT(bytes, 5600U);
  net.lost_percent = 20;
  net.probes = 0;
  net.Run(60 * kSecond);
  EXPECT_LT(net.probes * Membership::kProbeBytes / 60, 9000U);
}

}  // namespace
}  // namespace acaciachute
