// Knows which replicas may have been replaced by another process, of another
// software version, since their rows were read.
//
// A replica that starts again may have the name and the address that it had,
// and its row comes later than its first connections. All connections to a
// process end with it, so while one is open, new ones reach the same process.
// Once the last one was ended by the other side, or one was refused, the next
// may reach another process: its version is in doubt until the process says
// when it started, or until the row would be gone if its process were. A
// process that states another start than its row is not the row's, however
// long that row stays.
//
// A gateway without a connection to a replica does not notice that it was
// replaced. So the first connection is a doubt too where the row states a
// start, until the process has said its own.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_VERSION_DOUBTS_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_VERSION_DOUBTS_H_

#include <algorithm>
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
    return doubts_.insert_or_assign(replica, Doubt()).second;
  }
  // A connection was made while there was none. `check`: whether the replica is
  // in doubt from now on. Returns whether the process behind it is to be asked
  // for its start.
  [[nodiscard]] bool OnFirstConnection(TimeUs now,
                                       const ReplicaId& replica,
                                       bool check) {
    const auto it = doubts_.find(replica);
    if (it == doubts_.end()) {
      return check && doubts_.emplace(replica, Doubt{now, true, 0}).second;
    }
    it->second.start = 0;  // It may be yet another process.
    if (!it->second.connected_at) {
      return false;  // It is being asked, or will be by `OnConnected`.
    }
    it->second.connected_at = now;
    return true;
  }
  // A new connection was made. Returns whether it is the first, so that the
  // process behind it is to be asked for its start.
  [[nodiscard]] bool OnConnected(TimeUs now, const ReplicaId& replica) {
    const auto it = doubts_.find(replica);
    if (it == doubts_.end() || it->second.connected_at) {
      return false;
    }
    it->second.connected_at = now;
    return true;
  }
  // The process is not known to be the one of the row; zero: it did not say
  // when it started.
  void OnStart(const ReplicaId& replica, Incarnation start) {
    if (const auto it = doubts_.find(replica); it != doubts_.end()) {
      it->second.checking = false;
      it->second.start = start != 0 ? start : it->second.start;
    }
  }
  // The replica is the one that its row is of, or is listed no more.
  void Clear(const ReplicaId& replica) { doubts_.erase(replica); }
  // `known_at`: the list of replicas was up to date then. `row_life`: a row is
  // gone by then if its process writes it no more. Returns those that are in
  // doubt no longer.
  std::vector<ReplicaId> ClearBefore(TimeUs known_at, DurationUs row_life) {
    std::vector<ReplicaId> cleared;
    for (const auto& [replica, doubt] : doubts_) {
      if (doubt.start == 0 && doubt.connected_at &&
          known_at - *doubt.connected_at >= row_life) {
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
  // Whether nothing but the lack of a connection is the reason for the doubt,
  // and the answer is on its way.
  bool IsChecked(const ReplicaId& replica) const {
    const auto it = doubts_.find(replica);
    return it != doubts_.end() && it->second.checking;
  }
  // When the process in the replica's place started; zero: not known. A
  // connection has been open since it said so.
  Incarnation StartOf(const ReplicaId& replica) const {
    const auto it = doubts_.find(replica);
    return it == doubts_.end() ? 0 : it->second.start;
  }
  // Whether a process with another start than its row has taken the place of
  // any replica.
  bool AnyOtherProcess() const {
    return std::any_of(doubts_.begin(), doubts_.end(),
                       [](const auto& it) { return it.second.start != 0; });
  }

 private:
  struct Doubt {
    // The first connection since; empty: none was made.
    std::optional<TimeUs> connected_at;
    bool checking = false;
    Incarnation start = 0;  // Of the process that is there.
  };

  std::map<ReplicaId, Doubt> doubts_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_VERSION_DOUBTS_H_
