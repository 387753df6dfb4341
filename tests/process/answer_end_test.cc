// Process tests of a real gateway whose replicas break their answers off at any
// byte, in any framing, by raw sockets on both sides.
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "address_text.h"
#include "tests/soak/answer_bytes.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/loopback.h"
#include "tests/soak/raw_client.h"
#include "tests/soak/raw_listener.h"
#include "tests/soak/standin_store.h"
#include "text.h"
#include "transport/http_channels.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr DurationUs kWaitTimeout = 20 * kSecond;
constexpr int kEvents = 4;
// Services whose only replica is a process that kills itself.
constexpr int kKilledReplicas = 6;

constexpr AnswerEnd kFramings[] = {AnswerEnd::kLength, AnswerEnd::kLastChunk,
                                   AnswerEnd::kClosed};

std::string EventText(int n) {
  return StrCat("id: ", n, "\ndata: part ", n, "\n\n");
}

// What a replica does with its answer to one attempt.
struct Play {
  std::string route;
  AnswerEnd framing = AnswerEnd::kLength;
  std::size_t cut = 0;      // The number of bytes that are sent.
  bool resets = false;      // Its connection instead of closing it in order.
  bool old_client = false;  // The client speaks HTTP/1.0.
  bool stalls = false;      // Sends nothing more instead of ending.
};

bool IsStream(const Play& play) {
  return play.route != "safe" && play.route != "unsafe";
}

// Parts of the body from event `next` on.
std::vector<std::string> PartsOf(const Play& play, int next) {
  std::vector<std::string> parts;
  if (!IsStream(play)) {
    return {"the answer ", "of the replica"};
  }
  for (int n = next; n < kEvents; ++n) {
    parts.push_back(EventText(n));
  }
  return parts;
}

std::string BodyOf(const Play& play) {
  std::string body;
  for (const auto& it : PartsOf(play, 0)) {
    body += it;
  }
  return body;
}

std::string AnswerOf(const Play& play, const std::string& attempt, int next) {
  return AnswerBytes(play.framing, kHttpOk,
                     {{"Attempt-Id", attempt}, {"Replica-Seal", "proof"}},
                     PartsOf(play, next));
}

bool IsWhole(const Play& play, const std::string& attempt) {
  return play.cut >= AnswerOf(play, attempt, 0).size();
}

// A replica that plays the first run of each attempt as told and every further
// run as a whole answer.
class PlayedReplica : public ListenerHandler {
 public:
  // `runs`: of each attempt, at all replicas.
  PlayedReplica(Loop* loop,
                const std::map<std::string, Play>* plays,
                std::map<std::string, int>* runs)
      : address(FreeAddress()),
        listener_(this, loop, address),
        plays_(plays),
        runs_(runs) {}

  void OnRequest(ExchangeId id, HttpRequestHead head, std::string) override {
    if (head.method == "GET" && head.target == "/report") {
      listener_.Write(id,
                      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      listener_.Keep(id);
      return;
    }
    const std::string attempt = *FindField(head.fields, "Attempt-Id");
    const auto it = plays_->find(attempt);
    ASSERT_NE(it, plays_->end());
    const std::string* last = FindField(head.fields, "Last-Event-Id");
    const int next = last == nullptr ? 0 : std::stoi(*last) + 1;
    const bool again = (*runs_)[attempt]++ > 0;
    const std::string answer = AnswerOf(it->second, attempt, next);
    const Play& play = it->second;
    const bool cut = !again && play.cut < answer.size();
    listener_.Write(id, cut ? answer.substr(0, play.cut) : answer);
    if (play.stalls) {
      return;
    }
    if (cut && play.resets) {
      listener_.Reset(id);
    } else if (cut || play.framing == AnswerEnd::kClosed) {
      listener_.Close(id);
    } else {
      listener_.Keep(id);
    }
  }
  void OnClientDisconnected(ExchangeId) override {}
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

  const Address address;

 private:
  RawListener listener_;
  const std::map<std::string, Play>* const plays_;
  std::map<std::string, int>* const runs_;
};

class AnswerEndTest : public ::testing::Test {
 protected:
  AnswerEndTest() {
    for (int n = 0; n < 3; ++n) {
      replicas_.push_back(
          std::make_unique<PlayedReplica>(&loop_, &plays_, &runs_));
      for (const char* service : {"app", "engine"}) {
        List(service, StrCat("i-", service, "-", n), replicas_.back()->address);
      }
    }
    Json services = {
        {{"name", "app"}, {"max_connections", 500}},
        {{"name", "engine"}, {"kv_capacity_tokens", 1000000}, {"slots", 64}}};
    Json resume = RouteOf("resume", "streaming", "engine");
    resume["stream_resume"] = true;
    Json routes = {RouteOf("safe", "safe", "app"),
                   RouteOf("unsafe", "unsafe", "app"),
                   RouteOf("stream", "streaming", "engine"), resume};
    for (int n = 0; n < kKilledReplicas; ++n) {
      const std::string name = StrCat("killed-", n);
      routes.push_back(RouteOf(name, "streaming", name));
      services.push_back(
          {{"name", name}, {"kv_capacity_tokens", 1000000}, {"slots", 64}});
    }
    store_.Put("op", "config",
               {{"version", 1}, {"routes", routes}, {"services", services}});
    GatewayProcessOptions options;
    options.name = "front-1";
    options.store = store_.address();
    // Enough for every retry that the test needs.
    options.retries = {1.0, 100000, 10 * kSecond};
    gateway_ = std::make_unique<GatewayProcess>(options);
    gateway_->Start();
  }

