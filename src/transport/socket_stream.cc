#include "transport/socket_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

constexpr std::size_t kReadBytes = 32 << 10;

void SetOptions(GSocket* socket) {
  g_socket_set_blocking(socket, FALSE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(
      socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<gint>(SocketStream::kPeerSilence / kMillisecond), nullptr);
}

}  // namespace

SocketStream::SocketStream(GPtr<GSocket> socket, SocketHandler* handler)
    : socket_(std::move(socket)), handler_(handler) {
  SetOptions(socket_.get());
}

SocketStream::~SocketStream() {
  Close();
}

std::shared_ptr<SocketStream> SocketStream::Accepted(GPtr<GSocket> socket,
                                                     SocketHandler* handler) {
  std::shared_ptr<SocketStream> stream(
      new SocketStream(std::move(socket), handler));
  stream->connected_ = true;
  stream->SetReading(true);
  return stream;
}

absl::StatusOr<std::shared_ptr<SocketStream>> SocketStream::Connect(
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
      new SocketStream(std::move(socket), handler));
  g_socket_connect(stream->socket_.get(), target.get(), nullptr, &raw_error);
  if (raw_error != nullptr) {
    const GErrorPtr error(raw_error);
    if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_PENDING)) {
      return absl::UnavailableError(error->message);
    }
  }
  stream->Watch(&stream->write_source_, G_IO_OUT, OnWritable);
  return stream;
}

void SocketStream::Watch(GSource** source,
                         GIOCondition condition,
                         GSocketSourceFunc fn) {
  if (*source != nullptr) {
    return;
  }
  *source = g_socket_create_source(socket_.get(), condition, nullptr);
  // GLib's macro for the cast of a typed callback.
  g_source_set_callback(*source, G_SOURCE_FUNC(fn), this, nullptr);
  g_source_attach(*source, nullptr);
}

void SocketStream::Unwatch(GSource** source) {
  if (*source != nullptr) {
    g_source_destroy(*source);
    g_source_unref(*source);
    *source = nullptr;
  }
}

void SocketStream::SetReading(bool reading) {
  if (reading && handler_ != nullptr && connected_) {
    Watch(&read_source_, G_IO_IN, OnReadable);
  } else if (!reading) {
    Unwatch(&read_source_);
  }
}

void SocketStream::Write(std::string_view bytes) {
  if (handler_ == nullptr) {
    return;
  }
  const bool was_empty = out_.empty();
  out_ += bytes;
  if (connected_ && was_empty) {
    Flush();
  }
}

// Errors are reported from the loop, not to whoever writes: the writer may be
// in the middle of a decision.
void SocketStream::Flush() {
  std::size_t done = 0;
  while (done < out_.size()) {
    GError* raw_error = nullptr;
    const gssize n = g_socket_send(socket_.get(), out_.data() + done,
                                   out_.size() - done, nullptr, &raw_error);
    if (n < 0) {
      const GErrorPtr error(raw_error);
      break;
    }
    done += static_cast<std::size_t>(n);
  }
  out_.erase(0, done);
  if (!out_.empty()) {
    Watch(&write_source_, G_IO_OUT, OnWritable);
    return;
  }
  Unwatch(&write_source_);
  if (finishing_) {
    g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
  }
}

gboolean SocketStream::OnReadable(GSocket*, GIOCondition, gpointer data) {
  const auto self = static_cast<SocketStream*>(data)->shared_from_this();
  std::array<char, kReadBytes> buf;
  GError* raw_error = nullptr;
  const gssize n = g_socket_receive(self->socket_.get(), buf.data(), buf.size(),
                                    nullptr, &raw_error);
  if (n > 0) {
    self->handler_->OnBytes({buf.data(), static_cast<std::size_t>(n)});
    return G_SOURCE_CONTINUE;
  }
  if (n == 0) {
    self->End(nullptr);
    return G_SOURCE_CONTINUE;
  }
  const GErrorPtr error(raw_error);
  if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
    self->End(error->message);
  }
  return G_SOURCE_CONTINUE;
}

gboolean SocketStream::OnWritable(GSocket*, GIOCondition, gpointer data) {
  const auto self = static_cast<SocketStream*>(data)->shared_from_this();
  GError* raw_error = nullptr;
  if (!self->connected_) {
    if (!g_socket_check_connect_result(self->socket_.get(), &raw_error)) {
      const GErrorPtr error(raw_error);
      self->End(error->message);
      return G_SOURCE_CONTINUE;
    }
    self->connected_ = true;
    self->SetReading(true);
    self->handler_->OnConnected();
    if (self->handler_ == nullptr) {
      return G_SOURCE_CONTINUE;
    }
  }
  if (!g_socket_check_connect_result(self->socket_.get(), &raw_error)) {
    const GErrorPtr error(raw_error);
    self->End(error->message);
    return G_SOURCE_CONTINUE;
  }
  self->Flush();
  if (self->out_.empty()) {
    self->handler_->OnFlushed();
  }
  return G_SOURCE_CONTINUE;
}

void SocketStream::FinishWriting() {
  finishing_ = true;
  if (connected_ && out_.empty() && handler_ != nullptr) {
    g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
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
  Unwatch(&read_source_);
  Unwatch(&write_source_);
  if (!g_socket_is_closed(socket_.get())) {
    g_socket_close(socket_.get(), nullptr);
  }
}

void SocketStream::Abort() {
  if (!g_socket_is_closed(socket_.get())) {
    const linger reset = {.l_onoff = 1, .l_linger = 0};
    setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &reset,
               sizeof reset);
  }
  Close();
}

}  // namespace acaciachute
