// Tests the translation between the platform's formats and this project's
// types.
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform/config.h"
#include "platform/host_settings_file.h"
#include "platform/requests.h"
#include "platform/rows.h"
#include "text.h"

namespace acaciachute::platform {
namespace {

using ::testing::HasSubstr;

constexpr char kSettings[] =
    "node_name=front-a-1\nzone=a\nip=10.1.0.41\nlisten.front=10.1.0.41:8625\n"
    "listen.ready_addr=10.1.0.41:8621\ninternal_ports=7740,7755\n"
    "platform.address=10.200.1.7:8624\nbounds.revoke_ms=5000\n"
    "bounds.retry_budget_ratio=0.2\nunknown.field=x\n";

TEST(HostSettingsFileTest, ReadsWhatIsNeededAndIgnoresTheRest) {
  const auto settings = ParseHostSettings(kSettings);
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->domain, "a");
  EXPECT_EQ(settings->clients, (Address{"10.1.0.41", 8625}));
  EXPECT_EQ(settings->first_peer_port, 7740);
  EXPECT_EQ(settings->key_revocation, 5 * kSecond);
  EXPECT_DOUBLE_EQ(settings->retries.ratio, 0.2);
}

TEST(HostSettingsFileTest, ReadsFreshnessBounds) {
  const auto settings =
      ParseHostSettings(std::string(kSettings) +
                        "bounds.drain_ms=3000\nbounds.config_apply_ms=2500\n"
                        "bounds.evacuate_ms=5500\nbounds.contact_ms=4000\n");
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->freshness,
            (FreshnessBounds{3 * kSecond, 2500 * kMillisecond,
                             5500 * kMillisecond, 4 * kSecond}));
}

// Guards against two sets of defaults: limits that the file leaves out are
// those of `ServiceRetryBudgetLimits`.
TEST(HostSettingsFileTest, HasOneSetOfDefaultsForRetries) {
  const auto settings = ParseHostSettings(kSettings);
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->retries.slack, ServiceRetryBudgetLimits{}.slack);
  EXPECT_EQ(settings->retries.window, ServiceRetryBudgetLimits{}.window);
  EXPECT_EQ(HostSettings{}.retries, ServiceRetryBudgetLimits{});
}

// Guards against a retry budget that is divided by a window of no length.
TEST(HostSettingsFileTest, RefusesRetryLimitsThatAllowNoBudget) {
  for (const char* it :
       {"bounds.retry_window_s=0", "bounds.retry_window_s=-3",
        "bounds.retry_slack=-1", "bounds.retry_budget_ratio=-0.1"}) {
    EXPECT_FALSE(ParseHostSettings(StrCat(kSettings, it, "\n")).ok()) << it;
  }
}

// Guards against accepting a bound that cannot be kept and then exceeding it
// without notice.
TEST(HostSettingsFileTest, RefusesBoundsThatCannotBeKept) {
  for (const char* it : {"bounds.drain_ms=0", "bounds.config_apply_ms=-5",
                         "bounds.contact_ms=199", "bounds.evacuate_ms=soon",
                         "bounds.revoke_ms=999999999999"}) {
    const auto settings = ParseHostSettings(StrCat(kSettings, it, "\n"));
    ASSERT_FALSE(settings.ok()) << it;
    const std::string line = it;
    EXPECT_THAT(std::string(settings.status().message()),
                HasSubstr(line.substr(0, line.find('='))));
  }
}

TEST(HostSettingsFileTest, NamesEveryMistakeAtOnce) {
  const auto settings = ParseHostSettings(
      "node_name=n\nip=10.0.0.1\nzone=a\nlisten.front=nowhere\n"
      "listen.ready_addr=10.0.0.1:1\ninternal_ports=9,8\n"
      "platform.address=10.0.0.2:2\nbounds.revoke_ms=soon\n");
  ASSERT_FALSE(settings.ok());
  const std::string why(settings.status().message());
  EXPECT_THAT(why, HasSubstr("listen.front"));
  EXPECT_THAT(why, HasSubstr("internal_ports"));
  EXPECT_THAT(why, HasSubstr("bounds.revoke_ms"));
}

