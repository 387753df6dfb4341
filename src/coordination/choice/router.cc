#include "coordination/choice/router.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Expected time until the replica would answer one more call. Urgent calls
// start before waiting patient ones, so these count for them only as the
// company in a batch.
double Score(const Replica& replica, CallerClass caller_class) {
  constexpr double kCompany = 0.1;  // Measured at the stand-in engine's batch.
  const double slots = std::max(1U, replica.load.limit);
  const double all = replica.Work();
  const double ahead = caller_class == CallerClass::kUrgent
                           ? replica.Urgent() + kCompany * all
                           : all;
  const double service = std::max(1U, replica.load.service_us);
  return service * (1 + ahead / slots) * replica.health.Penalty();
}

}  // namespace

Replica* Router::Choose(TimeUs now,
                        const std::vector<Replica*>& pool,
                        const std::vector<NodeId>& tried,
                        CallerClass caller_class,
                        bool idempotent) {
  open_.clear();
  shunned_.clear();
  for (Replica* it : pool) {
    const bool again =
        std::find(tried.begin(), tried.end(), it->address.node) != tried.end();
    if (again || !it->TakesWork() || !it->health.reachable()) {
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
    open_.push_back(it);
  }
  if (open_.empty() && tried.empty()) {
    open_.swap(shunned_);
  }
  Replica* best = nullptr;
  double best_score = 0;
  const std::size_t samples = std::min<std::size_t>(kSamples, open_.size());
  for (std::size_t n = 0; n < samples; ++n) {
    // Without repeats: each sample is moved behind those already drawn.
    std::swap(open_[n], open_[n + random_->Below(open_.size() - n)]);
    const double score = Score(*open_[n], caller_class);
    if (best == nullptr || score < best_score) {
      best = open_[n];
      best_score = score;
    }
  }
  return best;
}

}  // namespace acaciachute
