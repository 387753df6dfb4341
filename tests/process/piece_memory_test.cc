// Process tests of real gateways whose clients state many pieces: the memory of
// each grows with the pieces and their results, not with both multiplied.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
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
constexpr int kHttpUnavailable = 503;
constexpr DurationUs kWaitTimeout = 30 * kSecond;
constexpr std::uint64_t kMemoryMegabytes = 64;
constexpr std::uint64_t kMemoryBytes = kMemoryMegabytes * 1'000'000;
// The pieces and handles of one request take 4 MB, and messages as much again.
constexpr std::uint64_t kMaxGrowth = 16 << 20;

std::string AnswerTo(const HttpRequestHead& head, const std::string& body) {
  const std::string* id = FindField(head.fields, "Attempt-Id");
  return StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", id == nullptr ? "" : *id,
                "\r\nReplica-Seal: s\r\nContent-Length: ", body.size(),
                "\r\n\r\n", body);
}

// Makes all pieces of a call at once, and answers other requests with an event.
class Replica : public ListenerHandler {
 public:
  explicit Replica(Loop* loop)
      : address(FreeAddress()), listener_(this, loop, address) {}

  void OnRequest(ExchangeId id,
                 HttpRequestHead head,
                 std::string body) override {
    std::string answer = "id: 1\ndata: whole\n\n";
    if (head.target == "/stage-run") {
      answer = Run(Json::parse(body));
    } else if (const std::string* it = FindField(head.fields, "Inputs")) {
      inputs =
          static_cast<std::size_t>(std::count(it->begin(), it->end(), ',')) + 1;
    }
    listener_.Write(id, AnswerTo(head, answer));
    listener_.Keep(id);
  }
  void OnClientDisconnected(ExchangeId) override {}
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

  const Address address;
  std::size_t inputs = 0;        // Of the last request.
  std::size_t piece_inputs = 0;  // Of the last piece.

 private:
  std::string Run(const Json& call) {
    Json items = Json::array();
    for (const Json& it : call.at("items")) {
      piece_inputs = it.value("inputs", Json::array()).size();
      items.push_back(
          {{"handle", StrCat(AddressText(address), "/5c1e07a2", ++results_)}});
    }
    return Json({{"items", items}}).dump();
  }

  RawListener listener_;
  std::size_t results_ = 0;
};

class PieceMemoryTest : public ::testing::Test {
 protected:
  PieceMemoryTest() {
    for (const char* service : {"first", "second", "engine"}) {
      replicas_.push_back(std::make_unique<Replica>(&loop_));
      store_.Put("servers", StrCat("i-", service),
                 {{"service", service},
                  {"address", AddressText(replicas_.back()->address)},
                  {"zone", "a"},
                  {"version", "v1"},
                  {"slots", 64},
                  {"cold_left_ms", 0},
                  {"call_seq", 0},
                  {"state", "ready"}});
    }
    const Json pieces = {{"slots", 1},      {"queue", 2},
                         {"batch", 26},     {"call_ms", 10.0},
                         {"item_ms", 0.5},  {"room_mb", 200.0},
                         {"handle_s", 9.0}, {"link_mbps", 1000.0}};
    const Json services = {
        {{"name", "engine"}, {"kv_capacity_tokens", 1000000}, {"slots", 64}},
        {{"name", "first"}, {"pieces", pieces}},
        {{"name", "second"}, {"pieces", pieces}}};
    const Json stages = {
        {{"service", "first"}, {"after", Json::array()}, {"bytes", 8000}},
        {{"service", "second"}, {"after", {0}}, {"bytes", 8000}}};
    const Json route = {{"name", "staged"},    {"host", "h.example"},
                        {"prefix", "/"},       {"kind", "streaming"},
                        {"timeout_ms", 20000}, {"target_latency_ms", 1000},
                        {"gap_aim_ms", 300},   {"priority", 1},
                        {"service", "engine"}, {"max_attempts", 2},
                        {"stages", stages}};
    store_.Put("op", "config",
               {{"version", 1}, {"services", services}, {"routes", {route}}});
    for (int n = 0; n < 2; ++n) {
      GatewayProcessOptions options;
      options.name = StrCat("front-", n);
      options.store = store_.address();
      options.retries = {1.0, 100000, 10 * kSecond};
      options.memory_megabytes = kMemoryMegabytes;
      gateways_.push_back(std::make_unique<GatewayProcess>(options));
      gateways_.back()->Start();
    }
  }

