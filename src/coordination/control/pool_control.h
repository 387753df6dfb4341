// The orders that a lease's holder gives to the upstreams of one pool: each
// replica is to have each of the pool's models loaded.
//
// Load pattern: an operator names a new model for a pool of 18 replicas. All at
// once they would reload together: the pool is gone for minutes and the weight
// store's rate with it. So one order of a pool is in progress at a time, and at
// most `kPerMinute` are begun.
//
// An order keeps its id until its outcome is known, so a lost answer repeats it
// without a second load. Without the lease nothing is sent, and what was in
// progress is forgotten: the next holder asks again.
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

// A replica that takes orders now.
struct ControlTarget {
  NodeId sidecar;
  Incarnation incarnation = 0;
};

class PoolControl {
 public:
  // A reload takes a replica out for up to a minute or so; six a minute keep
  // most of a pool of nine or eighteen in service.
  static constexpr std::size_t kPerMinute = 6;
  // The same order is sent again when no answer came; a sidecar knows its id.
  static constexpr DurationUs kRepeat = 2 * kSecond;
  // Before an order that failed is given anew, under a new id.
  static constexpr DurationUs kAfterFailure = 10 * kSecond;

  PoolControl(std::string pool, PoolControlOutput* output, Metrics* metrics);

  void SetModels(std::vector<ModelSpec> models);
  // `fence` is the number held, or zero when the lease is not held.
  void OnTick(TimeUs now,
              FenceNumber fence,
              const std::vector<ControlTarget>& targets);
  // True when the sidecar wants a number newer than the one held.
  bool OnResult(TimeUs now,
                const NodeId& sidecar,
                const ControlOrderResult& result);

  bool InProgress() const { return order_.has_value(); }

 private:
  using Done = std::tuple<NodeId, Incarnation, std::string, std::string>;
  struct Order {
    NodeId sidecar;
    ControlOrder message;
    TimeUs sent_at = 0;
  };

  void Begin(TimeUs now,
             FenceNumber fence,
             const std::vector<ControlTarget>& targets);

  const std::string pool_;
  PoolControlOutput* const output_;
  Metrics* const metrics_;
  std::vector<ModelSpec> models_;
  std::set<Done> done_;
  std::optional<Order> order_;
  FenceNumber fence_ = 0;
  std::uint64_t next_order_ = 1;
  std::deque<TimeUs> begun_;  // Within the last minute.
  TimeUs not_before_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CONTROL_POOL_CONTROL_H_
