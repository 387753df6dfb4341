// HTTP server for client and operator requests, based on libsoup.
//
// Clients that send endless or slow requests, send nothing, or open ever more
// connections would exhaust memory or file descriptors, and then nobody could
// be served. Bodies, connections, the time to send a request, and the bytes of
// all clients together are bounded; who holds most for least progress gives
// way. A
// client that disconnects is detected while its request is in progress,
// although libsoup reads nothing from a paused message.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_SERVER_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "coordination/admission/client_memory.h"
#include "protocol/caller_http.h"
#include "protocol/node_settings.h"

namespace acaciachute {

struct HttpLimits {
  // Maximum body size. Above the largest transaction of the platform's table,
  // because the platform stand-ins of the tests use this server too.
  std::size_t max_body = 16 << 20;
  // Maximum number of connections; lowered to fit the process's limit on open
  // files.
  std::size_t max_connections = 3840;
  // Maximum idle time between requests; a load balancer keeps an idle
  // connection for a minute.
  DurationUs idle = 75 * kSecond;
  // Time limit for the head, from the accept of the connection or the first
  // byte of a later request, and for the body, from the end of the head. A
  // client's own deadline is 5 s, so that a slower request is late anyway.
  DurationUs head = 10 * kSecond;
  DurationUs body = 10 * kSecond;
  // Time limit for the client to read a complete answer.
  DurationUs answer = 30 * kSecond;
  // Bytes of all clients' bodies and answers; see `ClientMemory`. Three of the
  // longest bodies.
  std::size_t client_memory = 48 << 20;
};

class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  // The handler answers each request with one `Reply`, or with `StreamPart`s
  // and one `StreamEnd`.
  virtual void OnHttpRequest(std::uint64_t handle,
                             const HttpHead& head,
                             std::string_view body) = 0;
  // The client disconnected before its answer was complete.
  virtual void OnHttpDisconnected(std::uint64_t handle) = 0;
  // Memory was short, and a client gave way.
  virtual void OnHttpRelief(const ClientMemory::Relief& relief) {}
};

class HttpServer {
 public:
  explicit HttpServer(HttpHandler* handler, const HttpLimits& limits = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  absl::Status Listen(const Address& address);
  std::uint16_t port() const;

  // Sends a complete answer. Here and below, unknown handles are ignored,
  // because the client may have disconnected.
  void Reply(std::uint64_t handle, const HttpReply& reply);
  // Sets a header of a streamed answer; must be called before its first part.
  void SetHeader(std::uint64_t handle,
                 const std::string& name,
                 const std::string& value);
  void StreamPart(std::uint64_t handle, const std::string& bytes);
  void StreamEnd(std::uint64_t handle, const std::string& bytes);
  // Closes the connection without an answer, as a crash of the process would.
  void Drop(std::uint64_t handle);
  // From now on each answer carries "Connection: close".
  void CloseConnections();
  // Number of requests whose answers have not been written completely.
  std::size_t UnfinishedRequests() const;
  std::size_t connections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_SERVER_H_
