// Which gateways ask the store for its tables, and whom the others ask.
//
// Load pattern: the store's calls grow with the gateways that ask it. Of each
// failure domain one gateway in `kFollowersARelay` asks it, a large host, by
// rendezvous hash, so that gateways agree without asking anybody. While two
// disagree, one more asks the store, or an answer goes one way further.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_RELAY_PLAN_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_RELAY_PLAN_H_

#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// The host that a gateway runs on.
struct GatewayHost {
  NodeId node;
  std::string domain;  // Failure domain.
  double cores = 1;    // Share of a processor core.
};

// Hosts with less than this share of the largest processor do no work for
// others while a larger one lives.
inline constexpr double kLargeHost = 0.5;

// As one gateway sees it.
struct RelayPlan {
  // Gateways of one failure domain that follow one of them, at most: answering
  // them takes a large host under a hundredth of a core.
  static constexpr std::size_t kFollowersARelay = 24;
  bool is_relay = true;
  // Whom to ask, best first: the relays of the own domain, then one of each
  // other, in an order of one's own so that the gateways of a lost domain
  // spread over all others.
  std::vector<NodeId> others;
};

// `hosts` are the gateways that take work, `self` among them if it does.
RelayPlan PlanRelays(const GatewayHost& self,
                     const std::vector<GatewayHost>& hosts);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_RELAY_PLAN_H_
