// Unit tests of the load decisions, without a network.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/admission/admission.h"
#include "coordination/admission/fair_share.h"
#include "coordination/admission/load_control.h"
#include "coordination/admission/return_schedule.h"
#include "coordination/choice/router.h"
#include "coordination/choice/subset.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr DurationUs kService = 500 * kMillisecond;

Replica MakeReplica(const std::string& node, std::uint32_t in_progress) {
  Replica replica;
  replica.address.node = node;
  replica.address.failure_domain = "domain-1";
  replica.pool = "generate";
  replica.incarnation = 1;
  replica.state = NodeState::kReady;
  replica.load = {0, in_progress, 0, 4, kService};
  return replica;
}

// A pool of one replica with four slots, all in use, and `queued` waiting
// patient calls.
struct OnePool {
  explicit OnePool(std::uint32_t queued) : replica(MakeReplica("g-1", 4)) {
    replica.load.queued = queued;
    pool.load.Update(&replica);
  }
  AdmissionVerdict Decide(CallerClass caller_class, DurationUs time_left) {
    return Admission().Decide({{&pool, kService}},
                              {caller_class, 0, 1, time_left});
  }
  Replica replica;
  PoolState pool;
};

// A patient request is refused before any work is done if its wait and service
// time do not fit into its deadline, and the verdict says how long the shortage
// lasts. With more time left, it is admitted.
TEST(AdmissionTest, RefusesWhatCannotBeInTime) {
  OnePool full(40);  // Five seconds of work for four slots.
  const auto verdict = full.Decide(CallerClass::kPatient, 5 * kSecond);
  EXPECT_EQ(verdict.reason, Refusal::kFull);
  EXPECT_GT(verdict.wait, 0);
  EXPECT_EQ(full.Decide(CallerClass::kPatient, 30 * kSecond).reason,
            Refusal::kNone);
}

// Forty patient calls wait. An urgent call waits only until the next slot is
// released, so a deadline that is too short for a patient call is sufficient
// for it.
TEST(AdmissionTest, UrgentIsNotRefusedForPatientWork) {
  OnePool full(40);
  EXPECT_EQ(full.Decide(CallerClass::kUrgent, kSecond).reason, Refusal::kNone);
  EXPECT_LE(full.pool.load.Wait(CallerClass::kUrgent), kService / 4 + 1);
}

TEST(AdmissionTest, RefusesNobodyForAPoolThatHasNotAnswered) {
  OnePool fresh(1000);
  fresh.replica.load.service_us = 0;
  fresh.pool.load.Update(&fresh.replica);
  EXPECT_EQ(fresh.Decide(CallerClass::kPatient, kSecond).reason,
            Refusal::kNone);
}

// An entry's own calls appear both in the replica's report and in the entry's
// own count. Counting them twice would make a pool look full at half its load;
// not counting them would ignore calls sent since the report.
TEST(PoolLoadTest, CountsOwnWorkOnce) {
  Replica replica = MakeReplica("g-1", 4);
  replica.own_in_progress = replica.own_at_report = 3;
  EXPECT_EQ(replica.Work(), 4U);
  replica.own_in_progress = 8;
  EXPECT_EQ(replica.Work(), 9U);
}

TEST(PoolLoadTest, ReplicaThatLeavesTakesItsSlotsAlong) {
  Replica replica = MakeReplica("g-1", 4);
  PoolLoad load;
  load.Update(&replica);
  EXPECT_TRUE(load.known());
  replica.state = NodeState::kLeaving;
  load.Update(&replica);
  EXPECT_FALSE(load.known());
}

