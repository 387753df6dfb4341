#include "coordination/stages/fill_call.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace acaciachute {
namespace {

auto OrderOf(const WaitingGroup& it) {
  return std::tuple(it.standing, it.priority,
                    it.near ? it.since - kNearLead : it.since);
}

}  // namespace

std::vector<std::size_t> FillCall(const std::vector<WaitingGroup>& groups,
                                  const CallSpace& space) {
  std::vector<std::size_t> order(groups.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return OrderOf(groups[a]) < OrderOf(groups[b]);
                   });
  std::vector<std::size_t> taken;
  std::size_t pieces = 0;
  std::uint64_t held = space.held;
  for (const std::size_t n : order) {
    const WaitingGroup& it = groups[n];
    if (pieces >= space.most || pieces >= space.batch) {
      break;
    }
    const bool whole = pieces + it.pieces <= space.batch;
    if ((!whole && !taken.empty()) || held + it.bytes > it.room) {
      continue;
    }
    taken.push_back(n);
    pieces += it.pieces;
    held += it.bytes;
  }
  return taken;
}

}  // namespace acaciachute
