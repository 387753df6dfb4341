// GLib's main loop: the one thread on which everything runs.
#ifndef ACACIACHUTE_SRC_TRANSPORT_LOOP_H_
#define ACACIACHUTE_SRC_TRANSPORT_LOOP_H_

#include <functional>
#include <memory>

#include "transport/socket_poller.h"
#include "types.h"

namespace acaciachute {

class Loop {
 public:
  using Task = std::function<void()>;
  using TimerId = unsigned;

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  static TimeUs Now();
  // As `Now`, but also counts time in which the host was suspended.
  static TimeUs BootNow();
  static std::int64_t WallClock();  // Microseconds since 1970, for spans only.

  // Since when the events that are handled now may have waited for this loop,
  // at the earliest. The loop is a queue: while it handles one event, others
  // wait unseen, and that time counts against their deadlines.
  static TimeUs OldestEvent();

  // Rounds up to GLib's millisecond. A timer that ran is gone.
  TimerId After(DurationUs delay, Task task);
  TimerId Every(DurationUs period, Task task);
  // Runs the task from the loop, `delay` later, unless its owner is gone by
  // then: a timer that outlives what it works on would touch freed memory.
  void AfterWhile(std::weak_ptr<const void> owner, DurationUs delay, Task task);
  void Cancel(TimerId id);
  void OnSignal(int signal, Task task);
  SocketPoller* sockets();

  void Run();
  void Quit();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_LOOP_H_
