// Splits the bound on staleness into time limits for single steps. Staleness is
// the time from the store's acknowledgement of a change until a gateway no
// longer acts on the state before it.
//
// The gateway that is asked for a table may have lost the store, or may be
// frozen or slow, and still answer that nothing changed. Hosts that can reach
// the store themselves would then send requests to replicas that left long ago,
// or use a configuration that was replaced. So time limits of successive
// gateways do not add up: all data have an age, whichever gateway sent them,
// and from the age `store_request_age` on a gateway asks the store itself.
// `WorstCaseStaleness` is the sum of the remaining steps.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_FRESHNESS_PLAN_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_FRESHNESS_PLAN_H_

#include <algorithm>

#include "types.h"

namespace acaciachute {

struct FreshnessPlan {
  // Period of the check whether a table is too old.
  static constexpr DurationUs kAgeCheckPeriod = 10 * kMillisecond;
  // Upper limit of `Connect`. A healthy replica accepts a connection within a
  // few ms; after this time a retry at another one is faster.
  static constexpr DurationUs kMaxConnectTime = 200 * kMillisecond;

  // Age of a table from which a gateway asks the store itself.
  DurationUs store_request_age = 0;
  // Time within which a working store answers a host that can reach it.
  DurationUs store_answer_time = 0;
  // Time from the choice of a replica until it has received the request.
  DurationUs dispatch_time = 0;
  // Time limit of a store request, in addition to the time for which the store
  // was asked to hold it; larger than `store_answer_time`. Later answers are
  // still used.
  DurationUs store_timeout = 0;
  // Longest time until a store that does not answer is asked again.
  DurationUs store_retry_period = 0;
  // Longest delay between two reads of a table while none succeeds. The store
  // is nevertheless asked again when `store_retry_period` is over.
  DurationUs max_retry_delay = 0;

  // How long the store holds a request while there are no changes. With this
  // hold time, gateways that work keep all ages below `store_request_age`.
  DurationUs store_hold_time = 0;
  // Delay of the next request after a change, so that rows that change together
  // arrive in one answer.
  DurationUs settle_delay = 0;

  // Share of `dispatch_time` for connecting.
  DurationUs Connect() const {
    return std::min(kMaxConnectTime, dispatch_time / 2);
  }
  // Age up to which a gateway acts on what it has although something newer is
  // known to exist. The time for the transfer and for reading it is part of
  // `store_answer_time`; a change that takes longer, which no time limit can
  // exclude, is not acted against: requests are refused until it is there.
  DurationUs MaxUseAge() const {
    return store_request_age + kAgeCheckPeriod + store_answer_time;
  }
  // Longest time from the store's acknowledgement of a change until a gateway
  // that reaches the store no longer acts on the state before it.
  DurationUs WorstCaseStaleness() const { return MaxUseAge() + dispatch_time; }
  // Longest time from when a gateway receives an answer in which a replica
  // states that it leaves or rests, until nothing of that gateway reaches the
  // replica any more, whether the gateway reaches the store or not. Requests
  // whose connection is still being made are recalled and nothing is chosen for
  // the replica from then on, so no wait of this gateway counts, only the way
  // of what was sent before.
  DurationUs StatementDelay() const { return dispatch_time - Connect(); }
  // Longest time from when a gateway can reach the store again until it has the
  // store's current state.
  DurationUs RecoveryTime() const {
    return store_retry_period + kAgeCheckPeriod + store_answer_time;
  }
};

// Smallest bound for which a plan exists.
inline constexpr DurationUs kMinFreshnessBound = 200 * kMillisecond;

// Returns a plan with `WorstCaseStaleness` below `bound` and `RecoveryTime`
// below `recovery_bound`, the time after which a host that can reach the store
// again must keep the bound. Both must be at least `kMinFreshnessBound`.
FreshnessPlan PlanFreshness(DurationUs bound, DurationUs recovery_bound);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_FRESHNESS_PLAN_H_
