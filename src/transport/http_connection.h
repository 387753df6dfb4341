// One caller's HTTP connection with its time limit, and the request in progress
// on it with the watch for a hang-up.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_CONNECTION_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_CONNECTION_H_

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <cstdint>
#include <functional>

#include "transport/glib_ptr.h"
#include "types.h"

namespace acaciachute::detail {

class HttpConnection {
 public:
  explicit HttpConnection(GSocket* socket) : socket_(Share(socket)) {}
  ~HttpConnection() {
    StopTimer();
    StopWatch();
  }
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Cuts the connection after `limit`, unless set anew or stopped before.
  void CutAfter(DurationUs limit);
  void StopTimer();
  // libsoup then ends the request as one whose connection broke.
  void Cut();
  // Between requests: closes the socket when the other side does. libsoup 3.2
  // keeps such a connection open for ever, and so its file descriptor.
  void WatchIdle();
  void StopWatch();
  bool closed() const { return g_socket_is_closed(socket_.get()) != FALSE; }

 private:
  static gboolean OnTimer(gpointer data);
  static gboolean OnIdle(GSocket*, GIOCondition, gpointer data);

  const GPtr<GSocket> socket_;
  guint timer_ = 0;
  GSource* watch_ = nullptr;
};

// A request from the end of its head to the end of its answer.
class HttpExchange {
 public:
  HttpExchange(SoupServerMessage* message, HttpConnection* connection);
  ~HttpExchange() { StopWatch(); }
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Runs `task` once when the other side hangs up. libsoup reads nothing from
  // a paused message, so it does not notice.
  void OnHangUp(std::function<void()> task);

  SoupServerMessage* message() const { return message_.get(); }
  HttpConnection* connection() const { return connection_; }

  std::uint64_t handle = 0;  // Zero until the request is whole.
  std::size_t received = 0;  // Of the body.
  bool refused = false;      // Before the body was taken.
  bool streaming = false;
  bool complete = false;  // The whole answer was given to libsoup.

 private:
  void Watch(GIOCondition condition);
  void StopWatch();
  static gboolean OnPeek(GSocket*, GIOCondition, gpointer data);

  const GPtr<SoupServerMessage> message_;
  HttpConnection* const connection_;
  GSource* watch_ = nullptr;
  std::function<void()> task_;
};

}  // namespace acaciachute::detail

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_CONNECTION_H_
