// Tests which gateway sent the retries of the worst window, by lines of several
// gateways' logs.
#include "ctl/retry_windows.h"

#include <gtest/gtest.h>

#include <sstream>

#include "ctl/log_lines.h"

namespace acaciachute {
namespace {

constexpr char kLog[] = R"(
{"at_us":1000000,"node":"a","event":"retry","service":"app","reason":"not_run","count":9,"outcome":"paid","gateways":5}
{"at_us":20000000,"node":"b","event":"retry","service":"app","reason":"lost","count":1,"outcome":"paid","gateways":5}
{"at_us":21000000,"node":"a","event":"retry","service":"app","reason":"not_run","count":4,"outcome":"paid","gateways":5}
{"at_us":22000000,"node":"a","event":"retry","service":"app","reason":"not_run","count":5,"outcome":"paid","gateways":1}
{"at_us":23000000,"node":"a","event":"retry","service":"app","reason":"not_run","count":2,"outcome":"refused","gateways":5}
{"at_us":29000000,"node":"b","event":"retry","service":"maker","reason":"stages_again","count":3,"outcome":"paid","gateways":5}
{"at_us":29000000,"node":"b","event":"request","service":"maker"}
)";

TEST(RetryWindowsTest, NamesTheGatewaysOfTheWorstWindow) {
  std::istringstream log(kLog);
  RetryReader reader(10 * kSecond);
  ForEachLogLine(&log, [&](const auto& line) { reader.AddLine(line); });
  const std::vector<RetryShare> found = reader.WorstWindows();
  ASSERT_EQ(found.size(), 3U);
  EXPECT_EQ(found[0].service, "app");
  EXPECT_EQ(found[0].gateway, "a");
  EXPECT_EQ(found[0].in_window, 10U);
  EXPECT_EQ(found[0].sent, 9U);
  EXPECT_EQ(found[0].gateways, 1U);
  EXPECT_EQ(found[0].window_end, 22 * kSecond);
  EXPECT_EQ(found[1].gateway, "b");
  EXPECT_EQ(found[1].reason, "lost");
  EXPECT_EQ(found[2].service, "maker");
  EXPECT_EQ(found[2].sent, 3U);
}

}  // namespace
}  // namespace acaciachute
