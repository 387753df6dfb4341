// What a replica states about itself in an answer, whatever was asked.
#ifndef ACACIACHUTE_SRC_STATE_REPLICA_STATEMENT_H_
#define ACACIACHUTE_SRC_STATE_REPLICA_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "state/http_fields.h"
#include "types.h"

namespace acaciachute {

// How busy the replica was when it answered.
struct StatedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // How long work takes there now, as a factor on the usual time; not set if it
  // does not say.
  std::optional<double> pace;
};

struct ReplicaStatement {
  // The answer proves to be the replica's own, so what it does not state does
  // not apply. An answer without proof may come from something between.
  bool proven = false;
  // The replica is about to end and wants no new requests.
  bool leaving = false;
  // Requests per second that the replica accepts from all gateways together;
  // not set if it states no limit.
  std::optional<double> max_rate;
  // It states a limit that cannot be read, so the one known before stays.
  bool max_rate_unreadable = false;
  // The replica turned the request away because it is short of capacity.
  bool refused = false;
  // How long it wants nothing more from this gateway. Set only if it refused.
  std::optional<DurationUs> rest;
  std::optional<StatedLoad> load;
  // Fields whose values cannot be read, for the log. They change nothing.
  std::vector<HttpField> unreadable;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_REPLICA_STATEMENT_H_
