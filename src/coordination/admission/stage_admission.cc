#include "coordination/admission/stage_admission.h"

#include "text.h"

namespace acaciachute {

std::vector<StageOutlook> OutlookOfStages(
    const Route& route,
    const ServingConfig& config,
    const StageProgress& progress,
    const std::function<QueueWait(const std::string& service)>& wait_of) {
  std::vector<StageOutlook> stages;
  for (std::uint32_t n = 0; n < route.stages.size(); ++n) {
    const StageSpec& spec = route.stages[n];
    const Service* service = config.FindService(spec.service);
    StageOutlook& it = stages.emplace_back();
    it.service = spec.service;
    it.after = spec.after;
    it.pieces = progress.Pieces(n);
    it.result_bytes = spec.result_bytes;
    it.submitted = progress.IsStarted(n);
    it.made = it.pieces > 0 && progress.IsMade(n);
    it.time = progress.TimeOf(n);
    it.not_before = progress.DeferredFor(n);
    if (service != nullptr && service->batching) {
      const BatchLimits& limits = *service->batching;
      it.result_lifetime = limits.result_lifetime;
      it.more_if_full = limits.piece * (limits.batch - limits.batch / 2);
    }
    it.wait = wait_of(spec.service);
  }
  return stages;
}

PathForecast ForecastPath(const std::vector<StageOutlook>& stages,
                          std::uint32_t priority,
                          bool late) {
  PathForecast path;
  path.submitted_in.resize(stages.size());
  path.waits.resize(stages.size());
  // When each stage ends, with and without waiting.
  std::vector<DurationUs> ends(stages.size());
  std::vector<DurationUs> ends_unqueued(stages.size());
  DurationUs last = 0;
  DurationUs last_unqueued = 0;
  for (std::size_t n = 0; n < stages.size(); ++n) {
    const StageOutlook& stage = stages[n];
    DurationUs start = stage.not_before;
    DurationUs start_unqueued = stage.not_before;
    for (const std::uint32_t needed : stage.after) {
      if (needed < n) {
        start = std::max(start, ends[needed]);
        start_unqueued = std::max(start_unqueued, ends_unqueued[needed]);
      }
    }
    if (stage.made || stage.pieces == 0) {
      // What needs it waits for what it needed.
      ends[n] = stage.made ? 0 : start;
      ends_unqueued[n] = stage.made ? 0 : start_unqueued;
      continue;
    }
    const DurationUs wait = late ? stage.wait.LateOfArrival(start)
                                 : stage.wait.OfArrival(priority, start);
    path.submitted_in[n] = start;
    path.waits[n] = wait;
    path.longest_wait = std::max(path.longest_wait, wait);
    for (const std::uint32_t needed : stage.after) {
      if (needed < n && stages[needed].result_lifetime > 0 &&
          stages[needed].pieces > 0) {
        path.inputs_expire =
            path.inputs_expire ||
            start + wait - ends[needed] >= stages[needed].result_lifetime;
      }
    }
    ends[n] = start + wait + stage.time +
              (wait > 0 && !late ? stage.more_if_full : 0);
    ends_unqueued[n] = start_unqueued + stage.time;
    last = std::max(last, ends[n]);
    last_unqueued = std::max(last_unqueued, ends_unqueued[n]);
  }
  path.wait = last - last_unqueued;
  return path;
}

std::vector<ComingPieces> ComingOf(const std::string& request,
                                   const std::vector<StageOutlook>& stages,
                                   std::uint32_t priority) {
  const PathForecast path = ForecastPath(stages, priority, false);
  std::vector<ComingPieces> coming;
  for (std::uint32_t n = 0; n < stages.size(); ++n) {
    const StageOutlook& stage = stages[n];
    if (stage.pieces > 0 && !stage.made && !stage.submitted) {
      coming.push_back({request, n, stage.service, priority, stage.pieces,
                        stage.result_bytes, path.submitted_in[n]});
    }
  }
  return coming;
}

AdmissionResult StageAdmission::Decide(const AdmissionCase& it) {
  const auto left = static_cast<double>(it.until_client_leaves);
  if (!it.in_time.inputs_expire &&
      it.in_time.wait + it.work <= it.until_target) {
    return AdmissionResult::kInTime;
  }
  const DurationUs served = it.late.wait + it.work;
  if (!it.late.inputs_expire &&
      static_cast<double>(served) <= kLateShare * left) {
    return AdmissionResult::kLate;
  }
  if (static_cast<double>(served + it.parked_ahead) <= kParkedShare * left) {
    return AdmissionResult::kParked;
  }
  return AdmissionResult::kRefused;
}

std::string StageAdmission::Describe(const AdmissionCase& it) {
  return StrCat("work ", it.work / kMillisecond, " ms, wait ",
                it.in_time.wait / kMillisecond, " or if late ",
                it.late.wait / kMillisecond, ", until late ",
                it.until_target / kMillisecond, ", until its client leaves ",
                it.until_client_leaves / kMillisecond,
                it.in_time.inputs_expire ? ", results would expire" : "");
}

bool StageAdmission::MayStartParked(const PathForecast& late) {
  return !late.inputs_expire && late.longest_wait <= kParkedStartWait;
}

// After the time t the wait is shorter by t, and so is the client's time.
DurationUs StageAdmission::WaitUntilAdmitted(const AdmissionCase& it) {
  const double missing =
      static_cast<double>(it.late.wait + it.work) -
      (kLateShare * static_cast<double>(it.until_client_leaves));
  return static_cast<DurationUs>(std::max(0.0, missing) / (1 - kLateShare));
}

}  // namespace acaciachute
