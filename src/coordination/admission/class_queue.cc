#include "coordination/admission/class_queue.h"

#include <iterator>

namespace acaciachute {

ClassQueue::CallQueue& ClassQueue::QueueOf(const WaitingCall& call) {
  return queues_[static_cast<std::size_t>(call.caller_class)]
                [call.is_long ? 1 : 0];
}

void ClassQueue::Push(const WaitingCall& call) {
  QueueOf(call).emplace(SortKey(call.deadline, call.key), call);
  calls_[call.key] = call;
}

WaitingCall ClassQueue::Take(CallQueue* queue, CallQueue::iterator it) {
  WaitingCall call = it->second;
  queue->erase(it);
  calls_.erase(call.key);
  return call;
}

// Returns the queue whose first call starts next; null if the class has no call
// that may start.
ClassQueue::CallQueue* ClassQueue::NextQueue(CallerClass caller_class,
                                             bool long_allowed) {
  auto& [short_queue, long_queue] =
      queues_[static_cast<std::size_t>(caller_class)];
  if (long_queue.empty() || !long_allowed) {
    return short_queue.empty() ? nullptr : &short_queue;
  }
  const bool short_first =
      !short_queue.empty() &&
      short_queue.begin()->first < long_queue.begin()->first;
  return short_first ? &short_queue : &long_queue;
}

std::optional<WaitingCall> ClassQueue::Pop(bool long_allowed) {
  CallQueue* urgent = NextQueue(CallerClass::kUrgent, long_allowed);
  CallQueue* patient = NextQueue(CallerClass::kPatient, long_allowed);
  if (urgent == nullptr && patient == nullptr) {
    return std::nullopt;
  }
  const bool patient_turn =
      patient != nullptr && urgent_in_row_ >= kMaxUrgentInRow;
  if (urgent == nullptr || patient_turn) {
    urgent_in_row_ = 0;
    return Take(patient, patient->begin());
  }
  urgent_in_row_ = patient == nullptr ? 0 : urgent_in_row_ + 1;
  return Take(urgent, urgent->begin());
}

std::optional<WaitingCall> ClassQueue::PopLastPatient() {
  auto& [short_queue, long_queue] =
      queues_[static_cast<std::size_t>(CallerClass::kPatient)];
  if (short_queue.empty() && long_queue.empty()) {
    return std::nullopt;
  }
  const bool take_long =
      short_queue.empty() ||
      (!long_queue.empty() &&
       long_queue.rbegin()->first > short_queue.rbegin()->first);
  CallQueue* queue = take_long ? &long_queue : &short_queue;
  return Take(queue, std::prev(queue->end()));
}

void ClassQueue::Remove(const StageKey& key) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) {
    return;
  }
  const WaitingCall call = it->second;
  QueueOf(call).erase(SortKey(call.deadline, call.key));
  calls_.erase(key);
}

std::size_t ClassQueue::Ahead(CallerClass caller_class, TimeUs deadline) const {
  std::size_t ahead = 0;
  for (std::size_t n = 0; n <= static_cast<std::size_t>(caller_class); ++n) {
    const bool own = n == static_cast<std::size_t>(caller_class);
    for (const CallQueue& queue : queues_[n]) {
      ahead += own ? static_cast<std::size_t>(std::distance(
                         queue.begin(), queue.lower_bound({deadline, {}})))
                   : queue.size();
    }
  }
  return ahead;
}

}  // namespace acaciachute
