// Basic types shared by every layer: identifiers, units of time, and enums with
// the tables of their names on the wire and in logs.
#ifndef ACACIACHUTE_SRC_TYPES_H_
#define ACACIACHUTE_SRC_TYPES_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciachute {

// Times and durations in microseconds. `TimeUs` is a point on the local
// monotonic clock. Another node can use it only to compute differences between
// times of the same sender (see coordination/membership/message_age.h).
using TimeUs = std::int64_t;
using DurationUs = std::int64_t;
inline constexpr DurationUs kMillisecond = 1000;
inline constexpr DurationUs kSecond = 1000 * kMillisecond;

// Name of a node as the settings give it, such as "entry-1".
using NodeId = std::string;

// Identifies one run of a process. It is drawn at random at the start, so that
// successive processes with the same NodeId can be distinguished. Zero: not
// known yet.
using Incarnation = std::uint64_t;

// The IP address and port on which a process listens.
struct Address {
  std::string ip;
  std::uint16_t port = 0;  // Zero: the operating system chooses.
  auto operator<=>(const Address&) const = default;
};

// Identifies one client request at the HTTP listener, until its answer is
// complete or the client has disconnected.
using ExchangeId = std::uint64_t;

// Identifies an outgoing call to a replica or to the platform; zero: no call.
using CallId = std::uint64_t;

// Version of a settings branch; each accepted change increments it by one.
using SettingsVersion = std::uint64_t;

// Fencing number of a lease; a larger one supersedes every smaller one.
using FenceNumber = std::uint64_t;

// Identifies a caller's request across restarts of the entry that accepted it.
struct RequestId {
  Incarnation origin = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const RequestId&) const = default;
};

// Identifies one attempt to run one stage of a request. A result whose key
// differs from that of the attempt in progress is stale and is dropped.
struct StageKey {
  RequestId request;
  std::uint32_t stage = 0;
  std::uint32_t attempt = 0;
  auto operator<=>(const StageKey&) const = default;
};

template <typename H>
H AbslHashValue(H h, const Address& address) {
  return H::combine(std::move(h), address.ip, address.port);
}
template <typename H>
H AbslHashValue(H h, const RequestId& id) {
  return H::combine(std::move(h), id.origin, id.sequence);
}
template <typename H>
H AbslHashValue(H h, const StageKey& key) {
  return H::combine(std::move(h), key.request, key.stage, key.attempt);
}

namespace detail {
// Returns the name of an enum value, or "unknown" for one out of range.
template <typename E, std::size_t N>
constexpr std::string_view NameIn(const std::array<std::string_view, N>& names,
                                  E value) {
  const auto n = static_cast<std::size_t>(value);
  return n < N ? names[n] : std::string_view("unknown");
}
// Returns the enum value with this name, or nullopt if there is none.
template <typename E, std::size_t N>
constexpr std::optional<E> ValueIn(const std::array<std::string_view, N>& names,
                                   std::string_view name) {
  for (std::size_t n = 0; n < N; ++n) {
    if (names[n] == name) {
      return static_cast<E>(n);
    }
  }
  return std::nullopt;
}
}  // namespace detail

// Role of a process in a deployment of entries and sidecars.
enum class Role { kEntry, kSidecar };
inline constexpr std::array<std::string_view, 2> kRoleNames = {"entry",
                                                               "sidecar"};
constexpr std::string_view Name(Role v) {
  return detail::NameIn(kRoleNames, v);
}

// The caller's tolerance of latency. Urgent work is never queued behind patient
// work.
enum class CallerClass { kUrgent, kPatient };
inline constexpr std::array<std::string_view, 2> kCallerClassNames = {
    "urgent", "patient"};
constexpr std::string_view Name(CallerClass v) {
  return detail::NameIn(kCallerClassNames, v);
}

enum class StageKind { kEncode, kRetrieve, kRerank, kGenerate, kService };
inline constexpr std::array<std::string_view, 5> kStageKindNames = {
    "encode", "retrieve", "rerank", "generate", "service"};
constexpr std::string_view Name(StageKind v) {
  return detail::NameIn(kStageKindNames, v);
}

