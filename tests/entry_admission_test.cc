// Tests of requests that an entry refuses before anything runs, each with its
// reason and a correct verdict.
#include <gtest/gtest.h>

#include "tests/core_driver.h"

namespace acaciachute {
namespace {

CallerAnswer AnswerOf(CoreDriver& driver, const CallerRequest& request) {
  const auto handle = driver.Ask(0, request);
  driver.Run(kSecond);
  const auto answers = driver.AnswersTo(handle);
  EXPECT_EQ(answers.size(), 1);
  return answers.empty() ? CallerAnswer{} : answers[0].answer;
}

TEST(EntryAdmissionTest, BadRequestsAreRefusedAndNothingRuns) {
  CoreDriver driver({});
  const CallerRequest good = CoreDriver::MakeRequest(R"("x")");
  std::vector<std::pair<CallerRequest, Refusal>> bad(6, {good, Refusal::kNone});
  bad[0].first.event = "no such event";
  bad[0].second = Refusal::kUnknownEvent;
  bad[1].first.account = "stranger";
  bad[1].second = Refusal::kForbidden;
  bad[2].first.deadline = 5001 * kMillisecond;  // Longer than the event allows.
  bad[2].second = Refusal::kMalformed;
  bad[3].first.idempotent = false;  // A non-idempotent request needs a key.
  bad[3].second = Refusal::kMalformed;
  bad[4].first.deadline = 100 * kMillisecond;
  // Time spent in the entry's event loop.
  bad[4].first.waited = 100 * kMillisecond;
  bad[4].second = Refusal::kLate;
  bad[5].first.service_pool = "no such pool";
  bad[5].second = Refusal::kUnknownEvent;
  for (const auto& [request, reason] : bad) {
    const auto answer = AnswerOf(driver, request);
    EXPECT_EQ(Name(answer.reason), Name(reason));
    EXPECT_EQ(answer.verdict, Verdict::kNotRun);
    EXPECT_FALSE(answer.request_id.empty());
  }
  EXPECT_TRUE(driver.runs().empty());
}

// A pool of a plain service names the accounts that may call it directly. Such
// a call has one stage and is claimed; a repeat with the same key gets the
// stored answer.
TEST(EntryAdmissionTest, ServiceCallIsClaimed) {
  CoreDriver driver({});
  std::string json = driver.settings()->FindBranch("platform")->json;
  const std::string kind = R"("kind":"service",)";
  json.insert(json.find(kind) + kind.size(), R"("accounts":["office"],)");
  driver.SetSettings(
      driver.settings()->With(*ParseBranch("platform", 2, json)));
  CallerRequest request = CoreDriver::MakeOnce("k", R"("pay")");
  request.event.clear();
  request.service_pool = "orders";
  request.service_path = "/charge";
  const auto first = AnswerOf(driver, request);
  EXPECT_EQ(first.verdict, Verdict::kAnswered);
  EXPECT_EQ(AnswerOf(driver, request).body, first.body);
  EXPECT_EQ(driver.RunsOf("pay"), 1);
  request.account = "depot";
  EXPECT_EQ(Name(AnswerOf(driver, request).reason), Name(Refusal::kForbidden));
}

}  // namespace
}  // namespace acaciachute
