#include "coordination/membership/message_age.h"

#include <algorithm>

namespace acaciachute {

DurationUs MessageAge::Of(Incarnation sender, TimeUs sent_at, TimeUs now) {
  if (sent_at == 0) {
    return 0;
  }
  const DurationUs difference = now - sent_at;
  const auto it = senders_.find(sender);
  if (it == senders_.end()) {
    MakeRoom();
    senders_[sender] = {difference, difference, sent_at, now};
    return 0;
  }
  Base& base = it->second;
  base.heard_at = now;
  if (sent_at - base.window_start > kWindow) {
    base.previous = base.current;
    base.current = difference;
    base.window_start = sent_at;
  }
  base.current = std::min(base.current, difference);
  return difference - std::min(base.current, base.previous);
}

void MessageAge::MakeRoom() {
  if (senders_.size() < kMostSenders) {
    return;
  }
  senders_.erase(std::min_element(
      senders_.begin(), senders_.end(), [](const auto& a, const auto& b) {
        return a.second.heard_at < b.second.heard_at;
      }));
}

}  // namespace acaciachute
