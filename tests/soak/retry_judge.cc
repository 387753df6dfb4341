#include "tests/soak/retry_judge.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Number of the ascending `times` in [`from`, `to`].
std::size_t CountBetween(const std::vector<TimeUs>& times,
                         TimeUs from,
                         TimeUs to) {
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  const auto last = std::upper_bound(times.begin(), times.end(), to);
  return first < last ? static_cast<std::size_t>(last - first) : 0;
}

}  // namespace

void RetryJudge::OnRequest(TimeUs now, const std::string& service) {
  services_[service].requests.push_back(now);
}

void RetryJudge::OnArrival(TimeUs now,
                           const std::string& service,
                           const std::string& unit) {
  ServiceRecord& record = services_[service];
  if (!record.arrived.insert(unit).second) {
    record.retries.push_back(now);
  }
}

// The requests count in the window, in the one before it or in the one half a
// window before it, whichever has most.
RetryWindow RetryJudge::WindowEndingAt(const std::string& service,
                                       const ServiceRecord& record,
                                       std::size_t last) const {
  RetryWindow window;
  window.service = service;
  window.end = record.retries[last];
  const TimeUs start = window.end - limits_.window;
  window.retries = CountBetween(record.retries, start, window.end);
  for (const DurationUs earlier :
       {DurationUs{0}, limits_.window / 2, limits_.window}) {
    window.requests = std::max(
        window.requests,
        CountBetween(record.requests, start - earlier, window.end - earlier));
  }
  window.allowed =
      limits_.slack + limits_.ratio * static_cast<double>(window.requests);
  return window;
}

std::vector<RetryWindow> RetryJudge::WorstWindows() const {
  std::vector<RetryWindow> worst;
  const auto used_share = [](const RetryWindow& it) {
    return static_cast<double>(it.retries) / it.allowed;
  };
  for (const auto& [service, record] : services_) {
    RetryWindow of_service;
    of_service.service = service;
    of_service.allowed = limits_.slack;
    for (std::size_t n = 0; n < record.retries.size(); ++n) {
      const RetryWindow window = WindowEndingAt(service, record, n);
      if (used_share(window) > used_share(of_service)) {
        of_service = window;
      }
    }
    worst.push_back(of_service);
  }
  return worst;
}

}  // namespace acaciachute
