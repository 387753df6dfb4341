// Writes one answer of a stand-in replica in a given framing, and breaks it off
// at a given byte.
#ifndef ACACIACHUTE_TESTS_SOAK_ANSWER_WRITER_H_
#define ACACIACHUTE_TESTS_SOAK_ANSWER_WRITER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "tests/soak/raw_listener.h"

namespace acaciachute {

struct AnswerPlan {
  AnswerEnd framing = AnswerEnd::kLength;
  // Bytes after which the answer is broken off; not set: it is whole.
  std::optional<std::size_t> cut;
  bool resets = false;  // Its connection, instead of closing it in order.
};

class AnswerWriter {
 public:
  AnswerWriter(RawListener* listener, ExchangeId id, const AnswerPlan& plan)
      : listener_(listener), id_(id), plan_(plan) {}

  // The answer has `body_size` bytes if it is whole.
  void Begin(int status, const HttpFields& fields, std::size_t body_size);
  void Body(std::string_view bytes);
  void End();
  // Breaks the answer off now, as the end of a process does.
  void BreakOff(bool resets);

  // Whether the answer has ended, whole or not.
  bool over() const { return over_; }
  // Whether it was broken off and nothing that was sent shows that: without a
  // length or chunks, in order, after the head or, in a stream, between two
  // events.
  bool LooksComplete(bool stream) const;

 private:
  void Send(std::string_view bytes);

  RawListener* listener_;
  ExchangeId id_;
  AnswerPlan plan_;
  std::size_t sent_ = 0;
  std::size_t head_size_ = 0;
  std::string sent_text_;
  bool over_ = false;
  bool broken_off_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_ANSWER_WRITER_H_
