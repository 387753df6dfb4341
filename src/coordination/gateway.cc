#include "coordination/gateway.h"

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

// From the last stage to the first event: a prompt of the usual length is read
// in 30 to 80 ms, and waits for others.
constexpr DurationUs kEngineTime = 150 * kMillisecond;

}  // namespace

std::vector<DurationUs> StageTimes(const ServingConfig& config,
                                   const Route& route) {
  std::vector<DurationUs> times;
  for (const StageSpec& it : route.stages) {
    const Service* service = config.FindService(it.service);
    const bool known = service != nullptr && service->batching;
    const BatchLimits limits = known ? *service->batching : BatchLimits{};
    times.push_back(limits.call + limits.piece * (limits.batch / 2));
  }
  return times;
}

Gateway::Impl::Impl(GatewayOptions options_in,
                    GatewayPorts* ports_in,
                    PieceDesk* desk_in,
                    const ReplicaDirectory* directory_in,
                    Random* random_in,
                    Metrics* metrics_in,
                    EventLog* log_in)
    : options(std::move(options_in)),
      ports(ports_in),
      desk(desk_in),
      directory(directory_in),
      random(random_in),
      metrics(metrics_in),
      log(log_in),
      engines(directory_in, random_in) {}

ServingRequest* Gateway::Impl::ByExchange(ExchangeId id) {
  const auto it = requests.find(id);
  return it == requests.end() ? nullptr : it->second.get();
}

ServingRequest* Gateway::Impl::ByCall(CallId id) {
  const auto it = by_call.find(id);
  return it == by_call.end() ? nullptr : it->second;
}

PlainChoice& Gateway::Impl::Plain(const std::string& service) {
  auto& choice = plain[service];
  if (choice == nullptr) {
    choice = std::make_unique<PlainChoice>(directory, random);
  }
  return *choice;
}

AttemptBudget& Gateway::Impl::Budget(const std::string& service) {
  const auto [it, inserted] = budgets.try_emplace(service);
  if (inserted) {
    it->second.SetLimits(options.budget);
    it->second.SetEntries(entries);
  }
  return it->second;
}

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

std::string Gateway::Impl::DomainOfMost(
    const std::vector<std::string>& handles) const {
  std::map<std::string, int> count;
  for (const auto& it : handles) {
    if (const ReplicaEntry* maker = directory->MakerOf(it)) {
      ++count[maker->domain];
    }
  }
  const auto most = std::max_element(
      count.begin(), count.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == count.end() ? std::string() : most->first;
}

// Results that cross failure domains are priced by their bytes; small ones do
// not matter.
std::string Gateway::Impl::NearDomain(const ServingRequest& request,
                                      std::uint32_t stage) const {
  constexpr std::uint64_t kSmall = 32 << 10;
  const StageSpec& spec = request.route->stages[stage];
  for (const std::uint32_t needed : spec.after) {
    if (request.route->stages[needed].result_bytes > kSmall) {
      return DomainOfMost(request.progress.InputsOf(stage));
    }
  }
  if (spec.result_bytes > kSmall && request.progress.TimeAfter(stage) == 0) {
    const ReplicaEntry* home =
        engines.HomeOf(request.service, request.ForEngine());
    return home == nullptr ? std::string() : home->domain;
  }
  return {};
}

std::vector<PieceOrder> Gateway::Impl::OrdersOf(const ServingRequest& request,
                                                std::uint32_t stage) const {
  const TimeUs now = ports->Now();
  const StageSpec& spec = request.route->stages[stage];
  PieceOrder order;
  order.service = spec.service;
  order.inputs = request.progress.InputsOf(stage);
  if (spec.after.empty()) {
    order.source = request.call.piece_key;
  }
  // Made later than this, the piece could not lead to an answer in time.
  const DurationUs after_this = request.progress.TimeAfter(stage) + kEngineTime;
  order.time_left = request.answer_by - now - after_this;
  order.waited = now - request.received_at;
  order.time_to_begin =
      request.target_by - now - request.progress.TimeLeft() - kEngineTime;
  for (const std::uint32_t needed : spec.after) {
    order.holds_bytes += request.route->stages[needed].result_bytes *
                         request.progress.Pieces(needed);
  }
  order.priority = request.priority;
  order.result_bytes = spec.result_bytes;
  order.near_domain = NearDomain(request, stage);
  order.holds_bytes /= std::max(1U, request.progress.Pieces(stage));
  std::vector<PieceOrder> orders;
  for (std::uint32_t n = 0; n < request.progress.Pieces(stage); ++n) {
    order.key = {request.call.id, stage, n};
    orders.push_back(order);
  }
  return orders;
}

void Gateway::Impl::RunStages(ServingRequest* request) {
  const TimeUs now = ports->Now();
  const ExchangeId id = request->id;
  for (const std::uint32_t stage : request->progress.TakeReady()) {
    std::vector<PieceOrder> orders = OrdersOf(*request, stage);
    if (orders.empty()) {
      continue;
    }
    desk->Submit(now, std::move(orders));
    if (ByExchange(id) == nullptr) {
      return;  // Refused at once.
    }
  }
  if (request->progress.Complete()) {
    OnStagesDone(request);
  }
}

void Gateway::Impl::OnStagesDone(ServingRequest* request) {
  request->staged = true;
  request->staged_at = ports->Now();
  StartAttempt(request);
}

// Results live a few seconds and end with their maker; the stages are made
// again when one is gone, as long as the request has time for it.
void Gateway::Impl::RestartStages(ServingRequest* request) {
  desk->Free(request->progress.TakeAll());
  desk->Drop(request->call.id);
  if (++request->restarts > kMostRestarts) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     "results of stages were lost too often"});
    return;
  }
  log->Write("stages_again", {{"id", request->call.id}});
  request->progress.Restart();
  request->staged = false;
  RunStages(request);
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

