// Cuts a stream of server-sent events into whole events.
//
// Failure: a replica breaks off in the middle of an event, and the stream goes
// on at another replica. Symptom: the client gets half an event joined to the
// next, or one twice. Only whole events are passed on, and the number of the
// last one says where to go on.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVENT_SPLITTER_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciachute {

class EventSplitter {
 public:
  // The whole events that `bytes` completes, as they came; may be empty.
  std::string Add(std::string_view bytes);
  // Bytes of an event that is not complete.
  const std::string& rest() const { return rest_; }
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  // Forgets an event that will not be completed.
  void DropRest() { rest_.clear(); }

 private:
  std::string rest_;
  std::optional<std::uint64_t> last_id_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVENT_SPLITTER_H_
