// Tests with a request that crashes each upstream it reaches and is sent
// repeatedly.
#include "coordination/interface/quarantine.h"

#include <gtest/gtest.h>

#include "tests/core_driver.h"
#include "tests/sidecar_rig.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr char kCrashingBody[] = R"({"order":"poison"})";

DriverOptions Brookvale() {
  DriverOptions options;
  options.entries = 4;
  options.pools = {{"models", StageKind::kGenerate, 9}};
  options.service = 20 * kMillisecond;
  return options;
}

bool IsCrashingRequest(const NodeId&, const StageCall& call) {
  return Contains(call.body, "poison");
}

// Sends 400 harmless requests per second, and lets a caller resend the crashing
// request through the next entry as soon as it is answered. Returns the handles
// of the crashing request's copies.
std::vector<CallerHandle> RunWithCrashingRequest(
    CoreDriver* driver,
    int resends,
    std::vector<CallerHandle>* harmless) {
  std::vector<CallerHandle> crashing;
  for (int n = 0; n < 4000 && static_cast<int>(crashing.size()) <= resends;
       ++n) {
    const auto body = StrCat(R"({"order":"good-)", n, "\"}");
    harmless->push_back(driver->Ask(n % 4, CoreDriver::MakeRequest(body)));
    if (crashing.empty() || !driver->AnswersTo(crashing.back()).empty()) {
      const int entry = static_cast<int>(crashing.size()) % 4;
      crashing.push_back(
          driver->Ask(entry, CoreDriver::MakeRequest(kCrashingBody)));
    }
    driver->Run(2500);
  }
  driver->Run(10 * kSecond);
  return crashing;
}

// The caller resends its request through each entry in turn, among other
// callers' requests. Its first run crashes a replica with everything in
// progress there; the second, run alone, crashes another and convicts it. From
// then on it is refused at once with its reason, and every other caller is
// answered. Without the quarantine each resend crashes more replicas.
TEST(QuarantineTest, ResentPoisonCostsTwoReplicasOfNine) {
  CoreDriver driver(Brookvale());
  driver.crashes = IsCrashingRequest;
  std::vector<CallerHandle> harmless;
  const auto crashing = RunWithCrashingRequest(&driver, 40, &harmless);
  EXPECT_EQ(driver.UpstreamCrashes(), 2);
  EXPECT_EQ(driver.RunsOf("poison"), 2);
  ASSERT_EQ(crashing.size(), 41);
  for (std::size_t n = 0; n < crashing.size(); ++n) {
    const auto answers = driver.AnswersTo(crashing[n]);
    ASSERT_EQ(answers.size(), 1);
    EXPECT_EQ(answers[0].answer.reason, Refusal::kQuarantined) << n;
    EXPECT_EQ(answers[0].answer.verdict,
              n == 0 ? Verdict::kMayHaveRun : Verdict::kNotRun);
  }
  EXPECT_TRUE(
      Contains(driver.AnswersTo(crashing.back())[0].answer.detail, "models-"));
  for (const CallerHandle it : harmless) {
    const auto answers = driver.AnswersTo(it);
    ASSERT_EQ(answers.size(), 1);
    EXPECT_EQ(answers[0].answer.verdict, Verdict::kAnswered);
  }
}

// A non-idempotent order crashes its upstreams, and its caller uses a new key
// each time. There are no retries, so each of its first two sends costs one
// replica and the third is refused.
TEST(QuarantineTest, PoisonUnderNewKeysIsConvictedAtTheSecond) {
  CoreDriver driver(Brookvale());
  driver.crashes = IsCrashingRequest;
  std::vector<Refusal> reasons;
  for (int n = 0; n < 6; ++n) {
    const auto handle = driver.Ask(
        n % 4, CoreDriver::MakeOnce(StrCat("key-", n), kCrashingBody));
    driver.Run(kSecond);
    ASSERT_EQ(driver.AnswersTo(handle).size(), 1);
    reasons.push_back(driver.AnswersTo(handle)[0].answer.reason);
  }
  EXPECT_EQ(driver.UpstreamCrashes(), 2);
  for (std::size_t n = 2; n < reasons.size(); ++n) {
    EXPECT_EQ(reasons[n], Refusal::kQuarantined);
  }
}

// The order passes the encoders unharmed and crashes every generator; it is not
// idempotent, so each send begins at the encoders. Its answers there must not
// clear it for the generators.
TEST(QuarantineTest, PoisonOfLaterStageIsConvictedThere) {
  DriverOptions options = Brookvale();
  options.pools = {{"encoders", StageKind::kEncode, 3},
                   {"models", StageKind::kGenerate, 9}};
  CoreDriver driver(options);
  driver.crashes = [](const NodeId& node, const StageCall& call) {
    return node.starts_with("models") && Contains(call.body, "poison");
  };
  for (int n = 0; n < 10; ++n) {
    driver.Ask(n % 4, CoreDriver::MakeOnce(StrCat("key-", n), kCrashingBody));
    driver.Run(kSecond);
  }
  EXPECT_EQ(driver.UpstreamCrashes(), 2);
}

