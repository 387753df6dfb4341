// Tests of a lease holder's orders: one at a time, limited in rate, and safe to
// repeat.
#include "coordination/control/pool_control.h"

#include <gtest/gtest.h>

#include <map>

namespace acaciachute {
namespace {

class PoolControlTest : public testing::Test, public PoolControlOutput {
 protected:
  void SendOrder(const NodeId& sidecar, const ControlOrder& order) override {
    sent_.emplace_back(sidecar, order);
  }
  void Tick(DurationUs passed = kSecond) {
    now_ += passed;
    control_.OnTick(now_, fence_, targets_);
  }
  bool Answer(Refusal reason) {
    const auto& [sidecar, order] = sent_.back();
    return control_.OnResult(now_, sidecar, {order.order_id, reason, fence_});
  }
  void SetUp() override { control_.SetModels({{"notices", "7"}}); }

  TimeUs now_ = kSecond;
  FenceNumber fence_ = 3;
  std::vector<ControlTarget> targets_ = {{"s1", 11}, {"s2", 12}, {"s3", 13}};
  std::vector<std::pair<NodeId, ControlOrder>> sent_;
  Metrics metrics_;
  PoolControl control_{"generators", this, &metrics_};
};

TEST_F(PoolControlTest, EachReplicaOnceAndOneAtATime) {
  Tick();
  Tick();
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_[0].second.fence, 3U);
  for (int n = 0; n < 10; ++n) {
    if (control_.InProgress()) {
      Answer(Refusal::kNone);
    }
    Tick();
  }
  EXPECT_EQ(sent_.size(), 3U);
}

// The answer is lost. The order is sent again under its id, which the sidecar
// recognizes: there is no second load.
TEST_F(PoolControlTest, LostAnswerRepeatsTheSameOrder) {
  Tick();
  Tick(PoolControl::kResendPeriod);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(sent_[0].second.order_id, sent_[1].second.order_id);
}

// The lease expires while an order is in progress: no more orders are sent, and
// the late answer is ignored. Under the next number the order is a new one.
TEST_F(PoolControlTest, NothingIsSentWithoutTheLease) {
  Tick();
  fence_ = 0;
  for (int n = 0; n < 20; ++n) {
    Tick();
  }
  EXPECT_EQ(sent_.size(), 1U);
  EXPECT_FALSE(Answer(Refusal::kNone));
  fence_ = 5;
  Tick();
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(sent_[1].second.fence, 5U);
  EXPECT_NE(sent_[1].second.order_id, sent_[0].second.order_id);
}

// Fifty replicas, each of which answers at once: the rate of reloads stays
// limited.
TEST_F(PoolControlTest, ReloadsPerMinuteAreBounded) {
  targets_.clear();
  for (Incarnation n = 1; n <= 50; ++n) {
    targets_.push_back({"r" + std::to_string(n), n});
  }
  for (int n = 0; n < 600; ++n) {
    Tick(100 * kMillisecond);
    if (control_.InProgress()) {
      Answer(Refusal::kNone);
    }
  }
  EXPECT_EQ(sent_.size(), PoolControl::kMaxOrdersPerMinute);
}

// A sidecar that started under the number in force does not know what its
// predecessor forwarded; the holder must acquire a newer number.
TEST_F(PoolControlTest, RestartedSidecarWantsANewerNumber) {
  Tick();
  EXPECT_TRUE(Answer(Refusal::kNotCurrent));
  Tick();
  EXPECT_EQ(sent_.size(), 1U);  // Not sent before the retry delay has passed.
  Tick(PoolControl::kFailureRetryDelay);
  EXPECT_EQ(sent_.size(), 2U);
}

TEST_F(PoolControlTest, ReplacedReplicaIsOrderedAgain) {
  targets_ = {{"s1", 11}};
  Tick();
  Answer(Refusal::kNone);
  Tick();
  EXPECT_EQ(sent_.size(), 1U);
  targets_ = {{"s1", 99}};
  Tick();
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(sent_[1].second.sidecar, 99U);
}

}  // namespace
}  // namespace acaciachute
