// Questions to the store that are in progress at once.
#include "coordination/tables/store_questions.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace acaciachute {
namespace {

struct StoreRig : StoreReader {
  void Ask(const StoreQuestion& question) override {
    open.push_back(question.id);
  }
  void Forget(const std::string&, std::uint64_t id) override {
    std::erase(open, id);
  }

  std::vector<std::uint64_t> open;
  StoreQuestions questions{"t", this};
};

// A slow store answers the oldest first, and a question that was lost with its
// connection must not keep the newest from being asked.
TEST(StoreQuestionsTest, KeepsTheOldestAndTheNewest) {
  StoreRig rig;
  for (int n = 0; n < 10; ++n) {
    rig.questions.Ask(n * kSecond, {false, "", 5, 0});
    EXPECT_LE(rig.open.size(), StoreQuestions::kMaxInFlight);
  }
  EXPECT_EQ(rig.open, (std::vector<std::uint64_t>{1, 9, 10}));
  EXPECT_TRUE(rig.questions.Take(1));
  EXPECT_FALSE(rig.questions.Take(1));
  EXPECT_FALSE(rig.questions.Take(5));
}

TEST(StoreQuestionsTest, AwaitsTheNewestOnlyAndForATime) {
  StoreRig rig;
  EXPECT_EQ(rig.questions.Awaited(), nullptr);
  rig.questions.Ask(0, {false, "", 5, kSecond});
  rig.questions.Ask(0, {false, "", 5, 0});
  ASSERT_NE(rig.questions.Awaited(), nullptr);
  EXPECT_EQ(rig.questions.Awaited()->id, 2U);
  EXPECT_FALSE(rig.questions.TimeOutAwaited(kSecond - 1, kSecond));
  const auto late = rig.questions.TimeOutAwaited(kSecond, kSecond);
  ASSERT_TRUE(late);
  EXPECT_EQ(late->id, 2U);
  EXPECT_EQ(rig.questions.Awaited(), nullptr);
  EXPECT_FALSE(rig.questions.TimeOutAwaited(kSecond, kSecond));
  // Its answer is taken all the same, and so is the older one's.
  EXPECT_TRUE(rig.questions.Take(2));
  EXPECT_TRUE(rig.questions.Take(1));
}

// What the store was asked to wait comes on top.
TEST(StoreQuestionsTest, AQuestionThatIsHeldHasItsWaitOnTop) {
  StoreRig rig;
  rig.questions.Ask(0, {false, "", 5, kSecond});
  EXPECT_FALSE(rig.questions.TimeOutAwaited(kSecond, kSecond));
  EXPECT_TRUE(rig.questions.TimeOutAwaited(2 * kSecond, kSecond));
}

}  // namespace
}  // namespace acaciachute
