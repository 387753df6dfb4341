// Tells from a gateway's log lines what became of one request and why.
#ifndef ACACIACHUTE_SRC_CTL_LOG_EXPLAIN_H_
#define ACACIACHUTE_SRC_CTL_LOG_EXPLAIN_H_

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace acaciachute {

struct LogEvent {
  TimeUs at = 0;  // Wall clock.
  std::string node;
  std::string text;
};

struct LogExplanation {
  // The request's own lines, in order, in words.
  std::vector<LogEvent> request;
  // What its gateways' beliefs and dependencies did in the seconds before.
  std::vector<LogEvent> around;
  bool found() const { return !request.empty(); }
};

// Changes of belief that may explain a failure are shown from this long before
// the request's first line: longer than any bound on what is believed.
inline constexpr DurationUs kExplainBefore = 6 * kSecond;

// See `ReadLogLines` for what is passed over.
LogExplanation ExplainFromLog(std::istream* log, std::string_view id);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_LOG_EXPLAIN_H_
