// The stages of one request: submits tasks for their pieces and handles the
// results.
#include <algorithm>
#include <map>
#include <utility>

#include "coordination/gateway/gateway_impl.h"
#include "text.h"

namespace acaciachute {

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

std::string Gateway::Impl::MostCommonDomain(
    const std::vector<std::string>& handles) const {
  std::map<std::string, int> count;
  for (const auto& it : handles) {
    if (const ReplicaEntry* producer = directory->ProducerOf(it)) {
      ++count[producer->domain];
    }
  }
  const auto largest = std::max_element(
      count.begin(), count.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return largest == count.end() ? std::string() : largest->first;
}

// Transfers between failure domains are charged by their size. For small
// results no failure domain is preferred.
std::string Gateway::Impl::PreferredDomain(const ServingRequest& request,
                                           std::uint32_t stage) const {
  constexpr std::uint64_t kMinRelevantBytes = 32 << 10;
  const StageSpec& spec = request.route->stages[stage];
  for (const std::uint32_t needed : spec.after) {
    if (request.route->stages[needed].result_bytes > kMinRelevantBytes) {
      return MostCommonDomain(request.progress.InputsOf(stage));
    }
  }
  if (spec.result_bytes > kMinRelevantBytes &&
      request.progress.TimeAfter(stage) == 0) {
    const ReplicaEntry* home =
        engines.HomeOf(request.service, request.ForEngine());
    return home == nullptr ? std::string() : home->domain;
  }
  return {};
}

// Whether `stage` is the first of the request's stages that its service runs,
// and runs for the first time: a request counts once at each service.
bool Gateway::Impl::EarnsRetries(const ServingRequest& request,
                                 std::uint32_t stage) {
  const auto& stages = request.route->stages;
  return std::none_of(request.submitted_stages.begin(),
                      request.submitted_stages.end(), [&](std::uint32_t it) {
                        return stages[it].service == stages[stage].service;
                      });
}

std::vector<PieceTask> Gateway::Impl::TasksOf(const ServingRequest& request,
                                              std::uint32_t stage) const {
  const TimeUs now = output->Now();
  const StageSpec& spec = request.route->stages[stage];
  PieceTask task;
  task.service = spec.service;
  task.inputs = request.progress.InputsOf(stage);
  if (spec.after.empty()) {
    task.source = request.call.piece_key;
  }
  // A piece completed later than this could not lead to an answer in time.
  const DurationUs remaining_work =
      request.progress.TimeAfter(stage) + kEngineFirstEventTime;
  task.time_left = request.first_response_by - now - remaining_work;
  task.waited = now - request.received_at;
  task.time_to_begin = request.target_by - now - ExpectedWork(request);
  for (const std::uint32_t needed : spec.after) {
    task.holds_bytes += request.route->stages[needed].result_bytes *
                        request.progress.Pieces(needed);
  }
  task.priority = request.priority;
  task.result_bytes = spec.result_bytes;
  if (request.progress.OnlyUserOfItsInputs(stage)) {
    task.sole_users = request.progress.Pieces(stage);
  }
  task.near_domain = PreferredDomain(request, stage);
  task.holds_bytes /= std::max(1U, request.progress.Pieces(stage));
  task.send = request.submitted_stages.contains(stage) ? PieceSend::kRetryPaid
                                                       : PieceSend::kFirst;
  task.earns_retries = EarnsRetries(request, stage);
  std::vector<PieceTask> tasks;
  for (std::uint32_t n = 0; n < request.progress.Pieces(stage); ++n) {
    task.key = {request.call.id, stage, n};
    tasks.push_back(task);
    task.earns_retries = false;  // The first one earns for all.
  }
  return tasks;
}

void Gateway::Impl::RunStages(ServingRequest* request) {
  const TimeUs now = output->Now();
  const ExchangeId id = request->id;
  bool submitted = false;
  for (const std::uint32_t stage : request->progress.TakeReady()) {
    std::vector<PieceTask> tasks = TasksOf(*request, stage);
    if (tasks.empty()) {
      continue;
    }
    if (tasks.front().earns_retries) {
      ServiceBudget(tasks.front().service)
          .OnRequest(now, 1 - PieceTask::kOwnerEarnings);
    }
    request->submitted_stages.insert(stage);
    request->reserved_pieces.erase(stage);
    request->stage_waits.OnSubmitted(now, stage);
    dispatcher->Submit(now, std::move(tasks));
    if (FindByExchange(id) == nullptr) {
      return;  // The request was refused during `Submit`.
    }
    submitted = true;
  }
  if (submitted) {
    dispatcher->Announce(now, ComingOf(request->call.id, OutlookOf(*request),
                                       request->priority));
  }
  if (request->progress.Complete()) {
    OnStagesDone(request);
  }
}

void Gateway::Impl::OnStageMade(ServingRequest* request, std::uint32_t stage) {
  const auto beyond = request->stage_waits.OnMade(
      output->Now(), stage, request->progress.TimeOf(stage));
  if (beyond) {
    metrics->Observe("acaciachute_gateway_wait_beyond_forecast_seconds",
                     request->route->stages[stage].service, *beyond);
  }
}

void Gateway::Impl::OnStagesDone(ServingRequest* request) {
  request->stages_done = true;
  request->stages_done_at = output->Now();
  request->near_domain = MostCommonDomain(request->progress.FinalResults());
  request->fetched_bytes = request->progress.FinalBytes();
  StartAttempt(request);
}

bool Gateway::Impl::ReserveStages(ServingRequest* request) {
  ReturnReservedPieces(request);
  for (const std::uint32_t stage : request->submitted_stages) {
    const std::uint32_t pieces = request->progress.Pieces(stage);
    if (!ServiceBudget(request->route->stages[stage].service)
             .TryUse(output->Now(),
                     {RetryReason::kStagesAgain, request->call.id, pieces})) {
      ReturnReservedPieces(request);
      return false;
    }
    request->reserved_pieces[stage] = pieces;
  }
  return true;
}

void Gateway::Impl::ReturnReservedPieces(ServingRequest* request) {
  for (const auto& [stage, pieces] :
       std::exchange(request->reserved_pieces, {})) {
    ServiceBudget(request->route->stages[stage].service).OnNotSent(pieces);
  }
}

// Results expire after a few seconds and are lost when their replica ends. If
// one is lost, all stages of the request run again, as long as there is time
// for it.
void Gateway::Impl::RestartStages(ServingRequest* request,
                                  std::string_view why) {
  dispatcher->ReleaseResults(request->progress.TakeAll());
  dispatcher->CancelRequest(request->call.id);
  if (++request->restarts > kMaxStageRestarts) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     "results of stages were lost too often"});
    return;
  }
  request->progress.Restart();
  const DurationUs left = request->first_response_by - output->Now();
  if (request->progress.TimeLeft() + kEngineFirstEventTime > left) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     StrCat("no time to begin again: ", why)});
    return;
  }
  if (!ReserveStages(request)) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     StrCat(why, ", and the retry budget is spent")});
    return;
  }
  log->Write(
      "stages_again",
      {{"id", request->call.id},
       {"why", why},
       {"stages_ms", request->stage_times},
       {"after_ms", (output->Now() - request->received_at) / kMillisecond}});
  request->stages_done = false;
  RunStages(request);
}

}  // namespace acaciachute
