// Tests of engine choice, plain replica choice, the service retry budget, the
// event splitter and stage progress.
#include <gtest/gtest.h>

#include "coordination/choice/engine_choice.h"
#include "coordination/choice/plain_choice.h"
#include "coordination/gateway/event_splitter.h"
#include "coordination/gateway/service_retry_budget.h"
#include "coordination/stages/stage_progress.h"
#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

struct Fleet : DirectoryWatcher {
  explicit Fleet(int n) {
    for (int k = 0; k < n; ++k) {
      ReplicaEntry entry;
      entry.id = "r" + std::to_string(k);
      entry.service = "s";
      entry.address = {"10.0.0." + std::to_string(k), 80};
      entry.domain = k % 2 == 0 ? "a" : "b";
      entry.slots = 8;
      directory.Put(entry);
    }
  }
  void OnReplica(const ReplicaEntry&, DirectoryChange) override {}
  ReplicaDirectory directory{this};
  ReplicaRateLimiter replica_rate_limiter{"g1"};
  Random random{11};
};

EngineRequest Prompt(const std::vector<PromptPart>* parts) {
  std::uint64_t tokens = 0;
  for (const auto& it : *parts) {
    tokens += it.tokens;
  }
  return {parts, tokens, "", 0};
}

// Requests of one session arrive at different gateways that share no state. All
// gateways choose the same engine.
TEST(EngineChoiceTest, SendsASessionHome) {
  Fleet fleet(9);
  const std::vector<PromptPart> first = {
      {"sys", 500}, {"doc", 4000}, {"q1", 90}};
  const std::vector<PromptPart> second = {
      {"sys", 500}, {"doc", 4000}, {"q2", 90}};
  EngineChoice here(&fleet.directory, &fleet.replica_rate_limiter,
                    &fleet.random);
  EngineChoice there(&fleet.directory, &fleet.replica_rate_limiter,
                     &fleet.random);
  const auto* a = here.Choose(0, "s", Prompt(&first), {}, false);
  const auto* b = there.Choose(0, "s", Prompt(&second), {}, false);
  EXPECT_EQ(a->id, b->id);
}

// One session gets most of the traffic. Once the prompts unread at its home
// cost more than reading the shared parts again, other engines serve it too.
TEST(EngineChoiceTest, SpreadsAHotSession) {
  Fleet fleet(9);
  EngineChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                      &fleet.random);
  const std::vector<PromptPart> prompt = {
      {"sys", 500}, {"doc", 4000}, {"q", 3000}};
  std::set<ReplicaId> used;
  for (int n = 0; n < 12; ++n) {
    const auto* it = choice.Choose(0, "s", Prompt(&prompt), {}, false);
    choice.OnSent(it->id, Prompt(&prompt));
    used.insert(it->id);
  }
  EXPECT_GE(used.size(), 3U);
}

// The home of a session is busy, and each of a hundred gateways sees one of its
// requests. They agree on the second home, so the shared parts are read again
// by one engine, not by many. Once the second home is loaded too, other engines
// are used.
TEST(EngineChoiceTest, GatewaysAgreeOnASecondHome) {
  Fleet fleet(9);
  const std::vector<PromptPart> prompt = {
      {"sys", 500}, {"doc", 4000}, {"q", 3000}};
  EngineChoice first(&fleet.directory, &fleet.replica_rate_limiter,
                     &fleet.random);
  const ReplicaId home = first.Choose(0, "s", Prompt(&prompt), {}, false)->id;
  std::set<ReplicaId> used;
  for (int n = 0; n < 100; ++n) {
    EngineChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                        &fleet.random);
    choice.SetPeerLoads("other", {{home, {8, 90'000}}});
    used.insert(choice.Choose(0, "s", Prompt(&prompt), {}, false)->id);
  }
  ASSERT_EQ(used.size(), 1U);
  const ReplicaId second = *used.begin();
  EXPECT_NE(second, home);
  EngineChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                      &fleet.random);
  choice.SetPeerLoads("other", {{home, {8, 90'000}}, {second, {4, 30'000}}});
  EXPECT_NE(choice.Choose(0, "s", Prompt(&prompt), {}, false)->id, second);
}

// Large results are stored in one failure domain, and no engine caches the
// prompt. The request goes to an engine in that domain, unless the unread
// prompts there cost more than fetching the results from another domain.
TEST(EngineChoiceTest, PrefersTheDomainOfLargeResults) {
  Fleet fleet(4);
  EngineChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                      &fleet.random);
  const std::vector<PromptPart> prompt = {{"q", 1000}};
  EngineRequest request = Prompt(&prompt);
  request.near_domain = "b";
  request.fetched_bytes = 7'500'000;
  EXPECT_EQ(choice.Choose(0, "s", request, {}, false)->domain, "b");
  choice.SetPeerLoads("other", {{"r1", {1, 60'000}}, {"r3", {1, 60'000}}});
  EXPECT_EQ(choice.Choose(0, "s", request, {}, false)->domain, "a");
}

// Load reported by other gateways counts like this gateway's own.
TEST(EngineChoiceTest, CountsTheWorkOfOthers) {
  Fleet fleet(2);
  EngineChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                      &fleet.random);
  choice.SetPeerLoads("other", {{"r0", {5, 900000}}});
  const std::vector<PromptPart> prompt = {{"q", 1000}};
  EXPECT_EQ(choice.Choose(0, "s", Prompt(&prompt), {}, false)->id, "r1");
  choice.SetPeerLoads("other", {{"r1", {5, 900000}}});
  EXPECT_EQ(choice.Choose(0, "s", Prompt(&prompt), {}, false)->id, "r0");
}

