#include "transport/socket_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

constexpr std::size_t kReadBufferBytes = 32 << 10;

void SetOptions(GSocket* socket) {
  g_socket_set_blocking(socket, FALSE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(
      socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<gint>(SocketStream::kPeerTimeout / kMillisecond), nullptr);
}

// Enables keep-alive probes. If a replica loses power after it acknowledged a
// request, or the network drops this connection's packets while new connections
// work, no unacknowledged bytes are left that would end the connection, and the
// client would wait until its deadline. Unanswered probes end the connection.
void EnableProbes(GSocket* socket) {
  g_socket_set_keepalive(socket, TRUE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT,
                      SocketStream::kMaxUnansweredProbes, nullptr);
  for (const gint option : {TCP_KEEPIDLE, TCP_KEEPINTVL}) {
    g_socket_set_option(
        socket, IPPROTO_TCP, option,
        static_cast<gint>(SocketStream::kProbeInterval / kSecond), nullptr);
  }
}

}  // namespace

SocketStream::SocketStream(SocketPoller* poller,
                           GPtr<GSocket> socket,
                           SocketHandler* handler)
    : poller_(poller), socket_(std::move(socket)), handler_(handler) {
  SetOptions(socket_.get());
}

SocketStream::~SocketStream() {
  Close();
}

std::shared_ptr<SocketStream> SocketStream::Accepted(SocketPoller* poller,
                                                     GPtr<GSocket> socket,
                                                     SocketHandler* handler) {
  std::shared_ptr<SocketStream> stream(
      new SocketStream(poller, std::move(socket), handler));
  stream->connected_ = true;
  stream->SetReading(true);
  return stream;
}

absl::StatusOr<std::shared_ptr<SocketStream>> SocketStream::Connect(
    SocketPoller* poller,
    const Address& address,
    SocketHandler* handler) {
  GError* raw_error = nullptr;
  GPtr<GSocket> socket(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, &raw_error));
  if (socket == nullptr) {
    const GErrorPtr error(raw_error);
    return absl::ResourceExhaustedError(error->message);
  }
  const GPtr<GSocketAddress> target(
      g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
  if (target == nullptr) {
    return absl::InvalidArgumentError(
        StrCat("not an IP address: ", address.ip));
  }
  std::shared_ptr<SocketStream> stream(
      new SocketStream(poller, std::move(socket), handler));
  EnableProbes(stream->socket_.get());
  g_socket_connect(stream->socket_.get(), target.get(), nullptr, &raw_error);
  if (raw_error != nullptr) {
    const GErrorPtr error(raw_error);
    if (g_error_matches(error.get(), G_IO_ERROR,
                        G_IO_ERROR_CONNECTION_REFUSED)) {
      return absl::NotFoundError(error->message);
    }
    if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_PENDING)) {
      return absl::UnavailableError(error->message);
    }
  }
  stream->Watch(false, true);
  return stream;
}

void SocketStream::Watch(bool readable, bool writable) {
  if (readable == watches_readable_ && writable == watches_writable_) {
    return;
  }
  watches_readable_ = readable;
  watches_writable_ = writable;
  poller_->Watch(g_socket_get_fd(socket_.get()), this, readable, writable);
}

void SocketStream::SetReading(bool reading) {
  if (handler_ != nullptr && connected_) {
    Watch(reading, watches_writable_);
  }
}

void SocketStream::Write(std::string_view bytes) {
  Write(bytes, {});
}

void SocketStream::Write(std::string_view head, const SharedBytes& body) {
  if (handler_ == nullptr) {
    return;
  }
  const bool was_empty = unsent_.empty();
  unsent_.Add(head);
  unsent_.Add(body);
  if (connected_ && was_empty) {
    Flush();
  }
}

// Errors are stored and reported from the loop, because the caller of `Write`
// may not expect a callback.
void SocketStream::Flush() {
  while (!unsent_.empty()) {
    const std::string_view part = unsent_.front();
    GError* raw_error = nullptr;
    const gssize n = g_socket_send(socket_.get(), part.data(), part.size(),
                                   nullptr, &raw_error);
    if (n < 0) {
      const GErrorPtr error(raw_error);
      if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        send_error_ = error->message;
      }
      break;
    }
    unsent_.RemoveFront(static_cast<std::size_t>(n));
  }
  Watch(watches_readable_, !unsent_.empty());
  if (unsent_.empty() && finishing_) {
    ShutDownWriting();
  }
}

void SocketStream::ShutDownWriting() {
  g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
  SetResetOnClose(false);
}

void SocketStream::OnReadable() {
  const auto self = shared_from_this();  // The handler may drop its reference.
  std::array<char, kReadBufferBytes> buf;
  GError* raw_error = nullptr;
  const gssize n = g_socket_receive(socket_.get(), buf.data(), buf.size(),
                                    nullptr, &raw_error);
  if (n > 0) {
    handler_->OnBytes({buf.data(), static_cast<std::size_t>(n)});
    return;
  }
  if (n == 0) {
    End(nullptr);
    return;
  }
  const GErrorPtr error(raw_error);
  if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
    End(error->message);
  }
}

void SocketStream::OnWritable() {
  const auto self = shared_from_this();
  GError* raw_error = nullptr;
  if (!g_socket_check_connect_result(socket_.get(), &raw_error)) {
    const GErrorPtr error(raw_error);
    refused_ =
        g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
    End(error->message);
    return;
  }
  if (!connected_) {
    connected_ = true;
    Watch(true, true);
    handler_->OnConnected();
    if (handler_ == nullptr) {
      return;
    }
  }
  Flush();
  if (!send_error_.empty()) {
    End(send_error_.c_str());
  } else if (unsent_.empty()) {
    handler_->OnFlushed();
  }
}

void SocketStream::FinishWriting() {
  finishing_ = true;
  if (connected_ && unsent_.empty() && handler_ != nullptr) {
    ShutDownWriting();
  }
}

void SocketStream::End(const char* error) {
  SocketHandler* handler = std::exchange(handler_, nullptr);
  const std::string why = error == nullptr ? "" : error;
  const bool broken = error != nullptr;
  Close();
  if (handler != nullptr) {
    handler->OnEnd(broken ? why.c_str() : nullptr);
  }
}

void SocketStream::Close() {
  handler_ = nullptr;
  Watch(false, false);
  if (!g_socket_is_closed(socket_.get())) {
    g_socket_close(socket_.get(), nullptr);
  }
}

void SocketStream::SetResetOnClose(bool reset) {
  if (!g_socket_is_closed(socket_.get())) {
    const linger value = {.l_onoff = reset ? 1 : 0, .l_linger = 0};
    setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &value,
               sizeof value);
  }
}

void SocketStream::Abort() {
  SetResetOnClose(true);
  Close();
}

}  // namespace acaciachute
