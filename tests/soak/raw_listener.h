// HTTP server of stand-in replicas that writes any bytes and ends its
// connections in any way, as a faulty replica does.
//
// `HttpListener` writes complete answers only, and resets connections that it
// gives up.
#ifndef ACACIACHUTE_TESTS_SOAK_RAW_LISTENER_H_
#define ACACIACHUTE_TESTS_SOAK_RAW_LISTENER_H_

#include <gio/gio.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "transport/glib_ptr.h"
#include "transport/http_listener.h"
#include "transport/loop.h"

namespace acaciachute {

class RawListener {
 public:
  // Listens on `address`. Requests and disconnects are reported to `handler`.
  RawListener(ListenerHandler* handler, Loop* loop, const Address& address);
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  // Closes the listening socket and all connections, as the end of the process
  // does: new connections are refused until `Listen`.
  void Stop();
  void Listen();
  bool listening() const { return socket_ != nullptr; }

  // Sends one in `period` answers once more, late: when the next request
  // arrives on its connection, before the answer to that. Zero: none.
  void SetLateCopies(int period) { late_copy_period_ = period; }

  // Answers `bytes` as soon as a request begins to arrive, reads no more of it,
  // and resets its connection after `until_reset`. Empty: waits for requests.
  void AnswerEarly(std::string bytes, DurationUs until_reset) {
    early_answer_ = std::move(bytes);
    until_reset_ = until_reset;
  }

  // Unknown ids are ignored here and below.
  void Write(ExchangeId id, std::string_view bytes);
  // Writes `bytes` again and again, as fast as they are read, until the other
  // side closes the connection.
  void WriteWithoutEnd(ExchangeId id, std::string bytes);
  // Bytes written so on all connections.
  std::uint64_t endless_bytes() const { return endless_bytes_; }
  // Connections on which they go on.
  std::size_t endless() const;
  // Ends the exchange; the connection accepts another request.
  void Keep(ExchangeId id);
  // Ends the exchange and closes its connection in order.
  void Close(ExchangeId id);
  // Ends the exchange and resets its connection.
  void Reset(ExchangeId id);
  // Closes connections without a request in order.
  void CloseIdle();

 private:
  class Connection;

  static gboolean OnAccept(GSocket*, GIOCondition, gpointer data);
  Connection* Find(ExchangeId id) const;
  void Remove(Connection* connection);

  ListenerHandler* const handler_;
  Loop* const loop_;
  const Address address_;
  GPtr<GSocket> socket_;  // Null while it does not listen.
  GSource* source_ = nullptr;
  std::string early_answer_;
  DurationUs until_reset_ = 0;
  int late_copy_period_ = 0;
  int kept_answers_ = 0;
  std::uint64_t endless_bytes_ = 0;
  ExchangeId next_id_ = 1;
  std::map<ExchangeId, Connection*> exchanges_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_RAW_LISTENER_H_
