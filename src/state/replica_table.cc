#include "state/replica_table.h"

#include <utility>

namespace acaciachute {

void ReplicaTable::Apply(const Settings& settings) {
  std::map<NodeId, Replica, std::less<>> next;
  for (const auto& [unused, branch] : settings.branches()) {
    for (const auto& [name, pool] : branch.pools) {
      for (const auto& address : pool.replicas) {
        const auto it = replicas_.find(address.node);
        Replica& replica = next[address.node];
        if (it != replicas_.end()) {
          replica = it->second;
        }
        replica.address = address;
        replica.pool = name;
      }
    }
  }
  replicas_ = std::move(next);
  pools_.clear();
  for (auto& [unused, replica] : replicas_) {
    pools_[replica.pool].push_back(&replica);
  }
}

Replica* ReplicaTable::Find(std::string_view node) {
  const auto it = replicas_.find(node);
  return it == replicas_.end() ? nullptr : &it->second;
}

const std::vector<Replica*>& ReplicaTable::InPool(std::string_view pool) const {
  static const auto* const kEmpty = new std::vector<Replica*>();
  const auto it = pools_.find(pool);
  return it == pools_.end() ? *kEmpty : it->second;
}

std::vector<Replica*> ReplicaTable::All() {
  std::vector<Replica*> all;
  all.reserve(replicas_.size());
  for (auto& [unused, replica] : replicas_) {
    all.push_back(&replica);
  }
  return all;
}

}  // namespace acaciachute
