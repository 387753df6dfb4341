// Communication of a gateway process with other gateways: discovery,
// heartbeats, tasks and results of pieces, and relayed tables.
#include <map>
#include <utility>

#include "daemon/gateway_node_impl.h"

namespace acaciachute {
namespace {

// Period of checks of all peers, which iterate over all gateways: a fifth of
// the shortest heartbeat period.
constexpr DurationUs kPeerCheckPeriod =
    GatewayPeers::kGatewayHeartbeatPeriod / 5;
// Period of updates of the list of known gateways.
constexpr DurationUs kKnownGatewaysPeriod = 250 * kMillisecond;
// Time after reading the other gateways' rows until all of them have received a
// heartbeat from this one, even if some of the first ones are lost.
constexpr DurationUs kJoinSettleTime = kSecond;

}  // namespace

void GatewayNode::Impl::TickPeers(TimeUs now) {
  join.OnTick(now);
  if (now < next_peer_check_at) {
    return;
  }
  next_peer_check_at = now + kPeerCheckPeriod;
  peers.OnTick(now);
  for (const NodeId& peer : peers.TakeLost(now)) {
    gateway->engines()->SetPeerLoads(peer, {});
    dispatcher.OnPeerLost(now, peer);
  }
  UpdateKnownGateways(now);
  gateway->SetGatewayCount(peers.LiveCount());
  gateway->SetPeerCanCheckKeys(peers.AnyPeerCanCheckKeys());
  if (mesh == nullptr) {
    return;
  }
  SendHeartbeats(now);
}

// Passes the list of known gateways on, by which limits are divided among them.
// The list stays empty until `kJoinSettleTime` after this gateway joined, so
// that it takes no share before the others have learned of it by heartbeats.
void GatewayNode::Impl::UpdateKnownGateways(TimeUs now) {
  if (now < next_known_gateways_at) {
    return;
  }
  next_known_gateways_at = now + kKnownGatewaysPeriod;
  const auto joined_at = join.joined_at();
  const bool settled = joined_at && now - *joined_at >= kJoinSettleTime;
  gateway->SetKnownGateways(settled ? peers.Known(now) : std::vector<NodeId>());
}

void GatewayNode::Impl::SendHeartbeats(TimeUs now) {
  const DurationUs period = peers.HeartbeatPeriod(dispatcher.Batches());
  const std::vector<DueHeartbeat> due = peers.DueHeartbeats(now, period);
  const std::vector<DueHeartbeat> probes = peers.DueProbes(now);
  if (due.empty() && probes.empty()) {
    return;
  }
  GatewayHeartbeat heartbeat = CurrentHeartbeat(now);
  for (const DueHeartbeat& it : due) {
    heartbeat.period = it.promise;
    heartbeat.pool_use = gateway->account_shares()->ReportTo(now, it.node);
    mesh->SendDatagram(it.node, heartbeat);
  }
  heartbeat.pool_use.clear();
  heartbeat.requests_reply = true;
  for (const DueHeartbeat& it : probes) {
    heartbeat.period = it.promise;
    mesh->SendDatagram(it.node, heartbeat);
  }
}

GatewayHeartbeat GatewayNode::Impl::CurrentHeartbeat(TimeUs now) const {
  GatewayHeartbeat heartbeat;
  heartbeat.address = {settings.ip, settings.first_peer_port};
  heartbeat.leaving = draining;
  heartbeat.can_check_keys = gateway->can_check_keys();
  heartbeat.config_version = config_row.version();
  heartbeat.cores = settings.cores;
  heartbeat.domain = settings.domain;
  heartbeat.waits = dispatcher.OwnQueueWaits(now);
  heartbeat.rates = gateway->rate_limiter()->statements().Latest(now);
  heartbeat.leaving_replicas = gateway->leaving_statements().Latest(now);
  heartbeat.paces = gateway->capacity()->ToTell(
      now,
      LearnedCapacity::FiguresPerHeartbeat(
          peers.LiveCount() - 1, peers.HeartbeatPeriod(dispatcher.Batches())));
  for (const auto& [replica, load] : gateway->engines()->own_loads()) {
    heartbeat.work.push_back(
        {replica.name, replica.incarnation, load.running, load.unread_tokens});
  }
  return heartbeat;
}

void GatewayNode::Impl::SendToPeer(const NodeId& peer, const Message& message) {
  mesh->Send(peer, message);
}

void GatewayNode::Impl::SendDatagram(const NodeId& peer,
                                     const Message& message) {
  if (mesh != nullptr) {
    mesh->SendDatagram(peer, message);
  }
}

void GatewayNode::Impl::OnPeerMessage(const NodeId& from,
                                      Incarnation,
                                      const Message& message) {
  const TimeUs now = Now();
  if (const auto* tasks = std::get_if<PieceTasks>(&message)) {
    dispatcher.OnPeerTasks(now, from, *tasks);
  } else if (const auto* cancel = std::get_if<PieceCancel>(&message)) {
    dispatcher.OnPeerCancel(*cancel);
  } else if (const auto* release = std::get_if<PieceRelease>(&message)) {
    dispatcher.OnPeerRelease(*release);
  } else if (const auto* results = std::get_if<PieceResults>(&message)) {
    dispatcher.OnPeerResults(*results);
  } else if (const auto* request = std::get_if<TableRequest>(&message)) {
    if (FollowedTable* it = FindFollowedTable(request->table)) {
      it->relay.OnTableRequest(now, from, *request);
    }
  } else if (const auto* reply = std::get_if<TableReply>(&message)) {
    if (FollowedTable* it = FindFollowedTable(reply->table)) {
      it->source.OnReply(now, from, *reply);
    }
  }
}

void GatewayNode::Impl::OnPeerLost(const NodeId& peer) {
  const TimeUs now = Now();
  dispatcher.OnPeerLost(now, peer);
  for (FollowedTable* it : {&configuration, &replicas}) {
    it->relay.OnPeerLost(peer);
    it->source.OnPeerLost(now, peer);
  }
}

void GatewayNode::Impl::OnPeerDatagram(const NodeId& from,
                                       Incarnation peer_incarnation,
                                       const Message& message) {
  if (const auto* report = std::get_if<CrashReport>(&message)) {
    gateway->OnCrashReport(*report, from);
    return;
  }
  if (const auto* report = std::get_if<StreamOriginReport>(&message)) {
    gateway->OnStreamOrigins(*report);
    return;
  }
  if (const auto* query = std::get_if<StreamOriginQuery>(&message)) {
    gateway->OnStreamOriginQuery(from, *query);
    return;
  }
  if (const auto* answer = std::get_if<StreamOriginAnswer>(&message)) {
    gateway->OnStreamOriginAnswer(from, *answer);
    return;
  }
  if (const auto* versions = std::get_if<ServiceVersionReport>(&message)) {
    gateway->OnServiceVersions(from, *versions);
    return;
  }
  if (const auto* wanted = std::get_if<RateLoanRequest>(&message)) {
    gateway->OnRateLoanRequest(from, *wanted);
    return;
  }
  if (const auto* loan = std::get_if<RateLoan>(&message)) {
    gateway->OnRateLoan(from, *loan);
    return;
  }
  if (const auto* unused = std::get_if<RateLoanReturn>(&message)) {
    gateway->OnRateLoanReturn(from, *unused);
    return;
  }
  if (const auto* trial = std::get_if<CrashTrialRequest>(&message)) {
    gateway->OnTrialRequest(from, *trial);
    return;
  }
  if (const auto* grant = std::get_if<CrashTrialGrant>(&message)) {
    gateway->OnTrialGrant(from, *grant);
    return;
  }
  if (const auto* end = std::get_if<CrashTrialEnd>(&message)) {
    gateway->OnTrialEnd(from, *end);
    return;
  }
  const auto* heartbeat = std::get_if<GatewayHeartbeat>(&message);
  if (heartbeat == nullptr) {
    return;
  }
  if (peers.OnGatewayHeartbeat(Now(), from, peer_incarnation, *heartbeat)) {
    mesh->SetAddress(from, heartbeat->address);
    crash_exchange.OnNewPeer(from);
    gateway->OnNewPeer(from);
  }
  std::map<ReplicaId, EngineLoad> loads;
  for (const EngineWork& it : heartbeat->work) {
    loads[{it.replica, it.incarnation}] = {it.running, it.unread_tokens};
  }
  gateway->engines()->SetPeerLoads(from, loads);
  for (const ReplicaRateStatement& it : heartbeat->rates) {
    gateway->OnPeerStatement(it);
  }
  for (const ReplicaLeavingStatement& it : heartbeat->leaving_replicas) {
    gateway->OnPeerStatement(it);
  }
  for (const ReplicaPace& it : heartbeat->paces) {
    gateway->capacity()->OnPeerPace(Now(), from, it);
  }
  dispatcher.OnPeerQueueWaits(heartbeat->waits);
  gateway->account_shares()->OnReport(Now(), from, peer_incarnation,
                                      heartbeat->pool_use);
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
    // Without peers the gateway still serves requests, but in smaller batches.
    log.Write("mesh_failed", {{"why", std::string(status.message())}});
    mesh.reset();
  }
}

}  // namespace acaciachute
