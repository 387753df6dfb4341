// Process tests of the complete request path on loopback.
#include <gtest/gtest.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "tests/process/harness.h"

namespace acaciachute {
namespace {

std::vector<PoolSpec> FourPools() {
  return {{"encoders", "encode"},
          {"retrievers", "retrieve"},
          {"rerankers", "rerank"},
          {"generators", "generate", 2}};
}

TEST(PathTest, RequestPassesEveryStageOnce) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, FourPools(), 2);
  ASSERT_TRUE(deployment.WaitReady());
  const auto result =
      deployment.Call(deployment.EventRequest(0, R"({"order":"one"})"));
  EXPECT_EQ(result.status, 200);
  const auto body = nlohmann::json::parse(result.body, nullptr, false);
  ASSERT_TRUE(body.is_object()) << result.body;
  EXPECT_EQ(body["stage"], "generate");
  EXPECT_EQ(body["input"]["input"]["input"]["input"]["order"], "one");
  EXPECT_EQ(deployment.RunsOf("one"), 4);
}

TEST(PathTest, StreamEndsWithItsMarker) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, FourPools(), 1);
  ASSERT_TRUE(deployment.WaitReady());
  auto request = deployment.EventRequest(0, R"({"order":"two"})");
  request.headers.emplace_back("Accept", "text/event-stream");
  const auto result = deployment.Call(request);
  EXPECT_EQ(result.status, 200);
  EXPECT_NE(result.body.find("data: part0"), std::string::npos) << result.body;
  EXPECT_NE(result.body.find("event: end"), std::string::npos) << result.body;
}

// The caller sends one idempotency key to two entries, one after the other. The
// first copy claims the key and runs; the second is answered with the stored
// answer. Without the claim the order would run twice.
TEST(PathTest, KeySentTwiceRunsOnce) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, {{"orders", "service"}}, 2);
  ASSERT_TRUE(deployment.WaitReady());
  std::string bodies[2];
  for (int n = 0; n < 2; ++n) {
    auto request = deployment.EventRequest(n, R"({"order":"three"})");
    request.headers.emplace_back("Idempotency-Key", "k3");
    request.headers.emplace_back("Acaciachute-Idempotent", "false");
    const auto result = deployment.Call(request);
    EXPECT_EQ(result.status, 200) << result.body;
    bodies[n] = result.body;
    ASSERT_TRUE(deployment.WaitFor(
        [&] {
          return deployment.Get(deployment.platform->url() + "/rows")
                     .body.find("answered") != std::string::npos;
        },
        5 * kSecond));
  }
  EXPECT_EQ(bodies[0], bodies[1]);
  EXPECT_EQ(deployment.RunsOf("three"), 1);
}

}  // namespace
}  // namespace acaciachute
