// How old a message is when it is handled, without agreed clocks.
//
// Failure: this process is paused, or a connection stalls, with calls in its
// buffers. Symptom: a call that carries five seconds of time left is taken as
// fresh a minute later, and runs after its caller was answered. Each message
// carries its sender's clock; the smallest difference to ours seen lately
// stands for a message that waited nowhere, and what a message shows above it
// is its age. That needs no agreement of clocks, only that they run alike
// (the base delay of LEDBAT, RFC 6817, is found in the same way).
#ifndef ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MESSAGE_AGE_H_
#define ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MESSAGE_AGE_H_

#include <map>

#include "types.h"

namespace acaciachute {

class MessageAge {
 public:
  // The smallest difference is sought over one to two of these, in the sender's
  // time. Clocks slewed by 500 ppm, NTP's limit, part by 60 ms in two minutes,
  // which is the error of an age. The sender's time counts, because after a
  // pause of ours the buffers hold only old messages, and these must not push
  // the last good difference out.
  static constexpr DurationUs kWindow = 60 * kSecond;
  // Senders remembered, each under 100 bytes. With 380 entries and a restart
  // each every other week, that is more than a hundred days.
  static constexpr std::size_t kMostSenders = 4096;

  // The age of a message that `sender` stamped with `sent_at`. Zero when it
  // carries no stamp, and for a sender's first message.
  DurationUs Of(Incarnation sender, TimeUs sent_at, TimeUs now);

 private:
  struct Base {
    DurationUs current = 0;
    DurationUs previous = 0;
    TimeUs window_start = 0;
    TimeUs heard_at = 0;
  };
  void MakeRoom();

  std::map<Incarnation, Base> senders_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MESSAGE_AGE_H_
