// Decides whether the upstream of this sidecar may be given new work.
//
// When an upstream is about to be replaced, entries continue to send to it,
// because their replica lists lag by up to 30 s; their work would start on a
// host that is about to be removed. The sidecar learns of it by several routes,
// and the first one that reports it counts. An upstream that does not answer
// gets no new work either.
//
// Guarantee: no call starts at an upstream more than `kMaxReportAge` after its
// last report that it was ready. The age of a report counts from its request,
// so that a slow answer does not extend it. For an upstream that is reported as
// leaving by another route only, the delay is the lag of that route.
#ifndef ACACIACHUTE_SRC_COORDINATION_SIDECAR_LEAVING_H_
#define ACACIACHUTE_SRC_COORDINATION_SIDECAR_LEAVING_H_

#include <array>
#include <string_view>

#include "types.h"

namespace acaciachute {

enum class LeaveRoute { kUpstream, kHostList, kEntry, kOrder, kSignal };
inline constexpr std::array<std::string_view, 5> kLeaveRouteNames = {
    "upstream", "host_list", "entry", "order", "signal"};
constexpr std::string_view Name(LeaveRoute v) {
  return detail::NameIn(kLeaveRouteNames, v);
}

class Leaving {
 public:
  // Maximum age of the upstream's last report. The upstream is polled five
  // times a second and each request times out after one second, so two seconds
  // outlast one lost answer.
  static constexpr DurationUs kMaxReportAge = 2 * kSecond;
  // Lifetime of an entry's report that the upstream leaves. Entries repeat it
  // five times a second. An entry that read an outdated list and then stopped
  // must not exclude a healthy upstream for ever.
  static constexpr DurationUs kMaxEntryReportAge = 5 * kSecond;

  // A route reports that the upstream leaves, or that it does not or no longer
  // leaves. The signal and an order are irrevocable.
  void OnLeaveReport(TimeUs now, LeaveRoute route, bool leaving);
  // The upstream answered or failed to answer the status request sent at
  // `requested_at`.
  void OnReport(TimeUs requested_at, bool reachable);

  bool IsLeaving(TimeUs now) const;
  // Whether the upstream is known to be reachable. True until the first report,
  // so that tests can run a sidecar without reports.
  bool IsReachable(TimeUs now) const;
  // Earliest time after `now` at which `IsLeaving` or `IsReachable` may change
  // without a new report.
  TimeUs NextChange(TimeUs now) const;

 private:
  std::array<bool, kLeaveRouteNames.size()> reported_leaving_{};
  TimeUs entry_report_at_ = 0;
  TimeUs report_requested_at_ = 0;
  bool has_upstream_report_ = false;
  bool reachable_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SIDECAR_LEAVING_H_
