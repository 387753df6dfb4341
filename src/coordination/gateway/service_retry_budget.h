// Limits the retries to one service over a sliding window, summed over all
// gateways.
//
// When replicas of a service refuse or lose requests, every gateway retries at
// once. Without a limit on the sum over all gateways, the retries put a second
// load on a service that already fails under the first. Each gateway may use an
// equal part of the fixed allowance, plus a share of the requests that it sent
// itself, so the limit on the sum holds without messages between gateways. Half
// of both parts stays unused as a reserve, because a gateway that restarts
// loses its count of retries and because the number of gateways known here may
// be wrong.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_

#include <algorithm>
#include <deque>

#include "state/host_settings.h"
#include "types.h"

namespace acaciachute {

class ServiceRetryBudget {
 public:
  // Share of the computed allowance that this gateway uses; the remainder is
  // the reserve described above.
  static constexpr double kUsableShare = 0.5;

  void SetLimits(const ServiceRetryBudgetLimits& limits) { limits_ = limits; }
  // Number of gateways, as known here, that share the fixed allowance. Includes
  // this gateway.
  void SetGatewayCount(std::size_t n) {
    gateway_count_ = std::max<std::size_t>(1, n);
  }

  void OnRequest(TimeUs now) { Add(&requests_, now, 1); }

  // Returns whether `n` retries may be sent now; counts them if so.
  bool Take(TimeUs now, std::uint32_t n = 1) {
    const double allowed =
        kUsableShare * (limits_.slack / static_cast<double>(gateway_count_) +
                        limits_.ratio * Sum(&requests_, now));
    if (Sum(&retries_, now) + n > allowed) {
      return false;
    }
    Add(&retries_, now, n);
    return true;
  }

 private:
  // Events counted from `start` on, for `kBucketDuration`.
  struct Bucket {
    TimeUs start = 0;
    std::uint32_t count = 0;
  };
  static constexpr DurationUs kBucketDuration = 250 * kMillisecond;

  // Counts `n` events at time `now`.
  static void Add(std::deque<Bucket>* buckets, TimeUs now, std::uint32_t n) {
    if (buckets->empty() || now - buckets->back().start >= kBucketDuration) {
      buckets->push_back({now, 0});
    }
    buckets->back().count += n;
  }
  // Drops buckets older than the window and returns the sum of the others.
  double Sum(std::deque<Bucket>* buckets, TimeUs now) const {
    while (!buckets->empty() &&
           now - buckets->front().start > limits_.window + kBucketDuration) {
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
  std::deque<Bucket> retries_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_
