// Limits the number of calls that a sidecar keeps in progress at its upstream.
//
// An upstream serves calls in batches, so its optimal concurrency is greater
// than one; beyond the optimum, answers only become slower and wait in the
// upstream's own queue, which ignores classes and deadlines. The optimum
// depends on the model, the prompt lengths and the health of the host, and the
// upstream's own load reports are late. A fixed limit would either leave the
// engine idle or move the queue into it.
//
// The limit grows by one per round of answers while it is fully used, and falls
// by a tenth when answers take twice their best median or when the upstream
// reports a queue: additive increase and multiplicative decrease, which
// converges from any start (Chiu and Jain, 1989). The signal is the latency
// relative to a recent best, as in TCP Vegas (Brakmo and Peterson, 1994) and in
// the gradient-based limits that services use for the same purpose.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_CONCURRENCY_LIMIT_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "types.h"

namespace acaciachute {

class ConcurrencyLimit {
 public:
  // Answers count as slow if their median exceeds the best median by this
  // factor. Batching alone slows an answer by less than that, up to the batch
  // size that an engine is designed for; queueing soon exceeds it.
  static constexpr double kSlowFactor = 2.0;
  static constexpr double kDecreaseFactor = 0.9;
  // The best median is the minimum over one to two of these windows, so that a
  // lasting change of the work itself becomes the new reference within a
  // minute.
  static constexpr DurationUs kBestMedianWindow = 30 * kSecond;
  // Minimum time between decreases. The effect of a decrease shows in answers
  // and reports only after the calls in progress have ended, so the time
  // between decreases is at least the median answer time, too.
  static constexpr DurationUs kMinDecreaseInterval = 100 * kMillisecond;

  // Starts at `max_limit`, which the operator set; never exceeds it or falls
  // below one.
  explicit ConcurrencyLimit(std::uint32_t max_limit);

  // A call was answered completely after `service`; `in_progress` includes it.
  void OnAnswer(TimeUs now, DurationUs service, std::uint32_t in_progress);
  // The upstream's load report, requested at `asked_at`. A queue reported for a
  // time before the last decrease causes no further decrease.
  void OnReport(TimeUs now, TimeUs asked_at, const LoadReport& report);

  std::uint32_t Current() const { return static_cast<std::uint32_t>(limit_); }

 private:
  void Decrease(TimeUs now);
  void Observe(TimeUs now, DurationUs service);
  DurationUs BestMedian() const;

  const double max_limit_;
  double limit_;
  // As reported by the upstream; zero if not reported.
  std::uint32_t upstream_slots_ = 0;
  DurationUs median_ = 0;
  DurationUs best_in_window_ = 0;
  DurationUs best_in_previous_window_ = 0;
  TimeUs window_start_ = 0;
  TimeUs decreased_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_CONCURRENCY_LIMIT_H_
