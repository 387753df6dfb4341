// Tests of the request rate of cold replicas, for one gateway and for many with
// different views.
#include "coordination/choice/replica_rate_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

// Rate of requests per second that a cold replica handles (`cold_rate`).
constexpr double kColdRate = 21;
constexpr int kMaxRequestsPerSecond = 36;  // 21 x 1.5 + 5, rounded down.

ServingConfig ConfigWithColdEngines() {
  ServingConfig config;
  Service service;
  service.name = "engine";
  service.cold_start = 3 * kSecond;
  service.cold_rate = kColdRate;
  config.AddService(service);
  return config;
}

ReplicaEntry ColdReplica(TimeUs until) {
  ReplicaEntry entry;
  entry.id = "e1";
  entry.service = "engine";
  entry.cold_until = until;
  return entry;
}

std::unique_ptr<ReplicaRateLimiter> LimitOf(const NodeId& node,
                                            std::vector<NodeId> gateways) {
  auto limit = std::make_unique<ReplicaRateLimiter>(node);
  limit->SetRateLimit({}, 1200 * kMillisecond);
  limit->SetServices(ConfigWithColdEngines());
  limit->SetGateways(0, std::move(gateways));
  return limit;
}

std::vector<NodeId> Names(int n) {
  std::vector<NodeId> names;
  names.reserve(static_cast<std::size_t>(n));
  for (int k = 0; k < n; ++k) {
    names.push_back("g" + std::to_string(k));
  }
  return names;
}

// Sends as many requests as the limiter allows, at most 1,000; returns their
// number.
int SendAll(TimeUs now,
            ReplicaRateLimiter* limit,
            const ReplicaEntry& replica) {
  int sent = 0;
  while (limit->MaySend(now, replica) && sent < 1000) {
    limit->OnSent(replica);
    ++sent;
  }
  return sent;
}

// Between 1 and 400 gateways find one replica cold and idle, and each sends as
// many requests as it may at once. The sum stays within the limit and uses at
// least half of it.
TEST(ReplicaRateLimiterTest, FleetsOfAnySizeKeepTheBoundInSum) {
  const ReplicaEntry replica = ColdReplica(10 * kSecond);
  for (const int n : {1, 5, 14, 26, 29, 103, 400}) {
    int sum = 0;
    for (const NodeId& it : Names(n)) {
      sum += SendAll(kSecond, LimitOf(it, Names(n)).get(), replica);
    }
    EXPECT_LE(sum, kMaxRequestsPerSecond) << n;
    EXPECT_GE(sum, kMaxRequestsPerSecond / 2) << n;
  }
}

// A request may arrive much later than it was sent, for example because it
// waited for a connection. The next one may be sent one second after the first
// was answered, not one second after it was sent.
TEST(ReplicaRateLimiterTest, CountsByArrival) {
  const ReplicaEntry replica = ColdReplica(60 * kSecond);
  const auto limit = LimitOf("g0", Names(26));
  TimeUs now = kSecond;
  EXPECT_EQ(SendAll(now, limit.get(), replica), 1);
  now += 3 * kSecond;
  EXPECT_FALSE(limit->MaySend(now, replica));
  limit->OnArrived(now, replica);
  EXPECT_FALSE(limit->MaySend(now + kSecond, replica));
  EXPECT_TRUE(limit->MaySend(now + kSecond + 1, replica));
  limit->OnSent(replica);
  limit->OnNotSent(replica);
  EXPECT_TRUE(limit->MaySend(now + kSecond + 1, replica));
}

// Requests of the last second count if the replica becomes cold within it.
TEST(ReplicaRateLimiterTest, CountsRequestsSentBeforeTheReplicaBecameCold) {
  ReplicaEntry replica = ColdReplica(0);
  const auto limit = LimitOf("g0", Names(26));
  EXPECT_EQ(SendAll(kSecond, limit.get(), replica), 1000);
  replica.cold_until = 10 * kSecond;
  EXPECT_FALSE(limit->MaySend(kSecond + 1, replica));
}

