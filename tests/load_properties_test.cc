// Properties of the load decisions that hold for every history of arrivals,
// answers and failures.
#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <vector>

#include "bench/decisions.h"
#include "coordination/admission/fair_share.h"
#include "coordination/admission/load_control.h"
#include "tests/property.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr std::array<double, 3> kWeights = {4, 2, 1};
constexpr double kAllWeights = 7;

// The requests admitted to a full pool never exceed the initial credits plus
// the number of answers, whichever accounts send them and how often.
void CheckTakenIsBounded() {
  FairShare shares;
  double taken = 0;
  double answers = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 4));
  for (const int step : steps) {
    if (step == 3) {
      shares.OnAnswer();
      ++answers;
    } else if (shares.HasCredit(step, kWeights[step])) {
      shares.Spend(step, kWeights[step], true);
      ++taken;
    }
  }
  RC_ASSERT(taken <= FairShare::kMaxCredits * kWeights.size() + answers);
}

// An account that sends no more than its share is never refused, however often
// the others send in between.
void CheckOwnShareIsKept() {
  FairShare shares;
  const auto account = *rc::gen::inRange<std::size_t>(0, kWeights.size());
  const auto others =
      *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 20));
  double share_due = 0;
  for (const int n : others) {
    for (int k = 0; k < n; ++k) {
      const auto other = (account + 1 + k % 2) % kWeights.size();
      if (shares.HasCredit(other, kWeights[other])) {
        shares.Spend(other, kWeights[other], true);
      }
    }
    shares.OnAnswer();
    share_due += kWeights[account] / kAllWeights;
    if (share_due >= 1) {
      share_due -= 1;
      RC_ASSERT(shares.HasCredit(account, kWeights[account]));
      shares.Spend(account, kWeights[account], true);
    }
  }
}

// However many urgent requests an account has sent, it gets a credit again
// after a bounded number of answers.
void CheckNobodyStarves() {
  FairShare shares;
  const auto account = *rc::gen::inRange<std::size_t>(0, kWeights.size());
  const auto taken = *rc::gen::inRange(0, 200);
  for (int n = 0; n < taken; ++n) {
    shares.Spend(account, kWeights[account], true);
  }
  const double max_answers =
      std::ceil((FairShare::kMaxDebt + 1) * kAllWeights / kWeights[account]) +
      1;
  for (int n = 0; n < max_answers; ++n) {
    for (std::size_t other = 0; other < kWeights.size(); ++other) {
      if (other != account && shares.HasCredit(other, kWeights[other])) {
        shares.Spend(other, kWeights[other], true);
      }
    }
    shares.OnAnswer();
  }
  RC_ASSERT(shares.HasCredit(account, kWeights[account]));
}

// Requests are admitted, sent, answered, refused, failed and given up in any
// order. After all have ended, all counts are zero again.
void CheckCountsReturnToZero() {
  Branch branch;
  branch.name = "b";
  branch.version = 1;
  for (const char* name : {"retrieve", "generate"}) {
    branch.pools[name].replicas = {{StrCat(name, "-1"), "127.0.0.1", 1, "d"},
                                   {StrCat(name, "-2"), "127.0.0.1", 2, "d"}};
    branch.events["round"].stages.push_back({name, "/v1/run"});
  }
  const SettingsPtr settings = Settings().With(branch);
  Random random(1);
  ReplicaTable replicas;
  LoadControl control("entry-1", &replicas, &random);
  replicas.Apply(*settings);
  control.OnSettings(settings);
  const Event& event = *settings->FindEvent("round");
  const auto steps =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6));
  std::vector<RequestLoad> open;
  TimeUs now = kSecond;
  for (const int step : steps) {
    now += kMillisecond;
    for (Replica* it : replicas.All()) {
      it->incarnation = 1;
      it->state = NodeState::kReady;
      it->load = {0, it->own_in_progress, it->own_urgent, 4, 1000};
      control.OnReport(it);
    }
    RequestLoad load;
    const auto caller_class = static_cast<CallerClass>(step % 2);
    control.Admit(now, "round", event, "office", caller_class, 5 * kSecond,
                  &load);
    RC_ASSERT(load.pipeline != nullptr);
    Replica* replica =
        control.Choose(now, settings, "retrieve", {}, caller_class, true);
    if (step > 0 && replica != nullptr) {
      control.OnAttemptStart(&load, replica);
      control.OnAttemptEnd(now, &load, replica,
                           static_cast<AttemptEnd>(step - 1), 1000);
    }
    open.push_back(std::move(load));
  }
  for (RequestLoad& load : open) {
    control.OnRequestEnd(&load);
    control.OnRequestEnd(&load);  // Has no effect.
  }
  for (Replica* it : replicas.All()) {
    RC_ASSERT(it->own_in_progress == 0U);
    RC_ASSERT(it->own_urgent == 0U);
  }
  RequestLoad last;
  control.Admit(now, "round", event, "office", CallerClass::kPatient, kSecond,
                &last);
  for (const StageEstimate& it : *last.pipeline) {
    RC_ASSERT(it.pool->load.Wait(CallerClass::kPatient) == 0);
  }
}

// Under any mix of load and failures, every request ends exactly once:
// answered, refused or given up. No request that may run only once runs twice.
void CheckEachRequestEndsOnce() {
  bench::Pattern pattern;
  pattern.load = *rc::gen::inRange(1, 30) / 10.0;
  pattern.hot = *rc::gen::inRange(1, 10);
  pattern.slow = *rc::gen::inRange(1, 6);
  pattern.failing = *rc::gen::arbitrary<bool>();
  pattern.domain_lost = *rc::gen::arbitrary<bool>();
  pattern.report_lag = *rc::gen::inRange(0, 2000) * kMillisecond;
  const auto result =
      bench::Run(bench::kDeployments[0], pattern, bench::Policy::kReal,
                 *rc::gen::inRange(1, 1000), 13 * kSecond);
  RC_ASSERT(result.unanswered == 0U);
  RC_ASSERT(result.twice == 0U);
  RC_ASSERT(result.doubled == 0U);
}

TEST(LoadPropertiesTest, WhatAFullPoolTakesIsBounded) {
  EXPECT_EQ(CounterExample(21, 300, CheckTakenIsBounded), "");
}

TEST(LoadPropertiesTest, AnAccountKeepsItsShare) {
  EXPECT_EQ(CounterExample(22, 300, CheckOwnShareIsKept), "");
}

TEST(LoadPropertiesTest, NoAccountStarves) {
  EXPECT_EQ(CounterExample(23, 300, CheckNobodyStarves), "");
}

TEST(LoadPropertiesTest, CountsReturnToZero) {
  EXPECT_EQ(CounterExample(24, 200, CheckCountsReturnToZero), "");
}

TEST(LoadPropertiesTest, EachRequestEndsOnce) {
  EXPECT_EQ(CounterExample(25, 25, CheckEachRequestEndsOnce), "");
}

}  // namespace
}  // namespace acaciachute