void Gateway::Impl::RefuseAtOnce(ExchangeId id,
                                 const ClientCall& call,
                                 OwnAnswer answer) {
  metrics->Count("acaciachute_gateway_refused_total", Name(answer.reason));
  log->Write(
      "refused",
      {{"id", call.id},
       {"reason", Name(answer.reason)},
       {"verdict", Name(answer.verdict)},
       {"detail", answer.detail},
       {"config", config ? config->version : 0},
       {"config_age_ms",
        confirmed_at < 0 ? -1 : (ports->Now() - confirmed_at) / kMillisecond}});
  ports->Refuse(id, answer);
}

void Gateway::Impl::Refuse(ServingRequest* request, OwnAnswer answer) {
  const ExchangeId id = request->id;
  if (answer.verdict == Verdict::kNotRun && answer.retry_after == 0 &&
      Info(answer.reason).later_may_help) {
    answer.retry_after = RetryAfter(*request);
  }
  const bool begun = request->begun;
  log->Write("gave_up",
             {{"id", request->call.id},
              {"reason", Name(answer.reason)},
              {"verdict", Name(answer.verdict)},
              {"detail", answer.detail},
              {"retry_after_ms", answer.retry_after / kMillisecond}});
  Finish(request, Name(answer.reason), Info(answer.reason).http_status);
  if (begun) {
    ports->Break(id);
  } else {
    ports->Refuse(id, answer);
  }
}

// Takes the request off every table; `request` is gone afterwards.
void Gateway::Impl::Finish(ServingRequest* request,
                           std::string_view outcome,
                           int status) {
  CancelAttempt(request);
  if (!request->route->stages.empty()) {
    desk->Drop(request->call.id);
    desk->Free(request->progress.TakeAll());
  }
  const TimeUs now = ports->Now();
  metrics->Count("acaciachute_gateway_requests_total", outcome);
  metrics->Observe("acaciachute_gateway_request_seconds", request->route->name,
                   now - request->received_at);
  log->Write("request",
             {{"id", request->call.id},
              {"route", request->route->name},
              {"account", request->account != nullptr ? request->account->name
                                                      : std::string()},
              {"outcome", outcome},
              {"status", status},
              {"config", request->config->version},
              {"replica", request->attempt.replica.id},
              {"runs", request->runs},
              {"tried", request->tried.size()},
              {"stages_ms", request->stage_times},
              {"staged_ms",
               request->staged
                   ? (request->staged_at - request->received_at) / kMillisecond
                   : -1},
              {"first_ms",
               request->begun
                   ? (request->begun_at - request->received_at) / kMillisecond
                   : -1},
              {"total_ms", (now - request->received_at) / kMillisecond},
              {"target_ms", request->route->target / kMillisecond},
              {"deadline_ms", request->call.deadline / kMillisecond}});
  deadlines.erase({request->due_at, request->id});
  const auto it = by_client_id.find(request->call.id);
  if (it != by_client_id.end() && it->second == request) {
    by_client_id.erase(it);
  }
  requests.erase(request->id);
}

void Gateway::Impl::SetDue(ServingRequest* request, TimeUs due_at) {
  deadlines.erase({request->due_at, request->id});
  request->due_at = due_at;
  deadlines.emplace(due_at, request->id);
}

void Gateway::Impl::Expire(ServingRequest* request) {
  if (request->attempt.call == 0 && request->runs == 0) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     "the time was over before a replica was reached"});
    return;
  }
  Refuse(request, {Refusal::kLate, Verdict::kMayHaveRun, 0,
                   "the replica did not answer in time"});
}

Gateway::Gateway(GatewayOptions options,
                 GatewayPorts* ports,
                 PieceDesk* desk,
                 const ReplicaDirectory* directory,
                 Random* random,
                 Metrics* metrics,
                 EventLog* log)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   ports,
                                   desk,
                                   directory,
                                   random,
                                   metrics,
                                   log)) {}
Gateway::~Gateway() = default;

void Gateway::SetOptions(const GatewayOptions& options) {
  impl_->options = options;
  for (auto& [service, budget] : impl_->budgets) {
    budget.SetLimits(options.budget);
  }
}

