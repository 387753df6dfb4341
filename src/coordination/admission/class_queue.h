// Waiting stage calls of one sidecar: whom its upstream serves next.
//
// Load pattern: a burst of patient work arrives before urgent work, and a few
// long jobs among short ones. In one queue by arrival an urgent call waits
// behind all of the burst (head-of-line blocking), and long jobs end up in
// every slot, because a short one leaves its slot to the next call many times
// while a long one stays.
//
// Urgent goes before patient; within a class the earliest deadline goes first,
// which meets all deadlines whenever any order can (Liu and Layland, 1973). Of
// `kUrgentInRow + 1` calls started while both classes wait, one is patient, so
// patient work gets a seventeenth of the slots at least and an urgent call
// waits for one more service at most. Long jobs are passed over while they fill
// the slots that they may have.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_CLASS_QUEUE_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_CLASS_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "types.h"

namespace acaciachute {

struct WaitingCall {
  StageKey key;
  CallerClass caller_class = CallerClass::kPatient;
  TimeUs deadline = 0;
  bool is_long = false;
};

class ClassQueue {
 public:
  // Urgent starts in a row while patient work waits. Larger starves patient
  // work for longer, smaller delays urgent work more often: one call in 17 is
  // 6 % of the slots, a share that urgent work at its design load leaves free.
  static constexpr int kUrgentInRow = 16;

  void Push(const WaitingCall& call);
  // Takes the call to start next; none when only long ones wait and
  // `long_allowed` is false.
  std::optional<WaitingCall> Pop(bool long_allowed = true);
  // Takes the patient call with the latest deadline, to make room for an
  // urgent one.
  std::optional<WaitingCall> PopLastPatient();
  void Remove(const StageKey& key);

  // How many waiting calls would start before one of this class and deadline.
  std::size_t Ahead(CallerClass caller_class, TimeUs deadline) const;
  std::size_t size() const { return calls_.size(); }

 private:
  using Order = std::pair<TimeUs, StageKey>;
  using Line = std::map<Order, WaitingCall>;
  static constexpr std::size_t kClasses = kCallerClassNames.size();
  Line& LineOf(const WaitingCall& call);
  Line* NextIn(CallerClass caller_class, bool long_allowed);
  WaitingCall Take(Line* line, Line::iterator it);

  // By class, then short and long.
  std::array<std::array<Line, 2>, kClasses> lines_;
  absl::flat_hash_map<StageKey, WaitingCall> calls_;
  int urgent_in_row_ = 0;
};

// How many of `limit` slots long jobs may fill together: three quarters, so
// that short calls always find one; with a single slot there is no choice.
constexpr std::uint32_t LongSlots(std::uint32_t limit) {
  return limit <= 1 ? 1 : limit - (limit + 3) / 4;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_CLASS_QUEUE_H_
