// Estimates how long a call would wait at one pool, from the view of one entry.
//
// Several entries send to the same replicas, whose load reports are up to
// seconds old. With reports alone, all entries would send into the same free
// capacity; with its own count alone, an entry would ignore the others. The
// work of the other entries is taken as the reported work less this entry's
// work at the time of the report; this entry's own work is always its current
// count. Requests that were admitted here but have not reached the pool yet are
// counted too, scaled by the ratio of the pool's work to this entry's own,
// because the other entries admit requests at the same time.
//
// All values are kept as sums that are updated for one replica at a time, so an
// estimate costs the same for nine replicas as for 1,500.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_POOL_LOAD_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_POOL_LOAD_H_

#include <array>
#include <cstdint>

#include "state/replica_table.h"
#include "types.h"

namespace acaciachute {

class PoolLoad {
 public:
  // Updates the sums for one replica; call this after any of its fields
  // changed.
  void Update(Replica* replica);
  // Removes all replicas, before a new settings version adds them again.
  void Clear();

  // Adds `n` requests that were admitted here and will reach this pool; a
  // negative `n` removes them when they start or end.
  void AddPending(CallerClass caller_class, int n) {
    pending_[static_cast<std::size_t>(caller_class)] += n;
  }
  // The pool answered a call of this entry.
  void OnAnswer(CallerClass caller_class);

  // Whether the service time of any replica is known.
  bool known() const { return scaled_rate_ > 0; }
  // Expected time until a call that arrives now is started at a replica. Zero
  // while slots are free.
  DurationUs Wait(CallerClass caller_class) const;
  // Mean service time of a call at the pool's present mix of calls and load.
  DurationUs MeanService() const;
  // Mean time between two completions of the pool as a whole when it is busy,
  // in microseconds.
  double CallTime() const;

 private:
  // Rates are integers in units of 1/kRateScale calls per second, so that sums
  // have no rounding drift.
  static constexpr double kRateScale = 1e6;

  // Estimated ratio of all entries' work in the pool to this entry's own; at
  // least one.
  double WorkRatio() const;

  std::int64_t replicas_ = 0;
  std::int64_t slots_ = 0;
  // Slots of replicas with a known service time.
  std::int64_t known_slots_ = 0;
  std::int64_t scaled_rate_ = 0;  // Sum of the rates of these replicas.
  // Calls of other entries at these replicas, waiting or running.
  std::int64_t others_ = 0;
  std::int64_t others_urgent_ = 0;
  // Calls of this entry at these replicas, waiting or running.
  std::int64_t own_ = 0;
  std::int64_t own_urgent_ = 0;
  // By class: requests admitted here that have not reached this pool yet.
  std::array<std::int64_t, kCallerClassNames.size()> pending_{};
  double urgent_share_ = 0;  // Share of urgent calls among recent answers.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_POOL_LOAD_H_
