// Groups conditional writes on rows of the table into few transactions.
//
// Load pattern: non-idempotent requests come at up to 2,500/s, each with two
// writes (the claim, its outcome), and the table takes several hundred
// transactions a second from all entries together. One transaction a write
// would have the table refuse most of them. A write goes out at once while
// transactions are few, so a quiet entry adds no wait; above the entry's rate,
// or with enough transactions in flight, writes gather and leave together.
//
// A transaction holds as a whole or not at all. On a conflict the rows that did
// not hold come back; their writes are told, and the rest goes out again.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_CLAIM_BATCH_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_CLAIM_BATCH_H_

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "coordination/interface/store_calls.h"
#include "state/metrics.h"
#include "state/store.h"
#include "types.h"

namespace acaciachute {

class ClaimBatch {
 public:
  // `row` is the row written or read, on a conflict the one that stands.
  using DoneFn =
      std::function<void(TimeUs now, StoreStatus status, const StoreRow& row)>;

  // Transactions in flight; more would only queue at the table.
  static constexpr int kMaxInFlight = 4;
  static constexpr std::size_t kMaxOps = 256;
  // Of one transaction's values; docs/PLATFORM.md gives the table's own bound.
  static constexpr std::size_t kMaxBytes = 2 << 20;

  // `rate` is this entry's share of the table's transactions a second.
  ClaimBatch(StoreCalls* calls, Metrics* metrics, double rate);

  // `op` reads, inserts or updates one row.
  void Add(TimeUs now, StoreOp op, DoneFn done);
  void OnTick(TimeUs now);
  TimeUs NextWakeup() const;

 private:
  struct Item {
    StoreOp op;
    DoneFn done;
  };
  using Items = std::vector<Item>;

  void Flush(TimeUs now);
  Items TakeItems();
  void Send(TimeUs now, Items items);
  void OnAnswer(TimeUs now, Items items, const StoreAnswer& answer);
  void SplitConflict(TimeUs now, Items items, const StoreAnswer& answer);

  StoreCalls* const calls_;
  Metrics* const metrics_;
  const DurationUs period_;  // Between transactions at the full rate.
  // When the rate's next transaction is due; ahead of now by at most a burst.
  TimeUs next_at_ = 0;
  int in_flight_ = 0;
  std::deque<Item> queue_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_CLAIM_BATCH_H_
