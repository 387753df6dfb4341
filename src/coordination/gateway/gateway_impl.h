// The inside of `Gateway`, shared by its source files.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_IMPL_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_IMPL_H_

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/choice/cold_replica_limiter.h"
#include "coordination/choice/plain_choice.h"
#include "coordination/gateway/event_splitter.h"
#include "coordination/gateway/gateway.h"
#include "coordination/stages/stage_progress.h"

namespace acaciachute {

// A request in progress at one replica.
struct Attempt {
  CallId call = 0;  // Zero: none is in progress.
  ReplicaEntry replica;
  TimeUs sent_at = 0;
  DurationUs list_age = 0;  // Of the replicas, when this one was chosen.
  DurationUs connect = 0;   // From then until the request left.
  std::optional<ReplicaHead> head;
  std::string body;      // Of a plain answer, until it is whole.
  bool read = false;     // The first event came.
  bool arrived = false;  // The replica has it; see `ColdReplicaLimiter`.
  bool paused = false;
};

// How a request was taken.
enum class Admission { kInTime, kLate, kParked, kRefused };
inline constexpr std::array<std::string_view, 4> kAdmissionNames = {
    "in_time", "late", "parked", "refused"};
constexpr std::string_view Name(Admission v) {
  return detail::NameIn(kAdmissionNames, v);
}

// From the last stage to the first event: a prompt of the usual length is read
// in 30 to 80 ms, and waits for others.
inline constexpr DurationUs kEngineTime = 150 * kMillisecond;

// How long each stage of a route takes: one call, with company in its batch.
std::vector<DurationUs> StageTimes(const ServingConfig& config,
                                   const Route& route);

struct ServingRequest {
  ServingRequest(ExchangeId id_in,
                 ClientRequest call_in,
                 std::shared_ptr<const ServingConfig> config_in,
                 const Route* route_in)
      : id(id_in),
        call(std::move(call_in)),
        config(std::move(config_in)),
        route(route_in),
        progress(route_in->stages, call.pieces, StageTimes(*config, *route)) {}

  EngineRequest ForEngine() const {
    return {&call.prompt, call.prompt_tokens, near_domain, fetched_bytes};
  }

  const ExchangeId id;
  const ClientRequest call;
  const std::shared_ptr<const ServingConfig> config;  // Owns `route`.
  const Route* const route;
  const ClientAccount* account = nullptr;
  std::string service;
  std::uint32_t priority = 0;
  TimeUs received_at = 0;
  TimeUs target_by = 0;
  TimeUs deadline_at = 0;
  TimeUs answer_by = 0;  // A stream's client leaves without a first event.
  TimeUs due_at = 0;     // Of the two, the one that counts now.

  StageProgress progress;
  Admission admission = Admission::kInTime;
  DurationUs expected_wait = 0;  // For stages, when it was taken.
  bool parked = false;  // Nothing was begun; see `Gateway::Impl::Decide`.
  bool staged = false;  // Every result that the replica needs was made.
  TimeUs staged_at = 0;
  std::string stage_times;  // For logs: when each stage was whole.
  int restarts = 0;
  // Where most of the results that the engine fetches lie, once all are made.
  std::string near_domain;
  std::uint64_t fetched_bytes = 0;

  Attempt attempt;
  std::uint32_t runs = 0;  // Attempts that may have run.
  std::vector<ReplicaId> tried;
  bool awaits_cold = false;  // See `Gateway::Impl::AwaitCold`.
  EventSplitter events;
  bool begun = false;  // The client has the head of a stream.
  TimeUs begun_at = 0;
  std::optional<std::uint64_t> resume_after;
};

struct Gateway::Impl {
  Impl(GatewayOptions options_in,
       GatewayOutput* output_in,
       PieceDispatcher* dispatcher_in,
       const ReplicaDirectory* directory_in,
       Random* random_in,
       Metrics* metrics_in,
       EventLog* log_in);

  using RequestPtr = std::unique_ptr<ServingRequest>;

  // gateway_admission.cc
  void Admit(ExchangeId id, ClientRequest call);
  bool FindAccount(const Route& route,
                   const ClientRequest& call,
                   const ClientAccount** account,
                   LocalReply* refusal);
  // Whether a service that the request still needs has no replica that takes
  // work; fills `refusal` if so.
  bool HasNoReplica(const ServingRequest& request, LocalReply* refusal);
  // Whether the stages can be made in useful time; fills `refusal` if not.
  Admission Decide(ServingRequest* request, LocalReply* refusal);
  // Longest waits of the request's stages, and its work until the first event.
  struct StageWaits {
    DurationUs in_time = 0;
    DurationUs late = 0;
    DurationUs work = 0;
  };
  StageWaits WaitsOf(const ServingRequest& request) const;
  // Begins the first parked request if the queues have become short enough.
  void BeginParked();
  // How long before this request's first attempt reached a gateway its client
  // first sent it.
  DurationUs ElapsedBefore(const Route& route, const ClientRequest& call);
  std::string ChooseService(const Route& route);
  DurationUs RetryAfter(const ServingRequest& request);
  // The longest wait that a client with `left` honours, spread below it.
  DurationUs RetryAfterLongest(DurationUs left);
  // When a client comes back that was refused because keys cannot be checked.
  DurationUs RetryAfterNotCurrent(const Route& route,
                                  const ClientRequest& call);

