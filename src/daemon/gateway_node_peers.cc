// A gateway process among the others: finding them, beats, pieces handed over.
#include <map>
#include <utility>

#include "daemon/gateway_node_impl.h"

namespace acaciachute {
namespace {

// Each look goes over all gateways; a fifth of the shortest period of beats.
constexpr DurationUs kPeersPeriod = GatewayPeers::kBeat / 5;
constexpr DurationUs kKnownPeriod = 250 * kMillisecond;
// From reading the others' rows until all have heard of this gateway, some
// first beats lost.
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
    desk.OnPeerLost(now, peer);
  }
  TellKnownGateways(now);
  gateway->SetEntries(peers.Live());
  gateway->SetAnotherIsCurrent(peers.AnotherIsCurrent());
  if (mesh == nullptr) {
    return;
  }
  SendBeats(now);
}

// Only those that know the others well enough take a part of what is shared by
// number. A gateway's first beats tell them of it.
void GatewayNode::Impl::TellKnownGateways(TimeUs now) {
  if (now < next_known_at) {
    return;
  }
  next_known_at = now + kKnownPeriod;
  const auto joined_at = join.joined_at();
  const bool settled = joined_at && now - *joined_at >= kSettle;
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
    if (FollowedTable* it = Followed(question->table)) {
      it->relay.OnQuestion(now, from, *question);
    }
  } else if (const auto* reply = std::get_if<TableReply>(&message)) {
    if (FollowedTable* it = Followed(reply->table)) {
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
    // Alone it still serves, with smaller batches.
    log.Write("mesh_failed", {{"why", std::string(status.message())}});
    mesh.reset();
  }
}

}  // namespace acaciachute
