// A daemon's own settings file: who it is and where it finds the rest.
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

// Another entry; the settings tree may name more.
struct PeerAddress {
  NodeId node;
  Address address;
};

struct NodeSettings {
  Role role = Role::kEntry;
  NodeId node;
  std::string failure_domain;
  std::string frame_key;
  Address listen;  // Frames, over TCP and UDP.
  Address http;    // Callers and operators.
  std::vector<PeerAddress> peers;
  std::string platform_url;
  std::string upstream_url;
  std::string upstream_pool;  // Empty: it takes no orders.
  std::uint32_t upstream_limit = 4;
  std::uint32_t max_queued = 256;
  std::uint32_t max_requests = 4096;
  std::uint32_t max_connections = 4096;  // Of callers.
  // Of an entry at the table, for claims; its share of what the table takes.
  double claim_transactions_per_second = 100;
  // From SIGTERM on, new requests are still taken for this long.
  DurationUs balancer_grace = 3 * kSecond;
};

struct NodeSettingsResult {
  NodeSettings settings;
  std::vector<std::string> errors;  // All that is wrong, each with its path.
};

NodeSettingsResult ParseNodeSettings(std::string_view json);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_NODE_SETTINGS_H_
