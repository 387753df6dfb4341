// An entry's view of each replica: its address from the settings, the last
// report of its sidecar, and the entry's own work in progress there.
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

// A replica's contribution to the sums of its pool (`PoolLoad`). It is kept so
// that it can be subtracted when the replica's next report is added.
struct ReplicaLoad {
  std::int64_t slots = 0;
  std::int64_t known_slots = 0;  // `slots`, if the service time is known.
  std::int64_t rate = 0;         // Scaled calls per second; see `PoolLoad`.
  std::int64_t others = 0;       // Calls of other entries.
  std::int64_t others_urgent = 0;
  std::int64_t own = 0;  // Calls of this entry.
  std::int64_t own_urgent = 0;
};

struct Replica {
  ReplicaAddress address;
  std::string pool;
  Incarnation incarnation = 0;
  NodeState state = NodeState::kStarting;
  LoadReport load;
  TimeUs heard_at = 0;                // When the last report arrived.
  std::uint32_t own_in_progress = 0;  // Calls of this entry.
  std::uint32_t own_urgent = 0;       // Urgent calls among them.
  // The values of the previous two when the last report arrived.
  std::uint32_t own_at_report = 0;
  std::uint32_t own_urgent_at_report = 0;
  ReplicaLoad counted;
  bool in_subset = false;  // Whether this entry sends calls to the replica.
  ReplicaHealth health;
  DurationUs latency = 0;  // Moving average of the answer times seen here.

  bool TakesWork() const {
    return state == NodeState::kReady && incarnation != 0;
  }
  // Calls of other entries at the replica, queued or in progress.
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
  // Replaces the replicas by those in the pools of `settings`. The state of
  // replicas that remain is kept.
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