// One replica of four becomes ten times slower while its health check passes.
// It gets little more than the calls that detect its recovery.
TEST(PlainChoiceTest, AvoidsASlowReplica) {
  Fleet fleet(4);
  PlainChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                     &fleet.random);
  TimeUs now = 1000 * kSecond;
  int slow = 0;
  for (int n = 0; n < 400; ++n) {
    now += 10 * kMillisecond;
    const auto* it = choice.Choose(now, "s", "a", {}, true);
    const bool is_slow = it->id == "r0";
    slow += is_slow ? 1 : 0;
    const DurationUs time = (is_slow ? 150 : 15) * kMillisecond;
    choice.OnSent(now, it->id);
    choice.OnAnswer(now + time, it->id, now);
    choice.OnEnded(it->id, now);
  }
  EXPECT_LT(slow, 30);
}

// A replica stops responding, so it has no answer times. The age of its oldest
// call in progress keeps other calls away from it.
TEST(PlainChoiceTest, AvoidsAnUnresponsiveReplica) {
  Fleet fleet(2);
  PlainChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                     &fleet.random);
  const TimeUs now = 1000 * kSecond;
  choice.OnSent(now - 500 * kMillisecond, "r0");
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(choice.Choose(now, "s", "a", {}, false)->id, "r1");
  }
}

// Lists a replica that started at the address of `ended`, whose row stays.
void Replace(Fleet* fleet, const ReplicaId& ended, const ReplicaId& started) {
  ReplicaEntry entry = *fleet->directory.Find(ended);
  entry.id = started;
  fleet->directory.Put(entry);
}

// Guards against sending to ended replicas, which have nothing in progress, as
// long as their rows stay, though others have started at their addresses.
TEST(PlainChoiceTest, ChoosesWhoeverStartedLaterAtAnAddress) {
  Fleet fleet(2);
  Replace(&fleet, "r0", "s0");
  Replace(&fleet, "r1", "s1");
  PlainChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                     &fleet.random);
  for (int n = 0; n < 20; ++n) {
    const ReplicaId id = choice.Choose(0, "s", "a", {}, true)->id;
    EXPECT_TRUE(id == "s0" || id == "s1") << id.name;
    choice.OnSent(0, id);
  }
  fleet.directory.Remove(0, "s0");
  EXPECT_FALSE(fleet.directory.Find("r0")->superseded);
}

// Guards against a row of another writer which names the address of a running
// replica, and would take all of its work.
TEST(PlainChoiceTest, ChoosesWhoeverTheAddressAnswersFor) {
  Fleet fleet(1);
  Replace(&fleet, "r0", "wrong");
  PlainChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                     &fleet.random);
  EXPECT_EQ(choice.Choose(0, "s", "a", {}, true)->id, "wrong");
  fleet.replica_rate_limiter.refusals().OnMisdirected(0, "wrong");
  EXPECT_EQ(choice.Choose(0, "s", "a", {}, true)->id, "r0");
  EXPECT_EQ(
      choice.Choose(RecentRefusals::kMisdirectedBackoff, "s", "a", {}, true)
          ->id,
      "wrong");
}

