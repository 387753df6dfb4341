// Counters and quantiles of one process, read out as Prometheus text.
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

  // Adds to a counter. `label` is one value of the counter's only label,
  // "kind"; empty for none.
  void Count(std::string_view name,
             std::string_view label = "",
             std::uint64_t n = 1);
  // Adds a sample in microseconds; 50, 99 and 99.9 % are kept.
  void Observe(std::string_view name, std::string_view label, DurationUs value);

  std::uint64_t Value(std::string_view name, std::string_view label = "") const;
  std::string PrometheusText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_METRICS_H_
