// A client's HTTP connection with its time limit, and the request in progress
// on it, which is watched for a disconnect of the client.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_CONNECTION_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_CONNECTION_H_

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <cstdint>
#include <functional>

#include "coordination/admission/client_memory.h"
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
  bool is_shut_down() const { return shut_down_; }
  // Between requests: closes the socket when the client does. libsoup 3.2 keeps
  // a connection that the client closed open for ever, and with it the file
  // descriptor.
  void WatchIdle();
  void StopWatch();
  bool closed() const { return g_socket_is_closed(socket_.get()) != FALSE; }

  // When it was accepted, or its last request ended.
  TimeUs waiting_since = 0;
  bool served = false;  // A request was complete.
  bool in_use = false;  // From the end of a request to that of its answer.

 private:
  static gboolean OnTimer(gpointer data);
  static gboolean OnIdle(GSocket*, GIOCondition, gpointer data);

  const GPtr<GSocket> socket_;
  bool shut_down_ = false;
  guint timer_ = 0;
  GSource* watch_ = nullptr;
};

// One request and its answer, from the end of the request's head to the end of
// the answer.
class HttpExchange : public MemoryHolder {
 public:
  HttpExchange(SoupServerMessage* message, HttpConnection* connection);
  ~HttpExchange() override { StopWatch(); }
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Runs `task` once when the client disconnects. libsoup alone does not notice
  // this, as it does not read from the socket of a paused message.
  void OnHangUp(std::function<void()> task);

  SoupServerMessage* message() const { return message_.get(); }
  HttpConnection* connection() const { return connection_; }

  // A body that is received was refused, or an answer that is not read is
  // broken off. A request in progress goes on.
  GaveWay GiveWay() override { return give_way(); }
  std::function<GaveWay()> give_way;

  std::uint64_t handle = 0;  // Zero until the request is complete.
  std::size_t received = 0;  // Bytes of the body received.
  std::size_t held = 0;      // Bytes of the body, then of the answer.
  std::size_t progress = 0;  // Bytes since the last progress.
  // Why the body was refused before it was complete; `kNone`: it was not.
  Refusal refused = Refusal::kNone;
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
