// Decides whether a request with stages is admitted, by the forecast waits in
// the queues of its stages at the times when it reaches them.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_STAGE_ADMISSION_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_STAGE_ADMISSION_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/stages/stage_progress.h"
#include "state/piece.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

// Result of the admission decision: on time, admitted although it will be late,
// parked until the queues are short, or refused.
enum class AdmissionResult { kInTime, kLate, kParked, kRefused };
inline constexpr std::array<std::string_view, 4> kAdmissionResultNames = {
    "in_time", "late", "parked", "refused"};
constexpr std::string_view Name(AdmissionResult v) {
  return detail::NameIn(kAdmissionResultNames, v);
}

// One stage of a request, in the order of its route.
struct StageOutlook {
  std::string service;
  std::vector<std::uint32_t> after;  // The stages that it needs.
  std::uint32_t pieces = 0;          // Zero: the request skips the stage.
  std::uint64_t result_bytes = 0;    // Of each piece.
  bool submitted = false;
  bool made = false;
  DurationUs time = 0;  // In its calls, without waiting.
  // Behind a queue, calls are full and take longer than `time` by this.
  DurationUs more_if_full = 0;
  DurationUs not_before = 0;  // Time to which its start is deferred.
  // Its results are deleted after this; zero: not known.
  DurationUs result_lifetime = 0;
  QueueWait wait;  // Of its service.
};

// The stages of `route` with the waits that `wait_of` gives for a service.
std::vector<StageOutlook> OutlookOfStages(
    const Route& route,
    const ServingConfig& config,
    const StageProgress& progress,
    const std::function<QueueWait(const std::string& service)>& wait_of);

struct PathForecast {
  // By which waits lengthen the time until all stages are made.
  DurationUs wait = 0;
  DurationUs longest_wait = 0;  // In one queue.
  // A result would be deleted before the stage that needs it begins.
  bool inputs_expire = false;
  // By stage: when it is submitted, counted from now, and how long it waits.
  std::vector<DurationUs> submitted_in;
  std::vector<DurationUs> waits;
};

// `late`: for a request that can no longer meet its target.
PathForecast ForecastPath(const std::vector<StageOutlook>& stages,
                          std::uint32_t priority,
                          bool late);

// The stages that are still to be submitted, for their services' queues.
std::vector<ComingPieces> ComingOf(const std::string& request,
                                   const std::vector<StageOutlook>& stages,
                                   std::uint32_t priority);

// What the decision is made from. Times are counted from now.
struct AdmissionCase {
  PathForecast in_time;
  PathForecast late;
  DurationUs work = 0;  // Until the first event, without waiting.
  DurationUs until_target = 0;
  DurationUs until_client_leaves = 0;
  // Requests that are parked already start during this time.
  DurationUs parked_ahead = 0;
};

class StageAdmission {
 public:
  // A request that will miss its target is admitted if it is expected to be
  // served within this share of its remaining time; the margin is large because
  // a client that has waited and is not served loses more than one refused at
  // once.
  static constexpr double kLateShare = 0.35;
  // The same for a request that is parked first.
  static constexpr double kParkedShare = 0.6;
  // A parked request is started once the expected queue waits are below this.
  static constexpr DurationUs kParkedStartWait = 500 * kMillisecond;

  static AdmissionResult Decide(const AdmissionCase& it);
  // For the log.
  static std::string Describe(const AdmissionCase& it);
  static bool MayStartParked(const PathForecast& late);
  // After this time, if the queues only get shorter, a refused request would be
  // admitted as late.
  static DurationUs WaitUntilAdmitted(const AdmissionCase& it);
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_STAGE_ADMISSION_H_
