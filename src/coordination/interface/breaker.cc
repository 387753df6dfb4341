#include "coordination/interface/breaker.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Inverse weight of the newest answer time in the moving average.
constexpr DurationUs kMeanInverseWeight = 8;

}  // namespace

bool Breaker::IsDown(TimeUs now) const {
  if (consecutive_failures_ >= kMinFailures &&
      now - first_failure_ >= kMinFailuresSpan) {
    return true;
  }
  if (calls_.empty()) {
    return false;
  }
  const TimeUs oldest = calls_.begin()->second;
  return now - oldest > kUnansweredTimeout && last_answer_ < oldest;
}

bool Breaker::Allows(TimeUs now) {
  if (IsDown(now)) {
    if (now < next_probe_) {
      return false;
    }
    next_probe_ = now + kProbeInterval +
                  static_cast<DurationUs>(random_->Below(kProbeInterval));
    return true;
  }
  return static_cast<int>(calls_.size()) < limit_;
}

void Breaker::OnStart(TimeUs now, std::uint64_t call) {
  calls_[call] = now;
}

void Breaker::OnEnd(TimeUs now, std::uint64_t call, CallOutcome outcome) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    return;
  }
  const DurationUs took = now - it->second;
  calls_.erase(it);
  if (outcome == CallOutcome::kAnswered && took <= kMaxUsefulAnswerTime) {
    consecutive_failures_ = 0;
    last_answer_ = now;
    mean_answer_time_ += (took - mean_answer_time_) / kMeanInverseWeight;
    limit_ = std::min(kMaxConcurrentCalls, limit_ + 1);
    return;
  }
  if (outcome == CallOutcome::kAnswered) {
    // Too late to be of use for a claim: it neither resets nor increases the
    // number of failures.
    mean_answer_time_ += (took - mean_answer_time_) / kMeanInverseWeight;
    return;
  }
  if (consecutive_failures_++ == 0) {
    first_failure_ = now;
  }
  limit_ = std::max(1, limit_ / 2);
}

PlatformState Breaker::state(TimeUs now) const {
  if (IsDown(now)) {
    return PlatformState::kDown;
  }
  return mean_answer_time_ > kSlowAnswerTime ? PlatformState::kSlow
                                             : PlatformState::kUp;
}

}  // namespace acaciachute
