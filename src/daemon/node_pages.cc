#include "daemon/node_pages.h"

#include <glog/logging.h>

#include <string_view>

#include "text.h"

namespace acaciachute {
namespace {

constexpr int kHttpUnavailable = 503;
constexpr int kHttpNotFound = 404;

}  // namespace

HttpReply ServeNodePage(const HttpHead& head,
                        bool ready,
                        const Metrics& metrics,
                        const TraceLog& traces) {
  HttpReply reply;
  std::string_view path = head.path;
  if (path == "/healthz") {
    reply.body = "{}";
  } else if (path == "/readyz") {
    reply.status = ready ? reply.status : kHttpUnavailable;
    reply.body = ready ? R"({"ready":true})" : R"({"ready":false})";
  } else if (path == "/metrics") {
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = metrics.PrometheusText();
  } else if (ConsumePrefix(&path, "/traces")) {
    ConsumePrefix(&path, "/");
    reply.body = traces.ToJson(path);
  } else {
    reply.status = kHttpNotFound;
    reply.body = "{}";
  }
  return reply;
}

// Of a crowd that gives way, a line in a second tells enough; the counter has
// the rest.
void ReportRelief(const NodeId& node,
                  const ClientMemory::Relief& relief,
                  Metrics* metrics) {
  constexpr double kLogIntervalSeconds = 1.0;
  metrics->Count("acaciachute_gave_way_total", Name(relief.how));
  LOG_EVERY_T(INFO, kLogIntervalSeconds)
      << "event=gave_way node=" << node << " how=" << Name(relief.how)
      << " held=" << relief.held
      << " stalled_ms=" << relief.stalled / kMillisecond
      << " sum=" << relief.sum << " limit=" << relief.limit;
}

}  // namespace acaciachute
