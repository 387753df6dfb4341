// Selects which of the waiting pieces go into one call.
//
// A call has a fixed cost and a small cost per piece, so the throughput of a
// stage with a long queue depends on how full its calls are. Pieces of one
// request and stage go together (see `PieceBatcher`). If groups were taken in
// order only until the next one does not fit, calls would stay a third empty
// beside a long queue, and the queue would outlast its burst. Here a group that
// does not fit is skipped and smaller groups fill the call.
//
// Each piece of a request reads all results of the preceding stages. Results
// that cross failure domains cost transfer fees and lengthen the call. If many
// pieces wait, a replica finds enough of them in its own domain: having its
// inputs there counts for a group like `kNearAgeBonus` of additional waiting
// time, within one priority.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_FILL_CALL_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_FILL_CALL_H_

#include <cstdint>
#include <vector>

#include "types.h"

namespace acaciachute {

// Waiting pieces of one request and stage, as seen by one replica.
struct WaitingGroup {
  // See `PieceBatcher::DispatchClass`; lowest first.
  std::uint32_t dispatch_class = 0;
  std::uint32_t priority = 0;  // Zero is the most urgent.
  TimeUs request_arrived_at = 0;
  std::size_t pieces = 0;
  // Memory for the results of all pieces that start together.
  std::uint64_t result_bytes = 0;
  // The group starts only if the replica's results then occupy no more than
  // this.
  std::uint64_t memory_limit = 0;
  bool inputs_near = true;  // Its inputs are in the replica's failure domain.
};

struct CallCapacity {
  std::size_t max_pieces = 0;    // This replica's share of the waiting pieces.
  std::size_t call_pieces = 0;   // Pieces that fit into a call.
  std::uint64_t held_bytes = 0;  // Result memory in use at the replica.
};

// How much older a group counts if its inputs are near. About the duration of
// one call of a stage, and as long as a piece with time to spare waits for a
// near replica.
inline constexpr DurationUs kNearAgeBonus = 300 * kMillisecond;

// Returns the indices of the groups to take, in this order. The first group is
// taken even if it has more pieces than a call holds; the others only if all
// their pieces fit.
std::vector<std::size_t> FillCall(const std::vector<WaitingGroup>& groups,
                                  const CallCapacity& capacity);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_FILL_CALL_H_
