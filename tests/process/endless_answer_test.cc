// Process tests of a real gateway whose servers send bytes that lead to no
// answer, without end, at each place of an answer.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "address_text.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/loopback.h"
#include "tests/soak/raw_client.h"
#include "tests/soak/raw_listener.h"
#include "tests/soak/standin_store.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpBadGateway = 502;
constexpr DurationUs kWaitTimeout = 20 * kSecond;
// Memory that bytes without end may take; the gateway has 260 MB, and requests
// of all clients need it.
constexpr std::uint64_t kMaxGrowth = 16 << 20;
// Time after which no connection may go on receiving them.
constexpr DurationUs kMaxTime = kSecond;
constexpr std::size_t kPart = 64 << 10;

std::string Repeated(std::string_view text) {
  std::string out;
  while (out.size() < kPart) {
    out += text;
  }
  return out;
}

// Where the bytes come: what a server sends first, and what without end.
// `ID` stands for the id of the call.
struct Place {
  const char* name;
  std::string begin;
  std::string endless;  // Empty: the answer ends after `begin`.
  bool closes = false;  // With its connection.
};

// Places in answers of any kind.
std::vector<Place> AnyPlaces() {
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n";
  const std::string sealed = head + "Replica-Seal: s\r\n";
  const std::string refusal =
      "HTTP/1.1 503 Full\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\n";
  const std::string foreign = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string length = "Content-Length: 99999999999\r\n\r\n";
  const std::string text = Repeated("x");
  const std::string fields = Repeated("Name: value\r\n");
  return {
      {"no HTTP", "", text},
      {"a head", "HTTP/1.1 200 OK\r\n", fields},
      {"a field", "HTTP/1.1 200 OK\r\nName: ", text},
      {"interim answers", "", Repeated("HTTP/1.1 100 Continue\r\n\r\n")},
      {"foreign answers", "",
       Repeated(foreign + "Content-Length: 2\r\n\r\nok")},
      {"a foreign answer", foreign + length, text},
      {"a chunk extension", sealed + chunked + "1;", text},
      {"extensions of chunks", sealed + chunked,
       Repeated("1;" + std::string(1000, 'e') + "\r\nx\r\n")},
      {"a trailer", sealed + chunked + "1\r\nx\r\n0\r\n", fields},
      {"a trailer's field", sealed + chunked + "1\r\nx\r\n0\r\nName: ", text},
      {"a refusal's body", refusal + length, text},
      {"a refusal's chunks", refusal + chunked, Repeated("1\r\nx\r\n")},
      {"an unsealed body", head + length, text},
      {"an encoded body", sealed + "Content-Encoding: gzip\r\n" + length, text},
      {"a body", sealed + length, text},
      {"chunks", sealed + chunked, Repeated("1\r\nx\r\n")},
      {"a body until the close", sealed + "\r\n", text},
  };
}

std::vector<Place> StreamPlaces() {
  auto places = AnyPlaces();
  const std::string sealed =
      "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nReplica-Seal: s\r\n";
  places.push_back({"an event",
                    sealed + "Transfer-Encoding: chunked\r\n\r\n"
                             "6\r\ndata: \r\n",
                    Repeated("400\r\n" + std::string(1024, 'x') + "\r\n")});
  places.push_back(
      {"lines of an event", sealed + "\r\n", Repeated("data: line\n")});
  return places;
}

bool IsRefusal(const Place& place) {
  return place.begin.starts_with("HTTP/1.1 503");
}

// What a sound replica at `address` answers; also to calls with one piece.
std::string SoundAnswer(const HttpRequestHead& head, const Address& address) {
  static int results = 0;
  const std::string* name = FindField(head.fields, "Attempt-Id");
  const std::string body =
      head.target == "/stage-run"
          ? StrCat(R"({"items":[{"handle":")", AddressText(address), "/",
                   ++results, R"("}]})")
          : "id: 1\ndata: whole\n\n";
  return StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", name == nullptr ? "" : *name,
                "\r\nReplica-Seal: s\r\nContent-Length: ", body.size(),
                "\r\n\r\n", body);
}

// Which answers have no end, of all replicas.
struct Plan {
  const Place* place = nullptr;
  std::string target;  // How the targets of such requests begin.
  int answers = 0;     // That are still to be sent so.
};

// A replica that answers with bytes without end as planned, and else soundly.
class Replica : public ListenerHandler {
 public:
  Replica(Loop* loop, Plan* plan)
      : address(FreeAddress()), plan_(plan), listener_(this, loop, address) {}

