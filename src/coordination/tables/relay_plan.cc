#include "coordination/tables/relay_plan.h"

#include <algorithm>
#include <functional>
#include <map>

#include "coordination/choice/rendezvous.h"

namespace acaciachute {
namespace {

using Ranked = std::map<double, NodeId, std::greater<>>;
using Domains = std::map<std::string, std::vector<GatewayHost>>;

std::vector<NodeId> RelaysOf(const std::vector<GatewayHost>& domain) {
  double largest = 0;
  for (const GatewayHost& it : domain) {
    largest = std::max(largest, it.cores);
  }
  Ranked ranked;
  for (const GatewayHost& it : domain) {
    if (it.cores >= kMinLargeHostShare * largest) {
      ranked.emplace(RendezvousWeight("relay", it.node, it.cores), it.node);
    }
  }
  const std::size_t relay_count =
      (domain.size() + RelayPlan::kFollowersPerRelay - 1) /
      RelayPlan::kFollowersPerRelay;
  std::vector<NodeId> relays;
  for (const auto& [weight, node] : ranked) {
    if (relays.size() < relay_count) {
      relays.push_back(node);
    }
  }
  return relays;
}

}  // namespace

RelayPlan PlanRelays(const GatewayHost& self,
                     const std::vector<GatewayHost>& hosts) {
  Domains domains;
  for (const GatewayHost& it : hosts) {
    domains[it.domain].push_back(it);
  }
  RelayPlan plan;
  plan.is_relay = false;
  Ranked same_domain;
  Ranked other_domains;
  for (const auto& [domain, members] : domains) {
    const std::vector<NodeId> relays = RelaysOf(members);
    for (const NodeId& it : relays) {
      const double weight = RendezvousWeight(self.node, it, 1);
      if (it == self.node) {
        plan.is_relay = true;
      } else if (domain == self.domain) {
        same_domain.emplace(weight, it);
      } else if (it == relays.front()) {
        other_domains.emplace(weight, it);
      }
    }
  }
  for (const Ranked* ranked : {&same_domain, &other_domains}) {
    for (const auto& [weight, node] : *ranked) {
      plan.relays.push_back(node);
    }
  }
  return plan;
}

}  // namespace acaciachute
