// Decides by purpose which calls to the platform are made when it is busy, slow
// or down. The calls themselves are made elsewhere.
//
// During an outage many callers ask for the status of lost answers, and some
// repeat it without pause. Without budgets these reads would take the
// connections and the table's rate that claims need. So each purpose has its
// own rate and number of concurrent calls, and calls above them are refused
// before any effect.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_PLATFORM_CLIENT_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_PLATFORM_CLIENT_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "coordination/interface/breaker.h"
#include "state/metrics.h"
#include "state/random.h"
#include "state/store.h"
#include "types.h"

namespace acaciachute {

enum class StorePurpose {
  kClaimWrites,
  kClaimReads,
  kSettings,
  kLeases,
  kHosts
};

struct PurposeRule {
  std::string_view name;
  int per_second;      // Maximum rate of this entry's calls.
  int burst;           // Maximum number of calls saved up while idle.
  int max_concurrent;  // Maximum number of calls in progress.
  // Calls are made also while the platform is down; their sender limits the
  // rate.
  bool allowed_while_down;
};

// Claims are batched before they reach this class, at up to 100 transactions
// per second; the limit is half as much again in case the batching fails.
// Settings are read once a second, also to detect that the platform is back.
// Leases are renewed every few seconds; the host list is read every 10 s.
inline constexpr std::array<PurposeRule, 5> kPurposeRules = {{
    {"claim_writes", 150, 150, 48, false},
    {"claim_reads", 150, 150, 24, false},
    {"settings", 4, 8, 16, true},
    {"leases", 10, 20, 8, true},
    {"hosts", 1, 2, 1, false},
}};
constexpr const PurposeRule& Rule(StorePurpose v) {
  return kPurposeRules[static_cast<std::size_t>(v)];
}

// Returns the purpose of a claim transaction, by its operations.
StorePurpose PurposeOf(const std::vector<StoreOp>& ops);

class PlatformClient {
 public:
  using CallId = std::uint64_t;

  PlatformClient(Random* random, Metrics* metrics);

  // Returns nothing if the call must not be made; the operation then fails with
  // `kUnavailable`, because nothing took effect.
  std::optional<CallId> Start(TimeUs now, StorePurpose purpose);
  void End(TimeUs now, CallId call, StoreStatus status);

  PlatformState state(TimeUs now) const { return breaker_.state(now); }

 private:
  struct Budget {
    double tokens = 0;
    TimeUs filled_at = 0;
    int in_progress = 0;
  };

  bool TakeToken(TimeUs now, StorePurpose purpose);

  Metrics* const metrics_;
  Breaker breaker_;
  std::array<Budget, kPurposeRules.size()> budgets_;
  std::map<CallId, StorePurpose> calls_;
  CallId next_call_ = 1;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_PLATFORM_CLIENT_H_
