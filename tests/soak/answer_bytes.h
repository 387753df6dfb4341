// The bytes of an answer as stand-in replicas write it, in a framing that the
// test chooses.
#ifndef ACACIACHUTE_TESTS_SOAK_ANSWER_BYTES_H_
#define ACACIACHUTE_TESTS_SOAK_ANSWER_BYTES_H_

#include <numeric>
#include <string>
#include <vector>

#include "protocol/http1.h"
#include "text.h"

namespace acaciachute {

// Head of an answer whose end is to be known by `framing`: `kLength`,
// `kLastChunk` or `kClosed`.
inline std::string HeadBytes(AnswerEnd framing,
                             int status,
                             HttpFields fields,
                             std::size_t body_size) {
  if (framing == AnswerEnd::kLength) {
    fields.push_back({"Content-Length", StrCat(body_size)});
  } else if (framing == AnswerEnd::kLastChunk) {
    fields.push_back({"Transfer-Encoding", "chunked"});
  } else {
    fields.push_back({"Connection", "close"});
  }
  return WriteAnswerHead(status, ReasonOf(status), fields);
}

inline std::string BodyBytes(AnswerEnd framing, std::string_view bytes) {
  return framing == AnswerEnd::kLastChunk && !bytes.empty()
             ? WriteChunk(bytes)
             : std::string(bytes);
}

inline std::string EndBytes(AnswerEnd framing) {
  return framing == AnswerEnd::kLastChunk ? std::string(kLastChunk)
                                          : std::string();
}

// A whole answer whose body is sent in these parts.
inline std::string AnswerBytes(AnswerEnd framing,
                               int status,
                               const HttpFields& fields,
                               const std::vector<std::string>& parts) {
  const std::size_t size = std::accumulate(
      parts.begin(), parts.end(), std::size_t{0},
      [](std::size_t n, const std::string& it) { return n + it.size(); });
  std::string out = HeadBytes(framing, status, fields, size);
  for (const auto& it : parts) {
    out += BodyBytes(framing, it);
  }
  return out + EndBytes(framing);
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_ANSWER_BYTES_H_
