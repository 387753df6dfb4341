// Requests to the store that are in progress at once.
#include "coordination/tables/store_requests.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace acaciachute {
namespace {

struct StoreRig : StoreReader {
  void Ask(const StoreRequest& request) override { open.push_back(request.id); }
  void Forget(const std::string&, std::uint64_t id) override {
    std::erase(open, id);
  }

  std::vector<std::uint64_t> open;
  StoreRequests requests{"t", this};
};

// A slow store answers the oldest first, and a request that was lost with its
// connection must not keep the newest from being asked.
TEST(StoreRequestsTest, KeepsTheOldestAndTheNewest) {
  StoreRig rig;
  for (int n = 0; n < 10; ++n) {
    rig.requests.Ask(n * kSecond, {false, "", 5, 0});
    EXPECT_LE(rig.open.size(), StoreRequests::kMost);
  }
  EXPECT_EQ(rig.open, (std::vector<std::uint64_t>{1, 9, 10}));
  EXPECT_TRUE(rig.requests.Take(1));
  EXPECT_FALSE(rig.requests.Take(1));
  EXPECT_FALSE(rig.requests.Take(5));
}

TEST(StoreRequestsTest, AwaitsTheNewestOnlyAndForATime) {
  StoreRig rig;
  EXPECT_EQ(rig.requests.Awaited(), nullptr);
  rig.requests.Ask(0, {false, "", 5, kSecond});
  rig.requests.Ask(0, {false, "", 5, 0});
  ASSERT_NE(rig.requests.Awaited(), nullptr);
  EXPECT_EQ(rig.requests.Awaited()->id, 2U);
  EXPECT_FALSE(rig.requests.GiveUp(kSecond - 1, kSecond));
  const auto late = rig.requests.GiveUp(kSecond, kSecond);
  ASSERT_TRUE(late);
  EXPECT_EQ(late->id, 2U);
  EXPECT_EQ(rig.requests.Awaited(), nullptr);
  EXPECT_FALSE(rig.requests.GiveUp(kSecond, kSecond));
  // Its answer is taken all the same, and so is the older one's.
  EXPECT_TRUE(rig.requests.Take(2));
  EXPECT_TRUE(rig.requests.Take(1));
}

// What the store was asked to wait comes on top.
TEST(StoreRequestsTest, ARequestThatIsHeldHasItsWaitOnTop) {
  StoreRig rig;
  rig.requests.Ask(0, {false, "", 5, kSecond});
  EXPECT_FALSE(rig.requests.GiveUp(kSecond, kSecond));
  EXPECT_TRUE(rig.requests.GiveUp(2 * kSecond, kSecond));
}

}  // namespace
}  // namespace acaciachute
