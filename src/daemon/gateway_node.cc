#include "daemon/gateway_node.h"

#include <unistd.h>

#include <utility>

#include "address_text.h"
#include "coordination/gateway.h"
#include "coordination/gateway_join.h"
#include "coordination/gateway_peers.h"
#include "coordination/local_piece_desk.h"
#include "coordination/shared_piece_desk.h"
#include "coordination/table_watch.h"
#include "daemon/startup.h"
#include "platform/host_settings_file.h"
#include "platform/pieces.h"
#include "platform/requests.h"
#include "platform/rows.h"
#include "platform/store_client.h"
#include "state/metrics.h"
#include "text.h"
#include "transport/http_channels.h"
#include "transport/http_listener.h"
#include "transport/log_writer.h"
#include "transport/peer_mesh.h"

namespace acaciachute {
namespace {

// Where gateways find one another.
constexpr char kGatewayTable[] = "acaciachute-gateways";
// How long the store holds a question without news; calls to it are priced. Of
// the configuration, whose age counts from when it was asked for: two of these
// and an answer's time stay below the share of 5 s for which keys may be used.
constexpr DurationUs kConfigWait = 1800 * kMillisecond;
// Of the replicas: a connection that falls silent is noticed after this and an
// answer's time, within the 3 s that the platform allows.
constexpr DurationUs kReplicaWait = 2200 * kMillisecond;
constexpr DurationUs kTick = 10 * kMillisecond;
constexpr DurationUs kSettingsCheck = kSecond;
// The balancer asks once a second and takes a host out after two misses.
constexpr DurationUs kLeastDrain = 2500 * kMillisecond;
// Left of the grace period when what is still open is answered, so that its
// clients hear it before their connections close.
constexpr DurationUs kAnswerReserve = 900 * kMillisecond;
// Left of the grace period for the exit itself.
constexpr DurationUs kExitReserve = 300 * kMillisecond;
// A revocation must be in force when its bound is over: the share of the bound
// for which a confirmed configuration counts.
constexpr double kKeyAgeShare = 0.9;
// Memory for clients' bodies, as a share of the process's limit.
constexpr std::size_t kBodyShare = 5;
// Descriptors for clients' connections, as a share of the process's limit; the
// rest is for replicas and files.
constexpr double kClientShare = 0.5;
constexpr std::size_t kReservedDescriptors = 250;

GatewayOptions OptionsOf(const HostSettings& settings) {
  GatewayOptions options;
  options.domain = settings.domain;
  options.key_age = static_cast<DurationUs>(
      kKeyAgeShare * static_cast<double>(settings.key_revocation));
  options.budget = settings.retries;
  return options;
}

}  // namespace

struct GatewayNode::Impl : public ListenerHandler,
                           public GatewayPorts,
                           public CallSink,
                           public TableListener,
                           public DirectoryWatcher,
                           public PieceBatcherOutput,
                           public SharedPieceDeskOutput,
                           public PeerHandler,
                           public GatewayJoinOutput {
  Impl(HostSettings settings_in, Loop* loop_in);

  absl::Status Start();
  void Drain();
  void Reload();
  void Tick();
  void CheckDrained();

  // The balancer's question, and operators' pages.
  class Readiness : public ListenerHandler {
   public:
    explicit Readiness(Impl* owner) : owner_(owner) {}
    void OnRequest(ExchangeId id, HttpRequestHead head, std::string) override {
      owner_->OnOperatorRequest(id, head);
    }
    void OnGone(ExchangeId) override {}
    void OnWritten(ExchangeId) override {}
    void OnListenerEvent(const ListenerEvent&) override {}

   private:
    Impl* const owner_;
  };

  void OnOperatorRequest(ExchangeId id, const HttpRequestHead& head);
  bool Ready() const;
  ListenerLimits ClientLimitsOf(const ClientLimits& limits) const;

  // ListenerHandler
  void OnRequest(ExchangeId id,
                 HttpRequestHead head,
                 std::string body) override;
  void OnGone(ExchangeId id) override { gateway->OnGone(id); }
  void OnWritten(ExchangeId id) override { gateway->OnWritten(id); }
  void OnListenerEvent(const ListenerEvent& event) override;

  // GatewayPorts
  TimeUs Now() override { return Loop::BootNow(); }
  void Refuse(ExchangeId id, const OwnAnswer& answer) override;
  void Answer(ExchangeId id,
              const ReplicaHead& head,
              std::string_view body) override {
    clients.Reply(id, head.status, head.fields, body);
  }
  void BeginStream(ExchangeId id, const ReplicaHead& head) override {
    clients.BeginStream(id, head.status, head.fields);
  }
  void StreamData(ExchangeId id, std::string_view bytes) override {
    clients.StreamData(id, bytes);
  }
  void EndStream(ExchangeId id) override { clients.EndStream(id); }
  void Break(ExchangeId id) override { clients.Break(id); }
  std::size_t Unsent(ExchangeId id) override { return clients.Unsent(id); }
  CallId Send(const SendOrder& order) override;
  void Cancel(CallId id) override { channels.Cancel(id); }
  void SetReading(CallId id, bool reading) override {
    channels.SetReading(id, reading);
  }

  // CallSink: requests at replicas.
  void OnAnswerHead(CallId id, const HttpAnswerHead& head) override {
    gateway->OnReplicaHead(id, platform::ReadReplicaHead(head));
  }
  void OnAnswerBody(CallId id, std::string_view bytes) override {
    gateway->OnReplicaBody(id, bytes);
  }
  void OnAnswerEnd(CallId id) override { gateway->OnReplicaEnd(id); }
  void OnCallFailed(CallId id, const CallFailure& failure) override {
    gateway->OnReplicaFailed(id, failure.sent,
                             StrCat(Name(failure.kind), ": ", failure.reason));
  }

  // TableListener
  void OnTable(const std::string& table,
               const std::vector<TableRow>& rows) override;
  void OnRow(const std::string& table, const TableRow& row) override;
  void OnTableCurrent(const std::string& table, TimeUs asked_at) override;
  void OnTableLost(const std::string& table) override;
  void TakeConfig(const TableRow& row);

  // DirectoryWatcher
  void OnReplica(const ReplicaEntry& replica, DirectoryChange change) override;

  // PieceBatcherOutput
  void StartCall(const PieceCall& call) override;
  void OnPiece(const PieceResult& result) override {
    desk.OnLocalPiece(result);
  }
  void FreeAt(const Address& replica,
              const std::vector<std::string>& handles) override {
    pieces.Free(replica, handles);
  }

  // SharedPieceDeskOutput
  void SendToPeer(const NodeId& peer, const Message& message) override;
  void OnOwnPiece(const PieceResult& result) override {
    gateway->OnPiece(result);
  }

  // PeerHandler
  void OnPeerMessage(const NodeId& from,
                     Incarnation peer_incarnation,
                     const Message& message) override;
  void OnPeerDatagram(const NodeId& from,
                      Incarnation peer_incarnation,
                      const Message& message) override;
  void OnPeerLost(const NodeId& peer) override { desk.OnPeerLost(Now(), peer); }
  void OnUnsent(const NodeId& peer, const Message& message) override {
    peers.OnUnreachable(Now(), peer);
    desk.OnPeerLost(Now(), peer);
  }

  // GatewayJoinOutput
  void ReadGateways() override { store.ReadRows(kGatewayTable, ""); }
  void WriteGateway(const std::string& key,
                    const std::string& value,
                    bool only_new) override;
  void OnGateway(const NodeId& node, const Address& address) override;
  void OnFrameKey(const std::string& key) override;

  void TickPeers(TimeUs now);
  GatewayBeat BeatNow(TimeUs now) const;

  HostSettings settings;
  Loop* const loop;
  Random random;
  Metrics metrics;
  LogWriter log;
  HttpListener clients;
  Readiness readiness_handler;
  HttpListener readiness;
  HttpChannels channels;
  platform::PieceCalls pieces;
  ReplicaDirectory directory;
  std::unique_ptr<Gateway> gateway;
  const Incarnation incarnation;
  GatewayPeers peers;
  LocalPieceDesk batchers;
  SharedPieceDesk desk;
  std::unique_ptr<PeerMesh> mesh;  // Once the frames' key is known.
  GatewayJoin join;
  platform::StoreClient store;
  TableWatch config_watch;
  TableWatch replica_watch;
  bool draining = false;
  TimeUs drain_since = 0;
};

GatewayNode::Impl::Impl(HostSettings settings_in, Loop* loop_in)
    : settings(std::move(settings_in)),
      loop(loop_in),
      random(FreshSeed()),
      log(STDOUT_FILENO, settings.node, loop_in),
      clients(this, loop_in),
      readiness_handler(this),
      readiness(&readiness_handler, loop_in),
      channels(loop_in),
      pieces(&channels,
             [this](const std::string& service,
                    BatchId id,
                    const PieceCallEnd& end) {
               if (end.kind != PieceCallEnd::Kind::kAnswered) {
                 log.Write("piece_call_failed",
                           {{"service", service}, {"why", end.why}});
               }
               batchers.OnCallEnd(Now(), service, id, end);
               desk.SendResults();
             }),
      directory(this),
      incarnation(FreshSeed()),
      peers(settings.node, settings.cores, &log),
      batchers(&directory,
               this,
               [this](const std::string& service) {
                 return gateway->BudgetOf(service);
               }),
      desk(settings.node, &peers, &batchers, &directory, this, &log),
      join(settings.node,
           {settings.ip, settings.first_peer_port},
           this,
           &random,
           &log),
      store(&channels,
            settings.store,
            [this](const std::string& table, const TableAnswer& answer) {
              if (table == kGatewayTable) {
                join.OnRows(Now(), answer);
                return;
              }
              TableWatch& watch = table == platform::kOperatorTable
                                      ? config_watch
                                      : replica_watch;
              watch.OnAnswer(Now(), answer);
            }),
      config_watch(platform::kOperatorTable,
                   kConfigWait,
                   &store,
                   this,
                   &random,
                   &log),
      replica_watch(platform::kReplicaTable,
                    kReplicaWait,
                    &store,
                    this,
                    &random,
                    &log) {
  gateway = std::make_unique<Gateway>(OptionsOf(settings), this, &desk,
                                      &directory, &random, &metrics, &log);
}

absl::Status GatewayNode::Impl::Start() {
  clients.SetLimits(ClientLimitsOf({}));
  if (auto status = readiness.Listen(settings.readiness); !status.ok()) {
    return status;
  }
  if (auto status = clients.Listen(settings.clients); !status.ok()) {
    return status;
  }
  loop->Every(kTick, [this] { Tick(); });
  loop->Every(kSettingsCheck, [this] { Reload(); });
  log.Write(
      "start",
      {{"domain", settings.domain},
       {"clients", StrCat(settings.clients.ip, ":", settings.clients.port)},
       {"key_revocation_ms", settings.key_revocation / kMillisecond}});
  Tick();
  return absl::OkStatus();
}

void GatewayNode::Impl::Tick() {
  const TimeUs now = Now();
  config_watch.OnTick(now);
  replica_watch.OnTick(now);
  directory.OnTick(now);
  TickPeers(now);
  batchers.OnTick(now);
  desk.OnTick(now);
  gateway->OnTick();
  if (draining) {
    CheckDrained();
  }
}

void GatewayNode::Impl::Drain() {
  if (draining) {
    return;
  }
  draining = true;
  drain_since = Now();
  peers.SetLeaving();
  clients.BeginDrain();
  log.Write("drain", {{"in_progress", gateway->in_progress()},
                      {"connections", clients.connections()}});
}

void GatewayNode::Impl::CheckDrained() {
  const DurationUs since = Now() - drain_since;
  if (since >= kLeastDrain) {
    gateway->RefuseStreams();
    clients.CloseIdle();
  }
  if (since >= settings.grace - kAnswerReserve) {
    gateway->RefuseAll();
  }
  const bool idle = since >= kLeastDrain && gateway->in_progress() == 0 &&
                    clients.exchanges() == 0 && desk.ServesNobody();
  if (!idle && since < settings.grace - kExitReserve) {
    return;
  }
  log.Write("stop", {{"in_progress", gateway->in_progress()},
                     {"after_ms", since / kMillisecond}});
  log.Flush();
  loop->Quit();
}

void GatewayNode::Impl::Reload() {
  const auto fresh = platform::LoadHostSettings();
  if (!fresh.ok()) {
    log.Write("settings_refused",
              {{"why", std::string(fresh.status().message())}});
    return;
  }
  if (fresh->clients != settings.clients ||
      fresh->readiness != settings.readiness ||
      fresh->store != settings.store) {
    log.Write("settings_need_restart", {{"why", "an address changed"}});
  }
  const GatewayOptions before = OptionsOf(settings);
  const GatewayOptions after = OptionsOf(*fresh);
  if (after == before) {
    return;
  }
  log.Write("settings", {{"key_age_ms", after.key_age / kMillisecond},
                         {"retry_ratio", after.budget.ratio},
                         {"retry_slack", after.budget.slack}});
  settings.key_revocation = fresh->key_revocation;
  settings.retries = fresh->retries;
  gateway->SetOptions(after);
}

bool GatewayNode::Impl::Ready() const {
  return !draining && gateway->current() && replica_watch.known();
}

void GatewayNode::Impl::OnOperatorRequest(ExchangeId id,
                                          const HttpRequestHead& head) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  if (head.target == "/readyz") {
    readiness.Reply(id, Ready() ? kOk : kUnavailable, {}, "");
  } else if (head.target == "/healthz") {
    readiness.Reply(id, kOk, {}, "");
  } else if (head.target == "/metrics") {
    readiness.Reply(id, kOk, {{"Content-Type", "text/plain"}},
                    metrics.PrometheusText());
  } else {
    readiness.Reply(id, kNotFound, {}, "");
  }
}

