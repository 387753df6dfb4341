#include "coordination/gateway/event_splitter.h"

#include <algorithm>

#include "text.h"

namespace acaciachute {
namespace {

// Returns the last `id:` field in `events`, which holds complete events only.
std::optional<std::uint64_t> LastId(std::string_view events) {
  std::size_t at = events.rfind("\nid:");
  if (at == std::string_view::npos) {
    if (!events.starts_with("id:")) {
      return std::nullopt;
    }
    at = 0;
  } else {
    ++at;
  }
  constexpr std::string_view kFieldName = "id:";
  const std::size_t end = events.find_first_of("\r\n", at);
  return ParseNumber<std::uint64_t>(Trim(
      events.substr(at + kFieldName.size(), end - at - kFieldName.size())));
}

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  // A terminator may be split across two parts, so the search starts a few
  // bytes before the new ones.
  constexpr std::size_t kMaxTerminatorBytes = 4;
  const std::size_t from = partial_event_.size() < kMaxTerminatorBytes
                               ? 0
                               : partial_event_.size() - kMaxTerminatorBytes;
  partial_event_ += bytes;
  std::size_t end = 0;
  for (const std::string_view terminator : {"\n\n", "\r\n\r\n"}) {
    const std::size_t at = partial_event_.rfind(terminator);
    if (at != std::string::npos && at >= from) {
      end = std::max(end, at + terminator.size());
    }
  }
  std::string complete_events = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  for (const std::string_view terminator : {"\n\n", "\r\n\r\n"}) {
    for (auto at = complete_events.find(terminator); at != std::string::npos;
         at = complete_events.find(terminator, at + terminator.size())) {
      ++complete_events_;
    }
  }
  if (const auto id = LastId(complete_events)) {
    last_event_id_ = id;
  }
  return complete_events;
}

}  // namespace acaciachute
