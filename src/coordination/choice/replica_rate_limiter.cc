#include "coordination/choice/replica_rate_limiter.h"

#include <algorithm>
#include <utility>

#include "coordination/choice/rendezvous.h"

namespace acaciachute {

void ReplicaRateLimiter::SetRateLimit(const ColdRateBound& bound,
                                      DurationUs replica_heartbeat_period) {
  bound_ = bound;
  replica_heartbeat_period_ = replica_heartbeat_period;
}

void ReplicaRateLimiter::SetServices(const ServingConfig& config) {
  services_.clear();
  for (const auto& [name, service] : config.services()) {
    if (service.cold_rate > 0) {
      const double max_requests =
          service.cold_rate * bound_.factor + bound_.slack;
      services_[name] = {max_requests, service.cold_start};
    }
  }
}

void ReplicaRateLimiter::SetGateways(std::vector<NodeId> gateways) {
  if (gateways != gateways_) {
    gateways_ = std::move(gateways);
    ++generation_;
  }
}

const ReplicaRateLimiter::Limits* ReplicaRateLimiter::LimitsOf(
    const ReplicaEntry& replica) const {
  const auto it = services_.find(replica.service);
  return it == services_.end() ? nullptr : &it->second;
}

// A replica whose failure domain was put back into use may have restarted while
// the domain was evacuated, and its row may not show that yet.
TimeUs ReplicaRateLimiter::ColdUntil(const ReplicaEntry& replica,
                                     const Limits& limits) const {
  TimeUs until = replica.cold_until;
  if (replica.evacuation_ended_at > 0) {
    until =
        std::max(until, replica.evacuation_ended_at + limits.cold_start +
                            kRowDelayHeartbeats * replica_heartbeat_period_);
  }
  return until;
}

bool ReplicaRateLimiter::IsRateLimited(TimeUs now,
                                       const ReplicaEntry& replica) const {
  if (replica.cold_until == 0 && replica.evacuation_ended_at == 0) {
    return false;  // Fast path: called for every replica.
  }
  const Limits* limits = LimitsOf(replica);
  return limits != nullptr &&
         now < ColdUntil(replica, *limits) + kWarmUpDuration;
}

bool ReplicaRateLimiter::MaySend(TimeUs now, const ReplicaEntry& replica) {
  if (!IsRateLimited(now, replica)) {
    return true;
  }
  const Limits& limits = *LimitsOf(replica);
  RecentRequests& recent_requests = recent_requests_[replica.id];
  recent_requests.DropExpired(now);
  double total = kUsableShare * limits.max_requests;
  for (TimeUs doubling_at = ColdUntil(replica, limits); doubling_at <= now;
       doubling_at += kLimitDoublingPeriod) {
    total *= 2;
  }
  return recent_requests.in_transit + recent_requests.arrival_times.size() <
         ShareOf(replica.id, &recent_requests, total);
}

std::size_t ReplicaRateLimiter::ShareOf(const ReplicaId& replica,
                                        RecentRequests* recent_requests,
                                        double total) {
  const auto whole_requests = static_cast<std::size_t>(total);
  if (gateways_.empty()) {
    return 0;
  }
  if (gateways_.size() <= whole_requests) {
    return whole_requests / gateways_.size();
  }
  if (recent_requests->generation != generation_) {
    recent_requests->generation = generation_;
    recent_requests->rank = RankFor(replica);
  }
  return recent_requests->rank < whole_requests ? 1 : 0;
}

std::size_t ReplicaRateLimiter::RankFor(const ReplicaId& replica) const {
  const double own_weight = RendezvousWeight(replica.name, self_, 1);
  const auto ranked_before =
      std::count_if(gateways_.begin(), gateways_.end(), [&](const NodeId& it) {
        return RendezvousWeight(replica.name, it, 1) > own_weight;
      });
  return static_cast<std::size_t>(ranked_before);
}

void ReplicaRateLimiter::OnSent(const ReplicaEntry& replica) {
  if (LimitsOf(replica) != nullptr) {
    ++recent_requests_[replica.id].in_transit;
  }
}

// Requests sent while the replica was warm count too, because it may become
// cold within the same second.
void ReplicaRateLimiter::OnArrived(TimeUs now, const ReplicaEntry& replica) {
  const auto it = recent_requests_.find(replica.id);
  if (it == recent_requests_.end()) {
    return;
  }
  RecentRequests& recent_requests = it->second;
  recent_requests.in_transit -= std::min(recent_requests.in_transit, 1U);
  recent_requests.arrival_times.push_back(now);
  recent_requests.DropExpired(now);
}

void ReplicaRateLimiter::RecentRequests::DropExpired(TimeUs now) {
  while (!arrival_times.empty() &&
         now - arrival_times.front() > kArrivalWindow) {
    arrival_times.pop_front();
  }
}

void ReplicaRateLimiter::OnNotSent(const ReplicaEntry& replica) {
  if (const auto it = recent_requests_.find(replica.id);
      it != recent_requests_.end()) {
    it->second.in_transit -= std::min(it->second.in_transit, 1U);
  }
}

}  // namespace acaciachute
