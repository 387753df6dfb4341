#include "coordination/stages/queue_forecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace acaciachute {
namespace {

DurationUs ToDuration(double time) {
  return static_cast<DurationUs>(
      std::clamp(time, 0.0, static_cast<double>(QueueForecast::kMaxForecast)));
}

}  // namespace

// Half of a replica's memory is occupied by results that wait for their next
// stage.
double QueueForecast::WorkOf(const BatchLimits& limits,
                             std::uint64_t result_bytes) {
  std::uint64_t fit = limits.batch;
  if (result_bytes > 0) {
    fit = std::min(fit, limits.result_memory_bytes / (2 * result_bytes));
  }
  const auto pieces = static_cast<double>(std::max<std::uint64_t>(1, fit));
  return (static_cast<double>(limits.call) / pieces) +
         static_cast<double>(limits.piece);
}

void QueueForecast::OnQueued(TimeUs now,
                             const Queue& queue,
                             const PieceTask& task,
                             std::size_t level) {
  coming_.Remove(task.key.request, task.key.stage);
  const auto [it, inserted] =
      groups_.try_emplace({task.key.request, task.key.stage});
  Group& group = it->second;
  if (inserted) {
    group.level = level;
    group.queued_at = now;
    group.forecast = RawWait(now, queue, level);
  }
  ++group.waiting;
  const double decay = std::exp(static_cast<double>(arrivals_at_ - now) /
                                static_cast<double>(kArrivalWindow));
  for (double& arrived : arrivals_) {
    arrived *= decay;
  }
  arrivals_at_ = now;
  arrivals_[level] += WorkOf(task.result_bytes);
}

void QueueForecast::OnStarted(TimeUs now, const PieceKey& key) {
  const auto it = groups_.find({key.request, key.stage});
  if (it != groups_.end() && --it->second.waiting == 0) {
    Record(now, it->second);
    groups_.erase(it);
  }
}

void QueueForecast::OnGroupLeft(TimeUs now, const PieceKey& key) {
  const auto it = groups_.find({key.request, key.stage});
  if (it != groups_.end()) {
    RecordIfExceeded(now, it->second);
    groups_.erase(it);
  }
}

void QueueForecast::OnRequestLeft(const std::string& request) {
  coming_.RemoveRequest(request);
  auto it = groups_.lower_bound({request, 0});
  while (it != groups_.end() && it->first.first == request) {
    it = groups_.erase(it);
  }
}

// The rate counts in the smallest pieces, so that the one it adds is little.
void QueueForecast::OnCallStarted(TimeUs now, double work, bool more_waiting) {
  rate_.OnPiecesStarted(now, work / WorkOf(0), more_waiting);
}

void QueueForecast::OnTick(TimeUs now) {
  if (now < next_correction_at_) {
    return;
  }
  next_correction_at_ = now + kCorrectionPeriod;
  coming_.RemoveExpired(now);
  while (!outcomes_.empty() && now - outcomes_.front().at > kOutcomeWindow) {
    outcomes_.pop_front();
  }
  for (std::size_t n = 0; n < kLevels; ++n) {
    corrections_[n] = CorrectionOf(now, n);
  }
}

void QueueForecast::Announce(TimeUs now, const ComingPieces& coming) {
  coming_.Add(now, coming, coming.pieces * WorkOf(coming.result_bytes));
}

double QueueForecast::Granularity() const {
  return static_cast<double>(limits_.call + limits_.piece * limits_.batch);
}

double QueueForecast::RatioOf(TimeUs now, const Group& group) const {
  const auto actual = static_cast<double>(now - group.queued_at);
  const double margin = std::max(1.0, Granularity());
  return std::clamp((actual + margin) / (group.forecast + margin),
                    kMinCorrection, kMaxCorrection);
}

void QueueForecast::Record(TimeUs now, const Group& group) {
  outcomes_.push_back({now, group.level, RatioOf(now, group)});
  if (outcomes_.size() > kMaxOutcomes) {
    outcomes_.pop_front();
  }
}

void QueueForecast::RecordIfExceeded(TimeUs now, const Group& group) {
  if (RatioOf(now, group) > 1) {
    Record(now, group);
  }
}

