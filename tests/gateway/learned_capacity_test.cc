// Tests of what each replica takes well, at plain services and engines whose
// replicas differ, in virtual time.
#include "coordination/choice/learned_capacity.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>

#include "coordination/choice/engine_choice.h"
#include "platform/requests.h"
#include "tests/gateway/gateway_rig.h"
#include "tests/gateway/uneven_service.h"

namespace acaciachute {
namespace {

// Requests a second that all slots of `speed` together complete.
double CapacityOf(double speed) {
  return speed * UnevenService::kSlots * kSecond /
         static_cast<double>(UnevenService::kWork);
}

// Two replicas are twice as fast as the two others, and nine tenths of what all
// can do arrive.
TEST(UnevenLoadTest, TwoSpeedsNearCapacity) {
  UnevenService service({{1}, {1}, {2}, {2}}, 5);
  const double load = 0.9 * CapacityOf(6);
  service.Run(5 * kSecond, load);
  const auto counts = service.Run(10 * kSecond, load);
  EXPECT_GE(counts.InTime(), 0.95);
  const double slow = counts.ShareOf("r0") + counts.ShareOf("r1");
  EXPECT_NEAR(slow, 1.0 / 3, 0.1 / 3);
}

// Twice what all can do arrives; what fits is served.
TEST(UnevenLoadTest, TwoSpeedsAtTwiceTheCapacity) {
  UnevenService service({{1}, {1}, {2}, {2}}, 5);
  const double load = 2 * CapacityOf(6);
  service.Run(5 * kSecond, load);
  const auto counts = service.Run(10 * kSecond, load);
  EXPECT_GE(counts.InTime(), 0.95 * 0.5);
}

// One replica takes three times as long once over half of its slots are in use.
// With half of all slots needed, it gets what keeps it below that.
TEST(UnevenLoadTest, PaceFallsWithLoad) {
  UnevenService service({{1, 3}, {1}, {1}, {1}}, 5);
  const double load = 0.55 * CapacityOf(4);
  service.Run(5 * kSecond, load);
  const auto counts = service.Run(10 * kSecond, load);
  EXPECT_GE(counts.InTime(), 0.98);
  EXPECT_LT(counts.ShareOf("r0"), 0.25);
}

// Machines become two and a half times slower for moments, by turns.
TEST(UnevenLoadTest, MachinesSlowForMoments) {
  const auto mean_time = [](bool states_load) {
    std::vector<UnevenMachine> machines(3);
    for (std::size_t n = 0; n < machines.size(); ++n) {
      machines[n].pace = [n](TimeUs now) {
        constexpr DurationUs kMoment = 400 * kMillisecond;
        return now / kMoment % 3 == static_cast<TimeUs>(n) ? 2.5 : 1.0;
      };
    }
    UnevenService service(machines, 5);
    service.states_load = states_load;
    const double load = 0.5 * CapacityOf(3);
    service.Run(5 * kSecond, load);
    const auto counts = service.Run(10 * kSecond, load);
    return counts.total_time / counts.sent;
  };
  EXPECT_LT(mean_time(true), mean_time(false));
}

// A replica becomes four times slower, and recovers. Each time its share has
// followed within two seconds.
TEST(UnevenLoadTest, FollowsAChange) {
  UnevenService service({{1}, {1}, {1}}, 5);
  const double load = 0.5 * CapacityOf(3);
  service.Run(5 * kSecond, load);
  service.MachineOf("r0").speed = 0.25;
  service.Run(2 * kSecond, load);
  EXPECT_LT(service.Run(kSecond, load).ShareOf("r0"), 0.15);
  service.MachineOf("r0").speed = 1;
  service.Run(2 * kSecond, load);
  EXPECT_NEAR(service.Run(kSecond, load).ShareOf("r0"), 1.0 / 3, 0.1);
}

// Guards against replicas that draw load by what they state: one says that it
// is idle and fast and takes four times as long, one that it is slow and is
// not.
TEST(UnevenLoadTest, ALyingReplicaDrawsNoLoad) {
  const double load = 0.4 * CapacityOf(3);
  const auto share = [&](double speed, std::function<StatedLoad()> lie) {
    UnevenService service(
        {{speed, 1, [](TimeUs) { return 1.0; }, lie}, {1}, {1}}, 5);
    service.Run(5 * kSecond, load);
    return service.Run(10 * kSecond, load).ShareOf("r0");
  };
  const auto idle = [] { return StatedLoad{0, 0, 6, 0.5}; };
  const auto slow = [] { return StatedLoad{0, 0, 6, 4.0}; };
  EXPECT_LE(share(0.25, idle), share(0.25, nullptr) + 0.02);
  EXPECT_LE(share(1, slow), 1.0 / 3 + 0.02);
}

// Guards against a replica that inherits the slowness of the one before it.
TEST(UnevenLoadTest, ARebornReplicaStartsFromTheMiddle) {
  UnevenService service({{0.25}, {1}, {1}}, 5);
  const double load = 0.5 * CapacityOf(3);
  service.Run(10 * kSecond, load);
  service.Restart("r0", {1});
  EXPECT_GT(service.Run(kSecond, load).ShareOf("r0"), 0.25);
}

// Guards against gateways that depend on each other's figures: no heartbeat
// arrives, and each learns by its own answers.
TEST(UnevenLoadTest, PeersFiguresAreLost) {
  UnevenService service({{1}, {1}, {2}, {2}}, 5);
  service.heartbeats_arrive = false;
  const double load = 0.8 * CapacityOf(6);
  service.Run(5 * kSecond, load);
  EXPECT_GE(service.Run(10 * kSecond, load).InTime(), 0.95);
}

// Replicas that do not differ, and state no load, are chosen as without it.
TEST(UnevenLoadTest, EqualReplicasAreChosenAsBefore) {
  UnevenService service({{1}, {1}, {1}}, 5);
  service.states_load = false;
  service.Run(20 * kSecond, 0.7 * CapacityOf(3));
  for (std::size_t n = 0; n < 5; ++n) {
    EXPECT_EQ(service.CapacityOf(n)->Find(service.now(), "s"), nullptr);
  }
  EXPECT_FALSE(service.log().Saw("replica_pace"));
}

TEST(LearnedCapacityTest, FiguresStayWithinTheirBytes) {
  EXPECT_EQ(LearnedCapacity::FiguresPerHeartbeat(0, kSecond), 0U);
  EXPECT_EQ(LearnedCapacity::FiguresPerHeartbeat(1, kSecond), 16U);
  for (const std::size_t peers : {5U, 20U, 100U}) {
    const std::size_t figures =
        LearnedCapacity::FiguresPerHeartbeat(peers, 150 * kMillisecond);
    EXPECT_GE(figures, 1U);
    EXPECT_TRUE(figures == 1 || figures * 15 * peers / 0.15 <= 4000);
  }
}

// Costs of a service are found by its answers, with one in twenty far off.
TEST(WorkFitTest, FindsTheCostsAmongOutliers) {
  WorkFit fit({20, 10, 10, 45, 0}, {50, 20, 20, 200, 1});
  Random random(3);
  const auto true_ms = [](const ReplicaWork& work) {
    return 30 + 0.007 * work.unread_tokens + 0.02 * work.read_tokens +
           60 * work.in_progress / work.slots;
  };
  for (int n = 0; n < 1000; ++n) {
    ReplicaWork work;
    work.unread_tokens = static_cast<double>(random.Below(20000));
    work.read_tokens = static_cast<double>(random.Below(8000));
    work.in_progress = static_cast<double>(random.Below(20));
    work.slots = 48;
    const bool outlier = random.Below(20) == 0;
    fit.Add(work, true_ms(work) * (outlier ? 8 : 1));
  }
  const ReplicaWork work{8000, 4000, 10, 48};
  EXPECT_NEAR(fit.Predict(work) / true_ms(work), 1, 0.25);
  EXPECT_NEAR(fit.ReadCost(), 20, 6);
}

// Guards against a log that fills with what a replica repeats in each answer,
// and against statements that are heard in some kinds of answer only.
TEST(LearnedCapacityTest, HearsLoadInAllAnswersAndLogsUnreadableOnesOnce) {
  GatewayRig rig;
  rig.AddReplica("r1", "app");
  const auto answer = [&](const std::string& load, int status) {
    HttpAnswerHead head;
    head.status = status;
    head.fields = {{"Replica-Seal", "x"}, {"Replica-Load", load}};
    rig.Call("plain");
    rig.AnswerWith(rig.sent.back().call, platform::ReadReplicaHead(head), "b");
  };
  for (int n = 0; n < 5; ++n) {
    answer("9,0,8", 200);
  }
  EXPECT_EQ(std::count(rig.log.events.begin(), rig.log.events.end(),
                       "statement_unreadable"),
            1);
  EXPECT_EQ(
      rig.metrics.Value("acaciachute_gateway_statements_unreadable_total"), 5U);
  EXPECT_EQ(rig.core.capacity()->StatedInProgress(rig.now, "r1"), 0);
  for (const int status : {200, 404, 500}) {
    answer(std::to_string(status / 100) + ",0,8,100", status);
    EXPECT_EQ(rig.core.capacity()->StatedInProgress(rig.now, "r1"),
              status / 100);
  }
  const StatedLoad load{3, 4, 8, 1.5};
  ReplicaStatement statement;
  statement.load = load;
  rig.core.OnStatement("maker-0", statement);
  EXPECT_EQ(rig.core.capacity()->StatedInProgress(rig.now, "maker-0"), 7);
}

struct Engines : DirectoryWatcher {
  explicit Engines(int n) {
    for (int k = 0; k < n; ++k) {
      ReplicaEntry entry;
      entry.id = ReplicaId("e" + std::to_string(k), 1);
      entry.service = "s";
      entry.address = {"10.0.0." + std::to_string(k), 80};
      entry.domain = "a";
      entry.slots = 48;
      directory.Put(entry);
    }
  }
  void OnReplica(const ReplicaEntry&, DirectoryChange) override {}

