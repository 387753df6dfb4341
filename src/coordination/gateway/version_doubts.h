// Knows which replicas may have been replaced by another process, of another
// software version, since their rows were read.
//
// A replica that starts again may have the name and the address that it had,
// and its row comes later than its first connections. All connections to a
// process end with it, so while one is open, new ones reach the same process.
// Once the last one was ended by the other side, or one was refused, the next
// may reach another process: its version is in doubt until the process says
// when it started, or until the row would be gone if its process were.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_VERSION_DOUBTS_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_VERSION_DOUBTS_H_

#include <map>
#include <optional>
#include <vector>

#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class VersionDoubts {
 public:
  // The other side ended the last connection, or refused one. Returns whether
  // the replica was not in doubt before.
  bool OnConnectionsLost(const ReplicaId& replica) {
    return doubts_.insert_or_assign(replica, std::nullopt).second;
  }
  // A new connection was made. Returns whether it is the first, so that the
  // process behind it is to be asked for its start.
  [[nodiscard]] bool OnConnected(TimeUs now, const ReplicaId& replica) {
    const auto it = doubts_.find(replica);
    if (it == doubts_.end() || it->second) {
      return false;
    }
    it->second = now;
    return true;
  }
  // The replica is the one that its row is of, or is listed no more.
  void Clear(const ReplicaId& replica) { doubts_.erase(replica); }
  // `known_at`: the list of replicas was up to date then. `row_life`: a row is
  // gone by then if its process writes it no more. Returns those that are in
  // doubt no longer.
  std::vector<ReplicaId> ClearBefore(TimeUs known_at, DurationUs row_life) {
    std::vector<ReplicaId> cleared;
    for (const auto& [replica, connected_at] : doubts_) {
      if (connected_at && known_at - *connected_at >= row_life) {
        cleared.push_back(replica);
      }
    }
    for (const ReplicaId& it : cleared) {
      doubts_.erase(it);
    }
    return cleared;
  }
  bool InDoubt(const ReplicaId& replica) const {
    return doubts_.contains(replica);
  }

 private:
  // The first connection since; empty: none was made.
  std::map<ReplicaId, std::optional<TimeUs>> doubts_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_VERSION_DOUBTS_H_
