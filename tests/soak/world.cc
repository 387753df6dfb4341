#include "tests/soak/world.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "address_text.h"
#include "tests/soak/loopback.h"
#include "tests/soak/raw_client.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kTooMany = 429;
constexpr int kRefused = 503;
constexpr std::uint32_t kMaxAttempts = 2;
constexpr char kAccount[] = "acme";
constexpr char kApiKey[] = "key-of-acme";
constexpr int kPieces = 4;
constexpr int kDeadlineMs = 6000;
constexpr int kChatEvents = 8;
constexpr std::size_t kChatSlots = 4;
// If replicas draw their answers, one in this many requests is HTTP/1.0.
constexpr std::uint64_t kHttp10Period = 4;
// The same: of the answers of each replica that keep their connection.
constexpr int kLateCopyPeriod = 9;

constexpr ReplicaWork kPlainWork = {ReplicaWork::Kind::kPlain,
                                    15 * kMillisecond, 0, 0};

Json RouteJson(const std::string& name,
               const std::string& kind,
               const std::string& service) {
  return {{"name", name},
          {"host", "h.example"},
          {"prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", kDeadlineMs},
          {"target_latency_ms", 2000},
          {"gap_aim_ms", 300},
          {"priority", 1},
          {"service", service},
          {"max_attempts", kMaxAttempts}};
}

Json Stages() {
  return {{{"service", "first"}, {"after", Json::array()}, {"bytes", 8000}},
          {{"service", "second"}, {"after", {0}}, {"bytes", 60000}}};
}

Json BatchLimits() {
  return {{"slots", 1},       {"queue", 2},         {"batch", 20},
          {"call_ms", 240.0}, {"item_ms", 5.0},     {"room_mb", 20.0},
          {"handle_s", 4.0},  {"link_mbps", 1000.0}};
}

// The body of the whole answer to `attempt`.
std::string ExpectedBody(const std::string& attempt, bool stream, int events) {
  if (!stream) {
    return StrCat("answer to ", attempt);
  }
  std::string body;
  for (int n = 0; n < events; ++n) {
    body += StandinReplica::EventText(attempt, n);
  }
  return body;
}

// The name of the process that replaces the one named `id`.
std::string NextId(const std::string& id) {
  const auto dash = id.rfind('-');
  const int incarnation =
      ParseNumber<int>(std::string_view(id).substr(dash + 1)).value_or(0);
  return StrCat(id.substr(0, dash), "-", incarnation + 1);
}

}  // namespace

// Receives and checks the answer to one attempt.
class World::Client : public CallSink {
 public:
  // `crash_key`: what ends replicas in the request, or its body. `send_again`
  // is called if the attempt is refused.
  Client(World* world,
         std::string id,
         bool stream,
         int events,
         std::string crash_key,
         std::function<void()> send_again)
      : world_(world),
        id_(std::move(id)),
        stream_(stream),
        events_(events),
        crash_key_(std::move(crash_key)),
        send_again_(std::move(send_again)) {}

  // Sends `request` on a connection of its own as HTTP/1.0.
  void SendAsHttp10(const Address& gateway, const ChannelRequest& request) {
    HttpFields fields = request.fields;
    fields.push_back({"Content-Length", StrCat(request.body.size())});
    std::string head = WriteRequestHead(request.method, request.target, fields);
    head.replace(head.find("HTTP/1.1"), 8, "HTTP/1.0");
    http10_ = std::make_unique<RawClient>(
        world_->loop_, gateway, StrCat(head, request.body.view()), [this] {
          // Not from inside the client's own callback.
          RunAfter(world_->loop_, 0, alive_, [this] { EndHttp10(); });
        });
  }

  void OnAnswerHead(CallId, const HttpAnswerHead& head) override {
    status_ = head.status;
    fields_ = head.fields;
  }
  void OnAnswerBody(CallId, std::string_view bytes) override {
    if (body_.empty() && status_ == kOk) {
      world_->first_byte_times_.push_back(Loop::Now() - sent_at_);
    }
    body_ += bytes;
  }
  void OnAnswerEnd(CallId, AnswerEnd end) override { End(end); }
  void OnCallFailed(CallId, const CallFailure&) override {
    End(AnswerEnd::kBroken);
  }

