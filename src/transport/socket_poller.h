// Watches all sockets of a process by one epoll descriptor in the main loop.
//
// GLib iterates over every source for every event. With one source per socket
// and some 400 connections, of which only a few were ready at a time, this took
// most of a gateway's CPU time, and hosts with a tenth of a core answered late.
// With epoll the cost of an event does not depend on the number of sockets.
#ifndef ACACIACHUTE_SRC_TRANSPORT_SOCKET_POLLER_H_
#define ACACIACHUTE_SRC_TRANSPORT_SOCKET_POLLER_H_

#include <memory>

namespace acaciachute {

class SocketWatcher {
 public:
  virtual ~SocketWatcher() = default;
  // Also called on an error or hang-up of the socket; reading then returns the
  // error.
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

class SocketPoller {
 public:
  // Maximum number of socket events handled before the loop runs due timers and
  // signals.
  static constexpr int kMaxEventsPerTurn = 64;

  SocketPoller();
  ~SocketPoller();
  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;

  // Calls `watcher` for as long as the socket is readable or writable, as
  // requested. With neither requested, the socket is not watched at all, not
  // even for errors or hang-ups. The caller must stop watching, by requesting
  // neither, before it closes `fd`.
  void Watch(int fd, SocketWatcher* watcher, bool readable, bool writable);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_SOCKET_POLLER_H_
