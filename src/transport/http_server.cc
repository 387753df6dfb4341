#include "transport/http_server.h"

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <sys/resource.h>

#include <algorithm>
#include <map>

#include "text.h"
#include "transport/glib_ptr.h"
#include "transport/http_connection.h"
#include "transport/listen_options.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

using detail::HttpConnection;
using detail::HttpExchange;

// File descriptors reserved for frames, platform connections and logs.
constexpr rlim_t kReservedDescriptors = 256;
// A refused body is read and discarded up to this multiple of the limit, so
// that a client only a little above the limit can read the refusal.
constexpr std::size_t kDiscardFactor = 4;
// Closed connections are removed from the map once it holds this many more than
// twice the connections open at the last removal.
constexpr std::size_t kSweepSlack = 64;

std::size_t ClampConnections(std::size_t wanted) {
  struct rlimit files = {};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0 ||
      files.rlim_cur == RLIM_INFINITY) {
    return wanted;
  }
  const rlim_t usable = files.rlim_cur > 2 * kReservedDescriptors
                            ? files.rlim_cur - kReservedDescriptors
                            : files.rlim_cur / 2;
  return std::min<std::size_t>(wanted, usable);
}

// Copies a complete reply into the libsoup message.
void FillResponse(SoupServerMessage* message, const HttpReply& reply) {
  soup_server_message_set_status(message, reply.status, nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message);
  for (const auto& [name, value] : reply.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  soup_server_message_set_response(message, reply.content_type.c_str(),
                                   SOUP_MEMORY_COPY, reply.body.data(),
                                   reply.body.size());
}

void SetConnectionClose(SoupServerMessage* message) {
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message), "Connection", "close");
}

HttpHead HeadOf(SoupServerMessage* message, const char* path) {
  HttpHead head;
  head.method = soup_server_message_get_method(message);
  head.path = path;
  head.waited = Loop::Now() - Loop::OldestEvent();
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  head.header = [headers](const char* name) -> std::optional<std::string> {
    const char* value = soup_message_headers_get_one(headers, name);
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
  return head;
}

}  // namespace

struct HttpServer::Impl {
  Impl(HttpHandler* handler, const HttpLimits& limits)
      : handler(handler),
        limits(limits),
        max_connections(ClampConnections(limits.max_connections)),
        memory(limits.client_memory) {
    memory.SetReliefHandler([handler](const ClientMemory::Relief& relief) {
      handler->OnHttpRelief(relief);
    });
    memory.SetShortHandler([this] { RelieveSoon(); });
  }
  ~Impl() {
    if (relief_source != 0) {
      g_source_remove(relief_source);
    }
  }

  void OnStarted(SoupServerMessage* message);
  void RemoveClosed();
  void OnHead(SoupServerMessage* message);
  void OnChunk(SoupServerMessage* message, gsize size);
  void OnRequest(SoupServerMessage* message, const char* path);
  void OnEnded(SoupServerMessage* message);
  void OnHangUp(SoupServerMessage* message);
  void RefuseBody(HttpExchange& exchange, Refusal why);
  // Shuts down the connection that has waited longest for a request; returns
  // false if all are in use.
  bool MakePlace(const HttpConnection* newcomer);
  void SetHeld(HttpExchange* exchange, std::size_t bytes);
  static void CountProgress(HttpExchange* exchange, std::size_t bytes);
  GaveWay GiveWay(HttpExchange* exchange);
  void RelieveSoon();
  void OnWrote(SoupServerMessage* message, std::size_t bytes);
  HttpExchange* Find(SoupServerMessage* message);
  HttpExchange* Find(std::uint64_t handle);

  HttpHandler* const handler;
  const HttpLimits limits;
  const std::size_t max_connections;
  // With raw-paths, libsoup leaves paths undecoded: an escaped slash is part of
  // an idempotency key.
  GPtr<SoupServer> server{soup_server_new("server-header",
                                          "acaciachute",
                                          "raw-paths",
                                          TRUE,
                                          nullptr)};
  std::uint64_t next_handle = 1;
  bool closing = false;
  std::map<GSocket*, std::unique_ptr<HttpConnection>> connections;
  // Size of `connections` at which the closed ones are removed.
  std::size_t sweep_threshold = kSweepSlack;
  std::map<SoupServerMessage*, std::unique_ptr<HttpExchange>> exchanges;
  std::map<std::uint64_t, HttpExchange*> open;
  ClientMemory memory;
  guint relief_source = 0;
};

HttpExchange* HttpServer::Impl::Find(SoupServerMessage* message) {
  const auto it = exchanges.find(message);
  return it == exchanges.end() ? nullptr : it->second.get();
}

