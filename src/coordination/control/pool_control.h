// Orders that a lease holder sends to the upstreams of one pool, so that each
// replica loads each of the pool's models.
//
// When an operator names a new model for a pool of 18 replicas and all reload
// at once, the pool is out of service for minutes and the rate of the weight
// store is exhausted. So one order of a pool is in progress at a time, and at
// most `kMaxOrdersPerMinute` are started.
//
// An order keeps its id until its outcome is known, so after a lost answer it
// is repeated without a second load. Without the lease no order is sent, and
// the order in progress is dropped: the next holder sends it again.
#ifndef ACACIACHUTE_SRC_COORDINATION_CONTROL_POOL_CONTROL_H_
#define ACACIACHUTE_SRC_COORDINATION_CONTROL_POOL_CONTROL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "messages.h"
#include "state/metrics.h"
#include "state/settings.h"
#include "types.h"

namespace acaciachute {

class PoolControlOutput {
 public:
  virtual ~PoolControlOutput() = default;
  virtual void SendOrder(const NodeId& sidecar, const ControlOrder& order) = 0;
};

// A replica that is ready and accepts orders.
struct ControlTarget {
  NodeId sidecar;
  Incarnation incarnation = 0;
};

class PoolControl {
 public:
  // Maximum number of orders started per minute. A reload takes a replica out
  // of service for up to about a minute; at six per minute most of a pool of
  // nine or eighteen stays in service.
  static constexpr std::size_t kMaxOrdersPerMinute = 6;
  // Interval at which an order without an answer is sent again; the sidecar
  // recognizes its id.
  static constexpr DurationUs kResendPeriod = 2 * kSecond;
  // Delay before a failed order is sent again, under a new id.
  static constexpr DurationUs kFailureRetryDelay = 10 * kSecond;

  PoolControl(std::string pool, PoolControlOutput* output, Metrics* metrics);

  void SetModels(std::vector<ModelSpec> models);
  // `fence` is the number held, or zero if the lease is not held.
  void OnTick(TimeUs now,
              FenceNumber fence,
              const std::vector<ControlTarget>& targets);
  // Returns true if the sidecar requires a number newer than the one held.
  bool OnResult(TimeUs now,
                const NodeId& sidecar,
                const ControlOrderResult& result);

  bool InProgress() const { return order_.has_value(); }

 private:
  using LoadedModel = std::tuple<NodeId, Incarnation, std::string, std::string>;
  struct Order {
    NodeId sidecar;
    ControlOrder message;
    TimeUs sent_at = 0;
  };

  void StartOrder(TimeUs now,
                  FenceNumber fence,
                  const std::vector<ControlTarget>& targets);

  const std::string pool_;
  PoolControlOutput* const output_;
  Metrics* const metrics_;
  std::vector<ModelSpec> models_;
  std::set<LoadedModel> loaded_;
  std::optional<Order> order_;
  FenceNumber fence_ = 0;
  std::uint64_t next_order_ = 1;
  std::deque<TimeUs>
      recent_starts_;  // Start times of the orders of the last minute.
  TimeUs earliest_start_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CONTROL_POOL_CONTROL_H_
