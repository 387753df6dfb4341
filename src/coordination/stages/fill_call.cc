#include "coordination/stages/fill_call.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace acaciachute {
namespace {

auto SortKey(const WaitingGroup& it) {
  return std::tuple(it.dispatch_class, it.priority,
                    it.inputs_near ? it.request_arrived_at - kNearAgeBonus
                                   : it.request_arrived_at);
}

}  // namespace

std::vector<std::size_t> FillCall(const std::vector<WaitingGroup>& groups,
                                  const CallCapacity& capacity) {
  std::vector<std::size_t> order(groups.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return SortKey(groups[a]) < SortKey(groups[b]);
                   });
  std::vector<std::size_t> taken;
  std::size_t pieces = 0;
  std::uint64_t held_bytes = capacity.held_bytes;
  for (const std::size_t n : order) {
    const WaitingGroup& it = groups[n];
    if (pieces >= capacity.max_pieces || pieces >= capacity.call_pieces) {
      break;
    }
    const bool fits = pieces + it.pieces <= capacity.call_pieces;
    if ((!fits && !taken.empty()) ||
        held_bytes + it.result_bytes > it.memory_limit) {
      continue;
    }
    taken.push_back(n);
    pieces += it.pieces;
    held_bytes += it.result_bytes;
  }
  return taken;
}

}  // namespace acaciachute
