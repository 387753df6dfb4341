// Applies the operator's orders to evacuate failure domains.
//
// If an evacuation order arrived late, got lost or was undone by an older row,
// requests would reach replicas that are under maintenance, or would return to
// a failure domain that is still evacuated. The orders are rows of the same
// table as the configuration, so a gateway has read them before it serves its
// first request, and they are as recent as its configuration. Each row has a
// version; a row older than the last one applied to the same failure domain is
// ignored. Requests in progress in an evacuated domain finish there, and stage
// results stored there can still be read.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVACUATIONS_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVACUATIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/event_log.h"
#include "state/metrics.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

// A row of the operator's table. The failure domain stays evacuated as long as
// the row exists.
struct EvacuationRow {
  std::string domain;
  std::uint64_t version = 0;  // Version of the row, or of its removal.
};

class Evacuations {
 public:
  Evacuations(ReplicaDirectory* directory, Metrics* metrics, EventLog* log)
      : directory_(directory), metrics_(metrics), log_(log) {}

  // Applies one row. Returns whether the failure domain was not evacuated
  // before.
  bool OnOrder(const EvacuationRow& order);
  // Applies the complete table as of `version`: evacuates the domains in
  // `orders` and ends the evacuation of all others. Returns whether a domain
  // was newly evacuated.
  bool OnTable(TimeUs now,
               const std::vector<EvacuationRow>& orders,
               std::uint64_t version);
  // Applies the removal of a row: the evacuation ends.
  void OnEvacuationEnded(TimeUs now, const EvacuationRow& order);

 private:
  // State of one failure domain.
  struct DomainState {
    // Version of the last row or removal that was applied.
    std::uint64_t version = 0;
    // Whether the domain is evacuated.
    bool in_force = false;
  };

  // Records the order's version and returns the state of its failure domain.
  // Returns null, and logs it, if a newer version was already applied.
  DomainState* AcceptVersion(const EvacuationRow& order);
  void LogState(const EvacuationRow& order, std::string_view state);

  ReplicaDirectory* const directory_;
  Metrics* const metrics_;
  EventLog* const log_;
  std::map<std::string, DomainState> domains_;  // By failure domain.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVACUATIONS_H_
