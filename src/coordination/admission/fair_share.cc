#include "coordination/admission/fair_share.h"

#include <algorithm>
#include <utility>

namespace acaciachute {
namespace {

// Minimum number of answers between two sweeps, which remove accounts whose
// credits have reached the maximum. The interval grows with the number of
// accounts, so that sweeps cost a few operations per answer.
constexpr std::size_t kMinAnswersPerSweep = 16;

}  // namespace

double FairShare::CurrentCredits(const Balance& balance) const {
  return std::min(
      kMaxCredits,
      balance.credits +
          balance.weight * (granted_per_weight_ - balance.granted_at_refresh));
}

void FairShare::RefreshCredits(Balance* balance) const {
  balance->credits = CurrentCredits(*balance);
  balance->granted_at_refresh = granted_per_weight_;
}

bool FairShare::HasCredit(AccountIndex account, double weight) {
  const auto it = below_max_credits_.find(account);
  if (it == below_max_credits_.end()) {
    return true;
  }
  RefreshCredits(&it->second);
  return it->second.credits >= 1;
}

void FairShare::Spend(AccountIndex account, double weight, bool full) {
  const auto [it, is_new] = below_max_credits_.try_emplace(account);
  Balance& balance = it->second;
  if (is_new) {
    balance.weight = weight;
    balance.granted_at_refresh = granted_per_weight_;
    total_weight_ += weight;
  }
  RefreshCredits(&balance);
  const double floor =
      full ? -max_debt_ : std::min(kMinUncontendedCredits, balance.credits);
  balance.credits = std::max(floor, balance.credits - 1);
}

void FairShare::OnAnswer() {
  if (below_max_credits_.empty()) {
    return;
  }
  granted_per_weight_ += 1 / total_weight_;
  if (answers_until_sweep_ == 0) {
    Sweep();
    answers_until_sweep_ =
        std::max(kMinAnswersPerSweep, below_max_credits_.size() / 4);
  }
  --answers_until_sweep_;
}

double FairShare::CreditsOf(AccountIndex account) const {
  const auto it = below_max_credits_.find(account);
  return it == below_max_credits_.end() ? kMaxCredits
                                        : CurrentCredits(it->second);
}

double FairShare::AnswersUntilCredit(AccountIndex account) const {
  const auto it = below_max_credits_.find(account);
  if (it == below_max_credits_.end()) {
    return 0;
  }
  const double missing = std::max(0.0, 1 - CurrentCredits(it->second));
  return missing * total_weight_ / it->second.weight;
}

std::vector<AccountIndex> FairShare::InDebt(std::size_t count) const {
  std::vector<std::pair<double, AccountIndex>> debts;
  for (const auto& [account, balance] : below_max_credits_) {
    const double credits = CurrentCredits(balance);
    if (credits < 0) {
      debts.emplace_back(credits, account);
    }
  }
  std::sort(debts.begin(), debts.end());
  debts.resize(std::min(count, debts.size()));
  std::vector<AccountIndex> accounts;
  accounts.reserve(debts.size());
  for (const auto& [unused, account] : debts) {
    accounts.push_back(account);
  }
  return accounts;
}

void FairShare::Sweep() {
  double weight = 0;
  for (auto& [unused, balance] : below_max_credits_) {
    RefreshCredits(&balance);
  }
  absl::erase_if(below_max_credits_, [](const auto& it) {
    return it.second.credits >= kMaxCredits;
  });
  for (const auto& [unused, balance] : below_max_credits_) {
    weight += balance.weight;
  }
  total_weight_ = weight;
}

}  // namespace acaciachute
