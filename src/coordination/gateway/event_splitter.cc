#include "coordination/gateway/event_splitter.h"

#include <utility>

#include "text.h"

namespace acaciachute {

std::string EventSplitter::Add(std::string_view bytes) {
  partial_event_ += bytes;
  event_end_ = 0;
  for (; scanned_ < partial_event_.size(); ++scanned_) {
    OnByte(partial_event_[scanned_]);
  }
  std::string complete_events = partial_event_.substr(0, event_end_);
  partial_event_.erase(0, event_end_);
  scanned_ -= event_end_;
  line_start_ -= event_end_;
  return complete_events;
}

void EventSplitter::OnByte(char c) {
  const bool after_cr = std::exchange(after_cr_, c == '\r');
  const bool ends_crlf = after_cr && c == '\n';
  if (blank_after_cr_) {
    EndEvent(ends_crlf ? scanned_ + 1 : scanned_);
  }
  if (ends_crlf) {
    line_start_ = scanned_ + 1;
    return;
  }
  if (c != '\n' && c != '\r') {
    return;
  }
  const bool blank = line_start_ == scanned_;
  if (!blank) {
    ReadLine(std::string_view(partial_event_)
                 .substr(0, scanned_)
                 .substr(line_start_));
  } else if (c == '\r' && !after_cr) {
    blank_after_cr_ = true;
  } else {
    EndEvent(scanned_ + 1);
  }
  line_start_ = scanned_ + 1;
}

void EventSplitter::ReadLine(std::string_view line) {
  constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
  if (std::exchange(first_line_, false)) {
    ConsumePrefix(&line, kByteOrderMark);
  }
  has_field_ = has_field_ || !(line.empty() || line.starts_with(':'));
  if (ConsumePrefix(&line, "id:")) {
    if (const auto id = ParseNumber<std::uint64_t>(Trim(line))) {
      partial_event_id_ = id;
    }
  }
}

void EventSplitter::EndEvent(std::size_t end) {
  event_end_ = end;
  blank_after_cr_ = false;
  if (std::exchange(has_field_, false)) {
    ++complete_events_;
  }
  if (const auto id = std::exchange(partial_event_id_, std::nullopt)) {
    last_event_id_ = id;
  }
}

bool EventSplitter::InsideEvent() const {
  return has_field_ || line_start_ < partial_event_.size();
}

void EventSplitter::DiscardPartialEvent() {
  EventSplitter next;
  next.last_event_id_ = last_event_id_;
  next.complete_events_ = complete_events_;
  *this = std::move(next);
}

}  // namespace acaciachute
