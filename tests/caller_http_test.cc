// Tests the callers' HTTP interface without sockets: each kind of invalid input
// gets a specific refusal with the verdict "not run", and complete streams can
// be distinguished from truncated ones.
#include "protocol/caller_http.h"

#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>

#include "protocol/bearer.h"
#include "protocol/event_stream.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;
using Headers = std::map<std::string, std::string>;

constexpr char kToken[] = "office.secret";
constexpr char kPath[] = "/v1/events/round/requests";

SettingsPtr MakeSettings() {
  const std::string json =
      StrCat(R"({"accounts":{"office":{"token_salt":"s","token_hash":")",
             TokenHash("s", kToken), R"("}}})");
  return Settings().With(*ParseBranch("office", 1, json));
}

struct Sent {
  std::string method = "POST";
  std::string path = kPath;
  Headers headers;
  std::string body = "{}";
  DurationUs waited = 0;
};

CallerCall Parse(const Sent& sent) {
  Headers headers = sent.headers;
  headers.emplace("Authorization", StrCat("Bearer ", kToken));
  HttpHead head;
  head.method = sent.method;
  head.path = sent.path;
  head.waited = sent.waited;
  head.header = [&](const char* name) -> std::optional<std::string> {
    const auto it = headers.find(name);
    return it == headers.end() ? std::nullopt : std::optional(it->second);
  };
  return ParseCallerCall(head, sent.body, *MakeSettings());
}

Refusal RefusalOf(const Sent& sent) {
  const auto call = Parse(sent);
  const auto* rejection = std::get_if<Rejection>(&call);
  return rejection == nullptr ? Refusal::kNone : rejection->reason;
}

Sent WithHeader(const std::string& name, const std::string& value) {
  Sent sent;
  sent.headers = {{name, value}};
  return sent;
}

Sent WithPath(const std::string& method, const std::string& path) {
  Sent sent;
  sent.method = method;
  sent.path = path;
  return sent;
}

Sent WithBody(const std::string& body) {
  Sent sent;
  sent.body = body;
  return sent;
}

TEST(CallerHttpTest, GoodRequestIsRead) {
  Sent sent;
  sent.headers = {{"Acaciachute-Class", "urgent"},
                  {"Acaciachute-Deadline-Ms", "700"},
                  {"Acaciachute-Idempotent", "false"},
                  {"Idempotency-Key", "k"},
                  {"Accept", "text/event-stream"}};
  const auto call = Parse(sent);
  const auto& request = std::get<CallerRequest>(call);
  EXPECT_EQ(request.event, "round");
  EXPECT_EQ(request.account, "office");
  EXPECT_EQ(request.caller_class, CallerClass::kUrgent);
  EXPECT_EQ(request.deadline, 700 * kMillisecond);
  EXPECT_FALSE(request.idempotent);
  EXPECT_TRUE(request.stream);
}

TEST(CallerHttpTest, BadBodiesAreRefused) {
  for (const char* body :
       {"", "{", "{\"a\":}", "nul", "{} {}", "\"\xff\"", "[1,]"}) {
    EXPECT_EQ(RefusalOf(WithBody(body)), Refusal::kMalformed) << body;
  }
  EXPECT_EQ(RefusalOf(WithBody(std::string(kMaxBodySize + 1, ' '))),
            Refusal::kTooLarge);
  // Deep nesting must not overflow the stack.
  EXPECT_EQ(RefusalOf(WithBody(std::string(kMaxBodySize, '['))),
            Refusal::kMalformed);
}

TEST(CallerHttpTest, BadHeadersAreRefused) {
  const std::vector<std::pair<std::string, std::string>> bad = {
      {"Acaciachute-Class", "soon"},
      {"Acaciachute-Idempotent", "no"},
      {"Acaciachute-Idempotent", "false"},  // Without a key.
      {"Acaciachute-Deadline-Ms", "soon"},
      {"Acaciachute-Deadline-Ms", "1.5"},
      {"Acaciachute-Deadline-Ms", "600001"},
      {"Acaciachute-Deadline-Ms", "99999999999999999999"},
      {"Idempotency-Key", std::string(kMaxKeySize + 1, 'k')},
      {"Idempotency-Key", "\xff"},
  };
  for (const auto& [name, value] : bad) {
    EXPECT_EQ(RefusalOf(WithHeader(name, value)), Refusal::kMalformed)
        << name << ": " << value;
  }
}

TEST(CallerHttpTest, ExpiredDeadlineIsLate) {
  EXPECT_EQ(RefusalOf(WithHeader("Acaciachute-Deadline-Ms", "0")),
            Refusal::kLate);
  EXPECT_EQ(RefusalOf(WithHeader("Acaciachute-Deadline-Ms", "-5")),
            Refusal::kLate);
}

// A request with a deadline of 200 ms waited 300 ms for the busy event loop. It
// is refused before its body is parsed; otherwise an overloaded entry would
// spend its time on requests that are already late.
TEST(CallerHttpTest, WaitInTheLoopCountsBeforeTheBodyIsRead) {
  Sent sent = WithHeader("Acaciachute-Deadline-Ms", "200");
  sent.body = "{";
  sent.waited = 300 * kMillisecond;
  EXPECT_EQ(RefusalOf(sent), Refusal::kLate);
}

