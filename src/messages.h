// Messages between the system's own processes, as plain data. The codec is in
// protocol/codec.h, so that the decisions do not depend on it.
#ifndef ACACIACHUTE_SRC_MESSAGES_H_
#define ACACIACHUTE_SRC_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/piece.h"
#include "state/table_rows.h"
#include "types.h"

namespace acaciachute {

// What a node knows of a request that was in progress when an upstream died;
// coordination/interface/quarantine.h says how records of two nodes are put
// together.
struct QuarantineRecord {
  std::uint64_t fingerprint = 0;
  std::uint32_t epoch = 0;
  QuarantineState quarantine_state = QuarantineState::kClear;
  DurationUs age = 0;  // Since its last change.
  std::string account;
  std::vector<NodeId> crashed_at;
};

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
  TimeUs sent_at = 0;  // Sender's clock; only differences to its others count.
  DurationUs expected_service = 0;  // Entry's estimate; zero when unknown.
  std::uint64_t fingerprint = 0;    // See `StageFingerprint`; for blame.
  // What the sender holds against it, so that the sidecar knows as much.
  std::vector<QuarantineRecord> quarantined;
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
  std::vector<QuarantineRecord> quarantined;  // The attempt's, when it crashed.
};

// A settings branch and the version a node has of it.
struct BranchVersion {
  std::string branch;
  SettingsVersion version = 0;
};

// Stands for "no such moment" where an age is given.
inline constexpr DurationUs kNever = -1;

// This long ago a witness had nothing newer than the sender of the message has.
struct WitnessAge {
  std::uint64_t witness = 0;  // Hash of its NodeId.
  DurationUs age = 0;
};

// What a node has of the settings tree, in a size that does not grow with it.
// Ages are measured at the sender, when it sends.
struct SettingsDigest {
  std::uint64_t hash = 0;  // Over all branches and versions.
  std::uint64_t sum = 0;   // Of all versions: the larger one is asked.
  // Everything that the table took before this long ago is included.
  DurationUs proof_age = kNever;
  // Whether the sender may itself be counted as a witness.
  bool established = false;
  std::vector<WitnessAge> witnesses;  // At most `SettingsSync::kWitnesses`.
};

// Both ways over UDP. One with `reply_to` zero asks; the answer repeats the
// sequence number of the question, so that the asker can tell how old it is.
struct Heartbeat {
  Role role = Role::kEntry;
  NodeState state = NodeState::kStarting;
  std::uint64_t sequence = 0;
  std::uint64_t reply_to = 0;
  TimeUs sent_at = 0;             // As in `StageCall`.
  bool receiver_leaving = false;  // The entry heard that the receiver leaves.
  LoadReport load;
  FenceNumber fence = 0;
  SettingsDigest settings;  // Of entries.
  std::vector<QuarantineRecord> quarantined;
};

// Between entries over UDP: does the other one hear this sidecar? Answered only
// when it does.
struct ReachQuery {
  NodeId sidecar;
};

struct ReachReport {
  NodeId sidecar;
  Incarnation incarnation = 0;
};

// Between entries over TCP: asks for every branch newer than those known.
struct SettingsPull {
  std::uint64_t sequence = 0;
  std::vector<BranchVersion> known;
};

struct BranchBody {
  std::string branch;
  SettingsVersion version = 0;
  std::string json;
};

// Answers a pull, in as many parts as its size asks for; the digest stands in
// the last one.
struct SettingsBodies {
  std::uint64_t reply_to = 0;
  bool last = false;
  SettingsDigest digest;
  std::vector<BranchBody> bodies;
};

enum class OrderKind { kLoadModel, kUnloadModel, kChangeRole, kLeave };
inline constexpr std::array<std::string_view, 4> kOrderKindNames = {
    "load_model", "unload_model", "change_role", "leave"};
constexpr std::string_view Name(OrderKind v) {
  return detail::NameIn(kOrderKindNames, v);
}

// Lease holder to sidecar: an order for the upstream. `order_id` makes a
// repeated order harmless; `fence` makes an old holder's order void.
struct ControlOrder {
  std::string order_id;
  Incarnation sidecar = 0;
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

// Work that a gateway has at one engine.
struct EngineWork {
  std::string replica;
  Incarnation incarnation = 0;  // Of the replica, as the sender knows it.
  std::uint32_t running = 0;
  std::uint64_t unread_tokens = 0;  // Of prompts without a first token yet.
};

// The queue of a service whose pieces the sender batches.
struct ServiceQueueWait {
  std::string service;
  QueueWait wait;
};

// Gateway to gateway, over UDP: the sender lives, and what it has in progress.
struct GatewayHeartbeat {
  Address address;  // Where it listens, for peers that do not know it yet.
  bool leaving = false;
  bool can_check_keys = false;  // Whether it may check keys now.
  double cores = 1;             // Share of a processor core that it is given.
  std::string domain;           // Failure domain of its host.
  DurationUs period = 150 * kMillisecond;  // Until its next heartbeat, at most.
  bool requests_reply = false;             // Of a heartbeat, at once.
  std::vector<EngineWork> work;
  std::vector<ServiceQueueWait> waits;
};

// Gateway to the gateway that batches a service's pieces.
struct PieceTasks {
  std::vector<PieceTask> tasks;
};
// Nobody waits for the request's pieces any longer.
struct PieceCancel {
  std::string request;
};
// Results that are needed no longer.
struct PieceRelease {
  std::vector<std::string> handles;
};
// The answers to tasks.
struct PieceResults {
  std::vector<PieceResult> results;
};

// Between gateways, over TCP: what changed in a table of the store? Without
// news the answer is held for a while.
struct TableRequest {
  std::string table;
  std::uint64_t sequence = 0;  // Of the requests of its sender.
  bool whole = false;          // All rows, or those above `after`.
  std::uint64_t after = 0;
  DurationUs wait = 0;  // Zero: the answer must not wait for news.
  DurationUs age = 0;   // Of what the asker knows.
};

struct TableReply {
  std::string table;
  std::uint64_t sequence = 0;
  TableAnswer answer;
};

using Message = std::variant<StageCall,
                             StageCancel,
                             StageChunk,
                             StageFailure,
                             Heartbeat,
                             SettingsPull,
                             SettingsBodies,
                             ReachQuery,
                             ReachReport,
                             ControlOrder,
                             ControlOrderResult,
                             GatewayHeartbeat,
                             PieceTasks,
                             PieceCancel,
                             PieceRelease,
                             PieceResults,
                             TableRequest,
                             TableReply>;

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_MESSAGES_H_
