// How the end of an HTTP answer was known, and by what, if anything, it was
// shown to be complete (RFC 9112, section 6.3).
//
// An answer that was broken off must not reach its caller as a complete one.
// This value travels with an answer from the reader of the replica's connection
// to the writer of the client's, so that nothing on the way states more than
// the replica did.
#ifndef ACACIACHUTE_SRC_STATE_ANSWER_END_H_
#define ACACIACHUTE_SRC_STATE_ANSWER_END_H_

#include <array>
#include <string_view>

#include "types.h"

namespace acaciachute {

enum class AnswerEnd {
  kNoBody,     // Such an answer has no body, by its status or its request.
  kLength,     // All bytes of the stated length arrived.
  kLastChunk,  // The last chunk arrived.
  // The connection was closed in order, and the answer states neither a length
  // nor chunks. A process that crashes closes its connections in the same way.
  kClosed,
  kBroken,  // The connection failed, or ended before the stated end.
};
inline constexpr std::array<std::string_view, 5> kAnswerEndNames = {
    "no_body", "length", "last_chunk", "closed", "broken"};
constexpr std::string_view Name(AnswerEnd v) {
  return detail::NameIn(kAnswerEndNames, v);
}

// Whether the end shows that the answer is complete.
constexpr bool StatesComplete(AnswerEnd v) {
  return v == AnswerEnd::kNoBody || v == AnswerEnd::kLength ||
         v == AnswerEnd::kLastChunk;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_ANSWER_END_H_