  void OnRequest(ExchangeId id, HttpRequestHead head, std::string) override {
    if (plan_->answers == 0 || !head.target.starts_with(plan_->target)) {
      listener_.Write(id, SoundAnswer(head, address));
      listener_.Keep(id);
      return;
    }
    --plan_->answers;
    std::string begin = plan_->place->begin;
    const std::string* name = FindField(head.fields, "Attempt-Id");
    if (const auto at = begin.find(": ID\r"); at != std::string::npos) {
      begin.replace(at + 2, 2, name == nullptr ? "" : *name);
    }
    listener_.Write(id, begin);
    if (!plan_->place->endless.empty()) {
      listener_.WriteWithoutEnd(id, plan_->place->endless);
    } else if (plan_->place->closes) {
      listener_.Close(id);
    } else {
      listener_.Keep(id);
    }
  }
  // See `RawListener::AnswerEarly`.
  void AnswerEarly(const std::string& bytes, DurationUs until_reset) {
    listener_.AnswerEarly(bytes, until_reset);
  }
  void OnClientDisconnected(ExchangeId) override {}
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

  bool sending() const { return listener_.endless() > 0; }

  const Address address;

 private:
  Plan* const plan_;
  RawListener listener_;
};

class EndlessAnswerTest : public ::testing::Test {
 protected:
  EndlessAnswerTest() {
    for (const char* service : {"app", "engine", "stage", "other"}) {
      for (int n = 0; n < 2; ++n) {
        replicas_[service].push_back(std::make_unique<Replica>(&loop_, &plan_));
        const Address& address = replicas_[service].back()->address;
        store_.Put("servers", StrCat("i-", service, "-", n),
                   {{"service", service},
                    {"address", AddressText(address)},
                    {"zone", "a"},
                    {"version", "v1"},
                    {"slots", 64},
                    {"cold_left_ms", 0},
                    {"call_seq", 0},
                    {"state", "ready"}});
      }
    }
    const Json pieces = {{"slots", 1},      {"queue", 2},
                         {"batch", 4},      {"call_ms", 20.0},
                         {"item_ms", 5.0},  {"room_mb", 20.0},
                         {"handle_s", 4.0}, {"link_mbps", 1000.0}};
    const Json services = {
        {{"name", "app"}, {"max_connections", 500}},
        {{"name", "other"}, {"max_connections", 500}},
        {{"name", "engine"}, {"kv_capacity_tokens", 1000000}, {"slots", 64}},
        {{"name", "stage"}, {"pieces", pieces}}};
    Json resumed = RouteOf("resumed", "streaming", "engine");
    resumed["stream_resume"] = true;
    Json staged = RouteOf("staged", "streaming", "engine");
    staged["stages"] = {
        {{"service", "stage"}, {"after", Json::array()}, {"bytes", 8000}}};
    const Json routes = {RouteOf("safe", "safe", "app"),
                         RouteOf("unsafe", "unsafe", "app"),
                         RouteOf("other", "safe", "other"), resumed, staged};
    store_.Put("op", "config",
               {{"version", 1}, {"services", services}, {"routes", routes}});
    GatewayProcessOptions options;
    options.name = "front-1";
    options.store = store_.address();
    options.retries = {1.0, 100000, 10 * kSecond};
    gateway_ = std::make_unique<GatewayProcess>(options);
    gateway_->Start();
  }

