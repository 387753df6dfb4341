// Tests the measurement of how fast a queue moves.
#include "coordination/stages/queue_rate.h"

#include <gtest/gtest.h>

namespace acaciachute {
namespace {

constexpr DurationUs kStep = 100 * kMillisecond;

TEST(QueueRateTest, ReportsNoRateBeforeTheMinimumWindow) {
  QueueRate rate;
  EXPECT_FALSE(rate.TimePerPiece(0));
  rate.OnPiecesStarted(0, 10, true);
  EXPECT_FALSE(rate.TimePerPiece(QueueRate::kMinRateWindow - 1));
  EXPECT_TRUE(rate.TimePerPiece(QueueRate::kMinRateWindow));
}

TEST(QueueRateTest, CountsThePiecesOfTheWindow) {
  QueueRate rate;
  TimeUs now = 0;
  for (; now <= 10 * kSecond; now += kStep) {
    rate.OnPiecesStarted(now, 10, true);
  }
  now -= kStep;
  ASSERT_TRUE(rate.TimePerPiece(now));
  // Ten pieces per step, and one more for the step at the beginning of the
  // window.
  EXPECT_NEAR(*rate.TimePerPiece(now), static_cast<double>(kStep) / 10, 600);
}

// No piece starts any more while others wait.
TEST(QueueRateTest, AStalledQueueGetsSlower) {
  QueueRate rate;
  rate.OnPiecesStarted(0, 10, true);
  const double before = *rate.TimePerPiece(kSecond);
  EXPECT_GT(*rate.TimePerPiece(10 * kSecond), before);
}

TEST(QueueRateTest, ForgetsWhenNothingWaits) {
  QueueRate rate;
  rate.OnPiecesStarted(0, 10, true);
  rate.OnPiecesStarted(kSecond, 10, false);
  EXPECT_FALSE(rate.TimePerPiece(2 * kSecond));
}

}  // namespace
}  // namespace acaciachute
