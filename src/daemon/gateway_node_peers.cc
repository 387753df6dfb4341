// Communication of a gateway process with other gateways: discovery,
// heartbeats, tasks and results of pieces, and relayed tables.
#include <map>
#include <utility>

#include "daemon/gateway_node_impl.h"

namespace acaciachute {
namespace {

// Period of checks of all peers, which iterate over all gateways: a fifth of
// the shortest heartbeat period.
constexpr DurationUs kPeerCheckPeriod = GatewayPeers::kBeat / 5;
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
    gateway->engines()->SetOthers(peer, {});
    desk.OnPeerLost(now, peer);
  }
  UpdateKnownGateways(now);
  gateway->SetEntries(peers.Live());
  gateway->SetAnotherIsCurrent(peers.AnotherIsCurrent());
  if (mesh == nullptr) {
    return;
  }
  SendBeats(now);
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

void GatewayNode::Impl::SendBeats(TimeUs now) {
  const DurationUs period = peers.Period(desk.Batches());
  const std::vector<DueBeat> due = peers.DueBeats(now, period);
  const std::vector<DueBeat> questions = peers.DueQuestions(now);
  if (due.empty() && questions.empty()) {
    return;
  }
  GatewayBeat beat = BeatNow(now);
  for (const DueBeat& it : due) {
    beat.period = it.promise;
    mesh->SendDatagram(it.node, beat);
  }
  beat.asks = true;
  for (const DueBeat& it : questions) {
    beat.period = it.promise;
    mesh->SendDatagram(it.node, beat);
  }
}

GatewayBeat GatewayNode::Impl::BeatNow(TimeUs now) const {
  GatewayBeat beat;
  beat.address = {settings.ip, settings.first_peer_port};
  beat.leaving = draining;
  beat.current = gateway->current();
  beat.cores = settings.cores;
  beat.domain = settings.domain;
  beat.waits = desk.OwnWaits(now);
  for (const auto& [replica, load] : gateway->engines()->own()) {
    beat.work.push_back(
        {replica.name, replica.life, load.running, load.unread_tokens});
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
  } else if (const auto* question = std::get_if<TableQuestion>(&message)) {
    if (FollowedTable* it = FindFollowedTable(question->table)) {
      it->relay.OnQuestion(now, from, *question);
    }
  } else if (const auto* reply = std::get_if<TableReply>(&message)) {
    if (FollowedTable* it = FindFollowedTable(reply->table)) {
      it->source.OnReply(now, from, *reply);
    }
  }
}

void GatewayNode::Impl::OnPeerLost(const NodeId& peer) {
  const TimeUs now = Now();
  desk.OnPeerLost(now, peer);
  for (FollowedTable* it : {&configuration, &replicas}) {
    it->relay.OnPeerLost(peer);
    it->source.OnPeerLost(now, peer);
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
    loads[{it.replica, it.life}] = {it.running, it.unread_tokens};
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
    // Without peers the gateway still serves requests, but in smaller batches.
    log.Write("mesh_failed", {{"why", std::string(status.message())}});
    mesh.reset();
  }
}

}  // namespace acaciachute
