// The latest spans of this process as OpenTelemetry JSON (OTLP/HTTP format).
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
  // Spans kept; a few seconds' worth at today's load.
  static constexpr std::size_t kMostSpans = 4096;

  explicit TraceLog(NodeId node) : node_(std::move(node)) {}

  void Add(const Span& span);
  // Those of one trace (32 hex digits), or all when empty.
  std::string ToJson(std::string_view trace_id) const;

 private:
  const NodeId node_;
  std::deque<Span> spans_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_TRACE_LOG_H_
