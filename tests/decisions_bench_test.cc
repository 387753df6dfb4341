// The decision bench itself: a figure is worth something only when the next
// run gives it again.
#include "bench/decisions.h"

#include <gtest/gtest.h>

namespace acaciachute::bench {
namespace {

constexpr std::uint64_t kSeed = 5;
constexpr TimeUs kShort = 14 * kSecond;

const Pattern& Named(std::string_view name) {
  for (const Pattern& it : Patterns()) {
    if (it.name == name) {
      return it;
    }
  }
  ADD_FAILURE() << "no pattern " << name;
  return Patterns().front();
}

Result Short(std::string_view name,
             std::uint64_t seed,
             Policy policy = Policy::kReal) {
  return Run(kDeployments[0], Named(name), policy, seed, kShort);
}

TEST(DecisionsBenchTest, OneSeedGivesOneSignature) {
  const auto first = Short("overload 2x", kSeed).signature;
  EXPECT_EQ(first, Short("overload 2x", kSeed).signature);
  EXPECT_NE(first, Short("overload 2x", kSeed + 1).signature);
}

// Twice the load that generation can serve. A caller who is not served hears so
// in the same turn of the entry's loop, before any stage ran for the request;
// urgent callers are all served, because their work alone fits.
TEST(DecisionsBenchTest, RefusalsAreAtOnceAndCostNothing) {
  const Result result = Short("overload 2x", kSeed);
  ASSERT_GT(result.refused, 0U);
  EXPECT_EQ(result.refusal_p99, 0);
  EXPECT_GE(result.by_class[0].Share(), 0.995);
  const Result naive = Short("overload 2x", kSeed, Policy::kNaive);
  EXPECT_LT(naive.by_class[0].Share(), result.by_class[0].Share());
}

}  // namespace
}  // namespace acaciachute::bench
