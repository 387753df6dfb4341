// Accumulated cost of requests by event, account and pool.
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
  DurationUs service = 0;  // Time that upstreams spent on the requests.
};

class CostTable {
 public:
  using Key = std::tuple<std::string, std::string, std::string>;
  // Limits an entry's memory: there may be 33,000 accounts. Once the table has
  // this many rows, accounts without a row are summed under `kOtherAccounts`.
  static constexpr std::size_t kMaxRows = 4096;
  static constexpr char kOtherAccounts[] = "(others)";

  void Add(const std::string& event,
           const std::string& account,
           const std::string& pool,
           std::uint32_t attempts,
           DurationUs service) {
    Key key{event, account, pool};
    if (rows_.size() >= kMaxRows && !rows_.contains(key)) {
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
