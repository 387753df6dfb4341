// Holds back memory at one replica for a large group of pieces.
//
// A group starts only where all its results fit. While smaller groups fill each
// gap, a large one would wait until the queue is empty. So a group at the head
// of the queue that has waited for long and fits nowhere gets one replica,
// which takes little else until the group has started.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_MEMORY_HOLD_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_MEMORY_HOLD_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "state/piece.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class MemoryHold {
 public:
  // Share of the time between a piece's arrival and its latest start after
  // which its group has waited for long.
  static constexpr double kHoldShare = 0.25;
  // One replica of this many may be held.
  static constexpr std::size_t kReplicasPerHold = 3;
  // A hold ends after this time; the next one begins no sooner than that after
  // it.
  static constexpr DurationUs kMaxHold = 600 * kMillisecond;
  // Number of groups at the head of the queue for which memory may be held.
  static constexpr std::size_t kHeadGroups = 4;

  struct Held {
    std::string request;
    std::uint32_t stage = 0;
    ReplicaId replica;
    std::uint64_t bytes = 0;
    TimeUs since = 0;
  };

  static bool WaitedLong(TimeUs now, TimeUs queued_at, TimeUs latest_start);

  // Whether memory may be held at one more of this many replicas.
  bool MayBegin(TimeUs now, std::size_t replicas) const;
  bool HoldsFor(const PieceKey& key) const;
  bool HoldsAt(const ReplicaId& replica) const;
  void Begin(Held held) { held_.push_back(std::move(held)); }
  // Ends the holds whose groups no longer wait or whose time is over.
  void OnTick(TimeUs now, const std::function<bool(const Held&)>& waits);
  // Memory at the replica that is not for pieces of this request and stage.
  std::uint64_t BytesKeptFrom(const ReplicaId& replica,
                              const PieceKey& key) const;

 private:
  std::vector<Held> held_;
  TimeUs next_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_MEMORY_HOLD_H_
