// The operators' pages that both roles have.
#ifndef ACACIACHUTE_SRC_DAEMON_NODE_PAGES_H_
#define ACACIACHUTE_SRC_DAEMON_NODE_PAGES_H_

#include "protocol/caller_http.h"
#include "state/metrics.h"
#include "transport/trace_log.h"

namespace acaciachute {

// /healthz, /readyz, /metrics and /traces[/ID]; 404 for anything else.
HttpReply ServeNodePage(const HttpHead& head,
                        bool ready,
                        const Metrics& metrics,
                        const TraceLog& traces);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_DAEMON_NODE_PAGES_H_
