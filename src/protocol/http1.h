// Parses and writes HTTP/1.1 messages, without I/O.
//
// If two programs parse one byte stream differently, part of one client's body
// becomes the next client's request (request smuggling), and an upstream runs a
// request that no client sent. Heads that can be parsed in two ways are
// therefore refused, and the request target is kept byte for byte, because a
// decoded or normalized path is another path. Boost.Beast does the parsing; the
// checks here refuse what Beast accepts although it is ambiguous.
#ifndef ACACIACHUTE_SRC_PROTOCOL_HTTP1_H_
#define ACACIACHUTE_SRC_PROTOCOL_HTTP1_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "state/answer_end.h"
#include "state/http_fields.h"

namespace acaciachute {

struct HttpRequestHead {
  std::string method;
  std::string target;  // As sent, byte for byte.
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
  // How the answer ends if it is complete.
  AnswerEnd expected_end = AnswerEnd::kLength;
};

struct HttpReadLimits {
  std::size_t head_bytes = 16 << 10;
  std::size_t body_bytes = 4 << 20;
};

// Parses the consecutive requests of one connection. A chunk's head and a
// trailer may be as long as a head: the parser keeps them until they are
// complete, and a client may never end one.
class HttpRequestReader {
 public:
  enum class State { kHead, kBody, kDone, kBad };

  explicit HttpRequestReader(const HttpReadLimits& limits);
  ~HttpRequestReader();
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;

  // Consumes bytes from the front of `buf` until the request is complete or
  // more bytes are needed. Bytes after a complete request stay in `buf`.
  State Read(std::string* buf);
  State state() const;
  // HTTP status of the refusal in state `kBad`: 400, 413 or 431.
  int error_status() const;
  const char* error() const;
  // Valid in states `kBody` and `kDone`.
  const HttpRequestHead& head() const;
  HttpRequestHead TakeHead();
  std::string TakeBody();
  // Bytes of the body that are held.
  std::size_t body_bytes() const;
  // Prepares for the next request on the connection.
  void Reset(const HttpReadLimits& limits);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Parses one answer, whose body can be taken in parts. Bounds all bytes that
// are no body, so that neither a head, nor interim answers, nor the framing of
// a body go on without end.
class HttpAnswerReader {
 public:
  enum class State { kHead, kBody, kDone, kBad };

  // Limit on the head with all interim answers before it. Upstreams may send
  // larger heads than clients.
  static constexpr std::size_t kMaxHeadBytes = 64 << 10;
  // Limit on one chunk's head and on the trailer.
  static constexpr std::size_t kMaxUnparsedBytes = 16 << 10;
  // Limit on the bytes of framing: this many, and so many times the body. A
  // body that is sent byte by byte in chunks has five times its bytes.
  static constexpr std::size_t kMaxFramingBytes = 64 << 10;
  static constexpr std::size_t kMaxFramingPerBodyByte = 8;

  // `to_head_request`: the answer is to a HEAD request and has no body,
  // whatever its fields say.
  explicit HttpAnswerReader(bool to_head_request);
  ~HttpAnswerReader();
  HttpAnswerReader(const HttpAnswerReader&) = delete;
  HttpAnswerReader& operator=(const HttpAnswerReader&) = delete;

  State Read(std::string* buf);
  // Called when the server closed the connection in order, which ends a body
  // without a stated length.
  State ReadEnd();
  State state() const;
  const char* error() const;
  const HttpAnswerHead& head() const;
  // `kBroken` unless the state is `kDone`.
  AnswerEnd end() const;
  std::string TakeBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Write a complete head, including the empty line at its end.
std::string WriteRequestHead(std::string_view method,
                             std::string_view target,
                             const HttpFields& fields);
std::string WriteAnswerHead(int status,
                            std::string_view reason,
                            const HttpFields& fields);
std::string WriteChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
// Returns the standard reason phrase for a status.
std::string_view ReasonOf(int status);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_HTTP1_H_
