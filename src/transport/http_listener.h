// HTTP/1.1 server for clients: persistent connections, complete requests in,
// complete or streamed answers out, and a notification when a client
// disconnects.
//
// Clients that stall in the middle of a head or a body, do not read their
// answers or open ever more connections would exhaust memory or file
// descriptors, and then no client could be served. Time and connections are
// bounded by the limits below, bytes by `ClientMemory`, which every connection
// tells what it holds. When places or memory run short, a connection gives way
// that makes least of what it holds, not the one that just came.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_LISTENER_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_LISTENER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "coordination/admission/client_memory.h"
#include "protocol/http1.h"
#include "state/shared_bytes.h"
#include "types.h"

namespace acaciachute {

class Loop;

struct ListenerLimits {
  HttpReadLimits read;
  // Time in which a request must arrive, from its first byte to its last.
  DurationUs request_time = 3 * kSecond;
  // Time for which a connection may be idle between requests.
  DurationUs idle = 15 * kSecond;
  std::size_t connections = 2000;
  // Limit of the listener's own `ClientMemory`, if it shares none.
  std::size_t buffered_bytes = 48 << 20;
};

struct ListenerEvent {
  const char* what;  // Kind of event, such as "refused".
  int status = 0;
  std::string reason;
  std::string id;  // Value of the echo field, if the head had come.
};

// The listener's own answer to a request that it does not pass on.
struct ListenerRefusal {
  HttpFields fields;
  std::string body;
};

class ListenerHandler {
 public:
  virtual ~ListenerHandler() = default;
  virtual void OnRequest(ExchangeId id,
                         HttpRequestHead head,
                         std::string body) = 0;
  // The client closed its connection before its answer was complete.
  virtual void OnClientDisconnected(ExchangeId id) = 0;
  // Everything written for `id` has been passed to the kernel.
  virtual void OnWritten(ExchangeId id) = 0;
  // The listener refused a request or a connection without passing it on.
  virtual void OnListenerEvent(const ListenerEvent& event) = 0;
  // Writes what such a request is answered.
  virtual ListenerRefusal WriteRefusal(int status, const std::string& reason) {
    return {{{"Content-Type", "text/plain"}}, reason};
  }
  // Memory is short: frees what the request in progress holds here, or ends it.
  virtual GaveWay OnMemoryShort(ExchangeId id) { return GaveWay::kNothing; }
};

class HttpListener {
 public:
  // `memory`: shared with the process's other listeners, outlives this one.
  // Without it the listener has its own.
  HttpListener(ListenerHandler* handler,
               Loop* loop,
               ClientMemory* memory = nullptr);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  absl::Status Listen(const Address& address);
  void SetLimits(const ListenerLimits& limits);
  // A field that each answer repeats from its request, so that clients can tell
  // which call an answer belongs to. Answers that have it keep theirs.
  void SetEchoField(std::string name);

  // Sends an answer that is at hand. `end`: how it ended at its source. If
  // nothing stated its end there, no length is stated here either, and the
  // connection is closed after it.
  //
  // Here and below, unknown ids are ignored, because the client may have
  // disconnected, and the functions that return the end that the client
  // receives return `kBroken`.
  AnswerEnd Reply(ExchangeId id,
                  int status,
                  HttpFields fields,
                  const SharedBytes& body,
                  AnswerEnd end = AnswerEnd::kLength);
  // `expected_end`: how the stream ends at its source if it is complete there.
  // Returns the end that the client receives then. Only a stream whose source
  // states its end is sent in chunks, as the last chunk states the end.
  AnswerEnd BeginStream(ExchangeId id,
                        int status,
                        HttpFields fields,
                        AnswerEnd expected_end = AnswerEnd::kLastChunk);
  void StreamData(ExchangeId id, std::string_view bytes);
  // `end`: how the stream ended at its source. Resets the connection if that
  // does not show what the end of the client's answer would state.
  AnswerEnd EndStream(ExchangeId id, AnswerEnd end);
  // Resets the connection, so that the client cannot mistake what was sent for
  // a complete answer.
  void Break(ExchangeId id);
  // Bytes of the answer to `id` that are collected elsewhere before it is sent.
  void SetCollected(ExchangeId id, std::size_t bytes);
  // Bytes written for `id` that are not yet passed to the kernel.
  std::size_t Unsent(ExchangeId id) const;

  // From now on each answer carries "Connection: close".
  void BeginDrain();
  // Closes connections on which no byte of a request has arrived and whose
  // answers are with the kernel.
  void CloseIdle();
  // Connections whose answers are not all passed to the kernel yet.
  std::size_t writing() const;
  std::size_t connections() const;
  std::size_t exchanges() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_LISTENER_H_
