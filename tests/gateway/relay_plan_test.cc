// Who asks the store, and whom the others ask.
#include "coordination/tables/relay_plan.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace acaciachute {
namespace {

// Gateways "g0" to "gn" over `domains`; one in six is large.
std::vector<GatewayHost> Fleet(std::size_t n, std::size_t domains) {
  std::vector<GatewayHost> hosts;
  for (std::size_t i = 0; i < n; ++i) {
    hosts.push_back({"g" + std::to_string(i), "d" + std::to_string(i % domains),
                     (i / domains) % 6 == 0 ? 0.5 : 0.09});
  }
  return hosts;
}

std::set<NodeId> Relays(const std::vector<GatewayHost>& hosts) {
  std::set<NodeId> relays;
  for (const GatewayHost& it : hosts) {
    if (PlanRelays(it, hosts).is_relay) {
      relays.insert(it.node);
    }
  }
  return relays;
}

// Load: 103 gateways in six domains, 380 in eight. What asks the store grows
// with the domains, and none of it has a tenth of a core.
TEST(RelayPlanTest, AFewLargeHostsOfEachDomain) {
  EXPECT_EQ(Relays(Fleet(103, 6)).size(), 6U);
  EXPECT_EQ(Relays(Fleet(380, 8)).size(), 16U);
  const std::vector<GatewayHost> hosts = Fleet(103, 6);
  const std::set<NodeId> relays = Relays(hosts);
  for (const GatewayHost& it : hosts) {
    EXPECT_TRUE(it.cores > 0.4 || !relays.contains(it.node)) << it.node;
  }
}

TEST(RelayPlanTest, FollowersAskTheirOwnDomainFirst) {
  const std::vector<GatewayHost> hosts = Fleet(103, 6);
  std::map<NodeId, std::string> domain_of;
  for (const GatewayHost& it : hosts) {
    domain_of[it.node] = it.domain;
  }
  for (const GatewayHost& it : hosts) {
    const RelayPlan plan = PlanRelays(it, hosts);
    ASSERT_FALSE(plan.relays.empty());
    EXPECT_EQ(plan.is_relay, domain_of[plan.relays.front()] != it.domain);
  }
}

// A domain has one large host, which dies: the others find new relays, and the
// gateways of a domain without any spread over those of the others.
TEST(RelayPlanTest, ALostDomainSpreadsOverTheOthers) {
  std::vector<GatewayHost> hosts = Fleet(103, 6);
  std::erase_if(hosts, [](const GatewayHost& it) { return it.domain == "d0"; });
  std::set<NodeId> asked;
  for (int n = 0; n < 40; ++n) {
    const GatewayHost self{"new" + std::to_string(n), "d0", 0.09};
    asked.insert(PlanRelays(self, hosts).relays.front());
  }
  EXPECT_EQ(asked.size(), 5U);
}

TEST(RelayPlanTest, OneAloneAsksTheStore) {
  const GatewayHost self{"a", "d", 0.1};
  EXPECT_TRUE(PlanRelays(self, {self}).is_relay);
  // One that leaves asks others while there are any.
  EXPECT_TRUE(PlanRelays(self, {}).relays.empty());
}

}  // namespace
}  // namespace acaciachute
