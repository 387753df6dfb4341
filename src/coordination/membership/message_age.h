// Estimates how old a message is when it is handled, without synchronized
// clocks.
//
// If this process is suspended, or a connection stalls, with calls in its
// buffers, a call that states five seconds of remaining time would be taken as
// fresh a minute later, and would run after its caller was answered. Each
// message therefore carries its sender's clock. The smallest recent difference
// to the local clock stands for a message that was not delayed, and the excess
// over it is the age of a message. This needs no synchronized clocks, only
// clocks that run at the same rate (the base delay of LEDBAT, RFC 6817, is
// measured in the same way).
#ifndef ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MESSAGE_AGE_H_
#define ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MESSAGE_AGE_H_

#include <map>

#include "types.h"

namespace acaciachute {

class MessageAge {
 public:
  // The smallest difference is taken over one to two windows of this length, in
  // the sender's time. Clocks slewed by 500 ppm, NTP's limit, diverge by 60 ms
  // in two minutes, which is the error of an age. The sender's time counts,
  // because after a suspension of this process the buffers hold only old
  // messages, which must not displace the last valid difference.
  static constexpr DurationUs kBaseDelayWindow = 60 * kSecond;
  // Number of senders that are remembered, with less than 100 bytes each. With
  // 380 entries that each restart every other week, that is enough for more
  // than a hundred days.
  static constexpr std::size_t kMaxSenders = 4096;

  // The age of a message that `sender` stamped with `sent_at`. Zero if the
  // message carries no stamp, and for a sender's first message.
  DurationUs Of(Incarnation sender, TimeUs sent_at, TimeUs now);

 private:
  struct BaseDelay {
    DurationUs current = 0;   // Smallest difference of the current window.
    DurationUs previous = 0;  // Smallest difference of the previous window.
    TimeUs window_start = 0;
    TimeUs last_message_at = 0;
  };
  void EvictOldestSender();

  std::map<Incarnation, BaseDelay> senders_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MESSAGE_AGE_H_
