// Tests of operators' changes of settings branches that race, are retried or
// are refused.
#include "coordination/settings/settings_write.h"

#include <gtest/gtest.h>

#include "tests/fake_table.h"
#include "text.h"

namespace acaciachute {
namespace {

std::string Body(const std::string& owner, int share = 1) {
  return StrCat(R"({"owner":")", owner, R"(","accounts":{"a":{"share":)", share,
                "}}}");
}

SettingsChange Change(const std::string& branch,
                      const std::string& team,
                      const std::string& json) {
  SettingsChange change;
  change.branch = branch;
  change.team = team;
  change.json = json;
  return change;
}

SettingsWriteResult RunToResult(FakeTable* table, SettingsWrite* write) {
  while (!write->result()) {
    write->OnAnswer(table->Transact(write->Next()));
  }
  return *write->result();
}

SettingsWriteResult RunToResult(FakeTable* table,
                                const SettingsChange& change,
                                std::uint64_t nonce) {
  SettingsWrite write(change, nonce);
  return RunToResult(table, &write);
}

TEST(SettingsWriteTest, EachChangeIsOneVersionWithItsHistory) {
  FakeTable table;
  EXPECT_EQ(
      RunToResult(&table, Change("depot", "depot", Body("depot")), 1).version,
      1U);
  EXPECT_EQ(RunToResult(&table, Change("depot", "depot", Body("depot", 2)), 2)
                .version,
            2U);
  const auto rows =
      table.Transact({{StoreOpKind::kScan, "history/depot/", "", 0}}).rows;
  const auto history = ReadHistory("depot", rows);
  ASSERT_EQ(history.size(), 2U);
  EXPECT_EQ(history[0].json, Body("depot"));
  EXPECT_EQ(history[1].version, 2U);
}

// Two operators read version 1 and both write. The table accepts the first; the
// second receives version 2 in the result, and its body is not stored.
TEST(SettingsWriteTest, RaceHasOneWinnerAndInformsTheLoser) {
  FakeTable table;
  RunToResult(&table, Change("depot", "depot", Body("depot")), 1);
  SettingsWrite first(Change("depot", "depot", Body("depot", 2)), 2);
  SettingsWrite second(Change("depot", "depot", Body("depot", 3)), 3);
  first.OnAnswer(table.Transact(first.Next()));
  second.OnAnswer(table.Transact(second.Next()));
  EXPECT_EQ(RunToResult(&table, &first).outcome, WriteOutcome::kAccepted);
  const auto loser = RunToResult(&table, &second);
  EXPECT_EQ(loser.outcome, WriteOutcome::kLostRace);
  EXPECT_EQ(loser.version, 2U);
  EXPECT_EQ(table.Row("settings/depot").value, Body("depot", 2));
}

// The change takes effect, its answer is lost, and another operator's change
// follows before the retry. The retry finds its own nonce in the history: the
// operator receives "accepted", and nothing is written twice.
TEST(SettingsWriteTest, LostAnswerIsSettledByTheHistory) {
  FakeTable table;
  SettingsWrite write(Change("depot", "depot", Body("depot")), 1);
  write.OnAnswer(table.Transact(write.Next()));
  table.lose_answers = 1;
  write.OnAnswer(table.Transact(write.Next()));
  ASSERT_FALSE(write.result());
  RunToResult(&table, Change("depot", "depot", Body("depot", 2)), 2);
  const auto result = RunToResult(&table, &write);
  EXPECT_EQ(result.outcome, WriteOutcome::kAccepted);
  EXPECT_EQ(result.version, 1U);
  EXPECT_EQ(table.Row("settings/depot").version, 2U);
}

// The answer is lost and then the platform goes down: whether the change was
// written cannot be determined, and the result says so.
TEST(SettingsWriteTest, UnknownIsNeverCalledUnavailable) {
  FakeTable table;
  SettingsWrite write(Change("depot", "depot", Body("depot")), 1);
  write.OnAnswer(table.Transact(write.Next()));
  table.lose_answers = 1;
  write.OnAnswer(table.Transact(write.Next()));
  table.down = true;
  EXPECT_EQ(RunToResult(&table, &write).outcome, WriteOutcome::kUnknown);
  EXPECT_EQ(RunToResult(&table, Change("other", "a", Body("a")), 2).outcome,
            WriteOutcome::kUnavailable);
}

TEST(SettingsWriteTest, TeamChangesOnlyItsOwnSubtree) {
  FakeTable table;
  RunToResult(&table, Change("brookvale", "office", Body("office")), 1);
  // The owner of the branch above delegates this one; from then on it belongs
  // to the depot.
  EXPECT_EQ(
      RunToResult(&table, Change("brookvale/depot", "office", Body("depot")), 2)
          .outcome,
      WriteOutcome::kAccepted);
  EXPECT_EQ(RunToResult(&table,
                        Change("brookvale/depot", "office", Body("office")), 3)
                .outcome,
            WriteOutcome::kNotOwner);
  EXPECT_EQ(RunToResult(&table, Change("brookvale", "depot", Body("depot")), 4)
                .outcome,
            WriteOutcome::kNotOwner);
  EXPECT_EQ(
      RunToResult(&table,
                  Change("brookvale/depot/vans", "depot", Body("depot")), 5)
          .outcome,
      WriteOutcome::kAccepted);
  EXPECT_EQ(
      RunToResult(&table, Change("correo", "depot", Body("office")), 6).outcome,
      WriteOutcome::kNotOwner);
  EXPECT_EQ(RunToResult(&table, Change("correo", "depot", "{"), 7).outcome,
            WriteOutcome::kInvalid);
}

TEST(SettingsWriteTest, EditOfAnOldVersionReturnsTheNewOne) {
  FakeTable table;
  RunToResult(&table, Change("depot", "depot", Body("depot")), 1);
  RunToResult(&table, Change("depot", "depot", Body("depot", 2)), 2);
  auto stale = Change("depot", "depot", Body("depot", 3));
  stale.base = 1;
  const auto result = RunToResult(&table, stale, 3);
  EXPECT_EQ(result.outcome, WriteOutcome::kLostRace);
  EXPECT_EQ(result.version, 2U);
}

// Teams write different branches at once. Both change the epoch row, so one
// transaction fails; that is not a lost race, and is retried without a report
// to the operator.
TEST(SettingsWriteTest, OtherBranchesDoNotLoseRaces) {
  FakeTable table;
  RunToResult(&table, Change("depot", "depot", Body("depot")), 1);
  SettingsWrite first(Change("depot", "depot", Body("depot", 2)), 2);
  SettingsWrite second(Change("office", "office", Body("office")), 3);
  SettingsWrite third(Change("depot", "depot", Body("depot", 3)), 4);
  for (auto* write : {&first, &second, &third}) {
    write->OnAnswer(table.Transact(write->Next()));
  }
  EXPECT_EQ(RunToResult(&table, &first).outcome, WriteOutcome::kAccepted);
  EXPECT_EQ(RunToResult(&table, &second).outcome, WriteOutcome::kAccepted);
  EXPECT_EQ(RunToResult(&table, &third).outcome, WriteOutcome::kLostRace);
  EXPECT_EQ(table.Row("settings_epoch").version, 3U);
}

TEST(SettingsWriteTest, RollbackIsANewVersion) {
  FakeTable table;
  RunToResult(&table, Change("depot", "depot", Body("depot")), 1);
  RunToResult(&table, Change("depot", "depot", Body("depot", 2)), 2);
  auto rollback = Change("depot", "depot", "");
  rollback.roll_back_to = 1;
  EXPECT_EQ(RunToResult(&table, rollback, 3).version, 3U);
  EXPECT_EQ(table.Row("settings/depot").value, Body("depot"));
  rollback.roll_back_to = 9;
  EXPECT_EQ(RunToResult(&table, rollback, 4).outcome, WriteOutcome::kInvalid);
}

}  // namespace
}  // namespace acaciachute