HttpExchange* HttpServer::Impl::Find(std::uint64_t handle) {
  const auto it = open.find(handle);
  return it == open.end() ? nullptr : it->second;
}

// The first message of a connection starts when the connection is accepted,
// each later one with its first byte. In both cases the head must arrive within
// the limit.
void HttpServer::Impl::OnStarted(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) {
    return;
  }
  if (connections.size() >= std::min(max_connections, sweep_threshold)) {
    RemoveClosed();
    sweep_threshold = 2 * connections.size() + kSweepSlack;
  }
  auto& connection = connections[socket];
  if (!connection) {
    connection = std::make_unique<HttpConnection>(socket);
    connection->waiting_since = Loop::Now();
  }
  if (connections.size() > max_connections && !MakePlace(connection.get())) {
    connection->ShutDown();
  } else {
    connection->StopWatch();
    connection->ShutDownAfter(limits.head);
  }
}

// Those that never sent a whole request go before those that did. libsoup
// notices the shutdown and ends the message, if there is one.
bool HttpServer::Impl::MakePlace(const HttpConnection* newcomer) {
  HttpConnection* least = nullptr;
  const auto rank = [](const HttpConnection& it) {
    return std::pair(it.served, it.waiting_since);
  };
  for (const auto& [socket, it] : connections) {
    if (!it->in_use && !it->is_shut_down() && it.get() != newcomer &&
        (least == nullptr || rank(*it) < rank(*least))) {
      least = it.get();
    }
  }
  if (least == nullptr) {
    return false;
  }
  least->ShutDown();
  return true;
}

// libsoup signals the end of a request but not of a connection, so closed
// connections are removed here.
void HttpServer::Impl::RemoveClosed() {
  std::erase_if(connections,
                [](const auto& it) { return it.second->closed(); });
}

void HttpServer::Impl::OnHead(SoupServerMessage* message) {
  const auto connection =
      connections.find(soup_server_message_get_socket(message));
  if (connection == connections.end()) {
    return;
  }
  auto owned =
      std::make_unique<HttpExchange>(message, connection->second.get());
  HttpExchange& exchange = *owned;
  exchanges[message] = std::move(owned);
  exchange.connection()->ShutDownAfter(limits.body);
  exchange.give_way = [this, &exchange] { return GiveWay(&exchange); };
  memory.Add(&exchange, Loop::Now());
  g_signal_connect(
      message, "wrote-body-data",
      G_CALLBACK(+[](SoupServerMessage* it, guint size, gpointer data) {
        static_cast<Impl*>(data)->OnWrote(it, size);
      }),
      this);
  g_signal_connect(
      message, "got-chunk",
      G_CALLBACK(+[](SoupServerMessage* it, GBytes* bytes, gpointer data) {
        static_cast<Impl*>(data)->OnChunk(it, g_bytes_get_size(bytes));
      }),
      this);
  const auto length = soup_message_headers_get_content_length(
      soup_server_message_get_request_headers(message));
  if (length > static_cast<goffset>(limits.max_body)) {
    RefuseBody(exchange, Refusal::kTooLarge);
  }
}

// What is still to come is read and discarded, so that the client reads its
// refusal.
void HttpServer::Impl::RefuseBody(HttpExchange& exchange, Refusal why) {
  exchange.refused = why;
  SoupMessageBody* body =
      soup_server_message_get_request_body(exchange.message());
  soup_message_body_set_accumulate(body, FALSE);
  soup_message_body_truncate(body);
  SetHeld(&exchange, 0);
}

void HttpServer::Impl::SetHeld(HttpExchange* exchange, std::size_t bytes) {
  exchange->held = bytes;
  memory.SetHeld(exchange, bytes);
}

void HttpServer::Impl::CountProgress(HttpExchange* exchange,
                                     std::size_t bytes) {
  exchange->progress += bytes;
  if (exchange->progress >= ClientMemory::kProgressBytes) {
    exchange->progress = 0;
    ClientMemory::OnProgress(exchange, Loop::Now());
  }
}

GaveWay HttpServer::Impl::GiveWay(HttpExchange* exchange) {
  if (exchange->handle == 0 && exchange->refused == Refusal::kNone) {
    RefuseBody(*exchange, Refusal::kFull);
    return GaveWay::kRefused;
  }
  if (!exchange->complete && !exchange->streaming) {
    return GaveWay::kNothing;
  }
  // libsoup frees the answer once it notices.
  SetHeld(exchange, 0);
  exchange->connection()->ShutDown();
  return GaveWay::kAnswerReset;
}

