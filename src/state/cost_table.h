// What requests have cost, by event, account and pool.
#ifndef ACACIACHUTE_SRC_STATE_COST_TABLE_H_
#define ACACIACHUTE_SRC_STATE_COST_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "types.h"

namespace acaciachute {

struct CostSum {
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  DurationUs service = 0;  // Upstream time.
};

class CostTable {
 public:
  using Key = std::tuple<std::string, std::string, std::string>;
  // Rows kept apart; further accounts are counted together under
  // `kOtherAccounts`, so that 33,000 accounts do not fill an entry's memory.
  static constexpr std::size_t kMostRows = 4096;
  static constexpr char kOtherAccounts[] = "(others)";

  void Add(const std::string& event,
           const std::string& account,
           const std::string& pool,
           std::uint32_t attempts,
           DurationUs service) {
    Key key{event, account, pool};
    if (rows_.size() >= kMostRows && !rows_.contains(key)) {
      std::get<1>(key) = kOtherAccounts;
    }
    CostSum& sum = rows_[key];
    ++sum.requests;
    sum.attempts += attempts;
    sum.service += service;
  }

  const std::map<Key, CostSum>& rows() const { return rows_; }

 private:
  std::map<Key, CostSum> rows_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_COST_TABLE_H_
