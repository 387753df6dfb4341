#include "coordination/membership/gateway_peers.h"

#include <algorithm>

#include "coordination/choice/rendezvous.h"

namespace acaciachute {
namespace {

// A host's share of the services is proportional to the cube of its processor
// share, so the largest hosts batch nearly all services.
double Weight(const std::string& service, const NodeId& node, double cores) {
  return RendezvousWeight(service, node, cores * cores * cores);
}

}  // namespace

void GatewayPeers::OnListed(TimeUs now, const NodeId& node) {
  if (node != self_.node) {
    peers_.try_emplace(node).first->second.listed_at = now;
    known_until_.try_emplace(node, now + kPeerRemovalTimeout);
  }
}

bool GatewayPeers::OnGatewayHeartbeat(TimeUs now,
                                      const NodeId& node,
                                      Incarnation incarnation,
                                      const GatewayHeartbeat& heartbeat) {
  Peer& peer = peers_[node];
  known_until_[node] = now + kKnownPeerDuration;
  if (now < peer.unreachable_until) {
    return false;
  }
  const bool changed = !peer.live || peer.leaving != heartbeat.leaving ||
                       peer.incarnation != incarnation;
  if (peer.live && peer.incarnation != incarnation) {
    peer.restarted = true;
  }
  if (heartbeat.requests_reply || peer.incarnation != incarnation) {
    // The peer waits for a heartbeat of this gateway, or has received none yet.
    peer.promised_interval = 0;
  }
  peer.incarnation = incarnation;
  peer.last_heartbeat_at = now;
  peer.live = true;
  peer.leaving = heartbeat.leaving;
  peer.can_check_keys = heartbeat.can_check_keys;
  newest_config_version_ =
      std::max(newest_config_version_, heartbeat.config_version);
  peer.period = std::max(heartbeat.period, kGatewayHeartbeatPeriod);
  if (changed || peer.cores != heartbeat.cores ||
      peer.domain != heartbeat.domain) {
    DiscardDerivedState();
  }
  peer.cores = heartbeat.cores;
  peer.domain = heartbeat.domain;
  if (changed) {
    log_->Write("peer", {{"peer", node},
                         {"state", heartbeat.leaving ? "leaving" : "live"}});
  }
  return changed;
}

void GatewayPeers::OnUnreachable(TimeUs now, const NodeId& node) {
  const auto it = peers_.find(node);
  if (it == peers_.end()) {
    return;
  }
  if (it->second.live) {
    log_->Write("peer", {{"peer", node}, {"state", "unreachable"}});
  }
  DiscardDerivedState();
  it->second.live = false;
  it->second.unreachable_until = now + kUnreachableDuration;
}

std::vector<NodeId> GatewayPeers::Known(TimeUs now) const {
  std::vector<NodeId> known = {self_.node};
  for (const auto& [node, until] : known_until_) {
    if (now < until) {
      known.push_back(node);
    }
  }
  std::sort(known.begin(), known.end());
  return known;
}

void GatewayPeers::OnTick(TimeUs now) {
  const DurationUs suspended_for = suspension_detector_.CheckSuspension(now);
  if (suspended_for == 0) {
    return;
  }
  log_->Write("suspended",
              {{"for_ms", (suspended_for + kMaxTickInterval) / kMillisecond}});
  for (auto& [node, peer] : peers_) {
    if (peer.live) {
      // A heartbeat may have been read since this process resumed.
      peer.last_heartbeat_at =
          std::min(now, peer.last_heartbeat_at + suspended_for);
    }
  }
}

std::vector<NodeId> GatewayPeers::TakeLost(TimeUs now) {
  std::vector<NodeId> lost;
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    const bool silent = peer.live && now - peer.last_heartbeat_at >
                                         ScaleToPeriod(peer, kPeerTimeout);
    if (silent || peer.restarted) {
      DiscardDerivedState();
      lost.push_back(it->first);
      peer.live = !silent;
      peer.restarted = false;
      log_->Write("peer",
                  {{"peer", it->first},
                   {"state", silent ? "silent" : "restarted"},
                   {"age_ms", (now - peer.last_heartbeat_at) / kMillisecond}});
    }
    const TimeUs known_at = std::max(peer.last_heartbeat_at, peer.listed_at);
    it =
        now - known_at > kPeerRemovalTimeout ? peers_.erase(it) : std::next(it);
  }
  return lost;
}

