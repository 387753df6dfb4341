// Tests of the at-most-once guarantee: what the callers of one key receive
// while the table loses answers, applies writes late or is down, and while
// entries stop.
#include "coordination/interface/claims.h"

#include <gtest/gtest.h>

#include "state/claim.h"
#include "tests/core_driver.h"
#include "text.h"

namespace acaciachute {
namespace {

CallerAnswer OnlyAnswer(const CoreDriver& driver, CallerHandle handle) {
  const auto answers = driver.AnswersTo(handle);
  EXPECT_EQ(answers.size(), 1);
  return answers.empty() ? CallerAnswer{} : answers[0].answer;
}

Claim RowOf(CoreDriver& driver, const std::string& key) {
  const auto claim =
      DecodeClaim(driver.rows()[ClaimRowKey("office", key)].value);
  return claim.ok() ? *claim : Claim{};
}

std::function<StoreFault(const std::vector<StoreOp>&)> FaultFor(
    int calls,
    StoreFault fault) {
  return [calls, fault](const std::vector<StoreOp>&) mutable {
    return calls-- > 0 ? fault : StoreFault::kNone;
  };
}

DriverOptions TwoEntries() {
  DriverOptions options;
  options.entries = 2;
  return options;
}

TEST(ClaimTest, AnswerIsKeptByteForByte) {
  Claim claim;
  claim.state = ClaimState::kAnswered;
  claim.answer = std::string("\xff\xfe\0 not UTF-8 \xc3", 14);
  EXPECT_EQ(DecodeClaim(EncodeClaim(claim))->answer, claim.answer);
  claim.answer = "{\"a\":\"\xc3\xa9\"}";
  EXPECT_EQ(DecodeClaim(EncodeClaim(claim))->answer, claim.answer);
}

TEST(ClaimTest, DifferentKeysHaveDifferentRows) {
  EXPECT_NE(ClaimRowKey("a", "b/c"), ClaimRowKey("a/b", "c"));
  EXPECT_NE(ClaimRowKey("a", "\xff"), ClaimRowKey("a", "\xfe"));
  EXPECT_NE(ClaimRowKey("a", "%FF"), ClaimRowKey("a", "\xff"));
}

// 200 orders arrive within one millisecond. All are answered, and their 400
// writes are sent in a few dozen transactions; the table would refuse most of
// 400.
TEST(ClaimsTest, WritesOfABurstAreGrouped) {
  CoreDriver driver({});
  std::vector<CallerHandle> handles;
  handles.reserve(200);
  for (int n = 0; n < 200; ++n) {
    handles.push_back(
        driver.Ask(0, CoreDriver::MakeOnce(StrCat("k", n), R"("x")")));
  }
  driver.Run(3 * kSecond);
  for (const auto handle : handles) {
    EXPECT_EQ(OnlyAnswer(driver, handle).verdict, Verdict::kAnswered);
  }
  const Metrics& metrics = driver.entry_metrics(0);
  EXPECT_EQ(metrics.Value("acaciachute_claim_writes_total"), 400);
  EXPECT_LT(metrics.Value("acaciachute_claim_transactions_total"), 100);
}

// One caller sends the same order to both entries at once. One entry claims and
// runs it, the other waits for the stored answer, and both callers receive the
// same complete answer. Without the claim the order would be executed twice.
TEST(ClaimsTest, CopiesAtTwoEntriesRunOnceAndBothAreAnswered) {
  CoreDriver driver(TwoEntries());
  const auto request = CoreDriver::MakeOnce("k", R"("two")");
  const auto first = driver.Ask(0, request);
  const auto second = driver.Ask(1, request);
  driver.Run(kSecond);
  EXPECT_EQ(OnlyAnswer(driver, first).verdict, Verdict::kAnswered);
  EXPECT_EQ(OnlyAnswer(driver, second).body, OnlyAnswer(driver, first).body);
  EXPECT_EQ(driver.RunsOf("two"), 1);
}

// A conflict on one order's claim fails a whole batch of claims. The others of
// the batch are not held yet; they are written again and all run.
TEST(ClaimsTest, ConflictOfOneLeavesTheOthersOfItsGroup) {
  CoreDriver driver(TwoEntries());
  driver.Ask(1, CoreDriver::MakeOnce("k0", R"("c0.")"));
  driver.Run(kSecond);
  std::vector<CallerHandle> handles;
  handles.reserve(50);
  for (int n = 0; n < 50; ++n) {
    handles.push_back(driver.Ask(
        0, CoreDriver::MakeOnce(StrCat("k", n), StrCat("\"c", n, ".\""))));
  }
  driver.Run(3 * kSecond);
  for (int n = 0; n < 50; ++n) {
    EXPECT_EQ(OnlyAnswer(driver, handles[n]).verdict, Verdict::kAnswered);
    EXPECT_EQ(driver.RunsOf(StrCat("\"c", n, ".\"")), 1);
  }
}

// The caller places an order while the table is down. It is answered at once,
// not at its deadline, that nothing ran and when to retry; once the table is
// up, the same key runs once.
TEST(ClaimsTest, TableDownIsRefusedAtOnceAndTheKeyStaysUsable) {
  CoreDriver driver({});
  driver.store_fault = [](const auto&) { return StoreFault::kDown; };
  const auto refused = driver.Ask(0, CoreDriver::MakeOnce("k", R"("down")"));
  driver.Run(10 * kMillisecond);
  const auto answer = OnlyAnswer(driver, refused);
  EXPECT_EQ(answer.verdict, Verdict::kNotRun);
  EXPECT_EQ(answer.reason, Refusal::kStoreDown);
  EXPECT_GT(answer.retry_after, 0);
  EXPECT_EQ(driver.RunsOf("down"), 0);
  driver.store_fault = nullptr;
  const auto resent = driver.Ask(0, CoreDriver::MakeOnce("k", R"("down")"));
  driver.Run(kSecond);
  EXPECT_EQ(OnlyAnswer(driver, resent).verdict, Verdict::kAnswered);
  EXPECT_EQ(driver.RunsOf("down"), 1);
}

// Every answer to the claim's writes is lost, and one write is applied long
// after the caller was answered "not run". The outcome "refused" is written to
// the row, so that the late claim neither runs nor blocks the key: the resent
// request runs once.
TEST(ClaimsTest, LateClaimIsMarkedRefused) {
  CoreDriver driver(TwoEntries());
  driver.store_fault = FaultFor(3, StoreFault::kApplyLate);
  const auto refused = driver.Ask(0, CoreDriver::MakeOnce("k", R"("late")"));
  driver.Run(50 * kMillisecond);
  EXPECT_EQ(OnlyAnswer(driver, refused).verdict, Verdict::kNotRun);
  driver.Run(2 * kSecond);
  EXPECT_EQ(RowOf(driver, "k").state, ClaimState::kRefused);
  EXPECT_EQ(driver.entry(0).UnsettledOutcomes(), 0);
  const auto resent = driver.Ask(1, CoreDriver::MakeOnce("k", R"("late")"));
  driver.Run(2 * kSecond);
  EXPECT_EQ(OnlyAnswer(driver, resent).verdict, Verdict::kAnswered);
  EXPECT_EQ(driver.RunsOf("late"), 1);
}

// The table goes down while an order runs. The caller receives its answer; the
// outcome is written when the table is back, so the status call returns the
// answer again.
TEST(ClaimsTest, OutcomeIsWrittenAfterTheOutage) {
  CoreDriver driver(TwoEntries());
  const auto handle = driver.Ask(0, CoreDriver::MakeOnce("k", R"("o")"));
  driver.Run(8 * kMillisecond);
  driver.store_fault = [](const auto&) { return StoreFault::kDown; };
  driver.Run(60 * kSecond);
  EXPECT_EQ(OnlyAnswer(driver, handle).verdict, Verdict::kAnswered);
  EXPECT_EQ(driver.entry(0).UnsettledOutcomes(), 1);
  driver.store_fault = nullptr;
  driver.Run(10 * kSecond);
  EXPECT_EQ(driver.entry(0).UnsettledOutcomes(), 0);
  driver.entry(1).OnStatus(driver.now(), 999, "office", "k");
  driver.Run(kSecond);
  EXPECT_EQ(OnlyAnswer(driver, 999).body, OnlyAnswer(driver, handle).body);
}

// The entry stops while the order runs, and the caller resends to another
// entry. The claim of the stopped entry is never taken over: the resent request
// is answered "may have run" at its deadline, and at once by the stopped
// entry's successor.
TEST(ClaimsTest, ClaimOfADeadEntryIsNeverTakenOver) {
  CoreDriver driver(TwoEntries());
  driver.Ask(0, CoreDriver::MakeOnce("k", R"("dead")"));
  driver.Run(8 * kMillisecond);
  ASSERT_EQ(driver.RunsOf("dead"), 1);
  driver.KillEntry(0);
  const auto second = driver.Ask(1, CoreDriver::MakeOnce("k", R"("dead")"));
  driver.StartEntry(0);
  driver.Run(300 * kMillisecond);
  const auto third = driver.Ask(0, CoreDriver::MakeOnce("k", R"("dead")"));
  driver.Run(10 * kMillisecond);
  EXPECT_EQ(OnlyAnswer(driver, third).verdict, Verdict::kMayHaveRun);
  EXPECT_TRUE(driver.AnswersTo(second).empty());
  driver.Run(6 * kSecond);
  EXPECT_EQ(OnlyAnswer(driver, second).verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(driver.RunsOf("dead"), 1);
}

// A key is reused with another body: at the entry that runs the first request,
// at another entry meanwhile, and after the answer. Each is refused as key
// reuse, and nothing of the second body runs.
TEST(ClaimsTest, KeyReusedWithAnotherBodyIsRefused) {
  CoreDriver driver(TwoEntries());
  driver.Ask(0, CoreDriver::MakeOnce("k", R"("a1")"));
  driver.Run(6 * kMillisecond);
  const auto other = CoreDriver::MakeOnce("k", R"("b1")");
  std::vector<CallerHandle> handles = {driver.Ask(0, other),
                                       driver.Ask(1, other)};
  driver.Run(kSecond);
  handles.push_back(driver.Ask(0, other));
  driver.Run(kSecond);
  for (const auto handle : handles) {
    EXPECT_EQ(OnlyAnswer(driver, handle).reason, Refusal::kKeyReused);
    EXPECT_EQ(OnlyAnswer(driver, handle).verdict, Verdict::kNotRun);
  }
  EXPECT_EQ(driver.RunsOf("b1"), 0);
}

// If the caller disconnects before its claim is held, nothing may run, and the
// row is marked refused. If it disconnects while the order runs, the order is
// finished and its answer stored, because the caller could otherwise not learn
// the outcome.
TEST(ClaimsTest, DisconnectBeforeAndAfterTheClaim) {
  CoreDriver driver({});
  const auto cancelled_early =
      driver.Ask(0, CoreDriver::MakeOnce("k1", R"("early")"));
  driver.HangUp(0, cancelled_early);
  const auto cancelled_late =
      driver.Ask(0, CoreDriver::MakeOnce("k2", R"("during")"));
  driver.Run(9 * kMillisecond);
  driver.HangUp(0, cancelled_late);
  driver.Run(kSecond);
  EXPECT_EQ(driver.RunsOf("early"), 0);
  EXPECT_EQ(RowOf(driver, "k1").state, ClaimState::kRefused);
  EXPECT_EQ(driver.RunsOf("during"), 1);
  EXPECT_EQ(RowOf(driver, "k2").state, ClaimState::kAnswered);
}

// No replica accepts the order. The caller is answered "not run", and the key
// may be used again once there is a replica.
TEST(ClaimsTest, RefusedKeyMayBeUsedAgain) {
  CoreDriver driver(TwoEntries());
  driver.sidecar("orders-1").SetState(NodeState::kLeaving);
  const auto refused = driver.Ask(0, CoreDriver::MakeOnce("k", R"("r")"));
  driver.Run(300 * kMillisecond);
  EXPECT_EQ(OnlyAnswer(driver, refused).verdict, Verdict::kNotRun);
  EXPECT_EQ(RowOf(driver, "k").state, ClaimState::kRefused);
  driver.sidecar("orders-1").SetState(NodeState::kReady);
  driver.Run(300 * kMillisecond);
  const auto resent = driver.Ask(1, CoreDriver::MakeOnce("k", R"("r")"));
  driver.Run(kSecond);
  EXPECT_EQ(OnlyAnswer(driver, resent).verdict, Verdict::kAnswered);
  EXPECT_EQ(driver.RunsOf("\"r\""), 1);
}

// A store that never answers calls on its own; the test answers them.
struct UnansweredStore : StoreOutput {
  void CallStore(StoreTicket ticket, std::vector<StoreOp> ops) override {
    waiting[ticket] = std::move(ops);
  }
  std::map<StoreTicket, std::vector<StoreOp>> waiting;
};

struct HeldClaims : ClaimEvents {
  void OnClaimHeld(TimeUs, RequestId id) override { held.push_back(id); }
  void OnClaimHeldElsewhere(TimeUs, RequestId) override {}
  void OnClaimAnswer(TimeUs, RequestId, CallerAnswer) override {}
  void OnClaimStatus(CallerHandle, CallerAnswer) override {}
  std::vector<RequestId> held;
};

// The table does not answer for an hour, with a thousand answers of 64 KiB to
// be written. Memory stays bounded: the oldest outcomes are dropped and
// counted, and their callers receive "may have run" from the claims in the
// table.
TEST(ClaimsTest, OutcomesOfAnOutageAreBounded) {
  UnansweredStore table;
  HeldClaims events;
  StoreCalls calls(&table);
  Random random(1);
  Metrics metrics;
  Claims claims({"entry-0", 1, 1e6}, &calls, &events, &random, &metrics);
  for (std::uint64_t n = 0; n < 1000; ++n) {
    claims.Acquire(n, {{1, n}, "office", StrCat("k", n), 7});
    while (events.held.size() <= n) {
      ASSERT_FALSE(table.waiting.empty());
      const auto [ticket, ops] = *table.waiting.begin();
      table.waiting.erase(table.waiting.begin());
      StoreAnswer answer{StoreStatus::kOk, {}};
      for (const auto& op : ops) {
        answer.rows.push_back({op.key, op.value, 1});
      }
      calls.OnAnswer(n, ticket, answer);
    }
  }
  CallerAnswer answer;
  answer.verdict = Verdict::kAnswered;
  answer.body = std::string(64 << 10, 'x');
  for (std::uint64_t n = 0; n < 1000; ++n) {
    claims.End(1000, {1, n}, answer);
  }
  EXPECT_EQ(claims.UnsettledOutcomes(), 256);
  EXPECT_EQ(metrics.Value("acaciachute_outcomes_dropped_total"), 744);
}

}  // namespace
}  // namespace acaciachute
