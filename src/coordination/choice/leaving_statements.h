// Replicas whose own answers to this gateway stated that they leave, for the
// other gateways: those that such a replica has not answered would send it
// requests until the store lists it as leaving, in an outage for a long time.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_LEAVING_STATEMENTS_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_LEAVING_STATEMENTS_H_

#include <deque>
#include <vector>

#include "messages.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class LeavingStatements {
 public:
  // Number of statements in one heartbeat, the latest ones, as a heartbeat has
  // to fit into a datagram.
  static constexpr std::size_t kMaxPerHeartbeat = 32;
  // A statement is passed on for this time, which is two heartbeats at least,
  // also among hundreds of gateways. Whoever misses them is told by the
  // replica's own answer.
  static constexpr DurationUs kMaxAge = 20 * kSecond;

  // The first answer of the replica that states it.
  void OnAnswer(TimeUs now, const ReplicaId& replica) {
    statements_.push_back({replica, now});
    while (statements_.size() > kMaxPerHeartbeat) {
      statements_.pop_front();
    }
  }

  std::vector<ReplicaLeavingStatement> Latest(TimeUs now) const {
    std::vector<ReplicaLeavingStatement> latest;
    for (const Statement& it : statements_) {
      if (now - it.stated_at <= kMaxAge) {
        latest.push_back(
            {it.replica.name, it.replica.incarnation, now - it.stated_at});
      }
    }
    return latest;
  }

 private:
  struct Statement {
    ReplicaId replica;
    TimeUs stated_at = 0;
  };

  std::deque<Statement> statements_;  // Oldest first.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_LEAVING_STATEMENTS_H_
