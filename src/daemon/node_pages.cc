#include "daemon/node_pages.h"

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

}  // namespace acaciachute
