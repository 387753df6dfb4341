// Tests the explanation of a request's outcome from gateways' log lines.
#include "ctl/log_explain.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

namespace acaciachute {
namespace {

using ::testing::HasSubstr;

// Lines recorded on the platform, reduced to those that the tests need.
constexpr char kLog[] = R"(
not a line of ours
  19.9 front-a {"at_us":1000000,"node":"front-a","event":"table_lost","table":"op","why":"timeout: no answer in time","version":117,"age_ms":2534}
{"at_us":1500000,"node":"front-b","event":"table_lost","table":"op","why":"other gateway"}
{"at_us":5600000,"node":"front-a","event":"refused","id":"aa","reason":"not_current","verdict":"not_run","detail":"keys cannot be checked against the newest configuration","config":7,"config_age_ms":4600}
{"at_us":5700000,"node":"front-a","event":"lost","id":"bb","replica":"i-1","why":"broken: Connection reset by peer","begun":true}
{"at_us":5710000,"node":"front-a","event":"request","id":"bb","route":"r","outcome":"upstream_failed","status":502,"replica":"i-1","runs":1,"tried":1,"stages_ms":"0:400","first_ms":520,"total_ms":900,"target_ms":1100,"config":7}
{"at_us":9000000,"node":"front-a","event":"replica","replica":"i-2","service":"llm","change":"kept_in_outage","list_ms":2628}
{"at_us":9700000,"node":"front-a","event":"request","id":"dd","route":"r","outcome":"answered","status":200,"replica":"i-2","runs":1,"tried":1,"list_ms":226,"connect_ms":35,"stages_ms":"","first_ms":520,"total_ms":900,"target_ms":1100,"config":7}
{"at_us":9800000,"node":"front-a","event":"request","id":"ee","route":"r","outcome":"answered","status":200,"replica":"i-2","runs":1,"tried":1,"expected_end":"closed","answer_end":"closed","answer_bytes":812,"events":7,"rest_bytes":31,"client_end":"last_chunk","stages_ms":"","first_ms":520,"total_ms":900,"target_ms":1100,"config":7}
)";

TEST(LogExplainTest, LeadsFromARefusalToTheLostStore) {
  std::istringstream log(kLog);
  const LogExplanation found = ExplainFromLog(&log, "aa");
  ASSERT_EQ(found.request.size(), 1U);
  EXPECT_THAT(found.request[0].text, HasSubstr("confirmed 4600 ms before"));
  ASSERT_EQ(found.around.size(), 1U);
  EXPECT_EQ(found.around[0].node, "front-a");
  EXPECT_THAT(found.around[0].text, HasSubstr("timeout"));
}

TEST(LogExplainTest, LeadsFromABrokenStreamToItsReplica) {
  std::istringstream log(kLog);
  const LogExplanation found = ExplainFromLog(&log, "bb");
  ASSERT_EQ(found.request.size(), 2U);
  EXPECT_THAT(found.request[0].text, HasSubstr("lost at replica i-1"));
  EXPECT_THAT(found.request[1].text, HasSubstr("stages complete at [0:400]"));
}

// A request reached a replica that had left. The lines distinguish the possible
// causes: an old list of replicas, an entry that was kept during an outage, and
// a long time between the choice of the replica and the connection to it.
TEST(LogExplainTest, ReportsTheAgeOfTheListAndTheTimeToConnect) {
  std::istringstream log(kLog);
  const LogExplanation found = ExplainFromLog(&log, "dd");
  ASSERT_EQ(found.request.size(), 1U);
  EXPECT_THAT(found.request[0].text,
              HasSubstr("a list 226 ms old, connected after 35 ms"));
  ASSERT_FALSE(found.around.empty());
  EXPECT_THAT(found.around.back().text,
              HasSubstr("kept_in_outage, the previous list was 2628 ms old"));
}

// Guards against lines that show an answer that was broken off and stated as
// complete like one that was complete.
TEST(LogExplainTest, ReportsHowTheReplicasAnswerAndTheClientsEnded) {
  std::istringstream log(kLog);
  const LogExplanation found = ExplainFromLog(&log, "ee");
  ASSERT_EQ(found.request.size(), 1U);
  EXPECT_THAT(found.request[0].text,
              HasSubstr("ended with closed after 812 bytes, 7 events and 31 "
                        "bytes of an unfinished one"));
  EXPECT_THAT(found.request[0].text,
              HasSubstr("the client's ended with last_chunk"));
}

TEST(LogExplainTest, ReportsThatNoLineConcernsTheRequest) {
  std::istringstream log(kLog);
  EXPECT_FALSE(ExplainFromLog(&log, "cc").found());
}

}  // namespace
}  // namespace acaciachute
