// Implementation of `Gateway`, shared by its source files.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_IMPL_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_IMPL_H_

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/cord.h"
#include "coordination/admission/account_shares.h"
#include "coordination/admission/answer_times.h"
#include "coordination/admission/startup_hold.h"
#include "coordination/choice/learned_capacity.h"
#include "coordination/choice/plain_choice.h"
#include "coordination/choice/rate_loan_exchange.h"
#include "coordination/choice/replica_rate_limiter.h"
#include "coordination/crashes/cause_trials.h"
#include "coordination/crashes/request_trials.h"
#include "coordination/gateway/config_freshness.h"
#include "coordination/gateway/event_splitter.h"
#include "coordination/gateway/gateway.h"
#include "coordination/gateway/stream_origins.h"
#include "coordination/gateway/version_doubts.h"
#include "coordination/gateway/version_ledger.h"
#include "coordination/stages/stage_progress.h"
#include "coordination/streams/begun_in_doubt.h"
#include "coordination/streams/stream_recorder.h"

namespace acaciachute {

// One attempt of a request at one replica.
struct Attempt {
  CallId call = 0;  // Zero if no call is in progress.
  ReplicaEntry replica;
  TimeUs sent_at = 0;
  // Age of the replica list when the replica was chosen.
  DurationUs replica_list_age = 0;
  // Time from the choice of the replica until the request was sent.
  DurationUs connect_time = 0;
  std::optional<ReplicaHead> head;
  std::optional<AnswerEnd> end;  // Not set if no answer ended.
  std::size_t received_bytes = 0;
  // Body of a plain answer, buffered until it is complete. A string would take
  // three times its size while it grows.
  absl::Cord body;
  bool first_event_received = false;
  ReplicaWork work;  // What the request found at the replica.
  // The cold replica limiter was notified that the request arrived or was not
  // sent.
  bool arrival_reported = false;
  // Reading is stopped until the replica's process has said when it started.
  bool awaits_start = false;
  // Reading from the replica is stopped until the client has read more.
  bool paused = false;
  // This attempt took a token of the retry budget, and its arrival is not
  // confirmed yet.
  bool retry_in_transit = false;
};

// Result of the admission decision: on time, admitted although it will be late,
// parked until the queues are short, or refused.
enum class AdmissionResult { kInTime, kLate, kParked, kRefused };
inline constexpr std::array<std::string_view, 4> kAdmissionResultNames = {
    "in_time", "late", "parked", "refused"};
constexpr std::string_view Name(AdmissionResult v) {
  return detail::NameIn(kAdmissionResultNames, v);
}

// Assumed time from the end of the last stage to the engine's first event:
// reading a prompt of the usual length takes 30 to 80 ms, plus waiting for
// other requests.
inline constexpr DurationUs kEngineFirstEventTime = 150 * kMillisecond;

// Retry-After if another gateway can serve the client: its next connection
// reaches another one, so a minimal delay is enough.
inline constexpr DurationUs kRetryElsewhereDelay = 20 * kMillisecond;

// Expected time of each stage of `route`: one call with a half-full batch.
std::vector<DurationUs> StageTimes(const ServingConfig& config,
                                   const Route& route);

// The search for where a stream began that the client takes up.
struct OriginSearch {
  std::vector<NodeId> asked;  // Gateways that have not answered.
  int asks = 0;
  TimeUs next_ask_at = 0;
  bool asked_all = false;  // No gateway knows.
  // The records of versions in the store, read later than this, decide.
  std::optional<TimeUs> reads_since;
};

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
    return {&call.prompt, call.prompt_tokens, near_domain, fetched_bytes,
            route->pause};
  }

  const ExchangeId id;
  ClientRequest call;  // Changed by `ReleaseBody` only.
  const std::shared_ptr<const ServingConfig> config;  // Owns `route`.
  const Route* const route;
  const ClientAccount* account = nullptr;
  std::string service;
  std::uint32_t priority = 0;
  TimeUs received_at = 0;
  // A first response after this time is late, but still sent.
  TimeUs target_by = 0;
  TimeUs deadline_at = 0;
  // Deadline for a plain answer or for the first event of a stream, after which
  // the client disconnects.
  TimeUs first_response_by = 0;
  // The deadline currently in effect: `first_response_by`, `deadline_at` or a
  // shorter one while the request waits.
  TimeUs expires_at = 0;

  StageProgress progress;
  AdmissionResult admission = AdmissionResult::kInTime;
  // Expected wait in the stages' queues, at admission.
  DurationUs expected_wait = 0;
  // No stage was started yet; see `Gateway::Impl::DecideAdmission`.
  bool parked = false;
  // All stage results that the replica needs are available.
  bool stages_done = false;
  bool stages_were_done = false;  // The same, also before a restart of stages.
  TimeUs stages_done_at = 0;
  // For logs: the time at which each stage was complete.
  std::string stage_times;
  int restarts = 0;
  // Failure domain that holds most of the results that the engine fetches; set
  // when all stages are complete.
  std::string near_domain;
  std::uint64_t fetched_bytes = 0;

  Attempt attempt;
  std::uint32_t possible_runs = 0;  // Number of attempts that may have run.
  // Replicas that are not chosen again. One that did not run the request and
  // rests may be, after its rest.
  std::vector<ReplicaId> tried;
  std::size_t sends = 0;  // Attempts, but for recalled ones.
  // Attempts that may have arrived at a replica. All sends after the first such
  // one are retries.
  std::size_t arrivals = 0;
  // A retry was taken from the budget for the next attempt.
  bool retry_reserved = false;
  // Stages whose pieces were submitted. Those submitted again are retries.
  std::set<std::uint32_t> submitted_stages;
  // By stage: retries taken from the budget for pieces to be submitted again.
  std::map<std::uint32_t, std::uint32_t> reserved_pieces;
  bool awaits_limited_replica =
      false;  // See `Gateway::Impl::AwaitLimitedReplica`.
  EventSplitter events;
  bool stream_begun = false;  // The head of the stream was sent to the client.
  TimeUs stream_begun_at = 0;
  // How the client's answer ended or, while its stream goes on, will end if it
  // is complete.
  std::optional<AnswerEnd> client_end;
  std::optional<std::uint64_t> resume_after;
  // Software version of the replica whose event the client got first. What
  // another version writes does not continue the stream. Empty: no event yet.
  std::optional<std::string> stream_version;
  bool origin_told = false;     // See `Gateway::Impl::TellOrigin`.
  bool began_in_doubt = false;  // See `Gateway::Impl::begun_in_doubt`.
  std::optional<OriginSearch> origin_search;
  std::string fingerprint;       // Empty until it is needed.
  std::string path_fingerprint;  // With it; empty if there is none.
  // The only blocked cause of the request, if it may try it.
  std::optional<CrashCause> tried_cause;
  bool tells_apart = false;    // It was let through by `TellsApart`.
  bool body_released = false;  // See `Gateway::Impl::ReleaseBody`.
};

