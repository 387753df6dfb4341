#include "tests/soak/answer_writer.h"

#include <algorithm>

#include "tests/soak/answer_bytes.h"

namespace acaciachute {

void AnswerWriter::Begin(int status,
                         const HttpFields& fields,
                         std::size_t body_size) {
  const std::string head = HeadBytes(plan_.framing, status, fields, body_size);
  head_size_ = head.size();
  Send(head);
}

void AnswerWriter::Body(std::string_view bytes) {
  Send(BodyBytes(plan_.framing, bytes));
}

void AnswerWriter::End() {
  Send(EndBytes(plan_.framing));
  if (over_) {
    return;
  }
  over_ = true;
  if (plan_.framing == AnswerEnd::kClosed) {
    listener_->Close(id_);
  } else {
    listener_->Keep(id_);
  }
}

void AnswerWriter::BreakOff(bool resets) {
  if (over_) {
    return;
  }
  over_ = true;
  broken_off_ = true;
  plan_.resets = resets;
  if (resets) {
    listener_->Reset(id_);
  } else {
    listener_->Close(id_);
  }
}

void AnswerWriter::Send(std::string_view bytes) {
  if (over_) {
    return;
  }
  const std::size_t left = plan_.cut.value_or(SIZE_MAX) - sent_;
  const std::string_view some = bytes.substr(0, std::min(left, bytes.size()));
  sent_ += some.size();
  sent_text_ += some;
  listener_->Write(id_, some);
  if (some.size() < bytes.size()) {
    BreakOff(plan_.resets);
  }
}

bool AnswerWriter::LooksComplete(bool stream) const {
  return broken_off_ && plan_.framing == AnswerEnd::kClosed && !plan_.resets &&
         sent_ >= head_size_ && head_size_ > 0 &&
         (!stream || (sent_ > head_size_ && sent_text_.ends_with("\n\n")));
}

}  // namespace acaciachute
