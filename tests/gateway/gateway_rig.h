// Test fixture: a `Gateway` whose output is recorded, with a replica directory
// and a piece dispatcher that the test controls.
#ifndef ACACIACHUTE_TESTS_GATEWAY_GATEWAY_RIG_H_
#define ACACIACHUTE_TESTS_GATEWAY_GATEWAY_RIG_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/gateway/gateway.h"
#include "state/metrics.h"
#include "state/random.h"
#include "tests/gateway/quiet_log.h"

namespace acaciachute {

struct GatewayRig : GatewayOutput, PieceDispatcher, DirectoryWatcher {
  struct Sent {
    CallId call = 0;
    ReplicaId replica;
    DurationUs time_left = 0;
    std::string account;
    std::vector<std::string> inputs;
    std::optional<std::uint64_t> resume_after;
    bool may_repeat = false;
    std::optional<std::size_t> max_idle_connections;
  };

  // Retry budgets, which are empty at the start, are full after this time.
  static constexpr DurationUs kRetryBudgetFillTime = 20 * kSecond;

  explicit GatewayRig(GatewayOptions options = {})
      : core(std::move(options),
             this,
             this,
             &directory,
             &random,
             &metrics,
             &log) {
    Configure(1);
    core.SetKnownGateways({"g1"});
    now += kRetryBudgetFillTime;
    core.OnConfirmed(now);
    // Requests with stages are refused unless the stage service has a replica.
    AddReplica("maker-0", "maker");
  }

  // Routes /plain/, /repeat/, /stream/, /resume/, /staged/ and /open/ on one
  // host, with an account whose key is "k1".
  static std::shared_ptr<ServingConfig> Config(std::uint64_t version) {
    auto config = std::make_shared<ServingConfig>();
    config->version = version;
    const auto add = [&](const std::string& name, RouteKind kind,
                         const std::string& service) -> Route {
      Route route;
      route.name = name;
      route.host = "h.example";
      route.prefix = "/" + name + "/";
      route.kind = kind;
      route.timeout = 10 * kSecond;
      route.target = kSecond;
      route.split = {{service, 1}};
      route.max_attempts = 2;
      return route;
    };
    config->AddRoute(add("plain", RouteKind::kNonIdempotent, "app"));
    config->AddRoute(add("repeat", RouteKind::kIdempotent, "app"));
    config->AddRoute(add("stream", RouteKind::kStream, "engine"));
    Route resume = add("resume", RouteKind::kStream, "engine");
    resume.resumable = true;
    config->AddRoute(resume);
    Route staged = add("staged", RouteKind::kStream, "engine");
    staged.stages = {{"maker", {}, 8000}, {"maker", {0}, 60000}};
    config->AddRoute(staged);
    Route open = add("open", RouteKind::kNonIdempotent, "app");
    open.anonymous = true;
    config->AddRoute(open);
    Service engine;
    engine.name = "engine";
    engine.engine = EngineLimits{};
    engine.cold_start = 3 * kSecond;
    engine.cold_rate = 2;
    config->AddService(engine);
    Service maker;
    maker.name = "maker";
    maker.batching = BatchLimits{
        1, 2, 10, 240 * kMillisecond, 5 * kMillisecond, 1 << 24, 4 * kSecond};
    config->AddService(maker);
    config->AddService({"app", 50, {}, {}});
    config->AddAccount({"acme", {}}, {"k1"});
    return config;
  }

  void Configure(std::uint64_t version) { core.OnConfig(Config(version)); }

  void AddReplica(const ReplicaId& id,
                  const std::string& service,
                  const std::string& domain = "a",
                  TimeUs cold_until = 0) {
    ReplicaEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = {"10.0.0." + std::to_string(++last_host), 80};
    entry.domain = domain;
    entry.cold_until = cold_until;
    entry.slots = 8;
    directory.Put(entry);
  }