  // gateway_stages.cc
  std::vector<PieceTask> TasksOf(const ServingRequest& request,
                                 std::uint32_t stage) const;
  // Where the pieces of `stage` are best made; empty when it does not matter.
  std::string NearDomain(const ServingRequest& request,
                         std::uint32_t stage) const;
  std::string DomainOfMost(const std::vector<std::string>& handles) const;
  void RunStages(ServingRequest* request);
  void OnStagesDone(ServingRequest* request);
  // `why` is for logs.
  void RestartStages(ServingRequest* request, std::string_view why);

  // gateway.cc: ends.
  void Refuse(ServingRequest* request, LocalReply answer);
  void RefuseAtOnce(ExchangeId id,
                    const ClientRequest& call,
                    LocalReply answer);
  void Finish(ServingRequest* request, std::string_view outcome, int status);
  void Expire(ServingRequest* request);
  void SetDue(ServingRequest* request, TimeUs due_at);

  // gateway_attempt.cc: one request at its replicas.
  void StartAttempt(ServingRequest* request);
  const ReplicaEntry* ChooseReplica(ServingRequest* request);
  void SendTo(ServingRequest* request, const ReplicaEntry& replica);
  // Whether a cold replica would take the request in a moment.
  bool ColdTakesLater(const ServingRequest& request) const;
  void AwaitCold(ServingRequest* request);
  void RetryAwaiting();
  // Of this gateway, to one of the service's replicas.
  std::optional<std::size_t> MostIdleConnections(
      const ServingRequest& request) const;
  void OnHead(ServingRequest* request, ReplicaHead head);
  void OnBody(ServingRequest* request, std::string_view bytes);
  void OnEnd(ServingRequest* request);
  void OnFailed(ServingRequest* request, bool sent, std::string_view why);
  void FailAttemptsAt(const ReplicaId& replica);
  void PassEvents(ServingRequest* request, std::string_view events);
  void AnswerWhole(ServingRequest* request);
  void OnNotRun(ServingRequest* request);
  void OnMayHaveRun(ServingRequest* request, std::string_view why);
  bool MayTryAgain(const ServingRequest& request) const;
  void NoteArrived(ServingRequest* request);
  void EndAttempt(ServingRequest* request);
  void CancelAttempt(ServingRequest* request);

  ServingRequest* ByExchange(ExchangeId id);
  ServingRequest* ByCall(CallId id);
  PlainChoice& Plain(const std::string& service);
  ServiceRetryBudget& Budget(const std::string& service);
  bool IsEngine(const ServingRequest& request) const;
  bool Current() const;

  GatewayOptions options;
  GatewayOutput* const output;
  PieceDispatcher* const dispatcher;
  const ReplicaDirectory* const directory;
  Random* const random;
  Metrics* const metrics;
  EventLog* const log;

  std::shared_ptr<const ServingConfig> config;
  TimeUs confirmed_at = -1;
  std::size_t gateway_count = 1;
  bool refuses_streams = false;
  bool peer_can_check_keys = false;
  // By route, what nine in ten of its clients give at most, in microseconds.
  std::map<std::string, double> usual_deadline;
  ColdReplicaLimiter cold;
  EngineChoice engines;
  std::map<std::string, std::unique_ptr<PlainChoice>> plain;
  std::map<std::string, ServiceRetryBudget> budgets;
  absl::flat_hash_map<ExchangeId, RequestPtr> requests;
  absl::flat_hash_map<CallId, ServingRequest*> by_call;
  absl::flat_hash_map<std::string, ServingRequest*> by_client_id;
  std::set<std::pair<TimeUs, ExchangeId>> deadlines;
  // By priority, then by when they came.
  std::set<std::tuple<std::uint32_t, TimeUs, ExchangeId>> parked;
  TimeUs next_parked_at = 0;
  // The same, of requests that wait for cold replicas.
  std::set<std::tuple<std::uint32_t, TimeUs, ExchangeId>> awaiting_cold;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_IMPL_H_
