// Tests the summary of requests, causes and stages from gateways' log lines.
#include "ctl/load_summary.h"

#include <gtest/gtest.h>

#include <sstream>

#include "ctl/log_lines.h"

namespace acaciachute {
namespace {

constexpr char kLog[] = R"(
not a line of ours
{"event":"request","route":"r","admitted":"in_time","outcome":"answered","first_ms":90,"total_ms":400,"target_ms":100,"expected_wait_ms":10}
 1.0 a {"event":"request","route":"r","admitted":"in_time","outcome":"answered","first_ms":95,"total_ms":600,"target_ms":100,"expected_wait_ms":30}
{"event":"request","route":"r","admitted":"late","outcome":"answered","first_ms":101,"total_ms":300,"target_ms":100,"expected_wait_ms":700}
{"event":"request","route":"p","admitted":"in_time","outcome":"answered","first_ms":-1,"total_ms":80,"target_ms":100,"expected_wait_ms":0}
{"event":"request","route":"r","admitted":"late","outcome":"full","first_ms":-1,"total_ms":"x","target_ms":100}
{"event":"gave_up","reason":"full","detail":"stage 2: late, 410 ms"}
{"event":"gave_up","reason":"full","detail":"stage 2: late, 33 ms"}
{"event":"stages_again","why":"stage 2 found a result gone"}
{"event":"piece_call","service":"s","pieces":10,"left_waiting":7,"slowness":1.5}
{"event":"piece_call","service":"s","pieces":20,"left_waiting":3,"slowness":1.0}
{"event":"peer","peer":"b","state":"live"}
{"event":"request","rou)";

LoadSummary Read() {
  std::istringstream log(kLog);
  LoadReader reader;
  ForEachLogLine(&log, [&](const auto& line) { reader.AddLine(line); });
  return reader.Summary();
}

TEST(LoadSummaryTest, CountsByRouteAdmissionAndOutcome) {
  const LoadSummary summary = Read();
  ASSERT_EQ(summary.rows.size(), 4U);
  EXPECT_EQ(summary.rows[0].route, "p");
  EXPECT_EQ(summary.rows[0].outcome, "in_time");
  EXPECT_EQ(summary.rows[1].outcome, "in_time");
  EXPECT_EQ(summary.rows[1].requests, 2U);
  EXPECT_EQ(summary.rows[1].median_ms, 400);
  EXPECT_EQ(summary.rows[2].admitted, "late");
  EXPECT_EQ(summary.rows[2].outcome, "full");
  EXPECT_EQ(summary.rows[3].outcome, "late");
  EXPECT_EQ(summary.rows[3].expected_wait_ms, 700);
}

TEST(LoadSummaryTest, PutsTheMostFrequentCauseFirst) {
  const LoadSummary summary = Read();
  ASSERT_EQ(summary.causes.size(), 2U);
  EXPECT_EQ(summary.causes[0].detail, "stage 2: late, N ms");
  EXPECT_EQ(summary.causes[0].times, 2U);
  EXPECT_EQ(summary.causes[1].event, "stages_again");
}

TEST(LoadSummaryTest, SumsTheCallsOfStages) {
  const LoadSummary summary = Read();
  ASSERT_EQ(summary.stages.size(), 1U);
  EXPECT_EQ(summary.stages[0].calls, 2U);
  EXPECT_EQ(summary.stages[0].pieces, 30U);
  EXPECT_EQ(summary.stages[0].most_waiting, 7U);
  EXPECT_DOUBLE_EQ(summary.stages[0].slowness, 1.25);
}

}  // namespace
}  // namespace acaciachute
