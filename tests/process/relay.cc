#include "tests/process/relay.h"

#include <gio/gio.h>

#include <array>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

#include "transport/glib_ptr.h"

namespace acaciachute {
namespace {

constexpr int kMaxBindAttempts = 20;
constexpr gsize kReadBytes = 64 << 10;
constexpr std::size_t kMaxDatagramBytes = 65507;

enum class Mode { kForward, kFrozen, kCut };

GPtr<GSocketAddress> Loopback(std::uint16_t port) {
  return GPtr<GSocketAddress>(
      g_inet_socket_address_new_from_string("127.0.0.1", port));
}

GPtr<GSocket> NewUdp() {
  return GPtr<GSocket>(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                    G_SOCKET_TYPE_DATAGRAM,
                                    G_SOCKET_PROTOCOL_UDP, nullptr));
}

// Calls `f` for each readable event until the source is destroyed.
GSource* Watch(GSocket* socket, GSocketSourceFunc f, gpointer data) {
  g_socket_set_blocking(socket, FALSE);
  GSource* source = g_socket_create_source(socket, G_IO_IN, nullptr);
  g_source_set_callback(source, G_SOURCE_FUNC(f), data, nullptr);
  g_source_attach(source, nullptr);
  return source;
}

void DestroySource(GSource* source) {
  if (source != nullptr) {
    g_source_destroy(source);
    g_source_unref(source);
  }
}

// A pair of connections; bytes that are read from either are written to the
// other.
struct Link : std::enable_shared_from_this<Link> {
  std::array<GPtr<GSocketConnection>, 2> ends;
  std::array<std::string, 2> held;  // Bytes read while frozen, by end.
  GPtr<GCancellable> cancellable{g_cancellable_new()};
  const Mode* mode = nullptr;
  bool closed = false;

  void Read(int from);
  void Write(int from, const std::string& bytes);
  void ForwardHeld();
  void Close();
};

struct ReadState {
  std::shared_ptr<Link> link;
  int from;
};

void Link::Read(int from) {
  g_input_stream_read_bytes_async(
      g_io_stream_get_input_stream(G_IO_STREAM(ends[from].get())), kReadBytes,
      G_PRIORITY_DEFAULT, cancellable.get(),
      [](GObject* source, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<ReadState> state(static_cast<ReadState*>(data));
        const GBytesPtr bytes(g_input_stream_read_bytes_finish(
            G_INPUT_STREAM(source), result, nullptr));
        Link& link = *state->link;
        if (link.closed) {
          return;
        }
        if (!bytes || g_bytes_get_size(bytes.get()) == 0) {
          link.Close();
          return;
        }
        if (*link.mode == Mode::kFrozen) {
          link.held[state->from] = TextOf(bytes.get());
          return;
        }
        link.Write(state->from, TextOf(bytes.get()));
      },
      new ReadState{shared_from_this(), from});
}

void Link::Write(int from, const std::string& bytes) {
  GOutputStream* out =
      g_io_stream_get_output_stream(G_IO_STREAM(ends[1 - from].get()));
  if (g_output_stream_write_all(out, bytes.data(), bytes.size(), nullptr,
                                nullptr, nullptr) == 0) {
    Close();
    return;
  }
  Read(from);
}

void Link::ForwardHeld() {
  for (int n = 0; n < 2 && !closed; ++n) {
    const std::string bytes = std::exchange(held[n], "");
    if (!bytes.empty()) {
      Write(n, bytes);
    }
  }
}

void Link::Close() {
  if (std::exchange(closed, true)) {
    return;
  }
  g_cancellable_cancel(cancellable.get());
  for (const auto& it : ends) {
    g_io_stream_close(G_IO_STREAM(it.get()), nullptr, nullptr);
  }
}

}  // namespace

struct Relay::Impl {
  // The socket to the target for the datagrams of one sender.
  struct UdpPath {
    Impl* relay = nullptr;
    GPtr<GSocketAddress> sender;
    GPtr<GSocket> socket;
    GSource* source = nullptr;
    ~UdpPath() { DestroySource(source); }
  };

  bool Bind();
  void Accept(GSocketConnection* client);
  void OnDatagram();
  static gboolean OnReply(GSocket* socket, GIOCondition, gpointer data);

  std::uint16_t target = 0;
  std::uint16_t port = 0;
  Mode mode = Mode::kForward;
  GPtr<GSocketService> service;
  GPtr<GSocketClient> client{g_socket_client_new()};
  GPtr<GSocket> udp;
  GSource* udp_source = nullptr;
  std::set<std::shared_ptr<Link>> links;
  std::map<std::uint16_t, UdpPath> paths;
};

