// What an entry decides under load, in one place: whom it takes, where a stage
// is sent, what is tried again. It holds the decision modules and the counts
// that they share; the entry tells it what happens to requests and attempts.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_LOAD_CONTROL_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_LOAD_CONTROL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/admission/account_table.h"
#include "coordination/admission/admission.h"
#include "coordination/admission/retry_budget.h"
#include "coordination/admission/return_schedule.h"
#include "coordination/choice/router.h"
#include "state/random.h"
#include "state/replica_table.h"
#include "state/settings.h"
#include "types.h"

namespace acaciachute {

// An admitted request's place in the counts. Kept with the request and given
// back to `LoadControl` at each step.
struct RequestLoad {
  std::shared_ptr<PipelineEstimate> pipeline;
  CallerClass caller_class = CallerClass::kPatient;
  AccountIndex account = 0;
  std::size_t stage = 0;
  bool started = false;  // The stage was sent at least once.
};

struct LoadDecision {
  Refusal reason = Refusal::kNone;
  DurationUs retry_after = 0;
};

enum class AttemptEnd { kAnswered, kRefused, kFailed, kUnsent, kGivenUp };

class LoadControl {
 public:
  LoadControl(NodeId entry, ReplicaTable* replicas, Random* random);

  // After the replica table took the settings over.
  void OnSettings(SettingsPtr settings);
  // After a replica's report.
  void OnReport(Replica* replica);
  // After its state changed without one.
  void Update(Replica* replica);
  // Its connection broke; attempts there end on their own.
  void OnUnreachable(Replica* replica);

  // Decides on a request, and counts it when it is taken.
  LoadDecision Admit(TimeUs now,
                     std::string_view event_name,
                     const Event& event,
                     std::string_view account,
                     CallerClass caller_class,
                     DurationUs time_left,
                     RequestLoad* load);
  // A request ended, in whatever way; harmless when it was never admitted.
  void OnRequestEnd(RequestLoad* load);

  // Null when no replica outside `tried` takes work. `settings` are those that
  // the request was admitted under.
  Replica* Choose(TimeUs now,
                  const SettingsPtr& settings,
                  std::string_view pool,
                  const std::vector<NodeId>& tried,
                  CallerClass caller_class,
                  bool idempotent);
  void OnAttemptStart(RequestLoad* load, Replica* replica);
  void OnAttemptEnd(TimeUs now,
                    RequestLoad* load,
                    Replica* replica,
                    AttemptEnd end,
                    DurationUs service);
  // Whether one more attempt may be made. One that never left cost nothing.
  bool TakeRetry(AttemptEnd end) {
    return end == AttemptEnd::kUnsent || retries_.Take();
  }

 private:
  SharedPool* PoolNamed(std::string_view name);
  const std::shared_ptr<PipelineEstimate>& EstimateOf(std::string_view name,
                                                      const Event& event);
  void LeaveStage(RequestLoad* load);

  const NodeId entry_;
  ReplicaTable* const replicas_;
  SettingsPtr settings_;
  AccountTable accounts_;
  Admission admission_;
  Router router_;
  RetryBudget retries_;
  ReturnSchedule returns_;
  absl::flat_hash_map<std::string, std::unique_ptr<SharedPool>> pools_;
  absl::flat_hash_map<std::string, std::shared_ptr<PipelineEstimate>> events_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_LOAD_CONTROL_H_
