#include "coordination/control/control_duty.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

// Hash that ranks an entry for a pool; it spreads the pools over the entries,
// identically at each entry.
std::uint64_t PlacementHash(std::string_view pool, std::string_view node) {
  const std::string text = StrCat(pool, "/", node);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

ControlDuty::ControlDuty(NodeId node,
                         LeaseOutput* leases,
                         PoolControlOutput* orders,
                         Random* random,
                         Metrics* metrics)
    : node_(std::move(node)),
      leases_(leases),
      orders_(orders),
      random_(random),
      metrics_(metrics) {}

void ControlDuty::OnSettings(const Settings& settings,
                             const std::vector<NodeId>& peers) {
  for (const auto& [unused, branch] : settings.branches()) {
    for (const auto& [name, pool] : branch.pools) {
      auto it = duties_.find(name);
      if (it == duties_.end() && pool.models.empty()) {
        continue;
      }
      if (it == duties_.end()) {
        auto duty = std::make_unique<Duty>(
            Duty{Lease(name, node_, leases_, random_, metrics_),
                 PoolControl(name, orders_, metrics_)});
        it = duties_.emplace(name, std::move(duty)).first;
      }
      it->second->control.SetModels(pool.models);
      it->second->lease.SetRank(RankOf(name, peers));
    }
  }
}

std::size_t ControlDuty::RankOf(const std::string& pool,
                                const std::vector<NodeId>& peers) const {
  const std::uint64_t own = PlacementHash(pool, node_);
  return std::count_if(peers.begin(), peers.end(), [&](const NodeId& peer) {
    return PlacementHash(pool, peer) < own;
  });
}

void ControlDuty::OnTick(TimeUs now, const ReplicaTable& replicas) {
  for (const auto& [pool, duty] : duties_) {
    duty->lease.OnTick(now);
    std::vector<ControlTarget> targets;
    for (const Replica* it : replicas.InPool(pool)) {
      if (it->state == NodeState::kReady) {
        targets.push_back({it->address.node, it->incarnation});
      }
    }
    const bool holds = duty->lease.Holds(now);
    duty->control.OnTick(now, holds ? duty->lease.fence() : 0, targets);
  }
}

void ControlDuty::OnTableAnswer(TimeUs now,
                                const std::string& pool,
                                StoreTicket ticket,
                                const StoreAnswer& answer) {
  const auto it = duties_.find(pool);
  if (it != duties_.end()) {
    it->second->lease.OnTableAnswer(now, ticket, answer);
  }
}

void ControlDuty::OnResult(TimeUs now,
                           const NodeId& sidecar,
                           const ControlOrderResult& result) {
  for (const auto& [pool, duty] : duties_) {
    if (duty->control.OnResult(now, sidecar, result)) {
      duty->lease.RequestNewNumber();
    }
    // An order id begins with the name of its pool.
    if (result.reason == Refusal::kFenced &&
        result.order_id.starts_with(StrCat(pool, "/"))) {
      duty->lease.OnFenced(result.fence);
    }
  }
}

void ControlDuty::Leave() {
  for (const auto& [unused, duty] : duties_) {
    duty->lease.Release();
  }
}

std::map<std::string, FenceNumber> ControlDuty::Held(TimeUs now) const {
  std::map<std::string, FenceNumber> held;
  for (const auto& [pool, duty] : duties_) {
    if (duty->lease.Holds(now)) {
      held[pool] = duty->lease.fence();
    }
  }
  return held;
}

}  // namespace acaciachute
