// Implementation of `Sidecar`, shared by its two files: sidecar.cc handles
// input from entries, sidecar_upstream.cc input from the upstream.
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

// A waiting or running call.
struct Work {
  NodeId entry;
  StageCall call;
  TimeUs received = 0;
  TimeUs deadline = 0;
  TimeUs started_at = 0;
  UpstreamCallId upstream_call = 0;  // Zero while the call waits.
  std::uint32_t next_chunk = 0;
  bool is_long = false;
  // A suspect of the quarantine: runs with no other call beside it.
  bool isolated = false;
  // The connection was lost; the crash check is still in progress.
  bool connection_lost = false;

  bool waits() const { return upstream_call == 0; }
};

// A call past its deadline or cancelled that still occupies its slot, because
// it must not be interrupted.
struct Overrun {
  TimeUs until = 0;
  Quarantine::Suspect suspect;
};

}  // namespace detail

struct Sidecar::Impl {
  using Work = detail::Work;

  Impl(SidecarOptions sidecar_options, SidecarOutput* out, Metrics* counters);

  // Applies all changes that depend on time alone; called before each input is
  // handled.
  void ApplyTimeouts(TimeUs now);
  Refusal ClosedReason(TimeUs now) const;
  void EndExpired(TimeUs now);
  void RefuseWaiting(TimeUs now, Refusal reason);

  // Calls and cancels.
  void OnCall(TimeUs now, const NodeId& from, const StageCall& call);
  void Enqueue(TimeUs now, Work item);
  void OnCancel(TimeUs now, const NodeId& from, const StageCancel& cancel);
  bool CanMeetDeadline(TimeUs now, const Work& item) const;
  DurationUs ExpectedWait(const Work& item) const;
  DurationUs RetryAfter() const;

  // Starting of calls.
  std::uint32_t Occupied() const;
  void StartWaiting(TimeUs now);
  bool StartIsolated(TimeUs now);
  bool IsolatedIsNext() const;
  void EndIsolationHold(TimeUs now);
  bool StartCall(TimeUs now, const StageKey& key);

  // Completion of calls.
  void Refuse(TimeUs now, const Work& item, Refusal reason);
  void Fail(TimeUs now,
            const Work& item,
            Verdict verdict,
            Refusal reason,
            bool crashed = false);
  // `EndWaiting` and `EndRunning` report the failure to the entry and forget
  // the call.
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
  TimeUs last_input_at = 0;
  UpstreamCallId next_upstream_call = 1;

  absl::flat_hash_map<StageKey, Work> work;
  absl::flat_hash_map<UpstreamCallId, StageKey> running;
  absl::flat_hash_map<UpstreamCallId, detail::Overrun> overrunning;
  std::set<std::pair<TimeUs, StageKey>> deadlines;
  Tombstones tombstones;
  MessageAge message_ages;
  Leaving leaving;

  ClassQueue queue;
  std::uint32_t running_long = 0;
  ServiceTimes service_times;
  ConcurrencyLimit limit;

  Quarantine quarantine;
  std::deque<StageKey> isolated_waiting;
  bool isolated_running = false;
  // End of the period in which slots are kept free for an isolated call; zero
  // if there is none.
  TimeUs isolation_hold_until = 0;
  // Number of other calls to start before the next isolated one.
  std::uint32_t starts_before_isolated = 0;

  std::string upstream_instance;
  // Start of the crash check; zero if none is in progress.
  TimeUs crash_check_at = 0;
  std::vector<Quarantine::Suspect> in_progress_at_crash;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SIDECAR_SIDECAR_IMPL_H_
