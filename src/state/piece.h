// Pieces of a stage: the smallest units of work of a batching service. A piece
// may be computed more than once; each computation has a result of its own.
#ifndef ACACIACHUTE_SRC_STATE_PIECE_H_
#define ACACIACHUTE_SRC_STATE_PIECE_H_

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "types.h"

namespace acaciachute {

struct PieceKey {
  std::string request;  // Id of the client's request.
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
  auto operator<=>(const PieceKey&) const = default;
};

// Handles of the results that the pieces of one stage of a request need. All
// of these pieces share one list. A list for each would take the number of
// pieces times the number of results: two stages of 1,000 pieces each would
// fill a process's memory.
class PieceInputs {
 public:
  using List = std::vector<std::string>;
  using const_iterator = List::const_iterator;

  PieceInputs() = default;
  // Implicit, as it stands where a list of handles would.
  PieceInputs(List handles) {
    if (!handles.empty()) {
      shared_ = std::make_shared<const Shared>(std::move(handles));
    }
  }
  PieceInputs(std::initializer_list<std::string> handles)
      : PieceInputs(List(handles)) {}

  const List& list() const {
    static const List kEmpty;
    return shared_ == nullptr ? kEmpty : shared_->handles;
  }
  bool empty() const { return shared_ == nullptr; }
  std::size_t size() const { return list().size(); }
  const_iterator begin() const { return list().begin(); }
  const_iterator end() const { return list().end(); }
  // Length of all handles.
  std::size_t bytes() const { return shared_ == nullptr ? 0 : shared_->bytes; }
  // Memory that the list takes, once for all its owners.
  std::size_t memory_bytes() const {
    return bytes() + size() * sizeof(std::string);
  }
  // Whether both are the same list in memory.
  bool IsSame(const PieceInputs& other) const {
    return shared_ == other.shared_;
  }

  friend bool operator==(const PieceInputs& a, const PieceInputs& b) {
    return a.IsSame(b) || a.list() == b.list();
  }

 private:
  struct Shared {
    explicit Shared(List list) : handles(std::move(list)) {
      for (const std::string& it : handles) {
        bytes += it.size();
      }
    }
    List handles;
    std::size_t bytes = 0;
  };
  std::shared_ptr<const Shared> shared_;  // Null if empty.
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
  std::string source;        // Input of a stage that needs no other.
  PieceInputs inputs;        // Results that it needs.
  DurationUs time_left = 0;  // Time until the request's deadline.
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

// Expected time that a piece queued now would wait until its call begins.
struct QueueWait {
  // Number of priorities that are distinguished. Less urgent ones count as the
  // last of them.
  static constexpr std::size_t kPriorityLevels = 8;
  // For requests that can still meet their target, by priority.
  std::array<DurationUs, kPriorityLevels> in_time{};
  DurationUs late = 0;  // For requests that can no longer meet their target.
  double memory = 0;    // Share of the replicas' result memory in use.

  DurationUs Of(std::uint32_t priority) const {
    return in_time[std::min<std::size_t>(priority, kPriorityLevels - 1)];
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
