#include "coordination/admission/admission.h"

#include <algorithm>

namespace acaciachute {

AdmissionVerdict Admission::Decide(const PipelineEstimate& pipeline,
                                   const Arrival& arrival) const {
  DurationUs needed = 0;
  DurationUs longest = 0;
  SharedPool* tightest = nullptr;
  for (const StageEstimate& stage : pipeline) {
    const DurationUs wait = stage.pool->load.Wait(arrival.caller_class);
    needed += wait + (stage.service > 0 ? stage.service
                                        : stage.pool->load.MeanService());
    if (wait > longest) {
      longest = wait;
      tightest = stage.pool;
    }
  }
  if (tightest == nullptr) {
    return {};
  }
  const auto usable =
      static_cast<DurationUs>(kUse * static_cast<double>(arrival.time_left));
  if (needed > usable) {
    return {Refusal::kFull, tightest, needed - usable};
  }
  const auto contended = static_cast<DurationUs>(
      kContended[static_cast<std::size_t>(arrival.caller_class)] *
      static_cast<double>(usable));
  if (longest > contended &&
      !tightest->shares.HasCredit(arrival.account, arrival.weight)) {
    return {Refusal::kOverShare, tightest, longest - contended};
  }
  return {};
}

}  // namespace acaciachute
