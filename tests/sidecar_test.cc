// Tests of the last check before an upstream: duplicates, cancellations,
// deadlines and suspensions.
#include <gtest/gtest.h>

#include "coordination/membership/message_age.h"
#include "coordination/sidecar/tombstones.h"
#include "tests/sidecar_rig.h"

namespace acaciachute {
namespace {

// The caller was answered "not run" because its queued call was cancelled. A
// second copy of the call, delayed in the network, arrives when the slot is
// free. If it ran, the answer already given would be false.
TEST(SidecarTest, LateCopyAfterCancelNeverRuns) {
  SidecarRig rig;
  const StageCall first = rig.Call(1);
  const StageCall second = rig.Call(2);
  rig.Deliver(first);
  rig.Deliver(second);
  rig.Deliver(StageCancel{second.key, SidecarRig::kIncarnation, kSecond});
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kNotRun);
  rig.Answer(0);
  rig.Deliver(second);
  EXPECT_EQ(rig.started.size(), 1);
}

// The cancellation overtakes its call on another connection. The caller has its
// answer, so the call must not run.
TEST(SidecarTest, CallAfterItsCancelNeverRuns) {
  SidecarRig rig;
  const StageCall call = rig.Call(1);
  rig.Deliver(StageCancel{call.key, SidecarRig::kIncarnation, kSecond});
  rig.Pass(kSecond);
  rig.Deliver(call);
  EXPECT_TRUE(rig.started.empty());
}

// The queue is full and the call is refused with "not run"; the entry sends the
// stage elsewhere. The network delivers a second copy when there is capacity.
// Without a tombstone for refused calls the stage would run twice.
TEST(SidecarTest, CopyOfRefusedCallNeverRuns) {
  SidecarOptions options = SidecarRig::Options(1);
  options.max_queued = 1;
  SidecarRig rig(options);
  rig.Deliver(rig.Call(1));
  rig.Deliver(rig.Call(2));
  const StageCall refused = rig.Call(3);
  rig.Deliver(refused);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].reason, Refusal::kFull);
  rig.Answer(0);
  rig.Answer(1);
  rig.Deliver(refused);
  EXPECT_EQ(rig.started.size(), 2);
}

// The sidecar was replaced while a call was in flight. The new process does not
// know what ran before it, so it neither runs the call nor answers "not run".
TEST(SidecarTest, CallForPredecessorMayHaveRun) {
  SidecarRig rig;
  StageCall call = rig.Call(1);
  call.sidecar = SidecarRig::kIncarnation - 1;
  rig.Deliver(call);
  EXPECT_TRUE(rig.started.empty());
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(rig.failures[0].sidecar, call.sidecar);
}

// The sidecar is suspended for a minute with a call in its socket buffer. The
// caller was answered long ago, yet the call still says "five seconds left".
// Its age is detected by the sender's clock.
TEST(SidecarTest, CallFromBeforePauseIsLate) {
  SidecarRig rig;
  rig.EntrySays(false);
  const StageCall call = rig.Call(1);
  rig.now += 60 * kSecond;
  rig.Deliver(call);
  EXPECT_TRUE(rig.started.empty());
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kNotRun);
  EXPECT_EQ(rig.failures[0].reason, Refusal::kLate);
}

// A shorter suspension uses up only part of the time left: the call runs, but
// ends at its caller's deadline and not five seconds after the suspension.
TEST(SidecarTest, PauseCountsAgainstTimeLeft) {
  SidecarRig rig;
  rig.EntrySays(false);
  const StageCall call = rig.Call(1);
  rig.now += 3 * kSecond;
  rig.Deliver(call);
  ASSERT_EQ(rig.started.size(), 1);
  rig.Pass(2 * kSecond - 1);
  EXPECT_TRUE(rig.cancelled.empty());
  rig.Pass(1);
  EXPECT_EQ(rig.cancelled.size(), 1);
}

