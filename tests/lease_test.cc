// Tests that at most one entry holds the lease, and that no order of an old
// holder is accepted after its successor's.
#include "coordination/control/lease.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>

#include "tests/fake_table.h"
#include "tests/property.h"
#include "text.h"

namespace acaciachute {
namespace {

// Entries that compete for the lease of one pool.
class LeaseNet {
 public:
  static constexpr DurationUs kStep = 50 * kMillisecond;

  LeaseNet(int nodes, std::uint64_t seed) : random_(seed) {
    nodes_.resize(nodes);
    for (int n = 0; n < nodes; ++n) {
      Start(n);
    }
  }

  void Start(int n) {
    Node& node = nodes_[n];
    ++node.start_count;
    node.paused = false;
    node.deferred.clear();
    node.output = std::make_unique<Port>(this, n);
    node.random = std::make_unique<Random>(random_.Next());
    node.lease =
        std::make_unique<Lease>("generators", StrCat("e", n), node.output.get(),
                                node.random.get(), &metrics);
    node.lease->SetRank(n);
  }
  void Kill(int n) {
    ++nodes_[n].start_count;
    nodes_[n].lease.reset();
  }
  void Pause(int n, bool paused) {
    nodes_[n].paused = paused;
    const auto deferred = std::move(nodes_[n].deferred);
    nodes_[n].deferred.clear();
    for (const auto& it : deferred) {
      it();
    }
  }
  bool Alive(int n) const { return nodes_[n].lease != nullptr; }
  bool Holds(int n) const { return Alive(n) && nodes_[n].lease->Holds(now); }
  // Paused nodes count too: they may resume at any time.
  int Holders() const {
    int holders = 0;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      holders += Holds(static_cast<int>(n)) ? 1 : 0;
    }
    return holders;
  }
  Lease& lease(int n) { return *nodes_[n].lease; }

  void Run(DurationUs duration) {
    for (const TimeUs end = now + duration; now < end; now += kStep) {
      while (!tasks_.empty() && tasks_.begin()->first <= now) {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
      }
      for (Node& node : nodes_) {
        if (node.lease && !node.paused) {
          node.lease->OnTick(now);
        }
      }
      if (on_step) {
        on_step();
      }
    }
  }

  TimeUs now = kSecond;
  FakeTable table;
  Metrics metrics;
  std::function<void()> on_step;

 private:
  struct Port : LeaseOutput {
    Port(LeaseNet* net, int n) : net(net), n(n) {}
    void CallTable(const std::string& pool,
                   StoreTicket ticket,
                   std::vector<StoreOp> ops) override {
      net->Call(n, ticket, std::move(ops));
    }
    LeaseNet* const net;
    const int n;
  };
  struct Node {
    std::unique_ptr<Port> output;
    std::unique_ptr<Random> random;
    std::unique_ptr<Lease> lease;
    std::uint64_t start_count = 0;
    bool paused = false;
    std::vector<std::function<void()>> deferred;
  };

  void Call(int n, StoreTicket ticket, std::vector<StoreOp> ops) {
    const std::uint64_t start_count = nodes_[n].start_count;
    tasks_.emplace(
        now + kStep, [this, n, start_count, ticket, ops = std::move(ops)] {
          const StoreAnswer answer = table.Transact(ops);
          const auto deliver = [this, n, start_count, ticket, answer] {
            if (nodes_[n].start_count == start_count) {
              nodes_[n].lease->OnTableAnswer(now, ticket, answer);
            }
          };
          tasks_.emplace(now + kStep, [this, n, deliver] {
            if (nodes_[n].paused) {
              nodes_[n].deferred.emplace_back(deliver);
            } else {
              deliver();
            }
          });
        });
  }

