// Tests when calls to the platform are made and when not: while it is down,
// slow or busy.
#include "coordination/interface/platform_client.h"

#include <gtest/gtest.h>

namespace acaciachute {
namespace {

class PlatformClientTest : public testing::Test {
 protected:
  // Makes a call that ends after `took`; returns false if it is not made.
  bool Call(StorePurpose purpose, DurationUs took, StoreStatus status) {
    const auto call = client_.Start(now_, purpose);
    now_ += took;
    if (call) {
      client_.End(now_, *call, status);
    }
    return call.has_value();
  }
  bool Claim(DurationUs took, StoreStatus status) {
    return Call(StorePurpose::kClaimWrites, took, status);
  }

  TimeUs now_ = kSecond;
  Random random_{1};
  Metrics metrics_;
  PlatformClient client_{&random_, &metrics_};
};

// The platform refuses all calls for an hour. After half a second claims are
// refused without a call, and only probe calls are made, at most two a second;
// the first answer ends the down state.
TEST_F(PlatformClientTest, DownIsDetectedAndEnded) {
  int made = 0;
  for (int n = 0; n < 36000; ++n) {
    made += Claim(kMillisecond, StoreStatus::kUnavailable) ? 1 : 0;
    now_ += 99 * kMillisecond;
  }
  EXPECT_EQ(client_.state(now_), PlatformState::kDown);
  EXPECT_LT(made, 3600 * 2 + 10);
  EXPECT_GT(made, 3600);
  Call(StorePurpose::kSettings, kMillisecond, StoreStatus::kOk);
  EXPECT_EQ(client_.state(now_), PlatformState::kUp);
  EXPECT_TRUE(Claim(kMillisecond, StoreStatus::kOk));
}

// Every answer takes 800 ms: the platform is slow but not down, and no claim is
// refused.
TEST_F(PlatformClientTest, SlowIsNotDown) {
  for (int n = 0; n < 200; ++n) {
    EXPECT_TRUE(Claim(800 * kMillisecond, StoreStatus::kOk));
  }
  EXPECT_EQ(client_.state(now_), PlatformState::kSlow);
}

// One answer in four is lost, or refused for exceeding the rate. The platform
// is up, and claims continue.
TEST_F(PlatformClientTest, LostAnswersAreNoOutage) {
  for (int n = 0; n < 400; ++n) {
    EXPECT_TRUE(Claim(20 * kMillisecond,
                      n % 4 == 0 ? StoreStatus::kUnknown : StoreStatus::kOk));
  }
  EXPECT_EQ(client_.state(now_), PlatformState::kUp);
}

// The platform accepts calls and never answers. Once a call has been unanswered
// for the timeout, one claim passes as a probe, and the next is refused at once
// instead of at its own timeout.
TEST_F(PlatformClientTest, UnansweredCallsMeanDown) {
  ASSERT_TRUE(client_.Start(now_, StorePurpose::kClaimWrites));
  now_ += Breaker::kUnansweredTimeout + kMillisecond;
  EXPECT_EQ(client_.state(now_), PlatformState::kDown);
  // Admitted as a probe call.
  EXPECT_TRUE(client_.Start(now_, StorePurpose::kClaimWrites));
  EXPECT_FALSE(client_.Start(now_, StorePurpose::kClaimWrites));
  EXPECT_TRUE(client_.Start(now_, StorePurpose::kSettings));
}

// One slow call among fast ones does not mean that the platform is down.
TEST_F(PlatformClientTest, OneUnansweredCallAmongAnsweredOnes) {
  ASSERT_TRUE(client_.Start(now_, StorePurpose::kClaimWrites));
  for (int n = 0; n < 100; ++n) {
    EXPECT_TRUE(Claim(20 * kMillisecond, StoreStatus::kOk));
  }
  EXPECT_EQ(client_.state(now_), PlatformState::kUp);
}

// A caller polls for a status continuously. Its reads are limited to their rate
// and concurrency; claims are not affected.
TEST_F(PlatformClientTest, FrequentReaderDoesNotBlockClaims) {
  int reads = 0;
  for (int n = 0; n < 1000; ++n) {
    reads += client_.Start(now_, StorePurpose::kClaimReads) ? 1 : 0;
  }
  EXPECT_EQ(reads, Rule(StorePurpose::kClaimReads).max_concurrent);
  EXPECT_TRUE(client_.Start(now_, StorePurpose::kClaimWrites));
}

}  // namespace
}  // namespace acaciachute
