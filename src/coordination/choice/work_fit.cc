#include "coordination/choice/work_fit.h"

#include <algorithm>
#include <cmath>

namespace acaciachute {
namespace {

constexpr double kShortestMs = 0.1;
constexpr std::size_t kReadTerm = 2;

}  // namespace

WorkFit::WorkFit(const Terms& start, const Terms& spread)
    : costs_(start), start_(start), spread_(spread), deviation_(spread[0]) {
  for (std::size_t n = 0; n < kTerms; ++n) {
    covariance_[n][n] = spread[n] * spread[n];
  }
}

WorkFit::Terms WorkFit::TermsOf(const ReplicaWork& work) {
  constexpr double kThousand = 1000;
  const double waiting = std::max(0.0, work.in_progress + 1 - work.slots);
  return {1, work.unread_tokens / kThousand, work.read_tokens / kThousand,
          work.Share(), waiting / work.slots};
}

double WorkFit::CostOf(std::size_t term) const {
  return std::max(kLeastShareOfStart * start_[term], costs_[term]);
}

double WorkFit::Sum(const Terms& terms) const {
  double sum = 0;
  for (std::size_t n = 0; n < kTerms; ++n) {
    sum += CostOf(n) * terms[n];
  }
  return sum;
}

double WorkFit::Predict(const ReplicaWork& work) const {
  return std::max(kShortestMs, Sum(TermsOf(work)));
}

double WorkFit::ReadCost() const {
  return CostOf(kReadTerm);
}

void WorkFit::Add(const ReplicaWork& work, double ms) {
  const Terms terms = TermsOf(work);
  Terms gain{};
  double error = ms;
  double variance = deviation_ * deviation_;
  for (std::size_t row = 0; row < kTerms; ++row) {
    error -= costs_[row] * terms[row];
    for (std::size_t n = 0; n < kTerms; ++n) {
      gain[row] += covariance_[row][n] * terms[n];
    }
    variance += terms[row] * gain[row];
  }
  const double limit = kMaxDeviations * deviation_;
  error = std::clamp(error, -limit, limit);
  deviation_ += kDeviationWeight * (std::abs(error) - deviation_);
  deviation_ = std::max(deviation_, kShortestMs);
  for (std::size_t row = 0; row < kTerms; ++row) {
    costs_[row] += gain[row] * error / variance;
    for (std::size_t n = 0; n < kTerms; ++n) {
      covariance_[row][n] -= gain[row] * gain[n] / variance;
    }
  }
  Forget();
  ++observations_;
}

// Without variety in a term its variance would grow without bound, and one
// outlier would then overturn its cost.
void WorkFit::Forget() {
  Terms scale{};
  for (std::size_t n = 0; n < kTerms; ++n) {
    const double variance = covariance_[n][n] / kForgetting;
    const double most = spread_[n] * spread_[n];
    scale[n] = std::sqrt(std::min(variance, most) /
                         std::max(covariance_[n][n], 1e-12));
  }
  for (std::size_t row = 0; row < kTerms; ++row) {
    for (std::size_t n = 0; n < kTerms; ++n) {
      covariance_[row][n] *= scale[row] * scale[n];
    }
  }
}

}  // namespace acaciachute