  Random random_;
  std::vector<Node> nodes_;
  std::multimap<TimeUs, std::function<void()>> tasks_;
};

// Maximum time of a takeover: the lease, the watch of a candidate, the delay of
// its rank and two calls.
constexpr DurationUs kTakeOverTime = Lease::kLeaseDuration +
                                     2 * Lease::kWatchPeriod +
                                     3 * Lease::kRankDelay + kSecond;

TEST(LeaseTest, OneHolderRenewsForAnHour) {
  LeaseNet net(3, 1);
  net.Run(2 * kSecond);
  ASSERT_EQ(net.Holders(), 1);
  net.on_step = [&] { EXPECT_EQ(net.Holders(), 1); };
  net.Run(3600 * kSecond);
  EXPECT_EQ(net.lease(0).fence(), 1U);
}

// The holder stops without a release. Its successor holds a larger number after
// the lease has expired; nobody holds it in between.
TEST(LeaseTest, SuccessorTakesOverAfterTheTerm) {
  LeaseNet net(3, 2);
  net.Run(2 * kSecond);
  ASSERT_TRUE(net.Holds(0));
  net.Kill(0);
  net.Run(kTakeOverTime);
  EXPECT_EQ(net.Holders(), 1);
  EXPECT_EQ(std::max(net.lease(1).fence(), net.lease(2).fence()), 2U);
}

// The holder is suspended beyond its lease and resumes. By its own clock its
// lease ended before the successor's began, so it sends no order; its renewal
// finds the other's row, and it becomes a candidate again.
TEST(LeaseTest, PausedHolderResumesWithoutTheLease) {
  LeaseNet net(2, 3);
  net.Run(2 * kSecond);
  ASSERT_TRUE(net.Holds(0));
  net.on_step = [&] { EXPECT_LE(net.Holders(), 1); };
  net.Pause(0, true);
  net.Run(60 * kSecond);
  EXPECT_TRUE(net.Holds(1));
  net.Pause(0, false);
  EXPECT_FALSE(net.Holds(0));
  net.Run(60 * kSecond);
  EXPECT_TRUE(net.Holds(1));
  EXPECT_EQ(net.lease(1).fence(), 2U);
}

// The holder is suspended between a renewal and its answer, and resumes shortly
// before the row has been unchanged for a lease duration. The answer confirms
// the lease, but from a write nine seconds ago: counted from its arrival, two
// entries would hold it.
TEST(LeaseTest, LateAnswerDoesNotExtendTheLease) {
  for (int offset = 0; offset < 60; ++offset) {
    LeaseNet net(2, 7);
    net.Run(3 * kSecond + offset * LeaseNet::kStep);
    ASSERT_TRUE(net.Holds(0));
    net.on_step = [&] { EXPECT_LE(net.Holders(), 1); };
    net.Pause(0, true);
    net.Run(Lease::kLeaseDuration - Lease::kClockDriftMargin);
    net.Pause(0, false);  // Handles its answers and is suspended again.
    net.Pause(0, true);
    net.Run(kTakeOverTime);
  }
}

// For ten minutes, every second answer to a write is lost after its effect. The
// holder finds its own nonce in the row and stays the holder.
TEST(LeaseTest, LostAnswersDoNotLoseTheLease) {
  LeaseNet net(2, 4);
  int steps = 0;
  net.on_step = [&] {
    net.table.lose_answers = ++steps % 2;
    EXPECT_LE(net.Holders(), 1);
  };
  net.Run(600 * kSecond);
  EXPECT_EQ(net.Holders(), 1);
  EXPECT_EQ(std::max(net.lease(0).fence(), net.lease(1).fence()), 1U);
}

// The table is down for a minute: the holder stops acting at the end of its
// lease, and continues under its number when the table is back, because no
// other entry acquired the lease.
TEST(LeaseTest, OutageSuspendsControl) {
  LeaseNet net(2, 5);
  net.Run(2 * kSecond);
  net.table.down = true;
  net.Run(Lease::kLeaseDuration);
  net.on_step = [&] { EXPECT_EQ(net.Holders(), 0); };
  net.Run(50 * kSecond);
  net.on_step = [&] { EXPECT_LE(net.Holders(), 1); };
  net.table.down = false;
  net.Run(kTakeOverTime);
  EXPECT_EQ(net.Holders(), 1);
}

TEST(LeaseTest, ReleasedLeaseIsTakenOverAtOnce) {
  LeaseNet net(2, 6);
  net.Run(2 * kSecond);
  net.lease(0).Release();
  EXPECT_FALSE(net.Holds(0));
  net.Run(kSecond);
  net.Kill(0);
  net.Run(2 * Lease::kWatchPeriod + 3 * Lease::kRankDelay);
  EXPECT_TRUE(net.Holds(1));
  EXPECT_EQ(net.lease(1).fence(), 2U);
}

// Whatever is killed, paused, disconnected or lost, in any order: there are
// never two holders, and a holder's number is never below an earlier holder's,
// so a sidecar that refuses smaller numbers accepts no outdated order.
TEST(LeaseProperty, OneHolderAndNumbersGrow) {
  constexpr int kNodes = 3;
  CheckProperty("one holder, numbers grow", 4202612, 100, [] {
    LeaseNet net(kNodes, *rc::gen::arbitrary<std::uint32_t>());
    FenceNumber largest = 0;
    int last_holder = -1;
    net.on_step = [&] {
      RC_ASSERT(net.Holders() <= 1);
      for (int n = 0; n < kNodes; ++n) {
        if (net.Holds(n)) {
          const FenceNumber fence = net.lease(n).fence();
          RC_ASSERT(fence >= largest);
          RC_ASSERT(last_holder == n || fence > largest);
          largest = fence;
          last_holder = n;
        }
      }
    };
    const auto steps = *rc::gen::container<std::vector<int>>(
        15, rc::gen::inRange(0, 5 * kNodes));
    for (const int step : steps) {
      const int n = step % kNodes;
      switch (step / kNodes) {
        case 0:
          if (net.Alive(n)) {
            net.Kill(n);
          } else {
            net.Start(n);
          }
          break;
        case 1:
          net.Pause(n, true);
          break;
        case 2:
          net.Pause(n, false);
          break;
        case 3:
          net.table.lose_answers += 2;
          break;
        default:
          net.table.down = !net.table.down;
          break;
      }
      net.Run(4 * kSecond);
    }
  });
}

}  // namespace
}  // namespace acaciachute
