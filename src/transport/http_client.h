// HTTP towards the platform and the upstream, by libsoup.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_CLIENT_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "types.h"

namespace acaciachute {

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // An idle connection may be closed by the other end just as it is used.
  // libsoup then sends a repeatable request again on another one; one that may
  // not be repeated gets a connection of its own, closed after its answer.
  bool repeatable = false;
};

struct HttpResult {
  int status = 0;      // Zero: no answer.
  bool sent = false;   // Whether the request may have reached the other side.
  bool whole = false;  // Whether the answer arrived to its end.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;  // Empty when it was streamed.
  std::string error;
};

class HttpClient {
 public:
  using CallId = std::uint64_t;
  using DoneFn = std::function<void(const HttpResult&)>;
  using PartFn = std::function<void(std::string part)>;

  // `timeout` ends a silent call; zero for none.
  explicit HttpClient(DurationUs timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `done` runs once, from the loop, unless the call is cancelled. With `part`
  // given, the body of a 200 answer goes there as it arrives.
  CallId Call(const HttpRequest& request, DoneFn done, PartFn part = nullptr);
  // Closes the call's connection; `done` does not run.
  void Cancel(CallId id);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_CLIENT_H_
