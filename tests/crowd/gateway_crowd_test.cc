// A real gateway before clients that do not behave: it stays within the memory
// and the descriptors of its machine, and answers an ordinary request while
// the crowd still holds its connections.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "address_text.h"
#include "tests/crowd/crowd.h"
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
constexpr DurationUs kWaitTimeout = 20 * kSecond;
// The machine, and what its clients may send: a quarter of a front machine.
constexpr std::uint64_t kMemoryMegabytes = 64;
constexpr std::uint64_t kMemoryBytes = kMemoryMegabytes * 1'000'000;
constexpr std::uint32_t kMaxDescriptors = 700;
constexpr std::size_t kMaxBody = 1 << 20;
constexpr std::size_t kMaxHead = 16 << 10;
// Longer than a request may take to arrive, so that the next crowd comes.
constexpr DurationUs kPlayTime = 4 * kSecond;
constexpr DurationUs kSlowAnswerTime = 2 * kSecond;
constexpr std::size_t kOrdinaryBody = 100'000;

std::string Repeated(std::string_view text, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes) {
    out += text;
  }
  return out;
}

std::string HeadOf(std::string_view target, std::string_view fields) {
  return StrCat("POST ", target,
                " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c\r\n"
                "Deadline-Ms: 7000\r\n",
                fields, "\r\n");
}
std::string WithBody(std::string_view target, const std::string& body) {
  return HeadOf(target, StrCat("Content-Length: ", body.size(), "\r\n")) + body;
}
std::string Chunk(const std::string& bytes) {
  return WriteChunk(bytes);
}

std::vector<CrowdPlan> Crowds() {
  const std::string body(kMaxBody, 'b');
  const std::string chunked =
      HeadOf("/plain/x", "Transfer-Encoding: chunked\r\n");
  const std::string text = Repeated("x", 64 << 10);
  const std::string fields = Repeated("Name: value\r\n", 64 << 10);
  const std::string big = WithBody("/big/x", "4444");
  const std::string stated =
      HeadOf("/plain/x", StrCat("Content-Length: ", kMaxBody, "\r\n"));
  const std::string parts =
      Repeated(Chunk(std::string(16 << 10, 'c')), kMaxBody - (32 << 10));
  const std::string head = HeadOf("/plain/x", "");
  const std::string long_head =
      head.substr(0, head.size() - 2) + "Name: " + std::string(15 << 10, 'h');
  const std::string one_of_many =
      WithBody("/plain/x", std::string(8 << 10, 'm'));
  return {
      {"UnreadAnswers", 30, Repeated(big, 60 * big.size()), "", 0, false},
      {"ChunkExtensionsWithoutEnd", 60, chunked + "1;", text},
      {"ChunkSizesWithoutEnd", 60, chunked, Repeated("0", 64 << 10)},
      {"TrailerFieldsWithoutEnd", 60, chunked + "1\r\nx\r\n0\r\nName: ", text},
      {"TrailersWithoutEnd", 60, chunked + "1\r\nx\r\n0\r\n", fields},
      {"BodiesShortOfOneByte", 200, stated + body.substr(1), ""},
      {"WholeBodies", 200, WithBody("/slow/x", body), ""},
      {"BodiesThenReset", 200, WithBody("/slow/x", body), "", 0, true, true},
      {"ChunksShortOfOne", 120, chunked + parts, ""},
      {"ChunksOfOneByte", 120, chunked + parts, Chunk("x"), 20 * kMillisecond},
      {"StatedLengthsWithoutBody", 150, stated, ""},
      {"ContinueAwaited", 150,
       HeadOf("/plain/x", StrCat("Expect: 100-continue\r\nContent-Length: ",
                                 kMaxBody, "\r\n")),
       ""},
      {"ManyRequestsAtOnce", 150, Repeated(one_of_many, 3 << 20), ""},
      {"ManyRequestsAtOnceUnread", 150, Repeated(one_of_many, 3 << 20), "", 0,
       false},
      {"HeadsWithoutEnd", 400, long_head, ""},
      {"ConnectionsThatSendNothing", 400, "", ""},
  };
}

// Answers at length, slowly or at once, as the target says.
class CrowdReplica : public ListenerHandler {
 public:
  explicit CrowdReplica(Loop* loop)
      : loop_(loop), address(FreeAddress()), listener_(this, loop, address) {}