std::vector<double> QueueForecast::RatiosOf(TimeUs now,
                                            std::size_t level) const {
  std::vector<double> of_level;
  std::vector<double> all;
  const auto add = [&](std::size_t its_level, double ratio) {
    all.push_back(ratio);
    if (its_level == level) {
      of_level.push_back(ratio);
    }
  };
  for (const Outcome& it : outcomes_) {
    add(it.level, it.ratio);
  }
  for (const auto& [key, group] : groups_) {
    if (const double ratio = RatioOf(now, group); ratio > 1) {
      add(group.level, ratio);
    }
  }
  return of_level.size() >= kMinLevelOutcomes ? of_level : all;
}

double QueueForecast::CorrectionOf(TimeUs now, std::size_t level) const {
  std::vector<double> ratios = RatiosOf(now, level);
  ratios.insert(ratios.end(), kAddedOutcomes, 1);
  const auto covered = static_cast<std::size_t>(
      std::ceil(kCoveredShare * static_cast<double>(ratios.size())));
  const auto it = ratios.begin() + static_cast<std::ptrdiff_t>(covered) - 1;
  std::nth_element(ratios.begin(), it, ratios.end());
  return *it;
}

double QueueForecast::Speed(TimeUs now, const Queue& queue) const {
  auto speed = static_cast<double>(queue.replicas);
  if (const auto time = rate_.TimePerPiece(now); time && *time > 0) {
    speed = std::min(speed, WorkOf(0) / *time);
  }
  return speed;
}

double QueueForecast::UrgentArrivals(TimeUs now, std::size_t level) const {
  const double decay = std::exp(static_cast<double>(arrivals_at_ - now) /
                                static_cast<double>(kArrivalWindow));
  return decay *
         std::accumulate(arrivals_.begin(),
                         arrivals_.begin() + static_cast<std::ptrdiff_t>(level),
                         0.0) /
         static_cast<double>(kArrivalWindow);
}

double QueueForecast::RawWait(TimeUs now,
                              const Queue& queue,
                              std::size_t level) const {
  if (queue.replicas == 0) {
    return static_cast<double>(kNoReplicaWait);
  }
  const double speed = Speed(now, queue);
  const double left =
      std::max(speed - UrgentArrivals(now, level), kMinSpeedShare * speed);
  const double ahead = std::accumulate(
      queue.ahead.begin(),
      queue.ahead.begin() + static_cast<std::ptrdiff_t>(level) + 1, 0.0);
  return static_cast<double>(queue.until_free) + (ahead > 0 ? ahead / left : 0);
}

double QueueForecast::Growth(TimeUs now,
                             const Queue& queue,
                             std::size_t level) const {
  const double speed = Speed(now, queue);
  if (speed <= 0 || level == kLateLevel) {
    return 0;
  }
  return std::max(0.0, UrgentArrivals(now, level + 1) / speed - 1) *
         static_cast<double>(kReportAge);
}

DurationUs QueueForecast::CorrectedWait(TimeUs now,
                                        const Queue& queue,
                                        std::size_t level) const {
  const double raw = RawWait(now, queue, level);
  if (groups_.empty()) {
    return ToDuration(raw);
  }
  const double corrected = corrections_[level] * (raw + Granularity()) -
                           Granularity() + Growth(now, queue, level);
  return ToDuration(corrected);
}

QueueWait QueueForecast::Expect(TimeUs now, const Queue& queue) const {
  QueueWait wait;
  for (std::size_t n = 0; n < QueueWait::kPriorityLevels; ++n) {
    wait.in_time[n] = CorrectedWait(now, queue, n);
  }
  wait.late = CorrectedWait(now, queue, kLateLevel);
  wait.speed = Speed(now, queue);
  const ComingWork::Load load = coming_.At(now);
  wait.coming_within = load.within;
  for (std::size_t n = 0; n < load.work.size() && wait.speed > 0; ++n) {
    wait.coming[n] = ToDuration(load.work[n] / wait.speed);
  }
  return wait;
}

}  // namespace acaciachute
