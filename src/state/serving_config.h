// One version of the configuration by which gateways serve requests: routes,
// services, client accounts and limits.
//
// The next version is made from a copy of this one, which shares the routes and
// accounts that did not change, and a look-up tries each length of prefix that
// occurs. So neither a small change nor a request for an unknown path takes
// longer the more routes there are.
#ifndef ACACIACHUTE_SRC_STATE_SERVING_CONFIG_H_
#define ACACIACHUTE_SRC_STATE_SERVING_CONFIG_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "state/shared_map.h"
#include "types.h"

namespace acaciachute {

// Determines whether requests on a route may be retried.
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

// A stage whose results a request needs before it is sent to an engine.
struct StageSpec {
  std::string service;
  std::vector<std::uint32_t> after;  // Indexes of the stages that it needs.
  std::uint64_t result_bytes = 0;    // Approximate size of a piece's result.
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Path prefix; begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  DurationUs timeout = 0;
  DurationUs target = 0;       // Target latency.
  DurationUs pause = 0;        // Target for the gap between stream events.
  std::uint32_t priority = 0;  // Zero is the most urgent.
  // Services among which requests are divided in proportion to their weights.
  std::vector<WeightedService> split;
  std::uint32_t max_attempts = 1;
  std::vector<StageSpec> stages;
  bool anonymous = false;  // Requests need no key.
  bool resumable = false;  // A broken stream may continue at another replica.

  // Time that clients wait for the first event of a stream. The platform
  // defines it as the longest of two seconds, four times the target and eight
  // pauses.
  DurationUs FirstEventTimeout() const {
    return std::max({2 * kSecond, 4 * target, 8 * pause});
  }

  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

// Limits of a service that computes the pieces of stages in batches.
struct BatchLimits {
  std::uint32_t slots = 1;                // Calls in progress at one replica.
  std::uint32_t queue = 0;                // Calls that may wait at one replica.
  std::uint32_t batch = 1;                // Maximum number of pieces per call.
  DurationUs call = 0;                    // Fixed part of a call's duration.
  DurationUs piece = 0;                   // Time that each piece adds to it.
  std::uint64_t result_memory_bytes = 0;  // Memory for results at one replica.
  DurationUs result_lifetime = 0;  // A replica deletes its results after this.
};

// Limits of a model engine.
struct EngineLimits {
  std::uint32_t slots = 1;             // Requests in progress at one replica.
  std::uint64_t cache_tokens = 0;      // Prompt tokens in a replica's cache.
  std::uint32_t tokens_per_event = 1;  // Output tokens per stream event.
};

struct Service {
  std::string name;
  std::uint32_t max_connections = 0;  // From all gateways to a replica.
  std::optional<EngineLimits> engine;
  std::optional<BatchLimits> batching;
  DurationUs cold_start = 0;  // A replica is cold for this long after a start.
  // Requests per second that a cold replica can handle; zero: no limit.
  double cold_rate = 0;
};

// Limits on clients' requests and connections.
struct ClientLimits {
  std::uint64_t head_bytes = 16 << 10;
  std::uint64_t body_bytes = 4 << 20;
  // Maximum time from the first to the last byte of a request.
  DurationUs request_time = 3 * kSecond;
  DurationUs idle_time = 15 * kSecond;  // Timeout of idle connections.
};

struct ClientAccount {
  std::string name;
  std::optional<std::uint32_t> priority;  // Zero is the most urgent.
};

class ServingConfig {
 public:
  std::uint64_t version = 0;
  ClientLimits limits;

  // Whether any client account exists.
  bool needs_keys() const { return accounts_ > 0; }

  // Each replaces what is there for the same host and prefix, name or key.
  void AddRoute(Route route);
  void AddService(Service service);
  void AddAccount(ClientAccount account, const std::vector<std::string>& keys);
  // Each removes what was added, but not what another route, or another
  // account, has put in its place since.
  void RemoveRoute(const Route& route);
  void RemoveService(const std::string& name);
  void RemoveAccount(const std::string& name,
                     const std::vector<std::string>& keys);

  // Returns the route of the host with the longest prefix that matches the path
  // of `target`, or null. A port in `host` and a query in `target` are ignored.
  const Route* FindRoute(std::string_view host, std::string_view target) const;
  const Service* FindService(std::string_view name) const;
  // Returns the account with this key, or null for an unknown key.
  const ClientAccount* FindAccount(std::string_view key) const;
  std::size_t routes() const { return routes_; }
  // Whether a route sends streams to the service.
  bool HasStreams(const std::string& service) const {
    return stream_routes_.contains(service);
  }
  const absl::flat_hash_map<std::string, Service>& services() const {
    return services_;
  }

 private:
  using RoutePtr = std::shared_ptr<const Route>;
  using AccountPtr = std::shared_ptr<const ClientAccount>;

  // Adds `count` to the number of routes of streams of its services.
  void CountStreams(const Route& route, std::ptrdiff_t count);

  std::size_t routes_ = 0;
  std::size_t accounts_ = 0;
  // By lower-case host name, directly followed by the prefix.
  SharedMap<RoutePtr> by_place_;
  // The number of routes by length of their prefixes, the longest first.
  std::map<std::size_t, std::size_t, std::greater<>> prefix_lengths_;
  absl::flat_hash_map<std::string, Service> services_;
  SharedMap<AccountPtr> by_key_;
  // By service: the number of routes that send streams there.
  std::map<std::string, std::ptrdiff_t> stream_routes_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_SERVING_CONFIG_H_
