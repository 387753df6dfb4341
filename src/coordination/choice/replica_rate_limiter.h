// Limits the rate of requests to a replica, summed over all gateways, while it
// is cold or states a limit itself, and the requests of this gateway to a
// replica that asked it for rest.
//
// A replica that has just started, or whose failure domain was just put back
// into use, is idle while all others are busy, so every gateway would send it
// the next request, and it would crash under a rate that it handles when warm.
// A replica in need states in its answers how many requests a second it accepts
// from all gateways together.
//
// A limit is divided among the gateways without messages, in whole requests per
// window: all gateways have an equal part or, if there are more gateways than
// requests, those with the highest hash of (replica, gateway) have one each. A
// request occupies its part from when it is sent until a window after the
// replica's first response to it, or after its end. The requests of one gateway
// therefore never arrive closer together than the limit allows, however long
// each was in transit, and no window has more arrivals than the limit.
//
// The gateways' views of one another differ, because gateways join, leave and
// are partitioned from each other. A gateway is counted for an hour after its
// last message, so that the two sides of a partition do not each use the
// complete limit. A fifth of the limit of a cold replica is reserved for
// gateways that joined a moment ago. A gateway that has just joined sends
// nothing to limited replicas until the others know of it.
//
// A gateway that needs more than its part of a stated limit borrows turns from
// gateways that need less (`RateLoans`).
//
// A process has forgotten what the one before it sent and lent, which still
// counts in the window. So its part of a stated limit accrues from when it
// knows the others, up to a half, and is complete, and lent to others, when no
// request of before counts any more: restarts of all gateways, also in series,
// lead to half as many requests again as the limit allows.
//
// After the cold period the limit doubles in steps until it is lifted
// (`SlowStart`), so that the last delayed requests and the first ones at full
// rate do not arrive together.
//
// The pieces of a batching service are sent by one gateway for all. It uses a
// stated limit alone, except for a share that is reserved for another gateway
// which takes itself for the one that batches.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_REPLICA_RATE_LIMITER_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_REPLICA_RATE_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/choice/rate_loans.h"
#include "coordination/choice/rate_statements.h"
#include "coordination/choice/recent_refusals.h"
#include "coordination/choice/replica_rests.h"
#include "coordination/choice/slow_start.h"
#include "state/host_settings.h"
#include "state/replica_directory.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

class ReplicaRateLimiter {
 public:
  // The limit of a cold replica applies to the arrivals in any interval of this
  // length.
  static constexpr DurationUs kArrivalWindow = kSecond;
  // Share of that limit that the known gateways use; the remainder is for
  // gateways that others do not know yet.
  static constexpr double kUsableShare = 0.8;
  // The shortest window of a stated limit, which applies to arrivals in any
  // such interval. It is longer for limits below one request per window.
  static constexpr DurationUs kStatedWindow = 4 * kSecond;
  // Rate at which a replica that states less gets requests all the same: its
  // answers show when it no longer does.
  static constexpr double kMinStatedRate = 0.1;
  // Stated rates from here on limit nothing.
  static constexpr double kMaxStatedRate = 1e6;
  // Share of a stated limit that the gateway which batches uses.
  static constexpr double kBatchingShare = 0.7;
  // Largest share of its part of a stated limit that a gateway uses until its
  // part is complete.
  static constexpr double kMaxStartShare = 0.5;
  // Share of its part of a stated limit that a gateway does not lend, for the
  // first of its own requests.
  static constexpr double kKeptShare = 0.125;
  // Number of heartbeat periods of a replica until its row in the store shows
  // that it is cold: the row may just have been rewritten (one heartbeat), and
  // the next version needs time to arrive here (one more).
  static constexpr DurationUs kRowDelayHeartbeats = 2;

  explicit ReplicaRateLimiter(NodeId self) : self_(std::move(self)) {}

  void SetRateLimit(const ColdRateBound& bound,
                    DurationUs replica_heartbeat_period);
  void SetServices(const ServingConfig& config);
  // All gateways that may send requests, including this one. Empty if this
  // gateway does not know the others well enough to send any to limited
  // replicas.
  void SetGateways(TimeUs now, std::vector<NodeId> gateways);

  // Whether the rate of the replica is limited now, because it is cold, as far
  // as known here, or still warming up, because it states a limit, or because
  // it rests.
  bool IsRateLimited(TimeUs now, const ReplicaEntry& replica) const;
  // Whether the times of the next turns at the replica are known: it states a
  // limit or rests.
  bool HasTurns(TimeUs now, const ReplicaEntry& replica) const {
    return StatesLimit(replica) || rests_.IsLimited(now, replica.id);
  }
  // Whether one more request may be sent to the replica now.
  bool MaySend(TimeUs now, const ReplicaEntry& replica);
  // The same for a call of the gateway that batches for all.
  bool MaySendBatch(TimeUs now, const ReplicaEntry& replica);
  // Time from which `MaySendBatch` holds, if no other call is sent before.
  TimeUs NextBatch(TimeUs now, const ReplicaEntry& replica);
  // Times from which this gateway may send the next requests to a replica that
  // has turns, in order; empty if it has no part of its limit.
  std::vector<TimeUs> NextTurns(TimeUs now, const ReplicaEntry& replica);

