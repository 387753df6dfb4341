#include "coordination/interface/breaker.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Weight of the newest answer in the moving mean.
constexpr DurationUs kMeanWeight = 8;

}  // namespace

bool Breaker::IsDown(TimeUs now) const {
  if (failures_ >= kFailures && now - first_failure_ >= kFailuresSpan) {
    return true;
  }
  if (calls_.empty()) {
    return false;
  }
  const TimeUs oldest = calls_.begin()->second;
  return now - oldest > kSilence && last_answer_ < oldest;
}

bool Breaker::Allows(TimeUs now) {
  if (IsDown(now)) {
    if (now < next_try_) {
      return false;
    }
    next_try_ =
        now + kTryPeriod + static_cast<DurationUs>(random_->Below(kTryPeriod));
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
  if (outcome == CallOutcome::kAnswered && took <= kUseful) {
    failures_ = 0;
    last_answer_ = now;
    mean_ += (took - mean_) / kMeanWeight;
    limit_ = std::min(kMaxSideBySide, limit_ + 1);
    return;
  }
  if (outcome == CallOutcome::kAnswered) {
    // Too late for a claim, so it neither proves "up" nor adds to "down".
    mean_ += (took - mean_) / kMeanWeight;
    return;
  }
  if (failures_++ == 0) {
    first_failure_ = now;
  }
  limit_ = std::max(1, limit_ / 2);
}

PlatformState Breaker::state(TimeUs now) const {
  if (IsDown(now)) {
    return PlatformState::kDown;
  }
  return mean_ > kSlow ? PlatformState::kSlow : PlatformState::kUp;
}

}  // namespace acaciachute
