// Splits a stream of server-sent events into complete events.
//
// When a replica breaks off in the middle of an event and another replica
// resumes the stream, passing on the partial event would give the client a
// corrupt event or the same event twice. Only complete events are passed on,
// and the id of the last one shows the next replica where to resume.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVENT_SPLITTER_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciachute {

class EventSplitter {
 public:
  // Returns the events that `bytes` completes, unchanged; may be empty.
  std::string Add(std::string_view bytes);
  // Bytes received of an event that is not complete yet.
  const std::string& partial_event() const { return partial_event_; }
  // Whether a stream that ends here breaks off an event.
  bool InsideEvent() const { return !partial_event_.empty(); }
  // Id of the last complete event that had one.
  std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }
  std::uint64_t complete_events() const { return complete_events_; }
  // Discards the partial event, because its remaining bytes will not arrive.
  void DiscardPartialEvent() { partial_event_.clear(); }

 private:
  std::string partial_event_;
  std::uint64_t complete_events_ = 0;
  std::optional<std::uint64_t> last_event_id_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVENT_SPLITTER_H_
