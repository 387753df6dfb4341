// A trace span: one step of processing a request. Times are on the local
// monotonic clock; the exporter adds the offset to wall-clock time.
#ifndef ACACIACHUTE_SRC_STATE_SPAN_H_
#define ACACIACHUTE_SRC_STATE_SPAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "types.h"

namespace acaciachute {

// W3C trace context of one span.
struct TraceContext {
  std::uint64_t trace_high = 0;
  std::uint64_t trace_low = 0;
  std::uint64_t span = 0;
};

struct Span {
  TraceContext context;
  std::uint64_t parent = 0;  // Span id; zero for a root.
  std::string name;
  TimeUs start = 0;
  TimeUs end = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
};

// Format "00-<32 hex digits>-<16 hex digits>-01" of W3C Trace Context.
std::string FormatTraceparent(const TraceContext& context);
std::optional<TraceContext> ParseTraceparent(std::string_view text);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_SPAN_H_
