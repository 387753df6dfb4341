// Process tests of settings with suspended and killed entries and with an
// outage of the platform.
#include <gtest/gtest.h>

#include <csignal>

#include "tests/process/entry_group.h"

namespace acaciachute {
namespace {

constexpr DurationUs kWaitTimeout = 30 * kSecond;

// An entry restarts without any settings while the platform is down. Its peers
// send it the settings and form a majority with it, so it becomes ready.
TEST(SettingsProcessTest, EntryGetsReadyDuringAnOutage) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, 3);
  ASSERT_TRUE(group.WaitFor([&] { return group.AllReady(); }, kWaitTimeout));
  group.InjectFaults(R"({"down":true})");
  group.entries[1]->Signal(SIGKILL);
  group.entries[1]->Wait();
  group.StartEntry(1);
  EXPECT_TRUE(group.WaitFor([&] { return group.Ready(1); }, kWaitTimeout));
  EXPECT_EQ(group.VersionAt(1), group.VersionAt(0));
  EXPECT_TRUE(group.WaitFor([&] { return group.AllReady(); }, kWaitTimeout));
}

// An entry is suspended, a change is accepted by all others, and the entry
// resumes. From its first answer on the entry either has the change or reports
// not ready; it never serves with the outdated settings.
TEST(SettingsProcessTest, StoppedEntryWakesAndServesNothingOld) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, 3);
  ASSERT_TRUE(group.WaitFor([&] { return group.AllReady(); }, kWaitTimeout));
  group.entries[2]->Signal(SIGSTOP);
  const SettingsVersion version = group.Change();
  ASSERT_NE(version, 0U);
  ASSERT_TRUE(group.WaitFor(
      [&] {
        return group.VersionAt(0) >= version && group.VersionAt(1) >= version;
      },
      kWaitTimeout));
  // Longer than the maximum age at which the suspended entry may still use its
  // settings.
  const TimeUs until = Loop::Now() + 6 * kSecond;
  group.WaitFor([&] { return Loop::Now() >= until; }, kWaitTimeout);
  group.entries[2]->Signal(SIGCONT);
  bool served_old = false;
  EXPECT_TRUE(group.WaitFor(
      [&] {
        const bool ready = group.Ready(2);
        served_old = served_old || (ready && group.VersionAt(2) < version);
        return ready;
      },
      kWaitTimeout));
  EXPECT_FALSE(served_old);
}

// Two of three entries are killed during an outage of the platform. The third
// cannot distinguish this from being partitioned itself and is not ready until
// a peer or the platform is reachable again.
TEST(SettingsProcessTest, MinorityIsNotReady) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, 3);
  ASSERT_TRUE(group.WaitFor([&] { return group.AllReady(); }, kWaitTimeout));
  group.InjectFaults(R"({"down":true})");
  for (int n : {0, 1}) {
    group.entries[n]->Signal(SIGKILL);
    group.entries[n]->Wait();
  }
  EXPECT_TRUE(group.WaitFor([&] { return !group.Ready(2); }, kWaitTimeout));
  group.InjectFaults(R"({"down":false})");
  EXPECT_TRUE(group.WaitFor([&] { return group.Ready(2); }, kWaitTimeout));
}

}  // namespace
}  // namespace acaciachute
