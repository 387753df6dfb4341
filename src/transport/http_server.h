// HTTP towards callers and operators, by libsoup.
//
// Failure: a caller sends without end, slowly, or not at all, or opens
// connections without end. Symptom: the process runs out of memory or file
// descriptors and refuses everybody. Bodies, connections and the time to send
// a request are bounded. A caller that hangs up is noticed while its request
// is in progress, although libsoup reads nothing from a paused message.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_SERVER_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "protocol/caller_http.h"
#include "protocol/node_settings.h"

namespace acaciachute {

struct HttpLimits {
  // Above the table's largest transaction, for the stand-ins' sake.
  std::size_t max_body = 16 << 20;
  // Also kept below the process's limit on open files.
  std::size_t max_connections = 4096;
  // Between requests; a balancer keeps an idle connection for a minute.
  DurationUs idle = 75 * kSecond;
  // From the connection's start, or the first byte of a later request on it, to
  // the end of the head, then to the end of the body. A caller's own deadline
  // is 5 s; one that needs longer to send is too late.
  DurationUs head = 10 * kSecond;
  DurationUs body = 10 * kSecond;
  // For the caller to read an answer that is whole.
  DurationUs answer = 30 * kSecond;
};

class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  // Every request gets one `Reply`, or `StreamPart`s and a `StreamEnd`.
  virtual void OnHttpRequest(std::uint64_t handle,
                             const HttpHead& head,
                             std::string_view body) = 0;
  // The other side hung up before its answer was complete.
  virtual void OnHttpGone(std::uint64_t handle) = 0;
};

class HttpServer {
 public:
  explicit HttpServer(HttpHandler* handler, const HttpLimits& limits = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  absl::Status Listen(const Address& address);
  std::uint16_t port() const;

  // Unknown handles are ignored: the other side is gone.
  void Reply(std::uint64_t handle, const HttpReply& reply);
  // A header of a streamed answer; before its first part.
  void SetHeader(std::uint64_t handle,
                 const std::string& name,
                 const std::string& value);
  void StreamPart(std::uint64_t handle, const std::string& bytes);
  void StreamEnd(std::uint64_t handle, const std::string& bytes);
  // Closes the connection without an answer, as a process that dies would.
  void Drop(std::uint64_t handle);
  // From now on each answer asks the other side to close its connection.
  void CloseConnections();
  // Requests whose answers are not yet written to their end.
  std::size_t Open() const;
  std::size_t connections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_SERVER_H_