// A copy of an answered call arrives long after its tombstone has expired. Only
// its age shows that it is a copy.
TEST(SidecarTest, CopyAfterTombstoneIsLate) {
  SidecarRig rig;
  rig.EntrySays(false);
  const StageCall call = rig.Call(1);
  rig.Deliver(call);
  rig.Answer(0);
  rig.Pass(3600 * kSecond);
  rig.Deliver(call);
  EXPECT_EQ(rig.started.size(), 1);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].reason, Refusal::kLate);
}

// A call waits while the sidecar is suspended past its deadline. When it
// resumes, the upstream's answer to another call is handled first and frees the
// slot. The waiting call must not take it.
TEST(SidecarTest, WaitingCallIsLateAfterPauseWhateverInputIsFirst) {
  SidecarRig rig;
  rig.Deliver(rig.Call(1, 60 * kSecond));
  rig.Deliver(rig.Call(2, kSecond));
  rig.now += 30 * kSecond;
  rig.Answer(0);
  EXPECT_EQ(rig.started.size(), 1);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].key.request.sequence, 2);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kNotRun);
}

// The upstream does not answer. The caller is answered at the deadline that the
// call may have run, the idempotent call is cancelled and its slot serves the
// next one.
TEST(SidecarTest, HangingCallEndsAtItsDeadline) {
  SidecarRig rig;
  rig.Deliver(rig.Call(1, kSecond));
  rig.Deliver(rig.Call(2, 5 * kSecond));
  rig.Pass(kSecond);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(rig.failures[0].reason, Refusal::kLate);
  EXPECT_EQ(rig.cancelled.size(), 1);
  EXPECT_EQ(rig.started.size(), 2);
}

// A non-idempotent order runs past its deadline. An interruption could leave it
// half done, so it keeps its slot until the upstream answers; a sidecar that
// freed the slot would overload the upstream.
TEST(SidecarTest, OrderPastItsDeadlineIsNotInterruptedAndKeepsItsSlot) {
  SidecarRig rig;
  StageCall order = rig.Call(1, kSecond);
  order.idempotent = false;
  rig.Deliver(order);
  rig.Deliver(rig.Call(2, 10 * kSecond));
  rig.Pass(2 * kSecond);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kMayHaveRun);
  EXPECT_TRUE(rig.cancelled.empty());
  EXPECT_EQ(rig.started.size(), 1);
  EXPECT_EQ(rig.core.InProgress(), 2);
  rig.Answer(0);
  EXPECT_TRUE(rig.chunks.empty());
  EXPECT_EQ(rig.started.size(), 2);
}

// The upstream never answers an order. Its slot is freed after a maximum time.
TEST(SidecarTest, LostOrderFreesItsSlot) {
  SidecarRig rig;
  StageCall order = rig.Call(1, kSecond);
  order.idempotent = false;
  rig.Deliver(order);
  rig.Pass(40 * kSecond);
  EXPECT_EQ(rig.cancelled.size(), 1);
  EXPECT_EQ(rig.core.InProgress(), 0);
}

// The caller cancelled and was answered; the upstream's later answer is
// dropped.
TEST(SidecarTest, AnswerAfterCancelIsDropped) {
  SidecarRig rig;
  const StageCall call = rig.Call(1);
  rig.Deliver(call);
  rig.Deliver(StageCancel{call.key, SidecarRig::kIncarnation, kSecond});
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kMayHaveRun);
  rig.Answer(0);
  rig.core.OnUpstreamError(rig.now, rig.ids[0], UpstreamError::kBroken);
  EXPECT_TRUE(rig.chunks.empty());
  EXPECT_EQ(rig.failures.size(), 1);
}

// The upstream does not answer status requests. Its last report expires;
// waiting calls are refused with "not run" so that they can run elsewhere, and
// no new call is accepted until the next report.
TEST(SidecarTest, UnresponsiveUpstreamGetsNoNewCalls) {
  SidecarRig rig;
  rig.Report();
  rig.Deliver(rig.Call(1));
  rig.Deliver(rig.Call(2));
  rig.Pass(2 * kSecond);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kNotRun);
  EXPECT_EQ(rig.failures[0].reason, Refusal::kNoReplica);
  EXPECT_EQ(rig.core.state(), NodeState::kStarting);
  rig.Deliver(rig.Call(3));
  EXPECT_EQ(rig.started.size(), 1);
  rig.Report();
  rig.Answer(0);
  rig.Deliver(rig.Call(4));
  EXPECT_EQ(rig.started.size(), 2);
}

