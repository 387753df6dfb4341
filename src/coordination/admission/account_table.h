// Dense numbers for account names, so that counts by account are small maps of
// integers.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_ACCOUNT_TABLE_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_ACCOUNT_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/admission/fair_share.h"
#include "state/settings.h"

namespace acaciachute {

class AccountTable {
 public:
  // Takes the shares of `settings`; a number, once given, stays.
  void Apply(const Settings& settings) {
    for (const auto& [unused, branch] : settings.branches()) {
      for (const auto& [name, account] : branch.accounts) {
        weights_[IndexOf(name)] = account.share;
      }
    }
  }
  // An account that no branch defines gets a share of one.
  AccountIndex IndexOf(std::string_view name) {
    const auto it = numbers_.find({name.data(), name.size()});
    if (it != numbers_.end()) {
      return it->second;
    }
    weights_.push_back(1);
    const auto n = static_cast<AccountIndex>(numbers_.size());
    numbers_.emplace(name, n);
    return n;
  }
  double WeightOf(AccountIndex account) const { return weights_[account]; }

 private:
  absl::flat_hash_map<std::string, AccountIndex> numbers_;
  std::vector<double> weights_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_ACCOUNT_TABLE_H_
