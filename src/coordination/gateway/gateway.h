// Serves clients' requests by sending them directly to replicas: finds the
// route and the client account, has the route's stages run, chooses a replica,
// passes its answer on, and refuses requests that cannot be served.
//
// A request runs at most once unless its route allows repeats. Otherwise it is
// sent again only if no byte of it was sent, or if the replica itself answered
// that it did not run it. A refusal carries the verdict "not run" in these
// cases only. This class does no I/O; time, connections and timers come through
// `GatewayOutput`, so that tests can inject failures.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/admission/account_shares.h"
#include "coordination/admission/client_memory.h"
#include "coordination/choice/engine_choice.h"
#include "coordination/choice/leaving_statements.h"
#include "coordination/choice/replica_rate_limiter.h"
#include "coordination/crashes/broken_attempts.h"
#include "coordination/crashes/crash_records.h"
#include "coordination/gateway/service_retry_budget.h"
#include "coordination/gateway/version_ledger.h"
#include "coordination/stages/piece_dispatcher.h"
#include "coordination/streams/stream_recorder.h"
#include "state/answer_end.h"
#include "state/client_request.h"
#include "state/event_log.h"
#include "state/metrics.h"
#include "state/random.h"
#include "state/replica_directory.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

// An answer to a client made by this gateway, not by a replica.
struct LocalReply {
  Refusal reason = Refusal::kNone;
  Verdict verdict = Verdict::kNotRun;
  DurationUs retry_after = 0;  // Zero: retrying later does not help.
  std::string detail;
};

// One attempt to run a request at one replica.
struct AttemptRequest {
  const ClientRequest* call = nullptr;
  ReplicaId replica;
  Address address;
  DurationUs time_left = 0;
  std::string account;  // Empty when the route needs none.
  std::vector<std::string> inputs;
  std::optional<std::uint32_t> priority;  // Sent to engines only.
  // Id of the last event that the client has; the replica resumes the stream
  // after it.
  std::optional<std::uint64_t> resume_after;
  // Whether the request may run twice. If not, the transport must avoid idle
  // connections that the replica may have closed: a request lost on such a
  // connection cannot be distinguished from one lost after it ran.
  bool may_repeat = false;
  // Maximum number of idle connections to the replica that stay open; unset:
  // the transport's own limit applies.
  std::optional<std::size_t> max_idle_connections;
};

class GatewayOutput : public VersionLedgerOutput, public StreamRecorderOutput {
 public:
  // Must advance while the host is suspended, because clients' deadlines do
  // too.
  virtual TimeUs Now() = 0;

  // Sends the gateway's own answer to the client.
  virtual void Refuse(ExchangeId id, const LocalReply& answer) = 0;
  // Passes on a replica's answer that ended with `end`. Returns the end that
  // the client receives.
  virtual AnswerEnd Answer(ExchangeId id,
                           const ReplicaHead& head,
                           const SharedBytes& body,
                           AnswerEnd end) = 0;
  // Returns the end that the client receives if the stream is complete.
  virtual AnswerEnd BeginStream(ExchangeId id, const ReplicaHead& head) = 0;
  virtual void StreamData(ExchangeId id, std::string_view bytes) = 0;
  // `kBroken` resets the client's connection, so that the client does not take
  // the stream for complete. Returns the end that the client receives.
  virtual AnswerEnd EndStream(ExchangeId id, AnswerEnd end) = 0;
  // Bytes queued for the client that are not sent yet.
  virtual std::size_t Unsent(ExchangeId id) = 0;
  // Bytes that are held for the request besides what its client sent: its
  // pieces, or a plain answer until it is complete.
  virtual void SetCollected(ExchangeId id, std::size_t bytes) = 0;

  // Sends an attempt to its replica; the events of the returned call come back
  // through `Gateway::OnReplica...`.
  virtual CallId Send(const AttemptRequest& attempt_request) = 0;
  virtual void Cancel(CallId id) = 0;
  // Cancels the call if no byte of its request was sent, and returns whether it
  // did. Otherwise the call continues.
  virtual bool CancelIfUnsent(CallId id) = 0;
  // Stops or resumes reading the replica's answer.
  virtual void SetReading(CallId id, bool reading) = 0;
  // Finds out whether a process listens at the replica's address;
  // `Gateway::OnReplicaProbed` follows, never from inside this call.
  virtual void ProbeReplica(const ReplicaId& replica,
                            const Address& address) = 0;
  // Asks the process at the replica's address when it started;
  // `Gateway::OnReplicaStart` follows, never from inside this call.
  virtual void AskReplicaStart(const ReplicaId& replica,
                               const Address& address) = 0;
};

