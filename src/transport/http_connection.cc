#include "transport/http_connection.h"

#include <utility>

namespace acaciachute::detail {
namespace {

// Returns 1 if a byte is ready to be read, zero if the client closed the
// connection, -1 if the connection broke.
gssize Peek(GSocket* socket) {
  char byte = 0;
  GInputVector vector = {&byte, 1};
  int flags = G_SOCKET_MSG_PEEK;
  return g_socket_receive_message(socket, nullptr, &vector, 1, nullptr, nullptr,
                                  &flags, nullptr, nullptr);
}

// Calls `function` when `condition` holds. GLib also reports HUP and ERR on
// every watch.
GSource* WatchSocket(GSocket* socket,
                     GIOCondition condition,
                     GSocketSourceFunc function,
                     gpointer data) {
  GSource* source = g_socket_create_source(socket, condition, nullptr);
  g_source_set_callback(source, G_SOURCE_FUNC(function), data, nullptr);
  g_source_attach(source, nullptr);
  return source;
}

void Unwatch(GSource** source) {
  if (*source != nullptr) {
    g_source_destroy(*source);
    g_source_unref(std::exchange(*source, nullptr));
  }
}

}  // namespace

void HttpConnection::ShutDownAfter(DurationUs limit) {
  StopTimer();
  timer_ =
      g_timeout_add(static_cast<guint>(limit / kMillisecond), OnTimer, this);
}

void HttpConnection::StopTimer() {
  if (timer_ != 0) {
    g_source_remove(std::exchange(timer_, 0));
  }
}

gboolean HttpConnection::OnTimer(gpointer data) {
  auto* it = static_cast<HttpConnection*>(data);
  it->timer_ = 0;
  it->ShutDown();
  return G_SOURCE_REMOVE;
}

void HttpConnection::ShutDown() {
  shut_down_ = true;
  g_socket_shutdown(socket_.get(), TRUE, TRUE, nullptr);
}

void HttpConnection::WatchIdle() {
  StopWatch();
  watch_ = WatchSocket(socket_.get(), G_IO_IN, OnIdle, this);
}

void HttpConnection::StopWatch() {
  Unwatch(&watch_);
}

gboolean HttpConnection::OnIdle(GSocket* socket,
                                GIOCondition condition,
                                gpointer data) {
  auto* it = static_cast<HttpConnection*>(data);
  it->StopWatch();
  if (Peek(socket) <= 0) {
    it->StopTimer();
    g_socket_close(socket, nullptr);
  }
  return G_SOURCE_REMOVE;
}

HttpExchange::HttpExchange(SoupServerMessage* message,
                           HttpConnection* connection)
    : message_(Share(message)), connection_(connection) {}

void HttpExchange::OnHangUp(std::function<void()> task) {
  task_ = std::move(task);
  Watch(G_IO_IN);
}

void HttpExchange::Watch(GIOCondition condition) {
  StopWatch();
  if (GSocket* socket = soup_server_message_get_socket(message_.get())) {
    watch_ = WatchSocket(socket, condition, OnPeek, this);
  }
}

void HttpExchange::StopWatch() {
  Unwatch(&watch_);
}

// A pipelined request keeps the socket readable until the current request ends.
// Once one has arrived, only HUP and ERR are watched, or the watch would fire
// without end.
gboolean HttpExchange::OnPeek(GSocket* socket,
                              GIOCondition condition,
                              gpointer data) {
  auto* it = static_cast<HttpExchange*>(data);
  const bool broken = (condition & (G_IO_HUP | G_IO_ERR)) != 0;
  if (!broken && Peek(socket) > 0) {
    it->Watch(static_cast<GIOCondition>(0));
    return G_SOURCE_REMOVE;
  }
  it->StopWatch();
  const auto task = std::move(it->task_);
  task();
  return G_SOURCE_REMOVE;
}

}  // namespace acaciachute::detail
