// Messages between the processes of the system, as plain structs. The codec is
// separate (protocol/codec.h), so that decision code does not depend on it.
#ifndef ACACIACHUTE_SRC_MESSAGES_H_
#define ACACIACHUTE_SRC_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/crash_cause.h"
#include "state/piece.h"
#include "state/service_version.h"
#include "state/table_rows.h"
#include "types.h"

namespace acaciachute {

// A node's record of a request that was in progress when an upstream crashed.
// coordination/interface/quarantine.h defines how the records of two nodes are
// merged.
struct QuarantineRecord {
  std::uint64_t fingerprint = 0;
  std::uint32_t epoch = 0;
  QuarantineState quarantine_state = QuarantineState::kClear;
  DurationUs age = 0;  // Time since the record last changed.
  std::string account;
  // Sidecars whose upstreams crashed while they ran the request.
  std::vector<NodeId> crashed_at;
};

// Entry to sidecar: runs one stage. The call names the incarnation that it is
// for, because it may arrive at a sidecar that restarted under the same NodeId.
// It carries the time left instead of a wall-clock deadline, because clocks of
// hosts disagree.
struct StageCall {
  StageKey key;
  Incarnation sidecar = 0;  // The incarnation that may run the call.
  CallerClass caller_class = CallerClass::kPatient;
  StageKind kind = StageKind::kService;
  bool idempotent = true;
  bool stream = false;
  DurationUs time_left = 0;
  // By the sender's clock; comparable only to its other `sent_at` values.
  TimeUs sent_at = 0;
  DurationUs expected_service = 0;  // Entry's estimate; zero when unknown.
  // See `StageFingerprint`; identifies the request in quarantine records.
  std::uint64_t fingerprint = 0;
  // The sender's quarantine records of this request, if any.
  std::vector<QuarantineRecord> quarantined;
  std::string account;
  std::string path;  // Relative to the upstream's base address.
  std::string body;
  std::string traceparent;
};

// Entry to sidecar: cancels an attempt whose result is no longer needed. The
// call itself may arrive later than this message, by at most `time_left`.
struct StageCancel {
  StageKey key;
  Incarnation sidecar = 0;
  DurationUs time_left = 0;
};

// Sidecar to entry: part of an answer. `sequence` counts from zero; the answer
// is complete when every chunk up to the one marked `last` has arrived.
struct StageChunk {
  StageKey key;
  Incarnation sidecar = 0;
  std::uint32_t sequence = 0;
  bool last = false;
  // Upstream time of the attempt so far, which is the cost of the stage.
  DurationUs service = 0;
  std::string body;
};

// Sidecar to entry: the attempt ended without an answer.
struct StageFailure {
  StageKey key;
  Incarnation sidecar = 0;
  Verdict verdict = Verdict::kMayHaveRun;
  Refusal reason = Refusal::kUpstreamFailed;
  DurationUs retry_after = 0;
  bool crashed = false;  // The upstream crashed during the attempt.
  // The quarantine record of the attempt's request, if the upstream crashed.
  std::vector<QuarantineRecord> quarantined;
};

// The version of a settings branch that a node has.
struct BranchVersion {
  std::string branch;
  SettingsVersion version = 0;
};

// Marks an age as undefined: the event from which it would be measured has not
// occurred.
inline constexpr DurationUs kNever = -1;

// Confirmation by a witness that, `age` before the message was sent, it had no
// newer settings than the sender.
struct WitnessAge {
  std::uint64_t witness = 0;  // Hash of its NodeId.
  DurationUs age = 0;
};

// A summary, of constant size, of the settings tree that a node has. Ages are
// measured by the sender when it sends the summary.
struct SettingsDigest {
  std::uint64_t hash = 0;  // Over all branch names and versions.
  // Sum of all versions. Of two nodes whose trees differ, the one with the
  // smaller sum pulls from the other.
  std::uint64_t sum = 0;
  // The sender's tree includes every change that the table had accepted at the
  // point in time that lies this long in the past.
  DurationUs proof_age = kNever;
  // Whether the sender may itself be counted as a witness.
  bool established = false;
  std::vector<WitnessAge> witnesses;  // At most `SettingsSync::kWitnesses`.
};

// Sent over UDP between entries, and between entries and sidecars. A heartbeat
// whose `reply_to` is zero requests a reply, and the reply carries that
// heartbeat's sequence number in `reply_to`, by which the receiver of the reply
// can derive when it sent the request.
struct Heartbeat {
  Role role = Role::kEntry;
  NodeState state = NodeState::kStarting;
  std::uint64_t sequence = 0;
  std::uint64_t reply_to = 0;
  TimeUs sent_at = 0;  // By the sender's clock, as in `StageCall`.
  // The platform's host list shows the receiver as leaving.
  bool receiver_leaving = false;
  LoadReport load;
  FenceNumber fence = 0;    // The number in force at a sidecar.
  SettingsDigest settings;  // Only in heartbeats from entries.
  std::vector<QuarantineRecord> quarantined;
};

// Between entries over UDP: asks whether the receiver can reach this sidecar.
// The receiver replies with a `ReachReport` only if it can.
struct ReachQuery {
  NodeId sidecar;
};

struct ReachReport {
  NodeId sidecar;
  Incarnation incarnation = 0;
};

// Between entries over TCP: requests every branch that `known` lacks or lists
// with a lower version than the receiver has.
struct SettingsPull {
  std::uint64_t sequence = 0;
  std::vector<BranchVersion> known;
};

struct BranchBody {
  std::string branch;
  SettingsVersion version = 0;
  std::string json;
};

// Reply to a `SettingsPull`, split into as many parts as its size requires. The
// digest is in the last part.
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

// Lease holder to sidecar: a control order for the upstream. `order_id` lets
// the sidecar recognize a repeated order, and `fence` lets it refuse an order
// of a previous lease holder.
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

// Work that a gateway has in progress at one engine replica.
struct EngineWork {
  std::string replica;
  Incarnation incarnation = 0;  // Of the replica, as the sender knows it.
  std::uint32_t running = 0;
  // Prompt tokens of requests that have not produced their first token.
  std::uint64_t unread_tokens = 0;
};

// Expected wait in the queue of a service whose pieces the sender batches.
struct ServiceQueueWait {
  std::string service;
  QueueWait wait;
};

// The latest answer of a replica that has stated a limit on its load.
struct ReplicaRateStatement {
  std::string replica;
  Incarnation incarnation = 0;
  bool limited = false;   // False: it states no limit any more.
  double per_second = 0;  // From all gateways together.
  DurationUs age = 0;
};

// A replica that stated in an answer to the sender that it leaves.
struct ReplicaLeavingStatement {
  std::string replica;
  Incarnation incarnation = 0;
  DurationUs age = 0;  // Since the first such answer.
};

// How long work takes at a replica, by answers to the sender.
struct ReplicaPace {
  std::uint64_t replica = 0;  // Digest of its id.
  bool crowded = false;       // With more than half of its slots in use.
  std::uint16_t answers = 0;  // To the sender so far; wraps around.
  std::uint16_t percent = 0;  // Of the usual time in its service.
  std::uint16_t age_ms = 0;   // Of the latest answer, at most a minute.
};

// A cause of which a request was in progress at a replica when it ended.
struct CrashSuspect {
  CrashCause cause;
  std::string account;       // Of the request.
  DurationUs began_age = 0;  // Since the request was sent to the replica.
  DurationUs cleared_age = kNever;  // Since an answer showed it to be sound.
  bool tried = false;               // The request was to try the cause, alone.
};

// A replica that ended, with some of what was in progress there.
struct CrashEnd {
  std::string replica;
  Incarnation incarnation = 0;
  DurationUs age = 0;
  std::vector<CrashSuspect> suspects;
};

// An answer, or an operator, showed that the cause is sound.
struct ClearedCause {
  CrashCause cause;
  DurationUs age = 0;
};

// Gateway to gateway, over UDP: replicas that ended, and causes that were
// cleared. Also a row of the store.
struct CrashReport {
  std::vector<CrashEnd> ends;
  std::vector<ClearedCause> cleared;

