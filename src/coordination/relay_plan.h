// Which gateways ask the store for its tables, and whom the others ask.
//
// Load pattern: the store's calls grow with the gateways that ask it: 103 of
// them made 120 a second on a calm day, and make 18 with this, starts included.
// Of each
// failure domain one gateway in `kFollowersARelay` asks it, a large host, by
// rendezvous hash, so that gateways agree without asking anybody. While two
// disagree, one more asks the store, or an answer goes one way further.
#ifndef ACACIACHUTE_SRC_COORDINATION_RELAY_PLAN_H_
#define ACACIACHUTE_SRC_COORDINATION_RELAY_PLAN_H_

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

// As one gateway sees it.
struct RelayPlan {
  // Gateways of one failure domain that follow one of them, at most. It answers
  // two questions of each every 600 ms: coding takes 17 microseconds of each at
  // either end, measured on a busy machine, and sockets some 70; together under
  // a hundredth of a core.
  static constexpr std::size_t kFollowersARelay = 24;
  // Hosts with less than this share of their domain's largest processor are no
  // relays while a larger one lives.
  static constexpr double kLargeShare = 0.5;

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

#endif  // ACACIACHUTE_SRC_COORDINATION_RELAY_PLAN_H_