TEST(EngineChoiceTest, ChoosesWhoeverStartedLaterAtAnAddress) {
  Fleet fleet(2);
  Replace(&fleet, "r0", "s0");
  fleet.replica_rate_limiter.refusals().OnMisdirected(0, "r1");
  EngineChoice choice(&fleet.directory, &fleet.replica_rate_limiter,
                      &fleet.random);
  const std::vector<PromptPart> prompt = {{"q", 1000}};
  for (int n = 0; n < 20; ++n) {
    EXPECT_EQ(choice.Choose(0, "s", Prompt(&prompt), {}, false)->id, "s0");
    choice.OnSent("s0", Prompt(&prompt));
  }
}

// Every call fails. The retries of all gateways together stay within the
// allowance, for any number of gateways.
TEST(ServiceRetryBudgetTest, KeepsTheSumOverGateways) {
  constexpr int kGateways = 5;
  const ServiceRetryBudgetLimits limits = {0.2, 56, 10 * kSecond};
  Metrics metrics;
  QuietLog log;
  std::vector<ServiceRetryBudget> budgets(kGateways, {"s", &metrics, &log});
  for (auto& it : budgets) {
    it.SetLimits(0, limits);
    it.SetGatewayCount(0, kGateways);
  }
  int repeats = 0;
  int requests = 0;
  for (int n = 0; n < 1000; ++n) {
    const TimeUs now = n * 10 * kMillisecond;
    ServiceRetryBudget& it = budgets[static_cast<std::size_t>(n) % kGateways];
    it.OnRequest(now);
    ++requests;
    repeats += it.TryUse(now, {}) ? 1 : 0;
  }
  EXPECT_LE(repeats, 0.2 * requests + 56);
  EXPECT_GT(repeats, 50);
}

TEST(EventSplitterTest, HoldsBackHalfAnEvent) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Add("id: 7\ndata: a\n"), "");
  EXPECT_EQ(splitter.Add("\nid: 8\n"), "id: 7\ndata: a\n\n");
  EXPECT_EQ(splitter.last_event_id(), 7U);
  EXPECT_EQ(splitter.Add("data: b\r\n\r"), "");
  EXPECT_EQ(splitter.Add("\n"), "id: 8\ndata: b\r\n\r\n");
  EXPECT_EQ(splitter.last_event_id(), 8U);
}

// A stage with a large result runs beside a chain of three stages. It is
// started together with the last stage of the chain, so that its result does
// not occupy memory earlier.
TEST(StageProgressTest, PutsAStageOffThatIsNeededLate) {
  const std::vector<StageSpec> stages = {{"big", {}, 800000},
                                         {"a", {}, 8000},
                                         {"b", {1}, 60000},
                                         {"c", {2}, 6000}};
  const std::vector<DurationUs> times(4, 400 * kMillisecond);
  StageProgress progress(stages, {1, 1, 1, 1}, times);
  EXPECT_EQ(progress.TakeReady(), std::vector<std::uint32_t>{1});
  progress.OnMade(1, 0, "x");
  EXPECT_EQ(progress.TakeReady(), std::vector<std::uint32_t>{2});
  progress.OnMade(2, 0, "y");
  EXPECT_EQ(progress.TakeReady(), (std::vector<std::uint32_t>{0, 3}));
  EXPECT_EQ(progress.TakeUnneeded(), std::vector<std::string>{"x"});
  progress.OnMade(0, 0, "big");
  progress.OnMade(3, 0, "z");
  EXPECT_TRUE(progress.Complete());
  EXPECT_EQ(progress.FinalResults(), (std::vector<std::string>{"big", "z"}));
}

// A stage that is the only user of a result may release it. A stage without
// pieces does not count as a user.
TEST(StageProgressTest, KnowsTheOnlyUserOfAResult) {
  const std::vector<StageSpec> stages = {
      {"a", {}, 1}, {"b", {0}, 1}, {"c", {0}, 1}, {"d", {1}, 1}};
  const std::vector<DurationUs> times(4, kMillisecond);
  const StageProgress both(stages, {1, 1, 1, 1}, times);
  EXPECT_FALSE(both.OnlyUserOfItsInputs(1));
  EXPECT_TRUE(both.OnlyUserOfItsInputs(3));
  const StageProgress one(stages, {1, 1, 0, 1}, times);
  EXPECT_TRUE(one.OnlyUserOfItsInputs(1));
}

TEST(StageProgressTest, LeavesOutStagesWithoutPieces) {
  const std::vector<StageSpec> stages = {{"big", {}, 800000}};
  StageProgress progress(stages, {0}, {400 * kMillisecond});
  progress.TakeReady();
  EXPECT_TRUE(progress.Complete());
  EXPECT_TRUE(progress.FinalResults().empty());
}

}  // namespace
}  // namespace acaciachute
