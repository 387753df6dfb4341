// Every wait between an acknowledgement of the store and the moment at which a
// gateway no longer acts on what was true before it.
//
// Failure: the gateway that is asked for a table has lost the store, is frozen
// or slow, and goes on answering that nothing changed. Symptom: requests reach
// replicas that left long ago, or are handled by a configuration that was
// replaced, at hosts that reach the store themselves. So no wait along the way
// is added to another: what a gateway knows has an age, whoever told it, and at
// `ask_store` it asks the store itself. `Sum` is what is left to add up.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_FRESHNESS_PLAN_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_FRESHNESS_PLAN_H_

#include "types.h"

namespace acaciachute {

struct FreshnessPlan {
  // Period with which ages are looked at.
  static constexpr DurationUs kLook = 10 * kMillisecond;

  // Age at which a gateway asks the store itself.
  DurationUs ask_store = 0;
  // Within which a store that works answers a host that reaches it.
  DurationUs store_answer = 0;
  // From a choice until what was chosen has the request.
  DurationUs act = 0;
  // Beyond what it was asked to wait, after which the store counts as one that
  // does not answer; more than `store_answer`. A later answer is taken too.
  DurationUs store_in_time = 0;
  // A store that does not answer is asked again after this at the latest.
  DurationUs store_again = 0;
  // Between requests while nobody answers them. A store that is due to be asked
  // again is asked all the same.
  DurationUs most_pause = 0;

  // The waits of gateways that work: they keep every age below `ask_store`.
  // How long the store holds a request without news.
  DurationUs store_wait = 0;
  // After news, so that rows which change together come in one answer.
  DurationUs settle = 0;

  // Of `act`, until a connection is made.
  DurationUs Connect() const { return act / 2; }
  // From an acknowledgement until nothing follows from what was true before,
  // at a gateway that reaches the store.
  DurationUs Sum() const { return ask_store + kLook + store_answer + act; }
  // From when a gateway reaches the store again until it knows what it holds.
  DurationUs Recovery() const { return store_again + kLook + store_answer; }
};

// The shortest bound for which there is a plan.
inline constexpr DurationUs kLeastFreshnessBound = 200 * kMillisecond;

// `Sum` is below `bound`, and `Recovery` below `contact`, the time after which
// a host that reaches the store again must keep the bound. Neither may be below
// `kLeastFreshnessBound`.
FreshnessPlan PlanFreshness(DurationUs bound, DurationUs contact);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_FRESHNESS_PLAN_H_
