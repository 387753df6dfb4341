// Tests which gateways ask the store, and which relays the others ask.
#include "coordination/tables/relay_plan.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace acaciachute {
namespace {

// `n` gateways named "g0", "g1" and so on, in `domains` failure domains; one in
// six is a large host.
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

// With 103 gateways in six domains and 380 in eight, the number of gateways
// that ask the store grows with the domains, and none of these is a host with a
// tenth of a core.
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

// A failure domain has no host that could be a relay. Its gateways spread over
// the relays of the other domains.
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

TEST(RelayPlanTest, ASingleGatewayAsksTheStore) {
  const GatewayHost self{"a", "d", 0.1};
  EXPECT_TRUE(PlanRelays(self, {self}).is_relay);
  // A gateway that leaves asks relays while there are any.
  EXPECT_TRUE(PlanRelays(self, {}).relays.empty());
}

}  // namespace
}  // namespace acaciachute
