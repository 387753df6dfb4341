// How long a call would wait at one pool, as one entry sees it.
//
// Load pattern: several entries fill the same replicas, whose reports are up to
// seconds old. Reports alone let every entry send into the same gap (each sees
// it empty); an entry's own count alone misses the others. Here the work of
// others is what a replica reported less what was ours when the report came,
// and our own work is always counted as it is now. Requests admitted here that
// have not reached the pool yet are counted too, and scaled by how much of the
// pool's work is ours, because the other entries admit at the same time.
//
// Everything is kept as sums that change with one replica at a time, so an
// estimate costs the same for nine replicas and for 1,500.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_POOL_LOAD_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_POOL_LOAD_H_

#include <array>
#include <cstdint>

#include "state/replica_table.h"
#include "types.h"

namespace acaciachute {

class PoolLoad {
 public:
  // Takes a replica's fields over; call it after any of them changed.
  void Update(Replica* replica);
  // Forgets all replicas, before a new settings version adds them again.
  void Clear();

  // A request admitted here that will come to this pool, until it starts.
  void AddPending(CallerClass caller_class, int n) {
    pending_[static_cast<std::size_t>(caller_class)] += n;
  }
  // An answer of the pool to this entry.
  void OnAnswer(CallerClass caller_class);

  // Whether any replica has told how long a call takes.
  bool known() const { return rate_ > 0; }
  // Until a call that comes now is handed over. Zero while slots are free.
  DurationUs Wait(CallerClass caller_class) const;
  // Mean service time of a call at the pool's present mix and load.
  DurationUs MeanService() const;
  // Pool time that one call takes: the time until the pool as a whole finishes
  // one more.
  double CallTime() const;

 private:
  // Rates are whole numbers of 1/kScale calls a second, so that sums do not
  // drift.
  static constexpr double kScale = 1e6;

  double AllPerOwn() const;

  std::int64_t replicas_ = 0;
  std::int64_t slots_ = 0;
  std::int64_t known_slots_ = 0;  // Of replicas with a known service time.
  std::int64_t rate_ = 0;         // Of those.
  std::int64_t others_ = 0;
  std::int64_t others_urgent_ = 0;
  std::int64_t own_ = 0;
  std::int64_t own_urgent_ = 0;
  std::array<std::int64_t, kCallerClassNames.size()> pending_{};
  double urgent_share_ = 0;  // Of answers.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_POOL_LOAD_H_
