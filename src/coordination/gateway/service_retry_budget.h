// Bounds how often one service is sent a request again, over a sliding window
// and over all gateways together.
//
// Load pattern: replicas of a service refuse or lose calls, and every gateway
// sends each request again at once. Without a bound that all gateways keep in
// sum, the repeats are a second load on a service that fails under the first.
// Each gateway spends an equal part of the fixed allowance and its share of the
// requests that it sent itself, so that the sum holds without messages. Half of
// both is left unspent: a gateway that restarts forgets what it has spent, and
// the number of gateways is an estimate.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_

#include <algorithm>
#include <deque>

#include "state/host_settings.h"
#include "types.h"

namespace acaciachute {

class ServiceRetryBudget {
 public:
  static constexpr double kSpend = 0.5;

  void SetLimits(const ServiceRetryBudgetLimits& limits) { limits_ = limits; }
  // Gateways that are believed to share the allowance, this one included.
  void SetGatewayCount(std::size_t n) {
    gateway_count_ = std::max<std::size_t>(1, n);
  }

  void OnRequest(TimeUs now) { Add(&requests_, now, 1); }

  // Whether `n` repeats may be sent; they are counted if so.
  bool Take(TimeUs now, std::uint32_t n = 1) {
    const double allowed =
        kSpend * (limits_.slack / static_cast<double>(gateway_count_) +
                  limits_.ratio * Sum(&requests_, now));
    if (Sum(&repeats_, now) + n > allowed) {
      return false;
    }
    Add(&repeats_, now, n);
    return true;
  }

 private:
  struct Bucket {
    TimeUs start = 0;
    std::uint32_t count = 0;
  };
  static constexpr DurationUs kBucket = 250 * kMillisecond;

  static void Add(std::deque<Bucket>* buckets, TimeUs now, std::uint32_t n) {
    if (buckets->empty() || now - buckets->back().start >= kBucket) {
      buckets->push_back({now, 0});
    }
    buckets->back().count += n;
  }
  double Sum(std::deque<Bucket>* buckets, TimeUs now) const {
    while (!buckets->empty() &&
           now - buckets->front().start > limits_.window + kBucket) {
      buckets->pop_front();
    }
    double sum = 0;
    for (const auto& it : *buckets) {
      sum += it.count;
    }
    return sum;
  }

  ServiceRetryBudgetLimits limits_;
  std::size_t gateway_count_ = 1;
  std::deque<Bucket> requests_;
  std::deque<Bucket> repeats_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_
