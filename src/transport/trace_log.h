// Keeps the latest spans of this process and writes them as OpenTelemetry JSON
// (OTLP/HTTP format).
#ifndef ACACIACHUTE_SRC_TRANSPORT_TRACE_LOG_H_
#define ACACIACHUTE_SRC_TRANSPORT_TRACE_LOG_H_

#include <deque>
#include <string>
#include <string_view>

#include "state/span.h"
#include "types.h"

namespace acaciachute {

class TraceLog {
 public:
  // Maximum number of spans kept; a few seconds' worth at the present load.
  static constexpr std::size_t kMaxSpans = 4096;

  explicit TraceLog(NodeId node) : node_(std::move(node)) {}

  void Add(const Span& span);
  // Returns the spans of one trace (an id of 32 hex digits), or all spans if
  // `trace_id` is empty.
  std::string ToJson(std::string_view trace_id) const;

 private:
  const NodeId node_;
  std::deque<Span> spans_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_TRACE_LOG_H_
