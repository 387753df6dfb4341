// Decides which requests a gateway admits: finds route and account, computes
// the priority, and estimates whether there is enough time.
#include <algorithm>

#include "coordination/gateway/gateway_impl.h"
#include "text.h"

namespace acaciachute {
namespace {

// Assumed timeout of a request whose route is not known.
constexpr DurationUs kUnknownRouteTimeout = kSecond;

// Clients accept a Retry-After of up to their remaining time divided by this.
constexpr DurationUs kRetryAfterDivisor = 3;

// Detection of retries. Deadlines of the clients of one route vary by an
// eighth, so a deadline below `kRetryDeadlineShare` of the usual one belongs to
// a client that was refused before. Retry-After is at least
// `kMinRetryAfterShare` of the deadline, so that a retry does fall below that
// threshold.
constexpr double kRetryDeadlineShare = 0.83;
constexpr double kMinRetryAfterShare = 0.2;

// A request that will miss its target is admitted if it is expected to be
// served within this share of its remaining time; the margin is large because
// the estimates are rough.
constexpr double kLateAdmissionShare = 0.35;

// A parked request is started once the expected queue wait is below
// `kParkedStartWait`. Each gateway starts one per `kParkedStartPeriod`, because
// the queue lengths reported by the batching gateways are up to one heartbeat
// old. A request is parked only if it is expected to be served within
// `kParkedAdmissionShare` of its remaining time.
constexpr DurationUs kParkedStartWait = 500 * kMillisecond;
constexpr DurationUs kParkedStartPeriod = 100 * kMillisecond;
constexpr double kParkedAdmissionShare = 0.6;

// A service is scarce for a request if the wait there takes more than this
// share of the time that the request can wait. A shorter queue only absorbs
// random variation, and keeps the replicas busy while requests behind it are
// refused.
constexpr double kScarceWaitShare = 0.5;

// The account's priority takes precedence; the route's priority orders requests
// within it, because accounts of the same priority still have urgent and
// patient requests.
std::uint32_t PriorityOf(const Route& route, const ClientAccount* account) {
  constexpr std::uint32_t kRoutePriorities = 4;
  const std::uint32_t account_priority =
      account != nullptr && account->priority ? *account->priority : 0;
  return account_priority * kRoutePriorities +
         std::min(route.priority, kRoutePriorities - 1);
}

std::string_view AccountNameOf(const ServingRequest& request) {
  return request.account != nullptr ? std::string_view(request.account->name)
                                    : std::string_view();
}

}  // namespace

// A key may be revoked while this gateway cannot read the store, and requests
// must not run with a revoked key. Keys are therefore accepted only if the
// configuration was confirmed within the last `key_age`. The age counts from
// when the request to the store was sent, on a clock that advances while the
// host is suspended.
bool Gateway::Impl::ConfigIsConfirmed() const {
  return freshness.IsConfirmedWithin(output->Now(), options.key_age);
}

bool Gateway::Impl::FindAccount(const Route& route,
                                const ClientRequest& call,
                                const ClientAccount** account,
                                LocalReply* refusal) {
  if (!config->needs_keys() || route.anonymous) {
    return true;
  }
  if (!ConfigIsConfirmed()) {
    *refusal =
        NotCurrent(call, route.timeout,
                   "keys cannot be checked against the newest configuration");
    return false;
  }
  *account = call.key ? config->FindAccount(*call.key) : nullptr;
  if (*account != nullptr) {
    return true;
  }
  if (freshness.MayDeny(output->Now())) {
    *refusal = {Refusal::kUnauthorized, Verdict::kNotRun, 0, ""};
  } else {
    *refusal = NotCurrent(call, route.timeout,
                          "a newer configuration may have the key");
  }
  return false;
}

// The store may be unreachable for some or all hosts for seconds, and clients
// retry only once or twice. If another gateway can check keys, a new connection
// most likely reaches it, so the Retry-After is short. If none can, a client
// that retries within a second would be refused again and use up its retries,
// so the Retry-After is the longest that clients accept, a third of their
// remaining time. The wait is spread so that clients do not retry at the same
// time.
LocalReply Gateway::Impl::NotCurrent(const ClientRequest& call,
                                     DurationUs timeout,
                                     std::string_view detail) {
  const DurationUs left =
      call.deadline > 0 ? std::min(call.deadline, timeout) : timeout;
  return {Refusal::kNotCurrent, Verdict::kNotRun,
          peer_can_check_keys ? kRetryElsewhereDelay : LongestRetryAfter(left),
          std::string(detail)};
}

DurationUs Gateway::Impl::LongestRetryAfter(DurationUs left) {
  const DurationUs longest = std::max<DurationUs>(0, left) / kRetryAfterDivisor;
  return longest / 2 + static_cast<DurationUs>(random->Below(
                           static_cast<std::uint64_t>(longest / 2 + 1)));
}

// If a service has lost all its replicas, or all failure domains that have one
// are evacuated, requests would wait until their clients disconnect, for pieces
// that no replica makes or for a replica that does not exist. Stages that are
// complete need no replica any more.
bool Gateway::Impl::HasNoReplica(const ServingRequest& request,
                                 LocalReply* refusal) {
  std::string_view missing;
  if (directory->Of(request.service).empty()) {
    missing = request.service;
  }
  const auto& stages = request.route->stages;
  for (std::uint32_t n = 0; n < stages.size() && missing.empty(); ++n) {
    if (!request.progress.IsMade(n) &&
        directory->Of(stages[n].service).empty()) {
      missing = stages[n].service;
    }
  }
  if (missing.empty()) {
    return false;
  }
  *refusal = {Refusal::kNoReplica, Verdict::kNotRun,
              LongestRetryAfter(request.first_response_by - output->Now()),
              StrCat("no replica of ", missing, " takes work")};
  return true;
}

bool Gateway::Impl::IsTooLate(const ServingRequest& request,
                              LocalReply* refusal) {
  if (!answers_until || request.route->kind == RouteKind::kStream) {
    return false;
  }
  const DurationUs left = *answers_until - output->Now();
  const DurationUs needed =
      request.progress.TimeLeft() +
      answer_times.LongestOf(request.route->name, request.route->target);
  if (needed <= left) {
    return false;
  }
  *refusal = {Refusal::kLeaving, Verdict::kNotRun, kRetryElsewhereDelay,
              StrCat("its answer may take ", needed / kMillisecond,
                     " ms, and the node leaves in ", left / kMillisecond)};
  return true;
}

std::string Gateway::Impl::ChooseService(const Route& route) {
  std::uint64_t sum = 0;
  for (const auto& it : route.split) {
    sum += it.weight;
  }
  // Without weights, the first service gets all.
  std::uint64_t draw = sum > 0 ? random->Below(sum) : 0;
  for (const auto& it : route.split) {
    if (draw < it.weight) {
      return it.service;
    }
    draw -= it.weight;
  }
  return route.split.empty() ? std::string() : route.split.front().service;
}

// Once the tables are known, they stay so; what is too old by then is judged
// by `freshness`.
bool Gateway::Impl::KnowsTables() {
  knows_tables = knows_tables ||
                 (config != nullptr && (directory->Age(output->Now()) >= 0 ||
                                        directory->size() > 0));
  return knows_tables;
}

void Gateway::Impl::AdmitHeld() {
  if (startup_hold.size() == 0) {
    return;
  }
  const TimeUs now = output->Now();
  const bool known = KnowsTables();
  for (HeldRequest& it :
       known ? startup_hold.TakeAll() : startup_hold.TakeExpired(now)) {
    metrics->Observe("acaciachute_gateway_held_seconds",
                     known ? "admitted" : "refused", now - it.arrived_at);
    log->Write("held", {{"id", it.call.id},
                        {"ms", (now - it.arrived_at) / kMillisecond},
                        {"tables_known", known}});
    Admit(it.exchange, std::move(it.call), it.arrived_at);
  }
}

void Gateway::Impl::Admit(ExchangeId id,
                          ClientRequest call,
                          TimeUs received_at) {
  if (config == nullptr) {
    RefuseUnadmitted(id, call,
                     {Refusal::kNotCurrent, Verdict::kNotRun, kSecond,
                      "no configuration is known yet"});
    return;
  }
  if (!freshness.MayServe(output->Now())) {
    RefuseUnadmitted(
        id, call,
        NotCurrent(call, kUnknownRouteTimeout,
                   "a newer configuration is known and has not arrived"));
    return;
  }
  const Route* route = config->FindRoute(call.host, call.target);
  if (route == nullptr) {
    RefuseUnadmitted(
        id, call,
        freshness.MayDeny(output->Now())
            ? LocalReply{Refusal::kNotFound, Verdict::kNotRun, 0, ""}
            : NotCurrent(call, kUnknownRouteTimeout,
                         "a newer configuration may have the route"));
    return;
  }
  if (refuses_streams && route->kind == RouteKind::kStream) {
    RefuseUnadmitted(id, call,
                     {Refusal::kLeaving, Verdict::kNotRun, kRetryElsewhereDelay,
                      "a stream may outlast this process"});
    return;
  }
  const ClientAccount* account = nullptr;
  LocalReply refusal;
  if (!FindAccount(*route, call, &account, &refusal)) {
    RefuseUnadmitted(id, call, refusal);
    return;
  }
  const TimeUs now = output->Now();
  auto request =
      std::make_unique<ServingRequest>(id, std::move(call), config, route);
  request->account = account;
  if (IsBlocked(request.get(), &refusal)) {
    RefuseUnadmitted(id, request->call, refusal);
    return;
  }
  request->service = ChooseService(*route);
  request->priority = PriorityOf(*route, account);
  request->received_at = received_at;
  request->resume_after = request->call.resume_after;
  const DurationUs elapsed = ElapsedBefore(*route, request->call);
  request->target_by = received_at + route->target - kClientTransitTime;
  if (!TakesUpStream(*request)) {
    request->target_by -= elapsed;
  }
  const DurationUs time_limit =
      request->call.deadline > 0
          ? std::min(request->call.deadline - kClientTransitTime,
                     route->timeout)
          : route->timeout;
  request->deadline_at = received_at + time_limit;
  request->first_response_by = request->deadline_at;
  if (route->kind == RouteKind::kStream) {
    request->first_response_by =
        std::min(request->first_response_by,
                 received_at + route->FirstEventTimeout() - kClientTransitTime);
  }
  const std::vector<PoolDemand> demands = DemandsOf(*request);
  request->admission = IsTooLate(*request, &refusal) ||
                               HasNoReplica(*request, &refusal) ||
                               HasNoTurn(*request, &refusal) ||
                               IsOverShare(*request, demands, &refusal)
                           ? AdmissionResult::kRefused
                           : DecideAdmission(request.get(), &refusal);
  if (request->admission == AdmissionResult::kRefused) {
    RefuseUnadmitted(id, request->call, refusal);
    return;
  }
  account_shares.OnAdmitted(now, AccountNameOf(*request), demands);
  ServiceBudget(request->service).OnRequest(now);
  SetExpiry(request.get(), request->first_response_by);
  ServingRequest* it = request.get();
  by_request_id[it->call.id] = it;
  requests[id] = std::move(request);
  if (TakesUpStream(*it)) {
    TakeUpStream(it);
  } else {
    BeginAdmitted(it);
  }
}

void Gateway::Impl::BeginAdmitted(ServingRequest* request) {
  if (request->admission != AdmissionResult::kParked) {
    RunStages(request);
    return;
  }
  request->parked = true;
  parked.emplace(request->priority, request->received_at, request->id);
  // Started later than this, it could not be served before its client
  // disconnects.
  SetExpiry(request, request->first_response_by - request->progress.TimeLeft() -
                         kEngineFirstEventTime);
}

// A client that retries after a refusal has less time left than the route's
// clients usually have. The request has no field that marks a retry, so this is
// inferred from the deadline.
DurationUs Gateway::Impl::ElapsedBefore(const Route& route,
                                        const ClientRequest& call) {
  auto& p90_us = deadline_p90_us[route.name];
  const auto deadline = static_cast<double>(call.deadline);
  if (p90_us == 0) {
    p90_us = deadline;
  }
  // Stochastic estimate of the 90th percentile: converges to the value that a
  // tenth of the deadlines exceed.
  constexpr double kPercentileStep = 0.02;
  constexpr double kShareAboveEstimate = 0.1;
  p90_us +=
      kPercentileStep * p90_us *
      (deadline > p90_us ? 1 - kShareAboveEstimate : -kShareAboveEstimate);
  return deadline < kRetryDeadlineShare * p90_us
             ? static_cast<DurationUs>(p90_us - deadline)
             : 0;
}

Gateway::Impl::WaitEstimate Gateway::Impl::EstimateWaits(
    const ServingRequest& request) const {
  const TimeUs now = output->Now();
  WaitEstimate waits;
  for (std::uint32_t n = 0; n < request.route->stages.size(); ++n) {
    if (request.progress.Pieces(n) == 0) {
      continue;
    }
    const QueueWait wait =
        dispatcher->ExpectedWait(now, request.route->stages[n].service);
    waits.in_time += wait.Of(request.priority);
    waits.late = std::max(waits.late, wait.late);
  }
  waits.work = request.progress.TimeLeft() + kEngineFirstEventTime;
  return waits;
}

std::vector<std::string_view> Gateway::Impl::SharedPoolsOf(
    const ServingRequest& request) {
  std::vector<std::string_view> pools;
  if (!request.config->needs_keys()) {
    return pools;
  }
  for (std::uint32_t n = 0; n < request.route->stages.size(); ++n) {
    const std::string& service = request.route->stages[n].service;
    if (request.progress.Pieces(n) > 0 &&
        std::find(pools.begin(), pools.end(), service) == pools.end()) {
      pools.emplace_back(service);
    }
  }
  return pools;
}

std::vector<PoolDemand> Gateway::Impl::DemandsOf(
    const ServingRequest& request) const {
  const TimeUs now = output->Now();
  const TimeUs earliest_answer =
      now + request.progress.TimeLeft() + kEngineFirstEventTime;
  const bool late = earliest_answer > request.target_by;
  const DurationUs spare =
      (late ? request.first_response_by : request.target_by) - earliest_answer;
  const auto scarce_wait =
      static_cast<DurationUs>(kScarceWaitShare * static_cast<double>(spare));
  std::vector<PoolDemand> demands;
  for (const std::string_view it : SharedPoolsOf(request)) {
    const QueueWait queue = dispatcher->ExpectedWait(now, std::string(it));
    const DurationUs wait = late ? queue.late : queue.Of(request.priority);
    demands.push_back({it, wait, scarce_wait, spare});
  }
  return demands;
}

bool Gateway::Impl::IsOverShare(const ServingRequest& request,
                                const std::vector<PoolDemand>& demands,
                                LocalReply* refusal) {
  if (TakesUpStream(request)) {
    return false;
  }
  const TimeUs now = output->Now();
  const std::string_view account = AccountNameOf(request);
  const ShareVerdict verdict = account_shares.MayTake(now, account, demands);
  if (verdict.may_take) {
    return false;
  }
  *refusal = {
      Refusal::kOverShare, Verdict::kNotRun,
      std::min(verdict.retry_after,
               LongestRetryAfter(request.first_response_by - now)),
      StrCat(request.route->name, ": the share of ", account, " at ",
             verdict.pool, " is used up, credits ",
             static_cast<int>(verdict.credits), ", next credit for it in ",
             verdict.retry_after / kMillisecond, " ms")};
  return true;
}

// In a burst, more requests arrive than the stages can process; if all were
// admitted, all would wait and all would be late. Requests that can meet their
// target are admitted. Others are admitted behind them if they would still be
// served well before their deadlines. Of the remainder, those that can probably
// be served after the burst are parked: no work is done for them yet, so they
// hold no memory. All others are refused, with a Retry-After at which the queue
// is expected to be shorter.
AdmissionResult Gateway::Impl::DecideAdmission(ServingRequest* request,
                                               LocalReply* refusal) {
  if (request->route->stages.empty()) {
    return AdmissionResult::kInTime;
  }
  const TimeUs now = output->Now();
  const auto [in_time, late, work] = EstimateWaits(*request);
  request->expected_wait = in_time;
  if (now + in_time + work <= request->target_by) {
    return AdmissionResult::kInTime;
  }
  const DurationUs left = request->first_response_by - now;
  const auto share = [left](double part) {
    return static_cast<DurationUs>(part * static_cast<double>(left));
  };
  // Its client holds a part of the answer, which is lost with a refusal. Only
  // what certainly comes too late is refused.
  if (TakesUpStream(*request) && in_time + work <= left) {
    return AdmissionResult::kLate;
  }
  if (late + work <= share(kLateAdmissionShare)) {
    return AdmissionResult::kLate;
  }
  const DurationUs expected_start =
      kParkedStartPeriod * static_cast<DurationUs>(parked.size() + 1);
  if (late + expected_start + work <= share(kParkedAdmissionShare)) {
    return AdmissionResult::kParked;
  }
  const DurationUs longest = left / kRetryAfterDivisor;
  const auto shortest = std::min(
      longest,
      static_cast<DurationUs>(kMinRetryAfterShare *
                              static_cast<double>(request->call.deadline)));
  const DurationUs suggested_wait = std::clamp(late, shortest, longest);
  const auto spread = static_cast<DurationUs>(random->Below(
      static_cast<std::uint64_t>(longest - suggested_wait) / 2 + 1));
  *refusal = {
      Refusal::kFull, Verdict::kNotRun, suggested_wait + spread,
      StrCat(request->route->name, ": work ", work / kMillisecond, " ms, wait ",
             in_time / kMillisecond, " or if late ", late / kMillisecond,
             ", until late ", (request->target_by - now) / kMillisecond,
             ", until its client leaves ", left / kMillisecond)};
  return AdmissionResult::kRefused;
}

void Gateway::Impl::BeginParked() {
  const TimeUs now = output->Now();
  if (parked.empty() || now < next_parked_at) {
    return;
  }
  next_parked_at = now + kParkedStartPeriod;
  // Routes have different stages, so a route with long queues must not block
  // the parked requests of other routes.
  std::set<const Route*> blocked_routes;
  for (auto it = parked.begin(); it != parked.end(); ++it) {
    ServingRequest* request = FindByExchange(std::get<ExchangeId>(*it));
    if (blocked_routes.contains(request->route)) {
      continue;
    }
    if (EstimateWaits(*request).late > kParkedStartWait) {
      blocked_routes.insert(request->route);
      continue;
    }
    parked.erase(it);
    request->parked = false;
    SetExpiry(request, request->first_response_by);
    RunStages(request);
    return;
  }
}

DurationUs Gateway::Impl::RetryAfter(const ServingRequest& request) {
  // Random spread, so that clients refused together do not retry together.
  constexpr DurationUs kBaseRetryAfter = 300 * kMillisecond;
  constexpr DurationUs kRetryAfterSpread = 700 * kMillisecond;
  const DurationUs wait =
      kBaseRetryAfter +
      static_cast<DurationUs>(random->Below(kRetryAfterSpread));
  const DurationUs left = request.first_response_by - output->Now();
  return left > wait ? wait : 0;
}

}  // namespace acaciachute
