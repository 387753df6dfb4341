// Groups conditional writes to rows of the table into few transactions.
//
// Non-idempotent requests arrive at up to 2,500/s, each with two writes (the
// claim and its outcome), while the table serves several hundred transactions
// per second for all entries together. With one transaction per write the table
// would refuse most of them. A write is sent at once while transactions are
// few, so batching adds no wait at an idle entry; above the entry's rate, or at
// the limit of transactions in flight, writes are queued and sent together.
//
// A transaction is atomic. On a conflict the table returns the rows whose
// conditions failed; their writes are completed with `kConflict`, and the other
// writes are sent again.
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
  // `row` is the row written or read; on a conflict, the row currently in the
  // table.
  using DoneFn =
      std::function<void(TimeUs now, StoreStatus status, const StoreRow& row)>;

  // Maximum number of transactions in flight; more would only queue at the
  // table.
  static constexpr int kMaxInFlight = 4;
  static constexpr std::size_t kMaxOpsPerTransaction = 256;
  // Maximum size of the keys and values in one transaction; docs/PLATFORM.md
  // gives the table's own limit.
  static constexpr std::size_t kMaxBytesPerTransaction = 2 << 20;

  // `rate` is this entry's share of the table's transactions per second.
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
  const DurationUs period_;  // Interval between transactions at the full rate.
  // Earliest time of the next transaction under the rate limit; unused
  // transactions accumulate up to `kMaxBurstTransactions`.
  TimeUs next_at_ = 0;
  int in_flight_ = 0;
  std::deque<Item> queue_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_CLAIM_BATCH_H_