  void OnRequest(ExchangeId id, HttpRequestHead head, std::string) override {
    const std::string* name = FindField(head.fields, "Attempt-Id");
    const bool big = head.target.starts_with("/big/");
    const std::string body(big ? kMaxBody : 2, 'a');
    const std::string answer =
        StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", name == nullptr ? "" : *name,
               "\r\nReplica-Seal: s\r\nContent-Length: ", body.size(),
               "\r\n\r\n", body);
    const bool slow = head.target.starts_with("/slow/");
    RunAfter(loop_, slow ? kSlowAnswerTime : 0, alive_, [this, id, answer] {
      listener_.Write(id, answer);
      listener_.Keep(id);
    });
  }
  void OnClientDisconnected(ExchangeId) override {}
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

 private:
  Loop* const loop_;

 public:
  const Address address;

 private:
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
  RawListener listener_;
};

class GatewayCrowdTest : public ::testing::Test {
 protected:
  GatewayCrowdTest() {
    for (int n = 0; n < 3; ++n) {
      replicas_.push_back(std::make_unique<CrowdReplica>(&loop_));
      store_.Put("servers", StrCat("i-", n),
                 {{"service", "app"},
                  {"address", AddressText(replicas_.back()->address)},
                  {"zone", "a"},
                  {"version", "v1"},
                  {"slots", 64},
                  {"cold_left_ms", 0},
                  {"call_seq", 0},
                  {"state", "ready"}});
    }
    const Json limits = {{"max_header_bytes", kMaxHead},
                         {"max_body_bytes", kMaxBody},
                         {"header_timeout_ms", 3000},
                         {"idle_timeout_ms", 15000}};
    const Json services = {{{"name", "app"}, {"max_connections", 500}}};
    store_.Put(
        "op", "config",
        {{"version", 1},
         {"limits", limits},
         {"services", services},
         {"routes", {RouteOf("plain"), RouteOf("big"), RouteOf("slow")}}});
    GatewayProcessOptions options;
    options.name = "front-1";
    options.store = store_.address();
    options.memory_megabytes = kMemoryMegabytes;
    options.max_descriptors = kMaxDescriptors;
    gateway_ = std::make_unique<GatewayProcess>(options);
    gateway_->Start();
  }

