// A short part of the fault soak, by fixed seeds. `build/tests/soak` plays
// more.
#include "tests/soak/soak.h"

#include <gtest/gtest.h>

namespace acaciachute {
namespace {

class SoakTest : public ::testing::TestWithParam<std::uint64_t> {};

// Gateways are killed, frozen, told to end and cut from the store, replicas
// crash, are slow and lose answers, while clients go on. Whoever hears "not
// run" was not run, nobody who may not repeat runs twice, each whole answer is
// the caller's own, each attempt ends, and all is served again afterwards.
TEST_P(SoakTest, KeepsItsPromises) {
  Loop loop;
  SoakOptions options;
  options.seed = GetParam();
  options.time = 6 * kSecond;
  const SoakReport report = RunSoak(&loop, options);
  std::string faults;
  for (const auto& it : report.faults) {
    faults += it + "\n";
  }
  EXPECT_EQ(report.broken, std::vector<std::string>()) << report.summary << "\n"
                                                       << faults;
}

// 102 found the stand-in engine begin a resumed stream anew. 123 found gateways
// refuse for three seconds after a silent store was back; faults were drawn
// together with requests then, so its schedule is another one now, and
// `TableWatchTest.DoesNotWaitForNewsAfterAFailure` has what it found.
INSTANTIATE_TEST_SUITE_P(FixedSeeds, SoakTest, ::testing::Values(1, 102, 123));

}  // namespace
}  // namespace acaciachute
