// Summarizes gateways' logs: counts and latencies of requests by route and
// outcome, the causes of failures and retries, and the work of the stages.
#ifndef ACACIACHUTE_SRC_CTL_LOAD_SUMMARY_H_
#define ACACIACHUTE_SRC_CTL_LOAD_SUMMARY_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "types.h"

namespace acaciachute {

// Requests of one route with the same admission and outcome.
struct LoadRow {
  std::string route;
  // Decision at admission, such as "in_time" or "late"; "?" in lines without
  // it.
  std::string admitted;
  std::string outcome;  // "in_time" or "late" if answered completely.
  std::size_t requests = 0;
  // Median and 99th percentile of the requests' time in the gateway.
  std::int64_t median_ms = 0;
  std::int64_t p99_ms = 0;
  // Median of the wait that was expected when the requests were admitted.
  std::int64_t expected_wait_ms = 0;
};

// A reason why requests were refused, abandoned or retried.
struct LoadCause {
  std::string event;
  std::string reason;
  std::string detail;  // Numbers of several digits are replaced by "N".
  std::size_t times = 0;
};

struct StageLoad {
  std::string service;
  std::size_t calls = 0;
  std::size_t pieces = 0;
  std::size_t most_waiting = 0;  // Maximum number of queued pieces.
  // Mean over calls of the ratio of actual to configured duration.
  double slowness = 0;
};

struct LoadSummary {
  std::vector<LoadRow> rows;      // By route.
  std::vector<LoadCause> causes;  // By descending frequency.
  std::vector<StageLoad> stages;
};

// Processes log lines one at a time and stores only their numbers, so that the
// logs of a hundred gateways fit into memory.
class LoadReader {
 public:
  void AddLine(const nlohmann::json& line);
  LoadSummary Summary() const;

 private:
  struct Group {
    std::vector<std::uint32_t> total_ms;
    std::vector<std::uint32_t> expected_ms;
  };
  struct Stage {
    std::size_t calls = 0;
    std::size_t pieces = 0;
    std::size_t most_waiting = 0;
    double slowness = 0;
  };
  using GroupKey = std::tuple<std::string, std::string, std::string>;
  using CauseKey = std::tuple<std::string, std::string, std::string>;

  void AddRequest(const nlohmann::json& line);
  void AddPieceCall(const nlohmann::json& line);
  void AddCause(const nlohmann::json& line);

  std::map<GroupKey, Group> groups_;
  std::map<CauseKey, std::size_t> causes_;
  std::map<std::string, Stage> stages_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_LOAD_SUMMARY_H_
