// The limit on its load that a replica states in an answer.
#ifndef ACACIACHUTE_SRC_STATE_STATED_RATE_H_
#define ACACIACHUTE_SRC_STATE_STATED_RATE_H_

#include <optional>
#include <string>

namespace acaciachute {

struct StatedRate {
  // Requests per second that the replica accepts from all gateways together;
  // not set if it states no limit.
  std::optional<double> per_second;
  // The text of a limit that is no such number. It changes nothing.
  std::string unreadable;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_STATED_RATE_H_
