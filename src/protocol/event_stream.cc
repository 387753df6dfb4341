#include "protocol/event_stream.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

StreamEvent ParseEvent(std::string_view text) {
  StreamEvent event;
  bool first = true;
  for (const auto& whole_line : Split(text, '\n')) {
    std::string_view line = whole_line;
    if (ConsumePrefix(&line, "event:")) {
      ConsumePrefix(&line, " ");
      event.name = line;
    } else if (ConsumePrefix(&line, "data:")) {
      if (!first) {
        event.data += '\n';
      }
      ConsumePrefix(&line, " ");
      event.data += line;
      first = false;
    }
  }
  return event;
}

}  // namespace

std::vector<StreamEvent> EventStreamReader::Add(std::string_view bytes) {
  pending_ += bytes;
  std::vector<StreamEvent> events;
  std::size_t at = 0;
  for (auto end = pending_.find(kEventEnd); end != std::string::npos;
       end = pending_.find(kEventEnd, at)) {
    events.push_back(
        ParseEvent(std::string_view(pending_).substr(at, end - at)));
    at = end + kEventEnd.size();
  }
  pending_.erase(0, at);
  return events;
}

}  // namespace acaciachute