// From the loop, as the caller may be inside a signal of libsoup's.
void HttpServer::Impl::RelieveSoon() {
  relief_source = g_timeout_add(
      0,
      +[](gpointer data) -> gboolean {
        auto* it = static_cast<Impl*>(data);
        it->relief_source = 0;
        it->memory.Relieve(Loop::Now());
        return G_SOURCE_REMOVE;
      },
      this);
}

void HttpServer::Impl::OnWrote(SoupServerMessage* message, std::size_t bytes) {
  HttpExchange* exchange = Find(message);
  if (exchange == nullptr) {
    return;
  }
  CountProgress(exchange, bytes);
  if (exchange->streaming) {  // Its parts are freed as they are written.
    SetHeld(exchange, exchange->held - std::min(exchange->held, bytes));
  }
}

void HttpServer::Impl::OnChunk(SoupServerMessage* message, gsize size) {
  HttpExchange* exchange = Find(message);
  if (exchange == nullptr) {
    return;
  }
  exchange->received += size;
  if (exchange->received > kDiscardFactor * limits.max_body) {
    exchange->connection()->ShutDown();
  } else if (exchange->refused != Refusal::kNone) {
    return;
  } else if (exchange->received > limits.max_body) {
    RefuseBody(*exchange, Refusal::kTooLarge);
  } else {
    // At once: libsoup reads a body to its end before others have their turn.
    CountProgress(exchange, size);
    SetHeld(exchange, exchange->received);
    memory.Relieve(Loop::Now());
  }
}

void HttpServer::Impl::OnRequest(SoupServerMessage* message, const char* path) {
  HttpExchange* exchange = Find(message);
  if (exchange == nullptr) {
    return;
  }
  exchange->connection()->StopTimer();
  exchange->connection()->in_use = true;
  exchange->connection()->served = true;
  if (exchange->refused != Refusal::kNone) {
    FillResponse(
        message,
        FormatAnswer(MakeRefusal(
            Verdict::kNotRun, exchange->refused,
            exchange->refused == Refusal::kTooLarge
                ? StrCat("the body is over ", limits.max_body, " bytes")
                : "memory is short, and others make more of it")));
    SetConnectionClose(message);
    exchange->connection()->ShutDownAfter(limits.answer);
    return;
  }
  exchange->handle = next_handle++;
  open[exchange->handle] = exchange;
  exchange->OnHangUp([this, message] { OnHangUp(message); });
  soup_server_message_pause(message);
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  const GBytesPtr bytes(soup_message_body_flatten(body));
  const std::string text = TextOf(bytes.get());
  handler->OnHttpRequest(exchange->handle, HeadOf(message, path), text);
}

// Shuts the socket down and unpauses the message, so that libsoup notices the
// broken connection and ends the message. For the handler, the exchange ends at
// once.
void HttpServer::Impl::OnHangUp(SoupServerMessage* message) {
  HttpExchange* exchange = Find(message);
  if (exchange == nullptr || exchange->complete) {
    return;
  }
  const std::uint64_t handle = exchange->handle;
  open.erase(handle);
  exchange->complete = true;
  exchange->connection()->ShutDown();
  soup_server_message_set_status(message, Info(Refusal::kCancelled).http_status,
                                 nullptr);
  soup_message_body_complete(soup_server_message_get_response_body(message));
  soup_server_message_unpause(message);
  handler->OnHttpDisconnected(handle);
}

void HttpServer::Impl::OnEnded(SoupServerMessage* message) {
  const auto it = exchanges.find(message);
  if (it == exchanges.end()) {
    return;
  }
  const auto exchange = std::move(it->second);
  exchanges.erase(it);
  memory.Remove(exchange.get());
  g_signal_handlers_disconnect_by_data(message, this);
  exchange->connection()->in_use = false;
  exchange->connection()->waiting_since = Loop::Now();
  exchange->connection()->ShutDownAfter(limits.idle);
  exchange->connection()->WatchIdle();
  const bool was_open = open.erase(exchange->handle) > 0;
  if (was_open && !exchange->complete) {
    handler->OnHttpDisconnected(exchange->handle);
  }
}

