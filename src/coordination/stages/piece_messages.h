// Splits pieces, results and releases over messages that fit into a frame.
//
// A frame above the limit is refused by its receiver, which closes the
// connection: the pieces of all other requests on it would have to be sent
// again, for one request with many pieces or long handles.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_MESSAGES_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_MESSAGES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "messages.h"
#include "state/piece.h"

namespace acaciachute {

// A message has at most this size, or one item. Well below the size of a frame,
// so that no message delays others for long.
inline constexpr std::size_t kMaxPieceMessageBytes = 1 << 20;
// Handles that the pieces of one stage may need: they have to fit into one
// message, and into one call.
inline constexpr std::size_t kMaxStageInputBytes = 1 << 20;
// Memory that a piece takes while it waits or runs, without its inputs.
inline constexpr std::size_t kPieceMemoryBytes = 1 << 10;

std::vector<PieceTasks> SplitTasks(std::vector<PieceTask> tasks);
std::vector<PieceRelease> SplitRelease(std::vector<std::string> handles);
std::vector<PieceResults> SplitResults(std::vector<PieceResult> results);

// Memory that the tasks take, in bytes; inputs that several share count once.
std::size_t MemoryOf(const std::vector<PieceTask>& tasks);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_MESSAGES_H_
