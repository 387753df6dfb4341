// Interface through which requests submit their pieces to the batching
// services, whether this gateway or another one makes the calls.
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
  // Submits pieces. Exactly one result is delivered per piece, unless
  // `CancelRequest` cancels its request first.
  virtual void Submit(TimeUs now, std::vector<PieceTask> tasks) = 0;
  // Cancels the request's pieces. Must be called when a request that submitted
  // pieces ends.
  virtual void CancelRequest(const std::string& request) = 0;
  // Releases results that no request needs any longer.
  virtual void ReleaseResults(const std::vector<std::string>& handles) = 0;
  // Announces stages that a request will submit later. `CancelRequest` and the
  // submit of the stage end it.
  virtual void Announce(TimeUs now, const std::vector<ComingPieces>& coming) {
    static_cast<void>(now);
    static_cast<void>(coming);
  }
  virtual QueueWait ExpectedWait(TimeUs now,
                                 const std::string& service) const = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_DISPATCHER_H_
