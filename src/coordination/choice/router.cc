#include "coordination/choice/router.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Expected time until the replica would complete one more call. Urgent calls
// start before waiting patient ones, so patient calls count for them only by
// slowing down the batch.
double Score(const Replica& replica, CallerClass caller_class) {
  // Delay caused by a call in the same batch, relative to a call ahead in the
  // queue.
  constexpr double kBatchDelayShare = 0.1;
  const double slots = std::max(1U, replica.load.limit);
  const double total_calls = replica.Work();
  const double calls_ahead =
      caller_class == CallerClass::kUrgent
          ? replica.Urgent() + kBatchDelayShare * total_calls
          : total_calls;
  const double service = std::max(1U, replica.load.service_us);
  return service * (1 + calls_ahead / slots) * replica.health.Penalty();
}

}  // namespace

Replica* Router::Choose(TimeUs now,
                        const std::vector<Replica*>& pool,
                        const std::vector<NodeId>& tried,
                        CallerClass caller_class,
                        bool idempotent) {
  candidates_.clear();
  shunned_.clear();
  for (Replica* it : pool) {
    const bool already_tried =
        std::find(tried.begin(), tried.end(), it->address.node) != tried.end();
    if (already_tried || !it->TakesWork() || !it->health.reachable()) {
      continue;
    }
    if (!it->health.Takes(now, idempotent)) {
      shunned_.push_back(it);
      continue;
    }
    if (it->health.probing(now)) {
      it->health.OnProbe(now);
      return it;
    }
    candidates_.push_back(it);
  }
  if (candidates_.empty() && tried.empty()) {
    candidates_.swap(shunned_);
  }
  Replica* best = nullptr;
  double best_score = 0;
  const std::size_t samples =
      std::min<std::size_t>(kSamplesPerChoice, candidates_.size());
  for (std::size_t n = 0; n < samples; ++n) {
    // Sampling without replacement: each sample is moved behind those already
    // drawn.
    std::swap(candidates_[n],
              candidates_[n + random_->Below(candidates_.size() - n)]);
    const double score = Score(*candidates_[n], caller_class);
    if (best == nullptr || score < best_score) {
      best = candidates_[n];
      best_score = score;
    }
  }
  return best;
}

}  // namespace acaciachute