  // Each engine answers, `factor` times as late as the middle.
  void Answer(TimeUs now, const std::string& engine, double factor) {
    const ReplicaWork work{static_cast<double>(random.Below(8000)), 3000,
                           static_cast<double>(random.Below(12)), 48};
    const double ms = factor * (40 + 0.01 * (work.unread_tokens + 3000));
    capacity.OnAnswer(now, ReplicaId(engine, 1), work,
                      static_cast<DurationUs>(ms * kMillisecond));
    capacity.OnStreamEnded(
        now, ReplicaId(engine, 1), work, 11,
        static_cast<DurationUs>(factor * 300 * kMillisecond));
  }
  const ReplicaEntry* Choose(TimeUs now, DurationUs pause) {
    const std::vector<PromptPart> prompt = {{"q", 3000}};
    EngineRequest request = {&prompt, 3000, "", 0, pause};
    return choice.Choose(now, "s", request, {}, false);
  }

  Metrics metrics;
  QuietLog log;
  ReplicaDirectory directory{this};
  ReplicaRateLimiter limiter{"g1"};
  Random random{5};
  LearnedCapacity capacity{&directory, &metrics, &log};
  EngineChoice choice{&directory, &limiter, &random, &capacity};
};

// Engines are from half to twice as fast as each other. The fast ones get the
// requests, until what waits there costs more than the slow ones do.
TEST(UnevenEnginesTest, FastEnginesGetMore) {
  Engines engines(8);
  TimeUs now = 1000 * kSecond;
  const auto learn = [&] {
    for (int n = 0; n < 400; ++n, now += 5 * kMillisecond) {
      const int k = n % 8;
      engines.Answer(now, "e" + std::to_string(k), k < 4 ? 2 : 0.7);
    }
  };
  learn();
  std::map<std::string, int> sent;
  const std::vector<PromptPart> prompt = {{"q", 3000}};
  for (int n = 0; n < 80; ++n) {
    const ReplicaEntry* it = engines.Choose(now, 0);
    engines.choice.OnSent(it->id, {&prompt, 3000, "", 0});
    ++sent[it->id.name];
  }
  int slow = 0;
  for (int k = 0; k < 4; ++k) {
    slow += sent["e" + std::to_string(k)];
  }
  EXPECT_LT(slow, 30);
  EXPECT_GT(slow, 8);
  EXPECT_TRUE(engines.log.Saw("replica_pace"));
}

// One engine makes an event in 100 ms: a stream whose route wants 50 goes
// elsewhere, also where its first event would be late.
TEST(UnevenEnginesTest, SlowStepsTakeNoStreamsThatWantShortPauses) {
  Engines engines(2);
  TimeUs now = 1000 * kSecond;
  for (int n = 0; n < 400; ++n, now += 5 * kMillisecond) {
    engines.Answer(now, "e0", 3);
    engines.Answer(now, "e1", 0.5);
  }
  engines.choice.SetPeerLoads("g2", {{ReplicaId("e1", 1), {10, 400'000}}});
  EXPECT_EQ(engines.Choose(now, 0)->id.name, "e0");
  EXPECT_EQ(engines.Choose(now, 60 * kMillisecond)->id.name, "e1");
}

// A choice among many engines costs no more than a choice by tokens does, but
// for a bounded part; the figures are printed.
TEST(UnevenEnginesTest, CostOfAChoice) {
  for (const int n : {40, 1500}) {
    Engines engines(n);
    const auto measure = [&](TimeUs now) {
      constexpr int kChoices = 200;
      const auto begin = std::chrono::steady_clock::now();
      for (int k = 0; k < kChoices; ++k) {
        engines.Choose(now + k * kMillisecond, 0);
      }
      const std::chrono::duration<double, std::micro> took =
          std::chrono::steady_clock::now() - begin;
      return took.count() / kChoices;
    };
    const double before = measure(1000 * kSecond);
    for (int k = 0; k < n; ++k) {
      engines.capacity.OnStatement(1000 * kSecond,
                                   ReplicaId("e" + std::to_string(k), 1),
                                   {1, 0, 48, 1.0});
      engines.Answer(1000 * kSecond, "e" + std::to_string(k), 1);
    }
    ASSERT_NE(engines.capacity.Find(1000 * kSecond, "s"), nullptr);
    const double after = measure(1000 * kSecond);
    std::printf("choice among %d engines: %.1f us by tokens, %.1f us learned\n",
                n, before, after);
  }
}

}  // namespace
}  // namespace acaciachute
