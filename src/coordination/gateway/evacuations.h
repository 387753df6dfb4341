// The operator's orders to empty failure domains.
//
// Failure: an order is heard late, forgotten, or undone by an older row.
// Symptom: requests reach replicas that are being worked on, or return to a
// failure domain that is still empty. Orders lie in the same table as the
// configuration, so a gateway never serves before it knows them, and what is
// known has the configuration's age. Rows carry versions; an older one than the
// last that was taken for a failure domain changes nothing. What was begun
// there ends there, and results that lie there are still read.
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

// A row of the operator's: the failure domain is to be empty while it stands.
struct EvacuationRow {
  std::string domain;
  std::uint64_t version = 0;  // Of the row, or of its removal.
};

class Evacuations {
 public:
  Evacuations(ReplicaDirectory* directory, Metrics* metrics, EventLog* log)
      : directory_(directory), metrics_(metrics), log_(log) {}

  // Each returns whether another failure domain is empty now.
  bool OnOrder(const EvacuationRow& order);
  // All orders that stand at `version` of the table; the others were removed.
  bool OnTable(TimeUs now,
               const std::vector<EvacuationRow>& orders,
               std::uint64_t version);
  void OnEvacuationEnded(TimeUs now, const EvacuationRow& order);

 private:
  struct Known {
    std::uint64_t version = 0;
    bool in_force = false;
  };

  // Null, with a line in the log, when more than the order's version is known.
  Known* NewsOf(const EvacuationRow& order);
  void Tell(const EvacuationRow& order, std::string_view state);

  ReplicaDirectory* const directory_;
  Metrics* const metrics_;
  EventLog* const log_;
  std::map<std::string, Known> known_;  // By failure domain.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_EVACUATIONS_H_
