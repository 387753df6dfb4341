// Determines which gateways ask the store for its tables, and which gateways
// the others ask.
//
// The load on the store grows with the number of gateways that ask it. In each
// failure domain, one gateway per `kFollowersPerRelay` asks the store. It is a
// large host, chosen by rendezvous hashing, so gateways agree without
// communication. While two gateways disagree, one more gateway asks the store,
// or an answer passes through one more gateway.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_RELAY_PLAN_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_RELAY_PLAN_H_

#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// The host that a gateway runs on.
struct GatewayHost {
  NodeId node;
  std::string domain;
  double cores = 1;  // Processor share, in cores.
};

// Share of the largest host's processor below which a host does no work for
// other gateways. The largest host is taken among the live ones.
inline constexpr double kMinLargeHostShare = 0.5;

// The plan from the view of one gateway.
struct RelayPlan {
  // Largest number of gateways of one failure domain that follow one relay:
  // answering them takes a large host less than a hundredth of a core.
  static constexpr std::size_t kFollowersPerRelay = 24;
  bool is_relay = true;
  // Relays to ask, best first: those of the gateway's own domain, then one of
  // each other domain. The order differs between gateways, so that the gateways
  // of a domain that lost its relays spread over all other domains.
  std::vector<NodeId> relays;
};

// `hosts` are the gateways that accept work, including `self` if it does.
RelayPlan PlanRelays(const GatewayHost& self,
                     const std::vector<GatewayHost>& hosts);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_RELAY_PLAN_H_