  bool empty() const { return ends.empty() && cleared.empty(); }
};

// Keeps the place of a message that gateways of earlier builds send. It is
// passed over.
struct FormerCrashRecords {};

// Requests of one client account that were admitted to a pool.
struct AccountUse {
  std::uint32_t account = 0;  // Hash of its name; see `AccountId`.
  std::uint16_t admitted = 0;
};

// What the sender knows of a scarce pool from its own requests in one of its
// windows. Counts of a window only grow.
struct PoolUse {
  std::string pool;
  std::uint32_t window = 0;
  bool scarce = false;  // By the sender's own judgement.
  std::uint16_t answers = 0;
  std::vector<AccountUse> accounts;  // Some of those that used it.
};

// Gateway to gateway, over UDP: periodic heartbeat with the sender's work in
// progress and queue waits.
struct GatewayHeartbeat {
  // The sender's listening address, for peers that do not know it yet.
  Address address;
  bool leaving = false;
  // Whether the sender's configuration is recent enough to check client keys.
  bool can_check_keys = false;
  // Version of the row with the sender's configuration; zero if it has none.
  std::uint64_t config_version = 0;
  double cores = 1;    // Processor cores available to the sender.
  std::string domain;  // Failure domain of the sender's host.
  // Maximum time until the sender's next heartbeat to this receiver.
  DurationUs period = 150 * kMillisecond;
  // A probe: the receiver must send a heartbeat at once.
  bool requests_reply = false;
  std::vector<EngineWork> work;
  std::vector<ServiceQueueWait> waits;
  std::vector<ReplicaRateStatement> rates;
  std::vector<ReplicaLeavingStatement> leaving_replicas;
  std::vector<PoolUse> pool_use;
  std::vector<ReplicaPace> paces;
};

// Gateway to the gateway that batches a service's pieces: tasks to run.
struct PieceTasks {
  std::vector<PieceTask> tasks;
};
// Gateway to gateway: cancels the pieces of a request.
struct PieceCancel {
  std::string request;
  std::optional<std::uint32_t> stage;  // Only that stage's; empty: all.
};
// Gateway to gateway: releases results that are no longer needed.
struct PieceRelease {
  std::vector<std::string> handles;
};
// Gateway to gateway: results of the tasks that the receiver sent.
struct PieceResults {
  std::vector<PieceResult> results;
};

// Gateway to gateway, over TCP: requests the changes of a table of the store.
// While there are none, the receiver delays its reply by up to `wait`.
struct TableRequest {
  std::string table;
  std::uint64_t sequence = 0;   // Numbers the sender's requests.
  bool complete_table = false;  // Requests all rows; else those after `after`.
  std::uint64_t after = 0;      // Version of the table that the sender has.
  DurationUs wait = 0;          // Zero: reply at once, even without changes.
  DurationUs age = 0;           // Age of the sender's copy of the table.
  SplitRowPosition split_row;   // What the sender has of the split row.
};

struct TableReply {
  std::string table;
  std::uint64_t sequence = 0;
  TableAnswer answer;
};

// At which software version a stream began.
struct StreamOrigin {
  std::string attempt;  // Id of the client's attempt.
  std::string account;  // Empty without one.
  std::string service;
  std::string version;
  DurationUs age = 0;  // Since its first event.
};

// Gateway to gateway, over UDP: streams to remember.
struct StreamOriginReport {
  std::vector<StreamOrigin> streams;
};

// Gateway to gateway, over UDP: asks where a stream of the account began, which
// a client takes up at the sender; the answer to it.
struct StreamOriginQuery {
  ExchangeId request = 0;  // At the sender.
  std::string attempt;
  std::string account;
};
struct StreamOriginAnswer {
  ExchangeId request = 0;
  std::vector<StreamOrigin> origins;  // One, or none if it is not known.
};

// Gateway to gateway, over UDP: versions at which the sender's streams may
// begin, and whether the store has a record of each.
struct ServiceVersionReport {
  struct Item {
    ServiceVersion version;
    bool recorded = false;
  };
  std::vector<Item> versions;
};

// A number of turns at a replica that states a limit.
struct RateTurns {
  std::string replica;
  Incarnation incarnation = 0;
  std::uint32_t count = 0;
};

// Gateway to gateway, over UDP: asks for turns that the receiver does not need;
// the answer to it, unless the receiver lends none.
struct RateLoanRequest {
  TimeUs asked_at = 0;  // By the sender's clock.
  std::vector<RateTurns> wanted;
};
struct RateLoan {
  TimeUs asked_at = 0;  // Of the request.
  std::vector<RateTurns> lent;
};
// The borrower gives back what it did not use of a loan.
struct RateLoanReturn {
  TimeUs asked_at = 0;  // Of the request.
  std::vector<RateTurns> unused;
};

// Gateway to the one that decides which copy of a request tries whether it ends
// replicas: this copy waits, or still tries. See `RequestTrials`.
struct CrashTrialRequest {
  std::string cause;  // Fingerprint of the request.
  ExchangeId copy = 0;
};
// The answer: this copy may try. There is none while it may not.
struct CrashTrialGrant {
  std::string cause;
  ExchangeId copy = 0;
  bool alone = true;  // False: others may be sent at the same time.
};
// The copy has ended.
struct CrashTrialEnd {
  std::string cause;
  ExchangeId copy = 0;
  bool sent = false;      // To a replica.
  bool answered = false;  // Whole.
  bool begun = false;     // Its answer, a stream, has begun.
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
                             TableReply,
                             FormerCrashRecords,
                             CrashReport,
                             StreamOriginReport,
                             StreamOriginQuery,
                             StreamOriginAnswer,
                             ServiceVersionReport,
                             RateLoanRequest,
                             RateLoan,
                             RateLoanReturn,
                             CrashTrialRequest,
                             CrashTrialGrant,
                             CrashTrialEnd>;

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_MESSAGES_H_