TEST(RowsTest, ReadsAConfiguration) {
  const auto config = ParseConfig(R"({"version":7,"routes":[
    {"name":"r","host":"H.example","prefix":"/a/","kind":"streaming",
     "timeout_ms":15000,"target_latency_ms":1900,"priority":2,"service":"e",
     "max_attempts":2,"stream_resume":true,"gap_aim_ms":300,
     "stages":[{"service":"m","after":[],"bytes":8000}]},
    {"name":"deep","host":"h.example","prefix":"/a/b/","kind":"safe",
     "timeout_ms":1000,"traffic_split":[{"service":"x","weight":9}],
     "max_attempts":1}],
    "services":[{"name":"m","pieces":{"slots":1,"batch":12,"call_ms":240.0,
     "item_ms":17.5,"room_mb":14.0,"handle_s":4.0}}],
    "limits":{"max_body_bytes":100},
    "tenants":[{"name":"acme","api_keys":["k"],"priority":1}]})");
  ASSERT_TRUE(config.ok()) << config.status();
  const ServingConfig& it = **config;
  EXPECT_EQ(it.version, 7U);
  EXPECT_EQ(it.FindRoute("h.example:80", "/a/b/c?x")->name, "deep");
  const Route* route = it.FindRoute("h.example", "/a/x");
  ASSERT_NE(route, nullptr);
  EXPECT_TRUE(route->MayRepeat());
  EXPECT_EQ(route->target, 1900 * kMillisecond);
  EXPECT_EQ(route->stages[0].result_bytes, 8000U);
  EXPECT_EQ(it.FindRoute("h.example", "/b/"), nullptr);
  EXPECT_EQ(it.FindService("m")->batching->piece, 17500);
  EXPECT_EQ(it.FindAccount("k")->priority, 1U);
  EXPECT_EQ(it.limits.body_bytes, 100U);
}

// An invalid configuration is rejected with an error that names its fault, so
// that the log shows it and the previous configuration stays in force.
TEST(RowsTest, NamesTheFieldOfABadConfiguration) {
  const auto bad = ParseConfig(R"({"version":7,"routes":[{"name":"r","host":"h",
    "prefix":"/","kind":"sometimes","timeout_ms":1}],"services":[]})");
  ASSERT_FALSE(bad.ok());
  EXPECT_THAT(std::string(bad.status().message()), HasSubstr("sometimes"));
  EXPECT_FALSE(ParseConfig("{").ok());
  EXPECT_FALSE(ParseConfig(R"({"version":"x"})").ok());
}

TEST(RowsTest, ReadsAReplica) {
  const auto entry = ParseReplica(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":6,
          "state":"draining","cold_left_ms":100,"version":"v1","call_seq":4,
          "born":1780953918138})",
      0);
  ASSERT_TRUE(entry.ok());
  EXPECT_EQ(entry->id, ReplicaId("i-1", 1780953918138));
  EXPECT_EQ(entry->orders, 4U);
  EXPECT_TRUE(entry->leaving);
  EXPECT_EQ(entry->address, (Address{"10.0.0.9", 8080}));
  EXPECT_FALSE(ParseReplica("i-1", R"({"service":"s","address":"x"})", 0).ok());
}

// The remaining cold time in a row counts from when the row was read.
TEST(RowsTest, ColdTimeCountsFromTheReading) {
  const auto entry = ParseReplica(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":6,
          "state":"ready","cold_left_ms":100,"version":"v1","call_seq":4})",
      kSecond);
  ASSERT_TRUE(entry.ok());
  EXPECT_EQ(entry->cold_until, kSecond + 100 * kMillisecond);
}

// Returns a valid row with one field replaced; a null value removes the field.
std::string EntryWith(const std::string& field, const nlohmann::json& value) {
  nlohmann::json row = {{"service", "s"},       {"address", "10.0.0.9:8080"},
                        {"zone", "a"},          {"version", "v1"},
                        {"slots", 6},           {"state", "ready"},
                        {"cold_left_ms", 0},    {"call_seq", 4},
                        {"born", 1780953918138}};
  if (value.is_null()) {
    row.erase(field);
  } else {
    row[field] = value;
  }
  return row.dump();
}

// Guards against rows of other writers in the replicas' table. They describe no
// replica of this system: requests sent there would be lost or run where they
// must not.
TEST(RowsTest, RefusesEntriesOfAnotherWriter) {
  struct Case {
    const char* field;
    std::vector<nlohmann::json> values;
  };
  const nlohmann::json absent;
  const nlohmann::json list = nlohmann::json::array({1});
  const std::vector<Case> cases = {
      {"service", {absent, 7, "", list, true}},
      {"address", {absent, 7, "", "x", "10.0.0.9", "10.0.0.9:0x1", list}},
      {"zone", {absent, 7, "", list}},
      {"version", {absent, 7, ""}},
      {"slots", {absent, "6", -1, 0, 6.5, 1e300, 1ULL << 60U, list, true}},
      {"state", {absent, "", "Ready", "starting", 1, true, list}},
      {"cold_left_ms", {absent, "0", -1, 1e300, list}},
      {"call_seq", {absent, "4", -1, 4.5, 1ULL << 60U, list}},
      {"born", {"1780953918138", -1, 0, 1.5, 1e300, 1ULL << 60U, list, false}},
  };
  EXPECT_TRUE(ParseReplica("i-1", EntryWith("x", 1), 0).ok());
  EXPECT_TRUE(ParseReplica("i-1", EntryWith("born", absent), 0).ok());
  for (const Case& it : cases) {
    for (const auto& value : it.values) {
      const auto entry = ParseReplica("i-1", EntryWith(it.field, value), 0);
      ASSERT_FALSE(entry.ok()) << it.field << " " << value;
      EXPECT_THAT(std::string(entry.status().message()), HasSubstr(it.field));
    }
  }
}