  ExchangeId Call(const std::string& route,
                  const std::string& key = "k1",
                  std::vector<std::uint32_t> pieces = {}) {
    ClientRequest call;
    call.pieces = std::move(pieces);
    return Send(route, key, std::move(call));
  }
  // The client has the events of a stream up to `last`, which began at the
  // version of the replicas here.
  ExchangeId CallAfter(const std::string& route, std::uint64_t last) {
    core.OnStreamOrigins({{{"began", "acme", "engine", "", 0}}});
    ClientRequest call;
    call.resume_after = last;
    call.resumed_attempt = "began";
    return Send(route, "k1", std::move(call));
  }
  // A prompt with these parts and, at its end, one of its own. Its body is its
  // own too.
  ExchangeId Prompt(const std::string& route,
                    const std::vector<std::string>& parts,
                    const std::string& own_part = "own") {
    ClientRequest call;
    for (const std::string& it : parts) {
      call.prompt.push_back({it, 100});
    }
    call.prompt.push_back({own_part, 50});
    call.body = "body " + std::to_string(last_exchange + 1);
    return Send(route, "k1", std::move(call));
  }
  // `elapsed`: of the client's deadline.
  ExchangeId Send(const std::string& route,
                  const std::string& key,
                  ClientRequest call,
                  DurationUs elapsed = 0) {
    const ExchangeId id = ++last_exchange;
    call.id = "c" + std::to_string(id);
    call.method = "POST";
    call.host = "h.example";
    call.target = "/" + route + "/x";
    call.key = key;
    call.deadline = 10 * kSecond - elapsed;
    call.prompt_tokens = 100;
    call.piece_key = "source";
    core.OnCall(id, call);
    return id;
  }

  // The replicas that this number of calls are sent to.
  std::set<std::string> ReplicasUsed(const std::string& route, int calls) {
    const std::size_t before = sent.size();
    for (int n = 0; n < calls; ++n) {
      Call(route);
    }
    std::set<std::string> used;
    for (std::size_t n = before; n < sent.size(); ++n) {
      used.insert(sent[n].replica.name);
    }
    return used;
  }

  // The head of an answer that the replica produced itself.
  static ReplicaHead Head(int status = 200) {
    ReplicaHead head;
    head.status = status;
    head.sealed = true;
    return head;
  }
  void AnswerWith(CallId call,
                  const ReplicaHead& head,
                  const std::string& body = "") {
    core.OnReplicaHead(call, head);
    if (!body.empty()) {
      core.OnReplicaBody(call, body);
    }
    core.OnReplicaEnd(call, head.expected_end);
  }
  // The head of an answer in which the replica states that it did not run the
  // request.
  static ReplicaHead NotRun(int status = 503) {
    ReplicaHead head;
    head.status = status;
    head.not_run = true;
    return head;
  }
  // Advances the clock and runs one tick.
  void Pass(DurationUs time) {
    now += time;
    core.OnTick();
  }
  // Reports the piece as made, with its result stored under `handle`.
  void Made(const PieceTask& task, const std::string& handle) {
    core.OnPiece({task.key, PieceOutcome::kMade, handle});
  }

  // GatewayOutput:
  TimeUs Now() override { return now; }
  void Refuse(ExchangeId id, const LocalReply& answer) override {
    refused[id] = answer;
  }
  AnswerEnd Answer(ExchangeId id,
                   const ReplicaHead& head,
                   const SharedBytes& body,
                   AnswerEnd end) override {
    answered[id] = {head.status, std::string(body.view())};
    client_ends[id] = end;
    return end;
  }
  AnswerEnd BeginStream(ExchangeId id, const ReplicaHead& head) override {
    streams[id] = "";
    return StatesComplete(head.expected_end) ? AnswerEnd::kLastChunk
                                             : AnswerEnd::kClosed;
  }
  void StreamData(ExchangeId id, std::string_view bytes) override {
    streams[id] += bytes;
  }
  AnswerEnd EndStream(ExchangeId id, AnswerEnd end) override {
    (end == AnswerEnd::kBroken ? broken : ended).push_back(id);
    client_ends[id] = end;
    return end;
  }
  std::size_t Unsent(ExchangeId id) override { return unsent; }
  void SetCollected(ExchangeId id, std::size_t bytes) override {
    collected[id] = bytes;
  }
  CallId Send(const AttemptRequest& attempt) override {
    sent.push_back({++last_call, attempt.replica, attempt.time_left,
                    attempt.account, attempt.inputs, attempt.resume_after,
                    attempt.may_repeat, attempt.max_idle_connections});
    return last_call;
  }
  void Cancel(CallId id) override { cancelled.push_back(id); }
  bool CancelIfUnsent(CallId id) override {
    if (connecting.erase(id) == 0) {
      return false;
    }
    Cancel(id);
    return true;
  }
  void ProbeReplica(const ReplicaId& replica, const Address&) override {
    probed.push_back(replica);
  }
  void AskReplicaStart(const ReplicaId& replica, const Address&) override {
    asked_start.push_back(replica);
  }
  void SetReading(CallId id, bool reading) override { paused[id] = !reading; }
  std::vector<NodeId> LivePeers() override { return peers; }
  void SendDatagram(const NodeId& peer, const Message& message) override {
    const bool of_versions =
        std::holds_alternative<ServiceVersionReport>(message);
    (of_versions ? version_datagrams : datagrams).emplace_back(peer, message);
  }
  void RecordVersion(const ServiceVersion& version) override {
    if (store_answers) {
      recorded.push_back(version);
    }
    core.OnVersionRecorded(version, store_answers);
  }
  void ReadVersions() override {
    ++version_reads;
    core.OnVersionsRead(store_answers ? std::optional(recorded) : std::nullopt);
  }