struct Gateway::Impl : public RateLoanOutput, public RequestTrialsOutput {
  Impl(GatewayOptions options_in,
       GatewayOutput* output_in,
       PieceDispatcher* dispatcher_in,
       ReplicaDirectory* directory_in,
       Random* random_in,
       Metrics* metrics_in,
       EventLog* log_in);

  using RequestPtr = std::unique_ptr<ServingRequest>;

  // gateway_admission.cc
  // `received_at`: when the request arrived; earlier than now if it was held.
  void Admit(ExchangeId id, ClientRequest call, TimeUs received_at);
  // Whether the configuration and the replicas have been known; see
  // `StartupHold`.
  bool KnowsTables();
  // Admits the held requests once the tables are known, and refuses those that
  // were held for as long as they may be.
  void AdmitHeld();
  // Begins the stages of an admitted request, or parks it.
  void BeginAdmitted(ServingRequest* request);
  bool FindAccount(const Route& route,
                   const ClientRequest& call,
                   const ClientAccount** account,
                   LocalReply* refusal);
  // Whether a service that the request still needs has no replica that accepts
  // work; fills `refusal` if so.
  bool HasNoReplica(const ServingRequest& request, LocalReply* refusal);
  // Whether the process is likely to end before the answer, so that it would
  // be broken off; fills `refusal` if so. Streams: see `refuses_streams`.
  bool IsTooLate(const ServingRequest& request, LocalReply* refusal);
  // Decides whether the stages can be completed in time for the client; fills
  // `refusal` if not.
  AdmissionResult DecideAdmission(ServingRequest* request, LocalReply* refusal);
  // Expected queueing and processing times of a request's stages.
  struct WaitEstimate {
    // Sum of the queue waits if the request is on time.
    DurationUs in_time = 0;
    // Longest queue wait of a stage if the request is late.
    DurationUs late = 0;
    // Processing time until the first event, without queueing.
    DurationUs work = 0;
  };
  WaitEstimate EstimateWaits(const ServingRequest& request) const;
  // The stage services that the request needs, if client accounts share them.
  static std::vector<std::string_view> SharedPoolsOf(
      const ServingRequest& request);
  // The same, with the expected waits.
  std::vector<PoolDemand> DemandsOf(const ServingRequest& request) const;
  // Whether one of them is short of room and the account's share of it is used
  // up; fills `refusal` if so.
  bool IsOverShare(const ServingRequest& request,
                   const std::vector<PoolDemand>& demands,
                   LocalReply* refusal);
  // Starts the first parked request whose queues have become short enough.
  void BeginParked();
  // Estimates how long ago the client first sent this request, if this is a
  // retry after a refusal; otherwise zero.
  DurationUs ElapsedBefore(const Route& route, const ClientRequest& call);
  std::string ChooseService(const Route& route);
  // Retry-After for an admitted request that is refused; zero if too little
  // time is left for a retry.
  DurationUs RetryAfter(const ServingRequest& request);
  // Returns the longest Retry-After that a client with `left` remaining
  // accepts, with random spread below it.
  DurationUs LongestRetryAfter(DurationUs left);
  // The refusal of a request that the configuration in use is too old for.
  LocalReply NotCurrent(const ClientRequest& call,
                        DurationUs timeout,
                        std::string_view detail);

