// Attempts that ended or were cancelled, so that a late copy is not run.
//
// Failure: a stage call arrives twice, or after its cancel. Symptom: a second
// run, or a run after "not run" was told. A key is remembered until its
// deadline has passed; a copy that comes later is refused by its age.
//
// Memory: a busy sidecar ends 100 attempts a second with at most 5 s left each,
// so about 1,000 are kept, at some 200 bytes. Beyond `kMost` (13 MB) the one
// that ends first is dropped, and from then on an unknown attempt of a request
// up to its number is taken for a copy: it is never run and answered with "may
// have run". The bound costs some attempts, never the promise.
#ifndef ACACIACHUTE_SRC_COORDINATION_SIDECAR_TOMBSTONES_H_
#define ACACIACHUTE_SRC_COORDINATION_SIDECAR_TOMBSTONES_H_

#include <map>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "types.h"

namespace acaciachute {

class Tombstones {
 public:
  static constexpr std::size_t kMost = 65536;

  explicit Tombstones(std::size_t most = kMost) : most_(most) {}

  void Add(const StageKey& key, TimeUs until);
  bool Contains(const StageKey& key) const { return ends_at_.contains(key); }
  // Whether a tombstone of `key` may have been dropped for want of room.
  bool MayBeDropped(const StageKey& key) const;
  void Expire(TimeUs now);
  // When `Expire` has work again; the far future when it has none.
  TimeUs NextEnd() const;
  std::size_t size() const { return ends_at_.size(); }

 private:
  // Requests of one origin up to `sequence` lost a tombstone.
  struct Floor {
    std::uint64_t sequence = 0;
    TimeUs until = 0;
  };
  void DropFirst();

  const std::size_t most_;
  absl::flat_hash_map<StageKey, TimeUs> ends_at_;
  std::set<std::pair<TimeUs, StageKey>> by_end_;
  std::map<Incarnation, Floor> floors_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SIDECAR_TOMBSTONES_H_
