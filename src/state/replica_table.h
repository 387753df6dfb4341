// What an entry believes of each replica: its settings address, what its
// sidecar reported last, and the entry's own work in progress there.
#ifndef ACACIACHUTE_SRC_STATE_REPLICA_TABLE_H_
#define ACACIACHUTE_SRC_STATE_REPLICA_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "state/replica_health.h"
#include "state/settings.h"
#include "types.h"

namespace acaciachute {

// What a pool's sums hold of one replica, to be taken out before the next.
struct ReplicaLoad {
  std::int64_t slots = 0;
  std::int64_t known_slots = 0;
  std::int64_t rate = 0;
  std::int64_t others = 0;
  std::int64_t others_urgent = 0;
  std::int64_t own = 0;
  std::int64_t own_urgent = 0;
};

struct Replica {
  ReplicaAddress address;
  std::string pool;
  Incarnation incarnation = 0;
  NodeState state = NodeState::kStarting;
  LoadReport load;
  TimeUs heard_at = 0;
  std::uint32_t own_in_progress = 0;
  std::uint32_t own_urgent = 0;  // Of those.
  // Of the same two, when the last report came.
  std::uint32_t own_at_report = 0;
  std::uint32_t own_urgent_at_report = 0;
  ReplicaLoad counted;
  bool in_subset = false;  // Of this entry's part of the pool.
  ReplicaHealth health;
  DurationUs latency = 0;  // Moving mean of answers to this entry.

  bool TakesWork() const {
    return state == NodeState::kReady && incarnation != 0;
  }
  // Calls of other entries there, waiting or running.
  std::uint32_t OthersWork() const {
    const auto all = load.queued + load.in_progress;
    return all > own_at_report ? all - own_at_report : 0;
  }
  std::uint32_t OthersUrgent() const {
    return load.urgent > own_urgent_at_report
               ? load.urgent - own_urgent_at_report
               : 0;
  }
  std::uint32_t Work() const { return OthersWork() + own_in_progress; }
  std::uint32_t Urgent() const { return OthersUrgent() + own_urgent; }
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
