// Which of the waiting pieces go into one call.
//
// Load pattern: a call costs a fixed time and a little for each piece, so a
// stage whose queue is long makes as much as its calls are full. Pieces of one
// request and stage go together (see `PieceBatcher`). Taken in order until the
// next group does not fit, calls stay a third empty beside a long queue, which
// then outlives its burst. Here a group that does not fit is passed over and
// smaller ones fill the call.
//
// Load pattern: each piece of a request reads all results of the stage before,
// and results that cross failure domains are paid for and lengthen the call.
// With many waiting, a replica has enough pieces in its own domain to choose
// from: being near counts as `kNearLead` of waiting, within one priority.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_FILL_CALL_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_FILL_CALL_H_

#include <cstdint>
#include <vector>

#include "types.h"

namespace acaciachute {

// Pieces of one request and stage that wait, as one replica sees them.
struct WaitingGroup {
  std::uint32_t standing = 0;  // See `PieceBatcher::Standing`; least first.
  std::uint32_t priority = 0;  // Zero is the most urgent.
  TimeUs since = 0;            // When its request arrived.
  std::size_t pieces = 0;
  std::uint64_t bytes = 0;  // Of the results that have to fit together.
  std::uint64_t room = 0;   // Memory that it may fill the replica up to.
  bool near = true;         // Its inputs lie in the replica's failure domain.
};

struct CallSpace {
  std::size_t most = 0;    // Pieces that are this replica's share.
  std::size_t batch = 0;   // Pieces that a call takes.
  std::uint64_t held = 0;  // Memory that is taken at the replica.
};

// About one call of a stage: as long as a near replica is waited for when there
// is time.
inline constexpr DurationUs kNearLead = 300 * kMillisecond;

// Indices of the groups to take, in this order. The first is taken even when it
// has more pieces than a call takes; the others only whole.
std::vector<std::size_t> FillCall(const std::vector<WaitingGroup>& groups,
                                  const CallSpace& space);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_FILL_CALL_H_
