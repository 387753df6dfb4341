// HTTP/1.1 messages read from buffers, without I/O.
//
// Failure: two programs read one byte stream differently, so that part of one
// caller's body counts as the next caller's request. Symptom: an upstream runs
// a request that nobody sent. Heads that could be read in two ways are refused,
// and the request line is kept byte for byte, because a decoded or normalized
// path is another path. Boost.Beast parses; what it takes and this project does
// not is checked here.
#ifndef ACACIACHUTE_SRC_PROTOCOL_HTTP1_H_
#define ACACIACHUTE_SRC_PROTOCOL_HTTP1_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "state/http_fields.h"

namespace acaciachute {

struct HttpRequestHead {
  std::string method;
  std::string target;  // As it was sent.
  HttpFields fields;
  bool keep_alive = true;
  bool chunked_answer = true;  // False for HTTP/1.0, which has no chunks.
  bool expects_continue = false;
};

struct HttpAnswerHead {
  int status = 0;
  std::string reason;
  HttpFields fields;
  bool keep_alive = true;
};

struct HttpReadLimits {
  std::size_t head_bytes = 16 << 10;
  std::size_t body_bytes = 4 << 20;
};

// Reads one request after the other.
class HttpRequestReader {
 public:
  enum class State { kHead, kBody, kDone, kBad };

  explicit HttpRequestReader(const HttpReadLimits& limits);
  ~HttpRequestReader();
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;

  // Takes bytes off the front of `buf` until the request is whole or more are
  // needed; what follows a whole request stays.
  State Read(std::string* buf);
  State state() const;
  // 400, 413 or 431 when bad.
  int error_status() const;
  const char* error() const;
  // Valid from `kBody` on.
  const HttpRequestHead& head() const;
  HttpRequestHead TakeHead();
  std::string TakeBody();
  // For the next request on the connection.
  void Reset(const HttpReadLimits& limits);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Reads one answer, its body part by part.
class HttpAnswerReader {
 public:
  enum class State { kHead, kBody, kDone, kBad };

  // An answer to HEAD has no body whatever its fields say.
  explicit HttpAnswerReader(bool to_head_request);
  ~HttpAnswerReader();
  HttpAnswerReader(const HttpAnswerReader&) = delete;
  HttpAnswerReader& operator=(const HttpAnswerReader&) = delete;

  State Read(std::string* buf);
  // The connection ended in order, which completes a body without a length.
  State ReadEnd();
  State state() const;
  const char* error() const;
  const HttpAnswerHead& head() const;
  std::string TakeBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A request or answer head, with its empty line.
std::string WriteRequestHead(std::string_view method,
                             std::string_view target,
                             const HttpFields& fields);
std::string WriteAnswerHead(int status,
                            std::string_view reason,
                            const HttpFields& fields);
std::string WriteChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
// The usual phrase for a status.
std::string_view ReasonOf(int status);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_HTTP1_H_
