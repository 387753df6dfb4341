#include "coordination/gateway/event_splitter.h"

#include <algorithm>

#include "text.h"

namespace acaciachute {
namespace {

// The last `id:` field of whole events.
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
  constexpr std::string_view kName = "id:";
  const std::size_t end = events.find_first_of("\r\n", at);
  return ParseNumber<std::uint64_t>(
      Trim(events.substr(at + kName.size(), end - at - kName.size())));
}

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  // An end may lie across the border between two parts.
  constexpr std::size_t kLongestEnd = 4;
  const std::size_t from =
      rest_.size() < kLongestEnd ? 0 : rest_.size() - kLongestEnd;
  rest_ += bytes;
  std::size_t end = 0;
  for (const std::string_view mark : {"\n\n", "\r\n\r\n"}) {
    const std::size_t at = rest_.rfind(mark);
    if (at != std::string::npos && at >= from) {
      end = std::max(end, at + mark.size());
    }
  }
  std::string whole = rest_.substr(0, end);
  rest_.erase(0, end);
  if (const auto id = LastId(whole)) {
    last_id_ = id;
  }
  return whole;
}

}  // namespace acaciachute
