// HTTP/1.1 towards clients: connections that are kept, whole requests in,
// answers or streams out, and the notice that a client hung up.
//
// Failure: clients stall in the middle of a head or a body, do not read their
// answers, or open connections without end. Symptom: memory or descriptors run
// out and everybody is refused. Time, bytes and connections are bounded, each
// by a limit below, and what exceeds one is answered or cut by itself.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_LISTENER_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_LISTENER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "protocol/http1.h"
#include "types.h"

namespace acaciachute {

class Loop;

struct ListenerLimits {
  HttpReadLimits read;
  DurationUs head = 3 * kSecond;   // From the first byte to the end.
  DurationUs idle = 15 * kSecond;  // Between requests.
  std::size_t connections = 2000;
  // Request bodies of all connections. Above it new bodies are refused, so that
  // stalled uploads cannot use up the process's memory.
  std::size_t buffered_bytes = 48 << 20;
};

struct ListenerEvent {
  const char* what;  // Such as "refused" or "cut".
  int status = 0;
  std::string reason;
};

class ListenerHandler {
 public:
  virtual ~ListenerHandler() = default;
  virtual void OnRequest(ExchangeId id,
                         HttpRequestHead head,
                         std::string body) = 0;
  virtual void OnGone(ExchangeId id) = 0;
  // What was written for `id` has left this process.
  virtual void OnWritten(ExchangeId id) = 0;
  // The listener answered or cut something by itself.
  virtual void OnListenerEvent(const ListenerEvent& event) = 0;
};

class HttpListener {
 public:
  HttpListener(ListenerHandler* handler, Loop* loop);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  absl::Status Listen(const Address& address);
  void SetLimits(const ListenerLimits& limits);

  // Unknown ids are ignored: the client is gone.
  void Reply(ExchangeId id,
             int status,
             HttpFields fields,
             std::string_view body);
  void BeginStream(ExchangeId id, int status, HttpFields fields);
  void StreamData(ExchangeId id, std::string_view bytes);
  void EndStream(ExchangeId id);
  // Cuts the connection, so that what was sent cannot pass for a whole answer.
  void Break(ExchangeId id);
  // Bytes that the client has not taken yet.
  std::size_t Unsent(ExchangeId id) const;

  // From now on each answer asks its client to close the connection.
  void BeginDrain();
  // Closes connections on which no byte of a request has arrived.
  void CloseIdle();
  std::size_t connections() const;
  std::size_t exchanges() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_LISTENER_H_
