// Divides a pool among client accounts while it is full.
//
// If one account sends ten times its share, without this safeguard every other
// account would be refused as often as it is, and a queue in order of arrival
// would favor the accounts that send most. Each answer of the pool grants one
// credit, divided by weight among the accounts below `kMaxCredits`; while the
// pool is full, a request needs a credit. Credits are granted at the rate at
// which the pool works, so the admitted requests never exceed its capacity,
// whatever that is. An account that needs less than its share stays at the
// maximum and leaves its part to the others (deficit round robin, Shreedhar and
// Varghese 1995, with refusals in place of a queue).
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_FAIR_SHARE_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_FAIR_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace acaciachute {

// Number of an account, by `AccountTable` or, where several processes have to
// mean the same account, by `AccountId`.
using AccountIndex = std::uint32_t;

class FairShare {
 public:
  // Limit on the credits of an account, that is, on the requests by which it
  // may exceed its share. Equals two or three seconds of a small account's
  // requests at present rates, so that random variation alone does not cause
  // refusals.
  static constexpr double kMaxCredits = 8;
  // Limit on an account's debt: requests, such as urgent ones, that were
  // admitted without a credit while the pool was full. The account has to earn
  // these credits again first. The limit equals about a second of a large
  // account's answers.
  static constexpr double kMaxDebt = 16;

  // Balance below which requests do not take an account while the pool is not
  // full. While it is not full, credits only record which accounts sent
  // requests recently. An account must not be in debt because of these requests
  // when the pool becomes full, because small accounts would then be refused by
  // chance.
  static constexpr double kMinUncontendedCredits = kMaxCredits / 2;

  // `max_debt`: see `kMaxDebt`.
  explicit FairShare(double max_debt = kMaxDebt) : max_debt_(max_debt) {}

  // Whether the account may send a request while the pool is full.
  bool HasCredit(AccountIndex account, double weight);
  // A request of the account was admitted, with or without a credit. If the
  // pool is not `full`, this does not take the account below
  // `kMinUncontendedCredits`.
  void Spend(AccountIndex account, double weight, bool full);
  // The pool answered one request of any account.
  void OnAnswer();

  // Credits of the account; negative while it is in debt.
  double CreditsOf(AccountIndex account) const;
  // Number of answers of the pool until the account has a credit.
  double AnswersUntilCredit(AccountIndex account) const;
  // Accounts in debt, the largest debt first, at most `count`.
  std::vector<AccountIndex> InDebt(std::size_t count) const;

  // Number of accounts below `kMaxCredits`; only these are stored.
  std::size_t size() const { return below_max_credits_.size(); }

 private:
  struct Balance {
    double credits = kMaxCredits;
    // Value of `granted_per_weight_` at the last refresh of `credits`.
    double granted_at_refresh = 0;
    double weight = 1;
  };
  using Balances = absl::flat_hash_map<AccountIndex, Balance>;

  // Credits including those granted since the last refresh.
  double CurrentCredits(const Balance& balance) const;
  void RefreshCredits(Balance* balance) const;
  // Removes the accounts whose credits have reached the maximum.
  void Sweep();

  double max_debt_;
  Balances below_max_credits_;
  // Sum over the stored accounts.
  double total_weight_ = 0;
  // Credits granted so far to an account of weight one.
  double granted_per_weight_ = 0;
  std::size_t answers_until_sweep_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_FAIR_SHARE_H_
