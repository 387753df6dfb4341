// What a process on the platform is told of its host when it starts.
#ifndef ACACIACHUTE_SRC_STATE_HOST_SETTINGS_H_
#define ACACIACHUTE_SRC_STATE_HOST_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// What repeats may cost one service, over all entries together.
struct ServiceRetryBudgetLimits {
  double ratio = 0.2;  // Of the requests in a window.
  double slack = 50;   // Beside them.
  DurationUs window = 10 * kSecond;
  bool operator==(const ServiceRetryBudgetLimits&) const = default;
};

// What one cold replica may get in a second, over all entries together.
struct ColdRateBound {
  double over = 1.5;  // Of the rate that it stands.
  double slack = 5;   // Beside it.
  bool operator==(const ColdRateBound&) const = default;
};

// How long after the store's acknowledgement a host that has reached the store
// for `contact` may act on what was true before.
struct FreshnessBounds {
  DurationUs drain = 2 * kSecond;         // Send to a replica that left.
  DurationUs config_apply = 2 * kSecond;  // Go by the configuration before.
  DurationUs evacuation = 5 * kSecond;    // Send to an emptied failure domain.
  DurationUs contact = 3 * kSecond;
  bool operator==(const FreshnessBounds&) const = default;
};

struct HostSettings {
  NodeId node;
  std::string ip;
  std::string domain;  // Failure domain.
  Address clients;     // Where clients' connections arrive.
  Address readiness;   // Where the balancer asks whether to send any.
  Address store;
  std::uint16_t first_peer_port = 0;  // For the system's own processes.
  std::uint16_t last_peer_port = 0;
  double cores = 1;  // Share of a processor core that the process is given.
  std::uint64_t memory_bytes = 0;
  std::uint32_t max_descriptors = 0;
  // How long after it was taken away a key may still be used.
  DurationUs key_revocation = 5 * kSecond;
  FreshnessBounds freshness;
  DurationUs grace = 8 * kSecond;    // From the order to stop to the kill.
  ServiceRetryBudgetLimits retries;  // Over all entries together.
  ColdRateBound cold;
  // How often replicas write their rows.
  DurationUs replica_heartbeat_period = 1200 * kMillisecond;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_HOST_SETTINGS_H_