TEST(RowsTest, RefusesBytesThatAreNoEntry) {
  for (const char* it : {"", "{", "null", "7", "[]", "\"text\"", "\xff\xfe",
                         "{\"service\":\"\xff\"}"}) {
    EXPECT_FALSE(ParseReplica("i-1", it, 0).ok()) << it;
  }
}

// Any truncated row and any row with one changed byte is parsed or rejected,
// and never crashes the process.
RC_GTEST_PROP(RowsTest, ReadsOrRefusesCorruptedEntries, ()) {
  std::string row = EntryWith("x", 1);
  const auto at = *rc::gen::inRange<std::size_t>(0, row.size());
  if (*rc::gen::arbitrary<bool>()) {
    row.resize(at);
  } else {
    row[at] = *rc::gen::arbitrary<char>();
  }
  const auto entry = ParseReplica("i-1", row, 0);
  RC_ASSERT(entry.ok() || !entry.status().message().empty());
}

HttpRequestHead Head() {
  HttpRequestHead head;
  head.method = "POST";
  head.target = "/a%2fb//c";
  head.fields = {{"Host", "h.example"},
                 {"Attempt-Id", "abc"},
                 {"Deadline-Ms", "1500"},
                 {"Authorization", "Bearer secret"},
                 {"Tenant", "somebody"},
                 {"Expect-Replica", "x"},
                 {"Kv-Hold", "h"},
                 {"Kv-From", "f"},
                 {"Kv-Backup", "b"},
                 {"Kv-Fetch", "g"},
                 {"Pin-Ms", "100"},
                 {"Request-Priority", "0"},
                 {"Inputs", "stolen"},
                 {"Connection", "keep-alive, X-Hop"},
                 {"X-Hop", "1"},
                 {"X-End", "2"},
                 {"Model", "m"},
                 {"Token-Usage", "1460,80"},
                 {"Prompt-Prefix", "aa:800,bb:410"},
                 {"Pieces", "2,0,4"},
                 {"Piece-Key", "pk"},
                 {"Content-Length", "4"}};
  return head;
}