// Four copies are sent at once, before any entry knows of a crash. Each may
// crash one replica, and another one when it runs alone at the same time as the
// others.
TEST(QuarantineTest, CopiesSentAtOnceCostTwoReplicasEach) {
  CoreDriver driver(Brookvale());
  driver.crashes = IsCrashingRequest;
  for (int round = 0; round < 5; ++round) {
    for (int n = 0; n < 4; ++n) {
      driver.Ask(n, CoreDriver::MakeRequest(kCrashingBody));
    }
    driver.Run(kSecond);
  }
  EXPECT_LE(driver.UpstreamCrashes(), 8);
  const int before = driver.UpstreamCrashes();
  driver.Ask(0, CoreDriver::MakeRequest(kCrashingBody));
  driver.Run(kSecond);
  EXPECT_EQ(driver.UpstreamCrashes(), before);
}

// The operator has fixed the engine and lifts the conviction at one entry. All
// entries accept the request again, and an old heartbeat does not restore the
// conviction.
TEST(QuarantineTest, LiftedConvictionDoesNotComeBack) {
  CoreDriver driver(Brookvale());
  driver.crashes = IsCrashingRequest;
  driver.Ask(0, CoreDriver::MakeRequest(kCrashingBody));
  driver.Run(kSecond);
  const auto records = driver.entry(1).quarantine().All(driver.now());
  ASSERT_EQ(records.size(), 1);
  EXPECT_EQ(records[0].quarantine_state, QuarantineState::kConvicted);
  EXPECT_EQ(records[0].account, "office");
  driver.crashes = nullptr;
  ASSERT_TRUE(
      driver.entry(1).quarantine().Lift(driver.now(), records[0].fingerprint));
  driver.Run(kSecond);
  for (int n = 0; n < 4; ++n) {
    const auto handle = driver.Ask(n, CoreDriver::MakeRequest(kCrashingBody));
    driver.Run(kSecond);
    ASSERT_EQ(driver.AnswersTo(handle).size(), 1);
    EXPECT_EQ(driver.AnswersTo(handle)[0].answer.verdict, Verdict::kAnswered);
  }
}

// An upstream closes one connection and continues to run. A request whose
// connection was closed twice is not convicted, because the upstream is checked
// first.
TEST(QuarantineTest, ClosedConnectionIsNoCrash) {
  SidecarRig rig(/*limit=*/4);
  for (std::uint64_t n = 1; n <= 2; ++n) {
    StageCall call = rig.Call(n);
    call.fingerprint = 9;
    rig.Deliver(call);
    rig.core.OnUpstreamError(rig.now, rig.ids.back(), UpstreamError::kBroken);
    EXPECT_EQ(rig.checks, static_cast<int>(n));
    rig.Report();
    ASSERT_EQ(rig.failures.size(), n);
    EXPECT_FALSE(rig.failures.back().crashed);
    EXPECT_EQ(rig.failures.back().verdict, Verdict::kMayHaveRun);
  }
  EXPECT_TRUE(rig.core.quarantine().All(rig.now).empty());
}

// The upstream crashes and never answers again. The calls whose connections
// were lost are answered when the crash check times out.
TEST(QuarantineTest, UpstreamThatStaysUnresponsiveHasCrashed) {
  SidecarRig rig(/*limit=*/4);
  StageCall call = rig.Call(1);
  call.fingerprint = 9;
  rig.Deliver(call);
  rig.core.OnUpstreamError(rig.now, rig.ids[0], UpstreamError::kBroken);
  EXPECT_TRUE(rig.failures.empty());
  rig.Pass(Sidecar::kCrashCheckTimeout);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_TRUE(rig.failures[0].crashed);
  ASSERT_EQ(rig.failures[0].quarantined.size(), 1);
  EXPECT_EQ(rig.failures[0].quarantined[0].quarantine_state,
            QuarantineState::kSuspect);
}

// An entry that does not know of the conviction sends a convicted request. The
// sidecar refuses it before it reaches the upstream.
TEST(QuarantineTest, SidecarRefusesAConvictionUnknownToTheEntry) {
  SidecarRig rig;
  Heartbeat heartbeat;
  heartbeat.quarantined = {{9,
                            2,
                            QuarantineState::kConvicted,
                            0,
                            "office",
                            {"orders-2", "orders-3"}}};
  rig.core.OnHeartbeat(rig.now, "entry-1", 6, heartbeat);
  StageCall call = rig.Call(1);
  call.fingerprint = 9;
  rig.Deliver(call);
  EXPECT_TRUE(rig.started.empty());
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].reason, Refusal::kQuarantined);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kNotRun);
}

