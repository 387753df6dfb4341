#include "coordination/admission/fair_share.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Answers between two looks for accounts that are at their cap again; a share
// of the accounts, so that the looks cost a few operations an answer.
constexpr std::size_t kLeastSweep = 16;

}  // namespace

void FairShare::Refresh(Balance* balance) const {
  balance->credits = std::min(
      kCap, balance->credits + balance->weight * (granted_ - balance->seen));
  balance->seen = granted_;
}

bool FairShare::HasCredit(AccountIndex account, double weight) {
  const auto it = below_cap_.find(account);
  if (it == below_cap_.end()) {
    return true;
  }
  Refresh(&it->second);
  return it->second.credits >= 1;
}

void FairShare::Spend(AccountIndex account, double weight, bool full) {
  const auto [it, is_new] = below_cap_.try_emplace(account);
  Balance& balance = it->second;
  if (is_new) {
    balance.weight = weight;
    balance.seen = granted_;
    weight_ += weight;
  }
  Refresh(&balance);
  const double floor = full ? -kDebt : std::min(kRoom, balance.credits);
  balance.credits = std::max(floor, balance.credits - 1);
}

void FairShare::OnAnswer() {
  if (below_cap_.empty()) {
    return;
  }
  granted_ += 1 / weight_;
  if (answers_until_sweep_ == 0) {
    Sweep();
    answers_until_sweep_ = std::max(kLeastSweep, below_cap_.size() / 4);
  }
  --answers_until_sweep_;
}

void FairShare::Sweep() {
  double weight = 0;
  for (auto& [unused, balance] : below_cap_) {
    Refresh(&balance);
  }
  absl::erase_if(below_cap_,
                 [](const auto& it) { return it.second.credits >= kCap; });
  for (const auto& [unused, balance] : below_cap_) {
    weight += balance.weight;
  }
  weight_ = weight;
}

}  // namespace acaciachute
