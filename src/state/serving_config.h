// The configuration that entries serve under: routes, services, client accounts
// and limits, of one version.
#ifndef ACACIACHUTE_SRC_STATE_SERVING_CONFIG_H_
#define ACACIACHUTE_SRC_STATE_SERVING_CONFIG_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "types.h"

namespace acaciachute {

// What may be repeated on a route.
enum class RouteKind { kIdempotent, kNonIdempotent, kStream };
inline constexpr std::array<std::string_view, 3> kRouteKindNames = {
    "idempotent", "non_idempotent", "stream"};
constexpr std::string_view Name(RouteKind v) {
  return detail::NameIn(kRouteKindNames, v);
}

struct WeightedService {
  std::string service;
  std::uint32_t weight = 0;
};

// Work that must be done before a request may run.
struct StageSpec {
  std::string service;
  std::vector<std::uint32_t> after;  // Numbers of the stages it needs.
  std::uint64_t result_bytes = 0;    // Of one piece; approximate.
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  DurationUs timeout = 0;
  DurationUs target = 0;       // Answers within it are on time.
  DurationUs pause = 0;        // Between events of a stream that is on time.
  std::uint32_t priority = 0;  // Zero is the most urgent.
  std::vector<WeightedService> split;
  std::uint32_t max_attempts = 1;
  std::vector<StageSpec> stages;
  bool anonymous = false;  // Needs no key.
  bool resumable = false;  // A broken stream may go on at another replica.

  // How long a client waits for the first event of a stream, as the platform
  // states it: two seconds, four times the target or eight pauses, whichever is
  // longest.
  DurationUs FirstEventTimeout() const {
    return std::max({2 * kSecond, 4 * target, 8 * pause});
  }

  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

// A service that makes the pieces of stages.
struct BatchLimits {
  std::uint32_t slots = 1;                // Calls in progress at one replica.
  std::uint32_t queue = 0;                // Calls that may wait there.
  std::uint32_t batch = 1;                // Pieces a call.
  DurationUs call = 0;                    // Time of a call, whatever it holds.
  DurationUs piece = 0;                   // Time that each piece adds.
  std::uint64_t result_memory_bytes = 0;  // For results, at one replica.
  DurationUs result_life = 0;
};

struct EngineLimits {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;
  std::uint32_t tokens_per_event = 1;
};

struct Service {
  std::string name;
  std::uint32_t max_connections = 0;  // From all callers, to one replica.
  std::optional<EngineLimits> engine;
  std::optional<BatchLimits> batching;
  DurationUs cold_start = 0;  // A replica is cold for this long after a start.
  // Requests a second that a cold replica stands; zero: as many as any other.
  double cold_rate = 0;
};

// What a client may send.
struct ClientLimits {
  std::uint64_t head_bytes = 16 << 10;
  std::uint64_t body_bytes = 4 << 20;
  DurationUs head_time = 3 * kSecond;
  DurationUs idle_time = 15 * kSecond;
};

struct ClientAccount {
  std::string name;
  std::optional<std::uint32_t> priority;  // Zero is the most urgent.
};

class ServingConfig {
 public:
  std::uint64_t version = 0;
  ClientLimits limits;
  bool needs_keys = false;  // Whether any client account exists.

  void AddRoute(Route route);
  void AddService(Service service);
  void AddAccount(ClientAccount account, const std::vector<std::string>& keys);

  // The route of that host with the longest prefix that begins the path; null
  // when none does. A port in `host` and a query in `target` do not count.
  const Route* FindRoute(std::string_view host, std::string_view target) const;
  const Service* FindService(std::string_view name) const;
  // The account that holds `key`; null for an unknown key.
  const ClientAccount* FindAccount(std::string_view key) const;
  std::size_t routes() const { return routes_; }
  const absl::flat_hash_map<std::string, Service>& services() const {
    return services_;
  }

 private:
  std::size_t routes_ = 0;
  // By lower-case host, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<Route>> by_host_;
  absl::flat_hash_map<std::string, Service> services_;
  std::vector<std::unique_ptr<ClientAccount>> accounts_;
  absl::flat_hash_map<std::string, const ClientAccount*> by_key_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_SERVING_CONFIG_H_