TEST(CallerHttpTest, BadPathsAreRefused) {
  for (const char* path :
       {"/", "/v1", "/v1/events", "/v2/events/round/requests",
        "/v1/events/round/requests/k/more", "/v1/events/round/other"}) {
    EXPECT_EQ(RefusalOf(WithPath("POST", path)), Refusal::kNotFound) << path;
  }
  EXPECT_EQ(RefusalOf(WithPath("GET", kPath)), Refusal::kMalformed);
  EXPECT_EQ(RefusalOf(WithPath("POST", "/v1/events//requests")),
            Refusal::kMalformed);
  EXPECT_EQ(RefusalOf(WithPath("POST", "/v1/events/%FF/requests")),
            Refusal::kMalformed);
  EXPECT_EQ(RefusalOf(WithPath("POST", StrCat(kPath, std::string(2000, 'x')))),
            Refusal::kNotFound);
}

TEST(CallerHttpTest, ServiceIsAPipelineOfOneStage) {
  Sent sent = WithPath("POST", "/v1/services/billing/v2/charge");
  // A request that is not idempotent needs a key.
  EXPECT_EQ(RefusalOf(sent), Refusal::kMalformed);
  sent.headers = {{"Idempotency-Key", "k"}};
  const auto call = Parse(sent);
  const auto& request = std::get<CallerRequest>(call);
  EXPECT_EQ(request.service_pool, "billing");
  EXPECT_EQ(request.service_path, "/v2/charge");
  EXPECT_FALSE(request.idempotent);
  for (const char* path :
       {"/v1/services/billing/../admin", "/v1/services/billing/%2e%2e/admin",
        "/v1/services/billing/a%2Fb", "/v1/services/billing//a"}) {
    sent.path = path;
    EXPECT_EQ(RefusalOf(sent), Refusal::kMalformed) << path;
  }
}

TEST(CallerHttpTest, StatusQueryDecodesItsKey) {
  const auto call = Parse(WithPath("GET", StrCat(kPath, "/a%2Fb%20c")));
  EXPECT_EQ(std::get<StatusQuery>(call).key, "a/b c");
  EXPECT_EQ(std::get<StatusQuery>(call).account, "office");
}

TEST(CallerHttpTest, WrongTokensAreUnauthorized) {
  for (const char* text :
       {"", "Bearer", "Bearer ", "Basic office.secret", "Bearer secret",
        "Bearer office.", "Bearer office.wrong", "Bearer depot.secret",
        "Bearer .secret", "Bearer office.secret "}) {
    EXPECT_EQ(RefusalOf(WithHeader("Authorization", text)),
              Refusal::kUnauthorized)
        << text;
  }
}

TEST(CallerHttpTest, EveryRefusalIsAProblemDocument) {
  for (std::size_t n = 1; n < kRefusals.size(); ++n) {
    CallerAnswer answer = MakeRefusal(Verdict::kNotRun, static_cast<Refusal>(n),
                                      "bad \xff byte", 1500 * kMillisecond);
    answer.request_id = "7-8";
    const HttpReply reply = FormatAnswer(answer);
    const Json problem = Json::parse(reply.body, nullptr, false);
    ASSERT_TRUE(problem.is_object()) << reply.body;
    EXPECT_EQ(reply.content_type, "application/problem+json");
    EXPECT_EQ(problem["type"], StrCat("urn:acaciachute:", kRefusals[n].name));
    EXPECT_EQ(problem["status"], reply.status);
    EXPECT_EQ(problem["title"], kRefusals[n].title);
    EXPECT_EQ(problem["verdict"], "not_run");
    EXPECT_EQ(problem["request_id"], "7-8");
    EXPECT_TRUE(problem.contains("detail"));
    const bool has_retry_after = std::any_of(
        reply.headers.begin(), reply.headers.end(), [](const auto& it) {
          return it.first == "Retry-After" && it.second == "2";
        });
    EXPECT_EQ(has_retry_after, kRefusals[n].retryable) << kRefusals[n].name;
  }
}

// A streamed answer is truncated after each number of bytes. Only the complete
// stream contains the end event. Parts with line breaks, carriage returns or
// bytes that are not UTF-8 are decoded to what was encoded.
TEST(CallerHttpTest, OnlyAWholeStreamShowsItsEnd) {
  CallerAnswer answer;
  answer.verdict = Verdict::kAnswered;
  answer.body = "one\ntwo three";
  const std::string stream =
      StrCat(FormatStreamPart("one\ntwo"), FormatStreamPart(" three"),
             FormatStreamEnd(answer));
  for (std::size_t n = 0; n <= stream.size(); ++n) {
    EventStreamReader reader;
    std::string text;
    bool end = false;
    for (const auto& event :
         reader.Add(std::string_view(stream).substr(0, n))) {
      end = end || event.name == "end";
      text += event.name.empty() ? event.data : "";
    }
    EXPECT_EQ(end, n == stream.size());
    EXPECT_EQ(end, end && text == answer.body);
  }
  EXPECT_EQ(FormatStreamPart("a\rb"), "event: base64\ndata: YQ1i\n\n");
  EXPECT_EQ(FormatStreamPart("\xff"), "event: base64\ndata: /w==\n\n");
}

}  // namespace
}  // namespace acaciachute
