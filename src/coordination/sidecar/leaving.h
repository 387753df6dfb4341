// Whether the upstream beside a sidecar may be given anything new.
//
// Load pattern: an upstream is about to be replaced while entries, whose lists
// lag by up to 30 s, go on sending to it. Without this guard their work starts
// on a host that is taken away under it. The sidecar hears by several routes
// and the first one that tells it counts; silence counts too.
//
// The bound: nothing starts on an upstream more than `kReportMaxAge` after it
// last said that it was ready. A report's age is counted from when it was asked
// for, so that a slow answer cannot stretch it. By another route alone the
// bound is that route's own lag and nothing on top of it.
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
  // The upstream is asked five times a second and each question is given up
  // after one; two seconds outlast one lost answer.
  static constexpr DurationUs kReportMaxAge = 2 * kSecond;
  // Entries repeat their word five times a second. One that read an old list
  // and fell silent must not keep a healthy upstream out for ever.
  static constexpr DurationUs kEntryWordAge = 5 * kSecond;

  // A route says that the upstream leaves, or that it does not (any longer).
  // The signal and an order are never taken back.
  void OnWord(TimeUs now, LeaveRoute route, bool leaving);
  // The upstream answered the question asked at `asked_at`.
  void OnReport(TimeUs asked_at, bool reachable);

  bool IsLeaving(TimeUs now) const;
  // Whether the upstream is known to be there. True until the first report, so
  // that a core can be driven without reports.
  bool IsReachable(TimeUs now) const;
  // When the answers above may change by time alone.
  TimeUs NextChange(TimeUs now) const;

 private:
  std::array<bool, kLeaveRouteNames.size()> said_{};
  TimeUs entry_word_at_ = 0;
  TimeUs report_asked_at_ = 0;
  bool reported_ = false;
  bool reachable_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SIDECAR_LEAVING_H_
