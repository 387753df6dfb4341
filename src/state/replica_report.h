// What a replica answers to the question for its state.
#ifndef ACACIACHUTE_SRC_STATE_REPLICA_REPORT_H_
#define ACACIACHUTE_SRC_STATE_REPLICA_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "types.h"

namespace acaciachute {

struct ReplicaReport {
  // Start of the process in Unix milliseconds; zero: not stated.
  Incarnation start = 0;
  // Memory that is free for results; empty: not stated, or unreadable.
  std::optional<std::uint64_t> free_result_bytes;
  // Up to this much more may be free, as the figure was rounded down.
  std::uint64_t rounding_bytes = 0;
  // What was stated for it if that is unreadable; else empty.
  std::string unreadable;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_REPLICA_REPORT_H_
