#include "transport/loop.h"

#include <glib-unix.h>
#include <glib.h>

#include <algorithm>
#include <ctime>
#include <utility>

namespace acaciachute {
namespace {

struct TaskHolder {
  Loop::Task task;
  bool repeats;
};

gboolean RunTask(gpointer data) {
  auto* holder = static_cast<TaskHolder*>(data);
  const bool repeats = holder->repeats;
  holder->task();
  return repeats ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void FreeTask(gpointer data) {
  delete static_cast<TaskHolder*>(data);
}

guint MillisecondsOf(DurationUs delay) {
  const DurationUs ms = (delay + kMillisecond - 1) / kMillisecond;
  return static_cast<guint>(std::clamp<DurationUs>(ms, 0, G_MAXINT));
}

Loop::TimerId AddTimer(DurationUs delay, Loop::Task task, bool repeats) {
  return g_timeout_add_full(G_PRIORITY_DEFAULT, MillisecondsOf(delay), RunTask,
                            new TaskHolder{std::move(task), repeats}, FreeTask);
}

// A poll that took at least this long blocked, so no event was pending before.
constexpr DurationUs kMinBlockedTime = 100;

struct PollTimes {
  TimeUs last = g_get_monotonic_time();    // When the last poll returned.
  TimeUs oldest = g_get_monotonic_time();  // See `Loop::OldestEvent`.
};

PollTimes& Times() {
  static PollTimes times;
  return times;
}

// Events found by a poll that blocked have just arrived; those found by a poll
// that returned at once may have been pending since the previous poll.
gint TimedPoll(GPollFD* fds, guint n, gint timeout) {
  PollTimes& times = Times();
  const TimeUs before = g_get_monotonic_time();
  const gint ready = g_poll(fds, n, timeout);
  const TimeUs after = g_get_monotonic_time();
  times.oldest = after - before >= kMinBlockedTime ? after : times.last;
  times.last = after;
  return ready;
}

}  // namespace

struct Loop::Impl {
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  SocketPoller sockets;
};

Loop::Loop() : impl_(std::make_unique<Impl>()) {
  g_main_context_set_poll_func(nullptr, TimedPoll);
}
Loop::~Loop() {
  g_main_loop_unref(impl_->loop);
}

TimeUs Loop::Now() {
  return g_get_monotonic_time();
}

TimeUs Loop::BootNow() {
  timespec time = {};
  clock_gettime(CLOCK_BOOTTIME, &time);
  constexpr std::int64_t kNanosecondsPerUs = 1000;
  return time.tv_sec * kSecond + time.tv_nsec / kNanosecondsPerUs;
}

TimeUs Loop::OldestEvent() {
  return Times().oldest;
}

std::int64_t Loop::WallClock() {
  return g_get_real_time();
}

Loop::TimerId Loop::After(DurationUs delay, Task task) {
  return AddTimer(delay, std::move(task), false);
}

Loop::TimerId Loop::Every(DurationUs period, Task task) {
  return AddTimer(period, std::move(task), true);
}

void Loop::AfterIfAlive(std::weak_ptr<const void> owner,
                        DurationUs delay,
                        Task task) {
  After(delay, [owner = std::move(owner), task = std::move(task)] {
    if (!owner.expired()) {
      task();
    }
  });
}

void Loop::Cancel(TimerId id) {
  if (id != 0) {
    g_source_remove(id);
  }
}

void Loop::OnSignal(int signal, Task task) {
  g_unix_signal_add_full(G_PRIORITY_DEFAULT, signal, RunTask,
                         new TaskHolder{std::move(task), true}, FreeTask);
}

SocketPoller* Loop::sockets() {
  return &impl_->sockets;
}

void Loop::Run() {
  g_main_loop_run(impl_->loop);
}

void Loop::Quit() {
  g_main_loop_quit(impl_->loop);
}

}  // namespace acaciachute
