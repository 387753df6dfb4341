#include "coordination/admission/concurrency_limit.h"

#include <algorithm>

namespace acaciachute {
namespace {

// As in service_times.cc.
constexpr int kMedianStep = 16;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t most)
    : most_(std::max(1U, most)), limit_(most_) {}

void ConcurrencyLimit::Observe(TimeUs now, DurationUs service) {
  if (median_ == 0) {
    median_ = service;
    best_current_ = best_previous_ = service;
    window_start_ = now;
  }
  const DurationUs step = std::max<DurationUs>(1, median_ / kMedianStep);
  median_ += service > median_ ? step : service < median_ ? -step : 0;
  if (now - window_start_ > kWindow) {
    best_previous_ = best_current_;
    best_current_ = median_;
    window_start_ = now;
  }
  best_current_ = std::min(best_current_, median_);
}

DurationUs ConcurrencyLimit::Best() const {
  return std::min(best_current_, best_previous_);
}

void ConcurrencyLimit::OnAnswer(TimeUs now,
                                DurationUs service,
                                std::uint32_t in_progress) {
  Observe(now, service);
  // Failure: the work itself becomes slower, as in a longer prompt mix.
  // Symptom: latency reads as a queue, the limit falls to one, and the engine's
  // batch runs empty while calls wait. An upstream that reports its slots says
  // itself whether calls wait in it; latency speaks only for one that does not.
  const bool slow =
      static_cast<double>(median_) > kSlow * static_cast<double>(Best());
  if (upstream_slots_ == 0 && slow) {
    Decrease(now);
    return;
  }
  // An unused limit says nothing of what the upstream could take.
  if (in_progress >= Current()) {
    const double most =
        upstream_slots_ == 0
            ? most_
            : std::min(most_, static_cast<double>(upstream_slots_));
    limit_ = std::max(limit_, std::min(most, limit_ + 1.0 / limit_));
  }
}

void ConcurrencyLimit::OnReport(TimeUs now,
                                TimeUs asked_at,
                                const LoadReport& report) {
  upstream_slots_ = report.limit;
  if (upstream_slots_ > 0) {
    limit_ = std::min(limit_, static_cast<double>(upstream_slots_));
  }
  if (report.queued > 0 && asked_at > decreased_at_) {
    Decrease(now);
  }
}

void ConcurrencyLimit::Decrease(TimeUs now) {
  if (decreased_at_ != 0 && now - decreased_at_ < std::max(kMinGap, median_)) {
    return;
  }
  decreased_at_ = now;
  limit_ = std::max(1.0, limit_ * kDecrease);
}

}  // namespace acaciachute
