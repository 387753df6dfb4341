// Inside of `Sidecar`, shared by its two files: sidecar.cc has what entries
// send, sidecar_upstream.cc what the upstream says.
#ifndef ACACIACHUTE_SRC_COORDINATION_SIDECAR_SIDECAR_IMPL_H_
#define ACACIACHUTE_SRC_COORDINATION_SIDECAR_SIDECAR_IMPL_H_

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/admission/class_queue.h"
#include "coordination/admission/concurrency_limit.h"
#include "coordination/admission/service_times.h"
#include "coordination/interface/quarantine.h"
#include "coordination/membership/message_age.h"
#include "coordination/sidecar/leaving.h"
#include "coordination/sidecar/sidecar.h"
#include "coordination/sidecar/tombstones.h"

namespace acaciachute {
namespace detail {

// A call that is waiting or running.
struct Work {
  NodeId entry;
  StageCall call;
  TimeUs received = 0;
  TimeUs deadline = 0;
  TimeUs handed_over = 0;
  UpstreamCallId upstream_call = 0;  // Zero while it waits.
  std::uint32_t next_chunk = 0;
  bool is_long = false;
  bool apart = false;   // Runs with nothing beside it.
  bool broken = false;  // Its connection broke; the cause is being looked at.

  bool waits() const { return upstream_call == 0; }
};

// A call that nobody waits for and that still holds its slot.
struct Overrun {
  TimeUs until = 0;
  Quarantine::Suspect suspect;
};

}  // namespace detail

struct Sidecar::Impl {
  using Work = detail::Work;

  Impl(SidecarOptions sidecar_options, SidecarOutput* out, Metrics* counters);

  // What time alone has changed; before each input.
  void BeforeInput(TimeUs now);
  Refusal Closed(TimeUs now) const;
  void EndLate(TimeUs now);
  void HandBackWaiting(TimeUs now, Refusal reason);

  // Calls and cancels.
  void OnCall(TimeUs now, const NodeId& from, const StageCall& call);
  void Enqueue(TimeUs now, Work item);
  void OnCancel(TimeUs now, const NodeId& from, const StageCancel& cancel);
  bool CanMeetDeadline(TimeUs now, const Work& item) const;
  DurationUs ExpectedWait(const Work& item) const;
  DurationUs RetryAfter() const;

  // Starting.
  std::uint32_t Occupied() const;
  void StartWaiting(TimeUs now);
  bool StartApart(TimeUs now);
  bool ApartIsNext() const;
  void EndApartHold(TimeUs now);
  bool HandOver(TimeUs now, const StageKey& key);

  // Ending.
  void Refuse(TimeUs now, const Work& item, Refusal reason);
  void Fail(TimeUs now,
            const Work& item,
            Verdict verdict,
            Refusal reason,
            bool crashed = false);
  // `EndWaiting` and `EndRunning` tell the entry and forget the work.
  void EndWaiting(TimeUs now, const StageKey& key, Refusal reason);
  void EndRunning(TimeUs now, const StageKey& key, Refusal reason);
  void Forget(TimeUs now, const StageKey& key);
  void ExportSpan(TimeUs now, const Work& item, std::string_view outcome);

  // The upstream.
  Work* FindRunning(UpstreamCallId id);
  void EndOverrun(TimeUs now, UpstreamCallId id);
  void OnAnswered(TimeUs now, const StageKey& key, DurationUs service);
  void StartCrashCheck(TimeUs now);
  void EndCrashCheck(TimeUs now, bool crashed);

  const SidecarOptions options;
  SidecarOutput* const output;
  Metrics* const metrics;
  NodeState state = NodeState::kReady;
  TimeUs clock = 0;  // Of the last input.
  UpstreamCallId next_upstream_call = 1;

  absl::flat_hash_map<StageKey, Work> work;
  absl::flat_hash_map<UpstreamCallId, StageKey> running;
  absl::flat_hash_map<UpstreamCallId, detail::Overrun> overrunning;
  std::set<std::pair<TimeUs, StageKey>> deadlines;
  Tombstones tombstones;
  MessageAge ages;
  Leaving leaving;

  ClassQueue queue;
  std::uint32_t running_long = 0;
  ServiceTimes times;
  ConcurrencyLimit limit;

  Quarantine quarantine;
  std::deque<StageKey> apart_waiting;
  bool apart_running = false;
  TimeUs apart_hold_until = 0;    // Zero: no slot is kept free for one.
  std::uint32_t starts_owed = 0;  // To other calls, before the next one apart.

  std::string upstream_instance;
  TimeUs crash_check_at = 0;  // Zero: none is under way.
  std::vector<Quarantine::Suspect> in_progress_at_crash;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SIDECAR_SIDECAR_IMPL_H_
