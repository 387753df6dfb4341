#include "state/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <utility>
#include <vector>

namespace acaciachute {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.99, 0.999};
constexpr double kMicrosPerSecond = 1e6;

using Quantiles = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;
using SeriesKey = std::pair<std::string, std::string>;

Quantiles MakeQuantiles() {
  return Quantiles(acc::tag::extended_p_square::probabilities = kQuantiles);
}

prometheus::ClientMetric WithLabel(const std::string& label) {
  prometheus::ClientMetric metric;
  if (!label.empty()) {
    metric.label.push_back({"kind", label});
  }
  return metric;
}

// Returns the last family if it is called `name`, or else appends one. The maps
// are iterated in order of name, so all series of a family are adjacent.
prometheus::MetricFamily& FamilyOf(std::vector<prometheus::MetricFamily>* all,
                                   const std::string& name,
                                   prometheus::MetricType type) {
  if (all->empty() || all->back().name != name) {
    prometheus::MetricFamily family;
    family.name = name;
    family.type = type;
    all->push_back(std::move(family));
  }
  return all->back();
}

}  // namespace

struct Metrics::Impl {
  std::map<SeriesKey, std::uint64_t> counters;
  std::map<SeriesKey, double> gauges;
  std::map<SeriesKey, Quantiles> quantiles;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name,
                    std::string_view label,
                    std::uint64_t n) {
  impl_->counters[SeriesKey(name, label)] += n;
}

void Metrics::SetGauge(std::string_view name,
                       std::string_view label,
                       double value) {
  impl_->gauges[SeriesKey(name, label)] = value;
}

void Metrics::Observe(std::string_view name,
                      std::string_view label,
                      DurationUs value) {
  const SeriesKey key(name, label);
  auto it = impl_->quantiles.find(key);
  if (it == impl_->quantiles.end()) {
    it = impl_->quantiles.emplace(key, MakeQuantiles()).first;
  }
  it->second(static_cast<double>(value) / kMicrosPerSecond);
}

std::uint64_t Metrics::Value(std::string_view name,
                             std::string_view label) const {
  const auto it = impl_->counters.find(SeriesKey(name, label));
  return it == impl_->counters.end() ? 0 : it->second;
}

std::string Metrics::PrometheusText() const {
  std::vector<prometheus::MetricFamily> families;
  for (const auto& [key, value] : impl_->counters) {
    auto& family =
        FamilyOf(&families, key.first, prometheus::MetricType::Counter);
    auto metric = WithLabel(key.second);
    metric.counter.value = static_cast<double>(value);
    family.metric.push_back(std::move(metric));
  }
  for (const auto& [key, value] : impl_->gauges) {
    auto& family =
        FamilyOf(&families, key.first, prometheus::MetricType::Gauge);
    auto metric = WithLabel(key.second);
    metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
  }
  for (const auto& [key, set] : impl_->quantiles) {
    auto& family =
        FamilyOf(&families, key.first, prometheus::MetricType::Summary);
    auto metric = WithLabel(key.second);
    metric.summary.sample_count = acc::count(set);
    metric.summary.sample_sum = acc::sum(set);
    for (std::size_t n = 0; n < kQuantiles.size(); ++n) {
      metric.summary.quantile.push_back(
          {kQuantiles[n], acc::extended_p_square(set)[n]});
    }
    family.metric.push_back(std::move(metric));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace acaciachute