HttpServer::HttpServer(HttpHandler* handler, const HttpLimits& limits)
    : impl_(std::make_unique<Impl>(handler, limits)) {
  SoupServer* server = impl_->server.get();
  const auto connect = [this, server](const char* signal, GCallback callback) {
    g_signal_connect(server, signal, callback, impl_.get());
  };
  connect("request-started",
          G_CALLBACK(+[](SoupServer*, SoupServerMessage* it, gpointer data) {
            static_cast<Impl*>(data)->OnStarted(it);
          }));
  const auto ended = +[](SoupServer*, SoupServerMessage* it, gpointer data) {
    static_cast<Impl*>(data)->OnEnded(it);
  };
  connect("request-finished", G_CALLBACK(ended));
  connect("request-aborted", G_CALLBACK(ended));
  soup_server_add_early_handler(
      server, nullptr,
      [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
         gpointer data) { static_cast<Impl*>(data)->OnHead(message); },
      impl_.get(), nullptr);
  soup_server_add_handler(
      server, nullptr,
      [](SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
         gpointer data) { static_cast<Impl*>(data)->OnRequest(message, path); },
      impl_.get(), nullptr);
}

HttpServer::~HttpServer() {
  g_signal_handlers_disconnect_by_data(impl_->server.get(), impl_.get());
  for (auto& [message, unused] : impl_->exchanges) {
    g_signal_handlers_disconnect_by_data(message, impl_.get());
  }
  impl_->exchanges.clear();
  soup_server_disconnect(impl_->server.get());
}

absl::Status HttpServer::Listen(const Address& address) {
  const GPtr<GSocketAddress> target(
      g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
  if (!target) {
    return absl::InvalidArgumentError(
        "http: listen address is not an IP address");
  }
  GError* error = nullptr;
  const GPtr<GSocket> socket(
      g_socket_new(g_socket_address_get_family(target.get()),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
  if (socket) {
    detail::SetListenOptions(socket.get());
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
  HttpExchange* it = impl_->Find(handle);
  if (it == nullptr || it->complete) {
    return;
  }
  it->complete = true;
  FillResponse(it->message(), reply);
  impl_->SetHeld(it, reply.body.size());
  ClientMemory::OnProgress(it, Loop::Now());
  if (impl_->closing) {
    SetConnectionClose(it->message());
  }
  it->connection()->ShutDownAfter(impl_->limits.answer);
  soup_server_message_unpause(it->message());
}

void HttpServer::SetHeader(std::uint64_t handle,
                           const std::string& name,
                           const std::string& value) {
  if (HttpExchange* it = impl_->Find(handle)) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(it->message()), name.c_str(),
        value.c_str());
  }
}

void HttpServer::StreamPart(std::uint64_t handle, const std::string& bytes) {
  HttpExchange* it = impl_->Find(handle);
  if (it == nullptr || it->complete) {
    return;
  }
  SoupServerMessage* message = it->message();
  SoupMessageBody* body = soup_server_message_get_response_body(message);
  if (!it->streaming) {
    it->streaming = true;
    impl_->SetHeld(it, 0);
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    SoupMessageHeaders* headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_message_headers_replace(headers, "Cache-Control", "no-store");
    if (impl_->closing) {
      SetConnectionClose(message);
    }
    soup_message_body_set_accumulate(body, FALSE);
  }
  soup_message_body_append(body, SOUP_MEMORY_COPY, bytes.data(), bytes.size());
  impl_->SetHeld(it, it->held + bytes.size());
  soup_server_message_unpause(message);
}

void HttpServer::StreamEnd(std::uint64_t handle, const std::string& bytes) {
  StreamPart(handle, bytes);
  HttpExchange* it = impl_->Find(handle);
  if (it == nullptr || it->complete) {
    return;
  }
  it->complete = true;
  soup_message_body_complete(
      soup_server_message_get_response_body(it->message()));
  it->connection()->ShutDownAfter(impl_->limits.answer);
  soup_server_message_unpause(it->message());
}

void HttpServer::Drop(std::uint64_t handle) {
  HttpExchange* it = impl_->Find(handle);
  if (it == nullptr) {
    return;
  }
  const GPtr<SoupServerMessage> message = Share(it->message());
  g_signal_handlers_disconnect_by_data(message.get(), impl_.get());
  impl_->open.erase(handle);
  it->connection()->in_use = false;
  impl_->memory.Remove(it);
  impl_->exchanges.erase(message.get());
  const GPtr<GIOStream> stream(
      soup_server_message_steal_connection(message.get()));
  if (stream) {
    g_io_stream_close(stream.get(), nullptr, nullptr);
  }
}

void HttpServer::CloseConnections() {
  impl_->closing = true;
}

std::size_t HttpServer::UnfinishedRequests() const {
  return impl_->open.size();
}

std::size_t HttpServer::connections() const {
  impl_->RemoveClosed();
  return impl_->connections.size();
}

}  // namespace acaciachute
