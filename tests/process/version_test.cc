// Process tests of real gateways, replicas of two software versions and clients
// that take broken streams up at any gateway.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "address_text.h"
#include "state/random.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/loopback.h"
#include "tests/soak/raw_client.h"
#include "tests/soak/raw_listener.h"
#include "tests/soak/standin_store.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kEvents = 8;
constexpr int kReplicasOfEach = 4;
constexpr int kGateways = 3;
constexpr int kStreams = 150;
constexpr int kMaxTries = 3;
// The users' rule.
constexpr int kMaxMixedStreams = 2;

// An engine whose events name its version. It breaks a third of its streams off
// after some events.
class VersionedReplica : public ListenerHandler {
 public:
  VersionedReplica(Loop* loop, std::string version)
      : version_(std::move(version)),
        address_(FreeAddress()),
        listener_(this, loop, address_) {}

  const std::string& version() const { return version_; }
  const Address& address() const { return address_; }

  void OnRequest(ExchangeId id, HttpRequestHead head, std::string) override {
    const std::string* attempt = FindField(head.fields, "Attempt-Id");
    const std::string* last = FindField(head.fields, "Last-Event-Id");
    const int next =
        last == nullptr ? 0 : ParseNumber<int>(*last).value_or(-1) + 1;
    const bool breaks = random_.Below(3) == 0;
    const int end =
        breaks ? next + 1 + static_cast<int>(random_.Below(3)) : kEvents;
    std::string answer =
        StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
               "Transfer-Encoding: chunked\r\nAttempt-Id: ", *attempt,
               "\r\nReplica-Seal: s\r\n\r\n");
    for (int n = next; n < std::min(end, kEvents); ++n) {
      const std::string event = StrCat("id: ", n, "\ndata: ", version_, "\n\n");
      answer += StrCat(HexSize(event.size()), "\r\n", event, "\r\n");
    }
    if (!breaks) {
      answer += "0\r\n\r\n";
    }
    listener_.Write(id, answer);
    breaks ? listener_.Close(id) : listener_.Keep(id);
  }
  void OnClientDisconnected(ExchangeId) override {}
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

 private:
  static std::string HexSize(std::size_t n) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    return {kDigits[n / 16 % 16], kDigits[n % 16]};
  }

  const std::string version_;
  const Address address_;
  RawListener listener_;
  Random random_{5};
};

class VersionFleet {
 public:
  explicit VersionFleet(Loop* loop) : loop_(loop), store_(loop) {
    for (int n = 0; n < 2 * kReplicasOfEach; ++n) {
      replicas_.push_back(std::make_unique<VersionedReplica>(
          loop, n < kReplicasOfEach ? "v1" : "v2"));
      const VersionedReplica& it = *replicas_.back();
      store_.Put("servers", StrCat("i-", n),
                 {{"service", "engine"},
                  {"address", AddressText(it.address())},
                  {"zone", "a"},
                  {"version", it.version()},
                  {"slots", 16},
                  {"cold_left_ms", 0},
                  {"call_seq", 0},
                  {"state", "ready"}});
    }
    const Json route = {{"name", "resumed"},     {"host", "h.example"},
                        {"prefix", "/resumed/"}, {"kind", "streaming"},
                        {"timeout_ms", 6000},    {"target_latency_ms", 2000},
                        {"gap_aim_ms", 300},     {"priority", 1},
                        {"service", "engine"},   {"max_attempts", 2},
                        {"stream_resume", true}};
    const Json service = {{"name", "engine"},
                          {"kv_capacity_tokens", 1000000},
                          {"slots", 64},
                          {"stride", 6}};
    store_.Put("op", "config",
               {{"version", 1},
                {"routes", {route}},
                {"services", {service}},
                {"tenants", Json::array()}});
    for (int n = 0; n < kGateways; ++n) {
      GatewayProcessOptions it;
      it.name = StrCat("front-", n);
      it.store = store_.address();
      gateways_.push_back(std::make_unique<GatewayProcess>(it));
      gateways_.back()->Start();
    }
  }

  bool WaitFor(DurationUs timeout, const std::function<bool()>& condition) {
    const TimeUs end = Loop::Now() + timeout;
    while (!condition() && Loop::Now() < end) {
      loop_->After(10 * kMillisecond, [this] { loop_->Quit(); });
      loop_->Run();
    }
    return condition();
  }

  // Sends one request and returns its answer's body.
  std::string Ask(std::size_t gateway,
                  const std::string& attempt,
                  const std::string& first_attempt,
                  std::optional<int> last_event) {
    std::string head = StrCat(
        "POST /resumed/x HTTP/1.1\r\nHost: h.example\r\n",
        "Connection: close\r\nContent-Length: 0\r\nAttempt-Id: ", attempt,
        "\r\nDeadline-Ms: 6000\r\nModel: m\r\n", "Token-Usage: 100,8\r\n");
    if (last_event) {
      head += StrCat("Last-Event-Id: ", *last_event,
                     "\r\nResumes: ", first_attempt, "\r\n");
    }
    bool done = false;
    RawClient client(loop_, gateways_[gateway]->clients(), head + "\r\n",
                     [&] { done = true; });
    WaitFor(8 * kSecond, [&] { return done; });
    return client.status() == 200 ? client.body() : "";
  }

  // Versions of the events that a client got over its tries, each of them at
  // the next gateway.
  std::set<std::string> VersionsOfStream(int stream) {
    std::set<std::string> versions;
    std::optional<int> last;
    std::string first;
    for (int n = 0; n < kMaxTries && last.value_or(-1) < kEvents - 1; ++n) {
      const std::string attempt = StrCat("s", stream, "-", n);
      const std::size_t gateway = static_cast<std::size_t>(stream + n) %
                                  static_cast<std::size_t>(kGateways);
      std::string body = Ask(gateway, attempt, first, last);
      for (std::size_t at = 0;
           (at = body.find("id: ", at)) != std::string::npos; ++at) {
        last = body[at + 4] - '0';
        const std::size_t version = body.find("data: ", at) + 6;
        versions.insert(body.substr(version, 2));
        first = first.empty() ? attempt : first;
      }
    }
    return versions;
  }

 private:
  Loop* const loop_;
  StandinStore store_;
  std::vector<std::unique_ptr<VersionedReplica>> replicas_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
};

// Guards against streams that hold events of two software versions, in one
// answer or over the tries of a client, each at another gateway.
TEST(VersionProcessTest, AStreamGoesOnAtTheVersionThatBeganIt) {
  Loop loop;
  VersionFleet fleet(&loop);
  ASSERT_TRUE(fleet.WaitFor(
      10 * kSecond, [&] { return !fleet.VersionsOfStream(-1).empty(); }));
  int mixed = 0;
  int with_events = 0;
  for (int n = 0; n < kStreams; ++n) {
    const std::size_t versions = fleet.VersionsOfStream(n).size();
    mixed += versions > 1;
    with_events += versions > 0;
  }
  EXPECT_GT(with_events, kStreams / 2);
  EXPECT_LE(mixed, kMaxMixedStreams);
}

}  // namespace
}  // namespace acaciachute
