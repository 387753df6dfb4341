// All sockets of a process behind one descriptor of the main loop.
//
// Load pattern: some 400 connections, of which a few are ready at a time. GLib
// goes over every source for every event; with one source a socket that took
// most of a gateway's processor time, and hosts with a tenth of a core answered
// late. The kernel keeps the list here (epoll), and an event costs the same
// whatever the number of sockets.
#ifndef ACACIACHUTE_SRC_TRANSPORT_SOCKET_POLLER_H_
#define ACACIACHUTE_SRC_TRANSPORT_SOCKET_POLLER_H_

#include <memory>

namespace acaciachute {

class SocketWatcher {
 public:
  virtual ~SocketWatcher() = default;
  // Also called for what the socket's error or hang-up lets it find out.
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

class SocketPoller {
 public:
  // Sockets handled before timers and signals have their turn.
  static constexpr int kEventsATurn = 64;

  SocketPoller();
  ~SocketPoller();
  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;

  // Tells `watcher` from now on, for as long as the socket is ready. With
  // neither, the socket is not watched at all, not even for its end. Due with
  // neither before `fd` is closed.
  void Watch(int fd, SocketWatcher* watcher, bool readable, bool writable);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_SOCKET_POLLER_H_
