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
    EvictOldestSender();
    senders_[sender] = {difference, difference, sent_at, now};
    return 0;
  }
  BaseDelay& base_delay = it->second;
  base_delay.last_message_at = now;
  if (sent_at - base_delay.window_start > kBaseDelayWindow) {
    base_delay.previous = base_delay.current;
    base_delay.current = difference;
    base_delay.window_start = sent_at;
  }
  base_delay.current = std::min(base_delay.current, difference);
  return difference - std::min(base_delay.current, base_delay.previous);
}

void MessageAge::EvictOldestSender() {
  if (senders_.size() < kMaxSenders) {
    return;
  }
  senders_.erase(std::min_element(
      senders_.begin(), senders_.end(), [](const auto& a, const auto& b) {
        return a.second.last_message_at < b.second.last_message_at;
      }));
}

}  // namespace acaciachute
