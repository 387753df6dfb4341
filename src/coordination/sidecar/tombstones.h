// Remembers attempts that ended or were cancelled, so that a late copy is not
// run.
//
// A stage call that arrives twice, or after its cancellation, would run a
// second time, or run after its caller was answered "not run". A key is
// remembered until its deadline has passed; a copy that arrives later is
// refused by its age.
//
// A busy sidecar ends 100 attempts per second, each at most 5 s before its
// deadline, so about 1,000 are kept, at some 200 bytes each. Beyond
// `kMaxTombstones` (13 MB) the tombstone that expires first is evicted. From
// then on an unknown attempt whose request sequence number is not above that of
// the evicted one is treated as a copy: it is not run and is answered "may have
// run". The limit costs some attempts but never breaks the guarantee.
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
  static constexpr std::size_t kMaxTombstones = 65536;

  explicit Tombstones(std::size_t max_tombstones = kMaxTombstones)
      : max_tombstones_(max_tombstones) {}

  void Add(const StageKey& key, TimeUs until);
  bool Contains(const StageKey& key) const { return expires_at_.contains(key); }
  // Whether a tombstone of `key` may have been evicted because of the limit.
  bool MayBeEvicted(const StageKey& key) const;
  void Expire(TimeUs now);
  // Time at which `Expire` is due next; the far future if there are no
  // tombstones.
  TimeUs NextExpiry() const;
  std::size_t size() const { return expires_at_.size(); }

 private:
  // A tombstone was evicted for some request of one origin with a sequence
  // number of at most `sequence`.
  struct EvictedRange {
    std::uint64_t sequence = 0;
    TimeUs until = 0;
  };
  void EvictFirst();

  const std::size_t max_tombstones_;
  absl::flat_hash_map<StageKey, TimeUs> expires_at_;
  std::set<std::pair<TimeUs, StageKey>> by_expiry_;
  std::map<Incarnation, EvictedRange> evicted_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SIDECAR_TOMBSTONES_H_
