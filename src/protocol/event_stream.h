// Parses server-sent events (WHATWG HTML, "text/event-stream") from a byte
// stream that arrives in arbitrary parts.
#ifndef ACACIACHUTE_SRC_PROTOCOL_EVENT_STREAM_H_
#define ACACIACHUTE_SRC_PROTOCOL_EVENT_STREAM_H_

#include <string>
#include <string_view>
#include <vector>

namespace acaciachute {

struct StreamEvent {
  std::string name;  // Empty for an event without a name.
  std::string data;
};

class EventStreamReader {
 public:
  // Appends `bytes` and returns the events that are complete now.
  std::vector<StreamEvent> Add(std::string_view bytes);
  // Limit on `pending`; a stream beyond it is to be ended.
  static constexpr std::size_t kMaxPendingBytes = 1 << 20;
  // Number of bytes buffered of the incomplete event.
  std::size_t pending() const { return pending_.size(); }

 private:
  std::string pending_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_EVENT_STREAM_H_