// One replica fails every call fast, so it always has the least work in
// progress. Callers lose the few requests needed to detect this; afterwards the
// replica gets one idempotent probe per probe period, and never a request that
// may run only once.
TEST(RouterTest, FailingReplicaIsShunnedAndProbed) {
  Random random(1);
  Router router(&random);
  Replica good = MakeReplica("good", 4);
  Replica bad = MakeReplica("bad", 0);
  const std::vector<Replica*> pool = {&good, &bad};
  TimeUs now = kSecond;
  const auto choose = [&](bool idempotent) {
    return router.Choose(now, pool, {}, CallerClass::kPatient, idempotent);
  };
  int failures = 0;
  while (choose(false) == &bad) {
    bad.health.OnFailure(now);
    ASSERT_LE(++failures, 3);
  }
  now += ReplicaHealth::kProbeEvery;
  EXPECT_EQ(choose(false), &good);
  EXPECT_EQ(choose(true), &bad);
  EXPECT_EQ(choose(true), &good);
  while (bad.health.avoided()) {
    bad.health.OnSuccess();
    ASSERT_LE(++failures, 9);
  }
  EXPECT_EQ(choose(false), &bad);
}

// The only replica of a pool fails some calls and recovers. It must still get
// first attempts while it is excluded: otherwise callers would be refused until
// the next probe, and forever in a pool that gets only non-idempotent calls,
// which are never probes. Retries still avoid it.
TEST(RouterTest, OnlyReplicaIsUsedThoughShunned) {
  Random random(1);
  Router router(&random);
  Replica only = MakeReplica("only", 0);
  for (int n = 0; n < 5; ++n) {
    only.health.OnFailure(kSecond);
  }
  ASSERT_TRUE(only.health.avoided());
  EXPECT_EQ(router.Choose(kSecond, {&only}, {}, CallerClass::kUrgent, false),
            &only);
  EXPECT_EQ(
      router.Choose(kSecond, {&only}, {"other"}, CallerClass::kUrgent, false),
      nullptr);
}

// A pool gets only non-idempotent calls, which are never probes. Without a time
// limit on its exclusion, a replica that failed for a while would stay idle
// forever.
TEST(RouterTest, ShunnedReplicaIsTrustedAgainWithoutProbes) {
  Random random(1);
  Router router(&random);
  Replica good = MakeReplica("good", 4);
  Replica bad = MakeReplica("bad", 0);
  const std::vector<Replica*> pool = {&good, &bad};
  for (int n = 0; n < 5; ++n) {
    bad.health.OnFailure(kSecond);
  }
  const auto chosen = [&](TimeUs now) {
    int n = 0;
    for (int tries = 0; tries < 50; ++tries) {
      const Replica* it =
          router.Choose(now, pool, {}, CallerClass::kPatient, false);
      n += it == &bad ? 1 : 0;
    }
    return n;
  };
  const TimeUs trusted_again_at = kSecond + ReplicaHealth::kExclusionTimeout;
  EXPECT_EQ(chosen(trusted_again_at - 1), 0);
  EXPECT_GT(chosen(trusted_again_at), 0);
}

// With the same work in progress, a replica that is four times slower would
// answer last; it is used once the others are correspondingly more loaded.
TEST(RouterTest, SlowReplicaGetsItsPart) {
  Random random(1);
  Router router(&random);
  Replica fast = MakeReplica("fast", 4);
  Replica slow = MakeReplica("slow", 4);
  slow.load.service_us = 4 * kService;
  const std::vector<Replica*> pool = {&fast, &slow};
  const auto choose = [&] {
    return router.Choose(kSecond, pool, {}, CallerClass::kPatient, true);
  };
  EXPECT_EQ(choose(), &fast);
  fast.load.queued = 40;
  EXPECT_EQ(choose(), &slow);
}

TEST(RouterTest, NothingGoesToAReplicaThatWasTriedOrCannotBeReached) {
  Random random(1);
  Router router(&random);
  Replica only = MakeReplica("only", 0);
  const std::vector<Replica*> pool = {&only};
  const auto choose = [&](const std::vector<NodeId>& tried) {
    return router.Choose(kSecond, pool, tried, CallerClass::kUrgent, true);
  };
  EXPECT_EQ(choose({"only"}), nullptr);
  only.health.OnUnreachable();
  EXPECT_EQ(choose({}), nullptr);
  only.health.OnReport();
  EXPECT_EQ(choose({}), &only);
}