DurationUs GatewayPeers::HeartbeatPeriod(bool batches) const {
  const std::size_t peers = LiveCount() - 1;
  if (batches || leaving_ || peers <= kMaxPeersAtFullRate) {
    return kGatewayHeartbeatPeriod;
  }
  return kGatewayHeartbeatPeriod * static_cast<DurationUs>(peers) /
         static_cast<DurationUs>(kMaxPeersAtFullRate);
}

std::vector<DueHeartbeat> GatewayPeers::DueHeartbeats(TimeUs now,
                                                      DurationUs period) {
  std::vector<DueHeartbeat> due;
  for (auto& [node, peer] : peers_) {
    const DurationUs wait =
        peer.live ? period : std::max(period, kSilentPeerHeartbeatPeriod);
    if (now - peer.heartbeat_sent_at >=
        std::min(wait, peer.promised_interval)) {
      peer.heartbeat_sent_at = now;
      peer.promised_interval = wait;
      due.push_back({node, wait});
    }
  }
  return due;
}

std::vector<DueHeartbeat> GatewayPeers::DueProbes(TimeUs now) {
  std::vector<DueHeartbeat> due;
  for (auto& [node, peer] : peers_) {
    if (peer.live &&
        now - peer.last_heartbeat_at > ScaleToPeriod(peer, kProbeDelay) &&
        now - peer.probed_at >= ScaleToPeriod(peer, kProbeInterval)) {
      peer.probed_at = now;
      due.push_back({node, peer.promised_interval});
    }
  }
  return due;
}

void GatewayPeers::SetLeaving() {
  leaving_ = true;
  DiscardDerivedState();
  for (auto& [node, peer] : peers_) {
    peer.promised_interval = 0;
  }
}

const NodeId& GatewayPeers::OwnerOf(const std::string& service) const {
  const auto it = owners_.find(service);
  if (it != owners_.end()) {
    return it->second;
  }
  return owners_.emplace(service, FindOwner(service)).first->second;
}

// With weights alone, a service would now and then belong to a small host for
// as long as both hosts live. Its processor would then cause a queue, and all
// requests of that stage would be late. So small hosts do not batch.
NodeId GatewayPeers::FindOwner(const std::string& service) const {
  double largest = leaving_ ? 0 : self_.cores;
  for (const auto& [node, peer] : peers_) {
    if (peer.live && !peer.leaving) {
      largest = std::max(largest, peer.cores);
    }
  }
  const double min_cores = kMinLargeHostShare * largest;
  const NodeId* owner = &self_.node;
  const bool is_candidate = !leaving_ && self_.cores >= min_cores;
  double best = is_candidate ? Weight(service, self_.node, self_.cores) : 0;
  for (const auto& [node, peer] : peers_) {
    if (!peer.live || peer.leaving || peer.cores < min_cores) {
      continue;
    }
    const double weight = Weight(service, node, peer.cores);
    if (weight > best) {
      best = weight;
      owner = &node;
    }
  }
  return *owner;
}

void GatewayPeers::DiscardDerivedState() {
  owners_.clear();
  relay_plan_.reset();
}

NodeId GatewayPeers::AnyLive(Random* random) const {
  NodeId chosen;
  std::uint64_t count = 0;
  for (const auto& [node, peer] : peers_) {
    if (peer.live && !peer.leaving && random->Below(++count) == 0) {
      chosen = node;
    }
  }
  return chosen;
}

const RelayPlan& GatewayPeers::relay_plan() const {
  if (!relay_plan_) {
    std::vector<GatewayHost> hosts;
    if (!leaving_) {
      hosts.push_back(self_);
    }
    for (const auto& [node, peer] : peers_) {
      if (peer.live && !peer.leaving) {
        hosts.push_back({node, peer.domain, peer.cores});
      }
    }
    relay_plan_ = PlanRelays(self_, hosts);
  }
  return *relay_plan_;
}

std::size_t GatewayPeers::LiveCount() const {
  const auto count =
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& it) { return it.second.live; });
  return 1 + static_cast<std::size_t>(count);
}

bool GatewayPeers::AnyPeerCanCheckKeys() const {
  return std::any_of(peers_.begin(), peers_.end(), [](const auto& it) {
    return it.second.live && !it.second.leaving && it.second.can_check_keys;
  });
}

std::vector<NodeId> GatewayPeers::LivePeers() const {
  std::vector<NodeId> live;
  for (const auto& [node, peer] : peers_) {
    if (peer.live) {
      live.push_back(node);
    }
  }
  return live;
}

bool GatewayPeers::IsLive(const NodeId& node) const {
  const auto it = peers_.find(node);
  return node == self_.node || (it != peers_.end() && it->second.live);
}

}  // namespace acaciachute
