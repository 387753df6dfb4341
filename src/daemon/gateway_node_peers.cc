// A gateway process among the others: finding them, heartbeats, pieces handed
// over.
#include <map>
#include <utility>

#include "daemon/gateway_node_impl.h"

namespace acaciachute {
namespace {

// Each look goes over all gateways; a fifth of the shortest period of
// heartbeats.
constexpr DurationUs kPeersPeriod = GatewayPeers::kGatewayHeartbeatPeriod / 5;
constexpr DurationUs kKnownPeriod = 250 * kMillisecond;
// From reading the others' rows until all have heard of this gateway, some
// first heartbeats lost.
constexpr DurationUs kSettle = kSecond;

}  // namespace

void GatewayNode::Impl::TickPeers(TimeUs now) {
  join.OnTick(now);
  if (now < next_peers_at) {
    return;
  }
  next_peers_at = now + kPeersPeriod;
  peers.OnTick(now);
  for (const NodeId& peer : peers.TakeLost(now)) {
    gateway->engines()->SetOthers(peer, {});
    dispatcher.OnPeerLost(now, peer);
  }
  TellKnownGateways(now);
  gateway->SetGatewayCount(peers.Live());
  gateway->SetPeerCanCheckKeys(peers.AnyPeerCanCheckKeys());
  if (mesh == nullptr) {
    return;
  }
  SendHeartbeats(now);
}

// Only those that know the others well enough take a part of what is shared by
// number. A gateway's first heartbeats tell them of it.
void GatewayNode::Impl::TellKnownGateways(TimeUs now) {
  if (now < next_known_at) {
    return;
  }
  next_known_at = now + kKnownPeriod;
  const auto joined_at = join.joined_at();
  const bool settled = joined_at && now - *joined_at >= kSettle;
  gateway->SetKnownGateways(settled ? peers.Known(now) : std::vector<NodeId>());
}

void GatewayNode::Impl::SendHeartbeats(TimeUs now) {
  const DurationUs period = peers.Period(dispatcher.Batches());
  const std::vector<DueHeartbeat> due = peers.DueHeartbeats(now, period);
  const std::vector<DueHeartbeat> probes = peers.DueProbes(now);
  if (due.empty() && probes.empty()) {
    return;
  }
  GatewayHeartbeat heartbeat = CurrentHeartbeat(now);
  for (const DueHeartbeat& it : due) {
    heartbeat.period = it.promise;
    mesh->SendDatagram(it.node, heartbeat);
  }
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
  heartbeat.cores = settings.cores;
  heartbeat.domain = settings.domain;
  heartbeat.waits = dispatcher.OwnQueueWaits(now);
  for (const auto& [replica, load] : gateway->engines()->own()) {
    heartbeat.work.push_back(
        {replica.name, replica.incarnation, load.running, load.unread_tokens});
  }
  return heartbeat;
}

void GatewayNode::Impl::SendToPeer(const NodeId& peer, const Message& message) {
  mesh->Send(peer, message);
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
    if (FollowedTable* it = Followed(request->table)) {
      it->relay.OnTableRequest(now, from, *request);
    }
  } else if (const auto* reply = std::get_if<TableReply>(&message)) {
    if (FollowedTable* it = Followed(reply->table)) {
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
  const auto* heartbeat = std::get_if<GatewayHeartbeat>(&message);
  if (heartbeat == nullptr) {
    return;
  }
  if (peers.OnGatewayHeartbeat(Now(), from, peer_incarnation, *heartbeat)) {
    mesh->SetAddress(from, heartbeat->address);
  }
  std::map<ReplicaId, EngineLoad> loads;
  for (const EngineWork& it : heartbeat->work) {
    loads[{it.replica, it.incarnation}] = {it.running, it.unread_tokens};
  }
  gateway->engines()->SetOthers(from, loads);
  dispatcher.OnPeerQueueWaits(heartbeat->waits);
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

}  // namespace acaciachute
