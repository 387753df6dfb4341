// What is known of a table when answers are lost, stale or late.
#include "coordination/tables/table_watch.h"

#include <gtest/gtest.h>

#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

struct WatchRig : TableReader, TableListener {
  std::vector<DurationUs> waits;  // Of requests for changes.
  void ReadRows(TimeUs, const std::string&, const std::string& from) override {
    asked.push_back("rows " + from);
  }
  void ReadChanges(TimeUs,
                   const std::string&,
                   std::uint64_t after,
                   DurationUs wait) override {
    waits.push_back(wait);
    asked.push_back("changes " + std::to_string(after));
  }
  void OnTable(const std::string&, const std::vector<TableRow>& rows) override {
    table.clear();
    for (const auto& it : rows) {
      table.push_back(it.key);
    }
  }
  void OnRow(const std::string&, const TableRow& row) override {
    changes.push_back(row.key);
  }
  void OnTableCurrent(const std::string&, TimeUs asked_at) override {
    current = asked_at;
  }
  void OnTableLost(const std::string&) override { ++lost; }

  void Answer(std::uint64_t version,
              std::vector<TableRow> rows = {},
              bool truncated = false) {
    TableAnswer answer;
    answer.kind = TableAnswer::Kind::kRows;
    answer.rows = std::move(rows);
    answer.version = version;
    answer.truncated = truncated;
    watch.OnAnswer(now, answer);
  }
  void Pass(DurationUs time) {
    now += time;
    watch.OnTick(now);
  }

  TimeUs now = 1000 * kSecond;
  Random random{3};
  QuietLog log;
  const FreshnessPlan plan = PlanFreshness(3 * kSecond, 4 * kSecond);
  TableWatch watch{"t", &plan, this, this, &random, &log};
  std::vector<std::string> asked;
  std::vector<std::string> table;
  std::vector<std::string> changes;
  TimeUs current = -1;
  int lost = 0;
};

TEST(TableWatchTest, ReadsTheWholeTableThenItsChanges) {
  WatchRig rig;
  rig.Pass(0);
  rig.Answer(5, {{"a", "", 4, false}}, true);
  rig.Answer(6, {{"b", "", 6, false}});
  EXPECT_EQ(rig.table, (std::vector<std::string>{"a", "b"}));
  rig.Pass(rig.plan.settle);
  rig.Answer(9, {{"c", "", 9, false}});
  rig.Pass(rig.plan.settle);
  EXPECT_EQ(rig.changes, std::vector<std::string>{"c"});
  // The first page's version, so that no change between the pages is missed.
  EXPECT_EQ(rig.asked,
            (std::vector<std::string>{"rows ", std::string("rows a") + '\0',
                                      "changes 5", "changes 9"}));
}

// Load: a hundred replicas start within two seconds. The table is asked a few
// times, not once a replica.
TEST(TableWatchTest, AsksOnceForChangesThatComeTogether) {
  WatchRig rig;
  rig.Pass(0);
  rig.Answer(1);
  std::size_t answered = 1;
  for (std::uint64_t n = 2; n < 102; ++n) {
    if (rig.asked.size() > answered) {
      ++answered;
      rig.Answer(n, {{"r", "", n, false}});
    }
    rig.Pass(20 * kMillisecond);
  }
  EXPECT_GT(answered, 5U);
  EXPECT_LT(rig.asked.size(), 20U);
}

// Being current counts from when the request was sent: its answer may have
// waited anywhere, and a key may have been taken away meanwhile.
TEST(TableWatchTest, IsCurrentAsOfItsRequest) {
  WatchRig rig;
  rig.Pass(0);
  const TimeUs asked_at = rig.now;
  rig.now += 3 * kSecond;
  rig.Answer(5);
  EXPECT_EQ(rig.current, asked_at);
}

// A stale answer after a gap is no step back: it is read again.
TEST(TableWatchTest, PassesOverAnOlderState) {
  WatchRig rig;
  rig.Pass(0);
  rig.Answer(8, {{"a", "", 8, false}});
  TableAnswer gone;
  gone.kind = TableAnswer::Kind::kHistoryGone;
  rig.watch.OnAnswer(rig.now, gone);
  EXPECT_EQ(rig.asked.back(), "rows ");
  rig.Answer(5, {{"old", "", 5, false}});
  EXPECT_EQ(rig.table, std::vector<std::string>{"a"});
  // The store answered: nothing is lost.
  EXPECT_EQ(rig.lost, 0);
  EXPECT_TRUE(rig.log.Saw("table_older"));
  rig.Pass(kSecond);
  rig.Answer(9, {{"b", "", 9, false}});
  EXPECT_EQ(rig.table, std::vector<std::string>{"b"});
}

// The store is away: it is asked again soon, at most twice a second, and its
// return is noticed.
TEST(TableWatchTest, TriesAgainWhileTheStoreIsAway) {
  WatchRig rig;
  rig.Pass(0);
  TableAnswer failed;
  failed.why = "down";
  for (int n = 0; n < 20; ++n) {
    const std::size_t before = rig.asked.size();
    rig.watch.OnAnswer(rig.now, failed);
    rig.Pass(rig.plan.most_pause);
    EXPECT_EQ(rig.asked.size(), before + 1);
  }
  EXPECT_EQ(rig.lost, 20);
  rig.Answer(1);
  EXPECT_FALSE(rig.watch.lost());
  EXPECT_TRUE(rig.log.Saw("table_back"));
}

// What callers see: 503 for two seconds after each outage of the store. What is
// known is old by then, and a request that waits for news as usual is answered
// only when its wait is over. The first one after a failure does not wait.
TEST(TableWatchTest, DoesNotWaitForNewsAfterAFailure) {
  WatchRig rig;
  rig.Pass(0);
  rig.Answer(5);
  TableAnswer failed;
  failed.kind = TableAnswer::Kind::kFailed;
  rig.watch.OnAnswer(rig.now, failed);
  rig.Pass(rig.plan.most_pause);
  ASSERT_EQ(rig.waits.size(), 2U);
  EXPECT_GT(rig.waits[0], 0);
  EXPECT_EQ(rig.waits[1], 0);
  rig.Answer(5);
  rig.Pass(rig.plan.settle);
  ASSERT_EQ(rig.waits.size(), 3U);
  EXPECT_EQ(rig.waits[2], rig.waits[0]);
}

}  // namespace
}  // namespace acaciachute
