// Selects the replicas of a pool that one entry uses.
//
// With 380 entries and 1,500 replicas, an entry that used all replicas would
// have a fraction of a call in progress at each, which says nothing about their
// load, and each choice would have to check 1,500 counts. Each entry uses the
// replicas with the highest hash of (entry, replica) (rendezvous hashing,
// Thaler and Ravishankar 1998). Entries need no agreement and still spread
// evenly, and a replica that joins or leaves changes the subsets only by
// itself. Replicas are taken from the failure domains in turn, so that an entry
// that loses one domain still has replicas in the others.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_SUBSET_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_SUBSET_H_

#include <cstddef>
#include <vector>

#include "state/replica_table.h"
#include "types.h"

namespace acaciachute {

// Number of replicas per subset. Pools up to this size are used completely.
// With 380 entries and 1,500 replicas, a replica serves about eight entries
// (380 x 32 / 1,500), and the loss of one of eight domains takes four of an
// entry's replicas.
inline constexpr std::size_t kSubsetSize = 32;

std::vector<Replica*> SubsetOf(const std::vector<Replica*>& pool,
                               const NodeId& entry,
                               std::size_t size = kSubsetSize);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_SUBSET_H_
