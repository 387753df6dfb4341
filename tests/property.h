// Property tests by rapidcheck with a fixed seed, so that each run gives the
// same result.
#ifndef ACACIACHUTE_TESTS_PROPERTY_H_
#define ACACIACHUTE_TESTS_PROPERTY_H_

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <utility>

namespace acaciachute {

// Returns rapidcheck's counterexample for `property` in `runs` cases; empty if
// there is none.
template <typename Property>
std::string CounterExample(std::uint64_t seed, int runs, Property&& property) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = runs;
  const auto result = rc::detail::checkTestable(
      std::forward<Property>(property), rc::detail::TestMetadata(), params);
  if (result.template is<rc::detail::SuccessResult>()) {
    return "";
  }
  std::ostringstream out;
  rc::detail::printResultMessage(result, out);
  return out.str();
}

// Fails the running test if `property` is false for one of `runs` cases.
template <typename Property>
void CheckProperty(const std::string& name,
                   std::uint64_t seed,
                   int runs,
                   Property&& property) {
  EXPECT_EQ(CounterExample(seed, runs, std::forward<Property>(property)), "")
      << name;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_PROPERTY_H_
