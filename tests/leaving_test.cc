// Tests that an upstream that is leaving receives no new work, whichever route
// reports it.
#include <gtest/gtest.h>

#include <functional>

#include "coordination/sidecar/leaving.h"
#include "tests/sidecar_rig.h"

namespace acaciachute {
namespace {

// Entries send a call every 10 ms, as if the upstream were ready. From 3 s on,
// `report` signals by one route that it leaves; the other routes continue to
// report that it does not. Returns how many calls started more than `bound`
// after that.
int StartsAfterBound(const std::function<void(SidecarRig&)>& report,
                     DurationUs bound,
                     bool upstream_reports = true) {
  SidecarRig rig(/*limit=*/4);
  const TimeUs reported_at = rig.now + 3 * kSecond;
  bool is_reported = false;
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
    if (rig.now >= reported_at && !is_reported) {
      is_reported = true;
    }
    if (is_reported) {
      report(rig);
    }
    const std::size_t before = rig.started.size();
    rig.Deliver(rig.Call(n));
    const auto started = rig.started.size() - before;
    late += rig.now > reported_at + bound ? static_cast<int>(started) : 0;
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

// No route reports that the upstream leaves: its host is removed and its status
// reports stop. Calls then start only up to the maximum age of the last report.
TEST(LeavingTest, MissingReportsAlone) {
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

// The age of a report that took a second to arrive counts from its request, so
// a slow answer does not extend the limit.
TEST(LeavingTest, ReportAgeCountsFromItsRequest) {
  Leaving leaving;
  leaving.OnReport(/*requested_at=*/kSecond, /*reachable=*/true);
  EXPECT_TRUE(leaving.IsReachable(3 * kSecond - 1));
  EXPECT_FALSE(leaving.IsReachable(3 * kSecond));
}

// One entry knows that the upstream leaves and another does not. The reports of
// the other, five times a second, must not revoke that of the first; it expires
// when it is not repeated.
TEST(LeavingTest, EntryWithAnOutdatedListDoesNotRevoke) {
  Leaving leaving;
  leaving.OnLeaveReport(kSecond, LeaveRoute::kEntry, true);
  leaving.OnLeaveReport(2 * kSecond, LeaveRoute::kEntry, false);
  EXPECT_TRUE(leaving.IsLeaving(2 * kSecond));
  EXPECT_FALSE(leaving.IsLeaving(kSecond + Leaving::kMaxEntryReportAge));
}

// The sidecar resumes from a suspension in which the upstream began to leave. A
// call that was just sent is handled before any status report; the last report
// is too old, so the call is refused.
TEST(LeavingTest, ResumedSidecarIgnoresAnOutdatedReport) {
  SidecarRig rig;
  rig.Report();
  rig.now += 10 * kSecond;
  rig.Deliver(rig.Call(1));
  EXPECT_TRUE(rig.started.empty());
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kNotRun);
}

// SIGTERM under load: running calls are finished and their answers sent,
// waiting calls are refused with "not run", and the process may then end.
TEST(LeavingTest, ShutdownUnderLoadInterruptsNoCall) {
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
