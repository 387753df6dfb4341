// How many calls a sidecar keeps in progress at its upstream.
//
// Load pattern: an upstream batches, so its best number is not one; past it,
// answers only get slower and wait in a queue where no class or deadline counts
// any longer. The number moves with the model, the prompt lengths and the
// host's health, and the upstream's own report of its load comes late. A fixed
// number either leaves the engine idle or moves the queue into it.
//
// The limit grows by one a round of answers while it is in use, and falls by a
// tenth when answers take twice their best median or the upstream reports a
// queue: additive increase and multiplicative decrease, which settles whatever
// the start (Chiu and Jain, 1989). The signal is latency against a recent best,
// as in TCP Vegas (Brakmo and Peterson, 1994) and in the gradient limits that
// services use for the same purpose.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_CONCURRENCY_LIMIT_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "types.h"

namespace acaciachute {

class ConcurrencyLimit {
 public:
  // Twice the best median: batching alone slows an answer by less than that up
  // to the batch that an engine is sized for, a queue soon by more.
  static constexpr double kSlow = 2.0;
  static constexpr double kDecrease = 0.9;
  // The best median is sought over one to two of these, so that a lasting
  // change of the work itself becomes the new measure within a minute.
  static constexpr DurationUs kWindow = 30 * kSecond;
  // A decrease shows in answers and reports only after those in progress have
  // ended; until then it is not repeated. At least this.
  static constexpr DurationUs kMinGap = 100 * kMillisecond;

  // Starts at `most`, which the operator set; never leaves [1, most].
  explicit ConcurrencyLimit(std::uint32_t most);

  // A call ended whole after `service`; `in_progress` counts it.
  void OnAnswer(TimeUs now, DurationUs service, std::uint32_t in_progress);
  // The upstream's word, asked for at `asked_at`. What it says of the time
  // before the last decrease is not acted on again.
  void OnReport(TimeUs now, TimeUs asked_at, const LoadReport& report);

  std::uint32_t Current() const { return static_cast<std::uint32_t>(limit_); }

 private:
  void Decrease(TimeUs now);
  void Observe(TimeUs now, DurationUs service);
  DurationUs Best() const;

  const double most_;
  double limit_;
  std::uint32_t upstream_slots_ = 0;  // As it reports; zero when it does not.
  DurationUs median_ = 0;
  DurationUs best_current_ = 0;
  DurationUs best_previous_ = 0;
  TimeUs window_start_ = 0;
  TimeUs decreased_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_CONCURRENCY_LIMIT_H_
