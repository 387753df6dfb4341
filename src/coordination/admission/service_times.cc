#include "coordination/admission/service_times.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Each answer moves the median estimate up or down by a sixteenth of its value.
// This finds the median of any distribution without storing answers (Ma,
// Muthukrishnan and Sandler, "Frugal streaming", 2013) and follows a doubling
// within about twelve answers.
constexpr int kMedianStepDivisor = 16;

void AddToAverage(DurationUs* mean, DurationUs value) {
  *mean = *mean == 0 ? value
                     : *mean + (value - *mean) / ServiceTimes::kAverageDivisor;
}

}  // namespace

void ServiceTimes::OnAnswer(const StageCall& call, DurationUs service) {
  AddToAverage(&mean_, service);
  if (median_ == 0) {
    median_ = service;
  } else {
    const DurationUs step =
        std::max<DurationUs>(1, median_ / kMedianStepDivisor);
    median_ += service > median_ ? step : service < median_ ? -step : 0;
  }
  const auto it = by_path_.find(call.path);
  if (it != by_path_.end()) {
    AddToAverage(&it->second, service);
  } else if (by_path_.size() < kMaxPaths) {
    by_path_[call.path] = service;
  }
}

DurationUs ServiceTimes::Expected(const StageCall& call) const {
  if (call.expected_service > 0) {
    return call.expected_service;
  }
  const auto it = by_path_.find(call.path);
  return it == by_path_.end() ? mean_ : it->second;
}

bool ServiceTimes::IsLong(const StageCall& call) const {
  return median_ > 0 && Expected(call) > kLongFactor * median_;
}

}  // namespace acaciachute
