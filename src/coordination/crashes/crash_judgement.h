// Judges, from all ends of replicas that no answer took back, which causes end
// replicas: as few as explain the ends.
//
// - Ends in sequence tell more than ends at the same time: many replicas end at
//   once as their hosts lose power, while copies of one request run at them.
// - The ends of a cause that has too many do not count for causes with fewer:
//   they were in progress beside it.
// - The ends of one such request count once for a part, as all copies of the
//   request have the part: it is the part only if others with it end replicas.
// - A verdict on a request is doubtful until enough ends were in sequence, or
//   copies that tried it ended replicas: one copy at a time is sent then (see
//   `RequestTrials`).
// - A verdict on a part is doubtful until a request that tried it ended a
//   replica too: what goes with the guilty part has the same ends while no
//   answer has begun on it, as after a restart of all gateways.
#ifndef ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_JUDGEMENT_H_
#define ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_JUDGEMENT_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "coordination/crashes/broken_attempts.h"
#include "messages.h"
#include "state/crash_cause.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

// Copies that tried a request and ended replicas after which it is certain that
// the request ends them: as many may reach replicas late.
inline constexpr std::size_t kMaxFailedTrials = 3;

// When causes of a kind are blocked. Requests are from `ends` on in any order,
// in doubt.
struct CauseLimits {
  // Replicas that end under it in sequence, or in any order.
  std::size_t ends = 0;
  std::size_t ends_at_once = 0;
  // If an answer cleared it before: replicas that end under it, and how many of
  // them in sequence.
  std::size_t ends_if_cleared = 0;
  std::size_t sequence_if_cleared = 0;
  // How long it stays blocked after the last end, and how long it is remembered
  // then; `kNever`: until an answer or an operator clears it.
  DurationUs block_duration = kNever;
  DurationUs blocked_lifetime = kNever;
};

// A request is blocked for an hour: by then whoever runs the replicas has had
// time to mend or replace them, and one more end blocks it again. Its copies
// run at many replicas at once, so ends at the same time leave a doubt. Of a
// part, requests that differ come at all gateways at once, and without
// `ends_at_once` each wave of them would end as many replicas.
constexpr CauseLimits LimitsOf(CauseKind kind) {
  constexpr CauseLimits kRequest = {3, SIZE_MAX,       6,
                                    6, 3600 * kSecond, 24 * 3600 * kSecond};
  constexpr CauseLimits kPart = {3, 5, 6, 3, kNever, kNever};
  return kind == CauseKind::kRequest ? kRequest : kPart;
}

// A run at a replica, which ended under it.
struct EndedRun {
  TimeUs began_at = 0;
  TimeUs ended_at = 0;
  bool tried = false;  // The run was to try the cause, alone.
};

// What is known of one cause, and the verdict on it.
struct JudgedCause {
  CauseKind kind = CauseKind::kRequest;
  bool cleared_before = false;
  std::vector<std::pair<ReplicaId, EndedRun>>
      ends;  // Without those taken back.

  bool has_too_many = false;  // Of all ends, whatever else explains them.
  std::size_t counted = 0;    // Ends that nothing else explains.
  bool blocked = false;
  bool doubtful = false;
  TimeUs decided_at = 0;  // The end that made them as many as the limit.
  // Blocked parts with the same ends, this one included.
  std::size_t rivals = 0;
};

// The most runs of which each began after the end of the one before.
std::size_t InSequence(std::vector<EndedRun> runs);

// Sets the verdicts.
void JudgeCauses(std::vector<JudgedCause>* causes);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_JUDGEMENT_H_
