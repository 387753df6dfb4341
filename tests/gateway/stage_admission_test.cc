// Tests the decision about requests with stages, and what it is made from.
#include "coordination/admission/stage_admission.h"

#include <gtest/gtest.h>

#include "coordination/admission/first_event_times.h"
#include "coordination/admission/stage_waits.h"

namespace acaciachute {
namespace {

constexpr DurationUs kMs = kMillisecond;

// A chain of stages of 300 ms each, whose queues take `waits` now.
std::vector<StageOutlook> Chain(const std::vector<DurationUs>& waits) {
  std::vector<StageOutlook> stages;
  for (std::uint32_t n = 0; n < waits.size(); ++n) {
    StageOutlook it;
    it.service = "s" + std::to_string(n);
    if (n > 0) {
      it.after = {n - 1};
    }
    it.pieces = 4;
    it.time = 300 * kMs;
    it.result_lifetime = 4 * kSecond;
    it.wait.in_time.fill(waits[n]);
    it.wait.late = waits[n];
    stages.push_back(it);
  }
  return stages;
}

AdmissionCase Case(const std::vector<StageOutlook>& stages) {
  AdmissionCase it;
  it.in_time = ForecastPath(stages, 0, false);
  it.late = ForecastPath(stages, 0, true);
  it.work = kSecond;
  it.until_target = 1500 * kMs;
  it.until_client_leaves = 6 * kSecond;
  it.parked_ahead = 100 * kMs;
  return it;
}

// Guards against one backlog that is counted once at each stage.
TEST(StageAdmissionTest, AQueueDrainsUntilTheRequestGetsThere) {
  const PathForecast path =
      ForecastPath(Chain({500 * kMs, 900 * kMs}), 0, false);
  EXPECT_EQ(path.waits[0], 500 * kMs);
  EXPECT_EQ(path.submitted_in[1], 800 * kMs);
  EXPECT_EQ(path.waits[1], 100 * kMs);
  EXPECT_EQ(path.wait, 600 * kMs);
}

// Guards against a stage that fills up after the request was admitted.
TEST(StageAdmissionTest, WhatIsOnItsWayCountsWhenItArrives) {
  auto stages = Chain({0, 0});
  stages[1].wait.coming.fill(2 * kSecond);
  stages[1].wait.coming_within = 600 * kMs;
  const PathForecast path = ForecastPath(stages, 0, false);
  EXPECT_EQ(path.waits[0], 0);
  EXPECT_EQ(path.waits[1], 700 * kMs);
}

TEST(StageAdmissionTest, StagesSideBySideWaitTogether) {
  auto stages = Chain({400 * kMs, 300 * kMs});
  stages[1].after = {};
  EXPECT_EQ(ForecastPath(stages, 0, false).wait, 400 * kMs);
}

TEST(StageAdmissionTest, MadeAndSkippedStagesDoNotCount) {
  auto stages = Chain({kSecond, kSecond, 0});
  stages[0].made = true;
  stages[1].pieces = 0;
  EXPECT_EQ(ForecastPath(stages, 0, false).wait, 0);
}

// Guards against stage work that is thrown away because its results are deleted
// while the next stage waits.
TEST(StageAdmissionTest, NoStageWaitsLongerThanItsInputsAreKept) {
  AdmissionCase it = Case(Chain({0, 4400 * kMs}));
  EXPECT_TRUE(it.in_time.inputs_expire);
  it.until_target = 60 * kSecond;
  it.until_client_leaves = 60 * kSecond;
  EXPECT_EQ(StageAdmission::Decide(it), AdmissionResult::kParked);
  EXPECT_FALSE(StageAdmission::MayStartParked(it.late));
}

TEST(StageAdmissionTest, DecidesByTheTimeThatIsLeft) {
  EXPECT_EQ(StageAdmission::Decide(Case(Chain({400 * kMs, 0}))),
            AdmissionResult::kInTime);
  EXPECT_EQ(StageAdmission::Decide(Case(Chain({kSecond, 0}))),
            AdmissionResult::kLate);
  EXPECT_EQ(StageAdmission::Decide(Case(Chain({2 * kSecond, 0}))),
            AdmissionResult::kParked);
  EXPECT_EQ(StageAdmission::Decide(Case(Chain({3 * kSecond, 0}))),
            AdmissionResult::kRefused);
}

// Guards against clients that return when told and are refused again although
// the queue moved as forecast.
TEST(StageAdmissionTest, AClientThatReturnsWhenToldIsServed) {
  const AdmissionCase refused = Case(Chain({3 * kSecond, 0}));
  const DurationUs wait = StageAdmission::WaitUntilAdmitted(refused);
  EXPECT_GT(wait, 0);
  AdmissionCase it = Case(Chain({3 * kSecond - wait - kMs, 0}));
  it.until_target = 0;
  it.until_client_leaves -= wait;
  EXPECT_EQ(StageAdmission::Decide(it), AdmissionResult::kLate);
}

TEST(StageAdmissionTest, ListsTheStagesThatAreStillToCome) {
  auto stages = Chain({0, 0, 0});
  stages[0].submitted = true;
  const auto coming = ComingOf("r", stages, 2);
  ASSERT_EQ(coming.size(), 2U);
  EXPECT_EQ(coming[0].stage, 1U);
  EXPECT_EQ(coming[0].in, 300 * kMs);
  EXPECT_EQ(coming[1].in, 600 * kMs);
  EXPECT_EQ(coming[1].pieces, 4U);
}

TEST(StageWaitsTest, ComparesForecastsWithWhatCame) {
  StageWaits waits;
  EXPECT_FALSE(waits.OnMade(0, 0, 0));
  waits.OnForecast({100 * kMs, 200 * kMs});
  waits.OnSubmitted(kSecond, 0);
  EXPECT_EQ(waits.OnMade(1700 * kMs, 0, 300 * kMs), 300 * kMs);
  EXPECT_EQ(waits.Text(), "0:100/400 1:200");
}

TEST(FirstEventTimesTest, LearnsAnUpperQuantileAndForgets) {
  FirstEventTimes times(150 * kMs);
  EXPECT_EQ(times.Expected(0, "e"), 150 * kMs);
  for (int n = 1; n <= 10; ++n) {
    times.Add(n, "e", n * 100 * kMs);
  }
  EXPECT_EQ(times.Expected(20, "e"), 800 * kMs);
  EXPECT_EQ(times.Expected(20, "other"), 150 * kMs);
  EXPECT_EQ(times.Expected(FirstEventTimes::kMaxAge + 20, "e"), 150 * kMs);
}

}  // namespace
}  // namespace acaciachute
