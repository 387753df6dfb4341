// Process tests of callers that close their connection or send invalid
// requests, over real sockets.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "tests/process/harness.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr DurationUs kWaitTimeout = 20 * kSecond;

// The caller closes its connection while its request runs at a slow upstream.
// The entry detects this although it has nothing to send to the caller, cancels
// the stage call at the sidecar and ends the request as cancelled, not as late
// at its deadline.
TEST(CallerTest, HangUpCancelsTheRequest) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, {{"orders", "service", 1, 60000}},
                        1);
  ASSERT_TRUE(deployment.WaitReady());
  HttpClient client(0);
  const auto call =
      client.Call(deployment.EventRequest(0, R"({"order":"gone"})"),
                  [](const HttpResult&) {});
  ASSERT_TRUE(deployment.WaitFor([&] { return deployment.RunsOf("gone") == 1; },
                                 kWaitTimeout));
  client.Cancel(call);
  const std::string traces = deployment.entries[0]->url() + "/traces";
  EXPECT_TRUE(deployment.WaitFor(
      [&] { return Contains(deployment.Get(traces).body, "cancelled"); },
      kWaitTimeout));
  EXPECT_FALSE(Contains(deployment.Get(traces).body, "\"late\""));
}

// Each invalid request is answered with a problem document and its HTTP status,
// and the entry then serves a valid request.
TEST(CallerTest, BadRequestsGetTheirStatusAndTheEntryServesOn) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, {{"orders", "service"}}, 1);
  ASSERT_TRUE(deployment.WaitReady());
  const HttpRequest good = deployment.EventRequest(0, R"({"order":"good"})");
  std::vector<std::pair<HttpRequest, int>> bad(6, {good, 0});
  bad[0].first.body = "{";
  bad[0].second = 400;
  bad[1].first.headers = {{"Authorization", "Bearer office.wrong"}};
  bad[1].second = 401;
  bad[2].first.url = deployment.entries[0]->url() + "/v1/events/none/requests";
  bad[2].second = 404;
  bad[3].first.headers.emplace_back("Acaciachute-Deadline-Ms", "600000");
  bad[3].second = 400;
  bad[4].first.body = "\"" + std::string(2 << 20, 'x') + "\"";
  bad[4].second = 413;
  bad[5].first.headers.emplace_back("Acaciachute-Deadline-Ms", "0");
  bad[5].second = 504;
  for (const auto& [request, status] : bad) {
    const auto result = deployment.Call(request);
    EXPECT_EQ(result.status, status) << result.body << result.error;
    const auto problem = nlohmann::json::parse(result.body, nullptr, false);
    ASSERT_TRUE(problem.is_object()) << result.body;
    EXPECT_EQ(problem["verdict"], "not_run");
  }
  EXPECT_EQ(deployment.Call(good).status, 200);
  EXPECT_EQ(deployment.RunsOf("order"), 1);
}

}  // namespace
}  // namespace acaciachute