// A thousand callers are refused at the same time. With the same Retry-After
// they would all return in the same second; with the schedule, no second gets
// many more than the pool can serve.
TEST(ReturnScheduleTest, RefusedCallersComeBackApart) {
  Random random(1);
  ReturnSchedule returns(&random);
  constexpr DurationUs kCallTime = 25 * kMillisecond;  // 40 per second.
  std::map<DurationUs, int> by_second;
  for (int n = 0; n < 1000; ++n) {
    const DurationUs wait = returns.Next(0, 0, kCallTime);
    EXPECT_GE(wait, ReturnSchedule::kMinRetryAfter);
    EXPECT_LE(wait, ReturnSchedule::kMaxRetryAfter);
    ++by_second[wait / kSecond];
  }
  for (const auto& [second, n] : by_second) {
    EXPECT_LE(n, 41) << second;
  }
}

// With 1,500 replicas in eight failure domains, each entry uses its own subset
// with replicas of every domain, and the loss of one replica changes a subset
// only by that replica.
TEST(SubsetTest, SpreadsOverDomainsAndMovesLittle) {
  std::vector<Replica> replicas;
  replicas.reserve(1500);
  for (int n = 0; n < 1500; ++n) {
    replicas.push_back(MakeReplica(StrCat("g-", n), 0));
    replicas.back().address.failure_domain = StrCat("domain-", n % 8);
  }
  std::vector<Replica*> pool;
  pool.reserve(replicas.size());
  for (Replica& it : replicas) {
    pool.push_back(&it);
  }
  const auto chosen = SubsetOf(pool, "entry-1");
  std::map<std::string, int> by_domain;
  for (const Replica* it : chosen) {
    ++by_domain[it->address.failure_domain];
  }
  ASSERT_EQ(by_domain.size(), 8U);
  for (const auto& [domain, n] : by_domain) {
    EXPECT_EQ(n, static_cast<int>(kSubsetSize) / 8) << domain;
  }
  EXPECT_NE(chosen, SubsetOf(pool, "entry-2"));
  std::erase(pool, chosen.front());
  const auto after = SubsetOf(pool, "entry-1");
  const std::set<Replica*> before(chosen.begin(), chosen.end());
  std::size_t kept = 0;
  for (Replica* it : after) {
    kept += before.count(it);
  }
  EXPECT_EQ(kept, kSubsetSize - 1);
}

// Guards against entries that crash again and again and have all retries of the
// start each time: each lives for two seconds, and all attempts fail.
TEST(LoadControlTest, RestartsInSeriesDoNotRenewTheRetries) {
  constexpr int kLives = 10;
  int taken = 0;
  for (int life = 0; life < kLives; ++life) {
    RetryBudget budget;
    for (TimeUs now = 0; now < 2 * kSecond; now += 10 * kMillisecond) {
      budget.OnTime(now);
      taken += budget.TryUseRetry(now) ? 1 : 0;
    }
  }
  EXPECT_LE(taken, 3 * kLives);
}

// Retries are limited to a tenth of the first attempts, apart from the initial
// tokens, whatever fails. An attempt that was never sent does not count.
TEST(LoadControlTest, RetriesStayWithinTheirBudget) {
  RetryBudget budget;
  int taken = 0;
  TimeUs now = kSecond;
  for (int n = 0; n < 1000; ++n) {
    now += 100 * kMillisecond;
    budget.OnFirstAttempt();
    taken += budget.TryUseRetry(now) ? 1 : 0;
  }
  EXPECT_LE(taken, 1000 * RetryBudget::kTokensPerFirstAttempt +
                       RetryBudget::kMaxRetryTokens);
  EXPECT_GE(taken, 1000 * RetryBudget::kTokensPerFirstAttempt);
  Random random(1);
  ReplicaTable replicas;
  LoadControl control("entry-1", &replicas, &random);
  for (int n = 0; n < 100; ++n) {
    EXPECT_TRUE(control.TakeRetry(now, AttemptEnd::kUnsent));
  }
}

}  // namespace
}  // namespace acaciachute