  // gateway_stages.cc
  std::vector<PieceTask> TasksOf(const ServingRequest& request,
                                 std::uint32_t stage) const;
  static std::size_t PieceMemory(const ServingRequest& request);
  static bool EarnsRetries(const ServingRequest& request, std::uint32_t stage);
  // Failure domain in which the pieces of `stage` are best made; empty if it
  // does not matter.
  std::string PreferredDomain(const ServingRequest& request,
                              std::uint32_t stage) const;
  // The failure domain that holds the most results of `handles`.
  std::string MostCommonDomain(const std::vector<std::string>& handles) const;
  void RunStages(ServingRequest* request);
  void OnStagesDone(ServingRequest* request);
  // Discards all results and starts the stages again. `why` is logged.
  void RestartStages(ServingRequest* request, std::string_view why);
  // A piece of `stage`, or without one the engine, did not find a result that
  // it needs: makes what is lost again.
  void RemakeInputs(ServingRequest* request,
                    std::optional<std::uint32_t> stage,
                    std::string_view why);
  // Submits the missing pieces of stages that were submitted before.
  void RunStagesAgain(ServingRequest* request,
                      const std::vector<std::uint32_t>& stages,
                      std::string_view why);

  // gateway.cc: the end of a request.
  void Refuse(ServingRequest* request, LocalReply answer);
  void RefuseUnadmitted(ExchangeId id,
                        const ClientRequest& call,
                        LocalReply answer);
  void Finish(ServingRequest* request, std::string_view outcome, int status);
  // For logs and metrics.
  static std::string_view NameOf(const std::optional<AnswerEnd>& end);
  static std::string_view ExpectedEndOf(const Attempt& attempt);
  void Expire(ServingRequest* request);
  void SetExpiry(ServingRequest* request, TimeUs expires_at);

  // gateway_attempt.cc: the attempts of a request.
  void StartAttempt(ServingRequest* request);
  const ReplicaEntry* ChooseReplica(ServingRequest* request);
  // Whether the replica certainly has the version that the request's stream
  // needs.
  bool HasVersionFor(const ServingRequest& request,
                     const ReplicaEntry& replica) const {
    return !request.stream_version ||
           (*request.stream_version == replica.version &&
            (!version_doubts.InDoubt(replica.id) ||
             version_doubts.IsChecked(replica.id)));
  }
  // Whether it has, and a stream may begin at its version.
  bool MayServe(const ServingRequest& request,
                const ReplicaEntry& replica) const;
  // Whether streams may begin at the version of one of its replicas.
  bool AnyVersionIsRecorded(const ServingRequest& request) const;
  // Whether a listed replica that was not tried has that version, if it needs
  // one.
  bool CanGoOn(const ServingRequest& request) const;
  // The replicas that are not chosen for the request.
  std::vector<ReplicaId> ExcludedReplicas(const ServingRequest& request);
  void SendTo(ServingRequest* request, const ReplicaEntry& replica);
  // Maximum number of idle connections that this gateway keeps to one replica
  // of the request's service.
  std::optional<std::size_t> MaxIdleConnections(
      const ServingRequest& request) const;
  void OnFailed(ServingRequest* request, bool sent, std::string_view why);
  // Updates the choice of replicas after a failed attempt.
  void ReportFailure(const ServingRequest& request);
  std::vector<CallId> CallsAt(const ReplicaId& replica) const;
  void FailAttemptsAt(const ReplicaId& replica);
  void OnNotRun(ServingRequest* request);
  void OnMayHaveRun(ServingRequest* request, std::string_view why);
  bool MayRetry(ServingRequest* request) const;
  // Takes a retry from the budget for the next attempt, unless the next one is
  // the first that arrives; returns whether the attempt may be sent.
  [[nodiscard]] bool ReserveAttempt(ServingRequest* request,
                                    RetryReason reason);
  // The same for the pieces of all stages that were submitted before.
  [[nodiscard]] bool ReserveStages(ServingRequest* request,
                                   const std::vector<std::uint32_t>& stages);
  // Gives back what was reserved and is not sent.
  void ReturnReservedRetries(ServingRequest* request);
  void ReturnReservedPieces(ServingRequest* request);
  // Report to the rate limiter and the retry budget that the request arrived,
  // or that no byte of it was sent.
  void ReportArrival(ServingRequest* request);
  void ReportNotSent(ServingRequest* request);
  void EndAttempt(ServingRequest* request);
  void CancelAttempt(ServingRequest* request);

