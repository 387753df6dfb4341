#include "coordination/sidecar/leaving.h"

#include <algorithm>
#include <limits>

namespace acaciachute {
namespace {

constexpr std::size_t Index(LeaveRoute route) {
  return static_cast<std::size_t>(route);
}

// Whether a later report of the route may revoke an earlier one.
constexpr std::array<bool, kLeaveRouteNames.size()> kRevocable = {
    true, true, true, false, false};

}  // namespace

void Leaving::OnLeaveReport(TimeUs now, LeaveRoute route, bool leaving) {
  if (route == LeaveRoute::kEntry) {
    // Several entries report, and one with an outdated list must not override
    // one that knows that the upstream leaves. So this report only expires.
    if (leaving) {
      reported_leaving_[Index(route)] = true;
      entry_report_at_ = now;
    }
    return;
  }
  if (leaving || kRevocable[Index(route)]) {
    reported_leaving_[Index(route)] = leaving;
  }
}

void Leaving::OnReport(TimeUs requested_at, bool reachable) {
  has_upstream_report_ = true;
  reachable_ = reachable;
  if (reachable) {
    report_requested_at_ = std::max(report_requested_at_, requested_at);
  }
}

bool Leaving::IsLeaving(TimeUs now) const {
  for (std::size_t n = 0; n < reported_leaving_.size(); ++n) {
    const bool expired = n == Index(LeaveRoute::kEntry) &&
                         now - entry_report_at_ >= kMaxEntryReportAge;
    if (reported_leaving_[n] && !expired) {
      return true;
    }
  }
  return false;
}

bool Leaving::IsReachable(TimeUs now) const {
  return !has_upstream_report_ ||
         (reachable_ && now - report_requested_at_ < kMaxReportAge);
}

TimeUs Leaving::NextChange(TimeUs now) const {
  TimeUs next = std::numeric_limits<TimeUs>::max();
  if (has_upstream_report_ && IsReachable(now)) {
    next = report_requested_at_ + kMaxReportAge;
  }
  if (reported_leaving_[Index(LeaveRoute::kEntry)] &&
      now - entry_report_at_ < kMaxEntryReportAge) {
    next = std::min(next, entry_report_at_ + kMaxEntryReportAge);
  }
  return next;
}

}  // namespace acaciachute
