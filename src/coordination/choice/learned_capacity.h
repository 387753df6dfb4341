// What each replica takes well: how long work takes there at a load.
//
// Replicas of one service differ in speed, slow down before their slots are
// full, and share their machines with others. Divided evenly, the load of a
// service keeps its slow replicas overfull while fast ones idle, and their
// callers wait longest. For each service a fit gives the expected time at a
// load (`WorkFit`), and each replica has a factor on it, learned from this
// gateway's answers and from those that other gateways tell. A short memory
// follows changes, a long one keeps lasting differences; a replica without
// history is like the middle of its service. See docs/design/064.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_LEARNED_CAPACITY_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_LEARNED_CAPACITY_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "coordination/choice/decayed_mean.h"
#include "coordination/choice/work_fit.h"
#include "messages.h"
#include "state/event_log.h"
#include "state/metrics.h"
#include "state/replica_directory.h"
#include "state/replica_statement.h"
#include "types.h"

namespace acaciachute {

class LearnedCapacity {
 public:
  // Ages at which an observation's weight has fallen to 1/e.
  static constexpr DurationUs kShortMemory = 500 * kMillisecond;
  static constexpr DurationUs kLongMemory = 20 * kSecond;
  // Of answers to be told: about a heartbeat's, as receivers smooth them too.
  static constexpr DurationUs kTellMemory = 200 * kMillisecond;
  // A stated load counts for this time: about a heartbeat of other gateways,
  // after which their work is known from there.
  static constexpr DurationUs kStatedLoadAge = 300 * kMillisecond;
  // A stated pace changes many times a second.
  static constexpr DurationUs kStatedPaceDecay = 150 * kMillisecond;
  // Answers of a service after which its fit is used.
  static constexpr std::uint64_t kMinAnswers = 30;
  // Figures in one heartbeat, and the bytes a second for them on one host.
  static constexpr std::size_t kMaxPerHeartbeat = 16;
  static constexpr std::size_t kTellBytesPerSecond = 4000;

  // How the times of a service are expected to depend on its load.
  struct Service {
    Service();

    WorkFit time;          // Until the first event or the whole answer.
    WorkFit pause;         // Between the events of a stream.
    double stream_ms = 0;  // Usual duration of a stream, from its first event.
    double in_progress = 0;  // Usual number of requests at one replica.
    double middle = 0;       // Usual logarithm of its replicas' factors.
    double deviation = 0.5;  // Of single answers, in logarithms.
    TimeUs differs_until = 0;
  };

  LearnedCapacity(const ReplicaDirectory* directory,
                  Metrics* metrics,
                  EventLog* log);

  // Null while its replicas are not known to differ, or too little was seen.
  const Service* Find(TimeUs now, const std::string& service) const;
  // Expected time, in milliseconds, until the first event or the whole answer.
  double ExpectedMs(TimeUs now,
                    const Service& service,
                    const ReplicaId& replica,
                    const ReplicaWork& work);
  // Expected pause between events, in milliseconds.
  double ExpectedPauseMs(TimeUs now,
                         const Service& service,
                         const ReplicaId& replica,
                         const ReplicaWork& work);
  // Requests in progress there by its own statement and since sent by this
  // gateway; zero if it has stated nothing lately.
  double StatedInProgress(TimeUs now, const ReplicaId& replica) const;
  // Whether all its slots are in use by that.
  bool IsFull(TimeUs now, const ReplicaId& replica) const;

  void OnStatement(TimeUs now,
                   const ReplicaId& replica,
                   const StatedLoad& load);
  void OnSent(const ReplicaId& replica);
  // The first event of a stream or a whole plain answer came after `time`;
  // `work`: what the request found.
  void OnAnswer(TimeUs now,
                const ReplicaId& replica,
                const ReplicaWork& work,
                DurationUs time);
  // `work`: at the stream's first event; `time`: from then to its last one.
  void OnStreamEnded(TimeUs now,
                     const ReplicaId& replica,
                     const ReplicaWork& work,
                     std::size_t events,
                     DurationUs time);
  void OnReplicaRemoved(const ReplicaId& replica);

  // Number of figures in a heartbeat that goes to `peers` gateways every
  // `period`.
  static std::size_t FiguresPerHeartbeat(std::size_t peers, DurationUs period);
  // What this gateway's own answers showed: latest ones first, then by turns.
  std::vector<ReplicaPace> ToTell(TimeUs now, std::size_t figures);
  void OnPeerPace(TimeUs now, const NodeId& from, const ReplicaPace& pace);

 private:
  // Share of slots in use from which a replica's factor is kept apart.
  static constexpr double kCrowdedShare = 0.5;

  static constexpr TimeUs kNever = INT64_MIN / 2;

  // Factors as logarithms.
  struct Memory {
    DecayedMean recent{kShortMemory};
    DecayedMean lasting{kLongMemory};
    DecayedMean own{kTellMemory};  // Of this gateway's answers.
  };
  struct Told {
    std::uint64_t peer = 0;  // Hash of its name.
    std::uint16_t answers = 0;
  };
  struct State {
    ReplicaId id;
    std::string service;
    Memory calm;
    Memory crowded;
    StatedLoad stated;
    TimeUs stated_at = kNever;
    std::uint32_t sent_since = 0;  // Sent by this gateway since the statement.
    std::uint16_t answers = 0;     // Own ones; wraps around.
    bool last_crowded = false;
    std::vector<Told> told;  // The last counts of other gateways.
    // Factors as last computed; see `FactorOf`.
    std::array<double, 2> factors = {1, 1};
    TimeUs factors_at = kNever;
    double logged_factor = 1;
    TimeUs logged_at = kNever;
  };
  State* Find(const ReplicaId& replica);
  const State* Find(const ReplicaId& replica) const;
  // Null for a replica that is not listed.
  State* Insert(const ReplicaId& replica);
  Service& ServiceOf(const State& state);
  static std::uint64_t DigestOf(const ReplicaId& replica);

  // Logarithms of a replica's lasting and present factor.
  double Lasting(TimeUs now, const State& state, bool crowded);
  double Estimate(TimeUs now, const State& state, bool crowded);
  double FactorOf(TimeUs now, State* state, const ReplicaWork& work);
  static double StatedPace(TimeUs now, const State& state);
  double Learn(TimeUs now,
               State* state,
               WorkFit* fit,
               const ReplicaWork& work,
               double ms);
  static void Put(TimeUs at,
                  State* state,
                  bool crowded,
                  double value,
                  double weight);
  // An answer to this gateway took as long as `value` says.
  void PutOwn(TimeUs now,
              DurationUs age,
              State* state,
              const ReplicaWork& work,
              double value);
  // Logs a notable change of belief.
  void Review(TimeUs now, State* state);

  const ReplicaDirectory* const directory_;
  Metrics* const metrics_;
  EventLog* const log_;
  absl::node_hash_map<std::string, Service> services_;
  absl::node_hash_map<ReplicaId, State> states_;
  absl::flat_hash_map<std::uint64_t, State*> by_digest_;
  // Replicas by their latest answers to this gateway, at most
  // `kMaxPerHeartbeat`.
  std::deque<State*> latest_;
  std::map<std::uint64_t, State*> turns_;  // Of those that answered, by digest.
  std::uint64_t next_turn_ = 0;
  TimeUs next_log_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_LEARNED_CAPACITY_H_
