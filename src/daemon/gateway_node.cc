#include "daemon/gateway_node.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "address_text.h"
#include "daemon/gateway_node_impl.h"
#include "daemon/startup.h"
#include "platform/host_settings_file.h"

namespace acaciachute {
namespace {

// Period of `Tick`.
constexpr DurationUs kTickPeriod = 10 * kMillisecond;
// Period of checks whether the host settings file has changed.
constexpr DurationUs kSettingsCheckPeriod = kSecond;
// Minimum duration of a drain. The balancer polls once per second and takes a
// host out after two failed polls.
constexpr DurationUs kMinDrainDuration = 2500 * kMillisecond;
// Requests still open when this much of the grace period remains are refused,
// so that clients receive the answer before their connections are closed.
constexpr DurationUs kAnswerReserve = 900 * kMillisecond;
// Time at the end of the grace period that is reserved for the process's exit.
constexpr DurationUs kExitReserve = 300 * kMillisecond;
// Share of the key revocation bound for which a confirmed configuration may be
// used to check keys. Below one, so that a revocation is in force in time.
constexpr double kKeyAgeShare = 0.9;
// The process's memory limit, divided by this, is what clients may make it
// hold; see `ClientMemory`.
constexpr std::size_t kClientMemoryDivisor = 5;
// The part of it that pieces of other gateways' requests may take.
constexpr std::size_t kPeerPiecesDivisor = 8;
// The port for the balancer and operators: a few connections, short orders.
constexpr std::size_t kMaxOperatorConnections = 64;
constexpr std::size_t kMaxOperatorBody = 64 << 10;
// Share of the process's file descriptors, less `kReservedDescriptors`, that is
// available for client connections. The other descriptors are for connections
// to replicas and for files.
constexpr double kClientDescriptorShare = 0.5;
constexpr std::size_t kReservedDescriptors = 250;

// Time after the start for which a gateway is not ready unless it has read
// which requests are blocked. An outage of the store must not keep it from
// serving.
constexpr DurationUs kMaxCrashRowsWait = 2 * kSecond;

// Retry-After of a request that is refused because memory is short here: where
// there is another gateway, a new connection most likely reaches it.
constexpr DurationUs kRetryElsewhereDelay = 20 * kMillisecond;
constexpr DurationUs kRetryHereDelay = 300 * kMillisecond;

// Share of the key revocation bound for which the store delays its answer to a
// request for changes of the configuration while there are none. Longer waits
// save calls to the store, each of which has a cost. Shorter waits extend
// service when the store stops answering: requests with keys are refused once
// the last answer is too old, and its age counts from when it was requested.
constexpr double kConfigurationWaitShare = 0.2;

// The operator's table holds the configuration and the orders to evacuate
// failure domains.
FreshnessPlan PlanConfiguration(const HostSettings& settings) {
  const FreshnessBounds& bounds = settings.freshness;
  FreshnessPlan plan =
      PlanFreshness(std::min({bounds.config_apply, bounds.evacuation,
                              settings.key_revocation}),
                    bounds.contact);
  plan.store_hold_time = std::min(
      plan.store_hold_time,
      static_cast<DurationUs>(kConfigurationWaitShare *
                              static_cast<double>(settings.key_revocation)));
  return plan;
}

FreshnessPlan PlanReplicas(const HostSettings& settings) {
  return PlanFreshness(settings.freshness.drain, settings.freshness.contact);
}

GatewayOptions OptionsOf(const HostSettings& settings) {
  GatewayOptions options;
  options.node = settings.node;
  options.domain = settings.domain;
  options.key_age = static_cast<DurationUs>(
      kKeyAgeShare * static_cast<double>(settings.key_revocation));
  options.max_config_use_age = PlanConfiguration(settings).MaxUseAge();
  options.budget = settings.retries;
  options.cold_rate_bound = settings.cold_rate_bound;
  options.replica_heartbeat_period = settings.replica_heartbeat_period;
  return options;
}

}  // namespace

GatewayNode::Impl::Impl(HostSettings settings_in, Loop* loop_in)
    : settings(std::move(settings_in)),
      loop(loop_in),
      random(RandomSeed()),
      log(STDOUT_FILENO, settings.node, loop_in),
      memory(settings.memory_bytes / kClientMemoryDivisor),
      clients(this, loop_in, &memory),
      readiness_handler(this),
      readiness(&readiness_handler, loop_in, &memory),
      channels(loop_in),
      probes(loop_in),
      pieces(
          &channels,
          [this](const std::string& service,
                 BatchId id,
                 const PieceCallEnd& end) { OnPieceCallEnd(service, id, end); },
          [this](const ReplicaId& replica, const ReplicaStatement& statement) {
            OnPieceStatement(replica, statement);
          }),
      replica_starts(&channels),
      directory(this),
      evacuations(&directory, &metrics, &log),
      incarnation(RandomSeed()),
      peers({settings.node, settings.domain, settings.cores}, &log),
      batchers(&directory,
               this,
               [this](const std::string& service) {
                 return gateway->RetryBudgetOf(service);
               }),
      dispatcher(
          settings.node,
          &peers,
          &batchers,
          &directory,
          [this](const std::string& service) {
            return gateway->RetryBudgetOf(service);
          },
          this,
          &log),
      join(settings.node,
           {settings.ip, settings.first_peer_port},
           this,
           &random,
           &log),
      crash_exchange(this, &random),
      store(&channels,
            settings.store,
            [this](const std::string& table,
                   std::uint64_t id,
                   const TableAnswer& answer) {
              OnStoreAnswer(table, id, answer);
            }),
      config_row([this](const std::vector<RowPart>& changes) {
        ApplyConfigParts(changes);
      }),
      configuration(platform::kOperatorTable,
                    PlanConfiguration(settings),
                    &peers,
                    &store,
                    this,
                    &config_row,
                    this,
                    &random,
                    &metrics,
                    &log),
      replicas(platform::kReplicaTable,
               PlanReplicas(settings),
               &peers,
               &store,
               this,
               nullptr,
               this,
               &random,
               &metrics,
               &log) {
  gateway = std::make_unique<Gateway>(OptionsOf(settings), this, &dispatcher,
                                      &directory, &random, &metrics, &log);
  memory.SetReliefHandler(
      [this](const ClientMemory::Relief& relief) { OnRelief(relief); });
  memory.SetShortHandler(
      [this] { loop->After(0, [this] { memory.Relieve(Loop::Now()); }); });
  channels.SetEventHandler([this](const ChannelEvent& event) {
    metrics.Count("acaciachute_gateway_channel_events_total", Name(event.kind));
    log.Write(Name(event.kind),
              {{"address", StrCat(event.address.ip, ":", event.address.port)},
               {"expected", event.expected},
               {"received", event.received}});
  });
  channels.SetLostHandler([this](const Address& address) {
    if (const ReplicaEntry* it = directory.FindAt(address)) {
      gateway->OnConnectionsLost(it->id);
    }
  });
  channels.SetFirstHandler([this](const Address& address) {
    if (const ReplicaEntry* it = directory.FindAt(address)) {
      gateway->OnFirstConnection(it->id);
    }
  });
  dispatcher.SetPeerMemory(settings.memory_bytes / kPeerPiecesDivisor);
  ApplyBounds();
}

void GatewayNode::Impl::ApplyBounds() {
  configuration.plan = PlanConfiguration(settings);
  replicas.plan = PlanReplicas(settings);
  // A request that is sent to a retained replica at the last moment must still
  // arrive within `contact`.
  directory.SetMaxRetention(settings.freshness.contact -
                            replicas.plan.dispatch_time);
  pieces.SetConnectTimeout(replicas.plan.Connect());
}

absl::Status GatewayNode::Impl::Start() {
  started_at = Now();
  clients.SetLimits(ClientLimitsOf({}));
  clients.SetEchoField(platform::kRequestIdField);
  ListenerLimits operators;
  operators.read.body_bytes = kMaxOperatorBody;
  operators.connections = kMaxOperatorConnections;
  readiness.SetLimits(operators);
  if (auto status = readiness.Listen(settings.readiness); !status.ok()) {
    return status;
  }
  if (auto status = clients.Listen(settings.clients); !status.ok()) {
    return status;
  }
  loop->Every(kTickPeriod, [this] { Tick(); });
  loop->Every(kSettingsCheckPeriod, [this] { Reload(); });
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
  for (FollowedTable* it : {&configuration, &replicas}) {
    it->source.OnTick(now);
    it->relay.OnTick(now);
    it->watch.OnTick(now);
  }
  directory.OnTick(now);
  gateway->SetNewerConfigKnown(configuration.source.ReceivesChanges() ||
                               peers.NewestConfigVersion() > seen_config);
  TickPeers(now);
  batchers.OnTick(now);
  dispatcher.OnTick(now);
  gateway->OnTick();
  TickCrashes(now);
  versions_recorded = versions_recorded ||
                      (replicas.watch.known() && gateway->VersionsRecorded());
  if (draining) {
    CheckDrained();
  }
}

void GatewayNode::Impl::Drain() {
  if (draining) {
    return;
  }
  draining = true;
  drain_started_at = Now();
  peers.SetLeaving();
  clients.BeginDrain();
  log.Write("drain", {{"in_progress", gateway->in_progress()},
                      {"connections", clients.connections()}});
}

void GatewayNode::Impl::CheckDrained() {
  const DurationUs elapsed = Now() - drain_started_at;
  gateway->AnswerUntil(drain_started_at + settings.grace - kAnswerReserve);
  if (elapsed >= kMinDrainDuration) {
    gateway->RefuseStreams();
    clients.CloseIdle();
  }
  if (elapsed >= settings.grace - kAnswerReserve) {
    gateway->RefuseAll();
  }
  const bool idle = elapsed >= kMinDrainDuration &&
                    gateway->in_progress() == 0 && clients.exchanges() == 0 &&
                    clients.writing() == 0 && dispatcher.HasNoPeerRequests();
  if (!idle && elapsed < settings.grace - kExitReserve) {
    return;
  }
  log.Write("stop", {{"in_progress", gateway->in_progress()},
                     {"writing", clients.writing()},
                     {"after_ms", elapsed / kMillisecond}});
  log.Flush();
  loop->Quit();
}

void GatewayNode::Impl::Reload() {
  const auto reloaded = platform::LoadHostSettings();
  if (!reloaded.ok()) {
    log.Write("settings_refused",
              {{"why", std::string(reloaded.status().message())}});
    return;
  }
  if (reloaded->clients != settings.clients ||
      reloaded->readiness != settings.readiness ||
      reloaded->store != settings.store) {
    log.Write("settings_need_restart",
              {{"why",
                "a listening address or the store's address changed; it takes "
                "effect after a restart"}});
  }
  const GatewayOptions before = OptionsOf(settings);
  const GatewayOptions after = OptionsOf(*reloaded);
  if (after == before && reloaded->freshness == settings.freshness &&
      reloaded->grace == settings.grace) {
    return;
  }
  log.Write("settings", {{"key_age_ms", after.key_age / kMillisecond},
                         {"retry_ratio", after.budget.ratio},
                         {"retry_slack", after.budget.slack},
                         {"cold_over", after.cold_rate_bound.factor},
                         {"cold_slack", after.cold_rate_bound.slack},
                         {"grace_ms", reloaded->grace / kMillisecond},
                         {"drain_ms", reloaded->freshness.drain / kMillisecond},
                         {"config_apply_ms",
                          reloaded->freshness.config_apply / kMillisecond}});
  settings.key_revocation = reloaded->key_revocation;
  settings.retries = reloaded->retries;
  settings.cold_rate_bound = reloaded->cold_rate_bound;
  settings.replica_heartbeat_period = reloaded->replica_heartbeat_period;
  settings.freshness = reloaded->freshness;
  settings.grace = reloaded->grace;
  ApplyBounds();
  gateway->SetOptions(after);
}

bool GatewayNode::Impl::Ready() const {
  const bool knows_crashes = crash_exchange.has_read() ||
                             Loop::BootNow() - started_at > kMaxCrashRowsWait;
  return !draining && knows_crashes && gateway->can_check_keys() &&
         replicas.watch.known() && versions_recorded;
}

void GatewayNode::Impl::OnOperatorRequest(ExchangeId id,
                                          const HttpRequestHead& head,
                                          const std::string& body) {
  constexpr int kHttpOk = 200;
  constexpr int kHttpNotFound = 404;
  constexpr int kHttpUnavailable = 503;
  if (head.target == "/readyz") {
    readiness.Reply(id, Ready() ? kHttpOk : kHttpUnavailable, {}, "");
  } else if (head.target == "/healthz") {
    readiness.Reply(id, kHttpOk, {}, "");
  } else if (head.target == "/metrics") {
    metrics.SetGauge("acaciachute_gateway_client_bytes", "",
                     static_cast<double>(memory.held()));
    readiness.Reply(id, kHttpOk, {{"Content-Type", "text/plain"}},
                    metrics.PrometheusText());
  } else if (head.target == "/quarantine" && head.method == "GET") {
    ListCrashes(id);
  } else if (head.target == "/quarantine/lift" && head.method == "POST") {
    LiftCrashes(id, body);
  } else {
    readiness.Reply(id, kHttpNotFound, {}, "");
  }
}

ListenerLimits GatewayNode::Impl::ClientLimitsOf(
    const ClientLimits& limits) const {
  ListenerLimits out;
  out.read.head_bytes = limits.head_bytes;
  out.read.body_bytes = limits.body_bytes;
  out.request_time = limits.request_time;
  out.idle = limits.idle_time;
  out.connections = static_cast<std::size_t>(
      kClientDescriptorShare *
      static_cast<double>(settings.max_descriptors - kReservedDescriptors));
  return out;
}

void GatewayNode::Impl::OnRequest(ExchangeId id,
                                  HttpRequestHead head,
                                  std::string body) {
  auto call = platform::ReadClientRequest(std::move(head), std::move(body));
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
  log.Write("listener", {{"what", event.what},
                         {"status", event.status},
                         {"why", event.reason},
                         {"id", event.id}});
}

ListenerRefusal GatewayNode::Impl::WriteRefusal(int status,
                                                const std::string& reason) {
  if (status != Info(Refusal::kFull).http_status) {
    return ListenerHandler::WriteRefusal(status, reason);
  }
  const DurationUs delay =
      peers.LivePeers().empty() ? kRetryHereDelay : kRetryElsewhereDelay;
  const DurationUs spread =
      static_cast<DurationUs>(random.Below(static_cast<std::uint64_t>(delay)));
  const auto reply = platform::WriteLocalReply(
      {Refusal::kFull, Verdict::kNotRun, delay + spread, reason});
  return {reply.fields, reply.body};
}

void GatewayNode::Impl::OnRelief(const ClientMemory::Relief& relief) {
  metrics.Count("acaciachute_gateway_gave_way_total", Name(relief.how));
  log.Write("gave_way", {{"how", Name(relief.how)},
                         {"held", relief.held},
                         {"stalled_ms", relief.stalled / kMillisecond},
                         {"sum", relief.sum},
                         {"limit", relief.limit}});
}

void GatewayNode::Impl::Refuse(ExchangeId id, const LocalReply& answer) {
  const auto reply = platform::WriteLocalReply(answer);
  clients.Reply(id, reply.status, reply.fields, reply.body);
}

CallId GatewayNode::Impl::Send(const AttemptRequest& attempt) {
  // The replica may close an idle connection just as it is used, and then it is
  // unknown whether the request ran. That is less likely if the connection was
  // used recently, so requests that must not be repeated use no others.
  constexpr DurationUs kMaxIdleForUnrepeatable = kSecond;
  ChannelOptions options;
  if (!attempt.may_repeat) {
    options.max_idle_time = kMaxIdleForUnrepeatable;
  }
  options.connect = replicas.plan.Connect();
  options.max_kept = attempt.max_idle_connections;
  // `Gateway` bounds what it holds of an answer, by what its head says.
  options.max_body_bytes = kUnlimitedBodyBytes;
  return channels.Start(attempt.address, platform::WriteAttemptRequest(attempt),
                        options, this);
}

void GatewayNode::Impl::ProbeReplica(const ReplicaId& replica,
                                     const Address& address) {
  probes.Start(address, replicas.plan.Connect(),
               [this, replica, sent_at = Now()](ProbeOutcome outcome) {
                 gateway->OnReplicaProbed(replica, outcome, sent_at);
               });
}

void GatewayNode::Impl::AskReplicaStart(const ReplicaId& replica,
                                        const Address& address) {
  replica_starts.Ask(
      replica, address,
      [this, replica, address](const platform::StartAnswer& answer) {
        log.Write("replica_start", {{"replica", replica.name},
                                    {"address", AddressText(address)},
                                    {"status", answer.status},
                                    {"start", answer.start.value_or(0)},
                                    {"why", answer.why}});
        gateway->OnReplicaStart(replica, answer.start);
      });
}

void GatewayNode::Impl::OnPieceStatement(const ReplicaId& replica,
                                         const ReplicaStatement& statement) {
  gateway->OnStatement(replica, statement);
  if (statement.rest) {
    pieces.CancelUnsentAt(replica, "the replica rests");
  }
}

// Logs calls that failed or produced only some of their pieces. A line for each
// successful call would double the number of lines, as its start is logged.
void GatewayNode::Impl::OnPieceCallEnd(const std::string& service,
                                       BatchId id,
                                       const PieceCallEnd& end) {
  std::array<std::size_t, kPieceOutcomeNames.size()> count{};
  for (const PieceResult& it : end.results) {
    ++count[static_cast<std::size_t>(it.outcome)];
  }
  const std::size_t made = count[0];
  if (end.kind != PieceCallEnd::Kind::kAnswered) {
    log.Write("piece_call_failed",
              {{"service", service}, {"call", id}, {"why", end.why}});
  } else if (made < end.results.size()) {
    const auto of = [&](PieceOutcome it) {
      return count[static_cast<std::size_t>(it)];
    };
    log.Write("piece_call_partly",
              {{"service", service},
               {"call", id},
               {"made", made},
               {"late", of(PieceOutcome::kLate)},
               {"input_gone", of(PieceOutcome::kInputMissing)},
               {"no_room", of(PieceOutcome::kOutOfMemory)},
               {"failed", of(PieceOutcome::kFailed)}});
  }
  const ReplicaEntry* replica = directory.Find(end.replica);
  if (replica != nullptr) {
    if (end.kind == PieceCallEnd::Kind::kUnreached) {
      gateway->rate_limiter()->OnNotSent(*replica);
      gateway->rate_limiter()->rests().OnNotSent(replica->id);
    } else {
      gateway->rate_limiter()->OnArrived(Now(), *replica);
    }
  }
  batchers.OnCallEnd(Now(), service, id, end);
  dispatcher.SendResults();
}

void GatewayNode::Impl::StartCall(const PieceCall& call) {
  metrics.Count("acaciachute_gateway_piece_calls_total");
  metrics.Count("acaciachute_gateway_piece_calls_pieces_total", "",
                call.pieces.size());
  log.Write("piece_call", {{"service", call.pieces.front().service},
                           {"call", call.id},
                           {"replica", call.replica.name},
                           {"pieces", call.pieces.size()},
                           {"first", call.pieces.front().key.request},
                           {"left_waiting", call.left_waiting},
                           {"held_kb", call.held_bytes >> 10U},
                           {"list_ms", directory.Age(Now()) / kMillisecond},
                           {"slowness", call.slowness}});
  if (const ReplicaEntry* it = directory.Find(call.replica)) {
    gateway->rate_limiter()->OnSent(*it);
    gateway->rate_limiter()->rests().OnSent(Now(), it->id);
  }
  pieces.Run(call);
}

// A replica that is listed no more may have gone, with its results, and left
// its address to another process.
void GatewayNode::Impl::ReleaseAt(const Address& replica,
                                  const std::vector<std::string>& handles) {
  const ReplicaEntry* producer = directory.ProducerOf(handles.front());
  if (producer == nullptr) {
    metrics.Count("acaciachute_gateway_releases_dropped_total");
    log.Write("release_dropped",
              {{"address", AddressText(replica)}, {"results", handles.size()}});
    return;
  }
  pieces.ReleaseResults(producer->id, replica, handles);
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
