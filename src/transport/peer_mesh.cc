#include "transport/peer_mesh.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "protocol/frame.h"
#include "protocol/replay_guard.h"
#include "text.h"
#include "transport/glib_ptr.h"

namespace acaciachute {
namespace detail {
namespace {

constexpr guint kConnectTimeoutSeconds = 2;
// A connection whose peer acknowledges nothing for this long is closed. The
// time spans two keep-alive probes; a live peer answers the first.
constexpr gint kPeerTimeoutMs = 2000;
constexpr std::size_t kMaxDatagramBytes = 65507;
// With a tenth of all UDP ports in use, all of these attempts fail once in
// 10^20 starts.
constexpr int kMaxBindAttempts = 20;

absl::Status ToStatus(GError* error, std::string_view what) {
  const GErrorPtr owned(error);
  return absl::UnavailableError(
      StrCat(what, ": ", error == nullptr ? "failed" : error->message));
}

GPtr<GSocketAddress> SocketAddress(const Address& address) {
  return GPtr<GSocketAddress>(
      g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
}

}  // namespace

// One TCP connection to a peer. GIO callbacks hold a shared pointer to it, so
// it lives until its last asynchronous operation has ended.
struct Connection : std::enable_shared_from_this<Connection> {
  PeerMeshImpl* mesh = nullptr;
  NodeId peer;  // Empty on an accepted connection until its first frame.
  GPtr<GSocketConnection> socket;
  GPtr<GCancellable> cancellable{g_cancellable_new()};
  std::deque<Message> unsent_messages;  // Messages to send once connected.
  std::deque<GBytesPtr> write_queue;
  bool write_active = false;
  bool closed = false;
  std::array<char, kFramePrefixSize> prefix{};
  std::string frame;

  void StartReading();
  void ReadPrefix();
  void ReadRemainder(std::size_t size);
  void Queue(const std::string& bytes);
  void WriteNext();
  void Close();
};

namespace {

using ConnectionPtr = std::shared_ptr<Connection>;

gpointer Hold(const ConnectionPtr& connection) {
  return new ConnectionPtr(connection);
}
ConnectionPtr Release(gpointer data) {
  const std::unique_ptr<ConnectionPtr> held(static_cast<ConnectionPtr*>(data));
  return *held;
}

}  // namespace

struct PeerMeshImpl {
  PeerMeshImpl(PeerOptions options, PeerHandler* handler, Metrics* metrics)
      : options(std::move(options)), handler(handler), metrics(metrics) {}

  std::string SealFrame(const Message& message) {
    return EncodeFrame(
        {options.node, options.incarnation, ++next_sequence, message},
        options.frame_key);
  }
  // Queues the message, unless its frame is too long: the peer would close the
  // connection, and what others sent on it would be lost.
  void QueueMessage(const ConnectionPtr& connection, const Message& message);
  // Binds TCP and UDP sockets to one port.
  absl::Status Bind(GSocketAddress* address);
  void Accept(GSocketConnection* socket);
  void Dial(const NodeId& peer, const Address& address);
  void OnDialed(const ConnectionPtr& connection, GSocketConnection* socket);
  void OnFrame(const ConnectionPtr& connection);
  void OnDatagram();
  void OnClosed(const ConnectionPtr& connection);

