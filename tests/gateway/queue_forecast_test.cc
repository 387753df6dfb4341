// Tests the forecast of the wait in one queue.
#include "coordination/stages/queue_forecast.h"

#include <gtest/gtest.h>

namespace acaciachute {
namespace {

constexpr DurationUs kMs = kMillisecond;

struct ForecastRig {
  ForecastRig() { forecast.SetLimits(limits); }

  static PieceTask Task(const std::string& request,
                        std::uint32_t priority = 0,
                        std::uint64_t bytes = 0) {
    PieceTask task;
    task.key = {request, 0, 0};
    task.priority = priority;
    task.result_bytes = bytes;
    return task;
  }
  void Queue(const PieceTask& task) {
    const std::size_t level = QueueForecast::LevelOf(task.priority, false);
    forecast.OnQueued(now, queue, task, level);
    queue.ahead[level] += forecast.WorkOf(task.result_bytes);
  }
  QueueWait Expect() { return forecast.Expect(now, queue); }

  BatchLimits limits{1, 2, 10, 200 * kMs, 20 * kMs, 1000, 4 * kSecond};
  QueueForecast forecast;
  QueueForecast::Queue queue{2, 0, {}};
  TimeUs now = 100 * kSecond;
};

TEST(QueueForecastTest, CountsTheMemoryThatResultsNeed) {
  const ForecastRig rig;
  EXPECT_DOUBLE_EQ(rig.forecast.WorkOf(0), 40 * kMs);
  EXPECT_DOUBLE_EQ(rig.forecast.WorkOf(50), 40 * kMs);
  // Half of the memory holds two of these, or one of those.
  EXPECT_DOUBLE_EQ(rig.forecast.WorkOf(250), 120 * kMs);
  EXPECT_DOUBLE_EQ(rig.forecast.WorkOf(900), 220 * kMs);
}

TEST(QueueForecastTest, WaitsBehindWorkOfTheSameAndMoreUrgentPriorities) {
  ForecastRig rig;
  rig.queue.until_free = 10 * kMs;
  rig.queue.ahead[1] = static_cast<double>(kSecond);
  const QueueWait wait = rig.Expect();
  EXPECT_EQ(wait.Of(0), 10 * kMs);
  EXPECT_EQ(wait.Of(1), 510 * kMs);
  EXPECT_EQ(wait.Of(7), 510 * kMs);
  EXPECT_EQ(wait.late, 510 * kMs);
}

// Guards against patient requests that are admitted by what waits ahead of them
// now, and overtaken.
TEST(QueueForecastTest, MoreUrgentArrivalsLeaveLessOfTheSpeed) {
  ForecastRig rig;
  for (int n = 0; n < 150; ++n) {
    rig.now += 40 * kMs;
    rig.Queue(ForecastRig::Task("u" + std::to_string(n), 0));
    rig.forecast.OnStarted(rig.now, {"u" + std::to_string(n), 0, 0});
    rig.queue.ahead = {};
  }
  rig.queue.ahead[3] = static_cast<double>(kSecond);
  // One of two replicas is busy with what is more urgent.
  EXPECT_NEAR(static_cast<double>(rig.Expect().Of(3)), kSecond, 100 * kMs);
  EXPECT_EQ(rig.Expect().Of(0), 0);
}

// Guards against forecasts that stay short for as long as a burst lasts.
TEST(QueueForecastTest, OutcomesCorrectForecastsAndAreForgotten) {
  ForecastRig rig;
  for (int n = 0; n < 20; ++n) {
    rig.Queue(ForecastRig::Task("r" + std::to_string(n)));
  }
  rig.now += 2 * kSecond;
  for (int n = 0; n < 19; ++n) {
    rig.forecast.OnStarted(rig.now, {"r" + std::to_string(n), 0, 0});
  }
  rig.forecast.OnTick(rig.now);
  EXPECT_GT(rig.forecast.Correction(0), 2);
  EXPECT_GT(rig.Expect().Of(0), 800 * kMs);
  // Nobody waits.
  rig.forecast.OnStarted(rig.now, {"r19", 0, 0});
  rig.queue.ahead = {};
  EXPECT_EQ(rig.Expect().Of(0), 0);
  rig.now += QueueForecast::kOutcomeWindow + kMs;
  rig.forecast.OnTick(rig.now);
  EXPECT_EQ(rig.forecast.Correction(0), 1);
}

// Guards against a queue that stalls, so that no outcome is there yet.
TEST(QueueForecastTest, WhatStillWaitsCountsOnceItExceedsItsForecast) {
  ForecastRig rig;
  for (int n = 0; n < 10; ++n) {
    rig.Queue(ForecastRig::Task("r" + std::to_string(n)));
  }
  rig.forecast.OnTick(rig.now);
  EXPECT_EQ(rig.forecast.Correction(0), 1);
  rig.now += 2 * kSecond;
  rig.forecast.OnTick(rig.now);
  EXPECT_GT(rig.forecast.Correction(0), 2);
}

// Guards against one odd request that changes what is forecast for all.
TEST(QueueForecastTest, ASingleOutcomeCorrectsNothing) {
  ForecastRig rig;
  rig.Queue(ForecastRig::Task("r"));
  rig.now += 2 * kSecond;
  rig.forecast.OnStarted(rig.now, {"r", 0, 0});
  rig.forecast.OnTick(rig.now);
  EXPECT_EQ(rig.forecast.Correction(0), 1);
}

TEST(QueueForecastTest, CountsWhatIsOnItsWay) {
  ForecastRig rig;
  rig.forecast.Announce(rig.now, {"r", 1, "s", 2, 25, 0, kSecond});
  const QueueWait wait = rig.Expect();
  EXPECT_EQ(wait.Of(2), 0);
  EXPECT_EQ(wait.coming[1], 0);
  EXPECT_EQ(wait.coming[2], 500 * kMs);
  // It arrives evenly over two seconds, and the queue drains meanwhile.
  EXPECT_EQ(wait.coming_within, 2 * kSecond);
  EXPECT_EQ(wait.OfArrival(2, kSecond), 0);
  EXPECT_EQ(wait.OfArrival(2, 0), 0);
}

TEST(QueueForecastTest, AnnouncementsEndWithTheirStageTheirRequestOrAge) {
  ForecastRig rig;
  const auto announce = [&](const std::string& request) {
    rig.forecast.Announce(rig.now, {request, 0, "s", 0, 5, 0, kSecond});
  };
  announce("a");
  rig.forecast.OnQueued(rig.now, rig.queue, ForecastRig::Task("a"), 0);
  EXPECT_EQ(rig.Expect().coming[0], 0);
  announce("b");
  rig.forecast.OnRequestLeft("b");
  EXPECT_EQ(rig.Expect().coming[0], 0);
  announce("c");
  EXPECT_GT(rig.Expect().coming[0], 0);
  rig.now += 2 * kSecond + ComingWork::kOverdueMargin;
  rig.forecast.OnTick(rig.now);
  EXPECT_EQ(rig.Expect().coming[0], 0);
}

// Guards against announcements without end.
TEST(ComingWorkTest, KeepsABoundedNumber) {
  ComingWork coming;
  for (std::size_t n = 0; n < 2 * ComingWork::kMaxEntries; ++n) {
    coming.Add(0, {std::to_string(n), 0, "s", 0, 1, 0, kSecond}, 1);
  }
  EXPECT_EQ(coming.size(), ComingWork::kMaxEntries);
}

}  // namespace
}  // namespace acaciachute