struct GatewayOptions {
  NodeId node;
  std::string domain;  // Failure domain of this host.
  // Maximum age of the last confirmation that the configuration is the newest;
  // beyond it, API keys are not accepted.
  DurationUs key_age = 4 * kSecond;
  // See `ConfigFreshness::SetMaxUseAge`.
  DurationUs max_config_use_age = 2 * kSecond;
  ServiceRetryBudgetLimits budget;
  ColdRateBound cold_rate_bound;
  // Period at which a replica rewrites its row.
  DurationUs replica_heartbeat_period = 1200 * kMillisecond;
  bool operator==(const GatewayOptions&) const = default;
};

class Gateway {
 public:
  // Above this many unsent bytes for one client, the gateway stops reading from
  // the replica, so that a slow client cannot fill this process's memory.
  static constexpr std::size_t kMaxUnsentBytes = 128 << 10;
  // Limit on the body of a plain answer, which is buffered until it is
  // complete; a longer one fails.
  static constexpr std::size_t kMaxAnswerBytes = 8 << 20;
  // Limit on the body of an answer that says that the request was not run. Only
  // its head is used.
  static constexpr std::size_t kMaxRefusalBytes = 64 << 10;
  // Limit on the replicas that one request is sent to, including those that
  // refused it.
  static constexpr std::size_t kMaxReplicasPerRequest = 3;
  // Limit on the restarts of a request's stages after a result was lost.
  static constexpr int kMaxStageRestarts = 2;
  // Share of the connections that a replica accepts which the idle connections
  // of all gateways together may use; the remainder is for requests in progress
  // and for connections being closed. Without this limit, a hundred gateways
  // that each call a small service a few times a second kept enough idle
  // connections open to fill its replicas; the replicas reset further
  // connections, and requests that must run only once were lost.
  static constexpr double kIdleConnectionShare = 0.7;
  // Maximum time that a request waits for a replica whose rate is limited. The
  // turn of a request at a cold replica is over one second after the replica's
  // answer to it starts.
  static constexpr DurationUs kMaxLimitedReplicaWait = 1500 * kMillisecond;
  // Time that a request needs from the client to this gateway. It counts
  // against the client's deadline, which starts when the client sends the
  // request.
  static constexpr DurationUs kClientTransitTime = 3 * kMillisecond;

  Gateway(GatewayOptions options,
          GatewayOutput* output,
          PieceDispatcher* dispatcher,
          ReplicaDirectory* directory,
          Random* random,
          Metrics* metrics,
          EventLog* log);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void SetOptions(const GatewayOptions& options);
  // Ignores a configuration whose version is lower than that of the one in use.
  void OnConfig(std::shared_ptr<const ServingConfig> config);
  // The configuration in use was the newest one at `asked_at`, when this
  // gateway asked the store.
  void OnConfirmed(TimeUs asked_at);
  // Whether a newer configuration is known to exist; call it every 10 ms.
  void SetNewerConfigKnown(bool newer_known);
  void OnReplica(const ReplicaEntry& replica, DirectoryChange change);
  // A failure domain was evacuated: refuses requests that are not at a replica
  // if a service they need has no replica left.
  void OnEvacuated();

  // A client's request arrived.
  void OnCall(ExchangeId id, ClientRequest call);
  // The client closed its connection.
  void OnClientDisconnected(ExchangeId id);
  // Bytes queued for the client were written; reading from the replica may
  // resume.
  void OnWritten(ExchangeId id);
  // Memory is short, and this request holds most for least progress.
  GaveWay OnMemoryShort(ExchangeId id);

