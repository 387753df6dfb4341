// Makes an entry's load decisions: which requests are admitted, which replica
// runs a stage, and whether a failed attempt is retried. It owns the decision
// modules and the counts that they share; the entry reports the progress of
// requests and attempts to it.
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

// The part of an admitted request in the load counts. Stored with the request
// and passed to `LoadControl` at each step.
struct RequestLoad {
  std::shared_ptr<PipelineEstimate> pipeline;
  CallerClass caller_class = CallerClass::kPatient;
  AccountIndex account = 0;
  // Index of the current stage.
  std::size_t stage = 0;
  bool started = false;  // The current stage was sent at least once.
};

// The decision on a request; a reason of `kNone` means that it is admitted.
struct LoadDecision {
  Refusal reason = Refusal::kNone;
  DurationUs retry_after = 0;
};

// How an attempt ended: answered, refused by the replica, failed, never sent,
// or abandoned by the entry.
enum class AttemptEnd { kAnswered, kRefused, kFailed, kUnsent, kGivenUp };

class LoadControl {
 public:
  LoadControl(NodeId entry, ReplicaTable* replicas, Random* random);

  // Call this after the replica table has applied the settings.
  void OnSettings(SettingsPtr settings);
  // Call this after a replica's load report.
  void OnReport(Replica* replica);
  // Call this after a replica's state changed without a report.
  void Update(Replica* replica);
  // The connection to the replica was lost. The attempts there are ended
  // separately.
  void OnUnreachable(Replica* replica);

  // Decides whether a request is admitted; if so, counts it in `load`.
  LoadDecision Admit(TimeUs now,
                     std::string_view event_name,
                     const Event& event,
                     std::string_view account,
                     CallerClass caller_class,
                     DurationUs time_left,
                     RequestLoad* load);
  // A request ended, for any reason. Has no effect if the request was not
  // admitted.
  void OnRequestEnd(RequestLoad* load);

  // Returns null if no replica outside `tried` accepts work. `settings` are
  // those that the request was admitted under.
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
  // Whether one more attempt may be made. An attempt that was never sent needs
  // no retry token.
  bool TakeRetry(TimeUs now, AttemptEnd end) {
    return end == AttemptEnd::kUnsent || retry_budget_.TryUseRetry(now);
  }

 private:
  PoolState* PoolNamed(std::string_view name);
  const std::shared_ptr<PipelineEstimate>& EstimateOf(std::string_view name,
                                                      const Event& event);
  // Ends the current stage in the counts and moves on to the next one.
  void LeaveStage(RequestLoad* load);

  const NodeId entry_;
  ReplicaTable* const replicas_;
  SettingsPtr settings_;
  AccountTable accounts_;
  Admission admission_;
  Router router_;
  RetryBudget retry_budget_;
  ReturnSchedule return_schedule_;
  absl::flat_hash_map<std::string, std::unique_ptr<PoolState>> pools_;
  absl::flat_hash_map<std::string, std::shared_ptr<PipelineEstimate>>
      estimates_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_LOAD_CONTROL_H_
