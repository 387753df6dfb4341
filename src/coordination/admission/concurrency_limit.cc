#include "coordination/admission/concurrency_limit.h"

#include <algorithm>

namespace acaciachute {
namespace {

// See service_times.cc.
constexpr int kMedianStepDivisor = 16;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t max_limit)
    : max_limit_(std::max(1U, max_limit)), limit_(max_limit_) {}

void ConcurrencyLimit::Observe(TimeUs now, DurationUs service) {
  if (median_ == 0) {
    median_ = service;
    best_in_window_ = best_in_previous_window_ = service;
    window_start_ = now;
  }
  const DurationUs step = std::max<DurationUs>(1, median_ / kMedianStepDivisor);
  median_ += service > median_ ? step : service < median_ ? -step : 0;
  if (now - window_start_ > kBestMedianWindow) {
    best_in_previous_window_ = best_in_window_;
    best_in_window_ = median_;
    window_start_ = now;
  }
  best_in_window_ = std::min(best_in_window_, median_);
}

DurationUs ConcurrencyLimit::BestMedian() const {
  return std::min(best_in_window_, best_in_previous_window_);
}

void ConcurrencyLimit::OnAnswer(TimeUs now,
                                DurationUs service,
                                std::uint32_t in_progress) {
  Observe(now, service);
  // If the work itself becomes slower, for example because prompts are longer,
  // the latency looks like queueing: the limit would fall to one, and the
  // engine's batch would become empty while calls wait. An upstream that
  // reports its slots also reports whether calls wait in it, so latency is used
  // only for upstreams that do not.
  const bool slow = static_cast<double>(median_) >
                    kSlowFactor * static_cast<double>(BestMedian());
  if (upstream_slots_ == 0 && slow) {
    Decrease(now);
    return;
  }
  // If the limit is not fully used, answers do not show whether the upstream
  // could handle more.
  if (in_progress >= Current()) {
    const double max_limit =
        upstream_slots_ == 0
            ? max_limit_
            : std::min(max_limit_, static_cast<double>(upstream_slots_));
    limit_ = std::max(limit_, std::min(max_limit, limit_ + 1.0 / limit_));
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
  if (decreased_at_ != 0 &&
      now - decreased_at_ < std::max(kMinDecreaseInterval, median_)) {
    return;
  }
  decreased_at_ = now;
  limit_ = std::max(1.0, limit_ * kDecreaseFactor);
}

}  // namespace acaciachute
