// Adds up the retries in gateways' logs: for each service the window with most
// of them, and which gateways sent them, why and on which part of the budget.
#ifndef ACACIACHUTE_SRC_CTL_RETRY_WINDOWS_H_
#define ACACIACHUTE_SRC_CTL_RETRY_WINDOWS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// Retries of one gateway, for one reason, within the worst window of a service.
struct RetryShare {
  std::string service;
  TimeUs window_end = 0;        // Wall-clock time.
  std::uint64_t in_window = 0;  // Retries of all gateways in the window.
  std::string gateway;
  std::string reason;
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;  // By the budget; not sent.
  // Among how many gateways this one divided the fixed part, at the least.
  // Zero: it did not know the others.
  std::uint64_t gateways = 0;
};

class RetryReader {
 public:
  explicit RetryReader(DurationUs window) : window_(window) {}

  void AddLine(const nlohmann::json& line);
  // By service; the gateway that sent most comes first.
  std::vector<RetryShare> WorstWindows() const;

 private:
  struct Line {
    TimeUs time = 0;
    std::string gateway;
    std::string reason;
    bool sent = false;
    std::uint64_t count = 0;
    std::uint64_t gateways = 0;
  };

  // The lines of the window with most retries, in order of time.
  std::vector<Line> WorstWindow(std::vector<Line> lines) const;

  const DurationUs window_;
  std::map<std::string, std::vector<Line>> lines_;  // By service.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_RETRY_WINDOWS_H_
