// Replicas that turned a request of this gateway away and asked for rest: they
// want nothing from this gateway for a stated time.
//
// A replica that turns requests away at once has none in progress, so it looks
// like the least loaded one, and a choice that forgets the refusal sends it
// ever more. After the rest it gets requests by slow start. A rest concerns
// only the gateway that was asked for it. It is not a failure: what is known of
// the replica stays, and the home of a prompt returns to it.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_REPLICA_RESTS_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_REPLICA_RESTS_H_

#include <cstddef>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/choice/slow_start.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class ReplicaRests {
 public:
  // The replica wants nothing for `rest`. The latest end counts: another
  // refusal does not shorten a rest. Returns whether the end moved.
  bool OnRefused(TimeUs now, const ReplicaId& replica, DurationUs rest);
  // A request was sent to the replica, or no byte of it was.
  void OnSent(TimeUs now, const ReplicaId& replica);
  void OnNotSent(const ReplicaId& replica);

  bool IsResting(TimeUs now, const ReplicaId& replica) const {
    const Rest* rest = Find(replica);
    return rest != nullptr && now < rest->until;
  }
  // Whether the replica rests or is in the slow start after it.
  bool IsLimited(TimeUs now, const ReplicaId& replica) const;
  // Whether one more request may be sent to the replica now.
  bool MaySend(TimeUs now, const ReplicaId& replica) const;
  // Times from which the next requests may be sent to a limited replica, in
  // order; from the last one on there is no limit.
  std::vector<TimeUs> NextTurns(TimeUs now, const ReplicaId& replica) const;

 private:
  struct Rest {
    TimeUs until = 0;
    std::size_t sent = 0;  // Since the end of the rest.
  };
  // Period at which rests that are over are dropped.
  static constexpr DurationUs kCleanupPeriod = kSecond;

  const Rest* Find(const ReplicaId& replica) const;
  void DropEnded(TimeUs now);

  absl::flat_hash_map<ReplicaId, Rest> rests_;
  TimeUs next_cleanup_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_REPLICA_RESTS_H_
