#include "transport/http_server.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <map>

#include "text.h"
#include "transport/glib_ptr.h"

namespace acaciachute {
namespace {

// Connections that wait to be accepted. GIO's own default of ten resets some
// callers when forty connect at once, as at the start of an event; the kernel
// lowers it to its own bound.
constexpr int kListenBacklog = 1024;

struct OpenRequest {
  GPtr<SoupServerMessage> message;
  bool streaming = false;
  bool complete = false;  // The whole answer was given to libsoup.
};

}  // namespace

struct HttpServer::Impl {
  explicit Impl(HttpHandler* handler) : handler(handler) {}

  void OnRequest(SoupServerMessage* message, const char* path);
  void OnFinished(SoupServerMessage* message);
  OpenRequest* Find(std::uint64_t handle);

  HttpHandler* const handler;
  GPtr<SoupServer> server{
      soup_server_new("server-header", "acaciachute", nullptr)};
  std::uint64_t next_handle = 1;
  std::map<std::uint64_t, OpenRequest> open;
};

void HttpServer::Impl::OnRequest(SoupServerMessage* message, const char* path) {
  const std::uint64_t handle = next_handle++;
  open[handle].message = Share(message);
  g_signal_connect(message, "finished",
                   G_CALLBACK(+[](SoupServerMessage* it, gpointer data) {
                     static_cast<Impl*>(data)->OnFinished(it);
                   }),
                   this);
  soup_server_message_pause(message);
  HttpHead head;
  head.method = soup_server_message_get_method(message);
  head.path = path;
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  head.header = [headers](const char* name) -> std::optional<std::string> {
    const char* value = soup_message_headers_get_one(headers, name);
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  const GBytesPtr bytes(soup_message_body_flatten(body));
  const std::string text = TextOf(bytes.get());
  handler->OnHttpRequest(handle, head, text);
}

void HttpServer::Impl::OnFinished(SoupServerMessage* message) {
  for (auto it = open.begin(); it != open.end(); ++it) {
    if (it->second.message.get() == message) {
      const std::uint64_t handle = it->first;
      const bool complete = it->second.complete;
      open.erase(it);
      if (!complete) {
        handler->OnHttpGone(handle);
      }
      return;
    }
  }
}

OpenRequest* HttpServer::Impl::Find(std::uint64_t handle) {
  const auto it = open.find(handle);
  return it == open.end() ? nullptr : &it->second;
}

HttpServer::HttpServer(HttpHandler* handler)
    : impl_(std::make_unique<Impl>(handler)) {
  soup_server_add_handler(
      impl_->server.get(), nullptr,
      [](SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
         gpointer data) { static_cast<Impl*>(data)->OnRequest(message, path); },
      impl_.get(), nullptr);
}

HttpServer::~HttpServer() {
  for (auto& [unused, it] : impl_->open) {
    g_signal_handlers_disconnect_by_data(it.message.get(), impl_.get());
  }
  soup_server_disconnect(impl_->server.get());
}

absl::Status HttpServer::Listen(const Address& address) {
  const GPtr<GSocketAddress> target(
      g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
  if (!target) {
    return absl::InvalidArgumentError("http: no IP number");
  }
  GError* error = nullptr;
  const GPtr<GSocket> socket(
      g_socket_new(g_socket_address_get_family(target.get()),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
  if (socket) {
    g_socket_set_listen_backlog(socket.get(), kListenBacklog);
  }
  if (!socket || !g_socket_bind(socket.get(), target.get(), TRUE, &error) ||
      !g_socket_listen(socket.get(), &error) ||
      !soup_server_listen_socket(impl_->server.get(), socket.get(),
                                 SoupServerListenOptions(0), &error)) {
    const GErrorPtr owned(error);
    return absl::UnavailableError(StrCat("listen on HTTP: ", error->message));
  }
  return absl::OkStatus();
}

std::uint16_t HttpServer::port() const {
  GSList* uris = soup_server_get_uris(impl_->server.get());
  const int port =
      uris == nullptr ? 0 : g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return static_cast<std::uint16_t>(port);
}

void HttpServer::Reply(std::uint64_t handle, const HttpReply& reply) {
  OpenRequest* it = impl_->Find(handle);
  if (it == nullptr || it->complete) {
    return;
  }
  SoupServerMessage* message = it->message.get();
  it->complete = true;
  soup_server_message_set_status(message, reply.status, nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message);
  for (const auto& [name, value] : reply.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  soup_server_message_set_response(message, reply.content_type.c_str(),
                                   SOUP_MEMORY_COPY, reply.body.data(),
                                   reply.body.size());
  soup_server_message_unpause(message);
}

void HttpServer::SetHeader(std::uint64_t handle,
                           const std::string& name,
                           const std::string& value) {
  if (OpenRequest* it = impl_->Find(handle)) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(it->message.get()),
        name.c_str(), value.c_str());
  }
}

void HttpServer::StreamPart(std::uint64_t handle, const std::string& bytes) {
  OpenRequest* it = impl_->Find(handle);
  if (it == nullptr || it->complete) {
    return;
  }
  SoupServerMessage* message = it->message.get();
  SoupMessageBody* body = soup_server_message_get_response_body(message);
  if (!it->streaming) {
    it->streaming = true;
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    SoupMessageHeaders* headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_message_headers_replace(headers, "Cache-Control", "no-store");
    soup_message_body_set_accumulate(body, FALSE);
  }
  soup_message_body_append(body, SOUP_MEMORY_COPY, bytes.data(), bytes.size());
  soup_server_message_unpause(message);
}

void HttpServer::StreamEnd(std::uint64_t handle, const std::string& bytes) {
  StreamPart(handle, bytes);
  OpenRequest* it = impl_->Find(handle);
  if (it == nullptr || it->complete) {
    return;
  }
  it->complete = true;
  soup_message_body_complete(
      soup_server_message_get_response_body(it->message.get()));
  soup_server_message_unpause(it->message.get());
}

void HttpServer::Drop(std::uint64_t handle) {
  OpenRequest* it = impl_->Find(handle);
  if (it == nullptr) {
    return;
  }
  const auto message = std::move(it->message);
  g_signal_handlers_disconnect_by_data(message.get(), impl_.get());
  impl_->open.erase(handle);
  const GPtr<GIOStream> stream(
      soup_server_message_steal_connection(message.get()));
  if (stream) {
    g_io_stream_close(stream.get(), nullptr, nullptr);
  }
}

std::size_t HttpServer::Open() const {
  return impl_->open.size();
}

}  // namespace acaciachute
