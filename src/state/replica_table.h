// What an entry believes of each replica: its settings address, what its
// sidecar reported last, and the entry's own work in progress there.
#ifndef ACACIACHUTE_SRC_STATE_REPLICA_TABLE_H_
#define ACACIACHUTE_SRC_STATE_REPLICA_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "state/settings.h"
#include "types.h"

namespace acaciachute {

struct Replica {
  ReplicaAddress address;
  std::string pool;
  Incarnation incarnation = 0;
  NodeState state = NodeState::kStarting;
  LoadReport load;
  TimeUs heard_at = 0;
  std::uint32_t own_in_progress = 0;
  DurationUs latency = 0;  // Moving mean of answers to this entry.

  bool TakesWork() const {
    return state == NodeState::kReady && incarnation != 0;
  }
};

class ReplicaTable {
 public:
  // Takes over the pools of `settings`, keeping what is known of replicas that
  // stay.
  void Apply(const Settings& settings);

  Replica* Find(std::string_view node);
  const std::vector<Replica*>& InPool(std::string_view pool) const;
  std::vector<Replica*> All();

 private:
  std::map<NodeId, Replica, std::less<>> replicas_;
  std::map<std::string, std::vector<Replica*>, std::less<>> pools_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_REPLICA_TABLE_H_
