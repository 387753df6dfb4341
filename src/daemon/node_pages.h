// HTTP pages for operators that entries and sidecars have in common.
#ifndef ACACIACHUTE_SRC_DAEMON_NODE_PAGES_H_
#define ACACIACHUTE_SRC_DAEMON_NODE_PAGES_H_

#include "coordination/admission/client_memory.h"
#include "protocol/caller_http.h"
#include "state/metrics.h"
#include "transport/trace_log.h"

namespace acaciachute {

// Serves /healthz, /readyz, /metrics and /traces[/ID], and 404 for other paths.
HttpReply ServeNodePage(const HttpHead& head,
                        bool ready,
                        const Metrics& metrics,
                        const TraceLog& traces);

// Counts and logs that a client gave way.
void ReportRelief(const NodeId& node,
                  const ClientMemory::Relief& relief,
                  Metrics* metrics);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_DAEMON_NODE_PAGES_H_
