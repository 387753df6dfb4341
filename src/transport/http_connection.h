// A client's HTTP connection with its time limit, and the request in progress
// on it, which is watched for a disconnect of the client.
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

  // Shuts the connection down after `limit`, unless the timer is set again or
  // stopped before.
  void ShutDownAfter(DurationUs limit);
  void StopTimer();
  // Shuts the socket down; libsoup then aborts the request in progress.
  void ShutDown();
  // Between requests: closes the socket when the client does. libsoup 3.2 keeps
  // a connection that the client closed open for ever, and with it the file
  // descriptor.
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

// One request and its answer, from the end of the request's head to the end of
// the answer.
class HttpExchange {
 public:
  HttpExchange(SoupServerMessage* message, HttpConnection* connection);
  ~HttpExchange() { StopWatch(); }
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Runs `task` once when the client disconnects. libsoup does not notice this
  // by itself, as it does not read from the socket of a paused message.
  void OnHangUp(std::function<void()> task);

  SoupServerMessage* message() const { return message_.get(); }
  HttpConnection* connection() const { return connection_; }

  std::uint64_t handle = 0;  // Zero until the request is complete.
  std::size_t received = 0;  // Bytes of the body received.
  bool refused = false;      // Refused for the size of its body.
  bool streaming = false;
  bool complete = false;  // The complete answer was passed to libsoup.

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