// Binds TCP and UDP to the same port number. The kernel chooses a free TCP
// port; returns false when the UDP port of that number is taken.
bool Relay::Impl::Bind() {
  service.reset(g_socket_service_new());
  GSocketAddress* bound = nullptr;
  if (g_socket_listener_add_address(G_SOCKET_LISTENER(service.get()),
                                    Loopback(0).get(), G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, nullptr, &bound,
                                    nullptr) == 0) {
    return false;
  }
  const GPtr<GSocketAddress> owned(bound);
  port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
  udp = NewUdp();
  return g_socket_bind(udp.get(), bound, FALSE, nullptr) != 0;
}

void Relay::Impl::Accept(GSocketConnection* socket) {
  GPtr<GSocketConnection> server;
  if (mode != Mode::kCut) {
    server.reset(g_socket_client_connect(
        client.get(), G_SOCKET_CONNECTABLE(Loopback(target).get()), nullptr,
        nullptr));
  }
  if (!server) {
    g_io_stream_close(G_IO_STREAM(socket), nullptr, nullptr);
    return;
  }
  auto link = std::make_shared<Link>();
  link->ends = {Share(socket), std::move(server)};
  link->mode = &mode;
  std::erase_if(links, [](const auto& it) { return it->closed; });
  links.insert(link);
  link->Read(0);
  link->Read(1);
}

void Relay::Impl::OnDatagram() {
  std::array<char, kMaxDatagramBytes> buf;
  GSocketAddress* raw = nullptr;
  const gssize n = g_socket_receive_from(udp.get(), &raw, buf.data(),
                                         buf.size(), nullptr, nullptr);
  GPtr<GSocketAddress> from(raw);
  if (n <= 0 || !from || mode != Mode::kForward) {
    return;
  }
  UdpPath& path =
      paths[g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(from.get()))];
  if (!path.socket) {
    path.relay = this;
    path.sender = std::move(from);
    path.socket = NewUdp();
    g_socket_connect(path.socket.get(), Loopback(target).get(), nullptr,
                     nullptr);
    path.source = Watch(path.socket.get(), OnReply, &path);
  }
  g_socket_send(path.socket.get(), buf.data(), n, nullptr, nullptr);
}

gboolean Relay::Impl::OnReply(GSocket* socket, GIOCondition, gpointer data) {
  const auto* path = static_cast<const UdpPath*>(data);
  std::array<char, kMaxDatagramBytes> buf;
  const gssize n =
      g_socket_receive(socket, buf.data(), buf.size(), nullptr, nullptr);
  if (n > 0 && path->relay->mode == Mode::kForward) {
    g_socket_send_to(path->relay->udp.get(), path->sender.get(), buf.data(), n,
                     nullptr, nullptr);
  }
  return G_SOURCE_CONTINUE;
}

Relay::Relay(std::uint16_t target_port) : impl_(std::make_unique<Impl>()) {
  impl_->target = target_port;
  int tries = 0;
  while (!impl_->Bind()) {
    if (++tries == kMaxBindAttempts) {
      throw std::runtime_error(
          "relay: no port number was free for both TCP and UDP");
    }
  }
  impl_->udp_source = Watch(
      impl_->udp.get(),
      [](GSocket*, GIOCondition, gpointer data) -> gboolean {
        static_cast<Impl*>(data)->OnDatagram();
        return G_SOURCE_CONTINUE;
      },
      impl_.get());
  g_signal_connect(impl_->service.get(), "incoming",
                   G_CALLBACK(+[](GSocketService*, GSocketConnection* socket,
                                  GObject*, gpointer data) -> gboolean {
                     static_cast<Impl*>(data)->Accept(socket);
                     return TRUE;
                   }),
                   impl_.get());
  g_socket_service_start(impl_->service.get());
}

Relay::~Relay() {
  Cut();
  DestroySource(impl_->udp_source);
  g_signal_handlers_disconnect_by_data(impl_->service.get(), impl_.get());
  g_socket_service_stop(impl_->service.get());
  g_socket_listener_close(G_SOCKET_LISTENER(impl_->service.get()));
}

std::uint16_t Relay::port() const {
  return impl_->port;
}

void Relay::Cut() {
  impl_->mode = Mode::kCut;
  for (const auto& it : impl_->links) {
    it->Close();
  }
  impl_->links.clear();
}

void Relay::Freeze() {
  impl_->mode = Mode::kFrozen;
}

void Relay::Restore() {
  impl_->mode = Mode::kForward;
  for (const auto& it : impl_->links) {
    it->ForwardHeld();
  }
}

}  // namespace acaciachute
