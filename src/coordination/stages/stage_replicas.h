// What a batcher knows of its service's replicas: who is free, how slow each
// is, who failed lately, and the memory that results hold there.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_REPLICAS_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_REPLICAS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "state/replica_directory.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

class StageReplicas {
 public:
  // After a refusal or a broken call. A restart takes some seconds; a replica
  // that is well again is found by one call.
  static constexpr DurationUs kShun = 400 * kMillisecond;
  static constexpr DurationUs kMostShun = 3200 * kMillisecond;
  // After a replica had no memory left although the account here says so:
  // another gateway's batcher filled it, and its results go as they are used.
  static constexpr DurationUs kFullFor = 300 * kMillisecond;
  // Weight of the newest call in a replica's slowness, and the time after which
  // an old observation counts by 1/e.
  static constexpr double kNewest = 0.5;
  static constexpr DurationUs kForget = 4 * kSecond;
  // From this slowness on a replica gets work only when that is worth it.
  static constexpr double kSound = 1.5;

  // One call, as far as its replica's account needs it.
  struct CallView {
    TimeUs started = 0;
    DurationUs expected = 0;  // Of a sound replica.
    std::uint64_t bytes = 0;  // Of its results.
    bool overdue = false;
  };
  enum class End {
    kAnswered,
    kFailed,
    kLost,  // Nothing is wrong with the replica.
  };
  struct FirstFree {
    std::size_t replicas = 0;  // That are not shunned.
    DurationUs wait = 0;       // Until the first of them is free.
  };

  explicit StageReplicas(const ReplicaDirectory* directory)
      : directory_(directory) {}

  void SetService(const std::string& name, const BatchLimits& limits);
  const std::vector<const ReplicaEntry*>& All() const {
    return directory_->Of(service_);
  }

  // Of the producer of a result.
  bool InEvacuatedDomain(const std::string& handle) const;

  // That take a call now, the fastest first.
  std::vector<const ReplicaEntry*> Free(TimeUs now);
  // Whether a slow replica would finish before the sound ones, which are busy,
  // could have made the `waiting` pieces.
  bool WorthIt(TimeUs now, const ReplicaEntry& replica, std::size_t waiting);
  bool IsShunned(TimeUs now, const ReplicaId& id) const;
  FirstFree WhenFree(TimeUs now, DurationUs most) const;
  double Slowness(TimeUs now, const ReplicaId& id) const;
  DurationUs CallTime(double slowness, std::size_t pieces) const;

  // Returns how long the call will take there.
  DurationUs OnCallStarted(TimeUs now, const ReplicaId& id, std::size_t pieces);
  // It no longer counts as one that keeps the replica busy.
  void OnCallOverdue(TimeUs now, const ReplicaId& id, const CallView& call);
  void OnCallEnded(TimeUs now,
                   const ReplicaId& id,
                   const CallView& call,
                   End end);
  void OnOutOfMemory(TimeUs now, const ReplicaId& id);
  void OnGone(const ReplicaId& id) { states_.erase(id); }

  // Memory at a replica, results that are being made included.
  std::uint64_t HeldBytes(const ReplicaId& id) const;
  void Reserve(const ReplicaId& id, std::uint64_t bytes);
  // A result lies there until it is forgotten or lapses.
  void Hold(TimeUs now,
            const ReplicaId& id,
            const std::string& handle,
            std::uint64_t bytes);
  void Forget(const std::string& handle);
  void ForgetLapsed(TimeUs now);
  // Share of all replicas' memory that is held.
  double MemoryHeld() const;

 private:
  struct ReplicaState {
    std::uint32_t calls = 0;    // Those that are overdue left out.
    std::uint32_t overdue = 0;  // Calls that may never be answered.
    double slowness = 1;        // Measured against expected time.
    TimeUs measured_at = 0;
    TimeUs shunned_until = 0;
    DurationUs shun = kShun;
    TimeUs free_at = 0;
    TimeUs full_until = 0;  // It had no memory left, by results not known here.
    std::uint64_t held_bytes = 0;  // Results there, and those being made.
  };
  struct Held {
    ReplicaId producer;
    std::uint64_t bytes = 0;
    TimeUs until = 0;  // Its producer forgets it by then.
  };

  static double SlownessOf(TimeUs now, const ReplicaState& state);
  const ReplicaState* Find(const ReplicaId& id) const;
  void Release(const ReplicaId& id, std::uint64_t bytes);

  const ReplicaDirectory* const directory_;
  std::string service_;
  BatchLimits limits_;
  absl::flat_hash_map<ReplicaId, ReplicaState> states_;
  std::map<std::string, Held> held_;  // By handle.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_REPLICAS_H_
