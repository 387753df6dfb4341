// Which replicas of a pool an entry uses.
//
// Load pattern: 380 entries before 1,500 replicas. If each entry used them all,
// its own work in progress at each would be a fraction of a call and say
// nothing, and a choice would look at 1,500 counts. Each entry takes the
// replicas with the highest hash of (entry, replica) (rendezvous hashing,
// Thaler and Ravishankar 1998): entries agree on nothing and still spread
// evenly, and a replica that comes or goes changes the subsets by itself only.
// Failure domains take turns, so that the loss of one leaves every entry the
// others.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_SUBSET_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_SUBSET_H_

#include <cstddef>
#include <vector>

#include "state/replica_table.h"
#include "types.h"

namespace acaciachute {

// Larger than the pools of today, which are used whole. At the target's size a
// replica then serves about eight entries (380 x 32 / 1,500), and one domain of
// eight lost takes four of an entry's replicas.
inline constexpr std::size_t kSubsetSize = 32;

std::vector<Replica*> SubsetOf(const std::vector<Replica*>& pool,
                               const NodeId& entry,
                               std::size_t size = kSubsetSize);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_SUBSET_H_
