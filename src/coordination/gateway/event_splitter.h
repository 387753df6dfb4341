// Splits a stream of server-sent events into complete events.
//
// When a replica breaks off in the middle of an event and another replica
// resumes the stream, passing on the partial event would give the client a
// corrupt event or the same event twice. Only complete events are passed on,
// and the id of the last one shows the next replica where to resume.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVENT_SPLITTER_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciachute {

class EventSplitter {
 public:
  // Limit on one event, with the comments before it.
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Returns the events that `bytes` completes, unchanged; may be empty. A line
  // ends with LF, CR or CRLF, and a blank line ends an event.
  std::string Add(std::string_view bytes);
  // Bytes received after the last complete event.
  const std::string& partial_event() const { return partial_event_; }
  // Whether the partial event exceeds its limit; such a stream is to be ended.
  bool EventIsTooLong() const { return partial_event_.size() > kMaxEventBytes; }
  // Whether a stream that ends here breaks off an event. Comments after the
  // last event are no event.
  bool InsideEvent() const;
  // Id of the last complete event that had one.
  std::optional<std::uint64_t> last_event_id() const { return last_event_id_; }
  // Number of complete events, of all replicas of a resumed stream.
  std::uint64_t complete_events() const { return complete_events_; }
  // Discards the partial event, because its remaining bytes will not arrive.
  // The next bytes are the start of another replica's stream.
  void DiscardPartialEvent();

 private:
  void OnByte(char c);
  void ReadLine(std::string_view line);
  void EndEvent(std::size_t end);

  std::string partial_event_;
  std::size_t scanned_ = 0;     // Bytes of `partial_event_` that were parsed.
  std::size_t line_start_ = 0;  // Of the line that has not ended.
  std::size_t event_end_ = 0;   // End of the last complete event.
  bool first_line_ = true;      // Of the stream, which may begin with a BOM.
  bool after_cr_ = false;       // The last byte is a CR.
  // A blank line ended with a CR, although the line before did not end with a
  // CR alone. It is taken for half of a CRLF, so that a stream that is cut
  // there is known to be.
  bool blank_after_cr_ = false;
  bool has_field_ = false;  // A line of the partial event is no comment.
  std::optional<std::uint64_t> partial_event_id_;
  std::optional<std::uint64_t> last_event_id_;
  std::uint64_t complete_events_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVENT_SPLITTER_H_