  static Json RouteOf(const std::string& name,
                      const std::string& kind,
                      const std::string& service) {
    return {{"name", name},
            {"host", "h.example"},
            {"prefix", StrCat("/", name, "/")},
            {"kind", kind},
            {"timeout_ms", 8000},
            {"target_latency_ms", 1000},
            {"gap_aim_ms", 300},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2}};
  }

  bool WaitFor(const std::function<bool()>& condition,
               DurationUs timeout = kWaitTimeout) {
    const TimeUs end = Loop::Now() + timeout;
    bool holds = condition();
    while (!holds && Loop::Now() < end) {
      loop_.After(kMillisecond, [this] { loop_.Quit(); });
      loop_.Run();
      holds = condition();
    }
    return holds;
  }
  std::unique_ptr<RawClient> Send(const std::string& route) {
    const std::string pieces =
        route == "staged" ? "Pieces: 1\r\nPiece-Key: k\r\n" : "";
    return std::make_unique<RawClient>(
        &loop_, gateway_->clients(),
        StrCat("POST /", route,
               "/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a", next_++,
               "\r\nDeadline-Ms: 7000\r\nModel: m\r\n", pieces,
               "Token-Usage: 100,20\r\nPrompt-Prefix: aa:100\r\n"
               "Content-Length: 4\r\n\r\nbody"),
        [] {});
  }
  // Sends a request and returns the client after its answer.
  std::unique_ptr<RawClient> Ask(const std::string& route) {
    auto client = Send(route);
    WaitFor([&] { return client->ended(); });
    return client;
  }
  // Waits until the gateway serves `route`.
  bool Ready(const std::string& route) {
    return WaitFor([&] { return Ask(route)->status() == kHttpOk; });
  }

  // Sends requests whose first answer by a server for `target` has no end, with
  // others beside them, and returns their clients.
  std::vector<std::unique_ptr<RawClient>> Play(const Place& place,
                                               const std::string& route,
                                               const std::string& target) {
    constexpr int kRequests = 2;
    // Earns what a second send takes from the retry budget.
    constexpr int kSoundRequests = 3;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int n = 0; n < kRequests; ++n) {
      for (int k = 0; k < kSoundRequests; ++k) {
        EXPECT_EQ(Ask(route)->status(), kHttpOk) << place.name;
      }
      plan_ = {&place, target, 1};
      const TimeUs sent_at = Loop::Now();
      clients.push_back(Send(route));
      EXPECT_TRUE(WaitFor([&] { return plan_.answers == 0; })) << place.name;
      EXPECT_EQ(Ask("other")->status(), kHttpOk) << place.name;
      WaitFor([&] { return clients.back()->ended() && !Sending(); });
      EXPECT_LT(Loop::Now() - sent_at, kMaxTime) << place.name;
    }
    return clients;
  }
  // Whether a server still sends bytes without end.
  bool Sending() const {
    for (const auto& [service, replicas] : replicas_) {
      for (const auto& it : replicas) {
        if (it->sending()) {
          return true;
        }
      }
    }
    return false;
  }

  // Expects that the memory of the gateway has not grown too much.
  void ExpectBounded(std::uint64_t start, std::string_view place) const {
    EXPECT_LT(gateway_->PeakMemoryBytes(), start + kMaxGrowth) << place;
  }

  Loop loop_;
  Plan plan_;
  StandinStore store_{&loop_};
  std::map<std::string, std::vector<std::unique_ptr<Replica>>> replicas_;
  std::unique_ptr<GatewayProcess> gateway_;
  std::size_t next_ = 0;
};

// Guards against a replica whose plain answer, without end, fills the gateway's
// memory until it is killed: the request is served elsewhere.
TEST_F(EndlessAnswerTest, APlainRequestIsServedElsewhere) {
  ASSERT_TRUE(Ready("safe") && Ready("other"));
  const std::uint64_t start = gateway_->MemoryBytes();
  for (const Place& place : AnyPlaces()) {
    for (const auto& it : Play(place, "safe", "/safe")) {
      EXPECT_EQ(it->status(), kHttpOk) << place.name;
    }
    ExpectBounded(start, place.name);
  }
}

// Guards against the same in a stream, also inside an event.
TEST_F(EndlessAnswerTest, AStreamIsServedElsewhere) {
  ASSERT_TRUE(Ready("resumed") && Ready("other"));
  const std::uint64_t start = gateway_->MemoryBytes();
  for (const Place& place : StreamPlaces()) {
    for (const auto& it : Play(place, "resumed", "/resumed")) {
      EXPECT_EQ(it->status(), kHttpOk) << place.name;
    }
    ExpectBounded(start, place.name);
  }
}

// Guards against the same with requests that run once: a refusal without end is
// one, and with any other answer nobody knows whether the request ran.
TEST_F(EndlessAnswerTest, ARequestThatRunsOnceIsRefusedTruthfully) {
  ASSERT_TRUE(Ready("unsafe") && Ready("other"));
  const std::uint64_t start = gateway_->MemoryBytes();
  for (const Place& place : AnyPlaces()) {
    for (const auto& it : Play(place, "unsafe", "/unsafe")) {
      const int status = it->status();
      EXPECT_TRUE(status == kHttpOk ||
                  (!IsRefusal(place) && status == kHttpBadGateway))
          << place.name << ": " << status;
    }
    ExpectBounded(start, place.name);
  }
}

// Guards against a stage replica that does so in answers to calls with pieces.
TEST_F(EndlessAnswerTest, PiecesAreMadeElsewhere) {
  ASSERT_TRUE(Ready("staged") && Ready("other"));
  const std::uint64_t start = gateway_->MemoryBytes();
  for (const Place& place : AnyPlaces()) {
    for (const auto& it : Play(place, "staged", "/stage-run")) {
      EXPECT_EQ(it->status(), kHttpOk) << place.name;
    }
    ExpectBounded(start, place.name);
  }
}