ListenerLimits GatewayNode::Impl::ClientLimitsOf(
    const ClientLimits& limits) const {
  ListenerLimits out;
  out.read.head_bytes = limits.head_bytes;
  out.read.body_bytes = limits.body_bytes;
  out.head = limits.head_time;
  out.idle = limits.idle_time;
  out.buffered_bytes = settings.memory_bytes / kBodyShare;
  out.connections = static_cast<std::size_t>(
      kClientShare *
      static_cast<double>(settings.max_descriptors - kReservedDescriptors));
  return out;
}

void GatewayNode::Impl::OnRequest(ExchangeId id,
                                  HttpRequestHead head,
                                  std::string body) {
  auto call = platform::ReadClientCall(std::move(head), std::move(body));
  if (!call.ok()) {
    log.Write("malformed", {{"why", std::string(call.status().message())}});
    metrics.Count("acaciachute_gateway_refused_total",
                  Name(Refusal::kMalformed));
    Refuse(id, {Refusal::kMalformed, Verdict::kNotRun, 0,
                std::string(call.status().message())});
    return;
  }
  gateway->OnCall(id, *std::move(call));
}

void GatewayNode::Impl::OnListenerEvent(const ListenerEvent& event) {
  metrics.Count("acaciachute_gateway_listener_total", event.what);
  log.Write(
      "listener",
      {{"what", event.what}, {"status", event.status}, {"why", event.reason}});
}

