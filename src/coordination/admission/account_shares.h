// Decides whose requests a gateway admits while a pool of replicas is short of
// room.
//
// Without it, every account is refused in proportion to what it sends, and an
// account that sends ten times its share, or whose clients repeat at once,
// takes the room of the others. Each admission spends a credit of its account
// at every pool that the request needs, and each answer of a pool grants one;
// see fair_share.h. While a pool is scarce, a request of an account without a
// credit is refused; the smaller the account's debt, the longer the wait up to
// which it is not. Refusals cost nothing, so repeats gain nothing. While room
// is plentiful, all requests are admitted.
//
// All gateways together have one share for each account: while a pool is
// scarce, each tells the others what it admitted; see pool_use.h.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_ACCOUNT_SHARES_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_ACCOUNT_SHARES_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/admission/fair_share.h"
#include "coordination/admission/pool_use.h"
#include "coordination/admission/return_schedule.h"
#include "messages.h"
#include "state/event_log.h"
#include "state/metrics.h"
#include "state/random.h"
#include "types.h"

namespace acaciachute {

// Identifies an account to all gateways: a hash of its name.
AccountIndex AccountId(std::string_view name);

// What a request needs of a pool.
struct PoolDemand {
  bool scarce() const { return wait > scarce_wait; }

  std::string_view pool;
  DurationUs wait = 0;  // Expected, for this request.
  // Wait above which accounts have to share the pool. It must be long enough to
  // keep the replicas busy while requests behind it are refused.
  DurationUs scarce_wait = 0;
  DurationUs max_wait = 0;  // The longest with which the request is in time.
};

// Whether a request may be admitted. If not, the other members say why.
struct ShareVerdict {
  bool may_take = true;
  std::string_view pool;
  double credits = 0;  // Of the account.
  // Time until the account is expected to have a credit for this request.
  DurationUs retry_after = 0;
};

class AccountShares {
 public:
  // Time for which a pool stays scarce after it was last judged to be.
  static constexpr DurationUs kScarceHold = kSecond;
  // Period at which a gateway tells each other one what it admitted.
  static constexpr DurationUs kReportPeriod = 500 * kMillisecond;
  // Limit on an account's debt. Twice that of one gateway alone: what the
  // others admitted becomes known in parts, each of which may exceed what an
  // account has.
  static constexpr double kMaxDebt = 2 * FairShare::kMaxDebt;
  // Limits on one report.
  static constexpr std::size_t kMaxReportedAccounts = 16;
  static constexpr std::size_t kMaxReportedPools = 4;
  // Number of accounts that log lines and metrics name.
  static constexpr std::size_t kMaxNamedAccounts = 16;

  AccountShares(Random* random, Metrics* metrics, EventLog* log)
      : random_(random), metrics_(metrics), log_(log) {}

  // Whether the account may take room of all pools. The scarce pool with the
  // longest wait decides.
  ShareVerdict MayTake(TimeUs now,
                       std::string_view account,
                       const std::vector<PoolDemand>& demands);
  // A request was admitted, or begins after it was parked.
  void OnAdmitted(TimeUs now,
                  std::string_view account,
                  const std::vector<PoolDemand>& demands);
  // The pool has done its part of one request of any account.
  void OnAnswer(TimeUs now, std::string_view pool);
  // Ends the scarcity of pools; call it every 10 ms.
  void OnTick(TimeUs now);

  // What to tell `peer` in a heartbeat that is sent now; empty unless a pool is
  // scarce.
  std::vector<PoolUse> ReportTo(TimeUs now, const NodeId& peer);
  void OnReport(TimeUs now,
                const NodeId& from,
                Incarnation incarnation,
                const std::vector<PoolUse>& report);

  bool IsScarce(TimeUs now, std::string_view pool) const;
  double CreditsOf(std::string_view pool, std::string_view account) const;

 private:
  // Use of a scarce pool by one account through this gateway.
  struct AccountCounts {
    std::string name;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };
  struct Pool {
    FairShare balances{kMaxDebt};
    OwnPoolUse own_use;
    PeerPoolUse peer_use;
    // When the pool was last judged to be scarce, by this gateway or by any.
    TimeUs judged_at = -kScarceHold;
    TimeUs scarce_at = -kScarceHold;
    TimeUs scarce_since = 0;
    bool scarce = false;  // Logged as scarce.
    // Answers, over all gateways, that decay with `kAnswerWindow`.
    double recent_answers = 0;
    TimeUs recent_at = 0;
    absl::flat_hash_map<AccountIndex, ReturnSchedule> returns;
    absl::flat_hash_map<AccountIndex, AccountCounts> counts;
  };

  Pool& PoolNamed(std::string_view name);
  void SetScarce(TimeUs now,
                 std::string_view name,
                 Pool* pool,
                 std::string_view source,
                 DurationUs wait);
  void EndScarcity(TimeUs now, const std::string& name, Pool* pool);
  // Passes counts of the heaviest accounts on to the metrics.
  void CountInMetrics(const Pool& pool);
  // The longest wait behind which an account with these credits is admitted.
  static DurationUs LongestWait(const PoolDemand& demand, double credits);
  static AccountCounts& CountsOf(Pool* pool,
                                 AccountIndex account,
                                 std::string_view name);
  static std::string DebtorsOf(const Pool& pool);
  static void AddAnswers(TimeUs now, Pool* pool, std::uint32_t n);
  static void AddNews(TimeUs now, Pool* pool, const PeerPoolUse::News& news);
  DurationUs RetryAfter(TimeUs now, Pool* pool, AccountIndex account);
  void BuildReport(TimeUs now);

  Random* const random_;
  Metrics* const metrics_;
  EventLog* const log_;
  // Pools are never removed: they are services of the configuration.
  std::map<std::string, Pool, std::less<>> pools_;
  // The accounts that have metrics of their own.
  std::map<AccountIndex, std::string> named_accounts_;
  std::vector<PoolUse> report_;
  TimeUs report_at_ = -kReportPeriod;
  // The pool after the last one in `report_`, which the next one begins with.
  std::string next_reported_pool_;
  std::map<NodeId, TimeUs> told_at_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_ACCOUNT_SHARES_H_
