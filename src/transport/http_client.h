// HTTP client for calls to the platform and the upstream, based on libsoup.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_CLIENT_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "state/answer_end.h"
#include "types.h"

namespace acaciachute {

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Whether the request may be sent twice. The server may close an idle
  // connection just as a request is sent on it; libsoup then resends a
  // repeatable request on another connection. A request that is not repeatable
  // gets a connection of its own, which is closed after the answer.
  bool repeatable = false;
  // Whether the answer names its call, and whoever reads it checks that. Other
  // calls get connections of their own: on a kept one, a second, late answer
  // would be taken for the next.
  bool named = false;
};

struct HttpResult {
  int status = 0;     // HTTP status; zero without an answer.
  bool sent = false;  // Whether the request may have reached the server.
  // An answer in chunks ends with `kClosed`, as libsoup does not tell whether
  // its last chunk came.
  AnswerEnd end = AnswerEnd::kBroken;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;  // Empty if the body was passed to the `PartFn`.
  std::string error;

  // Whether an answer arrived. One that ended with `kClosed` may lack its rest,
  // so its reader has to find the end in what it says.
  bool ended() const { return end != AnswerEnd::kBroken; }
};

class HttpClient {
 public:
  // Limit on a body that is collected; a longer one fails. It is as long as the
  // longest answer of a pipeline.
  static constexpr std::size_t kMaxBodyBytes = 8 << 20;
  // The same for the parts in which it arrives, which chunks can make tiny.
  static constexpr std::size_t kMaxBodyParts = 16 << 10;

  using CallId = std::uint64_t;
  using DoneFn = std::function<void(const HttpResult&)>;
  using PartFn = std::function<void(std::string part)>;

  // `timeout` ends a call on whose connection no byte arrives for that long;
  // zero for no limit.
  explicit HttpClient(DurationUs timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. `done` runs once, from the loop, unless the call is
  // cancelled. If `part` is given, the body of a 200 answer is passed to it
  // piecewise as it arrives.
  CallId Call(const HttpRequest& request, DoneFn done, PartFn part = nullptr);
  // Closes the call's connection; `done` does not run.
  void Cancel(CallId id);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_CLIENT_H_
