// Replicas that turned a request away without saying for how long.
//
// Such a replica has nothing in progress for this gateway, so it looks like the
// least loaded one and would get the next request, too. For a while, which
// doubles with each further refusal, it is chosen only if all others are
// avoided. It is not kept from all requests: it may just have been full, and
// its capacity is needed most when all replicas are.
//
// A replica whose address answered in the name of another one has ended. Its
// row stays until it expires, and without calls in progress it, too, would look
// like the least loaded one.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_RECENT_REFUSALS_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_RECENT_REFUSALS_H_

#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class RecentRefusals {
 public:
  static constexpr DurationUs kBackoff = 400 * kMillisecond;
  static constexpr DurationUs kMaxBackoff = 3200 * kMillisecond;
  // Longer than the row of an ended replica stays, and bounded as a process may
  // start again under the same name at the same address.
  static constexpr DurationUs kMisdirectedBackoff = 10 * kSecond;

  // Refusals of requests that were sent before the first one do not count
  // again.
  void OnRefused(TimeUs now, const ReplicaId& replica) {
    Refusal& refusal = refusals_[replica];
    if (now < refusal.avoided_until) {
      return;
    }
    refusal.backoff = refusal.backoff == 0
                          ? kBackoff
                          : std::min(kMaxBackoff, 2 * refusal.backoff);
    refusal.avoided_until = now + refusal.backoff;
  }
  // The replica gave another answer.
  void OnAccepted(const ReplicaId& replica) {
    if (!refusals_.empty()) {
      refusals_.erase(replica);
    }
  }
  // Another replica answered at the address: this one ended, and its row
  // expires soon.
  void OnMisdirected(TimeUs now, const ReplicaId& replica) {
    refusals_[replica].misdirected_until = now + kMisdirectedBackoff;
  }
  void OnReplicaRemoved(const ReplicaId& replica) { refusals_.erase(replica); }

  bool IsAvoided(TimeUs now, const ReplicaId& replica) const {
    const Refusal* it = Find(replica);
    return it != nullptr && now < it->avoided_until;
  }
  bool IsMisdirected(TimeUs now, const ReplicaId& replica) const {
    const Refusal* it = Find(replica);
    return it != nullptr && now < it->misdirected_until;
  }

 private:
  struct Refusal {
    TimeUs avoided_until = 0;
    DurationUs backoff = 0;
    TimeUs misdirected_until = 0;
  };

  const Refusal* Find(const ReplicaId& replica) const {
    if (refusals_.empty()) {
      return nullptr;  // Fast path: called for every replica.
    }
    const auto it = refusals_.find(replica);
    return it == refusals_.end() ? nullptr : &it->second;
  }

  absl::flat_hash_map<ReplicaId, Refusal> refusals_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_RECENT_REFUSALS_H_
