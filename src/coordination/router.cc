#include "coordination/router.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Expected wait in units of one service: what the replica reported, and what
// this entry has sent since, over the slots it has.
double Pressure(const Replica& replica) {
  const auto work =
      replica.load.queued + replica.load.in_progress + replica.own_in_progress;
  return static_cast<double>(work) / std::max(1U, replica.load.limit);
}

}  // namespace

Replica* Router::Choose(const std::vector<Replica*>& pool,
                        const std::vector<NodeId>& tried) {
  std::vector<Replica*> open;
  open.reserve(pool.size());
  for (Replica* it : pool) {
    const bool again =
        std::find(tried.begin(), tried.end(), it->address.node) != tried.end();
    if (it->TakesWork() && !again) {
      open.push_back(it);
    }
  }
  if (open.empty()) {
    return nullptr;
  }
  Replica* first = open[random_->Below(open.size())];
  Replica* second = open[random_->Below(open.size())];
  return Pressure(*second) < Pressure(*first) ? second : first;
}

}  // namespace acaciachute
