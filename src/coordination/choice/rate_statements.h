// What replicas state about the requests per second that they accept.
//
// A replica in need names a limit in its answers, which applies to all gateways
// together and for as long as its answers name it. So the latest statement
// counts, whichever gateway received it; a new incarnation has stated nothing.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_STATEMENTS_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_STATEMENTS_H_

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "messages.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class RateStatements {
 public:
  // Number of statements in one heartbeat, the latest ones: a heartbeat has to
  // fit into a datagram whatever the number of replicas in need.
  static constexpr std::size_t kMaxPerHeartbeat = 32;

  // The replica answered at `now` with this limit, or with none. Returns
  // whether its limit changed.
  bool OnAnswer(TimeUs now,
                const ReplicaId& replica,
                std::optional<double> per_second) {
    return Put(replica, {per_second, now});
  }
  // Another gateway received this statement. Returns whether the limit changed.
  bool OnPeerStatement(TimeUs now, const ReplicaRateStatement& statement) {
    const std::optional<double> per_second =
        statement.limited ? std::optional(statement.per_second) : std::nullopt;
    return Put({statement.replica, statement.incarnation},
               {per_second, now - statement.age});
  }
  void OnReplicaRemoved(const ReplicaId& replica) {
    by_replica_.erase(replica);
  }

  // Empty if the replica states no limit.
  std::optional<double> LimitOf(const ReplicaId& replica) const {
    if (by_replica_.empty()) {
      return std::nullopt;  // Fast path: called for every replica.
    }
    const auto it = by_replica_.find(replica);
    return it == by_replica_.end() ? std::nullopt : it->second.per_second;
  }

  std::vector<ReplicaRateStatement> Latest(TimeUs now) const {
    std::vector<ReplicaRateStatement> latest;
    latest.reserve(by_replica_.size());
    for (const auto& [replica, it] : by_replica_) {
      latest.push_back({replica.name, replica.incarnation,
                        it.per_second.has_value(), it.per_second.value_or(0),
                        now - it.stated_at});
    }
    const std::size_t n = std::min(latest.size(), kMaxPerHeartbeat);
    std::partial_sort(
        latest.begin(), latest.begin() + static_cast<std::ptrdiff_t>(n),
        latest.end(),
        [](const auto& a, const auto& b) { return a.age < b.age; });
    latest.resize(n);
    return latest;
  }

 private:
  struct Statement {
    std::optional<double> per_second;
    TimeUs stated_at = 0;
  };

  bool Put(const ReplicaId& replica, Statement statement) {
    const auto it = by_replica_.find(replica);
    if (it == by_replica_.end()) {
      // Most replicas never state a limit and need no entry.
      if (statement.per_second) {
        by_replica_.emplace(replica, statement);
      }
      return statement.per_second.has_value();
    }
    if (statement.stated_at < it->second.stated_at) {
      return false;
    }
    const bool changed = it->second.per_second != statement.per_second;
    it->second = statement;
    return changed;
  }

  // Replicas that have stated a limit.
  absl::flat_hash_map<ReplicaId, Statement> by_replica_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_STATEMENTS_H_
