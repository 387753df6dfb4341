#include "coordination/gateway_peers.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>

#include "text.h"

namespace acaciachute {
namespace {

// Weighted rendezvous hashing: a host's share of the services goes with its
// weight, the cube of its processor share, so that the largest hosts have
// nearly all of them.
double Weight(const std::string& service, const NodeId& node, double cores) {
  const std::string text = StrCat(service, "\n", node);
  constexpr double kRange = 18446744073709551616.0;  // 2 to the 64th.
  const double hash =
      (static_cast<double>(XXH3_64bits(text.data(), text.size())) + 1) /
      (kRange + 1);
  return cores * cores * cores / -std::log(hash);
}

}  // namespace

void GatewayPeers::OnListed(TimeUs now, const NodeId& node) {
  if (node != self_.node) {
    peers_.try_emplace(node).first->second.listed_at = now;
  }
}

bool GatewayPeers::OnBeat(TimeUs now,
                          const NodeId& node,
                          Incarnation incarnation,
                          const GatewayBeat& beat) {
  Peer& peer = peers_[node];
  if (now < peer.unreachable_until) {
    return false;
  }
  const bool changed = !peer.live || peer.leaving != beat.leaving ||
                       peer.incarnation != incarnation;
  if (peer.live && peer.incarnation != incarnation) {
    peer.restarted = true;
  }
  if (beat.asks || peer.incarnation != incarnation) {
    peer.promised = 0;  // It waits for this one's beat, or never had one.
  }
  peer.incarnation = incarnation;
  peer.heard_at = now;
  peer.live = true;
  peer.leaving = beat.leaving;
  peer.current = beat.current;
  peer.period = std::max(beat.period, kBeat);
  if (changed || peer.cores != beat.cores || peer.domain != beat.domain) {
    OnChange();
  }
  peer.cores = beat.cores;
  peer.domain = beat.domain;
  if (changed) {
    log_->Write("peer",
                {{"peer", node}, {"state", beat.leaving ? "leaving" : "live"}});
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
  OnChange();
  it->second.live = false;
  it->second.unreachable_until = now + kUnreachable;
}

std::vector<NodeId> GatewayPeers::TakeLost(TimeUs now) {
  std::vector<NodeId> lost;
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    const bool silent =
        peer.live && now - peer.heard_at > Scaled(peer, kSilent);
    if (silent || peer.restarted) {
      OnChange();
      lost.push_back(it->first);
      peer.live = !silent;
      peer.restarted = false;
      log_->Write("peer", {{"peer", it->first},
                           {"state", silent ? "silent" : "restarted"},
                           {"age_ms", (now - peer.heard_at) / kMillisecond}});
    }
    const TimeUs known_at = std::max(peer.heard_at, peer.listed_at);
    it = now - known_at > kForget ? peers_.erase(it) : std::next(it);
  }
  return lost;
}

DurationUs GatewayPeers::Period(bool batches) const {
  const std::size_t peers = Live() - 1;
  if (batches || leaving_ || peers <= kPeersAtFullRate) {
    return kBeat;
  }
  return kBeat * static_cast<DurationUs>(peers) /
         static_cast<DurationUs>(kPeersAtFullRate);
}

std::vector<DueBeat> GatewayPeers::DueBeats(TimeUs now, DurationUs period) {
  std::vector<DueBeat> due;
  for (auto& [node, peer] : peers_) {
    const DurationUs wait = peer.live ? period : std::max(period, kSilentBeat);
    if (now - peer.told_at >= std::min(wait, peer.promised)) {
      peer.told_at = now;
      peer.promised = wait;
      due.push_back({node, wait});
    }
  }
  return due;
}

std::vector<DueBeat> GatewayPeers::DueQuestions(TimeUs now) {
  std::vector<DueBeat> due;
  for (auto& [node, peer] : peers_) {
    if (peer.live && now - peer.heard_at > Scaled(peer, kSuspect) &&
        now - peer.asked_at >= Scaled(peer, kAskAgain)) {
      peer.asked_at = now;
      due.push_back({node, peer.promised});
    }
  }
  return due;
}

void GatewayPeers::SetLeaving() {
  leaving_ = true;
  OnChange();
  for (auto& [node, peer] : peers_) {
    peer.promised = 0;
  }
}

const NodeId& GatewayPeers::OwnerOf(const std::string& service) const {
  const auto it = owners_.find(service);
  if (it != owners_.end()) {
    return it->second;
  }
  return owners_.emplace(service, FindOwner(service)).first->second;
}

NodeId GatewayPeers::FindOwner(const std::string& service) const {
  double largest = leaving_ ? 0 : self_.cores;
  for (const auto& [node, peer] : peers_) {
    if (peer.live && !peer.leaving) {
      largest = std::max(largest, peer.cores);
    }
  }
  const double least = kLargeShare * largest;
  const NodeId* owner = &self_.node;
  const bool takes_part = !leaving_ && self_.cores >= least;
  double best = takes_part ? Weight(service, self_.node, self_.cores) : 0;
  for (const auto& [node, peer] : peers_) {
    if (!peer.live || peer.leaving || peer.cores < least) {
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

void GatewayPeers::OnChange() {
  owners_.clear();
  relays_found_ = false;
}

std::vector<NodeId> GatewayPeers::RelaysOf(const std::string& domain) const {
  std::vector<GatewayHost> hosts;
  if (!leaving_ && domain == self_.domain) {
    hosts.push_back(self_);
  }
  for (const auto& [node, peer] : peers_) {
    if (peer.live && !peer.leaving && peer.domain == domain) {
      hosts.push_back({node, domain, peer.cores});
    }
  }
  const std::size_t n = 1 + hosts.size() / kFollowersARelay;
  double largest = 0;
  for (const GatewayHost& it : hosts) {
    largest = std::max(largest, it.cores);
  }
  std::map<double, NodeId, std::greater<>> ranked;
  for (const GatewayHost& it : hosts) {
    if (it.cores >= kLargeShare * largest) {
      ranked.emplace(Weight("relay", it.node, it.cores), it.node);
    }
  }
  std::vector<NodeId> relays;
  for (const auto& [weight, node] : ranked) {
    if (relays.size() < n) {
      relays.push_back(node);
    }
  }
  return relays;
}

void GatewayPeers::FindRelays() const {
  relays_found_ = true;
  relays_ = RelaysOf(self_.domain);
  is_relay_ = std::erase(relays_, self_.node) > 0;
  // Followers of one domain spread over its relays.
  std::sort(relays_.begin(), relays_.end(),
            [&](const NodeId& a, const NodeId& b) {
              return Weight(self_.node, a, 1) > Weight(self_.node, b, 1);
            });
  std::set<std::string> domains;
  for (const auto& [node, peer] : peers_) {
    if (peer.live && !peer.leaving && peer.domain != self_.domain) {
      domains.insert(peer.domain);
    }
  }
  std::map<double, NodeId, std::greater<>> far;
  for (const auto& domain : domains) {
    const std::vector<NodeId> of = RelaysOf(domain);
    if (!of.empty()) {
      far.emplace(Weight(self_.node, of.front(), 1), of.front());
    }
  }
  for (const auto& [weight, node] : far) {
    relays_.push_back(node);
  }
}

NodeId GatewayPeers::AnyLive(Random* random) const {
  NodeId drawn;
  std::uint64_t n = 0;
  for (const auto& [node, peer] : peers_) {
    if (peer.live && !peer.leaving && random->Below(++n) == 0) {
      drawn = node;
    }
  }
  return drawn;
}

bool GatewayPeers::IsRelay() const {
  if (!relays_found_) {
    FindRelays();
  }
  return is_relay_;
}

const std::vector<NodeId>& GatewayPeers::relays() const {
  if (!relays_found_) {
    FindRelays();
  }
  return relays_;
}

std::size_t GatewayPeers::Live() const {
  const auto n = std::count_if(peers_.begin(), peers_.end(),
                               [](const auto& it) { return it.second.live; });
  return 1 + static_cast<std::size_t>(n);
}

bool GatewayPeers::AnotherIsCurrent() const {
  return std::any_of(peers_.begin(), peers_.end(), [](const auto& it) {
    return it.second.live && !it.second.leaving && it.second.current;
  });
}

bool GatewayPeers::IsLive(const NodeId& node) const {
  const auto it = peers_.find(node);
  return node == self_.node || (it != peers_.end() && it->second.live);
}

}  // namespace acaciachute
