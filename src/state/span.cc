#include "state/span.h"

#include <charconv>

#include "absl/strings/str_format.h"

namespace acaciachute {
namespace {

constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kTraceHighAt = 3;
constexpr std::size_t kTraceLowAt = 19;
constexpr std::size_t kSpanAt = 36;
constexpr std::size_t kHexDigits = 16;

bool ReadHex(std::string_view text, std::size_t at, std::uint64_t* out) {
  const char* first = text.data() + at;
  const char* last = first + kHexDigits;
  const auto [end, ec] = std::from_chars(first, last, *out, 16);
  return ec == std::errc() && end == last;
}

}  // namespace

std::string FormatTraceparent(const TraceContext& context) {
  return absl::StrFormat("00-%016x%016x-%016x-01", context.trace_high,
                         context.trace_low, context.span);
}

std::optional<TraceContext> ParseTraceparent(std::string_view text) {
  TraceContext context;
  if (text.size() != kTraceparentSize || text.substr(0, 3) != "00-" ||
      text[35] != '-' || text[52] != '-' ||
      !ReadHex(text, kTraceHighAt, &context.trace_high) ||
      !ReadHex(text, kTraceLowAt, &context.trace_low) ||
      !ReadHex(text, kSpanAt, &context.span) || context.span == 0 ||
      (context.trace_high == 0 && context.trace_low == 0)) {
    return std::nullopt;
  }
  return context;
}

}  // namespace acaciachute