  ~AnswerEndTest() override {
    for (const auto& it : answer_files_) {
      g_remove(it.c_str());
    }
    for (const auto& it : killed_replicas_) {
      g_subprocess_force_exit(it.get());
    }
  }

  void List(const std::string& service,
            const std::string& id,
            const Address& address) {
    store_.Put("servers", id,
               {{"service", service},
                {"address", AddressText(address)},
                {"zone", "a"},
                {"version", "v1"},
                {"slots", 64},
                {"cold_left_ms", 0},
                {"call_seq", 0},
                {"state", "ready"}});
  }
  // Starts the process of a replica that sends `answer` and kills itself.
  void StartKilledReplica(const std::string& service, std::string_view answer) {
    const Address address = FreeAddress();
    const std::string file =
        StrCat(g_get_tmp_dir(), "/acaciachute-answer-", address.port);
    std::ofstream(file, std::ios::binary) << answer;
    killed_replicas_.emplace_back(
        g_subprocess_new(G_SUBPROCESS_FLAGS_NONE, nullptr,
                         ACACIACHUTE_BIN_DIR "/tests/standin-replica",
                         StrCat(address.port).c_str(), file.c_str(), nullptr));
    ASSERT_NE(killed_replicas_.back(), nullptr);
    answer_files_.push_back(file);
    List(service, StrCat("i-", service), address);
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
  // Waits until the gateway serves.
  bool Ready() {
    return WaitFor([this] {
      Play play;
      play.route = "safe";
      play.cut = SIZE_MAX;
      const auto answer = Run({play});
      return !answer.empty() && answer[0]->status() == kHttpOk;
    });
  }

  // Plays each of `plays`, all at once, and returns the clients' answers.
  std::vector<std::unique_ptr<RawClient>> Run(const std::vector<Play>& plays) {
    auto clients = Begin(plays);
    WaitFor([&] {
      return std::all_of(clients.begin(), clients.end(),
                         [](const auto& it) { return it->ended(); });
    });
    return clients;
  }
  std::vector<std::unique_ptr<RawClient>> Begin(
      const std::vector<Play>& plays) {
    std::vector<std::unique_ptr<RawClient>> clients;
    first_of_run_ = next_;
    for (const Play& it : plays) {
      const std::string attempt = StrCat("a", next_++);
      plays_[attempt] = it;
      const std::string request =
          StrCat("POST /", it.route, "/x HTTP/1.", it.old_client ? 0 : 1,
                 "\r\nHost: h.example\r\nAttempt-Id: ", attempt,
                 "\r\nDeadline-Ms: 7000\r\nModel: m\r\nToken-Usage: 100,20\r\n"
                 "Prompt-Prefix: aa:100\r\nContent-Length: 4\r\n\r\nbody");
      clients.push_back(std::make_unique<RawClient>(&loop_, gateway_->clients(),
                                                    request, [] {}));
    }
    return clients;
  }

  // Every cut of answers of `route` in `framing`.
  std::vector<Play> CutsOf(const std::string& route,
                           AnswerEnd framing,
                           bool resets,
                           bool old_client) {
    std::vector<Play> plays;
    Play play = {route, framing, 0, resets, old_client};
    const std::size_t size = AnswerOf(play, StrCat("a", next_), 0).size();
    for (play.cut = size; play.cut > 0; --play.cut) {
      plays.push_back(play);
    }
    return plays;
  }

  // Every cut of answers of these routes, in any framing, closed or reset, for
  // either kind of client.
  std::vector<Play> AllCutsOf(const std::vector<std::string>& routes) {
    std::vector<Play> plays;
    for (const auto& route : routes) {
      for (const AnswerEnd framing : kFramings) {
        for (const bool resets : {false, true}) {
          for (const bool old_client : {false, true}) {
            const auto some = CutsOf(route, framing, resets, old_client);
            plays.insert(plays.end(), some.begin(), some.end());
          }
        }
      }
    }
    return plays;
  }

  // Why the client's answer says more than the replica's; empty: it does not.
  std::string Judge(const Play& play,
                    const std::string& attempt,
                    const RawClient& client) const {
    const std::string whole = BodyOf(play);
    if (!client.ended()) {
      return "no end";
    }
    if (client.status() != kHttpOk) {
      return "";  // Replicas that fail often are avoided.
    }
    if (whole.compare(0, client.body().size(), client.body()) != 0) {
      return "other bytes than the replica's";
    }
    const bool short_body = client.body().size() < whole.size();
    if (client.end() == AnswerEnd::kBroken) {
      return IsWhole(play, attempt) ? "a whole answer was broken off" : "";
    }
    if (!short_body) {
      return "";
    }
    if (StatesComplete(client.end())) {
      return StrCat("a short body ends with ", Name(client.end()));
    }
    // Nothing tells the end of such an answer from a crash between two events.
    const bool unknown =
        play.framing == AnswerEnd::kClosed && !play.resets &&
        (!IsStream(play) || (client.body().ends_with("\n\n") &&
                             play.cut < AnswerOf(play, attempt, 0).size()));
    return unknown ? "" : "a short body ends with an orderly close";
  }

  void ExpectTruth(const std::vector<Play>& plays) {
    constexpr std::size_t kAtOnce = 40;
    std::size_t wrong = 0;
    for (std::size_t from = 0; from < plays.size(); from += kAtOnce) {
      const std::vector<Play> some(
          plays.begin() + static_cast<std::ptrdiff_t>(from),
          plays.begin() + static_cast<std::ptrdiff_t>(
                              std::min(from + kAtOnce, plays.size())));
      const auto clients = Run(some);
      for (std::size_t n = 0; n < some.size(); ++n) {
        const std::string attempt = StrCat("a", first_of_run_ + n);
        const std::string why = Judge(some[n], attempt, *clients[n]);
        if (!why.empty() && ++wrong <= 10) {
          ADD_FAILURE() << some[n].route << ", " << Name(some[n].framing)
                        << ", cut after " << some[n].cut << " of "
                        << AnswerOf(some[n], attempt, 0).size() << " bytes, "
                        << (some[n].resets ? "reset" : "closed")
                        << (some[n].old_client ? ", HTTP/1.0" : "") << ": "
                        << why << " after " << TextOf(*clients[n]);
        }
      }
    }
    EXPECT_EQ(wrong, 0U) << "of " << plays.size();
  }
  static std::string TextOf(const RawClient& it) {
    return StrCat(it.body().size(), " bytes, ", Name(it.end()), ", status ",
                  it.status());
  }

  Loop loop_;
  StandinStore store_{&loop_};
  std::map<std::string, Play> plays_;
  std::map<std::string, int> runs_;
  std::vector<std::unique_ptr<PlayedReplica>> replicas_;
  std::vector<GPtr<GSubprocess>> killed_replicas_;
  std::vector<std::string> answer_files_;
  std::unique_ptr<GatewayProcess> gateway_;
  std::size_t next_ = 0;
  std::size_t first_of_run_ = 0;
};

// Guards against a stream that its replica broke off, in whatever framing, and
// that its client gets as a complete one.
TEST_F(AnswerEndTest, AStreamBrokenOffIsNeverComplete) {
  ASSERT_TRUE(Ready());
  ExpectTruth(AllCutsOf({"stream", "resume"}));
}

// Guards against a plain answer whose length nobody stated, that was broken off
// and that its client gets with a length.
TEST_F(AnswerEndTest, APlainAnswerStatesNoLengthThatItsReplicaDidNot) {
  ASSERT_TRUE(Ready());
  ExpectTruth(AllCutsOf({"safe", "unsafe"}));
}

// Guards against whole answers that are refused, broken off or cut, and against
// resumable streams that end where their replica broke off.
TEST_F(AnswerEndTest, AWholeAnswerAndAResumedStreamReachTheirClients) {
  ASSERT_TRUE(Ready());
  std::vector<Play> plays;
  for (const char* route : {"safe", "unsafe", "stream", "resume"}) {
    for (const AnswerEnd framing : kFramings) {
      for (const bool old_client : {false, true}) {
        plays.push_back({route, framing, SIZE_MAX, false, old_client});
      }
    }
  }
  Play inside = {"resume", AnswerEnd::kClosed, 0, false, false};
  const std::string answer = AnswerOf(inside, "a99", 0);
  inside.cut = answer.size() - EventText(0).size() / 2;
  plays.push_back(inside);
  const auto clients = Run(plays);
  for (std::size_t n = 0; n < plays.size(); ++n) {
    const Play& play = plays[n];
    EXPECT_EQ(clients[n]->status(), kHttpOk) << play.route;
    EXPECT_EQ(clients[n]->body(), BodyOf(play)) << play.route;
    EXPECT_NE(clients[n]->end(), AnswerEnd::kBroken) << play.route;
    EXPECT_TRUE(StatesComplete(clients[n]->end()) ||
                play.framing == AnswerEnd::kClosed || play.old_client)
        << play.route;
  }
}

// Guards against a stream that looks complete because its replica's process was
// killed: in each framing, inside the last event and before it.
TEST_F(AnswerEndTest, AKilledReplicaCompletesNoStream) {
  std::vector<Play> plays;
  for (const AnswerEnd framing : kFramings) {
    for (const bool inside : {true, false}) {
      const std::string route = StrCat("killed-", plays.size());
      const Play play = {route, framing};
      const std::string answer = AnswerBytes(
          framing, kHttpOk, {{"Replica-Seal", "proof"}}, PartsOf(play, 0));
      const std::string last =
          BodyBytes(framing, EventText(kEvents - 1)) + EndBytes(framing);
      const std::size_t missing = inside ? last.size() / 2 : last.size();
      StartKilledReplica(route, answer.substr(0, answer.size() - missing));
      plays.push_back(play);
    }
  }
  ASSERT_EQ(plays.size(), static_cast<std::size_t>(kKilledReplicas));
  ASSERT_TRUE(Ready());
  ExpectTruth(plays);
  for (const auto& it : killed_replicas_) {
    ASSERT_TRUE(WaitFor(
        [&] { return g_subprocess_get_identifier(it.get()) == nullptr; }));
    EXPECT_TRUE(g_subprocess_get_if_signaled(it.get())) << "it did not run";
  }
}

// Guards against a stream to a client of HTTP/1.0, whose end is the orderly
// close, that looks complete because the gateway's process was killed.
TEST_F(AnswerEndTest, AKilledGatewayCompletesNoStream) {
  ASSERT_TRUE(Ready());
  std::vector<Play> plays;
  for (const AnswerEnd framing : kFramings) {
    for (const bool old_client : {false, true}) {
      Play play = {"stream", framing, 0, false, old_client, true};
      play.cut = AnswerOf(play, "a99", 0).size() - EventText(0).size();
      plays.push_back(play);
    }
  }
  const auto clients = Begin(plays);
  ASSERT_TRUE(WaitFor([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& it) { return !it->body().empty(); });
  }));
  gateway_->Signal(SIGKILL);
  ASSERT_TRUE(WaitFor([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& it) { return it->ended(); });
  }));
  for (std::size_t n = 0; n < plays.size(); ++n) {
    EXPECT_EQ(Name(clients[n]->end()), Name(AnswerEnd::kBroken))
        << Name(plays[n].framing) << ", HTTP/1." << !plays[n].old_client;
  }
}

}  // namespace
}  // namespace acaciachute
