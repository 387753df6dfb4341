#include "coordination/sidecar/leaving.h"

#include <algorithm>
#include <limits>

namespace acaciachute {
namespace {

constexpr std::size_t Index(LeaveRoute route) {
  return static_cast<std::size_t>(route);
}

// Whether a route's later word may take back an earlier one.
constexpr std::array<bool, kLeaveRouteNames.size()> kTakenBack = {
    true, true, true, false, false};

}  // namespace

void Leaving::OnWord(TimeUs now, LeaveRoute route, bool leaving) {
  if (route == LeaveRoute::kEntry) {
    // Several entries speak; one that has not heard does not outvote one that
    // has, so this word only ages.
    if (leaving) {
      said_[Index(route)] = true;
      entry_word_at_ = now;
    }
    return;
  }
  if (leaving || kTakenBack[Index(route)]) {
    said_[Index(route)] = leaving;
  }
}

void Leaving::OnReport(TimeUs asked_at, bool reachable) {
  reported_ = true;
  reachable_ = reachable;
  if (reachable) {
    report_asked_at_ = std::max(report_asked_at_, asked_at);
  }
}

bool Leaving::IsLeaving(TimeUs now) const {
  for (std::size_t n = 0; n < said_.size(); ++n) {
    const bool aged =
        n == Index(LeaveRoute::kEntry) && now - entry_word_at_ >= kEntryWordAge;
    if (said_[n] && !aged) {
      return true;
    }
  }
  return false;
}

bool Leaving::IsReachable(TimeUs now) const {
  return !reported_ || (reachable_ && now - report_asked_at_ < kReportMaxAge);
}

TimeUs Leaving::NextChange(TimeUs now) const {
  TimeUs next = std::numeric_limits<TimeUs>::max();
  if (reported_ && IsReachable(now)) {
    next = report_asked_at_ + kReportMaxAge;
  }
  if (said_[Index(LeaveRoute::kEntry)] &&
      now - entry_word_at_ < kEntryWordAge) {
    next = std::min(next, entry_word_at_ + kEntryWordAge);
  }
  return next;
}

}  // namespace acaciachute