  static Json RouteOf(const std::string& name) {
    return {{"name", name},
            {"host", "h.example"},
            {"prefix", StrCat("/", name, "/")},
            {"kind", "safe"},
            {"timeout_ms", 8000},
            {"target_latency_ms", 4000},
            {"priority", 1},
            {"service", "app"},
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
  // Sends a request on a connection of its own and returns its status; zero: no
  // answer.
  int Ask(const std::string& request) {
    RawClient client(&loop_, gateway_->clients(), request, [] {});
    WaitFor([&] { return client.ended(); });
    return client.end() == AnswerEnd::kBroken ? 0 : client.status();
  }
  int AskOrdinary() {
    return Ask(WithBody("/plain/x", std::string(kOrdinaryBody, 'o')));
  }
  bool Ready() {
    return WaitFor([&] { return AskOrdinary() == kHttpOk; });
  }
  std::unique_ptr<ProcessWatch> Watch() {
    return std::make_unique<ProcessWatch>(
        &loop_, gateway_->pid(),
        std::vector<std::uint16_t>{gateway_->clients().port,
                                   gateway_->readiness().port});
  }
  // Lets the crowd play, then expects that the process lives and stayed within
  // its machine.
  void Play(Crowd* crowd, const ProcessWatch& watch) {
    WaitFor([&] { return gateway_->Ended(); }, kPlayTime);
    crowd->Rest();
    EXPECT_FALSE(gateway_->Ended());
    EXPECT_LT(watch.peak_bytes(), kMemoryBytes);
    EXPECT_LT(watch.peak_descriptors(), kMaxDescriptors);
  }

  Loop loop_;
  StandinStore store_{&loop_};
  std::vector<std::unique_ptr<CrowdReplica>> replicas_;
  std::unique_ptr<GatewayProcess> gateway_;
};

class GatewayCrowdKindTest : public GatewayCrowdTest,
                             public ::testing::WithParamInterface<CrowdPlan> {};

// Guards against clients outside the limits that make a gateway hold more than
// its machine has, or that keep ordinary clients from being answered.
TEST_P(GatewayCrowdKindTest, StaysWithinItsMachineAndServesOn) {
  ASSERT_TRUE(Ready());
  const auto watch = Watch();
  Crowd crowd(&loop_, gateway_->clients(), GetParam());
  Play(&crowd, *watch);
  EXPECT_EQ(AskOrdinary(), kHttpOk);
  EXPECT_LT(watch->peak_bytes(), kMemoryBytes);
  RecordProperty("peak_bytes", static_cast<int>(watch->peak_bytes()));
  RecordProperty("opened", static_cast<int>(crowd.opened()));
}

INSTANTIATE_TEST_SUITE_P(Clients,
                         GatewayCrowdKindTest,
                         ::testing::ValuesIn(Crowds()),
                         [](const auto& it) { return it.param.name; });

class ReadinessCrowdTest : public GatewayCrowdTest,
                           public ::testing::WithParamInterface<CrowdPlan> {};

std::vector<CrowdPlan> ReadinessCrowds() {
  const std::string body(4 << 20, 'b');
  const std::string metrics =
      "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n";
  return {
      {"BodiesShortOfOneByte", 60,
       HeadOf("/readyz", StrCat("Content-Length: ", body.size(), "\r\n")) +
           body.substr(1),
       ""},
      {"TrailersWithoutEnd", 20,
       HeadOf("/readyz", "Transfer-Encoding: chunked\r\n") + "0\r\n",
       Repeated("Name: value\r\n", 64 << 10)},
      {"UnreadAnswers", 60, Repeated(metrics, 2000 * metrics.size()), "", 0,
       false},
      {"ConnectionsThatSendNothing", 800, "", ""},
  };
}

// Guards against the same at the port of the balancer and the operators: the
// balancer still learns that the gateway is ready, and clients are served.
TEST_P(ReadinessCrowdTest, StaysWithinItsMachineAndServesOn) {
  ASSERT_TRUE(Ready());
  const auto watch = Watch();
  Crowd crowd(&loop_, gateway_->readiness(), GetParam());
  Play(&crowd, *watch);
  RawClient check(&loop_, gateway_->readiness(),
                  "GET /readyz HTTP/1.1\r\nHost: h.example\r\n\r\n", [] {});
  WaitFor([&] { return check.ended(); });
  EXPECT_EQ(check.status(), kHttpOk);
  EXPECT_EQ(AskOrdinary(), kHttpOk);
  EXPECT_LT(watch->peak_bytes(), kMemoryBytes);
  RecordProperty("peak_bytes", static_cast<int>(watch->peak_bytes()));
}

INSTANTIATE_TEST_SUITE_P(Clients,
                         ReadinessCrowdTest,
                         ::testing::ValuesIn(ReadinessCrowds()),
                         [](const auto& it) { return it.param.name; });

// Guards against limits that refuse what the pages allow: the longest body, in
// chunks of any size, with extensions and trailers as long as a head.
TEST_F(GatewayCrowdTest, AnswersSingleRequestsWithinTheLimits) {
  ASSERT_TRUE(Ready());
  const std::string body(kMaxBody, 'b');
  const std::string chunked =
      HeadOf("/plain/x", "Transfer-Encoding: chunked\r\n");
  const std::string longest(kMaxHead - (1 << 10), 'l');
  EXPECT_EQ(Ask(WithBody("/plain/x", body)), kHttpOk);
  EXPECT_EQ(Ask(WithBody("/big/x", body)), kHttpOk);
  EXPECT_EQ(Ask(chunked + Repeated(Chunk("x"), 6 * kMaxBody) + "0\r\n\r\n"),
            kHttpOk);
  EXPECT_EQ(Ask(chunked + Chunk(body) + "0\r\n\r\n"), kHttpOk);
  EXPECT_EQ(Ask(chunked + "1;" + longest + "\r\nx\r\n0\r\n\r\n"), kHttpOk);
  EXPECT_EQ(Ask(chunked + "1\r\nx\r\n0\r\nName: " + longest + "\r\n\r\n"),
            kHttpOk);
  EXPECT_EQ(Ask(HeadOf("/plain/x",
                       StrCat("Name: ", longest, "\r\nContent-Length: 0\r\n"))),
            kHttpOk);
}

}  // namespace
}  // namespace acaciachute