void Gateway::OnConfig(std::shared_ptr<const ServingConfig> config) {
  if (impl_->config != nullptr && config->version < impl_->config->version) {
    impl_->log->Write(
        "config_passed_over",
        {{"version", config->version}, {"in_force", impl_->config->version}});
    return;
  }
  impl_->log->Write("config", {{"version", config->version},
                               {"routes", config->routes()},
                               {"services", config->services().size()}});
  impl_->config = std::move(config);
}

void Gateway::OnConfirmed(TimeUs asked_at) {
  impl_->confirmed_at = std::max(impl_->confirmed_at, asked_at);
}

void Gateway::OnReplica(const ReplicaEntry& replica, DirectoryChange change) {
  if (change == DirectoryChange::kGone) {
    impl_->engines.OnReplicaGone(replica.id);
    for (auto& [service, choice] : impl_->plain) {
      choice->OnReplicaGone(replica.id);
    }
  }
}

void Gateway::OnCall(ExchangeId id, ClientCall call) {
  impl_->Admit(id, std::move(call));
}

void Gateway::OnGone(ExchangeId id) {
  if (auto* request = impl_->ByExchange(id)) {
    impl_->Finish(request, Name(Refusal::kCancelled), 0);
  }
}

void Gateway::OnWritten(ExchangeId id) {
  auto* request = impl_->ByExchange(id);
  if (request != nullptr && request->attempt.paused) {
    request->attempt.paused = false;
    impl_->ports->SetReading(request->attempt.call, true);
  }
}

void Gateway::OnReplicaHead(CallId id, ReplicaHead head) {
  if (auto* request = impl_->ByCall(id)) {
    impl_->OnHead(request, std::move(head));
  }
}
void Gateway::OnReplicaBody(CallId id, std::string_view bytes) {
  if (auto* request = impl_->ByCall(id)) {
    impl_->OnBody(request, bytes);
  }
}
void Gateway::OnReplicaEnd(CallId id) {
  if (auto* request = impl_->ByCall(id)) {
    impl_->OnEnd(request);
  }
}
void Gateway::OnReplicaFailed(CallId id, bool sent, std::string_view why) {
  if (auto* request = impl_->ByCall(id)) {
    impl_->OnFailed(request, sent, why);
  }
}

void Gateway::OnPiece(const PieceResult& result) {
  const auto it = impl_->by_client_id.find(result.key.request);
  if (it == impl_->by_client_id.end()) {
    if (!result.handle.empty()) {
      impl_->desk->Free({result.handle});
    }
    return;
  }
  ServingRequest* request = it->second;
  impl_->metrics->Count("acaciachute_gateway_pieces_total",
                        Name(result.outcome));
  if (result.outcome == PieceOutcome::kInputGone) {
    impl_->RestartStages(request);
    return;
  }
  if (result.outcome != PieceOutcome::kMade) {
    impl_->Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                            StrCat("stage ", result.key.stage, ": ",
                                   Name(result.outcome))});
    return;
  }
  if (request->progress.OnMade(result.key.stage, result.key.piece,
                               result.handle)) {
    const DurationUs after = impl_->ports->Now() - request->received_at;
    request->stage_times += StrCat(request->stage_times.empty() ? "" : " ",
                                   result.key.stage, ":", after / kMillisecond);
  }
  impl_->desk->Free(request->progress.TakeUnneeded());
  impl_->RunStages(request);
}

void Gateway::RefuseStreams() {
  impl_->refuses_streams = true;
}

void Gateway::RefuseAll() {
  std::vector<ServingRequest*> open;
  for (const auto& [id, request] : impl_->requests) {
    if (!request->begun) {
      open.push_back(request.get());
    }
  }
  for (ServingRequest* it : open) {
    const bool sent = it->attempt.call != 0 || it->runs > 0;
    impl_->Refuse(it, {sent ? Refusal::kUpstreamFailed : Refusal::kLeaving,
                       sent ? Verdict::kMayHaveRun : Verdict::kNotRun, 0,
                       "the node leaves"});
  }
}

void Gateway::OnTick() {
  const TimeUs now = impl_->ports->Now();
  while (!impl_->deadlines.empty() && impl_->deadlines.begin()->first <= now) {
    impl_->Expire(impl_->ByExchange(impl_->deadlines.begin()->second));
  }
}

void Gateway::SetEntries(std::size_t n) {
  impl_->entries = n;
  for (auto& [service, budget] : impl_->budgets) {
    budget.SetEntries(n);
  }
}

EngineChoice* Gateway::engines() {
  return &impl_->engines;
}
AttemptBudget* Gateway::BudgetOf(const std::string& service) {
  return &impl_->Budget(service);
}
bool Gateway::configured() const {
  return impl_->config != nullptr;
}
bool Gateway::current() const {
  return impl_->config != nullptr &&
         (!impl_->config->needs_keys || impl_->Current());
}
std::size_t Gateway::in_progress() const {
  return impl_->requests.size();
}

}  // namespace acaciachute