// A gateway that does not know the other gateways yet sends nothing to cold
// replicas.
TEST(ReplicaRateLimiterTest, SendsNothingWithoutKnownGateways) {
  const auto limit = LimitOf("g0", {});
  EXPECT_FALSE(limit->MaySend(kSecond, ColdReplica(9 * kSecond)));
  EXPECT_TRUE(limit->MaySend(kSecond, ColdReplica(0)));
}

// The evacuation of a failure domain ends. Its replicas count as cold although
// their rows, which are older, do not say so; afterwards the limit doubles in
// steps.
TEST(ReplicaRateLimiterTest, ADomainWarmsUpAfterItsEvacuationEnded) {
  ReplicaEntry replica = ColdReplica(0);
  replica.evacuation_ended_at = kSecond;
  const TimeUs warm =
      replica.evacuation_ended_at + 3 * kSecond + 2400 * kMillisecond;
  const auto at = [&](TimeUs now) {
    return SendAll(now, LimitOf("g0", Names(14)).get(), replica);
  };
  EXPECT_EQ(at(kSecond), 2);
  EXPECT_EQ(at(warm - 1), 2);
  EXPECT_EQ(at(warm), 4);
  EXPECT_EQ(at(warm + SlowStart::kDoublingPeriod), 8);
  EXPECT_EQ(at(warm + SlowStart::kDuration), 1000);
}

TEST(ReplicaRateLimiterTest, LeavesServicesWithoutABoundAlone) {
  ReplicaEntry replica = ColdReplica(10 * kSecond);
  replica.service = "app";
  const auto limit = LimitOf("g0", Names(26));
  EXPECT_EQ(SendAll(kSecond, limit.get(), replica), 1000);
}

// All engines are cold, and more requests arrive than they accept. The first
// ones are sent, the others wait and are sent in order. A request that is not
// sent in time is refused with a Retry-After.
TEST(ReplicaRateLimiterTest, RequestsWaitForTheirTurn) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine", "a", rig.now + 60 * kSecond);
  // The limit is 2 x 1.5 + 5 = 8 requests per second, of which the share of 0.8
  // is used: 6.
  for (int n = 0; n < 20; ++n) {
    rig.Call("stream");
  }
  EXPECT_EQ(rig.sent.size(), 6U);
  EXPECT_TRUE(rig.refused.empty());
  const auto first = rig.sent;
  for (const auto& it : first) {
    rig.core.OnReplicaHead(it.call, GatewayRig::Head());
  }
  rig.Pass(kSecond);
  EXPECT_EQ(rig.sent.size(), 6U);
  rig.Pass(10 * kMillisecond);
  EXPECT_EQ(rig.sent.size(), 12U);
  rig.Pass(kSecond);
  EXPECT_EQ(rig.refused.size(), 8U);
  for (const auto& [id, answer] : rig.refused) {
    EXPECT_EQ(answer.verdict, Verdict::kNotRun);
    EXPECT_GT(answer.retry_after, 0);
  }
}

// The only engine is warming up, and more requests arrive than it accepts yet.
// They wait in order, as while the engine was cold.
TEST(ReplicaRateLimiterTest, RequestsWaitWhileItWarmsUpToo) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine", "a", rig.now);
  for (int n = 0; n < 20; ++n) {
    rig.Call("stream");
  }
  EXPECT_EQ(rig.sent.size(), 12U);
  EXPECT_TRUE(rig.refused.empty());
  rig.Pass(SlowStart::kDuration);
  EXPECT_EQ(rig.sent.size(), 20U);
}

