// Judges the retry budget from what arrives at replicas, on the replicas' own
// clock: for each service, the arrivals beyond the first of each request, over
// all gateways, in any window.
//
// Gateways count what they decide to send, each on its own. That count cannot
// show retries that nobody counts, a share taken again after a restart, or
// retries sent over a long time that arrive together.
#ifndef ACACIACHUTE_TESTS_SOAK_RETRY_JUDGE_H_
#define ACACIACHUTE_TESTS_SOAK_RETRY_JUDGE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/host_settings.h"
#include "types.h"

namespace acaciachute {

// The window of a service in which retries use the largest share of what is
// allowed.
struct RetryWindow {
  std::string service;
  TimeUs end = 0;  // The window ends here and includes this instant.
  std::size_t retries = 0;
  std::size_t requests = 0;  // On which the allowance rests.
  double allowed = 0;

  bool Exceeded() const { return static_cast<double>(retries) > allowed; }
};

class RetryJudge {
 public:
  explicit RetryJudge(const ServiceRetryBudgetLimits& limits)
      : limits_(limits) {}

  // A client sent a request that needs `service`, whether it arrives or not.
  // Call it once for each service of a request.
  void OnRequest(TimeUs now, const std::string& service);
  // A replica of `service` received `unit`: a request, or a piece of one.
  void OnArrival(TimeUs now,
                 const std::string& service,
                 const std::string& unit);

  // The worst window of each service.
  std::vector<RetryWindow> WorstWindows() const;

 private:
  struct ServiceRecord {
    std::vector<TimeUs> requests;  // Ascending, as the times of `retries`.
    std::vector<TimeUs> retries;
    std::set<std::string> arrived;
  };

  RetryWindow WindowEndingAt(const std::string& service,
                             const ServiceRecord& record,
                             std::size_t last) const;

  const ServiceRetryBudgetLimits limits_;
  std::map<std::string, ServiceRecord> services_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_RETRY_JUDGE_H_