  bool WaitFor(const std::function<bool()>& condition) {
    const TimeUs end = Loop::Now() + kWaitTimeout;
    bool holds = condition();
    while (!holds && Loop::Now() < end) {
      loop_.After(kMillisecond, [this] { loop_.Quit(); });
      loop_.Run();
      holds = condition();
    }
    return holds;
  }
  std::unique_ptr<RawClient> Send(std::size_t gateway,
                                  const std::string& pieces) {
    return std::make_unique<RawClient>(
        &loop_, gateways_[gateway]->clients(),
        StrCat("POST /x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a", next_++,
               "\r\nDeadline-Ms: 20000\r\nModel: m\r\nPieces: ", pieces,
               "\r\nPiece-Key: k\r\nToken-Usage: 100,20\r\n"
               "Prompt-Prefix: aa:100\r\nContent-Length: 4\r\n\r\nbody"),
        [] {});
  }
  int Ask(std::size_t gateway, const std::string& pieces) {
    const auto client = Send(gateway, pieces);
    WaitFor([&] { return client->ended(); });
    return client->status();
  }
  bool Ready() {
    return WaitFor(
        [&] { return Ask(0, "1,1") == kHttpOk && Ask(1, "1,1") == kHttpOk; });
  }

  Loop loop_;
  StandinStore store_{&loop_};
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
  std::size_t next_ = 0;
};

// Guards against one request, with a head of 200 bytes, that ends the gateway
// that takes it and the one that batches its pieces, as each piece of a stage
// holds the results of all pieces of the stage before.
TEST_F(PieceMemoryTest, OneRequestWithManyPiecesIsServedWithinMemory) {
  ASSERT_TRUE(Ready());
  for (std::size_t n = 0; n < gateways_.size(); ++n) {
    std::vector<std::uint64_t> before;
    before.reserve(gateways_.size());
    for (const auto& it : gateways_) {
      before.push_back(it->MemoryBytes());
    }
    EXPECT_EQ(Ask(n, "750,1000"), kHttpOk);
    EXPECT_EQ(replicas_[1]->piece_inputs, 750U);
    EXPECT_EQ(replicas_[2]->inputs, 1000U);
    for (std::size_t k = 0; k < gateways_.size(); ++k) {
      EXPECT_LT(gateways_[k]->PeakMemoryBytes(), before[k] + kMaxGrowth);
    }
  }
}

// Guards against the same by many such requests at once: those that cannot be
// served in time, or find no memory, are refused as not run.
TEST_F(PieceMemoryTest, ACrowdOfSuchRequestsStaysWithinTheMachine) {
  constexpr int kRequests = 40;
  ASSERT_TRUE(Ready());
  std::vector<std::unique_ptr<RawClient>> clients;
  clients.reserve(kRequests);
  for (int n = 0; n < kRequests; ++n) {
    clients.push_back(Send(n % 2, "750,1000"));
  }
  for (const auto& it : clients) {
    ASSERT_TRUE(WaitFor([&] { return it->ended(); }));
    EXPECT_TRUE(it->status() == kHttpOk || it->status() == kHttpUnavailable)
        << it->status();
  }
  for (const auto& it : gateways_) {
    EXPECT_FALSE(it->Ended());
    EXPECT_LT(it->PeakMemoryBytes(), kMemoryBytes);
  }
  EXPECT_TRUE(Ready()) << "others are served afterwards";
}

}  // namespace
}  // namespace acaciachute