  const PeerOptions options;
  PeerHandler* const handler;
  Metrics* const metrics;
  GPtr<GSocketService> service;
  GPtr<GSocketClient> client{g_socket_client_new()};
  GPtr<GSocket> udp;
  GSource* udp_source = nullptr;
  std::uint16_t port = 0;
  std::uint64_t next_sequence = 0;
  ReplayGuard tcp_guard;
  ReplayGuard udp_guard;
  std::map<NodeId, Address, std::less<>> addresses;
  std::map<NodeId, GPtr<GSocketAddress>, std::less<>> udp_addresses;
  std::map<NodeId, ConnectionPtr, std::less<>> connections;
  std::vector<ConnectionPtr> unidentified;
};

void Connection::StartReading() {
  GSocket* raw = g_socket_connection_get_socket(socket.get());
  g_socket_set_keepalive(raw, TRUE);
  // GIO leaves the connect timeout set on the socket, where it would close an
  // idle connection and fail the calls that wait for answers on it.
  g_socket_set_timeout(raw, 0);
  g_socket_set_option(raw, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  // If the peer's host loses power, or the network drops this connection's
  // packets while new connections work, messages would wait here for minutes.
  // Unacknowledged bytes and unanswered keep-alive probes close the connection,
  // and the next message opens a new one.
  g_socket_set_option(raw, IPPROTO_TCP, TCP_USER_TIMEOUT, kPeerTimeoutMs,
                      nullptr);
  g_socket_set_option(raw, IPPROTO_TCP, TCP_KEEPIDLE, 1, nullptr);
  g_socket_set_option(raw, IPPROTO_TCP, TCP_KEEPINTVL, 1, nullptr);
  ReadPrefix();
}

void Connection::ReadPrefix() {
  GInputStream* in = g_io_stream_get_input_stream(G_IO_STREAM(socket.get()));
  g_input_stream_read_all_async(
      in, prefix.data(), prefix.size(), G_PRIORITY_DEFAULT, cancellable.get(),
      [](GObject* source, GAsyncResult* result, gpointer data) {
        const ConnectionPtr self = Release(data);
        gsize n = 0;
        const bool ok = g_input_stream_read_all_finish(G_INPUT_STREAM(source),
                                                       result, &n, nullptr);
        if (self->closed) {
          return;
        }
        if (!ok || n != self->prefix.size()) {
          self->Close();
          return;
        }
        const auto size = FrameSize({self->prefix.data(), n});
        if (!size.ok()) {
          self->mesh->metrics->Count("acaciachute_bad_frames_total", "tcp");
          self->Close();
          return;
        }
        self->ReadRemainder(*size);
      },
      Hold(shared_from_this()));
}

void Connection::ReadRemainder(std::size_t size) {
  frame.assign(prefix.data(), prefix.size());
  frame.resize(size);
  GInputStream* in = g_io_stream_get_input_stream(G_IO_STREAM(socket.get()));
  g_input_stream_read_all_async(
      in, frame.data() + prefix.size(), size - prefix.size(),
      G_PRIORITY_DEFAULT, cancellable.get(),
      [](GObject* source, GAsyncResult* result, gpointer data) {
        const ConnectionPtr self = Release(data);
        gsize n = 0;
        const bool ok = g_input_stream_read_all_finish(G_INPUT_STREAM(source),
                                                       result, &n, nullptr);
        if (self->closed) {
          return;
        }
        if (!ok || n + self->prefix.size() != self->frame.size()) {
          self->Close();
          return;
        }
        self->mesh->OnFrame(self);
        if (!self->closed) {
          self->ReadPrefix();
        }
      },
      Hold(shared_from_this()));
}

void Connection::Queue(const std::string& bytes) {
  mesh->metrics->Count("acaciachute_frame_bytes_total", "tcp_out",
                       bytes.size());
  write_queue.push_back(BytesOf(bytes));
  if (!write_active) {
    WriteNext();
  }
}

void Connection::WriteNext() {
  if (write_queue.empty() || closed) {
    return;
  }
  write_active = true;
  gsize n = 0;
  const void* data = g_bytes_get_data(write_queue.front().get(), &n);
  GOutputStream* out = g_io_stream_get_output_stream(G_IO_STREAM(socket.get()));
  g_output_stream_write_all_async(
      out, data, n, G_PRIORITY_DEFAULT, cancellable.get(),
      [](GObject* source, GAsyncResult* result, gpointer user_data) {
        const ConnectionPtr self = Release(user_data);
        const bool ok = g_output_stream_write_all_finish(
            G_OUTPUT_STREAM(source), result, nullptr, nullptr);
        self->write_active = false;
        self->write_queue.pop_front();
        if (self->closed) {
          return;
        }
        if (!ok) {
          self->Close();
          return;
        }
        self->WriteNext();
      },
      Hold(shared_from_this()));
}

void Connection::Close() {
  if (closed) {
    return;
  }
  closed = true;
  g_cancellable_cancel(cancellable.get());
  if (socket) {
    g_io_stream_close(G_IO_STREAM(socket.get()), nullptr, nullptr);
  }
  mesh->OnClosed(shared_from_this());
}

absl::Status PeerMeshImpl::Bind(GSocketAddress* address) {
  GError* error = nullptr;
  service.reset(g_socket_service_new());
  GSocketAddress* bound = nullptr;
  if (!g_socket_listener_add_address(
          G_SOCKET_LISTENER(service.get()), address, G_SOCKET_TYPE_STREAM,
          G_SOCKET_PROTOCOL_TCP, nullptr, &bound, &error)) {
    return ToStatus(error, "listen on TCP");
  }
  const GPtr<GSocketAddress> owned(bound);
  port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
  udp.reset(g_socket_new(g_socket_address_get_family(bound),
                         G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP,
                         &error));
  if (!udp || !g_socket_bind(udp.get(), bound, FALSE, &error)) {
    return ToStatus(error, "listen on UDP");
  }
  return absl::OkStatus();
}

void PeerMeshImpl::Accept(GSocketConnection* socket) {
  auto connection = std::make_shared<Connection>();
  connection->mesh = this;
  connection->socket = Share(socket);
  unidentified.push_back(connection);
  connection->StartReading();
}

void PeerMeshImpl::Dial(const NodeId& peer, const Address& address) {
  auto connection = std::make_shared<Connection>();
  connection->mesh = this;
  connection->peer = peer;
  connections[peer] = connection;
  const auto target = detail::SocketAddress(address);
  g_socket_client_connect_async(
      client.get(), G_SOCKET_CONNECTABLE(target.get()),
      connection->cancellable.get(),
      [](GObject* source, GAsyncResult* result, gpointer data) {
        const ConnectionPtr self = Release(data);
        GSocketConnection* socket = g_socket_client_connect_finish(
            G_SOCKET_CLIENT(source), result, nullptr);
        if (self->closed) {
          g_clear_object(&socket);
          return;
        }
        self->mesh->OnDialed(self, socket);
      },
      Hold(connection));
}

void PeerMeshImpl::OnDialed(const ConnectionPtr& connection,
                            GSocketConnection* socket) {
  if (socket == nullptr) {
    metrics->Count("acaciachute_dial_failures_total");
    auto unsent = std::move(connection->unsent_messages);
    connection->unsent_messages.clear();
    connection->closed = true;
    connections.erase(connection->peer);
    for (const auto& it : unsent) {
      handler->OnUnsent(connection->peer, it);
    }
    return;
  }
  connection->socket.reset(socket);
  connection->StartReading();
  for (const auto& it : connection->unsent_messages) {
    QueueMessage(connection, it);
  }
  connection->unsent_messages.clear();
}

void PeerMeshImpl::QueueMessage(const ConnectionPtr& connection,
                                const Message& message) {
  const std::string frame = SealFrame(message);
  if (frame.size() <= kMaxFrameSize) {
    connection->Queue(frame);
    return;
  }
  metrics->Count("acaciachute_frames_too_long_total");
  handler->OnTooLong(connection->peer, message.index(), frame.size());
}

void PeerMeshImpl::OnFrame(const ConnectionPtr& connection) {
  metrics->Count("acaciachute_frame_bytes_total", "tcp_in",
                 connection->frame.size());
  const auto envelope = DecodeFrame(connection->frame, options.frame_key);
  if (!envelope.ok()) {
    metrics->Count("acaciachute_bad_frames_total", "tcp");
    connection->Close();
    return;
  }
  if (!tcp_guard.Accept(*envelope)) {
    metrics->Count("acaciachute_replayed_frames_total", "tcp");
    return;
  }
  if (connection->peer.empty()) {
    connection->peer = envelope->sender;
    std::erase(unidentified, connection);
    connections[connection->peer] = connection;
  }
  if (connection->peer != envelope->sender) {
    metrics->Count("acaciachute_bad_frames_total", "sender");
    connection->Close();
    return;
  }
  handler->OnPeerMessage(envelope->sender, envelope->incarnation,
                         envelope->message);
}

void PeerMeshImpl::OnClosed(const ConnectionPtr& connection) {
  std::erase(unidentified, connection);
  const auto it = connections.find(connection->peer);
  if (it == connections.end() || it->second != connection) {
    return;
  }
  connections.erase(it);
  handler->OnPeerLost(connection->peer);
}

void PeerMeshImpl::OnDatagram() {
  std::array<char, kMaxDatagramBytes> buf;
  GSocketAddress* raw_from = nullptr;
  const gssize n = g_socket_receive_from(udp.get(), &raw_from, buf.data(),
                                         buf.size(), nullptr, nullptr);
  GPtr<GSocketAddress> from(raw_from);
  if (n <= 0 || !from) {
    return;
  }
  metrics->Count("acaciachute_frame_bytes_total", "udp_in",
                 static_cast<std::uint64_t>(n));
  const auto envelope =
      DecodeFrame({buf.data(), static_cast<std::size_t>(n)}, options.frame_key);
  if (!envelope.ok()) {
    metrics->Count("acaciachute_bad_frames_total", "udp");
    return;
  }
  if (!udp_guard.Accept(*envelope)) {
    metrics->Count("acaciachute_replayed_frames_total", "udp");
    return;
  }
  udp_addresses[envelope->sender] = std::move(from);
  handler->OnPeerDatagram(envelope->sender, envelope->incarnation,
                          envelope->message);
}

}  // namespace detail

PeerMesh::PeerMesh(PeerOptions options, PeerHandler* handler, Metrics* metrics)
    : impl_(std::make_unique<detail::PeerMeshImpl>(std::move(options),
                                                   handler,
                                                   metrics)) {
  g_socket_client_set_timeout(impl_->client.get(),
                              detail::kConnectTimeoutSeconds);
  // Peers are addressed by IP, so no proxy applies. GIO's proxy lookup would
  // load desktop settings modules, which write to a home directory.
  g_socket_client_set_enable_proxy(impl_->client.get(), FALSE);
}

PeerMesh::~PeerMesh() {
  if (impl_->udp_source != nullptr) {
    g_source_destroy(impl_->udp_source);
    g_source_unref(impl_->udp_source);
  }
  if (impl_->service) {
    g_socket_service_stop(impl_->service.get());
  }
  // Pending GIO callbacks see `closed` and return.
  const auto connections = std::move(impl_->connections);
  for (const auto& [unused, it] : connections) {
    it->closed = true;
    g_cancellable_cancel(it->cancellable.get());
  }
  for (const auto& it : impl_->unidentified) {
    it->closed = true;
    g_cancellable_cancel(it->cancellable.get());
  }
}

absl::Status PeerMesh::Listen() {
  const auto address = detail::SocketAddress(impl_->options.listen);
  if (!address) {
    return absl::InvalidArgumentError("listen: address is not an IP address");
  }
  // The port that the kernel chose for TCP may be in use for UDP, which made
  // some starts fail at random. Each further attempt gets another port.
  int attempts = impl_->options.listen.port == 0 ? detail::kMaxBindAttempts : 1;
  absl::Status status = impl_->Bind(address.get());
  while (!status.ok() && --attempts > 0) {
    status = impl_->Bind(address.get());
  }
  if (!status.ok()) {
    return status;
  }
  g_signal_connect(impl_->service.get(), "incoming",
                   G_CALLBACK(+[](GSocketService*, GSocketConnection* socket,
                                  GObject*, gpointer data) -> gboolean {
                     static_cast<detail::PeerMeshImpl*>(data)->Accept(socket);
                     return TRUE;
                   }),
                   impl_.get());
  g_socket_set_blocking(impl_->udp.get(), FALSE);
  impl_->udp_source =
      g_socket_create_source(impl_->udp.get(), G_IO_IN, nullptr);
  g_source_set_callback(
      impl_->udp_source,
      G_SOURCE_FUNC(+[](GSocket*, GIOCondition, gpointer data) -> gboolean {
        static_cast<detail::PeerMeshImpl*>(data)->OnDatagram();
        return G_SOURCE_CONTINUE;
      }),
      impl_.get(), nullptr);
  g_source_attach(impl_->udp_source, nullptr);
  g_socket_service_start(impl_->service.get());
  return absl::OkStatus();
}

std::uint16_t PeerMesh::port() const {
  return impl_->port;
}

void PeerMesh::SetAddress(const NodeId& peer, const Address& address) {
  impl_->addresses[peer] = address;
  impl_->udp_addresses[peer] = detail::SocketAddress(address);
}

void PeerMesh::Send(const NodeId& peer, const Message& message) {
  auto it = impl_->connections.find(peer);
  if (it == impl_->connections.end()) {
    const auto address = impl_->addresses.find(peer);
    if (address == impl_->addresses.end()) {
      impl_->metrics->Count("acaciachute_unsent_messages_total");
      return;
    }
    impl_->Dial(peer, address->second);
    it = impl_->connections.find(peer);
  }
  if (it->second->socket) {
    impl_->QueueMessage(it->second, message);
  } else {
    it->second->unsent_messages.push_back(message);
  }
}

void PeerMesh::SendDatagram(const NodeId& peer, const Message& message) {
  const auto it = impl_->udp_addresses.find(peer);
  if (it == impl_->udp_addresses.end() || !it->second) {
    return;
  }
  const std::string frame = impl_->SealFrame(message);
  impl_->metrics->Count("acaciachute_frame_bytes_total", "udp_out",
                        frame.size());
  // Send errors are ignored: senders of datagrams tolerate loss.
  g_socket_send_to(impl_->udp.get(), it->second.get(), frame.data(),
                   frame.size(), nullptr, nullptr);
}

bool PeerMesh::Flushed() const {
  for (const auto& [unused, it] : impl_->connections) {
    if (!it->unsent_messages.empty() || !it->write_queue.empty()) {
      return false;
    }
  }
  return true;
}

}  // namespace acaciachute
