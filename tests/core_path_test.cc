// Tests of entry and sidecar cores together, without sockets: the path of a
// request, and failures that take only a few lines.
#include <gtest/gtest.h>

#include "tests/core_driver.h"

namespace acaciachute {
namespace {

DriverOptions TwoStages() {
  DriverOptions options;
  options.pools = {{"encoders", StageKind::kEncode, 2},
                   {"generators", StageKind::kGenerate, 2}};
  return options;
}

TEST(CorePathTest, EveryStageRunsOnceAndTheAnswerIsWhole) {
  CoreDriver driver(TwoStages());
  const auto handle = driver.Ask(0, CoreDriver::MakeRequest(R"("a")"));
  driver.Run(kSecond);
  const auto answers = driver.AnswersTo(handle);
  ASSERT_EQ(answers.size(), 1);
  EXPECT_EQ(answers[0].answer.verdict, Verdict::kAnswered);
  EXPECT_EQ(driver.RunsOf("\"a\""), 2);
}

// The store loses the answer to a claim after the write took effect. The entry
// writes the claim again under its nonce, finds its own row and runs the
// request. Without the nonce it would take its own claim for another's and
// answer "may have run" though nothing ran.
TEST(CorePathTest, LostAnswerToClaimIsSettledByNonce) {
  CoreDriver driver({});
  int lost = 0;
  driver.store_fault = [&](const std::vector<StoreOp>&) {
    return lost++ == 0 ? StoreFault::kLoseAfter : StoreFault::kNone;
  };
  const auto handle = driver.Ask(0, CoreDriver::MakeOnce("k", R"("b")"));
  driver.Run(kSecond);
  ASSERT_EQ(driver.AnswersTo(handle).size(), 1);
  EXPECT_EQ(driver.AnswersTo(handle)[0].answer.verdict, Verdict::kAnswered);
  EXPECT_EQ(driver.RunsOf("\"b\""), 1);
}

// The caller resends an order to an entry that leaves and refuses it before
// reading its row. The first copy may have run elsewhere, so the refusal says
// that it is about this copy only and that a retry is safe only under the same
// key.
TEST(CorePathTest, RefusalOfACopyIsAboutThatCopyOnly) {
  CoreDriver driver({});
  driver.entry(0).Leave();
  const auto order = driver.Ask(0, CoreDriver::MakeOnce("k", R"("e")"));
  const auto idempotent = driver.Ask(0, CoreDriver::MakeRequest(R"("f")"));
  driver.Run(kSecond);
  ASSERT_EQ(driver.AnswersTo(order).size(), 1U);
  EXPECT_EQ(driver.AnswersTo(order)[0].answer.detail, kThisCopyNotRun);
  EXPECT_EQ(driver.AnswersTo(idempotent)[0].answer.detail, "");
}

// The network delivers every stage call twice. The upstream runs it once and
// the caller receives one answer; without the duplicate check the order would
// be placed twice.
TEST(CorePathTest, DuplicatedStageCallRunsOnce) {
  CoreDriver driver({});
  driver.network = [](const NodeId&, const NodeId&, const Message& message) {
    return std::holds_alternative<StageCall>(message)
               ? Fate{{1500, 40 * kMillisecond}}
               : Fate{{1500}};
  };
  const auto handle = driver.Ask(0, CoreDriver::MakeOnce("k", R"("c")"));
  driver.Run(kSecond);
  EXPECT_EQ(driver.AnswersTo(handle).size(), 1);
  EXPECT_EQ(driver.RunsOf("\"c\""), 1);
}

// The sidecar is killed with an order in progress. The caller is answered at
// once that it may have run; sent to another replica it would run twice.
TEST(CorePathTest, KilledSidecarMayHaveRun) {
  DriverOptions options;
  options.pools = {{"orders", StageKind::kService, 2}};
  CoreDriver driver(options);
  const auto handle = driver.Ask(0, CoreDriver::MakeOnce("k", R"("d")"));
  driver.Run(8 * kMillisecond);
  ASSERT_EQ(driver.RunsOf("\"d\""), 1);
  driver.KillSidecar(driver.runs()[0].node);
  driver.Run(kSecond);
  ASSERT_EQ(driver.AnswersTo(handle).size(), 1);
  EXPECT_EQ(driver.AnswersTo(handle)[0].answer.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(driver.RunsOf("\"d\""), 1);
}

}  // namespace
}  // namespace acaciachute