void GatewayNode::Impl::Refuse(ExchangeId id, const OwnAnswer& answer) {
  const auto reply = platform::WriteOwnAnswer(answer);
  clients.Reply(id, reply.status, reply.fields, reply.body);
}

CallId GatewayNode::Impl::Send(const SendOrder& order) {
  // A kept connection may be closed by the other end just as it is used; what
  // was sent may then have run. One used a moment ago is the safer.
  constexpr DurationUs kFresh = kSecond;
  ChannelOptions options;
  if (!order.may_repeat) {
    options.most_idle = kFresh;
  }
  // A sound replica accepts within a few ms; beyond this another one answers
  // sooner.
  options.connect = 200 * kMillisecond;
  return channels.Start(order.address, platform::WriteSendOrder(order), options,
                        this);
}

void GatewayNode::Impl::OnTable(const std::string& table,
                                const std::vector<TableRow>& rows) {
  if (table == platform::kOperatorTable) {
    for (const TableRow& it : rows) {
      TakeConfig(it);
    }
    return;
  }
  std::vector<ReplicaEntry> entries;
  for (const TableRow& it : rows) {
    auto entry = platform::ParseReplica(it.key, it.value);
    if (entry.ok()) {
      entries.push_back(*std::move(entry));
    } else {
      log.Write(
          "replica_row_refused",
          {{"key", it.key}, {"why", std::string(entry.status().message())}});
    }
  }
  directory.Replace(Now(), entries);
}

