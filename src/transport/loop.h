// The process's event loop (GLib's main loop). All code runs on its one thread.
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
  // Microseconds since 1970, for log lines and spans only.
  static std::int64_t WallClock();

  // Earliest time at which the events being handled now may have arrived. While
  // the loop handles one event, others wait in the kernel, and that wait counts
  // against their deadlines.
  static TimeUs OldestEvent();

  // Runs the task once after `delay`, which is rounded up to whole milliseconds
  // as GLib requires. The id is invalid once the task has run.
  TimerId After(DurationUs delay, Task task);
  TimerId Every(DurationUs period, Task task);
  // Runs the task from the loop after `delay`, unless `owner` has been
  // destroyed by then, so that the task cannot use freed memory.
  void AfterIfAlive(std::weak_ptr<const void> owner,
                    DurationUs delay,
                    Task task);
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
