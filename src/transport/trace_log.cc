#include "transport/trace_log.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"
#include "text.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kNanosPerMicro = 1000;

std::string TraceIdOf(const Span& span) {
  return absl::StrFormat("%016x%016x", span.context.trace_high,
                         span.context.trace_low);
}

Json Attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

Json JsonOf(const Span& span, std::int64_t wall_offset) {
  Json attributes = Json::array();
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(Attribute(key, value));
  }
  const auto nanos = [&](TimeUs at) {
    return StrCat((at + wall_offset) * kNanosPerMicro);
  };
  Json out = {{"traceId", TraceIdOf(span)},
              {"spanId", absl::StrFormat("%016x", span.context.span)},
              {"name", span.name},
              {"startTimeUnixNano", nanos(span.start)},
              {"endTimeUnixNano", nanos(span.end)},
              {"attributes", std::move(attributes)}};
  if (span.parent != 0) {
    out["parentSpanId"] = absl::StrFormat("%016x", span.parent);
  }
  return out;
}

}  // namespace

void TraceLog::Add(const Span& span) {
  spans_.push_back(span);
  if (spans_.size() > kMaxSpans) {
    spans_.pop_front();
  }
}

std::string TraceLog::ToJson(std::string_view trace_id) const {
  const std::int64_t wall_offset = Loop::WallClock() - Loop::Now();
  Json spans = Json::array();
  for (const auto& it : spans_) {
    if (trace_id.empty() || TraceIdOf(it) == trace_id) {
      spans.push_back(JsonOf(it, wall_offset));
    }
  }
  const Json scope = {{"scope", {{"name", "acaciachute"}}},
                      {"spans", std::move(spans)}};
  const Json resource = {{"attributes",
                          {Attribute("service.name", "acaciachute"),
                           Attribute("service.instance.id", node_)}}};
  const Json out = {
      {"resourceSpans", {{{"resource", resource}, {"scopeSpans", {scope}}}}}};
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace acaciachute
