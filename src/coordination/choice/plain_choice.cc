#include "coordination/choice/plain_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciachute {

PlainChoice::PlainChoice(const ReplicaDirectory* directory,
                         ReplicaRateLimiter* replica_rate_limiter,
                         Random* random,
                         LearnedCapacity* capacity)
    : directory_(directory),
      replica_rate_limiter_(replica_rate_limiter),
      random_(random),
      capacity_(capacity) {}

ReplicaWork PlainChoice::WorkFor(TimeUs now, const ReplicaEntry& replica) {
  ReplicaWork work;
  work.in_progress = static_cast<double>(states_[replica.id].sent_times.size());
  work.slots = std::max(1U, replica.slots);
  if (capacity_ != nullptr) {
    work.in_progress = std::max(work.in_progress,
                                capacity_->StatedInProgress(now, replica.id));
  }
  return work;
}

double PlainChoice::OwnEstimate(TimeUs now, const State& state) const {
  const double age_weight =
      std::exp(-static_cast<double>(now - state.measured_at) /
               static_cast<double>(kObservationDecayTime));
  return typical_answer_time_ +
         (state.answer_time - typical_answer_time_) * age_weight;
}

double PlainChoice::Score(const Choice& choice, const ReplicaEntry& replica) {
  State& state = states_[replica.id];
  const TimeUs now = choice.now;
  double time = choice.learned == nullptr
                    ? OwnEstimate(now, state)
                    : kMillisecond * capacity_->ExpectedMs(
                                         now, *choice.learned, replica.id,
                                         WorkFor(now, replica));
  if (!state.sent_times.empty()) {
    time = std::max(time, static_cast<double>(now - *state.sent_times.begin()));
  }
  if (now < replica.cold_until) {
    constexpr double kColdSlowdown = 1.5;
    time *= kColdSlowdown;
  }
  // Time on the two network links to another failure domain and back.
  constexpr double kCrossDomainTime = 2.5 * kMillisecond;
  if (replica.domain != choice.domain) {
    time += kCrossDomainTime;
  }
  if (choice.learned == nullptr) {
    const double slots = std::max(1U, replica.slots);
    time *= 1 + static_cast<double>(state.sent_times.size()) / slots;
  }
  return time * state.health.Penalty();
}

PlainChoice::Rank PlainChoice::RankOf(const Choice& choice,
                                      const ReplicaEntry& replica) const {
  const RecentRefusals& refusals = replica_rate_limiter_->refusals();
  if (refusals.IsMisdirected(choice.now, replica.id)) {
    return Rank::kMisdirected;
  }
  if (replica.superseded) {
    return Rank::kSuperseded;
  }
  const bool full =
      choice.learned != nullptr && capacity_->IsFull(choice.now, replica.id);
  return full || refusals.IsAvoided(choice.now, replica.id) ? Rank::kLast
                                                            : Rank::kNormal;
}

const ReplicaEntry* PlainChoice::Choose(TimeUs now,
                                        const std::string& service,
                                        const std::string& domain,
                                        const std::vector<ReplicaId>& tried,
                                        bool may_probe) {
  const ReplicaEntry* best = nullptr;
  const ReplicaEntry* avoided = nullptr;
  std::pair<Rank, double> best_score;
  const Choice choice = {
      now, domain,
      capacity_ == nullptr ? nullptr : capacity_->Find(now, service)};
  for (const ReplicaEntry* it : directory_->Of(service)) {
    if (std::find(tried.begin(), tried.end(), it->id) != tried.end() ||
        !replica_rate_limiter_->MaySend(now, *it)) {
      continue;
    }
    ReplicaHealth& health = states_[it->id].health;
    const Rank rank = RankOf(choice, *it);
    const bool has_ended = rank >= Rank::kSuperseded;
    const bool probing = health.probing(now);
    if (!health.AcceptsCall(now, may_probe) || (probing && has_ended)) {
      avoided = it;
      continue;
    }
    if (probing) {
      health.OnProbe(now);
      return it;
    }
    // Random increase of up to a tenth, so that gateways do not all switch to
    // the same replica at once.
    const double jitter =
        1 + 0.1 * static_cast<double>(random_->Below(100)) / 100;
    const std::pair score = {rank, Score(choice, *it) * jitter};
    if (best == nullptr || score < best_score) {
      best = it;
      best_score = score;
    }
  }
  return best != nullptr ? best : avoided;
}

void PlainChoice::OnSent(TimeUs now, const ReplicaId& replica) {
  states_[replica].sent_times.insert(now);
}

void PlainChoice::OnAnswer(TimeUs now,
                           const ReplicaId& replica,
                           TimeUs sent_at) {
  State& state = states_[replica];
  const auto time = static_cast<double>(now - sent_at);
  state.answer_time += kNewestAnswerWeight * (time - state.answer_time);
  state.measured_at = now;
  state.health.OnSuccess();
  // An answer counts as at most twice the typical time, so that slow replicas
  // hardly change it.
  constexpr double kTypicalAnswerWeight = 0.05;
  typical_answer_time_ +=
      kTypicalAnswerWeight *
      (std::min(time, 2 * typical_answer_time_) - typical_answer_time_);
}

void PlainChoice::OnFailure(TimeUs now, const ReplicaId& replica) {
  states_[replica].health.OnFailure(now);
}

void PlainChoice::OnEnded(const ReplicaId& replica, TimeUs sent_at) {
  auto& sent_times = states_[replica].sent_times;
  if (const auto it = sent_times.find(sent_at); it != sent_times.end()) {
    sent_times.erase(it);
  }
}

void PlainChoice::OnReplicaRemoved(const ReplicaId& replica) {
  states_.erase(replica);
}

}  // namespace acaciachute
