// The stage calls that wait at one sidecar, and the order in which its upstream
// serves them.
//
// When a burst of patient work arrives before urgent work, an urgent call in a
// single queue by arrival would wait behind the whole burst (head-of-line
// blocking). When a few long jobs are mixed with short ones, the long ones end
// up in every slot, because a short job releases its slot to the next call many
// times while a long one keeps it.
//
// Urgent calls start before patient ones; within a class the earliest deadline
// goes first, which meets all deadlines whenever any order can (Liu and
// Layland, 1973). Of `kMaxUrgentInRow + 1` calls started while both classes
// wait, one is patient, so patient work gets at least a seventeenth of the
// slots, and an urgent call waits for at most one more service. Long jobs are
// skipped while they occupy all the slots that they may have.
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
  // Limit on consecutive urgent starts while patient work waits. A larger value
  // starves patient work for longer, a smaller one delays urgent work more
  // often. One call in 17 is 6 % of the slots, a share that urgent work at its
  // design load leaves free.
  static constexpr int kMaxUrgentInRow = 16;

  void Push(const WaitingCall& call);
  // Removes and returns the call to start next; none if only long calls wait
  // and `long_allowed` is false.
  std::optional<WaitingCall> Pop(bool long_allowed = true);
  // Removes and returns the patient call with the latest deadline, to make
  // space for an urgent one.
  std::optional<WaitingCall> PopLastPatient();
  void Remove(const StageKey& key);

  // Number of waiting calls that would start before one of this class and
  // deadline.
  std::size_t Ahead(CallerClass caller_class, TimeUs deadline) const;
  std::size_t size() const { return calls_.size(); }

 private:
  using SortKey = std::pair<TimeUs, StageKey>;
  using CallQueue = std::map<SortKey, WaitingCall>;
  static constexpr std::size_t kClassCount = kCallerClassNames.size();
  CallQueue& QueueOf(const WaitingCall& call);
  CallQueue* NextQueue(CallerClass caller_class, bool long_allowed);
  WaitingCall Take(CallQueue* queue, CallQueue::iterator it);

  // Indexed by class, then by short (0) or long (1).
  std::array<std::array<CallQueue, 2>, kClassCount> queues_;
  absl::flat_hash_map<StageKey, WaitingCall> calls_;
  int urgent_in_row_ = 0;
};

// Number of the `limit` slots that long jobs may occupy together: three
// quarters, so that short calls always find a slot. A single slot is available
// to both.
constexpr std::uint32_t LongSlots(std::uint32_t limit) {
  return limit <= 1 ? 1 : limit - (limit + 3) / 4;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_CLASS_QUEUE_H_
