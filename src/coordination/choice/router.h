// Chooses the replica for one attempt of one stage.
//
// Replicas differ in load and speed, one may be four times slower than the
// others, and their load reports are late. Round robin would send a ninth of
// the work to the slow one of nine, where every request is late; always
// choosing the replica that looked best in the last report would direct the
// load of all entries to it at once. Choosing the best of a few random samples,
// by the time until the replica would complete the call, avoids both
// (Mitzenmacher 2001; Prequal, Wydrowski and others 2024, which samples by
// latency and calls in flight).
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_ROUTER_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_ROUTER_H_

#include <vector>

#include "state/random.h"
#include "state/replica_table.h"
#include "types.h"

namespace acaciachute {

class Router {
 public:
  // Replicas that are compared per choice.
  static constexpr int kSamplesPerChoice = 3;

  explicit Router(Random* random) : random_(random) {}

  // Returns null if no replica outside `tried` accepts work. Only an idempotent
  // call may be used to probe whether a shunned replica has recovered.
  //
  // Shunning only expresses a preference between replicas. If every replica of
  // a pool is shunned, or its only one, a request that has not been tried yet
  // goes to a shunned one, because refusing callers would be wrong if the pool
  // has recovered.
  Replica* Choose(TimeUs now,
                  const std::vector<Replica*>& pool,
                  const std::vector<NodeId>& tried,
                  CallerClass caller_class,
                  bool idempotent);

 private:
  Random* const random_;
  // Members only to reuse their memory between calls.
  std::vector<Replica*> candidates_;
  std::vector<Replica*> shunned_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_ROUTER_H_
