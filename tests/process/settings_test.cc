// Settings in real processes, where a pause and a silent socket are real.
#include <gtest/gtest.h>

#include <csignal>

#include "tests/process/entry_group.h"

namespace acaciachute {
namespace {

constexpr DurationUs kPatience = 30 * kSecond;

// An entry starts with nothing while the platform is down. Its peers give it
// the tree and a majority, so it gets ready.
TEST(SettingsProcessTest, EntryGetsReadyDuringAnOutage) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, 3);
  ASSERT_TRUE(group.WaitFor([&] { return group.AllReady(); }, kPatience));
  group.Fault(R"({"down":true})");
  group.entries[1]->Signal(SIGKILL);
  group.entries[1]->Wait();
  group.StartEntry(1);
  EXPECT_TRUE(group.WaitFor([&] { return group.Ready(1); }, kPatience));
  EXPECT_EQ(group.VersionAt(1), group.VersionAt(0));
  EXPECT_TRUE(group.WaitFor([&] { return group.AllReady(); }, kPatience));
}

// An entry is stopped, a change is accepted everywhere else, and the entry goes
// on. From its first answer on it either has the change or says that it is not
// ready; it never serves under what it had.
TEST(SettingsProcessTest, StoppedEntryWakesAndServesNothingOld) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, 3);
  ASSERT_TRUE(group.WaitFor([&] { return group.AllReady(); }, kPatience));
  group.entries[2]->Signal(SIGSTOP);
  const SettingsVersion version = group.Change();
  ASSERT_NE(version, 0U);
  ASSERT_TRUE(group.WaitFor(
      [&] {
        return group.VersionAt(0) >= version && group.VersionAt(1) >= version;
      },
      kPatience));
  // Past the bound on what the stopped one may still believe.
  const TimeUs until = Loop::Now() + 6 * kSecond;
  group.WaitFor([&] { return Loop::Now() >= until; }, kPatience);
  group.entries[2]->Signal(SIGCONT);
  bool served_old = false;
  EXPECT_TRUE(group.WaitFor(
      [&] {
        const bool ready = group.Ready(2);
        served_old = served_old || (ready && group.VersionAt(2) < version);
        return ready;
      },
      kPatience));
  EXPECT_FALSE(served_old);
}

// Two of three entries are gone during an outage: the third cannot tell this
// from its own cut and takes nothing new until one of them is back.
TEST(SettingsProcessTest, MinorityIsNotReady) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, 3);
  ASSERT_TRUE(group.WaitFor([&] { return group.AllReady(); }, kPatience));
  group.Fault(R"({"down":true})");
  for (int n : {0, 1}) {
    group.entries[n]->Signal(SIGKILL);
    group.entries[n]->Wait();
  }
  EXPECT_TRUE(group.WaitFor([&] { return !group.Ready(2); }, kPatience));
  group.Fault(R"({"down":false})");
  EXPECT_TRUE(group.WaitFor([&] { return group.Ready(2); }, kPatience));
}

}  // namespace
}  // namespace acaciachute
