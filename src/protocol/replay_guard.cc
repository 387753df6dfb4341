#include "protocol/replay_guard.h"

#include <algorithm>

namespace acaciachute {

bool ReplayGuard::Accept(const Envelope& envelope) {
  SenderState& state = senders_[envelope.sender];
  if (state.incarnation == envelope.incarnation) {
    if (envelope.sequence <= state.sequence) {
      return false;
    }
    state.sequence = envelope.sequence;
    return true;
  }
  const auto& retired = state.retired;
  if (std::find(retired.begin(), retired.end(), envelope.incarnation) !=
      retired.end()) {
    return false;
  }
  if (state.incarnation != 0) {
    state.retired.push_back(state.incarnation);
    if (state.retired.size() > kMaxRetiredIncarnations) {
      state.retired.pop_front();
    }
  }
  state.incarnation = envelope.incarnation;
  state.sequence = envelope.sequence;
  return true;
}

}  // namespace acaciachute