  // gateway_answer.cc: the answer of a replica to one attempt.
  // Whether the replica's answer, whose head has come, is passed on as it
  // arrives. An answer without a body is not, as the end of a stream has bytes.
  static bool IsStream(const ServingRequest& request);
  void OnHead(ServingRequest* request, ReplicaHead head);
  void OnBody(ServingRequest* request, std::string_view bytes);
  // The first event, or a whole plain answer, is here.
  void LearnTime(const ServingRequest& request);
  void PassEvents(ServingRequest* request, std::string_view events);
  void OnEnd(ServingRequest* request, AnswerEnd end);
  // Why a stream whose answer ended with `end` is incomplete, or cannot be
  // shown to be complete as its client's answer would state; empty if neither.
  static std::string_view WhyIncomplete(const ServingRequest& request,
                                        AnswerEnd end);
  void FinishPlainAnswer(ServingRequest* request);
  // Why no answer with this head is passed on; empty if one may be.
  static std::string_view WhyUnusable(const ReplicaHead& head);
  // Closes the connection of an answer that exceeds a limit.
  void AbandonAnswer(ServingRequest* request, std::string_view why);

  // gateway_memory.cc: requests that give way when memory is short.
  GaveWay GiveWay(ServingRequest* request);
  // Frees a body that was sent and would only serve further attempts.
  void ReleaseBody(ServingRequest* request);

  // gateway_statements.cc
  // `request`: id of the request that was answered, for the log; empty: a call
  // with pieces or a release of results.
  void OnStatement(const ReplicaId& replica,
                   const ReplicaStatement& statement,
                   std::string_view request);
  // Where a statement came from, for the log.
  struct StatementSource {
    std::string_view kind;     // "answer" or "gateway".
    std::string_view request;  // Id of the request that was answered, if any.
    DurationUs age = 0;
  };
  // The replica turned a request away.
  void OnRefusal(const ReplicaId& replica,
                 const ReplicaStatement& statement,
                 std::string_view request);
  LeavingOutcome LearnLeaving(const ReplicaId& replica,
                              const StatementSource& source);
  void RecallUnsent(const ReplicaId& replica, std::string_view why);
  void RefuseUnservable();

