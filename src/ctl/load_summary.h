// Tells from gateways' logs where requests of a load ended: in time, late,
// refused, given up, by route, at which stage and after how long; and what the
// stages' work went into.
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

// Of one route, by how they were admitted and how they ended.
struct LoadRow {
  std::string route;
  std::string admitted;  // "?" in logs of gateways that did not tell it.
  std::string outcome;   // "in_time" and "late" stand for whole answers.
  std::size_t requests = 0;
  // Of their time in the gateway, in milliseconds.
  std::int64_t median_ms = 0;
  std::int64_t p99_ms = 0;
  std::int64_t expected_wait_ms = 0;  // Median, when they were admitted.
};

// Why requests were refused, given up or begun again.
struct LoadCause {
  std::string event;
  std::string reason;
  std::string detail;  // Figures in it are left out.
  std::size_t times = 0;
};

struct StageLoad {
  std::string service;
  std::size_t calls = 0;
  std::size_t pieces = 0;
  std::size_t most_waiting = 0;
  double slowness = 0;  // Mean, over calls; one is as fast as configured.
};

struct LoadSummary {
  std::vector<LoadRow> rows;      // By route.
  std::vector<LoadCause> causes;  // The most frequent first.
  std::vector<StageLoad> stages;
};

// Takes lines one by one and keeps sums only, so that the logs of a hundred
// gateways need no more memory than their figures.
class LoadReader {
 public:
  void Take(const nlohmann::json& line);
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

  void TakeRequest(const nlohmann::json& line);
  void TakePieceCall(const nlohmann::json& line);
  void TakeCause(const nlohmann::json& line);

  std::map<GroupKey, Group> groups_;
  std::map<CauseKey, std::size_t> causes_;
  std::map<std::string, Stage> stages_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_LOAD_SUMMARY_H_
