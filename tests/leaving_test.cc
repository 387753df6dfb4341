// An upstream that is leaving receives no new work, whichever route tells.
#include <gtest/gtest.h>

#include <functional>

#include "coordination/sidecar/leaving.h"
#include "tests/sidecar_rig.h"

namespace acaciachute {
namespace {

// Entries send a call every 10 ms and believe that the upstream is well. At
// `told` one route says that it leaves; the others go on saying that it does
// not. Returns how many calls started more than `bound` after that.
int StartsAfterBound(const std::function<void(SidecarRig&)>& tell,
                     DurationUs bound,
                     bool upstream_reports = true) {
  SidecarRig rig(/*limit=*/4);
  const TimeUs told = rig.now + 3 * kSecond;
  bool is_told = false;
  int late = 0;
  for (std::uint64_t n = 1; n < 1000; ++n) {
    rig.Pass(10 * kMillisecond);
    if (n % 20 == 1) {
      if (upstream_reports) {
        rig.Report();
      }
      rig.EntrySays(false);
      rig.core.OnHostList(rig.now, false);
    }
    if (rig.now >= told && !is_told) {
      is_told = true;
    }
    if (is_told) {
      tell(rig);
    }
    const std::size_t before = rig.started.size();
    rig.Deliver(rig.Call(n));
    const auto started = rig.started.size() - before;
    late += rig.now > told + bound ? static_cast<int>(started) : 0;
    if (started > 0) {
      rig.Answer(before);
    }
  }
  EXPECT_GT(rig.started.size(), 200);
  for (const auto& it : rig.failures) {
    EXPECT_EQ(it.verdict, Verdict::kNotRun);
  }
  return late;
}

TEST(LeavingTest, UpstreamReportAlone) {
  EXPECT_EQ(StartsAfterBound([](SidecarRig& rig) { rig.Report(true); }, 0), 0);
}

TEST(LeavingTest, HostListAlone) {
  EXPECT_EQ(StartsAfterBound(
                [](SidecarRig& rig) { rig.core.OnHostList(rig.now, true); }, 0),
            0);
}

TEST(LeavingTest, EntryHeartbeatAlone) {
  EXPECT_EQ(StartsAfterBound([](SidecarRig& rig) { rig.EntrySays(true); }, 0),
            0);
}

TEST(LeavingTest, OrderAlone) {
  EXPECT_EQ(StartsAfterBound(
                [](SidecarRig& rig) { rig.core.LeaveByOrder(rig.now); }, 0),
            0);
}

TEST(LeavingTest, SignalAlone) {
  EXPECT_EQ(
      StartsAfterBound([](SidecarRig& rig) { rig.core.Leave(rig.now); }, 0), 0);
}

// No route tells at all: the upstream's host is taken away and its reports
// stop. The stated bound is the age of the last one.
TEST(LeavingTest, SilenceAlone) {
  SidecarRig rig(/*limit=*/4);
  rig.Report();
  const TimeUs last = rig.now;
  for (std::uint64_t n = 1; n < 400; ++n) {
    rig.Pass(10 * kMillisecond);
    const std::size_t before = rig.started.size();
    rig.Deliver(rig.Call(n));
    if (rig.started.size() > before) {
      EXPECT_LT(rig.now - last, Leaving::kMaxReportAge);
      rig.Answer(before);
    }
  }
  EXPECT_EQ(rig.started.size(), 199);
}

// A report that took a second to arrive is as old as its question, so a slow
// answer does not stretch the bound.
TEST(LeavingTest, ReportCountsFromItsQuestion) {
  Leaving leaving;
  leaving.OnReport(/*asked_at=*/kSecond, /*reachable=*/true);
  EXPECT_TRUE(leaving.IsReachable(3 * kSecond - 1));
  EXPECT_FALSE(leaving.IsReachable(3 * kSecond));
}

// One entry has heard and another has not. The one that has not must not take
// the word back five times a second; it ages when nobody repeats it.
TEST(LeavingTest, EntriesDoNotOutvoteOneThatHeard) {
  Leaving leaving;
  leaving.OnLeaveReport(kSecond, LeaveRoute::kEntry, true);
  leaving.OnLeaveReport(2 * kSecond, LeaveRoute::kEntry, false);
  EXPECT_TRUE(leaving.IsLeaving(2 * kSecond));
  EXPECT_FALSE(leaving.IsLeaving(kSecond + Leaving::kMaxEntryReportAge));
}

// The sidecar wakes from a pause in which the upstream began to leave. A call
// sent just now is handled before any report; the last report is too old to
// go by, so the call is handed back.
TEST(LeavingTest, WakingSidecarDoesNotGoByAnOldReport) {
  SidecarRig rig;
  rig.Report();
  rig.now += 10 * kSecond;
  rig.Deliver(rig.Call(1));
  EXPECT_TRUE(rig.started.empty());
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kNotRun);
}

// SIGTERM under load: what runs is finished and its answers are sent, what
// waits goes back with "not run", and the process may then end.
TEST(LeavingTest, ShutdownUnderLoadCutsNothing) {
  SidecarRig rig(/*limit=*/4);
  for (std::uint64_t n = 1; n <= 20; ++n) {
    rig.Deliver(rig.Call(n));
  }
  rig.core.Leave(rig.now);
  EXPECT_EQ(rig.failures.size(), 16);
  EXPECT_EQ(rig.core.InProgress(), 4);
  EXPECT_TRUE(rig.cancelled.empty());
  for (std::size_t n = 0; n < 4; ++n) {
    rig.Answer(n);
  }
  EXPECT_EQ(rig.chunks.size(), 4);
  EXPECT_EQ(rig.core.InProgress(), 0);
  EXPECT_EQ(rig.started.size(), 4);
}

}  // namespace
}  // namespace acaciachute
