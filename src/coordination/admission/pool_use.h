// Counts of what gateways admit to a pool while it is scarce, told between them
// so that a client account has one share over all of them.
//
// Heartbeats are lost, repeated and reordered. A sender counts in windows of
// its own clock and always tells the whole count of a window, so a later
// heartbeat makes up for a lost one, and a receiver counts only what exceeds
// the count that it knows. Both forget a window after the one that follows it,
// which bounds their memory by what is used, or told, within two windows.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_POOL_USE_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_POOL_USE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/admission/fair_share.h"
#include "messages.h"
#include "types.h"

namespace acaciachute {

// This gateway's use of one pool.
class OwnPoolUse {
 public:
  static constexpr DurationUs kWindow = 2 * kSecond;

  void OnAdmitted(TimeUs now, AccountIndex account);
  void OnAnswer(TimeUs now);
  // Returns the counts of the windows that are not forgotten, with up to
  // `max_accounts` accounts: those with the most use that was not told yet,
  // then those that were told longest ago. The caller sets `PoolUse::pool` and
  // `PoolUse::scarce`.
  std::vector<PoolUse> Report(TimeUs now, std::size_t max_accounts);

 private:
  struct Count {
    std::uint16_t admitted = 0;
    std::uint16_t told = 0;
    std::uint32_t told_in = 0;  // Number of the report that last told it.
  };
  struct Window {
    std::uint32_t number = 0;
    std::uint16_t answers = 0;
    absl::flat_hash_map<AccountIndex, Count> accounts;
  };

  // Makes the window of `now` the current one.
  Window& Current(TimeUs now);

  std::array<Window, 2> windows_;  // Current, previous.
  std::uint32_t reports_ = 0;
};

// Other gateways' use of one pool.
class PeerPoolUse {
 public:
  // What a report says beyond earlier ones.
  struct News {
    std::uint16_t answers = 0;
    std::vector<AccountUse> admitted;
  };

  News OnReport(TimeUs now,
                const NodeId& from,
                Incarnation incarnation,
                const PoolUse& report);
  // Number of accounts stored, over all senders.
  std::size_t size() const;

 private:
  struct Window {
    std::uint32_t number = 0;
    std::uint16_t answers = 0;
    absl::flat_hash_map<AccountIndex, std::uint16_t> accounts;
  };
  struct Sender {
    TimeUs heard_at = 0;
    TimeUs windows_at = 0;          // When the windows were last changed.
    std::array<Window, 2> windows;  // Newest, the one before.
  };
  // One run of a gateway's process: counts of the next one start at zero.
  using SenderId = std::pair<NodeId, Incarnation>;

  // Returns the sender's window, or null if it is older than both.
  static Window* Find(Sender* sender, std::uint32_t number);
  void Forget(TimeUs now);

  absl::flat_hash_map<SenderId, Sender> senders_;
  TimeUs next_forget_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_POOL_USE_H_
