// HTTP towards callers and operators, by libsoup.
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
  explicit HttpServer(HttpHandler* handler);
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
  // Answers that are not yet written to their end.
  std::size_t Open() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_SERVER_H_
