// Where requests hand in their pieces, whoever makes the calls for them.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_DISPATCHER_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_DISPATCHER_H_

#include <string>
#include <vector>

#include "state/piece.h"
#include "types.h"

namespace acaciachute {

class PieceDispatcher {
 public:
  virtual ~PieceDispatcher() = default;
  // One result follows for each piece, unless its request is dropped.
  virtual void Submit(TimeUs now, std::vector<PieceTask> tasks) = 0;
  // Due for every request that handed in any.
  virtual void Drop(const std::string& request) = 0;
  // Results that nobody needs any longer.
  virtual void Free(const std::vector<std::string>& handles) = 0;
  virtual QueueWait ExpectedWait(TimeUs now,
                                 const std::string& service) const = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_DISPATCHER_H_