// Model of one cold replica and a changing set of gateways. Gateways join,
// restart, do not know each other, and send as fast as they may, over links
// with up to 300 ms delay. In no interval of one second may more requests
// arrive than the limit.
class ColdFleet {
 public:
  void Add(TimeUs now) {
    const NodeId name = "g" + std::to_string(gateways_.size());
    Gateway& gateway = gateways_[name];
    gateway.limit = LimitOf(name, {});
    gateway.settled_at = now + kSecond;
    // The new gateway reads the names of all others, and they learn its name.
    for (auto& [other, it] : gateways_) {
      gateway.known.insert(other);
      it.known.insert(name);
    }
  }
  // The state of the restarted gateway is lost; it reads the names of all
  // gateways from the store.
  void Restart(TimeUs now, int n) {
    auto it =
        std::next(gateways_.begin(), n % static_cast<int>(gateways_.size()));
    it->second.limit = LimitOf(it->first, {});
    it->second.settled_at = now + kSecond;
    for (const auto& [other, unused] : gateways_) {
      it->second.known.insert(other);
    }
    // Requests that it had in transit may still arrive.
  }
  void Step(TimeUs now, const ReplicaEntry& replica, Random* random) {
    for (auto& [name, it] : gateways_) {
      it.limit->SetGateways(
          now, now >= it.settled_at
                   ? std::vector<NodeId>(it.known.begin(), it.known.end())
                   : std::vector<NodeId>());
      const auto wanted_requests = static_cast<int>(random->Below(4));
      for (int n = 0; n < wanted_requests && it.limit->MaySend(now, replica);
           ++n) {
        it.limit->OnSent(replica);
        const auto link = kMillisecond + static_cast<DurationUs>(
                                             random->Below(300 * kMillisecond));
        in_transit_.emplace(now + link, it.limit.get());
      }
    }
    while (!in_transit_.empty() && in_transit_.begin()->first <= now) {
      const auto [at, from] = *in_transit_.begin();
      in_transit_.erase(in_transit_.begin());
      arrivals_.push_back(at);
      for (auto& [name, it] : gateways_) {
        if (it.limit.get() == from) {
          it.limit->OnArrived(now, replica);
        }
      }
    }
  }
  std::size_t size() const { return gateways_.size(); }
  const std::vector<TimeUs>& arrivals() const { return arrivals_; }

 private:
  struct Gateway {
    std::unique_ptr<ReplicaRateLimiter> limit;
    std::set<NodeId> known;
    TimeUs settled_at = 0;
  };
  std::map<NodeId, Gateway> gateways_;
  std::multimap<TimeUs, ReplicaRateLimiter*> in_transit_;
  std::vector<TimeUs> arrivals_;
};

RC_GTEST_PROP(ReplicaRateLimiterModelTest, NoSecondSeesMoreThanTheBound, ()) {
  // Only the seed is drawn by rapidcheck, because shrinking a history of
  // thousands of draws would not work.
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  ColdFleet fleet;
  const std::uint64_t first = 1 + random.Below(60);
  for (std::uint64_t n = 0; n < first; ++n) {
    fleet.Add(0);
  }
  constexpr DurationUs kStep = 50 * kMillisecond;
  const ReplicaEntry replica = ColdReplica(3600 * kSecond);
  TimeUs now = 2 * kSecond;
  int restarts = 0;
  for (int n = 0; n < 120; ++n) {
    now += kStep;
    const std::uint64_t event = random.Below(40);
    if (event == 0 && fleet.size() < 80) {
      fleet.Add(now);
    } else if (event == 1 && restarts < 3) {
      ++restarts;
      fleet.Restart(now, static_cast<int>(random.Below(100)));
    }
    fleet.Step(now, replica, &random);
  }
  std::vector<TimeUs> at = fleet.arrivals();
  std::sort(at.begin(), at.end());
  for (std::size_t n = kMaxRequestsPerSecond; n < at.size(); ++n) {
    RC_ASSERT(at[n] - at[n - kMaxRequestsPerSecond] > kSecond);
  }
}

}  // namespace
}  // namespace acaciachute
