// Chooses the replica for one attempt of one stage.
//
// Load pattern: replicas differ in load and speed, and their reports are late.
// Without sampling, every entry sends to the one replica that looked idle last
// and the load moves in herds; the better of two random choices avoids that
// (Mitzenmacher, "The power of two choices", 2001).
#ifndef ACACIACHUTE_SRC_COORDINATION_ROUTER_H_
#define ACACIACHUTE_SRC_COORDINATION_ROUTER_H_

#include <vector>

#include "state/random.h"
#include "state/replica_table.h"
#include "types.h"

namespace acaciachute {

class Router {
 public:
  explicit Router(Random* random) : random_(random) {}

  // Null when no replica outside `tried` takes work.
  Replica* Choose(const std::vector<Replica*>& pool,
                  const std::vector<NodeId>& tried);

 private:
  Random* const random_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ROUTER_H_
