// Lease on the control duty of one pool: at most one entry sends orders for the
// pool.
//
// A holder can stop, be suspended beyond its lease and resume in the middle of
// an order, or lose the answer to its renewal. Without the lease two entries
// would send conflicting orders to load and unload models; without the fencing
// number a suspended holder would finish an old order after its successor's.
//
// No two clocks are compared. The holder counts its lease from before it sent
// the last write that succeeded, and stops `kClockDriftMargin` early. Another
// entry takes over only after it observed the row at one version for a full
// `kLeaseDuration` by its own clock, which began no earlier than that write.
// The fencing number grows with each acquisition; sidecars refuse orders below
// the largest number they have seen, which covers a holder that is suspended
// between its check and its order.
#ifndef ACACIACHUTE_SRC_COORDINATION_CONTROL_LEASE_H_
#define ACACIACHUTE_SRC_COORDINATION_CONTROL_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "state/metrics.h"
#include "state/random.h"
#include "state/store.h"
#include "types.h"

namespace acaciachute {

std::string LeaseRowKey(std::string_view pool);

struct LeaseRow {
  NodeId holder;  // Empty after the lease was released.
  FenceNumber fence = 0;
  std::uint64_t nonce = 0;  // Identifies the write of this row.
};

std::string EncodeLease(const LeaseRow& row);
absl::StatusOr<LeaseRow> DecodeLease(std::string_view text);

class LeaseOutput {
 public:
  virtual ~LeaseOutput() = default;
  virtual void CallTable(const std::string& pool,
                         StoreTicket ticket,
                         std::vector<StoreOp> ops) = 0;
};

class Lease {
 public:
  // Duration of a lease without renewal. A pool that is without control for
  // this long continues to serve; only loads of models are delayed.
  static constexpr DurationUs kLeaseDuration = 10 * kSecond;
  // The clocks of two hosts differ in rate by far less than a tenth.
  static constexpr DurationUs kClockDriftMargin = kSecond;
  // Two renewals may fail before a third would be too late. For 21 pools this
  // makes 7 writes/s, of the several hundred that the table takes.
  static constexpr DurationUs kRenewPeriod = 3 * kSecond;
  // Number of entries, by rank for a pool, that read its row every
  // `kWatchPeriod`. The others read it every `kStandbyWatchPeriod`, in case all
  // of those have stopped.
  static constexpr std::size_t kActiveCandidates = 3;
  static constexpr DurationUs kWatchPeriod = 2 * kSecond;
  static constexpr DurationUs kStandbyWatchPeriod = 30 * kSecond;
  static constexpr DurationUs kRetryDelay = 300 * kMillisecond;
  // Additional delay before a takeover, per rank.
  static constexpr DurationUs kRankDelay = 500 * kMillisecond;

  Lease(std::string pool,
        NodeId node,
        LeaseOutput* output,
        Random* random,
        Metrics* metrics);

  // Sets the rank of this entry among those that compete for the lease.
  void SetRank(std::size_t rank) { rank_ = rank; }
  void OnTick(TimeUs now);
  void OnTableAnswer(TimeUs now, StoreTicket ticket, const StoreAnswer& answer);
  // Releases the lease, because this entry leaves. It counts as not held from
  // now on, and the following ticks write the release to the row, so that a
  // successor need not wait.
  void Release();

  // Whether orders may be sent now; checked right before each order.
  bool Holds(TimeUs now) const { return now < held_until_; }
  // A sidecar saw a larger number of another entry: the lease is no longer
  // held.
  void OnFenced(FenceNumber seen);
  const std::string& pool() const { return pool_; }
  FenceNumber fence() const { return fence_; }
  // Makes the next renewal use a larger number, as an acquisition does.
  void RequestNewNumber() { raise_number_ = true; }

 private:
  enum class Write { kNone, kAcquire, kRenew, kRelease };

  void Call(std::vector<StoreOp> ops);
  void SendWrite();
  void StartWrite(TimeUs now, Write kind, FenceNumber fence);
  void OnRead(TimeUs now, const StoreAnswer& answer);
  void OnWritten(TimeUs now, const StoreAnswer& answer);
  void OnWriteConfirmed(TimeUs now, std::uint64_t version);
  void Observe(TimeUs now, const StoreRow& row);
  DurationUs WatchPeriod() const;
  TimeUs TakeOverTime() const;

  const std::string pool_;
  const NodeId node_;
  LeaseOutput* const output_;
  Random* const random_;
  Metrics* const metrics_;

  std::size_t rank_ = 0;
  StoreTicket next_ticket_ = 1;
  // Ticket of the call in progress; zero if there is none.
  StoreTicket pending_ticket_ = 0;
  TimeUs due_ = 0;
  // The row as last observed, and the time since which it is unchanged.
  std::uint64_t observed_version_ = 0;
  LeaseRow observed_;
  std::optional<TimeUs> observed_since_;
  // The write in progress; repeated under its nonce until its result is known.
  Write write_ = Write::kNone;
  LeaseRow pending_row_;
  std::uint64_t base_version_ = 0;
  TimeUs first_sent_at_ = 0;
  bool may_be_applied_ = false;
  bool leaving_ = false;
  bool raise_number_ = false;
  // State as holder.
  TimeUs held_until_ = 0;
  // The row was last written by this process, even if the lease has expired.
  bool row_is_own_ = false;
  FenceNumber fence_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CONTROL_LEASE_H_