  // The request was sent on a newly opened connection.
  void OnReplicaConnected(CallId id);
  // The other side ended the last connection to the replica, or refused one.
  void OnConnectionsLost(const ReplicaId& replica);
  // A connection to the replica was made while there was none.
  void OnFirstConnection(const ReplicaId& replica);
  // Zero if the process does not say it, empty if it does not answer.
  void OnReplicaStart(const ReplicaId& replica,
                      std::optional<Incarnation> start);
  void OnReplicaHead(CallId id, ReplicaHead head);
  void OnReplicaBody(CallId id, std::string_view bytes);
  void OnReplicaEnd(CallId id, AnswerEnd end);
  // The connection failed before the end of the answer. `sent`: whether any
  // byte of the request was sent.
  void OnReplicaFailed(CallId id, bool sent, std::string_view why);
  // The outcome of a probe that was started at `sent_at`.
  void OnReplicaProbed(const ReplicaId& replica,
                       ProbeOutcome outcome,
                       TimeUs sent_at);
  // What another gateway, or the store (`source`), knows of replicas that
  // ended.
  void OnCrashReport(const CrashReport& report, std::string_view source);
  // Messages of other gateways about streams that clients take up again.
  void OnStreamOrigins(const StreamOriginReport& report);
  void OnStreamOriginQuery(const NodeId& from, const StreamOriginQuery& query);
  void OnStreamOriginAnswer(const NodeId& from,
                            const StreamOriginAnswer& answer);
  // Messages of other gateways about turns of replicas that state limits.
  void OnRateLoanRequest(const NodeId& from, const RateLoanRequest& request);
  void OnRateLoan(const NodeId& from, const RateLoan& loan);
  void OnRateLoanReturn(const NodeId& from, const RateLoanReturn& unused);
  // About requests in doubt; see `RequestTrials`.
  void OnTrialRequest(const NodeId& from, const CrashTrialRequest& request);
  void OnTrialGrant(const NodeId& from, const CrashTrialGrant& grant);
  void OnTrialEnd(const NodeId& from, const CrashTrialEnd& end);
  // A gateway has started or was not known before.
  void OnNewPeer(const NodeId& peer);
  // What the store, or another gateway, knows of versions at which streams can
  // have begun; see `VersionLedger`.
  void OnVersionRecorded(const ServiceVersion& version, bool done);
  void OnVersionsRead(
      const std::optional<std::vector<ServiceVersion>>& versions);
  void OnServiceVersions(const NodeId& from,
                         const ServiceVersionReport& report);
  // The store's rows of streams; see `StreamRecorder`.
  void OnStreamRowsWritten(bool done);
  void OnStreamRows(const std::optional<StreamRowsPage>& page);
  // Whether streams may begin at all versions that replicas have.
  bool VersionsRecorded() const;
  void OnPiece(const PieceResult& result);
  // What a replica states in its answer to a call with pieces or to a release
  // of results.
  void OnStatement(const ReplicaId& replica, const ReplicaStatement& statement);
  // Another gateway received an answer with this statement.
  void OnPeerStatement(const ReplicaRateStatement& statement);
  void OnPeerStatement(const ReplicaLeavingStatement& statement);

  // Refuses new streams from now on, because they may outlast this process,
  // which is shutting down. Called once load balancers have had time to notice
  // the shutdown.
  void RefuseStreams();
  // What is not answered by then will be broken off: from now on, requests are
  // not sent if their answers are likely to come later.
  void AnswerUntil(TimeUs until);
  // Refuses all requests whose stream has not begun, just before the process
  // exits.
  void RefuseAll();
  // Refuses requests whose deadline passed and starts waiting ones; call it
  // every 10 ms.
  void OnTick();

  // Number of live gateways that share the connections of replicas, including
  // this one.
  void SetGatewayCount(std::size_t n);
  // All gateways that may send requests, including this one, among which the
  // limits of replicas and the retry budgets are divided. Empty if this gateway
  // does not know the others well enough to use a part.
  void SetKnownGateways(std::vector<NodeId> gateways);
  // Whether another gateway can check keys. If this gateway cannot, it refuses
  // requests with a short Retry-After, because a new connection most likely
  // reaches a gateway that can.
  void SetPeerCanCheckKeys(bool can_check_keys);
  // What this gateway's own requests showed since the last call: reports for
  // other gateways, and causes that the store has to remember or to forget.
  struct CrashNews {
    std::vector<CrashReport> reports;
    std::vector<CrashCause> to_store;
  };
  CrashNews TakeCrashNews();
  CrashRecords* crash_records();
  // An operator takes all ends of replicas under a cause back. Returns false if
  // none counts.
  bool LiftBlock(const CrashCause& cause);
  EngineChoice* engines();
  AccountShares* account_shares();
  LearnedCapacity* capacity();
  ReplicaRateLimiter* rate_limiter();
  // Replicas that stated in answers to this gateway that they leave.
  const LeavingStatements& leaving_statements() const;
  // The retry budget of a service; the stage pieces of that service share it.
  ServiceRetryBudget* RetryBudgetOf(const std::string& service);
  // Whether any configuration was received.
  bool configured() const;
  // Whether a configuration is known and, if its routes need API keys, was
  // confirmed recently enough to check keys against it.
  bool can_check_keys() const;
  std::size_t in_progress() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_H_
