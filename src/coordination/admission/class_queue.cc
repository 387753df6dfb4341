#include "coordination/admission/class_queue.h"

#include <iterator>

namespace acaciachute {

ClassQueue::Line& ClassQueue::LineOf(const WaitingCall& call) {
  return lines_[static_cast<std::size_t>(call.caller_class)]
               [call.is_long ? 1 : 0];
}

void ClassQueue::Push(const WaitingCall& call) {
  LineOf(call).emplace(Order(call.deadline, call.key), call);
  calls_[call.key] = call;
}

WaitingCall ClassQueue::Take(Line* line, Line::iterator it) {
  WaitingCall call = it->second;
  line->erase(it);
  calls_.erase(call.key);
  return call;
}

// The line whose head starts first; null when the class has nothing to start.
ClassQueue::Line* ClassQueue::NextIn(CallerClass caller_class,
                                     bool long_allowed) {
  auto& [short_line, long_line] =
      lines_[static_cast<std::size_t>(caller_class)];
  if (long_line.empty() || !long_allowed) {
    return short_line.empty() ? nullptr : &short_line;
  }
  const bool short_first = !short_line.empty() &&
                           short_line.begin()->first < long_line.begin()->first;
  return short_first ? &short_line : &long_line;
}

std::optional<WaitingCall> ClassQueue::Pop(bool long_allowed) {
  Line* urgent = NextIn(CallerClass::kUrgent, long_allowed);
  Line* patient = NextIn(CallerClass::kPatient, long_allowed);
  if (urgent == nullptr && patient == nullptr) {
    return std::nullopt;
  }
  const bool patient_turn =
      patient != nullptr && urgent_in_row_ >= kUrgentInRow;
  if (urgent == nullptr || patient_turn) {
    urgent_in_row_ = 0;
    return Take(patient, patient->begin());
  }
  urgent_in_row_ = patient == nullptr ? 0 : urgent_in_row_ + 1;
  return Take(urgent, urgent->begin());
}

std::optional<WaitingCall> ClassQueue::PopLastPatient() {
  auto& [short_line, long_line] =
      lines_[static_cast<std::size_t>(CallerClass::kPatient)];
  if (short_line.empty() && long_line.empty()) {
    return std::nullopt;
  }
  const bool take_long = short_line.empty() ||
                         (!long_line.empty() && long_line.rbegin()->first >
                                                    short_line.rbegin()->first);
  Line* line = take_long ? &long_line : &short_line;
  return Take(line, std::prev(line->end()));
}

void ClassQueue::Remove(const StageKey& key) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) {
    return;
  }
  const WaitingCall call = it->second;
  LineOf(call).erase(Order(call.deadline, call.key));
  calls_.erase(key);
}

std::size_t ClassQueue::Ahead(CallerClass caller_class, TimeUs deadline) const {
  std::size_t ahead = 0;
  for (std::size_t n = 0; n <= static_cast<std::size_t>(caller_class); ++n) {
    const bool own = n == static_cast<std::size_t>(caller_class);
    for (const Line& line : lines_[n]) {
      ahead += own ? static_cast<std::size_t>(std::distance(
                         line.begin(), line.lower_bound({deadline, {}})))
                   : line.size();
    }
  }
  return ahead;
}

}  // namespace acaciachute
