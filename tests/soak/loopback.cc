#include "tests/soak/loopback.h"

#include <gio/gio.h>

#include <utility>

#include "transport/glib_ptr.h"

namespace acaciachute {

Address FreeAddress() {
  const GPtr<GSocket> socket(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                          G_SOCKET_TYPE_STREAM,
                                          G_SOCKET_PROTOCOL_TCP, nullptr));
  const GPtr<GSocketAddress> any(
      g_inet_socket_address_new_from_string("127.0.0.1", 0));
  g_socket_bind(socket.get(), any.get(), TRUE, nullptr);
  const GPtr<GSocketAddress> bound(
      g_socket_get_local_address(socket.get(), nullptr));
  return {"127.0.0.1",
          g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()))};
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

void Later(Loop* loop,
           DurationUs delay,
           const std::weak_ptr<int>& alive,
           std::function<void()> task) {
  loop->AfterIfAlive(alive, delay, std::move(task));
}

void Repeat(Loop* loop,
            DurationUs period,
            const std::weak_ptr<int>& alive,
            std::function<void()> task) {
  Later(loop, period, alive, [loop, period, alive, task = std::move(task)] {
    task();
    Repeat(loop, period, alive, task);
  });
}

}  // namespace acaciachute
