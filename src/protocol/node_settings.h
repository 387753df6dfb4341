// The settings file of one daemon: its identity and the addresses that it
// listens on and connects to.
#ifndef ACACIACHUTE_SRC_PROTOCOL_NODE_SETTINGS_H_
#define ACACIACHUTE_SRC_PROTOCOL_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace acaciachute {
namespace detail {
extern const char kNodeSettingsSchema[];
}  // namespace detail

// Another entry of the deployment. The settings tree may name further ones.
struct PeerAddress {
  NodeId node;
  Address address;
};

struct NodeSettings {
  Role role = Role::kEntry;
  NodeId node;
  std::string failure_domain;
  std::string frame_key;
  Address listen;  // For frames, over TCP and UDP.
  Address http;    // For requests of callers and operators.
  std::vector<PeerAddress> peers;
  std::string platform_url;
  std::string upstream_url;
  std::string upstream_pool;  // Empty if the upstream takes no orders.
  std::uint32_t upstream_limit = 4;
  std::uint32_t max_queued = 256;
  std::uint32_t max_requests = 4096;
  // Maximum number of callers' connections: with the process's own descriptors,
  // below 4,096 in all.
  std::uint32_t max_connections = 3840;
  // Bytes that all clients together may make the process hold; see
  // `HttpLimits::client_memory`.
  std::uint64_t client_memory = 48 << 20;
  // Maximum rate of an entry's claim transactions at the platform's table: its
  // share of the table's capacity.
  double claim_transactions_per_second = 100;
  // How long new requests are still accepted after SIGTERM, until the load
  // balancer stops sending them.
  DurationUs balancer_grace = 3 * kSecond;
};

struct NodeSettingsResult {
  NodeSettings settings;
  // One text for each error, which begins with the JSON pointer to its place.
  std::vector<std::string> errors;
};

NodeSettingsResult ParseNodeSettings(std::string_view json);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_NODE_SETTINGS_H_
