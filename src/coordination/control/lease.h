// The lease on one pool's control duty: at most one entry acts for the pool.
//
// Load pattern: the holder dies, is paused past its lease and wakes in the
// middle of an order, or loses the answer to its renewal. Without the lease two
// entries order loads and unloads against one another; without the fencing
// number the one that wakes finishes its old order after its successor's.
//
// No two clocks are compared. The holder counts its time from before it sent
// the write that last held, and stops `kMargin` early. Another entry takes over
// only after it saw the row at one version for a whole `kTerm` by its own
// clock, which began no earlier than that write. The number grows with each
// acquisition; sidecars refuse orders below the largest that they saw, and that
// covers a holder that is paused between its check and its order.
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
  NodeId holder;  // Empty once it was given back.
  FenceNumber fence = 0;
  std::uint64_t nonce = 0;  // Of the write.
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
  // A pool without control for so long goes on serving as it is; loads wait.
  static constexpr DurationUs kTerm = 10 * kSecond;
  // Clocks of two hosts drift apart by far less than a tenth.
  static constexpr DurationUs kMargin = kSecond;
  // Two renewals may fail before the third comes too late. At 21 pools these
  // are 7 writes a second of several hundred.
  static constexpr DurationUs kRenewPeriod = 3 * kSecond;
  // The three entries that come first for a pool watch its row closely; the
  // others only make sure that those are not all gone.
  static constexpr std::size_t kCandidates = 3;
  static constexpr DurationUs kWatchPeriod = 2 * kSecond;
  static constexpr DurationUs kFarWatchPeriod = 30 * kSecond;
  static constexpr DurationUs kRetryPause = 300 * kMillisecond;
  // Each place waits so much longer than the one before it to take over.
  static constexpr DurationUs kRankPause = 500 * kMillisecond;

  Lease(std::string pool,
        NodeId node,
        LeaseOutput* output,
        Random* random,
        Metrics* metrics);

  // Place of this entry among those that compete for the pool.
  void SetRank(std::size_t rank) { rank_ = rank; }
  void OnTick(TimeUs now);
  void OnTableAnswer(TimeUs now, StoreTicket ticket, const StoreAnswer& answer);
  // This entry leaves: it holds nothing from now on, and the next ticks give
  // the row back, so that a successor need not wait.
  void Release();

  // Whether orders may be given now. Asked right before each.
  bool Holds(TimeUs now) const { return now < held_until_; }
  // Another entry holds a larger number: this one's time is over.
  void OnFenced(FenceNumber seen);
  const std::string& pool() const { return pool_; }
  FenceNumber fence() const { return fence_; }
  // The next renewal takes a larger number, as an acquisition does.
  void RaiseNumber() { raise_ = true; }

 private:
  enum class Write { kNone, kAcquire, kRenew, kRelease };

  void Call(std::vector<StoreOp> ops);
  void SendWrite();
  void StartWrite(TimeUs now, Write kind, FenceNumber fence);
  void OnRead(TimeUs now, const StoreAnswer& answer);
  void OnWritten(TimeUs now, const StoreAnswer& answer);
  void Took(TimeUs now, std::uint64_t version);
  void Observe(TimeUs now, const StoreRow& row);
  DurationUs WatchPeriod() const;
  TimeUs TakeOverAt() const;

  const std::string pool_;
  const NodeId node_;
  LeaseOutput* const output_;
  Random* const random_;
  Metrics* const metrics_;

  std::size_t rank_ = 0;
  StoreTicket next_ticket_ = 1;
  StoreTicket waiting_for_ = 0;  // Zero: no call in progress.
  TimeUs due_ = 0;
  // What was last seen of the row, and since when it has stood so.
  std::uint64_t seen_version_ = 0;
  LeaseRow seen_;
  std::optional<TimeUs> seen_since_;
  // The write in progress; repeated under its nonce until it is settled.
  Write write_ = Write::kNone;
  LeaseRow written_;
  std::uint64_t base_ = 0;
  TimeUs first_sent_at_ = 0;
  bool may_have_landed_ = false;
  bool leaving_ = false;
  bool raise_ = false;
  // Held.
  TimeUs held_until_ = 0;
  bool ours_ = false;  // The row is this process's own, held or run out.
  FenceNumber fence_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CONTROL_LEASE_H_
