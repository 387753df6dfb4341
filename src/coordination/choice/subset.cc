#include "coordination/choice/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "text.h"

namespace acaciachute {

std::vector<Replica*> SubsetOf(const std::vector<Replica*>& pool,
                               const NodeId& entry,
                               std::size_t size) {
  if (pool.size() <= size) {
    return pool;
  }
  using Scored = std::pair<XXH64_hash_t, Replica*>;
  std::map<std::string, std::vector<Scored>> by_domain;
  for (Replica* it : pool) {
    const std::string text = StrCat(entry, "\n", it->address.node);
    by_domain[it->address.failure_domain].push_back(
        {XXH3_64bits(text.data(), text.size()), it});
  }
  for (auto& [unused, scored] : by_domain) {
    std::sort(
        scored.begin(), scored.end(),
        [](const Scored& a, const Scored& b) { return a.first > b.first; });
  }
  std::vector<Replica*> chosen;
  for (std::size_t rank = 0; chosen.size() < size; ++rank) {
    for (const auto& [unused, scored] : by_domain) {
      if (rank < scored.size() && chosen.size() < size) {
        chosen.push_back(scored[rank].second);
      }
    }
  }
  return chosen;
}

}  // namespace acaciachute
