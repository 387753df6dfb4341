#include "coordination/admission/load_control.h"

#include <utility>

#include "coordination/choice/subset.h"

namespace acaciachute {
namespace {

// The newest answer has a weight of 1/kServiceAverageDivisor in a stage's
// average service time. At a few dozen answers per second, the average covers
// about the last second.
constexpr int kServiceAverageDivisor = 16;

}  // namespace

LoadControl::LoadControl(NodeId entry, ReplicaTable* replicas, Random* random)
    : entry_(std::move(entry)),
      replicas_(replicas),
      router_(random),
      return_schedule_(random) {}

PoolState* LoadControl::PoolNamed(std::string_view name) {
  const auto it = pools_.find({name.data(), name.size()});
  if (it != pools_.end()) {
    return it->second.get();
  }
  auto& pool = pools_[std::string(name)];
  pool = std::make_unique<PoolState>();
  return pool.get();
}

void LoadControl::OnSettings(SettingsPtr settings) {
  settings_ = std::move(settings);
  accounts_.Apply(*settings_);
  // Pools are kept because requests in progress are counted in them. Their sums
  // are rebuilt, because replicas may have been removed.
  for (auto& [unused, pool] : pools_) {
    pool->load.Clear();
    pool->subset.clear();
  }
  for (Replica* replica : replicas_->All()) {
    replica->counted_load = {};
    replica->in_subset = false;
    PoolNamed(replica->pool);
  }
  for (auto& [name, pool] : pools_) {
    pool->subset = SubsetOf(replicas_->InPool(name), entry_);
    for (Replica* replica : pool->subset) {
      replica->in_subset = true;
      pool->load.Update(replica);
    }
  }
  // Requests in progress keep the estimate that they were admitted under.
  estimates_.clear();
}

// The sums of a pool cover only the subset of replicas that this entry uses.
void LoadControl::Update(Replica* replica) {
  if (replica->in_subset) {
    PoolNamed(replica->pool)->load.Update(replica);
  }
}

void LoadControl::OnReport(Replica* replica) {
  replica->own_at_report = replica->own_in_progress;
  replica->own_urgent_at_report = replica->own_urgent;
  replica->health.OnReport();
  Update(replica);
}

void LoadControl::OnUnreachable(Replica* replica) {
  replica->health.OnUnreachable();
  Update(replica);
}

const std::shared_ptr<PipelineEstimate>& LoadControl::EstimateOf(
    std::string_view name,
    const Event& event) {
  auto& estimate = estimates_[std::string(name)];
  if (estimate == nullptr) {
    estimate = std::make_shared<PipelineEstimate>();
    for (const Stage& stage : event.stages) {
      estimate->push_back({PoolNamed(stage.pool), 0});
    }
  }
  return estimate;
}

LoadDecision LoadControl::Admit(TimeUs now,
                                std::string_view event_name,
                                const Event& event,
                                std::string_view account,
                                CallerClass caller_class,
                                DurationUs time_left,
                                RequestLoad* load) {
  retry_budget_.OnTime(now);
  const auto& pipeline = EstimateOf(event_name, event);
  Arrival arrival;
  arrival.caller_class = caller_class;
  arrival.account = accounts_.IndexOf(account);
  arrival.weight = accounts_.WeightOf(arrival.account);
  arrival.time_left = time_left;
  const AdmissionVerdict verdict = admission_.Decide(*pipeline, arrival);
  if (verdict.reason != Refusal::kNone) {
    return {verdict.reason,
            return_schedule_.Next(now, verdict.wait,
                                  verdict.pool->load.MeanCompletionInterval())};
  }
  load->pipeline = pipeline;
  load->caller_class = caller_class;
  load->account = arrival.account;
  load->stage = 0;
  load->started = false;
  for (const StageEstimate& it : *pipeline) {
    it.pool->load.AddPending(caller_class, 1);
    const bool full = it.pool->load.Wait(CallerClass::kPatient) > 0;
    it.pool->fair_share.Spend(arrival.account, arrival.weight, full);
  }
  return {};
}

void LoadControl::LeaveStage(RequestLoad* load) {
  if (!load->started) {
    (*load->pipeline)[load->stage].pool->load.AddPending(load->caller_class,
                                                         -1);
  }
  ++load->stage;
  load->started = false;
}

void LoadControl::OnRequestEnd(RequestLoad* load) {
  if (load->pipeline == nullptr) {
    return;
  }
  while (load->stage < load->pipeline->size()) {
    LeaveStage(load);
  }
  load->pipeline.reset();
}

Replica* LoadControl::Choose(TimeUs now,
                             const SettingsPtr& settings,
                             std::string_view pool,
                             const std::vector<NodeId>& tried,
                             CallerClass caller_class,
                             bool idempotent) {
  if (settings == settings_) {
    Replica* replica = router_.Choose(now, PoolNamed(pool)->subset, tried,
                                      caller_class, idempotent);
    // Falls back to the whole pool only if no replica of the subset accepts the
    // call.
    return replica != nullptr ? replica
                              : router_.Choose(now, replicas_->InPool(pool),
                                               tried, caller_class, idempotent);
  }
  // A replica may have moved to another pool since the request was admitted,
  // and must not get the wrong stage. The request keeps the pool of the
  // settings that it was admitted under.
  const Pool* old_pool = settings->FindPool(pool);
  std::vector<Replica*> known_replicas;
  for (const auto& address : old_pool == nullptr ? std::vector<ReplicaAddress>()
                                                 : old_pool->replicas) {
    if (Replica* replica = replicas_->Find(address.node)) {
      known_replicas.push_back(replica);
    }
  }
  return router_.Choose(now, known_replicas, tried, caller_class, idempotent);
}

void LoadControl::OnAttemptStart(RequestLoad* load, Replica* replica) {
  if (!load->started) {
    load->started = true;
    PoolNamed(replica->pool)->load.AddPending(load->caller_class, -1);
    retry_budget_.OnFirstAttempt();
  }
  ++replica->own_in_progress;
  replica->own_urgent += load->caller_class == CallerClass::kUrgent ? 1 : 0;
  Update(replica);
}

void LoadControl::OnAttemptEnd(TimeUs now,
                               RequestLoad* load,
                               Replica* replica,
                               AttemptEnd end,
                               DurationUs service) {
  if (replica != nullptr) {
    const auto decrement = [](std::uint32_t* n) { *n -= *n > 0 ? 1 : 0; };
    decrement(&replica->own_in_progress);
    if (load->caller_class == CallerClass::kUrgent) {
      decrement(&replica->own_urgent);
    }
    if (end == AttemptEnd::kAnswered) {
      replica->health.OnSuccess();
    } else if (end == AttemptEnd::kFailed) {
      replica->health.OnFailure(now);
    } else if (end == AttemptEnd::kUnsent) {
      replica->health.OnUnreachable();
    }
    Update(replica);
  }
  if (end != AttemptEnd::kAnswered) {
    return;
  }
  StageEstimate& estimate = (*load->pipeline)[load->stage];
  estimate.service = estimate.service == 0
                         ? service
                         : estimate.service + (service - estimate.service) /
                                                  kServiceAverageDivisor;
  estimate.pool->load.OnAnswer(load->caller_class);
  estimate.pool->fair_share.OnAnswer();
  LeaveStage(load);
}

}  // namespace acaciachute