// Whole answers whose status is none, in each framing.
std::vector<Place> OddStatuses() {
  std::vector<Place> places;
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    const std::string head = StrCat("HTTP/1.1 ", status,
                                    " Odd\r\nAttempt-Id: ID\r\n"
                                    "Replica-Seal: s\r\n");
    places.push_back({status, head + "Content-Length: 2\r\n\r\nok", ""});
    places.push_back({status,
                      head + "Transfer-Encoding: chunked\r\n\r\n"
                             "2\r\nok\r\n0\r\n\r\n",
                      ""});
    places.push_back({status, head + "\r\nok", "", true});
  }
  return places;
}

class OddStatusTest : public EndlessAnswerTest {};

// Guards against an answer whose status is none and that reaches the client, or
// keeps it waiting until its deadline.
TEST_F(OddStatusTest, IsNoAnswer) {
  ASSERT_TRUE(Ready("safe") && Ready("unsafe") && Ready("resumed") &&
              Ready("other"));
  for (const Place& place : OddStatuses()) {
    for (const char* route : {"safe", "resumed"}) {
      for (const auto& it : Play(place, route, StrCat("/", route))) {
        EXPECT_EQ(it->status(), kHttpOk) << route << " " << place.name;
      }
    }
    for (const auto& it : Play(place, "unsafe", "/unsafe")) {
      EXPECT_TRUE(it->status() == kHttpBadGateway || it->status() == kHttpOk)
          << place.name << ": " << it->status();
    }
  }
}

// Guards against the same in answers to calls with pieces.
TEST_F(OddStatusTest, PiecesAreMadeElsewhere) {
  ASSERT_TRUE(Ready("staged") && Ready("other"));
  for (const Place& place : OddStatuses()) {
    for (const auto& it : Play(place, "staged", "/stage-run")) {
      EXPECT_EQ(it->status(), kHttpOk) << place.name;
    }
  }
}

// Guards against a part of an answer without a length that is taken for all of
// it, as its replica resets the connection while the request is still being
// written: the failed write must not hide the reset from the next read.
TEST_F(OddStatusTest, AResetBesideAnUploadIsNoEndOfAnAnswer) {
  constexpr std::size_t kUpload = 3 << 20;
  ASSERT_TRUE(Ready("unsafe"));
  for (const DurationUs until_reset :
       {DurationUs{0}, kMillisecond, 3 * kMillisecond, 10 * kMillisecond}) {
    for (const auto& it : replicas_.at("app")) {
      it->AnswerEarly(
          "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nReplica-Seal: s\r\n\r\npart",
          until_reset);
    }
    for (int n = 0; n < 12; ++n) {
      const RawClient client(
          &loop_, gateway_->clients(),
          StrCat("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: u",
                 next_++, "\r\nDeadline-Ms: 7000\r\nContent-Length: ", kUpload,
                 "\r\n\r\n", std::string(kUpload, 'u')),
          [] {});
      WaitFor([&] { return client.ended(); });
      EXPECT_EQ(client.status(), kHttpBadGateway) << until_reset;
    }
  }
}

// Guards against a release of results that does so; nothing waits for it.
TEST_F(EndlessAnswerTest, AReleaseOfResultsEndsToo) {
  ASSERT_TRUE(Ready("staged") && Ready("other"));
  const std::uint64_t start = gateway_->MemoryBytes();
  for (const Place& place : AnyPlaces()) {
    for (const auto& it : Play(place, "staged", "/stage-free")) {
      EXPECT_EQ(it->status(), kHttpOk) << place.name;
    }
    ExpectBounded(start, place.name);
  }
}

// Guards against a store that does so: an outage of the store stops nobody from
// serving.
TEST_F(EndlessAnswerTest, AStoreWithoutEndIsAnOutage) {
  ASSERT_TRUE(Ready("safe"));
  const std::uint64_t start = gateway_->MemoryBytes();
  store_.SetFaultMode(StandinStore::FaultMode::kEndless);
  store_.DropHistory();
  const TimeUs end = Loop::Now() + 4 * kSecond;
  while (Loop::Now() < end) {
    EXPECT_EQ(Ask("safe")->status(), kHttpOk);
  }
  ExpectBounded(start, "store");
  store_.SetFaultMode(StandinStore::FaultMode::kServing);
  store_.Put(
      "op", "config",
      {{"version", 2}, {"services", Json::array()}, {"routes", Json::array()}});
  EXPECT_TRUE(WaitFor([&] { return Ask("safe")->status() != kHttpOk; }));
}

}  // namespace
}  // namespace acaciachute
