// A piece of a stage: the smallest work that a batching service does. Making a
// piece twice is allowed; each making has its own result.
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
  std::string request;  // The client's id of its attempt.
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
  auto operator<=>(const PieceKey&) const = default;
};

struct PieceTask {
  PieceKey key;
  std::string service;
  std::string source;               // For a stage that needs no other.
  std::vector<std::string> inputs;  // Handles of the results it needs.
  DurationUs time_left = 0;         // Until nobody waits for it.
  DurationUs time_to_begin = 0;     // Until the request would be late if no
                                    // call for the piece had begun.
  DurationUs waited = 0;            // Since the request arrived.
  std::uint64_t holds_bytes = 0;    // Results that wait for this stage.
  std::uint32_t priority = 0;       // Zero is the most urgent.
  std::uint64_t result_bytes = 0;
  // Pieces of this stage of the request, when nothing else needs their inputs;
  // zero when something does.
  std::uint32_t sole_users = 0;
  // Failure domain of what it fetches, or of who fetches its result; may be
  // empty.
  std::string near_domain;
};

enum class PieceOutcome {
  kMade,
  kLate,         // Its time was over when its turn came.
  kInputGone,    // A result that it needs is no longer there.
  kOutOfMemory,  // The replica has no memory for the result.
  kFailed,
  kNotMade,  // No replica could be found for it.
};
inline constexpr std::array<std::string_view, 6> kPieceOutcomeNames = {
    "made", "late", "input_gone", "no_room", "failed", "not_made"};
constexpr std::string_view Name(PieceOutcome v) {
  return detail::NameIn(kPieceOutcomeNames, v);
}

// What a piece handed in now would wait until its call begins.
struct QueueWait {
  // By the piece's standing: of a request that can be on time, by its priority,
  // or of one that is late whatever happens.
  static constexpr std::size_t kRanks = 8;
  std::array<DurationUs, kRanks> in_time{};
  DurationUs late = 0;
  double memory = 0;  // Share of the replicas' memory for results that is held.

  DurationUs Of(std::uint32_t priority) const {
    return in_time[std::min<std::size_t>(priority, kRanks - 1)];
  }
};

struct PieceResult {
  PieceKey key;
  PieceOutcome outcome = PieceOutcome::kFailed;
  std::string handle;  // Where the result lies, when made.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_PIECE_H_