 private:
  void EndHttp10() {
    status_ = http10_->status();
    fields_ = http10_->fields();
    body_ = http10_->body();
    End(http10_->end());
  }

  std::string Problem(const std::string& expected, AnswerEnd end) const {
    const std::string* id = FindField(fields_, "Attempt-Id");
    if (id == nullptr || *id != id_) {
      return "got an answer with a wrong Attempt-Id";
    }
    if (FindField(fields_, "Replica-Seal") == nullptr) {
      return "got a 200 without a Replica-Seal";
    }
    if (expected.compare(0, body_.size(), body_) != 0) {
      return "got a 200 with a body that its replicas did not make";
    }
    if (stream_ && end != AnswerEnd::kBroken && !body_.ends_with("\n\n")) {
      return "got a stream that ends inside an event";
    }
    return "";
  }

  void End(AnswerEnd end) {
    if (status_ == kRefused && body_.find("crashes_replicas") != body_.npos) {
      world_->ledger_.crashes().OnRefused(crash_key_);
    }
    const std::string expected = ExpectedBody(id_, stream_, events_);
    world_->ledger_.OnEnded(Loop::Now(), id_, status_, end, body_ == expected,
                            status_ == kOk ? Problem(expected, end) : "");
    const bool refused = status_ == kRefused || status_ == kTooMany;
    const auto send_again = refused ? send_again_ : nullptr;
    world_->clients_.erase(id_);  // Deletes `this`.
    if (send_again) {
      send_again();
    }
  }