void GatewayNode::Impl::OnRow(const std::string& table, const TableRow& row) {
  if (table == platform::kOperatorTable) {
    TakeConfig(row);
    return;
  }
  if (row.removed) {
    directory.Remove(Now(), row.key);
    return;
  }
  const auto entry = platform::ParseReplica(row.key, row.value);
  if (!entry.ok()) {
    log.Write(
        "replica_row_refused",
        {{"key", row.key}, {"why", std::string(entry.status().message())}});
    return;
  }
  directory.Put(*entry);
}

void GatewayNode::Impl::TakeConfig(const TableRow& row) {
  if (row.key != platform::kConfigKey || row.removed) {
    return;
  }
  auto config = platform::ParseConfig(row.value);
  if (!config.ok()) {
    log.Write("config_refused",
              {{"row_version", row.version},
               {"why", std::string(config.status().message())}});
    return;
  }
  clients.SetLimits(ClientLimitsOf((*config)->limits));
  batchers.SetServices(**config);
  gateway->OnConfig(*std::move(config));
}

void GatewayNode::Impl::OnTableCurrent(const std::string& table,
                                       TimeUs asked_at) {
  if (table == platform::kOperatorTable) {
    gateway->OnConfirmed(asked_at);
  } else {
    directory.OnStoreBack(Now());
  }
}

