#include "coordination/admission.h"

#include <algorithm>

namespace acaciachute {

AdmissionVerdict Admission::Decide(const PipelineEstimate& pipeline,
                                   const Arrival& arrival) const {
  DurationUs needed = 0;
  DurationUs longest = 0;
  const PoolLoad* tightest = nullptr;
  for (const StageEstimate& stage : pipeline) {
    const DurationUs wait = stage.pool->Wait(arrival.caller_class);
    needed +=
        wait + (stage.service > 0 ? stage.service : stage.pool->MeanService());
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
  const DurationUs held =
      tightest->WorkOf(arrival.account, arrival.caller_class);
  if (held == 0) {
    return {};
  }
  const double part = kHold * arrival.weight /
                      std::max(arrival.weight, tightest->ActiveWeight());
  const auto allowed =
      static_cast<DurationUs>(part * static_cast<double>(usable - needed));
  if (held > allowed) {
    return {Refusal::kOverShare, tightest, held - allowed};
  }
  return {};
}

}  // namespace acaciachute
