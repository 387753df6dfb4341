// Which requests a gateway takes: route, account, rank, and whether there is
// time for them.
#include <algorithm>

#include "coordination/gateway/gateway_impl.h"
#include "text.h"

namespace acaciachute {
namespace {

// The client's next connection reaches another node; it need not wait.
constexpr DurationUs kElsewhere = 20 * kMillisecond;

// A client honours a wait of up to a third of the time that it has left.
constexpr DurationUs kHonouredPart = 3;

// Deadlines of one route's clients vary by an eighth. Below this share of the
// usual one a client has been refused before; the time for which it was sent
// away makes sure of it.
constexpr double kReturned = 0.83;
constexpr double kLeastReturn = 0.2;

// A request that will be late is admitted if it would be served within this
// share of the time that it has left; the estimates are rough.
constexpr double kLateShare = 0.35;

// A parked request begins when the queues are this short, one each step a
// gateway: what the batching gateways tell of their queues is as old as a
// heartbeat. One is parked if its turn is expected within this share of its
// time.
constexpr DurationUs kParkedWait = 500 * kMillisecond;
constexpr DurationUs kParkedStep = 100 * kMillisecond;
constexpr double kParkedShare = 0.6;

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
// on while the host is suspended, and from when the request for it was sent.
bool Gateway::Impl::Current() const {
  return confirmed_at >= 0 && output->Now() - confirmed_at <= options.key_age;
}

bool Gateway::Impl::FindAccount(const Route& route,
                                const ClientRequest& call,
                                const ClientAccount** account,
                                LocalReply* refusal) {
  if (!config->needs_keys || route.anonymous) {
    return true;
  }
  if (!Current()) {
    *refusal = {Refusal::kNotCurrent, Verdict::kNotRun,
                RetryAfterNotCurrent(route, call),
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

// Load pattern: the store turns some hosts away, or all of them, for seconds.
// Clients retry once or twice. If another entry may check keys, which a new
// connection most likely reaches, they are served when they come at once. If
// none is, whoever comes back in a second is refused again and has used up its
// tries; the longest wait that clients honour, a third of their time, gives the
// store the most time to return. Spread, so that they do not come together.
DurationUs Gateway::Impl::RetryAfterNotCurrent(const Route& route,
                                               const ClientRequest& call) {
  if (peer_can_check_keys) {
    return kElsewhere;
  }
  return RetryAfterLongest(call.deadline > 0
                               ? std::min(call.deadline, route.timeout)
                               : route.timeout);
}

DurationUs Gateway::Impl::RetryAfterLongest(DurationUs left) {
  const DurationUs most = std::max<DurationUs>(0, left) / kHonouredPart;
  return most / 2 + static_cast<DurationUs>(random->Below(
                        static_cast<std::uint64_t>(most / 2 + 1)));
}

// Failure: all replicas of a service are gone, or every failure domain that has
// one was emptied. Symptom: requests wait for pieces that nobody makes, or have
// their stages made for a replica that is not there, until their clients leave.
// Stages that are made already need no replica any more.
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
              RetryAfterLongest(request.answer_by - output->Now()),
              StrCat("no replica of ", missing, " takes work")};
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

void Gateway::Impl::Admit(ExchangeId id, ClientRequest call) {
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
  LocalReply refusal;
  if (!FindAccount(*route, call, &account, &refusal)) {
    RefuseAtOnce(id, call, refusal);
    return;
  }
  const TimeUs now = output->Now();
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
        std::min(request->answer_by, now + route->FirstEventTimeout() - kLink);
  }
  request->resume_after = request->call.resume_after;
  request->admission = HasNoReplica(*request, &refusal)
                           ? Admission::kRefused
                           : Decide(request.get(), &refusal);
  if (request->admission == Admission::kRefused) {
    RefuseAtOnce(id, request->call, refusal);
    return;
  }
  Budget(request->service).OnRequest(now);
  SetDue(request.get(), request->answer_by);
  ServingRequest* it = request.get();
  by_client_id[it->call.id] = it;
  requests[id] = std::move(request);
  if (it->admission == Admission::kParked) {
    it->parked = true;
    parked.emplace(it->priority, it->received_at, id);
    // Begun later it could not be served before its client leaves.
    SetDue(it, it->answer_by - it->progress.TimeLeft() - kEngineTime);
    return;
  }
  RunStages(it);
}

// A client that comes back after a refusal has less time left than its route's
// clients usually give; no field says so.
DurationUs Gateway::Impl::ElapsedBefore(const Route& route,
                                        const ClientRequest& call) {
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

Gateway::Impl::StageWaits Gateway::Impl::WaitsOf(
    const ServingRequest& request) const {
  const TimeUs now = output->Now();
  StageWaits waits;
  for (std::uint32_t n = 0; n < request.route->stages.size(); ++n) {
    if (request.progress.Pieces(n) == 0) {
      continue;
    }
    const QueueWait wait =
        dispatcher->ExpectedWait(now, request.route->stages[n].service);
    waits.in_time += wait.Of(request.priority);
    waits.late = std::max(waits.late, wait.late);
  }
  waits.work = request.progress.TimeLeft() + kEngineTime;
  return waits;
}

// Load pattern: a burst brings more requests than the stages can make. Admitted
// without a bound, all of them wait, and all are late. Those that can be on
// time are admitted; those that cannot are admitted while they would be served
// well before their deadlines, behind all others. Of the rest, those that the
// time after the burst is likely to serve are parked before any work is done
// for them, so that they hold no memory; what is left is refused, and told when
// the queue will be shorter.
Admission Gateway::Impl::Decide(ServingRequest* request, LocalReply* refusal) {
  if (request->route->stages.empty()) {
    return Admission::kInTime;
  }
  const TimeUs now = output->Now();
  const auto [in_time, late, work] = WaitsOf(*request);
  request->expected_wait = in_time;
  if (now + in_time + work <= request->target_by) {
    return Admission::kInTime;
  }
  const DurationUs left = request->answer_by - now;
  const auto share = [left](double part) {
    return static_cast<DurationUs>(part * static_cast<double>(left));
  };
  if (late + work <= share(kLateShare)) {
    return Admission::kLate;
  }
  const DurationUs turn =
      kParkedStep * static_cast<DurationUs>(parked.size() + 1);
  if (late + turn + work <= share(kParkedShare)) {
    return Admission::kParked;
  }
  const DurationUs most = left / kHonouredPart;
  const auto least = std::min(
      most, static_cast<DurationUs>(
                kLeastReturn * static_cast<double>(request->call.deadline)));
  const DurationUs wish = std::clamp(late, least, most);
  const auto spread = static_cast<DurationUs>(
      random->Below(static_cast<std::uint64_t>(most - wish) / 2 + 1));
  *refusal = {
      Refusal::kFull, Verdict::kNotRun, wish + spread,
      StrCat(request->route->name, ": work ", work / kMillisecond, " ms, wait ",
             in_time / kMillisecond, " or if late ", late / kMillisecond,
             ", until late ", (request->target_by - now) / kMillisecond,
             ", until its client leaves ", left / kMillisecond)};
  return Admission::kRefused;
}

void Gateway::Impl::BeginParked() {
  const TimeUs now = output->Now();
  if (parked.empty() || now < next_parked_at) {
    return;
  }
  next_parked_at = now + kParkedStep;
  // Routes differ in their stages: one whose queues are long holds up no other.
  std::set<const Route*> held_up;
  for (auto it = parked.begin(); it != parked.end(); ++it) {
    ServingRequest* request = ByExchange(std::get<ExchangeId>(*it));
    if (held_up.contains(request->route)) {
      continue;
    }
    if (WaitsOf(*request).late > kParkedWait) {
      held_up.insert(request->route);
      continue;
    }
    parked.erase(it);
    request->parked = false;
    SetDue(request, request->answer_by);
    RunStages(request);
    return;
  }
}

DurationUs Gateway::Impl::RetryAfter(const ServingRequest& request) {
  // Spread, so that those refused together do not come back together.
  constexpr DurationUs kLeast = 300 * kMillisecond;
  constexpr DurationUs kSpread = 700 * kMillisecond;
  const DurationUs wait =
      kLeast + static_cast<DurationUs>(random->Below(kSpread));
  const DurationUs left = request.answer_by - output->Now();
  return left > wait ? wait : 0;
}

}  // namespace acaciachute