void GatewayNode::Impl::OnTableLost(const std::string& table) {
  if (table == platform::kReplicaTable) {
    directory.OnStoreLost();
  }
}

void GatewayNode::Impl::OnReplica(const ReplicaEntry& replica,
                                  DirectoryChange change) {
  log.Write("replica", {{"replica", replica.id},
                        {"service", replica.service},
                        {"change", Name(change)},
                        {"address", AddressText(replica.address)}});
  gateway->OnReplica(replica, change);
  if (change == DirectoryChange::kGone) {
    channels.DropIdle(replica.address);
    batchers.OnReplicaGone(Now(), replica);
  }
}

void GatewayNode::Impl::TickPeers(TimeUs now) {
  join.OnTick(now);
  for (const NodeId& peer : peers.TakeLost(now)) {
    gateway->engines()->SetOthers(peer, {});
    desk.OnPeerLost(now, peer);
  }
  gateway->SetEntries(peers.Live());
  if (mesh == nullptr) {
    return;
  }
  const std::vector<NodeId> due = peers.DueBeats(now);
  if (due.empty()) {
    return;
  }
  const GatewayBeat beat = BeatNow(now);
  for (const NodeId& peer : due) {
    mesh->SendDatagram(peer, beat);
  }
}

GatewayBeat GatewayNode::Impl::BeatNow(TimeUs now) const {
  GatewayBeat beat;
  beat.address = {settings.ip, settings.first_peer_port};
  beat.leaving = draining;
  beat.cores = settings.cores;
  beat.waits = desk.OwnWaits(now);
  for (const auto& [replica, load] : gateway->engines()->own()) {
    beat.work.push_back({replica, load.running, load.unread_tokens});
  }
  return beat;
}

