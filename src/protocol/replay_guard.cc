#include "protocol/replay_guard.h"

#include <algorithm>

namespace acaciachute {

bool ReplayGuard::Accept(const Envelope& envelope) {
  Seen& seen = seen_[envelope.sender];
  if (seen.incarnation == envelope.incarnation) {
    if (envelope.sequence <= seen.sequence) {
      return false;
    }
    seen.sequence = envelope.sequence;
    return true;
  }
  const auto& retired = seen.retired;
  if (std::find(retired.begin(), retired.end(), envelope.incarnation) !=
      retired.end()) {
    return false;
  }
  if (seen.incarnation != 0) {
    seen.retired.push_back(seen.incarnation);
    if (seen.retired.size() > kRetiredKept) {
      seen.retired.pop_front();
    }
  }
  seen.incarnation = envelope.incarnation;
  seen.sequence = envelope.sequence;
  return true;
}

}  // namespace acaciachute
