// Chooses the replica of a plain service: the one that would answer first.
//
// Load pattern: short calls under a tight goal, from several gateways, to
// replicas in several failure domains, some of which turn slow, fail part of
// their calls or fall silent while their health check is good. Each replica is
// scored by its recent answer times, by the age of its oldest call in progress
// (a silent replica has no answer times), by its calls in progress, and by its
// failures. Old observations fade, so that a replica that is well again draws
// calls without health checks, which are priced.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_PLAIN_CHOICE_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_PLAIN_CHOICE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/choice/cold_replica_limiter.h"
#include "state/random.h"
#include "state/replica_directory.h"
#include "state/replica_health.h"
#include "types.h"

namespace acaciachute {

class PlainChoice {
 public:
  // Weight of the newest answer time. Three slow answers outweigh any history.
  static constexpr double kNewest = 0.4;
  // After this an observation counts by 1/e: a tenth of a slow replica's calls
  // are spent on finding out whether it is well again.
  static constexpr DurationUs kForget = 3 * kSecond;
  // Before the first answer.
  static constexpr DurationUs kUnknown = 20 * kMillisecond;

  PlainChoice(const ReplicaDirectory* directory,
              ColdReplicaLimiter* cold,
              Random* random);

  // Null when no replica outside `tried` takes work.
  const ReplicaEntry* Choose(TimeUs now,
                             const std::string& service,
                             const std::string& domain,
                             const std::vector<ReplicaId>& tried,
                             bool may_repeat);
  void OnSent(TimeUs now, const ReplicaId& replica);
  // What came of a call; `OnEnded` follows either, and stands alone for a call
  // that its client gave up or that the replica refused.
  void OnAnswer(TimeUs now, const ReplicaId& replica, TimeUs sent_at);
  void OnFailure(TimeUs now, const ReplicaId& replica);
  void OnEnded(const ReplicaId& replica, TimeUs sent_at);
  void OnReplicaGone(const ReplicaId& replica);
  // The recent answer time over all replicas; grounds for hedging.
  DurationUs Typical() const { return static_cast<DurationUs>(typical_); }

 private:
  struct State {
    double answer_time = static_cast<double>(kUnknown);
    TimeUs measured_at = 0;
    std::multiset<TimeUs> sent;  // Calls in progress.
    ReplicaHealth health;
  };

  double Score(TimeUs now,
               const ReplicaEntry& replica,
               const std::string& domain);

  const ReplicaDirectory* const directory_;
  ColdReplicaLimiter* const cold_;
  Random* const random_;
  std::map<ReplicaId, State> states_;
  double typical_ = static_cast<double>(kUnknown);
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_PLAIN_CHOICE_H_