  // gateway_crashes.cc: replicas that end, and what was in progress there.
  // Empty without an account.
  static const std::string& AccountOf(const ServingRequest& request);
  const std::string& FingerprintOf(ServingRequest* request) const;
  // The request itself and, if its query may be another one in each copy, the
  // request without it. An answer to either clears both.
  std::vector<CrashCause> RequestCauses(ServingRequest* request) const;
  static std::string PartIds(const ClientRequest& call);
  // What may have ended the replica of the current attempt.
  std::vector<CrashCause> SuspectsOf(ServingRequest* request) const;
  // The connection of the current attempt broke after the request was sent.
  void OnBroken(ServingRequest* request);
  // Cancels the current attempt, if any, as nobody waits for it any more. The
  // replica may have ended under it.
  void AbandonAttempt(ServingRequest* request);
  void RecordSuspects(ServingRequest* request, bool abandoned);
  // The replica ended while the attempts were in progress there.
  void OnEndedUnder(const ReplicaId& replica,
                    const std::vector<BrokenAttempt>& attempts);
  void LogEndedUnder(const ReplicaId& replica, const BrokenAttempt& attempt);
  // Tells other gateways, later of those that are most likely sound.
  void TellEnds(const ReplicaId& replica,
                const std::vector<CrashCause>& suspects);
  void TellLateSuspects();
  // Acts on verdicts that changed.
  void ApplyVerdicts();
  // `evidence`: what showed that the replica ended, for the log.
  void OnReplicaEnded(const ReplicaId& replica, std::string_view evidence);
  void ProbeBroken();
  std::vector<CrashCause> BlockedCauses(ServingRequest* request) const;
  bool AreDoubtful(const std::vector<CrashCause>& blocked) const;
  // Whether the request has only some of the parts of which one is guilty.
  bool TellsApart(const std::vector<CrashCause>& blocked) const;
  // Whether the request may try its blocked causes; see `CauseTrials`.
  bool MayTry(ServingRequest* request, const std::vector<CrashCause>& blocked);
  // Whether the request is refused because replicas ended under one of its
  // causes; fills `refusal` if so.
  bool IsBlocked(ServingRequest* request, LocalReply* refusal);
  // Whether so many replicas ended under one of the request's causes that only
  // its client may repeat it.
  bool MayCrashReplicas(ServingRequest* request) const;
  void OnAnsweredWhole(ServingRequest* request);
  // The answer to the current attempt has begun.
  void OnBegun(const ServingRequest& request);
  void Clear(const std::vector<CrashCause>& causes, std::string_view request);
  // Refuses requests that are not at a replica yet and became blocked.
  void RefuseBlocked();

  // gateway_trials.cc: requests of which copies ended replicas at the same
  // time, so that only one copy at a time is sent.
  // The request, with or without its query, if its verdict is doubtful.
  std::optional<CrashCause> DoubtfulRequest(ServingRequest* request) const;
  bool MaySendInDoubt(ServingRequest* request);
  // Holds the request until it may be sent, as long as it can be answered.
  void AwaitTrial(ServingRequest* request);
  void RetryAwaitingTrial();
  // RequestTrialsOutput
  std::vector<NodeId> LivePeers() override { return output->LivePeers(); }
  void SendTrialMessage(const NodeId& peer, const Message& message) override {
    output->SendDatagram(peer, message);
  }

  // gateway_streams.cc: streams that clients take up again.
  static bool TakesUpStream(const ServingRequest& request);
  // The client got an event; others may be asked where the stream began.
  void TellOrigin(ServingRequest* request);
  void OnStreamBegun(const StreamOrigin& origin);
  // The rows of processes in doubt may have been read.
  void LearnVersions();
  // Holds back the answer to a stream that goes on at a replica which is being
  // asked for its start.
  void AwaitStart(ServingRequest* request);
  // The replica of a call was asked. `same`: its process is the one of its row.
  void OnStartKnown(CallId call, bool same);
  static StreamOriginQuery OriginQueryOf(const ServingRequest& request);
  std::optional<StreamOrigin> FindOrigin(const StreamOriginQuery& query) const;
  // Begins the request where its stream began, once that is known.
  void TakeUpStream(ServingRequest* request);
  void AskForOrigin(ServingRequest* request);
  // Goes on with all searches whose next step is due.
  void SearchOrigins();
  // No gateway knows where the stream began: whether there is only one version
  // at which it can have begun.
  void ConcludeOrigin(ServingRequest* request);
  // The same, where there are several: what the store knows of the stream.
  void ConcludeFromRows(ServingRequest* request);
  void RefuseUnknownStream(ServingRequest* request, std::string_view why);
  // `source`: who knew it, for the log.
  void GoOnFrom(ServingRequest* request,
                const StreamOrigin& origin,
                std::string_view source);
  void LogTakenUp(const ServingRequest& request, std::string_view source);
  // Ends doubts about replicas that would have written their rows by now.
  void ClearDoubts();
  // Has the versions of replicas recorded, after a change of replicas or of the
  // configuration.
  void RecordVersions();

