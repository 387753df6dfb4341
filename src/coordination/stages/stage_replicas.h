// State of the replicas of one service as its batcher sees them: which are
// free, how slow each is, and which failed recently. See `ResultMemory` for
// their memory.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_REPLICAS_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_REPLICAS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "state/replica_directory.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

class StageReplicas {
 public:
  // Time without calls to a replica after a refused or broken call; it doubles
  // with each further failure. A restart takes some seconds; a recovered
  // replica is found by a single call.
  static constexpr DurationUs kFailureBackoff = 400 * kMillisecond;
  static constexpr DurationUs kMaxFailureBackoff = 3200 * kMillisecond;
  // Weight of the newest call in the moving average of a replica's slowness,
  // and the time after which the weight of an old observation has fallen to
  // 1/e.
  static constexpr double kNewestCallWeight = 0.5;
  static constexpr DurationUs kSlownessDecayTime = 4 * kSecond;
  // A replica with at least this slowness counts as slow and gets calls only if
  // it would finish before the others; see `ShouldUse`.
  static constexpr double kSlowThreshold = 1.5;

  // The data of one call that a replica's state is updated from.
  struct CallView {
    TimeUs started = 0;
    DurationUs expected = 0;  // By a replica of normal speed.
    bool overdue = false;
  };
  enum class End {
    kAnswered,
    kFailed,
    kLost,  // The answer was lost; the replica itself works.
  };
  struct Availability {
    // Replicas that accept calls now or, if none does, at the earliest time.
    std::size_t replicas = 0;
    DurationUs wait = 0;  // Until the first of them is free.
  };
  // From when a replica accepts the next call by its own statements.
  using NextCallFn = std::function<TimeUs(const ReplicaEntry& replica)>;

  explicit StageReplicas(const ReplicaDirectory* directory)
      : directory_(directory) {}

  void SetService(const std::string& name, const BatchLimits& limits);
  const std::vector<const ReplicaEntry*>& All() const {
    return directory_->Of(service_);
  }

  // Whether the replica that produced this result is in a failure domain that
  // is being evacuated.
  bool InEvacuatedDomain(const std::string& handle) const;

  // The replicas that can take a call now, fastest first.
  std::vector<const ReplicaEntry*> FreeReplicas(TimeUs now);
  // Whether to give the replica a call: true unless it is slow and the replicas
  // of normal speed, though busy, would complete the `waiting` pieces sooner.
  bool ShouldUse(TimeUs now, const ReplicaEntry& replica, std::size_t waiting);
  bool InBackoff(TimeUs now, const ReplicaId& id) const;
  // Replicas in backoff after a failure do not count.
  Availability NextAvailability(TimeUs now,
                                DurationUs max_wait,
                                const NextCallFn& next_call) const;
  double Slowness(TimeUs now, const ReplicaId& id) const;
  DurationUs CallTime(double slowness, std::size_t pieces) const;

  // Returns the expected duration of the call on that replica.
  DurationUs OnCallStarted(TimeUs now, const ReplicaId& id, std::size_t pieces);
  // The call no longer counts against the replica's slots.
  void OnCallOverdue(TimeUs now, const ReplicaId& id, const CallView& call);
  void OnCallEnded(TimeUs now,
                   const ReplicaId& id,
                   const CallView& call,
                   End end);
  void OnReplicaRemoved(const ReplicaId& id) { states_.erase(id); }

 private:
  struct ReplicaState {
    std::uint32_t calls = 0;    // In progress and not overdue.
    std::uint32_t overdue = 0;  // Overdue calls, which may never be answered.
    double slowness = 1;  // Measured call time divided by the expected one.
    TimeUs measured_at = 0;
    TimeUs backoff_until = 0;
    DurationUs backoff = kFailureBackoff;
    TimeUs free_at = 0;
  };

  static double SlownessOf(TimeUs now, const ReplicaState& state);
  const ReplicaState* Find(const ReplicaId& id) const;

  const ReplicaDirectory* const directory_;
  std::string service_;
  BatchLimits limits_;
  absl::flat_hash_map<ReplicaId, ReplicaState> states_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_REPLICAS_H_
