// Explains the outcome of one request from gateways' log lines.
#ifndef ACACIACHUTE_SRC_CTL_LOG_EXPLAIN_H_
#define ACACIACHUTE_SRC_CTL_LOG_EXPLAIN_H_

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace acaciachute {

struct LogEvent {
  TimeUs at = 0;  // Wall-clock time.
  std::string node;
  std::string text;
};

struct LogExplanation {
  // Descriptions of the request's own lines, in order of time.
  std::vector<LogEvent> request;
  // Changes of state at the gateways of the request, and of the services that
  // they depend on, from `kExplainBefore` before its first line to its last.
  std::vector<LogEvent> around;
  bool found() const { return !request.empty(); }
};

// Changes of a gateway's state are shown from this long before the request's
// first line. It is longer than any bound on the age of the data by which a
// gateway decides, so the change that explains a failure is included.
inline constexpr DurationUs kExplainBefore = 6 * kSecond;

// Lines that are not events are skipped; see `ForEachLogLine`.
LogExplanation ExplainFromLog(std::istream* log, std::string_view id);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_LOG_EXPLAIN_H_
