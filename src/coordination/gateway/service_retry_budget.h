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
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "state/event_log.h"
#include "state/host_settings.h"
#include "state/metrics.h"
#include "types.h"

namespace acaciachute {

// Why something is sent to a service once more.
enum class RetryReason {
  kNotRun,            // A replica said that it did not run the request.
  kFailed,            // A replica answered with its own failure.
  kLost,              // No complete answer; the request may have run.
  kNotSent,           // No byte of the request was sent before.
  kStagesAgain,       // The stages of a request begin again.
  kPieceFailed,       // The call with the piece failed.
  kPieceOverdue,      // The call with the piece is overdue and still runs.
  kPieceResubmitted,  // The batching gateway was lost or sent no result.
};
inline constexpr std::array<std::string_view, 8> kRetryReasonNames = {
    "not_run",      "failed",       "lost",          "not_sent",
    "stages_again", "piece_failed", "piece_overdue", "piece_resubmitted"};
constexpr std::string_view Name(RetryReason v) {
  return detail::NameIn(kRetryReasonNames, v);
}

// Something that is to be sent once more.
struct Retry {
  RetryReason reason = RetryReason::kNotRun;
  std::string_view request;  // Id of the client's request.
  std::uint32_t count = 1;   // Pieces, or one for a request.
};

class ServiceRetryBudget {
 public:
  // Share of the computed allowance that this gateway uses; the remainder is
  // the reserve described above.
  static constexpr double kUsableShare = 0.5;

  ServiceRetryBudget(std::string service, Metrics* metrics, EventLog* log)
      : service_(std::move(service)), metrics_(metrics), log_(log) {}

  void SetLimits(const ServiceRetryBudgetLimits& limits) { limits_ = limits; }
  // Number of gateways, as known here, that share the fixed allowance. Includes
  // this gateway.
  void SetGatewayCount(std::size_t n) {
    gateway_count_ = std::max<std::size_t>(1, n);
  }

  void OnRequest(TimeUs now) { Add(&requests_, now, 1); }

  // Returns whether the retry may be sent now; counts it if so.
  bool TryUse(TimeUs now, const Retry& retry);
  // Reports a retry that this budget does not limit.
  void OnFree(TimeUs now, const Retry& retry);

 private:
  // Events counted from `start` on, for `kBucketDuration`.
  struct Bucket {
    TimeUs start = 0;
    std::uint32_t count = 0;
  };
  static constexpr DurationUs kBucketDuration = 250 * kMillisecond;

  double Allowed(TimeUs now);
  void Report(TimeUs now, const Retry& retry, std::string_view outcome);
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

  const std::string service_;
  Metrics* const metrics_;
  EventLog* const log_;
  ServiceRetryBudgetLimits limits_;
  std::size_t gateway_count_ = 1;
  std::deque<Bucket> requests_;
  std::deque<Bucket> retries_;
};

// The budget of a service, which lives as long as the gateway.
using RetryBudgetOf =
    std::function<ServiceRetryBudget*(const std::string& service)>;

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_
