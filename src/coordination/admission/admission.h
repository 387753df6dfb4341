// Whether a request is taken, before any stage has cost anything.
//
// Load pattern: more work comes than generation can serve, while the stages
// before it are idle. Without this every request is encoded, retrieved and
// reranked, waits at generation, and most are late: the dearest stage works for
// callers who have gone. A request is taken when, over all its stages, the wait
// at each pool now plus the service times fit into `kUse` of its time left.
//
// Load pattern: the same, from one account. While the wait at the tightest pool
// is above `kContended` of what may be planned, a request needs a credit of its
// account there; see fair_share.h.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_ADMISSION_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_ADMISSION_H_

#include <array>
#include <vector>

#include "coordination/admission/fair_share.h"
#include "coordination/admission/pool_load.h"
#include "types.h"

namespace acaciachute {

// A pool as one entry uses it.
struct SharedPool {
  PoolLoad load;
  FairShare shares;
  std::vector<Replica*> subset;
};

// One event's stages, with what is known of their cost.
struct StageEstimate {
  SharedPool* pool = nullptr;
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
  const SharedPool* pool = nullptr;  // Where it would not fit.
  DurationUs wait = 0;               // Until it might.
};

class Admission {
 public:
  // Share of the time left that may be planned. The rest covers the spread of
  // service times and the age of reports; in the bench 0.8 serves less at 1.3x
  // and 0.95 lets more be late.
  static constexpr double kUse = 0.9;
  // By class. Below this the queue absorbs what randomness brings; above it,
  // whoever sends more than its share makes it longer. For patient work the
  // bench argues for a quarter: at a tenth slots run empty while reports are
  // 2 s late, at a half a hot account costs the others 4 points. Urgent work
  // waits for one patient service in any case, which alone is a seventh of its
  // time left when generation is slow.
  static constexpr std::array<double, kCallerClassNames.size()> kContended = {
      0.5, 0.25};

  AdmissionVerdict Decide(const PipelineEstimate& pipeline,
                          const Arrival& arrival) const;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_ADMISSION_H_
