// Property tests with a seed in the source, so that CI tries the same cases
// every run.
#ifndef ACACIACHUTE_TESTS_PROPERTY_H_
#define ACACIACHUTE_TESTS_PROPERTY_H_

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <sstream>
#include <string>
#include <utility>

namespace acaciachute {

// Fails the running test when `testable` is false for one of `cases` inputs.
template <typename Testable>
void CheckProperty(const std::string& name,
                   std::uint64_t seed,
                   int cases,
                   Testable&& testable) {
  rc::detail::TestMetadata metadata;
  metadata.description = name;
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  const auto result = rc::detail::checkTestable(
      std::forward<Testable>(testable), metadata, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_PROPERTY_H_
