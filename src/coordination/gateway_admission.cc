// Which requests a gateway takes: route, account, rank, and whether there is
// time for them.
#include <algorithm>

#include "coordination/gateway_impl.h"
#include "text.h"

namespace acaciachute {
namespace {

// The client's next connection reaches another node; it need not wait.
constexpr DurationUs kElsewhere = 20 * kMillisecond;

// Deadlines of one route's clients vary by an eighth. Below this share of the
// usual one a client has been refused before; the time for which it was sent
// away makes sure of it.
constexpr double kReturned = 0.83;
constexpr double kLeastReturn = 0.2;

// A request that will be late is admitted if it would be served within this
// share of the time that it has left; the estimates are rough.
constexpr double kLateShare = 0.35;

// The account's priority goes first, the route's decides within it: accounts of
// one priority still have urgent and patient requests.
std::uint32_t RankOf(const Route& route, const ClientAccount* account) {
  constexpr std::uint32_t kRoutePriorities = 4;
  const std::uint32_t first =
      account != nullptr && account->priority ? *account->priority : 0;
  return first * kRoutePriorities +
         std::min(route.priority, kRoutePriorities - 1);
}

}  // namespace

// Failure: a key is taken away while this entry cannot hear of it. Symptom: a
// request runs under a key that its owner was told is void. A key counts only
// while the configuration was confirmed within `key_age`, by a clock that goes
// on while the host is suspended, and from when the question was sent.
bool Gateway::Impl::Current() const {
  return confirmed_at >= 0 && ports->Now() - confirmed_at <= options.key_age;
}

bool Gateway::Impl::FindAccount(const Route& route,
                                const ClientCall& call,
                                const ClientAccount** account,
                                OwnAnswer* refusal) {
  if (!config->needs_keys || route.anonymous) {
    return true;
  }
  if (!Current()) {
    *refusal = {Refusal::kNotCurrent, Verdict::kNotRun, kSecond,
                "keys cannot be checked against the newest configuration"};
    return false;
  }
  *account = call.key ? config->FindAccount(*call.key) : nullptr;
  if (*account == nullptr) {
    *refusal = {Refusal::kUnauthorized, Verdict::kNotRun, 0, ""};
    return false;
  }
  return true;
}

std::string Gateway::Impl::ChooseService(const Route& route) {
  std::uint64_t sum = 0;
  for (const auto& it : route.split) {
    sum += it.weight;
  }
  std::uint64_t draw = random->Below(sum);
  for (const auto& it : route.split) {
    if (draw < it.weight) {
      return it.service;
    }
    draw -= it.weight;
  }
  return route.split.empty() ? std::string() : route.split.front().service;
}

void Gateway::Impl::Admit(ExchangeId id, ClientCall call) {
  if (config == nullptr) {
    RefuseAtOnce(id, call,
                 {Refusal::kNotCurrent, Verdict::kNotRun, kSecond,
                  "no configuration is known yet"});
    return;
  }
  const Route* route = config->FindRoute(call.host, call.target);
  if (route == nullptr) {
    RefuseAtOnce(id, call, {Refusal::kNotFound, Verdict::kNotRun, 0, ""});
    return;
  }
  if (refuses_streams && route->kind == RouteKind::kStream) {
    RefuseAtOnce(id, call,
                 {Refusal::kLeaving, Verdict::kNotRun, kElsewhere,
                  "a stream may outlast this process"});
    return;
  }
  const ClientAccount* account = nullptr;
  OwnAnswer refusal;
  if (!FindAccount(*route, call, &account, &refusal)) {
    RefuseAtOnce(id, call, refusal);
    return;
  }
  const TimeUs now = ports->Now();
  auto request =
      std::make_unique<ServingRequest>(id, std::move(call), config, route);
  request->account = account;
  request->service = ChooseService(*route);
  request->priority = RankOf(*route, account);
  request->received_at = now;
  const DurationUs elapsed = ElapsedBefore(*route, request->call);
  request->target_by = now + route->target - kLink - elapsed;
  const DurationUs patience =
      request->call.deadline > 0
          ? std::min(request->call.deadline - kLink, route->timeout)
          : route->timeout;
  request->deadline_at = now + patience;
  request->answer_by = request->deadline_at;
  if (route->kind == RouteKind::kStream) {
    request->answer_by =
        std::min(request->answer_by, now + route->FirstEventPatience() - kLink);
  }
  request->resume_after = request->call.resume_after;
  if (!Feasible(*request, &refusal)) {
    RefuseAtOnce(id, request->call, refusal);
    return;
  }
  Budget(request->service).OnRequest(now);
  SetDue(request.get(), request->answer_by);
  ServingRequest* it = request.get();
  by_client_id[it->call.id] = it;
  requests[id] = std::move(request);
  RunStages(it);
}

// A client that comes back after a refusal has less time left than its route's
// clients usually give; no field says so.
DurationUs Gateway::Impl::ElapsedBefore(const Route& route,
                                        const ClientCall& call) {
  auto& usual = usual_deadline[route.name];
  const auto deadline = static_cast<double>(call.deadline);
  if (usual == 0) {
    usual = deadline;
  }
  // Moves to the value that a tenth of the deadlines exceed.
  constexpr double kStep = 0.02;
  constexpr double kAbove = 0.1;
  usual += kStep * usual * (deadline > usual ? 1 - kAbove : -kAbove);
  return deadline < kReturned * usual
             ? static_cast<DurationUs>(usual - deadline)
             : 0;
}

// Load pattern: a burst brings more requests than the stages can make. Admitted
// without a bound, all of them wait, and all are late. Those that can be on
// time are admitted; those that cannot are admitted while they would be served
// well before their deadlines, behind all others; the rest is refused before
// any work was done for it, and told when the queue will be shorter.
bool Gateway::Impl::Feasible(const ServingRequest& request,
                             OwnAnswer* refusal) {
  if (request.route->stages.empty()) {
    return true;
  }
  const TimeUs now = ports->Now();
  DurationUs in_time = 0;
  DurationUs late = 0;
  for (std::uint32_t n = 0; n < request.route->stages.size(); ++n) {
    if (request.progress.Pieces(n) == 0) {
      continue;
    }
    const PoolWait wait =
        desk->ExpectedWait(now, request.route->stages[n].service);
    in_time += wait.Of(request.priority);
    late = std::max(late, wait.late);
  }
  const DurationUs work = request.progress.TimeLeft() + kEngineTime;
  if (now + in_time + work <= request.target_by) {
    return true;
  }
  const DurationUs left = request.answer_by - now;
  const auto useful =
      static_cast<DurationUs>(kLateShare * static_cast<double>(left));
  if (late + work <= useful) {
    return true;
  }
  // A client honours up to a third of the time that it has left.
  constexpr DurationUs kThird = 3;
  const DurationUs most = left / kThird;
  const auto least = std::min(
      most, static_cast<DurationUs>(
                kLeastReturn * static_cast<double>(request.call.deadline)));
  const DurationUs wish = std::clamp(late, least, most);
  const auto spread = static_cast<DurationUs>(
      random->Below(static_cast<std::uint64_t>(most - wish) / 2 + 1));
  *refusal = {
      Refusal::kFull, Verdict::kNotRun, wish + spread,
      StrCat(request.route->name, ": work ", work / kMillisecond, " ms, wait ",
             in_time / kMillisecond, " or if late ", late / kMillisecond,
             ", until late ", (request.target_by - now) / kMillisecond,
             ", until its client leaves ", left / kMillisecond)};
  return false;
}

DurationUs Gateway::Impl::RetryAfter(const ServingRequest& request) {
  // Spread, so that those refused together do not come back together.
  constexpr DurationUs kLeast = 300 * kMillisecond;
  constexpr DurationUs kSpread = 700 * kMillisecond;
  const DurationUs wait =
      kLeast + static_cast<DurationUs>(random->Below(kSpread));
  const DurationUs left = request.answer_by - ports->Now();
  return left > wait ? wait : 0;
}

}  // namespace acaciachute
