// Rejects replayed frames and frames of a process that has been replaced.
//
// A frame may be recorded and sent again, or a datagram of a process may arrive
// after one of its successor; then an order would be carried out twice, or the
// node's incarnation would flip back. Sequence numbers increase within an
// incarnation and a retired incarnation never returns, so both cases are
// detected.
#ifndef ACACIACHUTE_SRC_PROTOCOL_REPLAY_GUARD_H_
#define ACACIACHUTE_SRC_PROTOCOL_REPLAY_GUARD_H_

#include <deque>
#include <map>

#include "protocol/frame.h"
#include "types.h"

namespace acaciachute {

class ReplayGuard {
 public:
  // Number of earlier incarnations remembered per node. A node restarts a few
  // times a day at most, and a datagram lives for seconds.
  static constexpr std::size_t kMaxRetiredIncarnations = 8;

  bool Accept(const Envelope& envelope);

 private:
  struct SenderState {
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    std::deque<Incarnation> retired;
  };
  std::map<NodeId, SenderState> senders_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_REPLAY_GUARD_H_
