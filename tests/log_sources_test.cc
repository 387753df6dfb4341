// Tests which source each gateway gets a table from, by lines of several
// gateways' logs.
#include "ctl/log_sources.h"

#include <gtest/gtest.h>

#include <sstream>

namespace acaciachute {
namespace {

constexpr char kLog[] = R"(
not a line of ours
{"at_us":1,"node":"a","event":"table_source","table":"op","source":"store","before":"","why":"","age_ms":-1}
{"at_us":2,"node":"b","event":"table_source","table":"op","source":"store","before":"","why":"","age_ms":-1}
 1.0 b {"at_us":9,"node":"b","event":"table_source","table":"op","source":"a","before":"store","why":"","age_ms":40}
{"at_us":3,"node":"c","event":"table_source","table":"op","source":"a","before":"","why":"","age_ms":-1}
{"at_us":4,"node":"d","event":"table_source","table":"op","source":"a","before":"","why":"","age_ms":-1}
{"at_us":5,"node":"d","event":"stop"}
{"at_us":6,"node":"c","event":"table_source","table":"op","source":"b","before":"a","why":"no answer in time","age_ms":900}
{"at_us":7,"node":"c","event":"table_)";

TEST(LogSourcesTest, ReportsTheLastSourceOfEachRunningGateway) {
  std::istringstream log(kLog);
  const std::vector<GatewaySource> found = SourcesFromLog(&log);
  ASSERT_EQ(found.size(), 3U);
  EXPECT_EQ(found[0].gateway, "a");
  EXPECT_EQ(found[0].source, "store");
  EXPECT_EQ(found[0].followers, 1U);
  EXPECT_EQ(found[1].gateway, "b");
  EXPECT_EQ(found[1].source, "a");
  EXPECT_EQ(found[1].followers, 1U);
  EXPECT_EQ(found[1].changes, 2U);
  EXPECT_EQ(found[2].source, "b");
  EXPECT_EQ(found[2].why, "no answer in time");
}

// Guards against a command that ends on a line of another writer, whose time
// stamp is no number.
TEST(LogSourcesTest, TakesATimeStampThatIsNoNumberForNone) {
  std::istringstream log(
      R"({"at_us":"noon","node":"a","event":"table_source","table":"op",)"
      R"("source":"store"})");
  const std::vector<GatewaySource> found = SourcesFromLog(&log);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].since, 0);
}

}  // namespace
}  // namespace acaciachute