  World* const world_;
  const std::string id_;
  const bool stream_;
  const int events_;  // Of a whole stream.
  const std::string crash_key_;
  const std::function<void()> send_again_;
  const TimeUs sent_at_ = Loop::Now();
  std::unique_ptr<RawClient> http10_;
  int status_ = 0;
  HttpFields fields_;
  std::string body_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

World::World(Loop* loop, const WorldOptions& options)
    : loop_(loop),
      options_(options),
      ledger_(options.retries),
      store_(loop),
      channels_(loop) {
  channels_.SetEventHandler([this](const ChannelEvent& event) {
    if (event.kind == ChannelEvent::Kind::kForeignAnswer) {
      ledger_.OnViolation(StrCat("got the answer to ", event.received),
                          event.expected);
    }
  });
  const auto ms = [](int n) { return n * kMillisecond; };
  AddReplicas("plain", kPlainWork, options.plain_replicas);
  AddReplicas("first", {ReplicaWork::Kind::kStage, ms(260), 0, 0},
              options.stage_replicas);
  AddReplicas("second", {ReplicaWork::Kind::kStage, ms(260), 0, 0},
              options.stage_replicas);
  AddReplicas("engine",
              {ReplicaWork::Kind::kEngine, ms(50), ms(20), options.events},
              options.engines);
  AddReplicas("chat",
              {ReplicaWork::Kind::kEngine, ms(20), options.chat_event_interval,
               kChatEvents, kChatSlots},
              options.chat_engines);
  WriteConfig();
  for (int n = 0; n < options.gateways; ++n) {
    GatewayProcessOptions it;
    it.name = StrCat("front-", n);
    store_links_.push_back(std::make_unique<Relay>(store_.address().port));
    it.store = {"127.0.0.1", store_links_.back()->port()};
    it.retries = options.retries;
    if (!options.log_folder.empty()) {
      it.log = StrCat(options.log_folder, "/", it.name, ".log");
    }
    gateways_.push_back(std::make_unique<GatewayProcess>(it));
  }
}
World::~World() = default;

void World::AddReplicas(const std::string& service,
                        const ReplicaWork& work,
                        int n) {
  for (int k = 0; k < n; ++k) {
    replicas_.push_back(std::make_unique<StandinReplica>(
        loop_, StrCat("i-", service, "-", k, "-1"), service, work, &ledger_));
    service_by_address_[AddressText(replicas_.back()->address())] = service;
    StandinReplica* replica = replicas_.back().get();
    replica->SetCrashHandler(
        [this, replica](const std::string& key, bool resets) {
          ledger_.crashes().OnDied(Loop::Now(), key);
          const bool silent = key.starts_with(
              StrCat(StandinReplica::kCrashingBody, StandinReplica::kSilent));
          if (!silent) {
            EndReplica(replica, resets);
            return;
          }
          replica->FallSilent();
          RunAfter(loop_, kSilentTime, alive_,
                   [this, replica, resets] { EndReplica(replica, resets); });
        });
    if (options_.answer_seed) {
      replicas_.back()->SetLateCopies(kLateCopyPeriod);
      replicas_.back()->DrawAnswers(*options_.answer_seed + replicas_.size(),
                                    options_.framing);
    }
    WriteReplicaRow(*replicas_.back(), false);
  }
}

void World::WriteReplicaRow(const StandinReplica& replica, bool leaving) {
  const std::string address = AddressText(replica.address());
  store_.Put("servers", replica.id(),
             {{"service", service_by_address_.at(address)},
              {"address", address},
              {"zone", "a"},
              {"version", "v1"},
              {"slots", replica.service() == "chat" ? kChatSlots : 16},
              {"cold_left_ms", 0},
              {"call_seq", 0},
              {"state", leaving ? "draining" : "ready"}});
}

void World::RemoveReplicaRow(const StandinReplica& replica) {
  store_.Remove("servers", replica.id());
}

void World::EndReplica(StandinReplica* replica, bool resets) {
  if (replica->down()) {
    return;
  }
  const std::string id = replica->id();
  replica->GoDown(resets);
  DurationUs down_time = kDownTime;
  if (replica->service() == "chat") {
    constexpr int kDownTimes = 5;
    down_time = kChatDownTime +
                kChatDownTime / 2 * (chat_ends_++ % kDownTimes) / kDownTimes;
  }
  RunAfter(loop_, down_time, alive_, [this, replica, id] {
    replica->ComeBack(NextId(id));
    WriteReplicaRow(*replica, false);
  });
  RunAfter(loop_, kRowLifetime, alive_,
           [this, id] { store_.Remove("servers", id); });
}

void World::GiveAddressToPlain(StandinReplica* silent) {
  silent->GoDown(true);
  replicas_.push_back(std::make_unique<StandinReplica>(
      loop_, StrCat(silent->id(), "-plain"), "plain", kPlainWork, &ledger_,
      silent->address()));
  StandinReplica* next = replicas_.back().get();
  RunAfter(loop_, kRowDelay, alive_, [this, silent, next] {
    RemoveReplicaRow(*silent);
    service_by_address_[AddressText(next->address())] = next->service();
    WriteReplicaRow(*next, false);
  });
}

void World::CrashReplica(std::size_t n) {
  StandinReplica& replica = *replicas_[n];
  RemoveReplicaRow(replica);
  replica.Crash(NextId(replica.id()));
  WriteReplicaRow(replica, false);
}

void World::WriteConfig() {
  Json staged = RouteJson("staged", "streaming", "engine");
  staged["stages"] = Stages();
  Json resumed = RouteJson("resumed", "streaming", "engine");
  resumed["stages"] = Stages();
  resumed["stream_resume"] = true;
  Json chat_resumed = RouteJson("chat-resumed", "streaming", "chat");
  chat_resumed["stream_resume"] = true;
  const Json services = {{{"name", "plain"}, {"max_connections", 500}},
                         {{"name", "first"}, {"pieces", BatchLimits()}},
                         {{"name", "second"}, {"pieces", BatchLimits()}},
                         {{"name", "engine"},
                          {"kv_capacity_tokens", 1000000},
                          {"slots", 64},
                          {"stride", 6}},
                         {{"name", "chat"},
                          {"kv_capacity_tokens", 1000000},
                          {"slots", kChatSlots},
                          {"stride", 6}}};
  store_.Put("op", "config",
             {{"version", ++version_},
              {"routes",
               {RouteJson("unsafe", "unsafe", "plain"),
                RouteJson("safe", "safe", "plain"), staged, resumed,
                RouteJson("chat-unsafe", "unsafe", "chat"),
                RouteJson("chat-safe", "safe", "chat"), chat_resumed}},
              {"services", services},
              {"tenants", {{{"name", kAccount}, {"api_keys", {kApiKey}}}}}});
}

bool World::Start() {
  for (auto& it : gateways_) {
    it->Start();
  }
  return WaitUntilReady();
}

bool World::WaitUntilReady() {
  for (std::size_t n = 0; n < gateways_.size(); ++n) {
    if (!WaitFor(10 * kSecond, [&] { return ReadinessStatus(n) == kOk; })) {
      return false;
    }
  }
  return true;
}

bool World::WaitFor(DurationUs timeout,
                    const std::function<bool()>& condition) {
  const TimeUs end = Loop::Now() + timeout;
  bool holds = condition();
  while (!holds && Loop::Now() < end) {
    loop_->After(10 * kMillisecond, [this] { loop_->Quit(); });
    loop_->Run();
    holds = condition();
  }
  return holds;
}

int World::ReadinessStatus(std::size_t gateway) {
  struct Answer : CallSink {
    void OnAnswerHead(CallId, const HttpAnswerHead& head) override {
      status = head.status;
    }
    void OnAnswerBody(CallId, std::string_view) override {}
    void OnAnswerEnd(CallId, AnswerEnd) override { ended = true; }
    void OnCallFailed(CallId, const CallFailure&) override { ended = true; }
    int status = 0;
    bool ended = false;
  } answer;
  ChannelRequest request;
  request.target = "/readyz";
  request.fields = {{"Host", "h"}};
  ChannelOptions options;
  options.total = 500 * kMillisecond;
  const CallId id = channels_.Start(gateways_[gateway]->readiness(), request,
                                    options, &answer);
  WaitFor(kSecond, [&] { return answer.ended; });
  channels_.Cancel(id);
  return answer.status;
}

void World::AddCrashingPart(const std::string& part) {
  for (auto& it : replicas_) {
    if (it->service() == "chat") {
      it->AddCrashingPart(part);
    }
  }
}

void World::Send(const ClientCall& call) {
  const std::string id = StrCat("c", ++next_id_);
  const bool chat = call.route.starts_with("chat-");
  const bool staged = call.route == "staged" || call.route == "resumed";
  const bool stream = staged || call.route == "chat-resumed";
  ChannelRequest request;
  request.method = "POST";
  request.target = "/" + call.route + "/x";
  request.fields = {{"Host", "h.example"},
                    {"Attempt-Id", id},
                    {"Deadline-Ms", StrCat(call.deadline / kMillisecond)},
                    {"Authorization", StrCat("Bearer ", kApiKey)}};
  request.echo = HttpField{"Attempt-Id", id};
  if (chat || staged) {
    request.fields.push_back({"Model", "m"});
    request.fields.push_back({"Token-Usage", "1200,300"});
    request.fields.push_back({"Prompt-Prefix", call.prompt});
  }
  if (staged) {
    request.fields.push_back({"Pieces", StrCat("1,", kPieces)});
    request.fields.push_back({"Piece-Key", id});
  }
  request.body = call.body;
  LedgerEntry entry;
  entry.route = call.route;
  entry.account = kAccount;
  entry.gateway = call.gateway;
  entry.idempotent = call.route != "unsafe" && call.route != "chat-unsafe" &&
                     call.route != "staged";
  entry.sent_at = Loop::Now();
  entry.deadline = call.deadline;
  entry.max_attempts = kMaxAttempts;
  entry.beside = call.beside;
  const std::vector<std::string> services =
      staged ? std::vector<std::string>{"first", "second", "engine"}
             : std::vector<std::string>{chat ? "chat" : "plain"};
  ledger_.OnSent(id, entry, services);
  ChannelOptions options;
  options.total =
      call.leaves_after > 0 ? call.leaves_after : call.deadline + kSecond;
  options.max_idle_time = call.keeps_connection ? kSecond : 0;
  std::function<void()> send_again;
  if (call.client_retries > 0) {
    send_again = [this, again = call] {
      ClientCall next = again;
      next.gateway = (next.gateway + 1) % gateways_.size();
      --next.client_retries;
      Send(next);
    };
  }
  auto client = std::make_unique<Client>(
      this, id, stream, chat ? kChatEvents : options_.events,
      call.crash_key.empty() ? call.body : call.crash_key,
      std::move(send_again));
  Client* sink = client.get();
  clients_[id] = std::move(client);
  const Address& address = gateways_[call.gateway]->clients();
  if (options_.answer_seed && next_id_ % kHttp10Period == 0) {
    sink->SendAsHttp10(address, request);
  } else {
    channels_.Start(address, request, options, sink);
  }
}

}  // namespace acaciachute
