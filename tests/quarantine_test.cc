// One request that ends each upstream it reaches, sent again and again.
#include "coordination/interface/quarantine.h"

#include <gtest/gtest.h>

#include "tests/core_driver.h"
#include "tests/sidecar_rig.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr char kPoison[] = R"({"order":"poison"})";

DriverOptions Brookvale() {
  DriverOptions options;
  options.entries = 4;
  options.pools = {{"models", StageKind::kGenerate, 9}};
  options.service = 20 * kMillisecond;
  return options;
}

bool IsPoison(const NodeId&, const StageCall& call) {
  return Contains(call.body, "poison");
}

// Sends 400 innocents a second and lets a caller send the poison again through
// the next entry as soon as it has its answer. Returns the poison's handles.
std::vector<CallerHandle> RunWithPoison(CoreDriver* driver,
                                        int resends,
                                        std::vector<CallerHandle>* innocents) {
  std::vector<CallerHandle> poison;
  for (int n = 0; n < 4000 && static_cast<int>(poison.size()) <= resends; ++n) {
    const auto body = StrCat(R"({"order":"good-)", n, "\"}");
    innocents->push_back(driver->Ask(n % 4, CoreDriver::MakeRequest(body)));
    if (poison.empty() || !driver->AnswersTo(poison.back()).empty()) {
      const int entry = static_cast<int>(poison.size()) % 4;
      poison.push_back(driver->Ask(entry, CoreDriver::MakeRequest(kPoison)));
    }
    driver->Run(2500);
  }
  driver->Run(10 * kSecond);
  return poison;
}

// The caller sends its request again through each entry in turn, among other
// callers' requests. Its first run ends a replica with all that is in progress
// there; the second, apart, ends another and convicts it. From then on it is
// refused at once with its reason, and every other caller is answered. Without
// the quarantine each resend ends more replicas.
TEST(QuarantineTest, ResentPoisonCostsTwoReplicasOfNine) {
  CoreDriver driver(Brookvale());
  driver.crashes = IsPoison;
  std::vector<CallerHandle> innocents;
  const auto poison = RunWithPoison(&driver, 40, &innocents);
  EXPECT_EQ(driver.UpstreamCrashes(), 2);
  EXPECT_EQ(driver.RunsOf("poison"), 2);
  ASSERT_EQ(poison.size(), 41);
  for (std::size_t n = 0; n < poison.size(); ++n) {
    const auto answers = driver.AnswersTo(poison[n]);
    ASSERT_EQ(answers.size(), 1);
    EXPECT_EQ(answers[0].answer.reason, Refusal::kQuarantined) << n;
    EXPECT_EQ(answers[0].answer.verdict,
              n == 0 ? Verdict::kMayHaveRun : Verdict::kNotRun);
  }
  EXPECT_TRUE(
      Contains(driver.AnswersTo(poison.back())[0].answer.detail, "models-"));
  for (const CallerHandle it : innocents) {
    const auto answers = driver.AnswersTo(it);
    ASSERT_EQ(answers.size(), 1);
    EXPECT_EQ(answers[0].answer.verdict, Verdict::kAnswered);
  }
}

// An order that may not be repeated is poison too; its caller draws a new key
// each time. Nothing is retried, so each of its first two sends costs one
// replica and the third is refused.
TEST(QuarantineTest, PoisonUnderNewKeysIsConvictedAtTheSecond) {
  CoreDriver driver(Brookvale());
  driver.crashes = IsPoison;
  std::vector<Refusal> reasons;
  for (int n = 0; n < 6; ++n) {
    const auto handle =
        driver.Ask(n % 4, CoreDriver::MakeOnce(StrCat("key-", n), kPoison));
    driver.Run(kSecond);
    ASSERT_EQ(driver.AnswersTo(handle).size(), 1);
    reasons.push_back(driver.AnswersTo(handle)[0].answer.reason);
  }
  EXPECT_EQ(driver.UpstreamCrashes(), 2);
  for (std::size_t n = 2; n < reasons.size(); ++n) {
    EXPECT_EQ(reasons[n], Refusal::kQuarantined);
  }
}

// The order passes the encoders unharmed and ends every generator; it may not
// be repeated, so each send begins at the encoders. What they cleared must not
// clear it at the generators.
TEST(QuarantineTest, PoisonOfLaterStageIsConvictedThere) {
  DriverOptions options = Brookvale();
  options.pools = {{"encoders", StageKind::kEncode, 3},
                   {"models", StageKind::kGenerate, 9}};
  CoreDriver driver(options);
  driver.crashes = [](const NodeId& node, const StageCall& call) {
    return node.starts_with("models") && Contains(call.body, "poison");
  };
  for (int n = 0; n < 10; ++n) {
    driver.Ask(n % 4, CoreDriver::MakeOnce(StrCat("key-", n), kPoison));
    driver.Run(kSecond);
  }
  EXPECT_EQ(driver.UpstreamCrashes(), 2);
}

// Four copies are sent at once, before any entry can know. Each may cost one
// replica, and one more when it is run apart at the same time as the others.
TEST(QuarantineTest, CopiesSentAtOnceCostTwoReplicasEach) {
  CoreDriver driver(Brookvale());
  driver.crashes = IsPoison;
  for (int round = 0; round < 5; ++round) {
    for (int n = 0; n < 4; ++n) {
      driver.Ask(n, CoreDriver::MakeRequest(kPoison));
    }
    driver.Run(kSecond);
  }
  EXPECT_LE(driver.UpstreamCrashes(), 8);
  const int before = driver.UpstreamCrashes();
  driver.Ask(0, CoreDriver::MakeRequest(kPoison));
  driver.Run(kSecond);
  EXPECT_EQ(driver.UpstreamCrashes(), before);
}

