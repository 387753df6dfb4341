// Tests of the decision benchmark itself: its figures are useful only if a run
// can be reproduced.
#include "bench/decisions.h"

#include <gtest/gtest.h>

namespace acaciachute::bench {
namespace {

constexpr std::uint64_t kSeed = 5;
constexpr TimeUs kShortRunDuration = 14 * kSecond;

const Pattern& FindPattern(std::string_view name) {
  for (const Pattern& it : Patterns()) {
    if (it.name == name) {
      return it;
    }
  }
  ADD_FAILURE() << "unknown load pattern: " << name;
  return Patterns().front();
}

Result RunShort(std::string_view name,
                std::uint64_t seed,
                Policy policy = Policy::kReal) {
  return Run(kDeployments[0], FindPattern(name), policy, seed,
             kShortRunDuration);
}

TEST(DecisionsBenchTest, OneSeedGivesOneSignature) {
  const auto first = RunShort("overload 2x", kSeed).signature;
  EXPECT_EQ(first, RunShort("overload 2x", kSeed).signature);
  EXPECT_NE(first, RunShort("overload 2x", kSeed + 1).signature);
}

// At twice the load that generation can serve, refusals are sent within the
// same iteration of the entry's event loop, before any stage runs for the
// request. Urgent requests are all served, because the pool can serve them
// alone.
TEST(DecisionsBenchTest, RefusalsAreAtOnceAndCostNothing) {
  const Result result = RunShort("overload 2x", kSeed);
  ASSERT_GT(result.refused, 0U);
  EXPECT_EQ(result.refusal_p99, 0);
  EXPECT_GE(result.by_class[0].Share(), 0.995);
  const Result naive = RunShort("overload 2x", kSeed, Policy::kNaive);
  EXPECT_LT(naive.by_class[0].Share(), result.by_class[0].Share());
}

}  // namespace
}  // namespace acaciachute::bench
