#include "coordination/admission/admission.h"

#include <algorithm>

namespace acaciachute {

AdmissionVerdict Admission::Decide(const PipelineEstimate& pipeline,
                                   const Arrival& arrival) const {
  DurationUs needed = 0;
  DurationUs longest_wait = 0;
  PoolState* most_loaded = nullptr;
  for (const StageEstimate& stage : pipeline) {
    const DurationUs wait = stage.pool->load.Wait(arrival.caller_class);
    needed += wait + (stage.service > 0 ? stage.service
                                        : stage.pool->load.MeanService());
    if (wait > longest_wait) {
      longest_wait = wait;
      most_loaded = stage.pool;
    }
  }
  if (most_loaded == nullptr) {
    return {};
  }
  const auto usable_time = static_cast<DurationUs>(
      kUsableTimeShare * static_cast<double>(arrival.time_left));
  if (needed > usable_time) {
    return {Refusal::kFull, most_loaded, needed - usable_time};
  }
  const auto contended_wait = static_cast<DurationUs>(
      kContendedShare[static_cast<std::size_t>(arrival.caller_class)] *
      static_cast<double>(usable_time));
  if (longest_wait > contended_wait &&
      !most_loaded->shares.HasCredit(arrival.account, arrival.weight)) {
    return {Refusal::kOverShare, most_loaded, longest_wait - contended_wait};
  }
  return {};
}

}  // namespace acaciachute
