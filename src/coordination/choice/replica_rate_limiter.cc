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

void ReplicaRateLimiter::SetGateways(TimeUs now, std::vector<NodeId> gateways) {
  if (gateways_.empty()) {
    gateways_known_since_ = now;
  }
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

bool ReplicaRateLimiter::IsCold(TimeUs now, const ReplicaEntry& replica) const {
  if (replica.cold_until == 0 && replica.evacuation_ended_at == 0) {
    return false;  // Fast path: called for every replica.
  }
  const Limits* limits = LimitsOf(replica);
  return limits != nullptr &&
         now < ColdUntil(replica, *limits) + SlowStart::kDuration;
}

bool ReplicaRateLimiter::IsRateLimited(TimeUs now,
                                       const ReplicaEntry& replica) const {
  return IsCold(now, replica) || HasTurns(now, replica);
}

std::optional<ReplicaRateLimiter::StatedLimit>
ReplicaRateLimiter::StatedLimitOf(const ReplicaId& replica) const {
  const std::optional<double> stated = statements_.LimitOf(replica);
  if (!stated || *stated >= kMaxStatedRate) {
    return std::nullopt;
  }
  const double per_second = std::max(*stated, kMinStatedRate);
  const DurationUs window =
      std::max(kStatedWindow, static_cast<DurationUs>(kSecond / per_second));
  const double requests =
      per_second * static_cast<double>(window) / static_cast<double>(kSecond);
  return StatedLimit{
      std::max<std::size_t>(1, static_cast<std::size_t>(requests)), window};
}

DurationUs ReplicaRateLimiter::LongestWindow(const ReplicaId& replica) const {
  const auto stated = StatedLimitOf(replica);
  return stated ? stated->window : kArrivalWindow;
}

bool ReplicaRateLimiter::MaySendToCold(TimeUs now,
                                       const ReplicaEntry& replica) {
  if (!IsCold(now, replica)) {
    return true;
  }
  const Limits& limits = *LimitsOf(replica);
  RecentRequests& recent_requests = recent_requests_[replica.id];
  const double total =
      kUsableShare * limits.max_requests *
      static_cast<double>(SlowStart::Factor(now - ColdUntil(replica, limits)));
  return recent_requests.CountWithin(now, kArrivalWindow) <
         ShareOf(replica.id, &recent_requests, static_cast<std::size_t>(total));
}

bool ReplicaRateLimiter::MaySend(TimeUs now, const ReplicaEntry& replica) {
  if (!rests_.MaySend(now, replica.id) || !MaySendToCold(now, replica)) {
    return false;
  }
  const auto stated = StatedLimitOf(replica.id);
  if (!stated) {
    return true;
  }
  const OwnTurns own = OwnTurnsOf(now, replica.id, *stated);
  return own.used < own.part || CountBorrowed(now, replica.id, own) > 0;
}

std::size_t ReplicaRateLimiter::UsableNow(TimeUs now,
                                          const StatedLimit& stated,
                                          DurationUs complete_age,
                                          std::size_t part) const {
  if (Age(now) >= complete_age) {
    return part;
  }
  const double share =
      std::min(kMaxStartShare, static_cast<double>(Age(now)) /
                                   static_cast<double>(stated.window));
  return static_cast<std::size_t>(share * static_cast<double>(part));
}

ReplicaRateLimiter::OwnTurns ReplicaRateLimiter::OwnTurnsOf(
    TimeUs now,
    const ReplicaId& replica,
    const StatedLimit& stated) {
  RecentRequests& recent_requests = recent_requests_[replica];
  const std::size_t part =
      ShareOf(replica, &recent_requests, stated.max_requests);
  return {UsableNow(now, stated, CompleteAge(stated), part),
          recent_requests.CountWithin(now, stated.window) +
              loans_.CountLent(now, replica)};
}

std::size_t ReplicaRateLimiter::CountBorrowed(TimeUs now,
                                              const ReplicaId& replica,
                                              const OwnTurns& own) {
  return loans_.CountUnused(now, replica,
                            own.used - std::min(own.used, own.part));
}

std::size_t ReplicaRateLimiter::CountFreeTurns(TimeUs now,
                                               const ReplicaId& replica) {
  const auto stated = StatedLimitOf(replica);
  if (!stated) {
    return 0;
  }
  const OwnTurns own = OwnTurnsOf(now, replica, *stated);
  return own.part - std::min(own.part, own.used) +
         CountBorrowed(now, replica, own);
}

std::size_t ReplicaRateLimiter::MaxStatedRequests(
    const ReplicaId& replica) const {
  const auto stated = StatedLimitOf(replica);
  return stated ? stated->max_requests : 0;
}

// Half of what is free, so that there is something for the next one that asks.
std::size_t ReplicaRateLimiter::Lend(TimeUs now,
                                     const ReplicaId& replica,
                                     const RateLoans::LoanId& loan,
                                     std::size_t n) {
  const auto stated = StatedLimitOf(replica);
  if (!stated || Age(now) < CompleteAge(*stated)) {
    return 0;
  }
  const OwnTurns own = OwnTurnsOf(now, replica, *stated);
  const auto kept =
      static_cast<std::size_t>(kKeptShare * static_cast<double>(own.part));
  const std::size_t free = own.part - std::min(own.part, own.used + kept);
  const std::size_t lent = std::min(n, (free + 1) / 2);
  if (lent > 0) {
    loans_.OnLent(now, replica, loan, lent, stated->window);
  }
  return lent;
}

void ReplicaRateLimiter::Borrow(const ReplicaId& replica,
                                const RateLoans::LoanId& loan,
                                std::size_t n) {
  if (const auto stated = StatedLimitOf(replica)) {
    loans_.OnBorrowed(replica, loan, std::min(n, stated->max_requests),
                      stated->window);
  }
}

bool ReplicaRateLimiter::MaySendBatch(TimeUs now, const ReplicaEntry& replica) {
  if (!rests_.MaySend(now, replica.id)) {
    return false;
  }
  const auto stated = StatedLimitOf(replica.id);
  return !stated || recent_requests_[replica.id].CountWithin(
                        now, stated->window) < BatchShare(now, *stated);
}

std::size_t ReplicaRateLimiter::BatchShare(TimeUs now,
                                           const StatedLimit& stated) const {
  const auto share = static_cast<std::size_t>(
      kBatchingShare * static_cast<double>(stated.max_requests));
  return std::max<std::size_t>(1, UsableNow(now, stated, stated.window, share));
}

TimeUs ReplicaRateLimiter::NextBatch(TimeUs now, const ReplicaEntry& replica) {
  TimeUs next = now;
  if (!rests_.MaySend(now, replica.id)) {
    next = rests_.NextTurns(now, replica.id).front();
  }
  const auto stated = StatedLimitOf(replica.id);
  const auto it = recent_requests_.find(replica.id);
  if (!stated || it == recent_requests_.end()) {
    return next;
  }
  const auto& arrivals = it->second.arrival_times;
  const std::size_t share = BatchShare(now, *stated);
  if (it->second.CountWithin(now, stated->window) < share) {
    return next;
  }
  // A call in transit counts as if it arrived now.
  const std::size_t waits_for = arrivals.size() + it->second.in_transit - share;
  return std::max(next,
                  (waits_for < arrivals.size() ? arrivals[waits_for] : now) +
                      stated->window);
}

// When a request in transit will arrive is not known; it counts as if it
// arrived now. More requests than this gateway's part may be there if the limit
// was lowered, so only the last ones count.
std::vector<TimeUs> ReplicaRateLimiter::StatedTurns(TimeUs now,
                                                    const ReplicaId& replica,
                                                    const StatedLimit& stated) {
  RecentRequests& recent_requests = recent_requests_[replica];
  recent_requests.DropArrivalsBefore(now - stated.window);
  const OwnTurns own = OwnTurnsOf(now, replica, stated);
  std::vector<TimeUs> turns = loans_.ReturnTimes(now, replica);
  turns.insert(turns.end(), own.part - std::min(own.part, own.used), now);
  for (const TimeUs it : recent_requests.arrival_times) {
    turns.push_back(it + stated.window);
  }
  std::sort(turns.begin(), turns.end());
  turns.resize(std::max(turns.size(), own.part), now + stated.window);
  turns.erase(turns.begin(),
              turns.end() - static_cast<std::ptrdiff_t>(own.part));
  turns.insert(turns.begin(), CountBorrowed(now, replica, own), now);
  return turns;
}

// A replica that rests and states a limit has a turn when both allow it.
std::vector<TimeUs> ReplicaRateLimiter::NextTurns(TimeUs now,
                                                  const ReplicaEntry& replica) {
  std::vector<TimeUs> rest_turns;
  if (rests_.IsLimited(now, replica.id)) {
    rest_turns = rests_.NextTurns(now, replica.id);
  }
  const auto stated = StatedLimitOf(replica.id);
  if (!stated) {
    return rest_turns;
  }
  std::vector<TimeUs> turns = StatedTurns(now, replica.id, *stated);
  for (std::size_t n = 0; n < turns.size() && n < rest_turns.size(); ++n) {
    turns[n] = std::max(turns[n], rest_turns[n]);
  }
  return turns;
}

std::size_t ReplicaRateLimiter::ShareOf(const ReplicaId& replica,
                                        RecentRequests* recent_requests,
                                        std::size_t whole_requests) {
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
  if (LimitsOf(replica) != nullptr || StatesLimit(replica)) {
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
  recent_requests.DropArrivalsBefore(now - LongestWindow(replica.id));
}

void ReplicaRateLimiter::RecentRequests::DropArrivalsBefore(TimeUs time) {
  while (!arrival_times.empty() && arrival_times.front() < time) {
    arrival_times.pop_front();
  }
}

std::size_t ReplicaRateLimiter::RecentRequests::CountWithin(
    TimeUs now,
    DurationUs window) const {
  const auto first = std::lower_bound(arrival_times.begin(),
                                      arrival_times.end(), now - window);
  return in_transit + static_cast<std::size_t>(arrival_times.end() - first);
}

void ReplicaRateLimiter::OnNotSent(const ReplicaEntry& replica) {
  if (const auto it = recent_requests_.find(replica.id);
      it != recent_requests_.end()) {
    it->second.in_transit -= std::min(it->second.in_transit, 1U);
  }
}

}  // namespace acaciachute
