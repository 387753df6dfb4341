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

// A sound replica accepts within a few ms; beyond this another one answers
// sooner.
constexpr DurationUs kConnect = 200 * kMillisecond;
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

// How long the store holds a request for the configuration that has no news, as
// a share of the time for which a key that was taken away may be used; each
// call has its price.
//
// Failure: the store stops answering. Symptom: a gateway refuses all requests
// with keys as soon as the last answer is too old, which counts from when it
// was asked for. The shorter such requests wait, the longer callers are served.
constexpr double kConfigurationWaitShare = 0.2;

// The operator's table has the configuration and the orders to empty failure
// domains.
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
  options.budget = settings.retries;
  options.cold = settings.cold;
  options.replica_heartbeat_period = settings.replica_heartbeat_period;
  return options;
}

}  // namespace

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
               OnPieceCallEnd(service, id, end);
             }),
      directory(this),
      evacuations(&directory, &metrics, &log),
      incarnation(FreshSeed()),
      peers({settings.node, settings.domain, settings.cores}, &log),
      batchers(&directory,
               this,
               [this](const std::string& service) {
                 return gateway->RetryBudgetOf(service);
               }),
      dispatcher(settings.node, &peers, &batchers, &directory, this, &log),
      join(settings.node,
           {settings.ip, settings.first_peer_port},
           this,
           &random,
           &log),
      store(&channels,
            settings.store,
            [this](const std::string& table,
                   std::uint64_t id,
                   const TableAnswer& answer) {
              OnStoreAnswer(table, id, answer);
            }),
      configuration(platform::kOperatorTable,
                    PlanConfiguration(settings),
                    &peers,
                    &store,
                    this,
                    this,
                    &random,
                    &metrics,
                    &log),
      replicas(platform::kReplicaTable,
               PlanReplicas(settings),
               &peers,
               &store,
               this,
               this,
               &random,
               &metrics,
               &log) {
  gateway = std::make_unique<Gateway>(OptionsOf(settings), this, &dispatcher,
                                      &directory, &random, &metrics, &log);
  ApplyBounds();
}

void GatewayNode::Impl::ApplyBounds() {
  configuration.plan = PlanConfiguration(settings);
  replicas.plan = PlanReplicas(settings);
  // What was chosen last must be there when this host counts as in touch.
  directory.SetMostKept(settings.freshness.contact - replicas.plan.act);
  pieces.SetConnectTimeout(replicas.plan.Connect());
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
  for (FollowedTable* it : {&configuration, &replicas}) {
    it->source.OnTick(now);
    it->relay.OnTick(now);
    it->watch.OnTick(now);
  }
  directory.OnTick(now);
  TickPeers(now);
  batchers.OnTick(now);
  dispatcher.OnTick(now);
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
                    clients.exchanges() == 0 && dispatcher.HasNoPeerRequests();
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
  if (after == before && fresh->freshness == settings.freshness) {
    return;
  }
  log.Write("settings", {{"key_age_ms", after.key_age / kMillisecond},
                         {"retry_ratio", after.budget.ratio},
                         {"retry_slack", after.budget.slack},
                         {"cold_over", after.cold.over},
                         {"cold_slack", after.cold.slack},
                         {"drain_ms", fresh->freshness.drain / kMillisecond},
                         {"config_apply_ms",
                          fresh->freshness.config_apply / kMillisecond}});
  settings.key_revocation = fresh->key_revocation;
  settings.retries = fresh->retries;
  settings.cold = fresh->cold;
  settings.replica_heartbeat_period = fresh->replica_heartbeat_period;
  settings.freshness = fresh->freshness;
  ApplyBounds();
  gateway->SetOptions(after);
}

bool GatewayNode::Impl::Ready() const {
  return !draining && gateway->can_check_keys() && replicas.watch.known();
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
  log.Write(
      "listener",
      {{"what", event.what}, {"status", event.status}, {"why", event.reason}});
}

void GatewayNode::Impl::Refuse(ExchangeId id, const LocalReply& answer) {
  const auto reply = platform::WriteLocalReply(answer);
  clients.Reply(id, reply.status, reply.fields, reply.body);
}

CallId GatewayNode::Impl::Send(const AttemptRequest& attempt) {
  // A kept connection may be closed by the other end just as it is used; what
  // was sent may then have run. One used a moment ago is the safer.
  constexpr DurationUs kFresh = kSecond;
  ChannelOptions options;
  if (!attempt.may_repeat) {
    options.max_idle_time = kFresh;
  }
  options.connect = std::min(kConnect, replicas.plan.Connect());
  options.max_kept = attempt.most_idle_connections;
  return channels.Start(attempt.address, platform::WriteAttemptRequest(attempt),
                        options, this);
}

// A whole call says nothing new: its line would double those of its start.
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
               {"input_gone", of(PieceOutcome::kInputGone)},
               {"no_room", of(PieceOutcome::kOutOfMemory)},
               {"failed", of(PieceOutcome::kFailed)}});
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
