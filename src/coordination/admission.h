// Whether a request is taken, before any stage has cost anything.
//
// Load pattern: more work comes than generation can serve, while the stages
// before it are idle. Without this every request is encoded, retrieved and
// reranked, waits at generation, and most are late: the dearest stage works for
// callers who have gone. A request is taken when, over all its stages, the wait
// at each pool now plus the service times fit into `kUse` of its time left.
//
// Load pattern: one account sends ten times its share. Without shares the
// others are refused as often as it is. An account's work in progress at a pool
// may take a part of the headroom that the wait there leaves to the deadline:
// the fuller the pool, the less each account may hold (dynamic thresholds,
// Choudhury and Hahne 1998). An account below that is never refused for
// another's work; with others idle one account may fill the pool.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_H_

#include <vector>

#include "coordination/pool_load.h"
#include "types.h"

namespace acaciachute {

// One event's stages, with what is known of their cost.
struct StageEstimate {
  PoolLoad* pool = nullptr;
  DurationUs service = 0;  // Moving mean; zero until the first answer.
};
using PipelineEstimate = std::vector<StageEstimate>;

struct Arrival {
  CallerClass caller_class = CallerClass::kPatient;
  AccountIndex account = 0;
  double weight = 1;
  DurationUs time_left = 0;
};

struct AdmissionVerdict {
  Refusal reason = Refusal::kNone;
  const PoolLoad* pool = nullptr;  // Where it would not fit.
  DurationUs wait = 0;             // Until it might.
};

class Admission {
 public:
  // Share of the time left that may be planned. The rest covers the spread of
  // service times and the age of reports.
  static constexpr double kUse = 0.8;
  // Part of the headroom that all active accounts may hold together. With it,
  // a single hot account leaves a fifth of the headroom to newcomers.
  static constexpr double kHold = 4;

  AdmissionVerdict Decide(const PipelineEstimate& pipeline,
                          const Arrival& arrival) const;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_H_