// Whether a request may have run. `kNotRun` is a guarantee: no call for the
// stage in question has reached an upstream, and none will.
enum class Verdict { kAnswered, kNotRun, kMayHaveRun };
inline constexpr std::array<std::string_view, 3> kVerdictNames = {
    "answered", "not_run", "may_have_run"};
constexpr std::string_view Name(Verdict v) {
  return detail::NameIn(kVerdictNames, v);
}

// State of a node. Nodes report the first three of themselves; `kSuspect` and
// `kDead` are assigned by others. A node in `kLeaving` is healthy: it finishes
// the work in progress and accepts no new work.
enum class NodeState { kStarting, kReady, kLeaving, kSuspect, kDead };
inline constexpr std::array<std::string_view, 5> kNodeStateNames = {
    "starting", "ready", "leaving", "suspect", "dead"};
constexpr std::string_view Name(NodeState v) {
  return detail::NameIn(kNodeStateNames, v);
}

// State of a request that was in progress when an upstream crashed, in
// increasing order of severity.
enum class QuarantineState { kClear, kSuspect, kConvicted };
inline constexpr std::array<std::string_view, 3> kQuarantineStateNames = {
    "clear", "suspect", "convicted"};
constexpr std::string_view Name(QuarantineState v) {
  return detail::NameIn(kQuarantineStateNames, v);
}

// The reason why a request was refused or failed. `kRefusals` maps each to its
// HTTP status.
enum class Refusal {
  kNone,
  kMalformed,
  kUnauthorized,
  kForbidden,
  kUnknownEvent,
  kKeyReused,
  kTooLarge,
  kQuarantined,
  kOverShare,
  kFull,
  kLeaving,
  kLate,
  kStoreDown,
  kNoReplica,
  kUpstreamFailed,
  kInProgress,
  kFenced,
  kCancelled,
  kNotCurrent,
  kNotFound,
  kCrashesReplicas,
  kUnknownStream,
};

struct RefusalInfo {
  std::string_view name;
  int http_status;
  std::string_view title;
  bool retryable;  // Whether the response carries Retry-After.
};

inline constexpr std::array<RefusalInfo, 22> kRefusals = {{
    {"none", 200, "OK", false},
    {"malformed", 400, "The request is malformed", false},
    {"unauthorized", 401, "The bearer token is missing or unknown", false},
    {"forbidden", 403, "The account may not call this event", false},
    {"unknown_event", 404, "There is no such event", false},
    {"key_reused", 409, "The key was used with another body", false},
    {"too_large", 413, "The body is too large", false},
    {"quarantined", 422, "Requests like this one crashed upstreams", false},
    {"over_share", 429, "The account is over its share", true},
    {"full", 503, "No capacity within the deadline", true},
    {"leaving", 503, "The node is leaving", true},
    {"late", 504, "The deadline passed", true},
    {"store_down", 503, "The claim could not be written", true},
    {"no_replica", 503, "No replica takes work", true},
    {"upstream_failed", 502, "The upstream failed", true},
    {"in_progress", 409, "The same request is in progress", true},
    {"fenced", 409, "The order carries an old fencing number", false},
    {"cancelled", 499, "The caller gave up", false},
    {"not_current", 503, "The node cannot show that it is current", true},
    {"not_found", 404, "There is no such resource", false},
    // Of the statuses that clients know, this one says that it has not run.
    {"crashes_replicas", 503, "Replicas ended under this request", false},
    {"unknown_stream", 503, "It is not known where the stream began", true},
}};
constexpr const RefusalInfo& Info(Refusal v) {
  return kRefusals[static_cast<std::size_t>(v)];
}
constexpr std::string_view Name(Refusal v) {
  return Info(v).name;
}

// Load of an upstream as it last reported it. The report is always delayed, so
// a node that uses it adds the calls it has itself sent since.
struct LoadReport {
  std::uint32_t queued = 0;
  std::uint32_t in_progress = 0;
  std::uint32_t urgent = 0;  // Urgent calls among `queued` and `in_progress`.
  std::uint32_t limit = 0;   // Calls that may be in progress at once.
  std::uint32_t service_us = 0;  // Recent mean service time of one stage call.
  bool operator==(const LoadReport&) const = default;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TYPES_H_