void GatewayNode::Impl::SendToPeer(const NodeId& peer, const Message& message) {
  mesh->Send(peer, message);
}

void GatewayNode::Impl::OnPeerMessage(const NodeId& from,
                                      Incarnation,
                                      const Message& message) {
  const TimeUs now = Now();
  if (const auto* orders = std::get_if<PieceOrders>(&message)) {
    desk.OnPeerOrders(now, from, *orders);
  } else if (const auto* drop = std::get_if<PieceDrop>(&message)) {
    desk.OnPeerDrop(*drop);
  } else if (const auto* free = std::get_if<PieceFree>(&message)) {
    desk.OnPeerFree(*free);
  } else if (const auto* results = std::get_if<PieceResults>(&message)) {
    desk.OnPeerResults(*results);
  }
}

void GatewayNode::Impl::OnPeerDatagram(const NodeId& from,
                                       Incarnation peer_incarnation,
                                       const Message& message) {
  const auto* beat = std::get_if<GatewayBeat>(&message);
  if (beat == nullptr) {
    return;
  }
  if (peers.OnBeat(Now(), from, peer_incarnation, *beat)) {
    mesh->SetAddress(from, beat->address);
  }
  std::map<ReplicaId, EngineLoad> loads;
  for (const EngineWork& it : beat->work) {
    loads[it.replica] = {it.running, it.unread_tokens};
  }
  gateway->engines()->SetOthers(from, loads);
  desk.OnPeerWaits(beat->waits);
}

void GatewayNode::Impl::WriteGateway(const std::string& key,
                                     const std::string& value,
                                     bool only_new) {
  store.WriteRow(kGatewayTable, key, value, only_new,
                 [this](platform::WriteOutcome outcome) {
                   join.OnWritten(Now(),
                                  outcome != platform::WriteOutcome::kUnknown);
                 });
}

void GatewayNode::Impl::OnGateway(const NodeId& node, const Address& address) {
  peers.OnListed(Now(), node);
  if (mesh != nullptr && !peers.IsLive(node)) {
    mesh->SetAddress(node, address);
  }
}

void GatewayNode::Impl::OnFrameKey(const std::string& key) {
  PeerOptions options;
  options.node = settings.node;
  options.incarnation = incarnation;
  options.frame_key = key;
  options.listen = {settings.ip, settings.first_peer_port};
  mesh = std::make_unique<PeerMesh>(options, this, &metrics);
  if (const auto status = mesh->Listen(); !status.ok()) {
    // Alone it still serves, with smaller batches.
    log.Write("mesh_failed", {{"why", std::string(status.message())}});
    mesh.reset();
  }
}

void GatewayNode::Impl::StartCall(const PieceCall& call) {
  metrics.Count("acaciachute_gateway_piece_calls_total");
  metrics.Count("acaciachute_gateway_piece_calls_pieces_total", "",
                call.pieces.size());
  log.Write("piece_call", {{"service", call.pieces.front().service},
                           {"replica", call.replica},
                           {"pieces", call.pieces.size()},
                           {"first", call.pieces.front().key.request},
                           {"left_waiting", call.left_waiting},
                           {"held_kb", call.held_bytes >> 10U},
                           {"slowness", call.slowness}});
  pieces.Run(call);
}

GatewayNode::GatewayNode(const HostSettings& settings, Loop* loop)
    : impl_(std::make_unique<Impl>(settings, loop)) {}
GatewayNode::~GatewayNode() = default;

absl::Status GatewayNode::Start() {
  return impl_->Start();
}
void GatewayNode::Drain() {
  impl_->Drain();
}
void GatewayNode::Reload() {
  impl_->Reload();
}

}  // namespace acaciachute
