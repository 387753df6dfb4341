// What replicas state about the requests per second that they accept.
//
// A replica in need names a limit in its answers, which applies to all gateways
// together and for as long as its answers name it. So the latest statement
// counts, whichever gateway received it; a new incarnation has stated nothing.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_STATEMENTS_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_STATEMENTS_H_

#include <optional>

#include "absl/container/flat_hash_map.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

struct RateStatement {
  // Requests per second; not set if the replica states no limit any more.
  std::optional<double> per_second;
  TimeUs stated_at = 0;
};

class RateStatements {
 public:
  // The replica answered with this limit, or with none, at `now`. Returns
  // whether its limit changed.
  bool OnAnswer(TimeUs now,
                const ReplicaId& replica,
                std::optional<double> per_second) {
    const auto it = by_replica_.find(replica);
    if (it == by_replica_.end()) {
      if (per_second) {
        by_replica_[replica] = {per_second, now};
      }
      return per_second.has_value();
    }
    const bool changed = it->second.per_second != per_second;
    it->second = {per_second, now};
    return changed;
  }
  void OnReplicaRemoved(const ReplicaId& replica) {
    by_replica_.erase(replica);
  }

  // Empty if the replica states no limit.
  std::optional<double> LimitOf(const ReplicaId& replica) const {
    const auto it = by_replica_.find(replica);
    return it == by_replica_.end() ? std::nullopt : it->second.per_second;
  }

 private:
  // Replicas that have stated a limit.
  absl::flat_hash_map<ReplicaId, RateStatement> by_replica_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_STATEMENTS_H_
