// Refuses frames that were seen before or belong to a process that is gone.
//
// Failure: a frame is recorded and sent again, or a datagram of a dead process
// arrives after its successor's. Symptom: an order is carried out twice, or a
// node's incarnation flips back. Sequence numbers grow within an incarnation
// and a retired incarnation never returns, so both are told apart.
#ifndef ACACIACHUTE_SRC_PROTOCOL_REPLAY_GUARD_H_
#define ACACIACHUTE_SRC_PROTOCOL_REPLAY_GUARD_H_

#include <deque>
#include <map>

#include "protocol/frame.h"
#include "types.h"

namespace acaciachute {

class ReplayGuard {
 public:
  // Restarts of one node that are remembered. A node restarts a few times a
  // day at most, and a datagram lives for seconds.
  static constexpr std::size_t kRetiredKept = 8;

  bool Accept(const Envelope& envelope);

 private:
  struct Seen {
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    std::deque<Incarnation> retired;
  };
  std::map<NodeId, Seen> seen_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_REPLAY_GUARD_H_
