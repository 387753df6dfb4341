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

// Each gateway starts one parked request per `kParkedStartPeriod`, because the
// queue lengths reported by the batching gateways are up to one heartbeat old.
constexpr DurationUs kParkedStartPeriod = 100 * kMillisecond;

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

void Gateway::Impl::Admit(ExchangeId id, ClientRequest call) {
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
  request->received_at = now;
  request->elapsed_before = ElapsedBefore(*route, request->call);
  request->target_by =
      now + route->target - kClientTransitTime - request->elapsed_before;
  const DurationUs time_limit =
      request->call.deadline > 0
          ? std::min(request->call.deadline - kClientTransitTime,
                     route->timeout)
          : route->timeout;
  request->deadline_at = now + time_limit;
  request->first_response_by = request->deadline_at;
  if (route->kind == RouteKind::kStream) {
    request->first_response_by =
        std::min(request->first_response_by,
                 now + route->FirstEventTimeout() - kClientTransitTime);
  }
  request->resume_after = request->call.resume_after;
  request->admission =
      HasNoReplica(*request, &refusal) || HasNoTurn(*request, &refusal)
          ? AdmissionResult::kRefused
          : DecideAdmission(request.get(), &refusal);
  if (request->admission == AdmissionResult::kRefused) {
    RefuseUnadmitted(id, request->call, refusal);
    return;
  }
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

std::vector<StageOutlook> Gateway::Impl::OutlookOf(
    const ServingRequest& request) const {
  const TimeUs now = output->Now();
  return OutlookOfStages(*request.route, *request.config, request.progress,
                         [&](const std::string& service) {
                           return dispatcher->ExpectedWait(now, service);
                         });
}

DurationUs Gateway::Impl::ExpectedWork(const ServingRequest& request) const {
  return request.progress.TimeLeft() +
         first_event_times.Expected(output->Now(), request.service);
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
  const auto stages = OutlookOf(*request);
  AdmissionCase it;
  it.in_time = ForecastPath(stages, request->priority, false);
  it.late = ForecastPath(stages, request->priority, true);
  it.work = ExpectedWork(*request);
  it.until_target = request->target_by - now;
  it.until_client_leaves = request->first_response_by - now;
  it.parked_ahead =
      kParkedStartPeriod * static_cast<DurationUs>(parked.size() + 1);
  request->expected_wait = it.in_time.wait;
  request->stage_waits.OnForecast(it.in_time.waits);
  const AdmissionResult result = StageAdmission::Decide(it);
  if (request->elapsed_before > 0) {
    metrics->Count("acaciachute_gateway_returns_total", Name(result));
  }
  if (result == AdmissionResult::kRefused) {
    *refusal = NoRoom(*request, it);
  }
  return result;
}

LocalReply Gateway::Impl::NoRoom(const ServingRequest& request,
                                 const AdmissionCase& it) {
  const DurationUs longest = it.until_client_leaves / kRetryAfterDivisor;
  const auto shortest = std::min(
      longest,
      static_cast<DurationUs>(kMinRetryAfterShare *
                              static_cast<double>(request.call.deadline)));
  const DurationUs suggested_wait =
      std::clamp(StageAdmission::WaitUntilAdmitted(it), shortest, longest);
  const auto spread = static_cast<DurationUs>(random->Below(
      static_cast<std::uint64_t>(longest - suggested_wait) / 2 + 1));
  return {Refusal::kFull, Verdict::kNotRun, suggested_wait + spread,
          StrCat(request.route->name, ": ", StageAdmission::Describe(it),
                 ", waits ", request.stage_waits.Text())};
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
    const auto stages = OutlookOf(*request);
    if (!StageAdmission::MayStartParked(
            ForecastPath(stages, request->priority, true))) {
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
