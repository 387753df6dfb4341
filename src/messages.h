// Messages between the system's own processes, as plain data. The codec is in
// protocol/codec.h, so that the decisions do not depend on it.
#ifndef ACACIACHUTE_SRC_MESSAGES_H_
#define ACACIACHUTE_SRC_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "types.h"

namespace acaciachute {

// Entry to sidecar: run one stage. It is addressed to one incarnation and
// carries the time left instead of a wall-clock deadline, because clocks
// disagree and a call may arrive at a successor of the sidecar it was meant
// for.
struct StageCall {
  StageKey key;
  Incarnation sidecar = 0;
  CallerClass caller_class = CallerClass::kPatient;
  StageKind kind = StageKind::kService;
  bool idempotent = true;
  bool stream = false;
  DurationUs time_left = 0;
  DurationUs expected_service = 0;  // Entry's estimate; zero when unknown.
  std::uint64_t fingerprint = 0;    // Hash of account and body, for blame.
  std::string account;
  std::string path;  // Below the upstream's base address.
  std::string body;
  std::string traceparent;
};

// Entry to sidecar: nobody waits for this attempt any longer. `time_left`
// bounds how long the call itself may still be on its way.
struct StageCancel {
  StageKey key;
  Incarnation sidecar = 0;
  DurationUs time_left = 0;
};

// Sidecar to entry: part of an answer. `sequence` counts from zero; the answer
// is whole when every number up to the one marked `last` has arrived.
struct StageChunk {
  StageKey key;
  Incarnation sidecar = 0;
  std::uint32_t sequence = 0;
  bool last = false;
  DurationUs service = 0;  // Upstream time so far; the cost of the stage.
  std::string body;
};

// Sidecar to entry: the attempt ended without an answer.
struct StageFailure {
  StageKey key;
  Incarnation sidecar = 0;
  Verdict verdict = Verdict::kMayHaveRun;
  Refusal reason = Refusal::kUpstreamFailed;
  DurationUs retry_after = 0;
  bool crashed = false;  // The upstream died with the attempt in progress.
};

// A settings branch and the version a node has of it.
struct BranchVersion {
  std::string branch;
  SettingsVersion version = 0;
};

// Both ways over UDP. An entry's heartbeat asks for the sidecar's.
struct Heartbeat {
  Role role = Role::kEntry;
  NodeState state = NodeState::kStarting;
  std::uint64_t sequence = 0;
  LoadReport load;
  FenceNumber fence = 0;
  std::vector<BranchVersion> versions;
  std::vector<std::uint64_t> quarantined;  // Fingerprints convicted lately.
};

// Between peers over TCP: asks for a branch newer than `version`.
struct BranchPull {
  std::string branch;
  SettingsVersion version = 0;
};

struct BranchBody {
  std::string branch;
  SettingsVersion version = 0;
  std::string json;
};

enum class OrderKind { kLoadModel, kUnloadModel, kChangeRole };
inline constexpr std::array<std::string_view, 3> kOrderKindNames = {
    "load_model", "unload_model", "change_role"};
constexpr std::string_view Name(OrderKind v) {
  return detail::NameIn(kOrderKindNames, v);
}

// Lease holder to sidecar: an order for the upstream. `order_id` makes a
// repeated order harmless; `fence` makes an old holder's order void.
struct ControlOrder {
  std::string order_id;
  OrderKind kind = OrderKind::kLoadModel;
  FenceNumber fence = 0;
  std::string model;
  std::string model_version;
};

struct ControlOrderResult {
  std::string order_id;
  Refusal reason = Refusal::kNone;
  FenceNumber fence = 0;  // The number in force at the sidecar.
};

using Message = std::variant<StageCall,
                             StageCancel,
                             StageChunk,
                             StageFailure,
                             Heartbeat,
                             BranchPull,
                             BranchBody,
                             ControlOrder,
                             ControlOrderResult>;

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_MESSAGES_H_
