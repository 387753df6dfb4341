// Control duties of one entry: for each pool that names models, it competes for
// the pool's lease and, while it holds the lease, sends the pool's orders.
#ifndef ACACIACHUTE_SRC_COORDINATION_CONTROL_CONTROL_DUTY_H_
#define ACACIACHUTE_SRC_COORDINATION_CONTROL_CONTROL_DUTY_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/control/lease.h"
#include "coordination/control/pool_control.h"
#include "state/metrics.h"
#include "state/random.h"
#include "state/replica_table.h"
#include "state/settings.h"
#include "types.h"

namespace acaciachute {

class ControlDuty {
 public:
  ControlDuty(NodeId node,
              LeaseOutput* leases,
              PoolControlOutput* orders,
              Random* random,
              Metrics* metrics);

  // `peers` are the other entries, which compete for the same leases.
  void OnSettings(const Settings& settings, const std::vector<NodeId>& peers);
  void OnTick(TimeUs now, const ReplicaTable& replicas);
  void OnTableAnswer(TimeUs now,
                     const std::string& pool,
                     StoreTicket ticket,
                     const StoreAnswer& answer);
  void OnResult(TimeUs now,
                const NodeId& sidecar,
                const ControlOrderResult& result);
  // Releases the leases, because this entry leaves.
  void Leave();

  // Pools whose lease is held, with the fencing numbers.
  std::map<std::string, FenceNumber> Held(TimeUs now) const;

 private:
  struct Duty {
    Lease lease;
    PoolControl control;
  };

  // Rank of this entry among those that compete for the pool's lease.
  std::size_t RankOf(const std::string& pool,
                     const std::vector<NodeId>& peers) const;

  const NodeId node_;
  LeaseOutput* const leases_;
  PoolControlOutput* const orders_;
  Random* const random_;
  Metrics* const metrics_;
  std::map<std::string, std::unique_ptr<Duty>, std::less<>> duties_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CONTROL_CONTROL_DUTY_H_