TEST(TombstonesTest, MemoryIsBoundedAndEvictedOnesMayHaveRun) {
  Tombstones tombstones(/*max_tombstones=*/100);
  for (std::uint64_t n = 1; n <= 1000; ++n) {
    tombstones.Add({{1, n}, 0, 1}, static_cast<TimeUs>(n) * kSecond);
  }
  EXPECT_EQ(tombstones.size(), 100);
  EXPECT_FALSE(tombstones.Contains({{1, 5}, 0, 1}));
  EXPECT_TRUE(tombstones.MayBeEvicted({{1, 5}, 0, 1}));
  EXPECT_FALSE(tombstones.MayBeEvicted({{1, 2000}, 0, 1}));
  EXPECT_FALSE(tombstones.MayBeEvicted({{2, 5}, 0, 1}));
  tombstones.Expire(2000 * kSecond);
  EXPECT_EQ(tombstones.size(), 0);
  EXPECT_FALSE(tombstones.MayBeEvicted({{1, 5}, 0, 1}));
}

// A call's tombstone was evicted and a copy arrives. The sidecar cannot
// distinguish it from a new call, so it answers that it may have run.
TEST(SidecarTest, CopyWithDroppedTombstoneMayHaveRun) {
  SidecarRig rig;
  const StageCall call = rig.Call(1);
  rig.Deliver(call);
  rig.Answer(0);
  for (std::uint64_t n = 2; n <= Tombstones::kMaxTombstones + 1; ++n) {
    rig.Deliver(StageCancel{{{SidecarRig::kEntry, n}, 0, 1},
                            SidecarRig::kIncarnation,
                            kSecond * 9});
  }
  rig.Deliver(call);
  EXPECT_EQ(rig.started.size(), 1);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kMayHaveRun);
}

// Clocks that drift apart by NTP's limit of 500 ppm for a day must not make
// recent messages appear old.
TEST(MessageAgeTest, DriftStaysWithinItsBound) {
  MessageAge ages;
  DurationUs oldest = 0;
  for (std::int64_t n = 1; n < 24 * 3600; ++n) {
    const TimeUs sent_at = n * kSecond;
    oldest = std::max(oldest, ages.Of(1, sent_at, sent_at + n * 500));
  }
  EXPECT_LE(oldest, 61 * kMillisecond);
}

// After a suspension of 100 s, 300 heartbeats from the kernel's buffers are
// handled. None of them may become the new reference for the age of a message.
TEST(MessageAgeTest, BacklogOfPauseDoesNotMoveTheBase) {
  MessageAge ages;
  for (TimeUs at = kSecond; at < 100 * kSecond; at += 200 * kMillisecond) {
    ages.Of(1, at, at);
  }
  const TimeUs resumed_at = 200 * kSecond;
  for (int n = 0; n < 300; ++n) {
    ages.Of(1, 100 * kSecond + n * 200 * kMillisecond, resumed_at);
  }
  EXPECT_EQ(ages.Of(1, 110 * kSecond, resumed_at), 90 * kSecond);
}

// Guards against a caller that has the answer of a request under which an
// upstream ended, sends it again through another entry, and finds one that has
// not heard of the end.
TEST(SidecarTest, EntriesHearOfACrashBeforeItsCallers) {
  SidecarRig rig;
  rig.Report();
  StageCall call = rig.Call(1);
  call.fingerprint = 7;
  rig.Deliver(call);
  rig.core.OnUpstreamError(rig.now, rig.ids[0], UpstreamError::kBroken);
  rig.core.OnUpstreamReport(rig.now, rig.now, {});
  ASSERT_EQ(rig.failures.size(), 1U);
  EXPECT_FALSE(rig.failures[0].quarantined.empty());
  EXPECT_GE(rig.heartbeats_before_failures[0], 1);
}

}  // namespace
}  // namespace acaciachute
