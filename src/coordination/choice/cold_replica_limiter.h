// Bounds what a replica gets in a second while it is cold, over all gateways
// together.
//
// Failure: a replica starts, or the evacuation of its domain ends, and it is
// idle while all others are busy. Symptom: every gateway sends it the next
// request, and it crashes under a rate that it stands when it is warm. The
// bound is divided among the gateways without messages, in whole requests: all
// have an equal part, or, where there are more gateways than requests, those
// with the highest hash of (replica, gateway) have one each. A request takes
// its part from when it is sent until a second after the replica's first
// answer, or after its end, so that those of one gateway never arrive closer
// together than counted, however long each was on its way.
//
// Views differ: gateways come, go, and are cut off from one another. One counts
// for an hour after it was last heard, so that two halves of a cut do not each
// take the whole; a fifth of the bound is left for those that came a moment
// ago; and one that has just joined sends nothing to cold replicas until the
// others have heard of it.
//
// Afterwards the bound doubles by steps until it is lifted (slow start), so
// that the last request held back and the first at full rate do not meet.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_COLD_REPLICA_LIMITER_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_COLD_REPLICA_LIMITER_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "state/host_settings.h"
#include "state/replica_directory.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

class ColdReplicaLimiter {
 public:
  // The bound counts arrivals in any span of this length.
  static constexpr DurationUs kWindow = kSecond;
  // Of the bound; the rest is for gateways that others do not know yet.
  static constexpr double kSpend = 0.8;
  static constexpr DurationUs kWarmUp = kSecond;
  static constexpr DurationUs kDouble = 250 * kMillisecond;
  // Beats of a replica until its row tells that it is cold: one that was just
  // written, and one for its way here.
  static constexpr DurationUs kNewsHeartbeats = 2;

  explicit ColdReplicaLimiter(NodeId self) : self_(std::move(self)) {}

  void SetBound(const ColdRateBound& bound,
                DurationUs replica_heartbeat_period);
  void SetServices(const ServingConfig& config);
  // All gateways that may send requests, this one included; empty: it does not
  // know the others well enough to send any.
  void SetGateways(std::vector<NodeId> gateways);

  // Whether the replica takes only so much now: it is cold by what is known, or
  // was a moment ago.
  bool IsBounded(TimeUs now, const ReplicaEntry& replica) const;
  bool Takes(TimeUs now, const ReplicaEntry& replica);

  void OnSent(const ReplicaEntry& replica);
  // The replica has it: it answered, or nothing of it is on its way any more.
  void OnArrived(TimeUs now, const ReplicaEntry& replica);
  // No byte of it left.
  void OnNotSent(const ReplicaEntry& replica);
  void OnReplicaGone(const ReplicaId& replica) { recent_.erase(replica); }

 private:
  struct Limits {
    double bound = 0;  // Requests in a window.
    DurationUs cold_start = 0;
  };
  // What was sent to one replica.
  struct Recent {
    // What arrived before the last window.
    void Forget(TimeUs now);

    std::uint32_t on_their_way = 0;
    std::deque<TimeUs> arrived;  // Within the last window.
    // How many gateways come before this one, among those of `generation`.
    std::size_t rank = 0;
    std::uint64_t generation = 0;
  };

  // Null when the service's replicas stand as much cold as warm.
  const Limits* LimitsOf(const ReplicaEntry& replica) const;
  TimeUs ColdUntil(const ReplicaEntry& replica, const Limits& limits) const;
  // Of `total` requests in a window, this gateway's.
  std::size_t PartOf(const ReplicaId& replica, Recent* recent, double total);
  std::size_t RankFor(const ReplicaId& replica) const;

  const NodeId self_;
  ColdRateBound bound_;
  DurationUs replica_heartbeat_period_ = 0;
  absl::flat_hash_map<std::string, Limits> services_;
  std::vector<NodeId> gateways_;
  std::uint64_t generation_ = 1;  // Of `gateways_`.
  absl::flat_hash_map<ReplicaId, Recent> recent_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_COLD_REPLICA_LIMITER_H_
