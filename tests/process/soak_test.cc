// Runs short fault soaks with fixed seeds. `build/tests/soak` runs longer ones
// and more seeds.
#include "tests/soak/soak.h"

#include <gtest/gtest.h>

#include "tests/soak/version_soak.h"

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

class RetrySoakTest : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against retries beyond the budget, by what arrives at replicas from
// five gateways: replicas refuse, reset, fail and lose results, while gateways
// are killed, suspended and restarted in series.
TEST_P(RetrySoakTest, KeepsTheRetryBudget) {
  Loop loop;
  SoakOptions options;
  options.seed = GetParam();
  options.profile = FaultProfile::kRetries;
  options.fault_time = 25 * kSecond;
  options.rate = 75;
  options.world.gateways = 5;
  options.world.plain_replicas = 4;
  options.world.stage_replicas = 5;
  options.world.engines = 4;
  options.world.retries = {0.2, 56, 10 * kSecond};
  const SoakReport report = RunSoak(&loop, options);
  EXPECT_EQ(report.violations, std::vector<std::string>()) << report.summary;
}

// With pieces that were sent again without the budget, these seeds had 219 and
// 383 retries at one stage in a window that allows 163.
INSTANTIATE_TEST_SUITE_P(FixedSeeds, RetrySoakTest, ::testing::Values(1, 4));

class AnswerSoakTest : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against answers that were broken off and that clients get as complete
// ones: replicas draw the framing of each answer and where it is broken off,
// and crash in series, while gateways are killed, suspended and restarted; some
// clients speak HTTP/1.0.
TEST_P(AnswerSoakTest, NoAnswerBrokenOffIsFramedAsComplete) {
  Loop loop;
  SoakOptions options;
  options.seed = GetParam();
  options.profile = FaultProfile::kAnswers;
  options.fault_time = 8 * kSecond;
  const SoakReport report = RunSoak(&loop, options);
  EXPECT_EQ(report.violations, std::vector<std::string>())
      << report.summary << "\n"
      << report.ends;
}

// With orderly closes taken for stated ends, seed 1 had 16 violations.
INSTANTIATE_TEST_SUITE_P(FixedSeeds, AnswerSoakTest, ::testing::Values(1, 2));

class CrashSoakTest : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against requests that end their replicas and are sent on, and against
// others that are taken for such ones: replicas also end without a cause, and
// gateways are killed, all at once too, suspended, restarted and cut off.
TEST_P(CrashSoakTest, StopsWhatEndsReplicasAndNothingElse) {
  Loop loop;
  SoakOptions options;
  options.seed = GetParam();
  options.profile = FaultProfile::kCrashes;
  options.fault_time = 15 * kSecond;
  options.world.gateways = 5;
  options.world.plain_replicas = 6;
  options.world.engines = 6;
  const SoakReport report = RunSoak(&loop, options);
  EXPECT_EQ(report.violations, std::vector<std::string>()) << report.summary;
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, CrashSoakTest, ::testing::Values(1, 2));

class VersionSoakTest : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against streams of two software versions, over all tries of a client:
// versions are rolled, vanish, move and come back under the same ids, while
// gateways are killed, paused and cut off from the store.
TEST_P(VersionSoakTest, KeepsEachStreamAtOneVersion) {
  Loop loop;
  SoakOptions options;
  options.seed = GetParam();
  options.fault_time = 8 * kSecond;
  options.rate = kVersionSoakRate;
  options.world.gateways = VersionSoakGateways(options.seed);
  const SoakReport report = RunVersionSoak(&loop, options);
  EXPECT_EQ(report.violations, std::vector<std::string>()) << report.summary;
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds,
                         VersionSoakTest,
                         ::testing::Values(17, 23));

}  // namespace
}  // namespace acaciachute
