// The stages of one request: submits tasks for their pieces and handles the
// results.
#include <algorithm>
#include <map>
#include <utility>

#include "coordination/gateway/gateway_impl.h"
#include "coordination/stages/piece_messages.h"
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
  task.time_to_begin = request.target_by - now - request.progress.TimeLeft() -
                       kEngineFirstEventTime;
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
  const std::vector<std::uint32_t> missing = request.progress.Missing(stage);
  if (task.sole_users > 0) {
    task.sole_users = static_cast<std::uint32_t>(missing.size());
  }
  std::vector<PieceTask> tasks;
  for (const std::uint32_t n : missing) {
    task.key = {request.call.id, stage, n};
    tasks.push_back(task);
    task.earns_retries = false;  // The first one earns for all.
  }
  return tasks;
}

// Memory of the pieces that have no result yet and of the inputs they share.
std::size_t Gateway::Impl::PieceMemory(const ServingRequest& request) {
  std::size_t bytes = 0;
  for (const std::uint32_t it : request.submitted_stages) {
    if (!request.progress.IsMade(it)) {
      bytes += request.progress.Missing(it).size() * kPieceMemoryBytes +
               PieceInputs(request.progress.InputsOf(it)).memory_bytes();
    }
  }
  return bytes;
}

void Gateway::Impl::RunStages(ServingRequest* request) {
  const TimeUs now = output->Now();
  const ExchangeId id = request->id;
  for (const std::uint32_t stage : request->progress.TakeReady()) {
    std::vector<PieceTask> tasks = TasksOf(*request, stage);
    if (tasks.empty()) {
      continue;
    }
    if (tasks.front().inputs.bytes() > kMaxStageInputBytes) {
      Refuse(request,
             {Refusal::kFull, Verdict::kNotRun, 0,
              StrCat("stage ", stage, " needs ", tasks.front().inputs.bytes(),
                     " bytes of handles")});
      return;
    }
    if (tasks.front().earns_retries) {
      ServiceBudget(tasks.front().service)
          .OnRequest(now, 1 - PieceTask::kOwnerEarnings);
    }
    request->submitted_stages.insert(stage);
    request->reserved_pieces.erase(stage);
    output->SetCollected(id, PieceMemory(*request));
    dispatcher->Submit(now, std::move(tasks));
    if (FindByExchange(id) == nullptr) {
      return;  // The request was refused during `Submit`.
    }
  }
  if (request->progress.Complete()) {
    OnStagesDone(request);
  }
}

void Gateway::Impl::OnStagesDone(ServingRequest* request) {
  request->stages_done = true;
  request->stages_done_at = output->Now();
  output->SetCollected(request->id, 0);
  if (!std::exchange(request->stages_were_done, true)) {
    for (const std::string_view it : SharedPoolsOf(*request)) {
      account_shares.OnAnswer(request->stages_done_at, it);
    }
  }
  request->near_domain = MostCommonDomain(request->progress.FinalResults());
  request->fetched_bytes = request->progress.FinalBytes();
  StartAttempt(request);
}

bool Gateway::Impl::ReserveStages(ServingRequest* request,
                                  const std::vector<std::uint32_t>& stages) {
  ReturnReservedPieces(request);
  for (const std::uint32_t stage : stages) {
    const auto pieces =
        static_cast<std::uint32_t>(request->progress.Missing(stage).size());
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

void Gateway::Impl::RestartStages(ServingRequest* request,
                                  std::string_view why) {
  dispatcher->ReleaseResults(request->progress.TakeAll());
  dispatcher->CancelRequest(request->call.id);
  request->progress.Restart();
  RunStagesAgain(
      request,
      {request->submitted_stages.begin(), request->submitted_stages.end()},
      why);
}

// Results expire after a few seconds and are lost when their replica ends.
// Making all stages again for one of them would take many times the retries and
// the work. Which result a replica missed it does not say: those of replicas
// that are gone are lost, and if none is, or it happens again, all that it
// needed are, as they may have expired or have been released early.
void Gateway::Impl::RemakeInputs(ServingRequest* request,
                                 std::optional<std::uint32_t> stage,
                                 std::string_view why) {
  const bool first_time = request->restarts == 0;
  const auto is_lost = [&](const std::string& handle) {
    return first_time && directory->ProducerOf(handle) == nullptr;
  };
  const std::vector<std::uint32_t> again =
      stage ? request->progress.LoseInputsOf(*stage, is_lost)
            : request->progress.LoseFinalResults(is_lost);
  for (const std::uint32_t it : again) {
    dispatcher->CancelStage(request->call.id, it);
  }
  RunStagesAgain(request, again, why);
}

void Gateway::Impl::RunStagesAgain(ServingRequest* request,
                                   const std::vector<std::uint32_t>& stages,
                                   std::string_view why) {
  if (++request->restarts > kMaxStageRestarts) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     "results of stages were lost too often"});
    return;
  }
  const DurationUs left = request->first_response_by - output->Now();
  if (request->progress.TimeLeft() + kEngineFirstEventTime > left) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     StrCat("no time to begin again: ", why)});
    return;
  }
  if (!ReserveStages(request, stages)) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0,
                     StrCat(why, ", and the retry budget is spent")});
    return;
  }
  std::size_t pieces = 0;
  for (const auto& [stage, n] : request->reserved_pieces) {
    pieces += n;
  }
  log->Write(
      "stages_again",
      {{"id", request->call.id},
       {"why", why},
       {"stages", stages.size()},
       {"pieces", pieces},
       {"stages_ms", request->stage_times},
       {"after_ms", (output->Now() - request->received_at) / kMillisecond}});
  request->stages_done = false;
  RunStages(request);
}

}  // namespace acaciachute
