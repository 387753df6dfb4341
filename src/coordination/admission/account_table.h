// Maps account names to dense numbers, so that counts by account are small maps
// keyed by integers.
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
  // Applies the account shares of `settings`. An account keeps its number.
  void Apply(const Settings& settings) {
    for (const auto& [unused, branch] : settings.branches()) {
      for (const auto& [name, account] : branch.accounts) {
        weights_[IndexOf(name)] = account.share;
      }
    }
  }
  // Returns the number of an account, assigning one if necessary. An account
  // that no settings branch defines has a share of one.
  AccountIndex IndexOf(std::string_view name) {
    const auto it = indices_.find({name.data(), name.size()});
    if (it != indices_.end()) {
      return it->second;
    }
    weights_.push_back(1);
    const auto n = static_cast<AccountIndex>(indices_.size());
    indices_.emplace(name, n);
    return n;
  }
  double WeightOf(AccountIndex account) const { return weights_[account]; }

 private:
  absl::flat_hash_map<std::string, AccountIndex> indices_;
  std::vector<double> weights_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_ACCOUNT_TABLE_H_
