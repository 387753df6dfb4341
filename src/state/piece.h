// Pieces of a stage: the smallest units of work of a batching service. A piece
// may be computed more than once; each computation has a result of its own.
#ifndef ACACIACHUTE_SRC_STATE_PIECE_H_
#define ACACIACHUTE_SRC_STATE_PIECE_H_

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace acaciachute {

struct PieceKey {
  std::string request;  // Id of the client's request.
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
  auto operator<=>(const PieceKey&) const = default;
};

// Whether a piece was sent before, and which gateway's retry budget pays.
enum class PieceSend : std::uint8_t {
  kFirst,
  kRetryPaid,    // The sender has paid.
  kRetryUnpaid,  // The batching gateway pays, unless it has the piece already.
};

struct PieceTask {
  // Part of what a request earns for the retry budget of a service that runs
  // its pieces which the batching gateway earns; the request's own gateway
  // earns the remainder. Both retry pieces.
  static constexpr double kOwnerEarnings = 0.5;

  PieceKey key;
  std::string service;
  std::string source;               // Input of a stage that needs no other.
  std::vector<std::string> inputs;  // Handles of the results it needs.
  DurationUs time_left = 0;         // Time until the request's deadline.
  // Time until the latest start of a call for the piece with which the request
  // can still meet its target.
  DurationUs time_to_begin = 0;
  DurationUs waited = 0;  // Time since the request arrived.
  // Size of the results of earlier stages that stay in memory until this stage
  // has run, divided by the number of this stage's pieces.
  std::uint64_t holds_bytes = 0;
  std::uint32_t priority = 0;      // Zero is the most urgent.
  std::uint64_t result_bytes = 0;  // Approximate size of the piece's result.
  // The number of pieces of this stage of the request, if no other stage needs
  // their inputs, so that the inputs can be released once all have been read.
  // Zero if another stage needs them.
  std::uint32_t sole_users = 0;
  PieceSend send = PieceSend::kFirst;
  // This piece stands for its request in the retry budget of the service.
  bool earns_retries = false;
  // Preferred failure domain: that of the inputs, or that of the replica which
  // will fetch the result. Empty: no preference.
  std::string near_domain;
};

enum class PieceOutcome {
  kMade,
  kLate,          // The time left ran out before the piece was started.
  kInputMissing,  // A result that the piece needs no longer exists.
  kOutOfMemory,   // The replica has no free memory for the result.
  kFailed,
  kNotMade,  // No replica was available.
};
inline constexpr std::array<std::string_view, 6> kPieceOutcomeNames = {
    "made", "late", "input_gone", "no_room", "failed", "not_made"};
constexpr std::string_view Name(PieceOutcome v) {
  return detail::NameIn(kPieceOutcomeNames, v);
}

// Pieces of a stage that its request has not reached yet.
struct ComingPieces {
  std::string request;  // Id of the client's request.
  std::uint32_t stage = 0;
  std::string service;
  std::uint32_t priority = 0;
  std::uint32_t pieces = 0;
  std::uint64_t result_bytes = 0;  // Of each.
  DurationUs in = 0;               // Expected time until they are submitted.
};

// Expected time that a piece queued now would wait until its call begins.
struct QueueWait {
  // Number of priorities that are distinguished. Less urgent ones count as the
  // last of them.
  static constexpr std::size_t kPriorityLevels = 8;
  // For requests that can still meet their target, by priority.
  std::array<DurationUs, kPriorityLevels> in_time{};
  DurationUs late = 0;  // For requests that can no longer meet their target.
  double memory = 0;    // Share of the replicas' result memory in use.
  // By priority: how much longer the queue gets by the pieces of this and more
  // urgent priorities that are on their way. They arrive evenly over
  // `coming_within`.
  std::array<DurationUs, kPriorityLevels> coming{};
  DurationUs coming_within = 0;
  double speed = 0;  // See `QueueForecast`; zero: not known.

  static std::size_t Level(std::uint32_t priority) {
    return std::min<std::size_t>(priority, kPriorityLevels - 1);
  }
  DurationUs Of(std::uint32_t priority) const {
    return in_time[Level(priority)];
  }
  // For a piece that is queued after the time `in`.
  DurationUs OfArrival(std::uint32_t priority, DurationUs in) const {
    return AfterChange(Of(priority), coming[Level(priority)], in);
  }
  DurationUs LateOfArrival(DurationUs in) const {
    return AfterChange(late, coming.back(), in);
  }

 private:
  // A queue that takes `wait` now and grows by `grows`, after it has moved for
  // the time `in`.
  DurationUs AfterChange(DurationUs wait,
                         DurationUs grows,
                         DurationUs in) const {
    const double arrived =
        in < coming_within
            ? static_cast<double>(in) / static_cast<double>(coming_within)
            : 1;
    const auto more = static_cast<DurationUs>(static_cast<double>(grows) *
                                              (in > 0 ? arrived : 0));
    return std::max<DurationUs>(0, wait + more - in);
  }
};

struct PieceResult {
  PieceKey key;
  PieceOutcome outcome = PieceOutcome::kFailed;
  // Location of the result: its replica's address, a slash and a name. Empty
  // unless the outcome is `kMade`.
  std::string handle;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_PIECE_H_
