// Settings of a gateway process, as the platform's file gives them.
#ifndef ACACIACHUTE_SRC_STATE_HOST_SETTINGS_H_
#define ACACIACHUTE_SRC_STATE_HOST_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// Limits the retries of requests to one service, summed over all gateways.
struct ServiceRetryBudgetLimits {
  double ratio = 0.1;  // Retries per request within `window`.
  double slack = 20;   // Retries allowed in addition within `window`.
  DurationUs window = 10 * kSecond;
  bool operator==(const ServiceRetryBudgetLimits&) const = default;
};

// Limits the requests per second to one cold replica, summed over all gateways.
struct ColdRateBound {
  double factor = 1.5;  // Factor on the rate that a cold replica can handle.
  double slack = 5;     // Requests per second allowed in addition.
  bool operator==(const ColdRateBound&) const = default;
};

// Bounds on how long a host may act on a row that was replaced, measured from
// the store's acknowledgement of the change. They apply to hosts that have been
// able to reach the store for at least `contact`.
struct FreshnessBounds {
  // How long requests may be sent to a replica that announced that it leaves.
  DurationUs drain = 2 * kSecond;
  // How long the previous configuration may be applied.
  DurationUs config_apply = 2 * kSecond;
  // How long requests may be sent to replicas in an evacuated failure domain.
  DurationUs evacuation = 5 * kSecond;
  DurationUs contact = 3 * kSecond;
  bool operator==(const FreshnessBounds&) const = default;
};

struct HostSettings {
  NodeId node;
  std::string ip;
  std::string domain;  // Failure domain of the host.
  Address clients;     // Listens for connections of clients.
  Address readiness;   // Listens for the balancer's readiness checks.
  Address store;
  // Range of ports for connections between the system's own processes.
  std::uint16_t first_peer_port = 0;
  std::uint16_t last_peer_port = 0;
  double cores = 1;                // Processor cores available to the process.
  std::uint64_t memory_bytes = 0;  // Memory limit of the process.
  std::uint32_t max_descriptors = 0;
  // Maximum time for which a revoked key is still accepted.
  DurationUs key_revocation = 5 * kSecond;
  FreshnessBounds freshness;
  DurationUs grace = 8 * kSecond;  // Time between SIGTERM and SIGKILL.
  ServiceRetryBudgetLimits retries;
  ColdRateBound cold_rate_bound;
  // Period with which each replica writes its row to the store.
  DurationUs replica_heartbeat_period = 1200 * kMillisecond;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_HOST_SETTINGS_H_
