// GLib's main loop: the one thread on which everything runs.
#ifndef ACACIACHUTE_SRC_TRANSPORT_LOOP_H_
#define ACACIACHUTE_SRC_TRANSPORT_LOOP_H_

#include <functional>
#include <memory>

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
  static std::int64_t WallClock();  // Microseconds since 1970, for spans only.

  // Rounds up to GLib's millisecond. A timer that ran is gone.
  TimerId After(DurationUs delay, Task task);
  TimerId Every(DurationUs period, Task task);
  void Cancel(TimerId id);
  void OnSignal(int signal, Task task);

  void Run();
  void Quit();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_LOOP_H_
