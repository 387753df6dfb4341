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

Result Short(std::string_view name, std::uint64_t seed) {
  return Run(kDeployments[0], Named(name), Policy::kReal, seed, kShort);
}

TEST(DecisionsBenchTest, OneSeedGivesOneSignature) {
  const auto first = Short("overload 2x", kSeed).signature;
  EXPECT_EQ(first, Short("overload 2x", kSeed).signature);
  EXPECT_NE(first, Short("overload 2x", kSeed + 1).signature);
}

}  // namespace
}  // namespace acaciachute::bench