  // Number of requests that this gateway may send to the replica now, by the
  // limit that the replica states, on its own or on borrowed turns.
  std::size_t CountFreeTurns(TimeUs now, const ReplicaId& replica);
  // Number of requests in a window that all gateways together may send; zero if
  // the replica states no limit.
  std::size_t MaxStatedRequests(const ReplicaId& replica) const;
  // Lends up to `n` turns to another gateway; returns how many.
  std::size_t Lend(TimeUs now,
                   const ReplicaId& replica,
                   const RateLoans::LoanId& loan,
                   std::size_t n);
  // Another gateway lent `n` turns.
  void Borrow(const ReplicaId& replica,
              const RateLoans::LoanId& loan,
              std::size_t n);

  RateLoans& loans() { return loans_; }
  ReplicaRests& rests() { return rests_; }
  const ReplicaRests& rests() const { return rests_; }
  RecentRefusals& refusals() { return refusals_; }
  const RecentRefusals& refusals() const { return refusals_; }
  RateStatements& statements() { return statements_; }
  const RateStatements& statements() const { return statements_; }

  // A request was sent to the replica.
  void OnSent(const ReplicaEntry& replica);
  // The request arrived: the replica responded, or the call ended and nothing
  // of the request is in transit any more.
  void OnArrived(TimeUs now, const ReplicaEntry& replica);
  // No byte of the request was sent.
  void OnNotSent(const ReplicaEntry& replica);
  // The replica was removed or restarted.
  void OnReplicaRemoved(const ReplicaId& replica) {
    recent_requests_.erase(replica);
    loans_.OnReplicaRemoved(replica);
    statements_.OnReplicaRemoved(replica);
    refusals_.OnReplicaRemoved(replica);
  }

 private:
  struct Limits {
    // Maximum number of requests per `kArrivalWindow`, over all gateways.
    double max_requests = 0;
    // Time that a replica stays cold after its start.
    DurationUs cold_start = 0;
  };
  // A limit that a replica states, in whole requests per window.
  struct StatedLimit {
    std::size_t max_requests = 0;
    DurationUs window = 0;
  };
  // Requests sent to one replica.
  struct RecentRequests {
    void DropArrivalsBefore(TimeUs time);
    // Number of requests in transit or arrived within the last `window`.
    std::size_t CountWithin(TimeUs now, DurationUs window) const;

    std::uint32_t in_transit = 0;
    // Times of the arrivals within the longest window that applies.
    std::deque<TimeUs> arrival_times;
    // Number of gateways with a higher hash for the replica, computed for the
    // gateway list numbered `generation`.
    std::size_t rank = 0;
    std::uint64_t generation = 0;
  };

  bool StatesLimit(const ReplicaEntry& replica) const {
    return StatedLimitOf(replica.id).has_value();
  }
  // Number of calls per window that the gateway which batches may send.
  std::size_t BatchShare(TimeUs now, const StatedLimit& stated) const;
  // Time since when this gateway knows the others.
  DurationUs Age(TimeUs now) const { return now - gateways_known_since_; }
  // Age at which this gateway's part of a stated limit is complete.
  static DurationUs CompleteAge(const StatedLimit& stated) {
    return stated.window + RateLoans::kMaxArrivalDelay;
  }
  // What this gateway may use now of `part`, its part of a stated limit, which
  // is complete at `complete_age`.
  std::size_t UsableNow(TimeUs now,
                        const StatedLimit& stated,
                        DurationUs complete_age,
                        std::size_t part) const;
  // What this gateway may use by itself of a stated limit, and how much of that
  // is in use or lent.
  struct OwnTurns {
    std::size_t part = 0;
    std::size_t used = 0;
  };
  OwnTurns OwnTurnsOf(TimeUs now,
                      const ReplicaId& replica,
                      const StatedLimit& stated);
  // Number of borrowed turns that may be used yet.
  std::size_t CountBorrowed(TimeUs now,
                            const ReplicaId& replica,
                            const OwnTurns& own);
  // Turns by the limit that the replica states.
  std::vector<TimeUs> StatedTurns(TimeUs now,
                                  const ReplicaId& replica,
                                  const StatedLimit& stated);
  // Null if the service has no limit for cold replicas.
  const Limits* LimitsOf(const ReplicaEntry& replica) const;
  std::optional<StatedLimit> StatedLimitOf(const ReplicaId& replica) const;
  // The longest window in which arrivals at the replica count.
  DurationUs LongestWindow(const ReplicaId& replica) const;
  bool IsCold(TimeUs now, const ReplicaEntry& replica) const;
  bool MaySendToCold(TimeUs now, const ReplicaEntry& replica);
  TimeUs ColdUntil(const ReplicaEntry& replica, const Limits& limits) const;
  // This gateway's part of a limit.
  std::size_t ShareOf(const ReplicaId& replica,
                      RecentRequests* recent_requests,
                      std::size_t whole_requests);
  std::size_t RankFor(const ReplicaId& replica) const;

  const NodeId self_;
  ColdRateBound bound_;
  DurationUs replica_heartbeat_period_ = 0;
  absl::flat_hash_map<std::string, Limits> services_;
  std::vector<NodeId> gateways_;
  TimeUs gateways_known_since_ = 0;
  std::uint64_t generation_ = 1;  // Increases when `gateways_` changes.
  absl::flat_hash_map<ReplicaId, RecentRequests> recent_requests_;
  RateStatements statements_;
  RateLoans loans_;
  ReplicaRests rests_;
  RecentRefusals refusals_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_REPLICA_RATE_LIMITER_H_
