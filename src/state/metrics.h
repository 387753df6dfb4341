// Counters and quantiles of one process, exported in Prometheus text format.
#ifndef ACACIACHUTE_SRC_STATE_METRICS_H_
#define ACACIACHUTE_SRC_STATE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "types.h"

namespace acaciachute {

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds `n` to a counter. `label` is the value of the counter's only label,
  // "kind"; empty: the counter has no label.
  void Count(std::string_view name,
             std::string_view label = "",
             std::uint64_t n = 1);
  // Sets a value that may rise and fall. `label` as for `Count`.
  void SetGauge(std::string_view name, std::string_view label, double value);
  // Adds a sample to a summary, which exports the 50th, 99th and 99.9th
  // percentile in seconds.
  void Observe(std::string_view name, std::string_view label, DurationUs value);

  std::uint64_t Value(std::string_view name, std::string_view label = "") const;
  std::string PrometheusText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_METRICS_H_
