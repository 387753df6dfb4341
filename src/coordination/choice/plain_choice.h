// Chooses the replica of a plain service: the one expected to answer first.
//
// Calls are short, have a tight latency target and come from several gateways.
// Replicas are spread over several failure domains; some become slow, fail part
// of their calls or stop responding while their health check still passes. Each
// replica is scored by its recent answer times, by the age of its oldest call
// in progress (an unresponsive replica has no answer times), by the number of
// its calls in progress, and by its failures. Where the replicas of a service
// are known to differ, `LearnedCapacity` gives the expected time instead, at
// the load of all gateways that a replica states. Old observations lose weight,
// so that a replica that has recovered gets calls again without health checks,
// which are charged for.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_PLAIN_CHOICE_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_PLAIN_CHOICE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/choice/learned_capacity.h"
#include "coordination/choice/replica_rate_limiter.h"
#include "state/random.h"
#include "state/replica_directory.h"
#include "state/replica_health.h"
#include "types.h"

namespace acaciachute {

class PlainChoice {
 public:
  // Weight of the newest answer in the moving average of answer times. Three
  // slow answers outweigh any history.
  static constexpr double kNewestAnswerWeight = 0.4;
  // After this time an observation's weight has fallen to 1/e. A tenth of the
  // calls that a slow replica would normally get are then spent on detecting
  // its recovery.
  static constexpr DurationUs kObservationDecayTime = 3 * kSecond;
  // Assumed answer time of a replica that has not answered yet.
  static constexpr DurationUs kInitialAnswerTime = 20 * kMillisecond;

  PlainChoice(const ReplicaDirectory* directory,
              ReplicaRateLimiter* replica_rate_limiter,
              Random* random,
              LearnedCapacity* capacity = nullptr);

  // Returns null if no replica outside `tried` accepts work. `may_probe`: the
  // call may be lost at a replica that failed before.
  const ReplicaEntry* Choose(TimeUs now,
                             const std::string& service,
                             const std::string& domain,
                             const std::vector<ReplicaId>& tried,
                             bool may_probe);
  // What a call finds at the replica, if it is sent now.
  ReplicaWork WorkFor(TimeUs now, const ReplicaEntry& replica);
  void OnSent(TimeUs now, const ReplicaId& replica);
  // Result of a call. `OnEnded` is called after `OnAnswer` or `OnFailure`, and
  // without either for a call that its client cancelled or that the replica
  // refused.
  void OnAnswer(TimeUs now, const ReplicaId& replica, TimeUs sent_at);
  void OnFailure(TimeUs now, const ReplicaId& replica);
  void OnEnded(const ReplicaId& replica, TimeUs sent_at);
  // The replica was removed or restarted.
  void OnReplicaRemoved(const ReplicaId& replica);

 private:
  struct State {
    // Moving average of answer times, last updated at `measured_at`.
    double answer_time = static_cast<double>(kInitialAnswerTime);
    TimeUs measured_at = 0;
    std::multiset<TimeUs> sent_times;  // Start times of the calls in progress.
    ReplicaHealth health;
  };

  // One choice: what is the same for all replicas.
  struct Choice {
    TimeUs now = 0;
    const std::string& domain;
    // Null: the replicas are not known to differ.
    const LearnedCapacity::Service* learned = nullptr;
  };
  // Answer time by this gateway's own observations.
  double OwnEstimate(TimeUs now, const State& state) const;
  // Expected answer time in microseconds; lower is better.
  double Score(const Choice& choice, const ReplicaEntry& replica);
  // Replicas of a lower rank are chosen first. `kLast`: it refused lately or is
  // full by its own statement. The others most likely ended: their answers that
  // another replica has the address cost the request one of its few tries.
  enum class Rank { kNormal, kLast, kSuperseded, kMisdirected };
  Rank RankOf(const Choice& choice, const ReplicaEntry& replica) const;

  const ReplicaDirectory* const directory_;
  ReplicaRateLimiter* const replica_rate_limiter_;
  Random* const random_;
  LearnedCapacity* const capacity_;
  std::map<ReplicaId, State> states_;
  double typical_answer_time_ = static_cast<double>(kInitialAnswerTime);
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_PLAIN_CHOICE_H_
