// Tests the copy of a table when answers are lost, stale or late.
#include "coordination/tables/table_watch.h"

#include <gtest/gtest.h>

#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

struct WatchRig : TableReader, TableListener {
  std::vector<DurationUs> waits;  // Of requests for changes.
  void ReadRows(TimeUs, const std::string&, const std::string& from) override {
    requests.push_back("rows " + from);
  }
  void ReadChanges(TimeUs,
                   const std::string&,
                   std::uint64_t after,
                   DurationUs wait) override {
    waits.push_back(wait);
    requests.push_back("changes " + std::to_string(after));
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
  void OnTableCurrent(const std::string&, TimeUs sent_at) override {
    current_at = sent_at;
  }
  void OnTableLost(const std::string&) override { ++lost_count; }

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
  void Advance(DurationUs time) {
    now += time;
    watch.OnTick(now);
  }

  TimeUs now = 1000 * kSecond;
  Random random{3};
  QuietLog log;
  const FreshnessPlan plan = PlanFreshness(3 * kSecond, 4 * kSecond);
  TableWatch watch{"t", &plan, this, this, &random, &log};
  std::vector<std::string> requests;
  std::vector<std::string> table;
  std::vector<std::string> changes;
  TimeUs current_at = -1;
  int lost_count = 0;
};

TEST(TableWatchTest, ReadsTheWholeTableThenItsChanges) {
  WatchRig rig;
  rig.Advance(0);
  rig.Answer(5, {{"a", "", 4, false}}, true);
  rig.Answer(6, {{"b", "", 6, false}});
  EXPECT_EQ(rig.table, (std::vector<std::string>{"a", "b"}));
  rig.Advance(rig.plan.settle_delay);
  rig.Answer(9, {{"c", "", 9, false}});
  rig.Advance(rig.plan.settle_delay);
  EXPECT_EQ(rig.changes, std::vector<std::string>{"c"});
  // The first page's version is used, so that no change between the pages is
  // missed.
  EXPECT_EQ(rig.requests,
            (std::vector<std::string>{"rows ", std::string("rows a") + '\0',
                                      "changes 5", "changes 9"}));
}

// A hundred replicas start within two seconds. The table is requested a few
// times, not once per replica.
TEST(TableWatchTest, AsksOnceForChangesThatComeTogether) {
  WatchRig rig;
  rig.Advance(0);
  rig.Answer(1);
  std::size_t answered = 1;
  for (std::uint64_t n = 2; n < 102; ++n) {
    if (rig.requests.size() > answered) {
      ++answered;
      rig.Answer(n, {{"r", "", n, false}});
    }
    rig.Advance(20 * kMillisecond);
  }
  EXPECT_GT(answered, 5U);
  EXPECT_LT(rig.requests.size(), 20U);
}

// The copy is current as of when the request was sent: its answer may have been
// delayed anywhere, and a key may have been revoked meanwhile.
TEST(TableWatchTest, IsCurrentAsOfItsRequest) {
  WatchRig rig;
  rig.Advance(0);
  const TimeUs sent_at = rig.now;
  rig.now += 3 * kSecond;
  rig.Answer(5);
  EXPECT_EQ(rig.current_at, sent_at);
}

// A stale answer after a gap in the history does not revert the copy: the table
// is read again.
TEST(TableWatchTest, IgnoresAnOlderState) {
  WatchRig rig;
  rig.Advance(0);
  rig.Answer(8, {{"a", "", 8, false}});
  TableAnswer history_gone;
  history_gone.kind = TableAnswer::Kind::kHistoryGone;
  rig.watch.OnAnswer(rig.now, history_gone);
  EXPECT_EQ(rig.requests.back(), "rows ");
  rig.Answer(5, {{"old", "", 5, false}});
  EXPECT_EQ(rig.table, std::vector<std::string>{"a"});
  // The store answered, so it does not count as lost.
  EXPECT_EQ(rig.lost_count, 0);
  EXPECT_TRUE(rig.log.Saw("table_older"));
  rig.Advance(kSecond);
  rig.Answer(9, {{"b", "", 9, false}});
  EXPECT_EQ(rig.table, std::vector<std::string>{"b"});
}

// While the store does not answer, it is asked again soon, at most twice a
// second, and its return is noticed.
TEST(TableWatchTest, RetriesWhileTheStoreDoesNotAnswer) {
  WatchRig rig;
  rig.Advance(0);
  TableAnswer failed;
  failed.why = "down";
  for (int n = 0; n < 20; ++n) {
    const std::size_t before = rig.requests.size();
    rig.watch.OnAnswer(rig.now, failed);
    rig.Advance(rig.plan.max_retry_delay);
    EXPECT_EQ(rig.requests.size(), before + 1);
  }
  EXPECT_EQ(rig.lost_count, 20);
  rig.Answer(1);
  EXPECT_FALSE(rig.watch.lost());
  EXPECT_TRUE(rig.log.Saw("table_back"));
}

// Guards against responses with status 503 for two seconds after each outage of
// the store. The copy is old by then, and a request that the store holds for
// changes is answered only when its hold time is over. So the first request
// after a failure is not held.
TEST(TableWatchTest, DoesNotWaitForNewsAfterAFailure) {
  WatchRig rig;
  rig.Advance(0);
  rig.Answer(5);
  TableAnswer failed;
  failed.kind = TableAnswer::Kind::kFailed;
  rig.watch.OnAnswer(rig.now, failed);
  rig.Advance(rig.plan.max_retry_delay);
  ASSERT_EQ(rig.waits.size(), 2U);
  EXPECT_GT(rig.waits[0], 0);
  EXPECT_EQ(rig.waits[1], 0);
  rig.Answer(5);
  rig.Advance(rig.plan.settle_delay);
  ASSERT_EQ(rig.waits.size(), 3U);
  EXPECT_EQ(rig.waits[2], rig.waits[0]);
}

}  // namespace
}  // namespace acaciachute
