// What all listening sockets of a process have in common.
#ifndef ACACIACHUTE_SRC_TRANSPORT_LISTEN_OPTIONS_H_
#define ACACIACHUTE_SRC_TRANSPORT_LISTEN_OPTIONS_H_

#include <gio/gio.h>
#include <sys/socket.h>

namespace acaciachute::detail {

// Maximum number of connections waiting to be accepted; the kernel lowers it to
// its own bound. GIO's default of ten resets some clients when forty connect at
// once, as at the start of an event.
inline constexpr int kListenBacklog = 1024;
// The kernel's buffer for what a client sent and this process has not read. By
// default it grows to megabytes with each connection's speed. This is what a
// connection begins with anyway.
inline constexpr int kReceiveBufferBytes = 64 << 10;

// Call it before the socket listens; accepted connections inherit the buffer.
inline void SetListenOptions(GSocket* socket) {
  g_socket_set_listen_backlog(socket, kListenBacklog);
  g_socket_set_option(socket, SOL_SOCKET, SO_RCVBUF, kReceiveBufferBytes,
                      nullptr);
}

}  // namespace acaciachute::detail

#endif  // ACACIACHUTE_SRC_TRANSPORT_LISTEN_OPTIONS_H_
