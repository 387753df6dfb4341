#include "coordination/choice/cold_replica_limiter.h"

#include <algorithm>
#include <utility>

#include "coordination/choice/rendezvous.h"

namespace acaciachute {

void ColdReplicaLimiter::SetBound(const ColdRateBound& bound,
                                  DurationUs replica_heartbeat_period) {
  bound_ = bound;
  replica_heartbeat_period_ = replica_heartbeat_period;
}

void ColdReplicaLimiter::SetServices(const ServingConfig& config) {
  services_.clear();
  for (const auto& [name, service] : config.services()) {
    if (service.cold_rate > 0) {
      const double bound = service.cold_rate * bound_.over + bound_.slack;
      services_[name] = {bound, service.cold_start};
    }
  }
}

void ColdReplicaLimiter::SetGateways(std::vector<NodeId> gateways) {
  if (gateways != gateways_) {
    gateways_ = std::move(gateways);
    ++generation_;
  }
}

const ColdReplicaLimiter::Limits* ColdReplicaLimiter::LimitsOf(
    const ReplicaEntry& replica) const {
  const auto it = services_.find(replica.service);
  return it == services_.end() ? nullptr : &it->second;
}

// A replica in a failure domain whose evacuation ended may have started again
// while it was empty, and its row may not say so yet.
TimeUs ColdReplicaLimiter::ColdUntil(const ReplicaEntry& replica,
                                     const Limits& limits) const {
  TimeUs until = replica.cold_until;
  if (replica.evacuation_ended_at > 0) {
    until = std::max(until, replica.evacuation_ended_at + limits.cold_start +
                                kNewsHeartbeats * replica_heartbeat_period_);
  }
  return until;
}

bool ColdReplicaLimiter::IsBounded(TimeUs now,
                                   const ReplicaEntry& replica) const {
  if (replica.cold_until == 0 && replica.evacuation_ended_at == 0) {
    return false;  // Most are: a choice asks this of every replica.
  }
  const Limits* limits = LimitsOf(replica);
  return limits != nullptr && now < ColdUntil(replica, *limits) + kWarmUp;
}

bool ColdReplicaLimiter::Takes(TimeUs now, const ReplicaEntry& replica) {
  if (!IsBounded(now, replica)) {
    return true;
  }
  const Limits& limits = *LimitsOf(replica);
  Recent& recent = recent_[replica.id];
  recent.Forget(now);
  double total = kSpend * limits.bound;
  for (TimeUs step = ColdUntil(replica, limits); step <= now; step += kDouble) {
    total *= 2;
  }
  return recent.on_their_way + recent.arrived.size() <
         PartOf(replica.id, &recent, total);
}

std::size_t ColdReplicaLimiter::PartOf(const ReplicaId& replica,
                                       Recent* recent,
                                       double total) {
  const auto whole = static_cast<std::size_t>(total);
  if (gateways_.empty()) {
    return 0;
  }
  if (gateways_.size() <= whole) {
    return whole / gateways_.size();
  }
  if (recent->generation != generation_) {
    recent->generation = generation_;
    recent->rank = RankFor(replica);
  }
  return recent->rank < whole ? 1 : 0;
}

std::size_t ColdReplicaLimiter::RankFor(const ReplicaId& replica) const {
  const double own = RendezvousWeight(replica.name, self_, 1);
  const auto before =
      std::count_if(gateways_.begin(), gateways_.end(), [&](const NodeId& it) {
        return RendezvousWeight(replica.name, it, 1) > own;
      });
  return static_cast<std::size_t>(before);
}

void ColdReplicaLimiter::OnSent(const ReplicaEntry& replica) {
  if (LimitsOf(replica) != nullptr) {
    ++recent_[replica.id].on_their_way;
  }
}

// What was sent while the replica was warm counts too: it may turn cold within
// the same second.
void ColdReplicaLimiter::OnArrived(TimeUs now, const ReplicaEntry& replica) {
  const auto it = recent_.find(replica.id);
  if (it == recent_.end()) {
    return;
  }
  Recent& recent = it->second;
  recent.on_their_way -= std::min(recent.on_their_way, 1U);
  recent.arrived.push_back(now);
  recent.Forget(now);
}

void ColdReplicaLimiter::Recent::Forget(TimeUs now) {
  while (!arrived.empty() && now - arrived.front() > kWindow) {
    arrived.pop_front();
  }
}

void ColdReplicaLimiter::OnNotSent(const ReplicaEntry& replica) {
  if (const auto it = recent_.find(replica.id); it != recent_.end()) {
    it->second.on_their_way -= std::min(it->second.on_their_way, 1U);
  }
}

}  // namespace acaciachute
