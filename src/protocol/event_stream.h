// Reads server-sent events (WHATWG HTML, "text/event-stream") from parts that
// may be cut anywhere.
#ifndef ACACIACHUTE_SRC_PROTOCOL_EVENT_STREAM_H_
#define ACACIACHUTE_SRC_PROTOCOL_EVENT_STREAM_H_

#include <string>
#include <string_view>
#include <vector>

namespace acaciachute {

struct StreamEvent {
  std::string name;  // Empty for a plain data event.
  std::string data;
};

class EventStreamReader {
 public:
  // Events that are complete with `bytes`; the rest is kept.
  std::vector<StreamEvent> Add(std::string_view bytes);
  // Bytes kept of an event that is not complete.
  std::size_t pending() const { return pending_.size(); }

 private:
  std::string pending_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_EVENT_STREAM_H_
