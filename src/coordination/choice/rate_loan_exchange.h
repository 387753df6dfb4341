// Asks other gateways for turns at replicas that state limits, while requests
// find none here, and answers them.
//
// A replica's stated limit is divided equally among the gateways, but one of
// them may get most of the requests. A gateway keeps as many turns at hand as
// requests found none, less those that expired unused, until a time after the
// last one that was needed. It asks a few gateways at a time, each in its turn,
// and seldom while nobody lends. A gateway that needs more than its part itself
// lends nothing, so the parts of a replica that all need are equal.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_LOAN_EXCHANGE_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_LOAN_EXCHANGE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "coordination/choice/replica_rate_limiter.h"
#include "messages.h"
#include "state/event_log.h"
#include "state/metrics.h"
#include "types.h"

namespace acaciachute {

class RateLoanOutput {
 public:
  virtual ~RateLoanOutput() = default;
  // The other live gateways.
  virtual std::vector<NodeId> PossibleLenders() = 0;
  // Sends a message that may be lost.
  virtual void SendLoanMessage(const NodeId& peer, const Message& message) = 0;
};

class RateLoanExchange {
 public:
  // Interval of requests for turns; it doubles up to the longest one while no
  // gateway lends any.
  static constexpr DurationUs kAskInterval = 200 * kMillisecond;
  static constexpr DurationUs kMaxAskInterval = 1600 * kMillisecond;
  // Gateways that are asked at a time, and replicas in all those datagrams,
  // some 30 bytes each: 9 KB/s at most while others lend, 1.1 KB/s while none
  // does.
  static constexpr std::size_t kMaxAsked = 8;
  static constexpr std::size_t kMaxPerRound = 32;
  // Replicas of which one datagram lends turns.
  static constexpr std::size_t kMaxPerLoan = 32;
  // Time without need of a borrowed turn after which a replica's stock is given
  // up.
  static constexpr DurationUs kNeedTime = 2 * kSecond;

  RateLoanExchange(ReplicaRateLimiter* limiter,
                   RateLoanOutput* output,
                   Metrics* metrics,
                   EventLog* log)
      : limiter_(limiter), output_(output), metrics_(metrics), log_(log) {}

  // A request finds no turn now, at this replica or at any other. `part`: one
  // divided by the number of these replicas.
  void OnShort(TimeUs now, const ReplicaId& replica, double part);
  // Call it every 10 ms.
  void OnTick(TimeUs now);
  void OnRequest(TimeUs now,
                 const NodeId& from,
                 const RateLoanRequest& request);
  void OnLoan(TimeUs now, const NodeId& from, const RateLoan& loan);
  void OnReturn(const NodeId& from, const RateLoanReturn& unused);
  void OnReplicaRemoved(const ReplicaId& replica) { needs_.erase(replica); }

 private:
  // A replica of which more turns are needed than this gateway's part.
  struct Need {
    double stock = 0;  // Turns to have at hand.
    TimeUs needed_at = 0;
  };
  // Requests that were sent at the same time.
  struct Round {
    TimeUs asked_at = 0;
    std::vector<NodeId> unanswered;
  };

  void UpdateNeeds(TimeUs now);
  // Notes what became of borrowed turns. What expired is added to `returns`, by
  // loan.
  using Returns = std::map<std::pair<NodeId, TimeUs>, RateLoanReturn>;
  void UpdateNeed(TimeUs now,
                  const ReplicaId& replica,
                  Need* need,
                  Returns* returns);
  bool Needs(const ReplicaId& replica) const;
  // Up to `most` replicas of which turns are missing.
  std::vector<RateTurns> Missing(TimeUs now, std::size_t most);
  // The next ones of those that may lend.
  std::vector<NodeId> NextLenders();
  void LogNeed(const ReplicaId& replica, bool needed);

  ReplicaRateLimiter* const limiter_;
  RateLoanOutput* const output_;
  Metrics* const metrics_;
  EventLog* const log_;
  std::map<ReplicaId, Need> needs_;
  // Of the last `RateLoans::kLoanTime`.
  std::deque<Round> rounds_;
  // Whether a need began or a gateway lent turns since the last request.
  bool asks_soon_ = false;
  DurationUs ask_interval_ = kAskInterval;
  TimeUs next_ask_at_ = 0;
  // Those that were asked last: a position among the gateways, and the replica.
  std::size_t next_lender_ = 0;
  ReplicaId last_replica_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_LOAN_EXCHANGE_H_
