// Serves clients' requests straight to replicas: finds the route and the client
// account, has the stages made, chooses the replica, passes the answer on, and
// refuses what cannot be served.
//
// A request runs at most once unless it may be repeated: it is sent again only
// when no byte of it left, when the replica itself said that it did not run it,
// or when its route allows repeats. A refusal that says "not run" is given in
// these cases only. Everything here is without I/O; time, connections and
// timers come through `GatewayOutput`, so that a failure is a short test.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/choice/engine_choice.h"
#include "coordination/gateway/service_retry_budget.h"
#include "coordination/stages/piece_dispatcher.h"
#include "state/client_request.h"
#include "state/event_log.h"
#include "state/metrics.h"
#include "state/random.h"
#include "state/replica_directory.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

// This system's own answer to a client, in place of a replica's.
struct LocalReply {
  Refusal reason = Refusal::kNone;
  Verdict verdict = Verdict::kNotRun;
  DurationUs retry_after = 0;  // Zero: a later try does not help.
  std::string detail;
};

// One attempt of a request at one replica.
struct AttemptRequest {
  const ClientRequest* call = nullptr;
  ReplicaId replica;
  Address address;
  DurationUs time_left = 0;
  std::string account;  // Empty when the route needs none.
  std::vector<std::string> inputs;
  std::optional<std::uint32_t> priority;  // For engines.
  std::optional<std::uint64_t> resume_after;
  // Whether a kept connection that turns out closed would cost the request: it
  // could not be told from one that was lost after it ran.
  bool may_repeat = false;
  // Idle connections to the replica that may stay open; none: as many as the
  // transport keeps.
  std::optional<std::size_t> most_idle_connections;
};

class GatewayOutput {
 public:
  virtual ~GatewayOutput() = default;
  // Counts on while the host is suspended, because clients' deadlines do.
  virtual TimeUs Now() = 0;

  virtual void Refuse(ExchangeId id, const LocalReply& answer) = 0;
  virtual void Answer(ExchangeId id,
                      const ReplicaHead& head,
                      std::string_view body) = 0;
  virtual void BeginStream(ExchangeId id, const ReplicaHead& head) = 0;
  virtual void StreamData(ExchangeId id, std::string_view bytes) = 0;
  virtual void EndStream(ExchangeId id) = 0;
  virtual void Break(ExchangeId id) = 0;
  // Bytes that the client has not taken yet.
  virtual std::size_t Unsent(ExchangeId id) = 0;

  virtual CallId Send(const AttemptRequest& attempt) = 0;
  virtual void Cancel(CallId id) = 0;
  virtual void SetReading(CallId id, bool reading) = 0;
};

struct GatewayOptions {
  NodeId node;
  std::string domain;  // Failure domain of this host.
  // A key is used only while the configuration was confirmed this recently.
  DurationUs key_age = 4 * kSecond;
  ServiceRetryBudgetLimits budget;
  ColdRateBound cold;
  DurationUs replica_heartbeat_period = 1200 * kMillisecond;
  bool operator==(const GatewayOptions&) const = default;
};

class Gateway {
 public:
  // A client that takes its answer slowly makes the replica wait instead of
  // filling this process's memory.
  static constexpr std::size_t kMostUnsent = 128 << 10;
  // A plain answer is passed on whole; one above this fails.
  static constexpr std::size_t kMostAnswer = 8 << 20;
  // Replicas asked for one request, those that refused included.
  static constexpr std::size_t kMostReplicas = 3;
  // Times that a request's stages are begun again because a result was gone.
  static constexpr int kMostRestarts = 2;
  // Load pattern: a service of few replicas, each called a few times a second
  // by a hundred gateways. Each gateway kept the connections of its last calls
  // open; together they filled the replicas, which reset further ones, and
  // requests that must run once were lost. Idle connections of all gateways
  // together take at most this share of what a replica accepts; the rest is for
  // calls in progress and for connections that are being closed.
  static constexpr double kIdleShare = 0.7;
  // How long a request waits for its part of what cold replicas take: one
  // comes free a second after the answer that holds it.
  static constexpr DurationUs kMostColdWait = 1500 * kMillisecond;
  // Of the time from a client to here, which its deadline includes.
  static constexpr DurationUs kLink = 3 * kMillisecond;

  Gateway(GatewayOptions options,
          GatewayOutput* output,
          PieceDispatcher* dispatcher,
          const ReplicaDirectory* directory,
          Random* random,
          Metrics* metrics,
          EventLog* log);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void SetOptions(const GatewayOptions& options);
  // A configuration of a lower version than the one in force is passed over.
  void OnConfig(std::shared_ptr<const ServingConfig> config);
  // The configuration in force was the newest at `asked_at`.
  void OnConfirmed(TimeUs asked_at);
  void OnReplica(const ReplicaEntry& replica, DirectoryChange change);
  // A failure domain was emptied: refuses the requests that no replica is left
  // for and that none has begun.
  void OnEvacuated();

  void OnCall(ExchangeId id, ClientRequest call);
  void OnGone(ExchangeId id);
  void OnWritten(ExchangeId id);

  // The request left on a connection that had to be made first.
  void OnReplicaConnected(CallId id);
  void OnReplicaHead(CallId id, ReplicaHead head);
  void OnReplicaBody(CallId id, std::string_view bytes);
  void OnReplicaEnd(CallId id);
  void OnReplicaFailed(CallId id, bool sent, std::string_view why);
  void OnPiece(const PieceResult& result);

  // Balancers have had time to notice that this process leaves: streams, which
  // may outlast it, are refused from now on.
  void RefuseStreams();
  // Answers everything that no stream has begun for: this process ends.
  void RefuseAll();
  // Ends what is over its time; call it every 10 ms.
  void OnTick();

  void SetGatewayCount(std::size_t n);
  // See `ColdReplicaLimiter::SetGateways`.
  void SetKnownGateways(std::vector<NodeId> gateways);
  // Whether another entry may check keys: clients that are refused because this
  // one may not are sent there.
  void SetPeerCanCheckKeys(bool can_check_keys);
  EngineChoice* engines();
  // The retry budget of a service, which its batched pieces share.
  ServiceRetryBudget* RetryBudgetOf(const std::string& service);
  bool configured() const;
  // Whether keys may be used now.
  bool can_check_keys() const;
  std::size_t in_progress() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_H_