  void WriteStreamRows(const std::vector<StreamRow>& rows) override {
    if (store_answers) {
      stream_rows = rows;
    }
    core.OnStreamRowsWritten(store_answers);
  }
  void ReadStreamRows(const std::string&) override {
    ++stream_row_reads;
    if (store_answers) {
      core.OnStreamRows(StreamRowsPage{stream_rows, 0, "", false});
    } else {
      core.OnStreamRows(std::nullopt);
    }
  }

  // PieceDispatcher:
  void Submit(TimeUs, std::vector<PieceTask> list) override {
    tasks.insert(tasks.end(), list.begin(), list.end());
  }
  void CancelRequest(const std::string& request) override {
    dropped.push_back(request);
  }
  void CancelStage(const std::string& request, std::uint32_t stage) override {
    dropped_stages.emplace_back(request, stage);
  }
  void ReleaseResults(const std::vector<std::string>& handles) override {
    freed.insert(freed.end(), handles.begin(), handles.end());
  }
  QueueWait ExpectedWait(TimeUs, const std::string&) const override {
    return wait;
  }

  // DirectoryWatcher:
  void OnReplica(const ReplicaEntry& replica, DirectoryChange change) override {
    core.OnReplica(replica, change);
  }

  TimeUs now = 1000 * kSecond;
  Random random{7};
  Metrics metrics;
  QuietLog log;
  ReplicaDirectory directory{this};
  Gateway core;
  int last_host = 0;
  ExchangeId last_exchange = 0;
  CallId last_call = 0;
  std::map<ExchangeId, std::size_t> collected;
  // Returned by `Unsent`.
  std::size_t unsent = 0;
  // Returned by `ExpectedWait`.
  QueueWait wait;
  std::map<ExchangeId, LocalReply> refused;
  std::map<ExchangeId, std::pair<int, std::string>> answered;
  std::map<ExchangeId, std::string> streams;
  // How each answer of a replica ended for its client.
  std::map<ExchangeId, AnswerEnd> client_ends;
  std::vector<ExchangeId> ended;
  std::vector<ExchangeId> broken;
  std::vector<ReplicaId> probed;
  std::vector<ReplicaId> asked_start;
  std::vector<NodeId> peers;  // Returned by `LivePeers`.
  std::vector<std::pair<NodeId, Message>> datagrams;
  std::vector<std::pair<NodeId, Message>> version_datagrams;
  bool store_answers = true;  // For records of versions.
  std::vector<ServiceVersion> recorded;
  int version_reads = 0;
  std::vector<StreamRow> stream_rows;  // The last ones that were written.
  int stream_row_reads = 0;
  std::vector<Sent> sent;
  // Calls whose connections are still being made; set by the test.
  std::set<CallId> connecting;
  std::vector<CallId> cancelled;
  std::map<CallId, bool> paused;
  std::vector<PieceTask> tasks;
  std::vector<std::string> dropped;
  std::vector<std::pair<std::string, std::uint32_t>> dropped_stages;
  std::vector<std::string> freed;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_GATEWAY_GATEWAY_RIG_H_
