// Turns of replicas that state limits, which gateways lend to one another.
//
// Each gateway has an equal part of a stated limit, and needs more or less of
// it. A loan is a number of turns, each of which lets the borrower send one
// request before the loan expires. The lender counts them as requests of its
// own from when it lends them until a window after the last one can have
// arrived, so the sum over all gateways stays what it was, whatever becomes of
// the messages, of the borrower or of the connection between the two. The two
// clocks are not compared: a loan expires for the borrower `kLoanTime` after it
// asked, which is earlier than `kLoanTime` after the other lent. Turns that
// expired unused are given back; if that message is lost, the lender has them
// again as if they had been used.
//
// A request that is longer in transit than `kMaxTransitTime` then counts at the
// borrower, as part of what it may send itself.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_LOANS_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_LOANS_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class RateLoans {
 public:
  // Time in which lent turns may be used. They are asked for anew several times
  // within it, and are lost for as long if they are not needed.
  static constexpr DurationUs kLoanTime = 500 * kMillisecond;
  // Time for which a request that was sent on a lent turn may be in transit.
  static constexpr DurationUs kMaxTransitTime = 500 * kMillisecond;
  // Time after lending for which the lender counts a turn, beside the window.
  static constexpr DurationUs kMaxArrivalDelay = kLoanTime + kMaxTransitTime;

  // A loan by its other party, and when the borrower asked for it, by the
  // borrower's clock.
  struct LoanId {
    NodeId peer;
    TimeUs asked_at = 0;
    bool operator==(const LoanId&) const = default;
  };
  // Turns that were lent and will not be used.
  struct UnusedTurns {
    LoanId loan;
    std::size_t count = 0;
  };

  // This gateway lends turns of a limit with this window.
  void OnLent(TimeUs now,
              const ReplicaId& replica,
              const LoanId& loan,
              std::size_t n,
              DurationUs window);
  // The borrower gave turns back; this counts once a loan.
  void OnReturned(const ReplicaId& replica, const UnusedTurns& unused);
  // Number of turns that count as lent.
  std::size_t CountLent(TimeUs now, const ReplicaId& replica);
  // Times when those are free again, in order.
  std::vector<TimeUs> ReturnTimes(TimeUs now, const ReplicaId& replica);

  // This gateway was lent turns.
  void OnBorrowed(const ReplicaId& replica,
                  const LoanId& loan,
                  std::size_t n,
                  DurationUs window);
  // `excess`: how many of this gateway's requests that count now are beyond its
  // own part; they use borrowed turns. A turn whose request no longer counts is
  // gone. Returns the number of turns that may be used yet.
  std::size_t CountUnused(TimeUs now,
                          const ReplicaId& replica,
                          std::size_t excess);
  // What became of borrowed turns since the last call, as `CountUnused` saw it.
  struct Outcome {
    std::size_t used = 0;
    std::vector<UnusedTurns> expired;
  };
  Outcome TakeOutcome(const ReplicaId& replica);

  void OnReplicaRemoved(const ReplicaId& replica) {
    by_replica_.erase(replica);
  }

 private:
  struct Lent {
    LoanId loan;
    TimeUs until = 0;
    std::size_t count = 0;
    bool returned = false;
  };
  struct Borrowed {
    LoanId loan;
    TimeUs expires_at = 0;
    // When the lender may use the turns again.
    TimeUs until = 0;
    std::size_t unused = 0;
    std::size_t used = 0;
  };
  struct Loans {
    // In the order of their ends.
    std::deque<Lent> lent;
    std::deque<Borrowed> borrowed;
    Outcome outcome;
  };

  // Null if there are no loans.
  Loans* Find(const ReplicaId& replica);

  absl::flat_hash_map<ReplicaId, Loans> by_replica_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_RATE_LOANS_H_
