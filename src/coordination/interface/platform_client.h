// Which calls of the platform are made, by purpose, when it is busy, slow or
// down. The calls themselves are made elsewhere.
//
// Load pattern: many callers ask for the status of lost answers during an
// outage, and a hot one never stops. Without budgets these reads take the
// connections, and the table's rate, that claims need. Each purpose has its own
// rate and its own places, and what is above them is refused before any effect.
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
  int per_second;     // Calls of this entry.
  int burst;          // Saved up while idle.
  int side_by_side;   // Calls in progress at once.
  bool through_down;  // Made while the platform is down; paced by its owner.
};

// Claims are grouped before they come here and keep to 100 transactions a
// second; half as much again is the bound should that fail. Settings are read
// once a second and tell when the platform is back. Leases are renewed every
// few seconds; the host list is read each ten.
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

// What a claim transaction is for, by its steps.
StorePurpose PurposeOf(const std::vector<StoreOp>& ops);

class PlatformClient {
 public:
  using CallId = std::uint64_t;

  PlatformClient(Random* random, Metrics* metrics);

  // Nothing when the call is not to be made: it then has `kUnavailable`,
  // because nothing took effect.
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