  // gateway_turns.cc
  void LogRateLimit(const ReplicaId& replica, std::string_view source);
  // The replicas of the request's service whose rate is limited now and that
  // were not tried yet.
  std::vector<const ReplicaEntry*> LimitedReplicas(
      const ServingRequest& request) const;
  // When a replica whose rate is limited, and that was not tried yet, is
  // expected to accept the request; empty if there is none, or if this gateway
  // has no part of their limits.
  std::optional<TimeUs> NextTurn(const ServingRequest& request);
  // RateLoanOutput
  std::vector<NodeId> PossibleLenders() override { return output->LivePeers(); }
  void SendLoanMessage(const NodeId& peer, const Message& message) override {
    output->SendDatagram(peer, message);
  }
  // Latest turn for which the request waits.
  TimeUs LatestTurn(const ServingRequest& request) const;
  // Whether all replicas of the request's service state limits or rest, and
  // none of them accepts the request in time. Fills `refusal` if so.
  bool HasNoTurn(const ServingRequest& request, LocalReply* refusal);
  LocalReply NoTurn(const ServingRequest& request, std::optional<TimeUs> turn);
  // The request has no turn now at any replica that it may be sent to.
  void ReportShortOfTurns(const ServingRequest& request);
  void AwaitLimitedReplica(ServingRequest* request);
  void RetryAwaitingLimited();

  // When the client gives up unless the answer, or the next event of a stream
  // that has begun, is there.
  static TimeUs AnswerBy(const ServingRequest& request) {
    return request.stream_begun ? request.deadline_at
                                : request.first_response_by;
  }
  ServingRequest* FindByExchange(ExchangeId id);
  ServingRequest* FindByCall(CallId id);
  PlainChoice& PlainChoiceOf(const std::string& service);
  ServiceRetryBudget& ServiceBudget(const std::string& service);
  bool IsEngine(const ServingRequest& request) const;
  bool ConfigIsConfirmed() const;

  GatewayOptions options;
  GatewayOutput* const output;
  PieceDispatcher* const dispatcher;
  ReplicaDirectory* const directory;
  Random* const random;
  Metrics* const metrics;
  EventLog* const log;

  std::shared_ptr<const ServingConfig> config;
  ConfigFreshness freshness;
  // Number of live gateways, including this one.
  std::size_t gateway_count = 1;
  // See `Gateway::SetKnownGateways`; zero if they are not known.
  std::size_t known_gateway_count = 0;
  // Set during shutdown; see `Gateway::RefuseStreams`.
  bool refuses_streams = false;
  std::optional<TimeUs> answers_until;  // See `Gateway::AnswerUntil`.
  AnswerTimes answer_times;
  bool peer_can_check_keys = false;
  // By route: 90th percentile of its clients' deadlines, in microseconds.
  std::map<std::string, double> deadline_p90_us;
  ReplicaRateLimiter replica_rate_limiter;
  RateLoanExchange rate_loans;
  LeavingStatements leaving_statements;
  std::map<std::string, TimeUs> next_unreadable_line_at;  // By field.
  BrokenAttempts broken_attempts;
  CrashRecords crash_records;
  CauseTrials cause_trials;
  RequestTrials request_trials;
  CrashNews crash_news;
  // Suspects that were cleared before and are still to be told to others.
  struct LateSuspects {
    TimeUs due_at = 0;
    ReplicaId replica;
    std::vector<CrashCause> causes;
  };
  std::deque<LateSuspects> late_suspects;
  StreamOrigins stream_origins;
  VersionLedger version_ledger;
  StreamRecorder stream_recorder;
  VersionDoubts version_doubts;
  BegunInDoubt begun_in_doubt;
  bool versions_changed = false;  // See `RecordVersions`.
  std::set<ExchangeId> awaiting_origin;
  std::set<ExchangeId> awaiting_trial;  // See `AwaitTrial`.
  LearnedCapacity capacity;
  EngineChoice engines;
  AccountShares account_shares;
  std::map<std::string, std::unique_ptr<PlainChoice>> plain_choices;
  std::map<std::string, ServiceRetryBudget> budgets;
  absl::flat_hash_map<ExchangeId, RequestPtr> requests;
  absl::flat_hash_map<CallId, ServingRequest*> by_call;
  absl::flat_hash_map<std::string, ServingRequest*> by_request_id;
  // By `expires_at`.
  std::set<std::pair<TimeUs, ExchangeId>> deadlines;
  StartupHold startup_hold;
  bool knows_tables = false;  // See `KnowsTables`.
  // Ordered by priority, then by time of arrival.
  std::set<std::tuple<std::uint32_t, TimeUs, ExchangeId>> parked;
  // Earliest time at which the next parked request is started.
  TimeUs next_parked_at = 0;
  // Requests waiting for a replica whose rate is limited, in the same order.
  std::set<std::tuple<std::uint32_t, TimeUs, ExchangeId>>
      awaiting_limited_replica;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_GATEWAY_IMPL_H_
