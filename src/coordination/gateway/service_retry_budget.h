// Limits the retries to one service: the arrivals at its replicas beyond the
// first of each request or piece, over all gateways, in any window.
//
// When replicas of a service refuse or lose requests, every gateway retries at
// once. Without a limit on the sum over all gateways, the retries put a second
// load on a service that already fails under the first.
//
// Each gateway has a token bucket for each service; each retry takes a token.
// The bucket is empty when the process starts, and fills with time, by this
// gateway's part of the fixed allowance, and with each request, by a share of
// the allowed ratio. A retry occupies its place in the bucket until its
// arrival is confirmed. So the retries of one gateway that arrive in a window
// are at most what the bucket may hold, plus what it earns in the window:
// - whatever was sent before the window and arrives in it was counted in the
//   bucket at the start of the window, however long it was in transit;
// - a process that was killed has used at most what it earned, and its
//   successor starts with nothing, so any number of restarts changes nothing;
// - the sum over all gateways needs no messages between them, only that each
//   divides the fixed part by no fewer gateways than there are. Until a gateway
//   knows the others, it has none of it.
// What the bucket may hold and what requests earn are two parts of the same
// ratio, of the requests before and in the window.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
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
  kStagesAgain,       // The stages of a request begin again.
  kPieceFailed,       // The call with the piece failed.
  kPieceOverdue,      // The call with the piece is overdue and still runs.
  kPieceResubmitted,  // The batching gateway was lost or sent no result.
};
inline constexpr std::array<std::string_view, 7> kRetryReasonNames = {
    "not_run",       "failed",           "lost", "stages_again", "piece_failed",
    "piece_overdue", "piece_resubmitted"};
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
  // Share of the fixed allowance that the known gateways use; the remainder is
  // for gateways that joined a moment ago and are not known to all others yet.
  static constexpr double kKnownGatewaysShare = 0.9;
  // Part of each allowance that the bucket may hold, for retries in a burst.
  // The remainder is earned, over time or by requests.
  static constexpr double kHeldShare = 0.5;

  ServiceRetryBudget(std::string service, Metrics* metrics, EventLog* log)
      : service_(std::move(service)), metrics_(metrics), log_(log) {}

  void SetLimits(TimeUs now, const ServiceRetryBudgetLimits& limits);
  // Number of gateways, as known here, that share the fixed allowance. Includes
  // this gateway. Zero: the others are not known, and this gateway uses none of
  // it.
  void SetGatewayCount(TimeUs now, std::size_t n);

  // A client's request for the service arrived here. `part`: of what a request
  // earns, if another gateway earns the rest.
  void OnRequest(TimeUs now, double part = 1);

  // Returns whether the retry may be sent now; takes its tokens if so. Each of
  // its sends must then end in one of the three calls below.
  [[nodiscard]] bool TryUse(TimeUs now, const Retry& retry);
  // A response shows that the sends have arrived.
  void OnArrived(std::uint32_t n = 1);
  // Nothing of the sends left this host.
  void OnNotSent(std::uint32_t n = 1);
  // No response came, and none is awaited any more. They may still arrive, for
  // example at a replica that is suspended, and keep their places for a window.
  void OnUnconfirmed(std::uint32_t n = 1);

  // Number of retries that may be sent now.
  double Available(TimeUs now);

 private:
  struct TimedCount {
    TimeUs time = 0;
    double count = 0;
  };
  static constexpr DurationUs kCountInterval = 250 * kMillisecond;

  double FixedPart() const;
  // The most that tokens and retries in transit may add up to.
  double Capacity() const;
  // Adds the tokens earned since the last call, and discards what exceeds the
  // capacity.
  void Refill(TimeUs now);
  void DiscardExcess();
  void Report(const Retry& retry, std::string_view outcome);

  const std::string service_;
  Metrics* const metrics_;
  EventLog* const log_;
  ServiceRetryBudgetLimits limits_;
  std::size_t gateway_count_ = 0;
  TimeUs refilled_at_ = 0;
  double tokens_ = 0;
  double in_transit_ = 0;  // Retries whose arrival is not confirmed.
  // Unconfirmed retries, by the time at which they no longer count, and those
  // since the last `Refill`.
  std::deque<TimedCount> unconfirmed_;
  double new_unconfirmed_ = 0;
  // Requests within the last window, by the start of their interval.
  std::deque<TimedCount> requests_;
  double request_count_ = 0;  // Sum of `requests_`.
};

// The budget of a service, which lives as long as the gateway.
using RetryBudgetOf =
    std::function<ServiceRetryBudget*(const std::string& service)>;

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGET_H_
