// Process tests of real gateways, replicas of two software versions and clients
// that take broken streams up at any gateway.
#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
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
    if (attempt == nullptr) {
      listener_.Write(id,
                      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      listener_.Keep(id);
      return;
    }
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
  VersionFleet(Loop* loop, int gateways) : loop_(loop), store_(loop) {
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
    for (int n = 0; n < gateways; ++n) {
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
      head += StrCat("Last-Event-Id: ", *last_event, "\r\n");
    }
    if (!first_attempt.empty()) {
      head += StrCat("Resumes: ", first_attempt, "\r\n");
    }
    bool done = false;
    RawClient client(loop_, gateways_[gateway]->clients(), head + "\r\n",
                     [&] { done = true; });
    WaitFor(8 * kSecond, [&] { return done; });
    return client.status() == 200 ? client.body() : "";
  }

  // What a client has of its stream after some tries.
  struct Stream {
    std::set<std::string> versions;  // Of its events.
    std::optional<int> last;         // Event.
    std::string first;               // The attempt that brought the first one.
    int tries = 0;

    bool whole() const { return last.value_or(-1) == kEvents - 1; }
  };

  // One more try, for what is missing; returns whether it brought an event.
  bool Try(const std::string& name, std::size_t gateway, Stream* stream) {
    const std::string attempt = StrCat(name, "-", stream->tries++);
    const std::string body =
        Ask(gateway % gateways_.size(), attempt, stream->first, stream->last);
    for (std::size_t at = 0; (at = body.find("id: ", at)) != std::string::npos;
         ++at) {
      stream->last = body[at + 4] - '0';
      const std::size_t version = body.find("data: ", at) + 6;
      stream->versions.insert(body.substr(version, 2));
      stream->first = stream->first.empty() ? attempt : stream->first;
    }
    return !body.empty();
  }

  // Tries at gateways in turn until the stream is whole.
  Stream Get(int stream) {
    Stream out;
    while (out.tries < kMaxTries && !out.whole()) {
      const int gateway = stream + out.tries;
      Try(StrCat("s", stream), static_cast<std::size_t>(gateway), &out);
    }
    return out;
  }

  GatewayProcess& gateway(std::size_t n) {
    return *gateways_[n % gateways_.size()];
  }
  // Whether a new stream begins at the gateway.
  bool Serves(std::size_t gateway) {
    Stream out;
    return Try("probe", gateway, &out);
  }
  void Kill(std::size_t n) {
    gateway(n).Signal(SIGKILL);
    WaitFor(5 * kSecond, [&] { return gateway(n).Ended(); });
  }
  bool Start(std::size_t n) {
    gateway(n).Start();
    return WaitFor(10 * kSecond, [&] { return Serves(n); });
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
  VersionFleet fleet(&loop, 3);
  ASSERT_TRUE(fleet.WaitFor(10 * kSecond, [&] { return fleet.Serves(0); }));
  int mixed = 0;
  int begun = 0;
  int whole = 0;
  for (int n = 0; n < kStreams; ++n) {
    const VersionFleet::Stream stream = fleet.Get(n);
    mixed += stream.versions.size() > 1;
    begun += !stream.versions.empty();
    whole += stream.whole();
  }
  EXPECT_GT(begun, kStreams * 9 / 10);
  // A third of the replicas' answers are broken off, so after three tries a
  // tenth of the streams at most are not whole.
  EXPECT_GT(whole, kStreams * 4 / 5);
  EXPECT_LE(mixed, kMaxMixedStreams);
}

// Streams that were broken off, of which the client takes the rest up after
// something happened to the fleet.
struct TakenUp {
  int mixed = 0;
  int asked = 0;
  int went_on = 0;
};

// `harm` is called, with the gateway that began the stream, before the client
// goes on at the third one after it.
TakenUp TakeUpAfter(VersionFleet* fleet,
                    int streams,
                    const std::function<void(std::size_t)>& harm) {
  TakenUp out;
  for (int n = 0; out.asked < streams; ++n) {
    VersionFleet::Stream stream;
    const auto gateway = static_cast<std::size_t>(n);
    fleet->Try(StrCat("k", n), gateway, &stream);
    if (stream.whole() || !stream.last) {
      continue;
    }
    harm(gateway);
    ++out.asked;
    out.went_on += fleet->Try(StrCat("k", n), gateway + 2, &stream);
    out.mixed += stream.versions.size() > 1;
  }
  return out;
}

// Guards against knowledge that is lost with the gateway that had it: it is
// killed together with another one after the stream's first events.
TEST(VersionProcessTest, AStreamGoesOnAfterTwoGatewaysWereKilled) {
  constexpr int kTaken = 10;
  Loop loop;
  VersionFleet fleet(&loop, 5);
  for (std::size_t n = 0; n < 5; ++n) {
    ASSERT_TRUE(fleet.WaitFor(10 * kSecond, [&] { return fleet.Serves(n); }));
  }
  std::optional<std::size_t> down;
  const TakenUp taken = TakeUpAfter(&fleet, kTaken, [&](std::size_t gateway) {
    if (down) {
      fleet.Start(*down);
      fleet.Start(*down + 1);
    }
    fleet.Kill(gateway);
    fleet.Kill(gateway + 1);
    down = gateway;
  });
  EXPECT_EQ(taken.mixed, 0);
  EXPECT_GE(taken.went_on, kTaken / 2);
}

// Guards against knowledge that is lost when all gateways start again, one
// after the other.
TEST(VersionProcessTest, AStreamGoesOnAfterAllGatewaysWereRolled) {
  constexpr int kTaken = 4;
  constexpr std::size_t kGateways = 4;
  Loop loop;
  VersionFleet fleet(&loop, kGateways);
  for (std::size_t n = 0; n < kGateways; ++n) {
    ASSERT_TRUE(fleet.WaitFor(10 * kSecond, [&] { return fleet.Serves(n); }));
  }
  const TakenUp taken = TakeUpAfter(&fleet, kTaken, [&](std::size_t) {
    for (std::size_t n = 0; n < kGateways; ++n) {
      fleet.Kill(n);
      ASSERT_TRUE(fleet.Start(n));
      // Until the others tell it what they know.
      fleet.WaitFor(500 * kMillisecond, [] { return false; });
    }
  });
  EXPECT_EQ(taken.mixed, 0);
  EXPECT_GE(taken.went_on, kTaken / 2);
}

// Guards against going on without knowing: the client names an attempt that
// nobody knows, or none.
TEST(VersionProcessTest, AStreamOfUnknownVersionIsRefused) {
  Loop loop;
  VersionFleet fleet(&loop, 3);
  ASSERT_TRUE(fleet.WaitFor(10 * kSecond, [&] { return fleet.Serves(0); }));
  VersionFleet::Stream stream;
  stream.first = "never-sent";
  stream.last = 2;
  EXPECT_FALSE(fleet.Try("u", 0, &stream));
  stream.first = "";
  EXPECT_FALSE(fleet.Try("v", 1, &stream));
}

}  // namespace
}  // namespace acaciachute
