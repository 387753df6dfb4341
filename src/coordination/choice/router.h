// Chooses the replica for one attempt of one stage.
//
// Load pattern: replicas differ in load and speed, one is four times slower,
// and their reports are late. Round robin sends a ninth of the work to the slow
// one and every request there is late; the one that looked best last draws the
// load of all entries at once. The best of a few random samples by the time
// until it would answer avoids both (Mitzenmacher 2001; Prequal, Wydrowski and
// others 2024, samples by latency and calls in flight).
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_ROUTER_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_ROUTER_H_

#include <vector>

#include "state/random.h"
#include "state/replica_table.h"
#include "types.h"

namespace acaciachute {

class Router {
 public:
  // Samples a choice.
  static constexpr int kSamples = 3;

  explicit Router(Random* random) : random_(random) {}

  // Null when no replica outside `tried` takes work. Only an idempotent call
  // may be spent on finding out whether a shunned replica is well again.
  //
  // Failure: every replica of a pool, or its only one, is shunned. Symptom:
  // callers are refused although the pool may be well again. Shunning chooses
  // between replicas; with nothing to choose from, the shunned ones get first
  // tries.
  Replica* Choose(TimeUs now,
                  const std::vector<Replica*>& pool,
                  const std::vector<NodeId>& tried,
                  CallerClass caller_class,
                  bool idempotent);

 private:
  Random* const random_;
  // Kept between calls for their memory.
  std::vector<Replica*> open_;
  std::vector<Replica*> shunned_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_ROUTER_H_