// The operator has mended the engine and lifts the conviction at one entry. All
// entries take the request again, and an old heartbeat does not bring the
// conviction back.
TEST(QuarantineTest, LiftedConvictionDoesNotComeBack) {
  CoreDriver driver(Brookvale());
  driver.crashes = IsPoison;
  driver.Ask(0, CoreDriver::MakeRequest(kPoison));
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
    const auto handle = driver.Ask(n, CoreDriver::MakeRequest(kPoison));
    driver.Run(kSecond);
    ASSERT_EQ(driver.AnswersTo(handle).size(), 1);
    EXPECT_EQ(driver.AnswersTo(handle)[0].answer.verdict, Verdict::kAnswered);
  }
}

// An upstream closes one connection and lives on. Twice cut, the request is no
// poison; without asking the upstream first it would be convicted.
TEST(QuarantineTest, CutConnectionIsNoCrash) {
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

// The upstream dies and never answers again. The calls whose connections broke
// get their verdict when the question has been open long enough.
TEST(QuarantineTest, DeadUpstreamThatStaysSilentIsACrash) {
  SidecarRig rig(/*limit=*/4);
  StageCall call = rig.Call(1);
  call.fingerprint = 9;
  rig.Deliver(call);
  rig.core.OnUpstreamError(rig.now, rig.ids[0], UpstreamError::kBroken);
  EXPECT_TRUE(rig.failures.empty());
  rig.Pass(Sidecar::kCrashCheckTime);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_TRUE(rig.failures[0].crashed);
  ASSERT_EQ(rig.failures[0].quarantined.size(), 1);
  EXPECT_EQ(rig.failures[0].quarantined[0].quarantine_state,
            QuarantineState::kSuspect);
}

// An entry that has not heard sends a convicted request. The sidecar is the
// last guard and refuses it before it reaches the upstream.
TEST(QuarantineTest, SidecarRefusesWhatItsEntryHasNotHeardOf) {
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

// A suspect must run with nothing beside it, or the next crash blames innocents
// again. Nothing starts while it waits for the slots to empty or runs, and
// everything that waited is served after it.
TEST(QuarantineTest, SuspectRunsApart) {
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

// Two copies wait at one sidecar when news of their conviction, or of a crash
// elsewhere, comes. What waits is judged again before it is started.
TEST(QuarantineTest, WaitingCallIsJudgedAgainAtHandOver) {
  SidecarRig rig;
  rig.Deliver(rig.Call(1));
  StageCall convict = rig.Call(2);
  convict.fingerprint = 9;
  StageCall suspect = rig.Call(3);
  suspect.fingerprint = 10;
  rig.Deliver(convict);
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

// The upstream is busy with a long job when a suspect comes. Holding the other
// slots until it ends would shut everybody out, so the suspect goes back.
TEST(QuarantineTest, SuspectDoesNotHoldSlotsForLong) {
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

TEST(QuarantineTest, OrderOfNewsDoesNotMatter) {
  const std::vector<QuarantineRecord> news = {
      {9, 0, QuarantineState::kSuspect, 0, "a", {"x"}},
      {9, 0, QuarantineState::kConvicted, 0, "a", {"x", "y"}},
      {9, 1, QuarantineState::kClear, 0, "a", {}}};
  Quarantine forward;
  Quarantine backward;
  for (std::size_t n = 0; n < news.size(); ++n) {
    forward.Merge(kSecond, {news[n]});
    backward.Merge(kSecond, {news[news.size() - 1 - n]});
  }
  EXPECT_EQ(forward.Of(kSecond, 9), QuarantineState::kClear);
  EXPECT_EQ(backward.Of(kSecond, 9), QuarantineState::kClear);
}

// A pool that crashes all day must not fill the memory, and what is forgotten
// first is what matters least.
TEST(QuarantineTest, MemoryIsBounded) {
  Quarantine quarantine;
  quarantine.Merge(kSecond,
                   {{1, 1, QuarantineState::kConvicted, 0, "a", {"x"}}});
  for (std::uint64_t n = 2; n < 3 * Quarantine::kMost; ++n) {
    quarantine.OnCrash(2 * kSecond, "x", {{n, "a"}, {n + 1, "a"}});
  }
  EXPECT_EQ(quarantine.size(), Quarantine::kMost);
  EXPECT_EQ(quarantine.Of(2 * kSecond, 1), QuarantineState::kConvicted);
  EXPECT_EQ(quarantine.Told(2 * kSecond).size(), Quarantine::kTold);
}

// A node that starts late hears of every record in turn, though a heartbeat
// has room for few.
TEST(QuarantineTest, EveryRecordIsToldInTurn) {
  Quarantine old;
  for (std::uint64_t n = 1; n <= 100; ++n) {
    old.OnCrash(kSecond, "x", {{n, "a"}});
  }
  Quarantine young;
  for (int n = 0; n < 100 / 8 + 1; ++n) {
    young.Merge(kSecond, old.Told(kSecond));
  }
  EXPECT_EQ(young.All(kSecond).size(), 100);
}

}  // namespace
}  // namespace acaciachute
