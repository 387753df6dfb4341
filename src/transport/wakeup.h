// One timer, set to the earliest time at which a state machine asks to run
// next.
#ifndef ACACIACHUTE_SRC_TRANSPORT_WAKEUP_H_
#define ACACIACHUTE_SRC_TRANSPORT_WAKEUP_H_

#include <algorithm>
#include <limits>
#include <utility>

#include "transport/loop.h"
#include "types.h"

namespace acaciachute {

class Wakeup {
 public:
  Wakeup(Loop* loop, Loop::Task task) : loop_(loop), task_(std::move(task)) {}
  ~Wakeup() { loop_->Cancel(timer_); }
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;

  // Runs the task at `at`. A timer that is due sooner is kept, because its task
  // calls `At` again.
  void At(TimeUs at) {
    if (timer_ != 0 && at_ <= at) {
      return;
    }
    loop_->Cancel(timer_);
    timer_ = 0;
    if (at == std::numeric_limits<TimeUs>::max()) {
      return;
    }
    at_ = at;
    timer_ = loop_->After(std::max<DurationUs>(0, at - Loop::Now()), [this] {
      timer_ = 0;
      task_();
    });
  }

 private:
  Loop* const loop_;
  const Loop::Task task_;
  Loop::TimerId timer_ = 0;
  TimeUs at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_WAKEUP_H_
