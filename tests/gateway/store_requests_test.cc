// Tests requests to the store that are in flight at the same time.
#include "coordination/tables/store_requests.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace acaciachute {
namespace {

struct StoreRig : StoreReader {
  void SendRequest(const StoreRequest& request) override {
    open_ids.push_back(request.id);
  }
  std::size_t ReceivedBytes(const std::string&, std::uint64_t) const override {
    return received_bytes;
  }
  void CancelRequest(const std::string&, std::uint64_t id) override {
    std::erase(open_ids, id);
  }

  std::size_t received_bytes = 0;

  std::vector<std::uint64_t> open_ids;
  StoreRequests requests{"t", this};
};

// A slow store answers the oldest request first, and a request that was lost
// with its connection must not keep the newest one from being sent.
TEST(StoreRequestsTest, KeepsTheOldestAndTheNewest) {
  StoreRig rig;
  for (int n = 0; n < 10; ++n) {
    rig.requests.SendRequest(n * kSecond, {false, "", 5, 0});
    EXPECT_LE(rig.open_ids.size(), StoreRequests::kMaxInFlight);
  }
  EXPECT_EQ(rig.open_ids, (std::vector<std::uint64_t>{1, 9, 10}));
  EXPECT_TRUE(rig.requests.RemoveRequest(1));
  EXPECT_FALSE(rig.requests.RemoveRequest(1));
  EXPECT_FALSE(rig.requests.RemoveRequest(5));
}

// An answer that is on its way is not given up. One that trickles is, as a slow
// store would otherwise keep a host from asking anyone else.
TEST(StoreRequestsTest, AwaitsAnAnswerAsLongAsItArrives) {
  StoreRig rig;
  rig.requests.SendRequest(0, {false, "", 5, 0});
  TimeUs now = 0;
  for (int n = 0; n < 10; ++n) {
    now += kSecond * 9 / 10;
    rig.received_bytes += StoreRequests::kMinProgressBytes;
    EXPECT_FALSE(rig.requests.TimeOutAwaited(now, kSecond)) << n;
  }
  EXPECT_TRUE(rig.requests.IsReceiving());
  now += kSecond * 9 / 10;
  ++rig.received_bytes;
  EXPECT_FALSE(rig.requests.TimeOutAwaited(now, kSecond));
  now += kSecond * 2 / 10;
  EXPECT_TRUE(rig.requests.TimeOutAwaited(now, kSecond));
}

TEST(StoreRequestsTest, AwaitsOnlyTheNewestUntilItsTimeout) {
  StoreRig rig;
  EXPECT_EQ(rig.requests.AwaitedRequest(), nullptr);
  rig.requests.SendRequest(0, {false, "", 5, kSecond});
  rig.requests.SendRequest(0, {false, "", 5, 0});
  ASSERT_NE(rig.requests.AwaitedRequest(), nullptr);
  EXPECT_EQ(rig.requests.AwaitedRequest()->id, 2U);
  EXPECT_FALSE(rig.requests.TimeOutAwaited(kSecond - 1, kSecond));
  const auto late = rig.requests.TimeOutAwaited(kSecond, kSecond);
  ASSERT_TRUE(late);
  EXPECT_EQ(late->id, 2U);
  EXPECT_EQ(rig.requests.AwaitedRequest(), nullptr);
  EXPECT_FALSE(rig.requests.TimeOutAwaited(kSecond, kSecond));
  // Its answer is still accepted, and so is that of the older request.
  EXPECT_TRUE(rig.requests.RemoveRequest(2));
  EXPECT_TRUE(rig.requests.RemoveRequest(1));
}

// The time limit starts after the time for which the store holds the request.
TEST(StoreRequestsTest, TimeLimitStartsAfterTheHoldTime) {
  StoreRig rig;
  rig.requests.SendRequest(0, {false, "", 5, kSecond});
  EXPECT_FALSE(rig.requests.TimeOutAwaited(kSecond, kSecond));
  EXPECT_TRUE(rig.requests.TimeOutAwaited(2 * kSecond, kSecond));
}

}  // namespace
}  // namespace acaciachute
