#include "coordination/choice/plain_choice.h"

#include <algorithm>
#include <cmath>

namespace acaciachute {

PlainChoice::PlainChoice(const ReplicaDirectory* directory,
                         ColdReplicaLimiter* cold,
                         Random* random)
    : directory_(directory), cold_(cold), random_(random) {}

double PlainChoice::Score(TimeUs now,
                          const ReplicaEntry& replica,
                          const std::string& domain) {
  State& state = states_[replica.id];
  const double fade = std::exp(-static_cast<double>(now - state.measured_at) /
                               static_cast<double>(kForget));
  double time = typical_ + (state.answer_time - typical_) * fade;
  if (!state.sent.empty()) {
    time = std::max(time, static_cast<double>(now - *state.sent.begin()));
  }
  if (now < replica.cold_until) {
    constexpr double kCold = 1.5;
    time *= kCold;
  }
  // Two links to another failure domain and back.
  constexpr double kFar = 2.5 * kMillisecond;
  if (replica.domain != domain) {
    time += kFar;
  }
  const double slots = std::max(1U, replica.slots);
  const double ahead = static_cast<double>(state.sent.size()) / slots;
  return time * (1 + ahead) * state.health.Penalty();
}

const ReplicaEntry* PlainChoice::Choose(TimeUs now,
                                        const std::string& service,
                                        const std::string& domain,
                                        const std::vector<ReplicaId>& tried,
                                        bool may_repeat) {
  const ReplicaEntry* best = nullptr;
  const ReplicaEntry* shunned = nullptr;
  double best_score = 0;
  for (const ReplicaEntry* it : directory_->Of(service)) {
    if (std::find(tried.begin(), tried.end(), it->id) != tried.end() ||
        !cold_->Takes(now, *it)) {
      continue;
    }
    ReplicaHealth& health = states_[it->id].health;
    if (!health.Takes(now, may_repeat)) {
      shunned = it;
      continue;
    }
    if (health.probing(now)) {
      health.OnProbe(now);
      return it;
    }
    // Up to a tenth at random, so that entries do not move in step.
    const double jitter =
        1 + 0.1 * static_cast<double>(random_->Below(100)) / 100;
    const double score = Score(now, *it, domain) * jitter;
    if (best == nullptr || score < best_score) {
      best = it;
      best_score = score;
    }
  }
  return best != nullptr ? best : shunned;
}

void PlainChoice::OnSent(TimeUs now, const ReplicaId& replica) {
  states_[replica].sent.insert(now);
}

void PlainChoice::OnAnswer(TimeUs now,
                           const ReplicaId& replica,
                           TimeUs sent_at) {
  State& state = states_[replica];
  const auto time = static_cast<double>(now - sent_at);
  state.answer_time += kNewest * (time - state.answer_time);
  state.measured_at = now;
  state.health.OnSuccess();
  // Slow replicas barely move it: each answer counts at most double.
  constexpr double kTypicalWeight = 0.05;
  typical_ += kTypicalWeight * (std::min(time, 2 * typical_) - typical_);
}

void PlainChoice::OnFailure(TimeUs now, const ReplicaId& replica) {
  states_[replica].health.OnFailure(now);
}

void PlainChoice::OnEnded(const ReplicaId& replica, TimeUs sent_at) {
  auto& sent = states_[replica].sent;
  if (const auto it = sent.find(sent_at); it != sent.end()) {
    sent.erase(it);
  }
}

void PlainChoice::OnReplicaGone(const ReplicaId& replica) {
  states_.erase(replica);
}

}  // namespace acaciachute
