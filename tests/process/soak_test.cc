// Runs short fault soaks with fixed seeds. `build/tests/soak` runs longer ones
// and more seeds.
#include "tests/soak/soak.h"

#include <gtest/gtest.h>

namespace acaciachute {
namespace {

class SoakTest : public ::testing::TestWithParam<std::uint64_t> {};

// Gateways are killed, suspended, terminated and disconnected from the store,
// and replicas crash, slow down and lose answers, while clients keep sending.
// The guarantees are: an attempt that is answered as not run has not run, a
// non-idempotent attempt runs at most once, each complete answer belongs to its
// own attempt, each attempt ends, and the system recovers after the faults.
TEST_P(SoakTest, KeepsItsGuarantees) {
  Loop loop;
  SoakOptions options;
  options.seed = GetParam();
  options.fault_time = 6 * kSecond;
  const SoakReport report = RunSoak(&loop, options);
  std::string faults;
  for (const auto& it : report.faults) {
    faults += it + "\n";
  }
  EXPECT_EQ(report.violations, std::vector<std::string>())
      << report.summary << "\n"
      << faults;
}

// Seed 102 showed that the stand-in engine restarted a resumed stream from its
// first event. Seed 123 showed that gateways refused requests for three seconds
// after an unresponsive store had recovered. At that time faults and requests
// were drawn from one random sequence, so seed 123 now gives another schedule;
// `TableWatchTest.DoesNotWaitForNewsAfterAFailure` guards against that failure.
INSTANTIATE_TEST_SUITE_P(FixedSeeds, SoakTest, ::testing::Values(1, 102, 123));

}  // namespace
}  // namespace acaciachute