std::vector<std::string> NamesOf(const HttpFields& fields) {
  std::vector<std::string> names;
  for (const auto& it : fields) {
    names.push_back(it.name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

// Guards against a client that sets another account's name, occupies an
// engine's memory or reads another request's results: fields that only the
// system may set are not forwarded, nor is the client's key.
TEST(RequestsTest, ForwardsOnlyFieldsThatClientsMaySet) {
  const auto call = ReadClientRequest(Head(), "body");
  ASSERT_TRUE(call.ok());
  EXPECT_EQ(call->key, "secret");
  EXPECT_EQ(call->pieces, (std::vector<std::uint32_t>{2, 0, 4}));
  EXPECT_EQ(call->prompt_tokens, 1460U);
  EXPECT_EQ(call->prompt.size(), 2U);
  AttemptRequest attempt;
  attempt.call = &*call;
  attempt.replica = "i-1";
  attempt.account = "acme";
  attempt.time_left = 1200 * kMillisecond;
  attempt.inputs = {"h1", "h2"};
  attempt.priority = 2;
  const ChannelRequest request = WriteAttemptRequest(attempt);
  EXPECT_EQ(request.target, "/a%2fb//c");
  EXPECT_EQ(NamesOf(request.fields),
            (std::vector<std::string>{
                "Attempt-Id", "Deadline-Ms", "Expect-Replica", "Host", "Inputs",
                "Model", "Piece-Key", "Pieces", "Prompt-Prefix",
                "Request-Priority", "Tenant", "Token-Usage", "X-End"}));
  EXPECT_EQ(*FindField(request.fields, "Tenant"), "acme");
  EXPECT_EQ(*FindField(request.fields, "Deadline-Ms"), "1200");
  EXPECT_EQ(*FindField(request.fields, "Inputs"), "h1,h2");
  EXPECT_EQ(request.echo->value, "abc");
}

TEST(RequestsTest, RefusesMalformedFields) {
  HttpRequestHead head = Head();
  head.fields[2].value = "soon";
  EXPECT_FALSE(ReadClientRequest(head, "").ok());
  head = Head();
  head.fields[1].value = "";
  EXPECT_FALSE(ReadClientRequest(head, "").ok());
  head = Head();
  head.fields[19].value = "2,-1";
  EXPECT_FALSE(ReadClientRequest(head, "").ok());
}

// Guards against a request whose bytes end the gateway: JSON for the calls of
// its pieces could not be written, and nothing caught that.
TEST(RequestsTest, RefusesPiecesWhoseKeysAreNotText) {
  for (const char* name : {"Attempt-Id", "Piece-Key"}) {
    HttpRequestHead head = Head();
    for (HttpField& it : head.fields) {
      if (it.name == name) {
        it.value = "a\xff";
      }
    }
    EXPECT_FALSE(ReadClientRequest(head, "").ok()) << name;
  }
}

// Guards against a head that makes the gateway hold a thousand times its bytes:
// every piece carries the id and the key of its request.
TEST(RequestsTest, RefusesManyPiecesWithALongKey) {
  HttpRequestHead head = Head();
  const auto set = [&](std::string_view name, const std::string& value) {
    for (HttpField& it : head.fields) {
      if (it.name == name) {
        it.value = value;
      }
    }
  };
  set("Pieces", "1000,1000");
  EXPECT_TRUE(ReadClientRequest(head, "").ok());
  set("Piece-Key", std::string(8000, 'k'));
  EXPECT_FALSE(ReadClientRequest(head, "").ok());
  set("Pieces", "20,40");
  EXPECT_TRUE(ReadClientRequest(head, "").ok());
}

TEST(RequestsTest, ReadsFieldsThatReplicasState) {
  HttpAnswerHead head;
  head.status = 503;
  head.fields = {{"Not-Executed", "1"},   {"Replica-Load", "3,1,8"},
                 {"Server-Leaving", "1"}, {"Server-Limit", "1.5"},
                 {"Retry-After", "2"},    {"Connection", "close"},
                 {"Content-Length", "3"}};
  const ReplicaHead out = ReadReplicaHead(head);
  EXPECT_TRUE(out.not_run);
  EXPECT_FALSE(out.sealed);
  EXPECT_TRUE(out.statement.proven);
  EXPECT_TRUE(out.statement.leaving);
  EXPECT_TRUE(out.statement.refused);
  EXPECT_EQ(out.statement.max_rate, 1.5);
  EXPECT_EQ(out.statement.rest, 2 * kSecond);
  EXPECT_EQ(
      NamesOf(out.fields),
      (std::vector<std::string>{"Not-Executed", "Replica-Load", "Retry-After",
                                "Server-Leaving", "Server-Limit"}));
}

TEST(RequestsTest, ReadsTheLoadThatReplicasState) {
  const auto read = [](const std::string& value) {
    HttpAnswerHead head;
    head.status = 200;
    head.fields = {{"replica-load", value}};
    return ReadReplicaStatement(head);
  };
  const auto three = read("3,1,8");
  ASSERT_TRUE(three.load);
  EXPECT_EQ(three.load->running, 3U);
  EXPECT_EQ(three.load->waiting, 1U);
  EXPECT_EQ(three.load->slots, 8U);
  EXPECT_FALSE(three.load->pace);
  EXPECT_EQ(read(" 3, 1, 8, 250 ").load->pace, 2.5);
  // Guards against load that draws or repels requests without being one.
  for (const char* value :
       {"", "3,1", "3,1,8,", "3,1,8,100,1", "a,1,8", "-1,0,8", "9,0,8", "3,1,0",
        "0,0,0", "3,1,8,0", "3,1,8,-5", "3,1,8,nan", "3,1,8,inf",
        "3,99999999999,8", "3,2000000,8", "3,1,8,1e9"}) {
    SCOPED_TRACE(value);
    const auto statement = read(value);
    EXPECT_FALSE(statement.load);
    EXPECT_EQ(statement.unreadable.size(), 1U);
  }
}

TEST(RequestsTest, WritesRetryAfterInFractionsOfASecond) {
  const HttpReply reply = WriteLocalReply(
      {Refusal::kFull, Verdict::kNotRun, 1250 * kMillisecond, "busy"});
  EXPECT_EQ(reply.status, 503);
  EXPECT_EQ(*FindField(reply.fields, "Retry-After"), "1.250");
  EXPECT_THAT(reply.body, HasSubstr("not_run"));
}

}  // namespace
}  // namespace acaciachute::platform
