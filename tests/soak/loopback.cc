#include "tests/soak/loopback.h"

#include <gio/gio.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

#include "transport/glib_ptr.h"

namespace acaciachute {

namespace {

// Ports for listeners of tests. They lie below the range from which the kernel
// takes the ports of outgoing connections: otherwise a connection of any
// process may take a port between its choice here and the start of its
// listener.
constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint16_t kPortCount = 22000;

bool IsFree(std::uint16_t port, GSocketType type) {
  const GPtr<GSocket> socket(g_socket_new(G_SOCKET_FAMILY_IPV4, type,
                                          G_SOCKET_PROTOCOL_DEFAULT, nullptr));
  const GPtr<GSocketAddress> address(
      g_inet_socket_address_new_from_string("127.0.0.1", port));
  return g_socket_bind(socket.get(), address.get(), FALSE, nullptr) != 0;
}

}  // namespace

// Test programs that run at the same time start at different ports.
Address FreeAddress() {
  constexpr std::uint32_t kPortsPerProcess = 997;
  static std::uint32_t next =
      static_cast<std::uint32_t>(getpid()) * kPortsPerProcess;
  std::uint16_t port = 0;
  do {
    port = static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
  } while (!IsFree(port, G_SOCKET_TYPE_STREAM) ||
           !IsFree(port, G_SOCKET_TYPE_DATAGRAM));
  return {"127.0.0.1", port};
}

std::string QueryValue(const std::string& target, std::string_view name) {
  const std::string mark = std::string(name) + "=";
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const std::string part =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.starts_with(mark)) {
      return part.substr(mark.size());
    }
    at = end;
  }
  return {};
}

void RunAfter(Loop* loop,
              DurationUs delay,
              const std::weak_ptr<int>& alive,
              std::function<void()> task) {
  loop->AfterIfAlive(alive, delay, std::move(task));
}

void RunEvery(Loop* loop,
              DurationUs period,
              const std::weak_ptr<int>& alive,
              std::function<void()> task) {
  RunAfter(loop, period, alive, [loop, period, alive, task = std::move(task)] {
    task();
    RunEvery(loop, period, alive, task);
  });
}

}  // namespace acaciachute