// A suspect must run with no other call beside it, or the next crash makes
// harmless requests suspects again. No call starts while it waits for the slots
// to empty or runs, and all waiting calls are served after it.
TEST(QuarantineTest, SuspectRunsAlone) {
  SidecarRig rig(/*limit=*/2);
  rig.Deliver(rig.Call(1));
  rig.Deliver(rig.Suspect(2));
  rig.Deliver(rig.Call(3));
  rig.Deliver(rig.Call(4));
  EXPECT_EQ(rig.started.size(), 1);
  rig.Answer(0);
  ASSERT_EQ(rig.started.size(), 2);
  EXPECT_EQ(rig.started[1].key.request.sequence, 2);
  rig.Deliver(rig.Call(5));
  EXPECT_EQ(rig.started.size(), 2);
  rig.Answer(1);
  EXPECT_EQ(rig.started.size(), 4);
}

// Two requests wait at one sidecar when a heartbeat reports the conviction of
// one and a crash of the other elsewhere. The state of a waiting call is
// checked again before it starts.
TEST(QuarantineTest, QuarantineIsCheckedAgainWhenACallStarts) {
  SidecarRig rig;
  rig.Deliver(rig.Call(1));
  StageCall convicted = rig.Call(2);
  convicted.fingerprint = 9;
  StageCall suspect = rig.Call(3);
  suspect.fingerprint = 10;
  rig.Deliver(convicted);
  rig.Deliver(suspect);
  Heartbeat heartbeat;
  heartbeat.quarantined = {
      {9, 0, QuarantineState::kConvicted, 0, "office", {"x"}},
      {10, 0, QuarantineState::kSuspect, 0, "office", {"x"}}};
  rig.core.OnHeartbeat(rig.now, "entry-1", 6, heartbeat);
  rig.Deliver(rig.Call(4));
  rig.Answer(0);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].reason, Refusal::kQuarantined);
  ASSERT_EQ(rig.started.size(), 2);
  EXPECT_EQ(rig.started[1].key.request.sequence, 3);
  rig.Answer(1);
  ASSERT_EQ(rig.started.size(), 3);
  EXPECT_EQ(rig.started[2].key.request.sequence, 4);
}

// The upstream is busy with a long job when a suspect arrives. If the other
// slots were kept free until the job ends, no other call would run, so the
// suspect is refused and can go elsewhere.
TEST(QuarantineTest, SuspectKeepsSlotsFreeForALimitedTime) {
  SidecarRig rig(/*limit=*/2);
  rig.Deliver(rig.Call(1));
  rig.Deliver(rig.Suspect(2));
  rig.Deliver(rig.Call(3));
  rig.Pass(500 * kMillisecond);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].key.request.sequence, 2);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kNotRun);
  EXPECT_EQ(rig.started.size(), 2);
}

TEST(QuarantineTest, MergeDoesNotDependOnOrder) {
  const std::vector<QuarantineRecord> records = {
      {9, 0, QuarantineState::kSuspect, 0, "a", {"x"}},
      {9, 0, QuarantineState::kConvicted, 0, "a", {"x", "y"}},
      {9, 1, QuarantineState::kClear, 0, "a", {}}};
  Quarantine forward;
  Quarantine backward;
  for (std::size_t n = 0; n < records.size(); ++n) {
    forward.Merge(kSecond, {records[n]});
    backward.Merge(kSecond, {records[records.size() - 1 - n]});
  }
  EXPECT_EQ(forward.Of(kSecond, 9), QuarantineState::kClear);
  EXPECT_EQ(backward.Of(kSecond, 9), QuarantineState::kClear);
}

// A pool that crashes all day must not exhaust memory, and the least important
// records are evicted first.
TEST(QuarantineTest, MemoryIsBounded) {
  Quarantine quarantine;
  quarantine.Merge(kSecond,
                   {{1, 1, QuarantineState::kConvicted, 0, "a", {"x"}}});
  for (std::uint64_t n = 2; n < 3 * Quarantine::kMaxRecords; ++n) {
    quarantine.OnCrash(2 * kSecond, "x", {{n, "a"}, {n + 1, "a"}});
  }
  EXPECT_EQ(quarantine.size(), Quarantine::kMaxRecords);
  EXPECT_EQ(quarantine.Of(2 * kSecond, 1), QuarantineState::kConvicted);
  EXPECT_EQ(quarantine.RecordsToSend(2 * kSecond).size(),
            Quarantine::kMaxRecordsPerHeartbeat);
}

// A node that starts late receives every record in rotation, though a heartbeat
// holds only a few.
TEST(QuarantineTest, HeartbeatsCarryEveryRecordInRotation) {
  Quarantine sender;
  for (std::uint64_t n = 1; n <= 100; ++n) {
    sender.OnCrash(kSecond, "x", {{n, "a"}});
  }
  Quarantine receiver;
  for (int n = 0; n < 100 / 8 + 1; ++n) {
    receiver.Merge(kSecond, sender.RecordsToSend(kSecond));
  }
  EXPECT_EQ(receiver.All(kSecond).size(), 100);
}

}  // namespace
}  // namespace acaciachute
