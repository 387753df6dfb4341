// Whose requests are taken while a pool is full.
//
// Load pattern: one account sends ten times its share. Without shares every
// account is refused as often as it is, and a queue in order of arrival serves
// whoever sends most. Here each answer of the pool gives one credit, split by
// weight among the accounts that are below their cap; while the pool is full, a
// request needs a credit. Credits come as fast as the pool works, so what is
// taken never outgrows it, whatever the rate is; an account that asks for less
// than its share stays at its cap and leaves its part to the others (deficit
// round robin, Shreedhar and Varghese 1995, with refusal in place of a queue).
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_FAIR_SHARE_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_FAIR_SHARE_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"

namespace acaciachute {

// Dense number of an account, given by `AccountTable`.
using AccountIndex = std::uint32_t;

class FairShare {
 public:
  // Requests an account may be ahead of its share. Two or three seconds of a
  // small account's requests at today's rates, so that their randomness alone
  // refuses none.
  static constexpr double kCap = 8;
  // Requests an account may be behind, taken while there was room or as urgent
  // work: it pays them back first when the pool is full, but no further back
  // than about a second of a large account's answers.
  static constexpr double kDebt = 16;

  // While there is room credits only say who asked lately; an account may not
  // come out of that in debt, or chance would refuse small ones first.
  static constexpr double kRoom = kCap / 2;

  bool HasCredit(AccountIndex account, double weight);
  // A request of the account was taken, on credit or not. While the pool has
  // room, nobody falls below `kRoom`.
  void Spend(AccountIndex account, double weight, bool full);
  // The pool answered one request of any account.
  void OnAnswer();

  // Accounts below their cap, the only ones that take memory.
  std::size_t size() const { return below_cap_.size(); }

 private:
  struct Balance {
    double credits = kCap;
    double seen = 0;  // `granted_` when `credits` was true.
    double weight = 1;
  };
  using Balances = absl::flat_hash_map<AccountIndex, Balance>;

  void Refresh(Balance* balance) const;
  void Sweep();

  Balances below_cap_;
  double weight_ = 0;   // Of accounts below their cap.
  double granted_ = 0;  // Credits given so far to an account of weight one.
  std::size_t answers_until_sweep_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_FAIR_SHARE_H_
