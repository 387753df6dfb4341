#include "coordination/admission/account_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

// All accounts have the same weight: the configuration states none.
constexpr double kWeight = 1;

// Time over which the rate of a pool's answers is averaged.
constexpr DurationUs kAnswerWindow = 2 * kSecond;

// Label of the metrics of all accounts without metrics of their own.
constexpr char kOtherAccounts[] = "other";

double Decay(DurationUs age) {
  return std::exp(-static_cast<double>(age) /
                  static_cast<double>(kAnswerWindow));
}

}  // namespace

AccountIndex AccountId(std::string_view name) {
  return static_cast<AccountIndex>(XXH3_64bits(name.data(), name.size()));
}

AccountShares::Pool& AccountShares::PoolNamed(std::string_view name) {
  const auto it = pools_.find(name);
  return it != pools_.end() ? it->second : pools_[std::string(name)];
}

AccountShares::AccountCounts& AccountShares::CountsOf(Pool* pool,
                                                      AccountIndex account,
                                                      std::string_view name) {
  AccountCounts& counts = pool->counts[account];
  if (counts.name.empty()) {
    counts.name = std::string(name);
  }
  return counts;
}

ShareVerdict AccountShares::MayTake(TimeUs now,
                                    std::string_view account,
                                    const std::vector<PoolDemand>& demands) {
  const PoolDemand* scarcest = nullptr;
  for (const PoolDemand& it : demands) {
    if (!it.scarce()) {
      continue;
    }
    Pool& pool = PoolNamed(it.pool);
    pool.judged_at = now;
    SetScarce(now, it.pool, &pool, "own", it.wait);
    if (scarcest == nullptr || it.wait > scarcest->wait) {
      scarcest = &it;
    }
  }
  if (scarcest == nullptr) {
    return {};
  }
  Pool& pool = PoolNamed(scarcest->pool);
  const AccountIndex id = AccountId(account);
  // If no other account has sent requests lately, there is none to protect.
  const bool alone = pool.balances.size() <= 1;
  if (alone || pool.balances.HasCredit(id, kWeight)) {
    return {};
  }
  const double credits = pool.balances.CreditsOf(id);
  if (scarcest->wait <= LongestWait(*scarcest, credits)) {
    return {};
  }
  ++CountsOf(&pool, id, account).refused;
  return {false, scarcest->pool, credits, RetryAfter(now, &pool, id)};
}

// By chance, an account that needs no more than its share has spent its last
// credit now and then, while one that sends far more is deep in debt. The room
// between the two waits goes to the former.
DurationUs AccountShares::LongestWait(const PoolDemand& demand,
                                      double credits) {
  const double debt = std::clamp((1 - credits) / kMaxDebt, 0.0, 1.0);
  const auto room = static_cast<double>(
      std::max<DurationUs>(0, demand.max_wait - demand.scarce_wait));
  return demand.scarce_wait + static_cast<DurationUs>((1 - debt) * room);
}

// Clients of one account that were refused together would return together when
// it has one credit, so each gets the time of a credit of its own.
DurationUs AccountShares::RetryAfter(TimeUs now,
                                     Pool* pool,
                                     AccountIndex account) {
  constexpr auto kWindow = static_cast<double>(kAnswerWindow);
  const double answers = pool->recent_answers * Decay(now - pool->recent_at);
  const double interval = kWindow / std::max(1.0, answers);
  const double until_credit =
      interval * pool->balances.AnswersUntilCredit(account);
  const double between_credits =
      interval * static_cast<double>(pool->balances.size());
  const auto capped = [](double time) {
    constexpr auto kMax = static_cast<double>(ReturnSchedule::kMaxRetryAfter);
    return static_cast<DurationUs>(std::min(time, kMax));
  };
  const auto it = pool->returns.try_emplace(account, random_).first;
  return it->second.Next(now, capped(until_credit),
                         static_cast<double>(capped(between_credits)));
}

void AccountShares::OnAdmitted(TimeUs now,
                               std::string_view account,
                               const std::vector<PoolDemand>& demands) {
  const AccountIndex id = AccountId(account);
  for (const PoolDemand& it : demands) {
    Pool& pool = PoolNamed(it.pool);
    pool.balances.Spend(id, kWeight, pool.scarce);
    if (pool.scarce) {
      pool.own_use.OnAdmitted(now, id);
      ++CountsOf(&pool, id, account).admitted;
    }
  }
}

void AccountShares::AddAnswers(TimeUs now, Pool* pool, std::uint32_t n) {
  for (std::uint32_t it = 0; it < n; ++it) {
    pool->balances.OnAnswer();
  }
  pool->recent_answers =
      pool->recent_answers * Decay(now - pool->recent_at) + n;
  pool->recent_at = now;
}

void AccountShares::OnAnswer(TimeUs now, std::string_view name) {
  Pool& pool = PoolNamed(name);
  AddAnswers(now, &pool, 1);
  if (pool.scarce) {
    pool.own_use.OnAnswer(now);
  }
}

void AccountShares::SetScarce(TimeUs now,
                              std::string_view name,
                              Pool* pool,
                              std::string_view source,
                              DurationUs wait) {
  pool->scarce_at = now;
  if (pool->scarce) {
    return;
  }
  pool->scarce = true;
  pool->scarce_since = now;
  metrics_->SetGauge("acaciachute_gateway_pool_scarce", name, 1);
  log_->Write("pool_scarce", {{"pool", name},
                              {"state", "begins"},
                              {"source", source},
                              {"wait_ms", wait / kMillisecond},
                              {"accounts", pool->balances.size()},
                              {"in_debt", DebtorsOf(*pool)}});
}

void AccountShares::OnTick(TimeUs now) {
  for (auto& [name, pool] : pools_) {
    if (pool.scarce && now - pool.scarce_at > kScarceHold) {
      EndScarcity(now, name, &pool);
    }
  }
}

void AccountShares::EndScarcity(TimeUs now,
                                const std::string& name,
                                Pool* pool) {
  pool->scarce = false;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  for (const auto& [unused, counts] : pool->counts) {
    admitted += counts.admitted;
    refused += counts.refused;
  }
  metrics_->SetGauge("acaciachute_gateway_pool_scarce", name, 0);
  CountInMetrics(*pool);
  log_->Write("pool_scarce",
              {{"pool", name},
               {"state", "ends"},
               {"for_ms", (now - pool->scarce_since) / kMillisecond},
               {"admitted", admitted},
               {"refused", refused},
               {"accounts", pool->balances.size()},
               {"in_debt", DebtorsOf(*pool)}});
  pool->returns.clear();
  pool->counts.clear();
}

std::string AccountShares::DebtorsOf(const Pool& pool) {
  std::string text;
  for (const AccountIndex it : pool.balances.InDebt(kMaxNamedAccounts)) {
    const auto counts = pool.counts.find(it);
    const auto credits = std::lround(pool.balances.CreditsOf(it));
    text += StrCat(
        text.empty() ? "" : " ",
        counts != pool.counts.end() ? counts->second.name : StrCat("#", it),
        ":", credits);
  }
  return text;
}

void AccountShares::CountInMetrics(const Pool& pool) {
  std::vector<std::pair<std::uint64_t, AccountIndex>> heaviest;
  for (const auto& [account, counts] : pool.counts) {
    heaviest.emplace_back(counts.admitted + counts.refused, account);
  }
  std::sort(heaviest.rbegin(), heaviest.rend());
  for (const auto& [unused, account] : heaviest) {
    const AccountCounts& counts = pool.counts.at(account);
    if (named_accounts_.size() < kMaxNamedAccounts) {
      named_accounts_.emplace(account, counts.name);
    }
    const auto it = named_accounts_.find(account);
    const std::string_view label = it != named_accounts_.end()
                                       ? std::string_view(it->second)
                                       : kOtherAccounts;
    metrics_->Count("acaciachute_gateway_scarce_admitted_total", label,
                    counts.admitted);
    metrics_->Count("acaciachute_gateway_over_share_total", label,
                    counts.refused);
  }
}

void AccountShares::BuildReport(TimeUs now) {
  report_.clear();
  report_at_ = now;
  std::vector<std::pair<std::string_view, Pool*>> scarce;
  for (auto& [name, pool] : pools_) {
    if (pool.scarce) {
      scarce.emplace_back(name, &pool);
    }
  }
  if (scarce.empty()) {
    return;
  }
  const auto first = std::find_if(
      scarce.begin(), scarce.end(),
      [this](const auto& it) { return it.first >= next_reported_pool_; });
  std::rotate(scarce.begin(), first, scarce.end());
  next_reported_pool_ =
      std::string(scarce[kMaxReportedPools % scarce.size()].first);
  scarce.resize(std::min(scarce.size(), kMaxReportedPools));
  const std::size_t accounts = kMaxReportedAccounts / scarce.size();
  for (const auto& [name, pool] : scarce) {
    for (PoolUse& it : pool->own_use.Report(now, accounts)) {
      it.pool = std::string(name);
      it.scarce = now - pool->judged_at <= kScarceHold;
      report_.push_back(std::move(it));
    }
  }
}

std::vector<PoolUse> AccountShares::ReportTo(TimeUs now, const NodeId& peer) {
  if (now - report_at_ >= kReportPeriod) {
    BuildReport(now);
  }
  if (report_.empty()) {
    told_at_.clear();
    return {};
  }
  // Heartbeats may be sent more often than what they tell changes.
  const auto [it, is_new] = told_at_.try_emplace(peer, report_at_);
  if (!is_new && it->second == report_at_) {
    return {};
  }
  it->second = report_at_;
  return report_;
}

// Admissions and answers took place side by side. If all of one kind were
// counted first, limits on credits or debts would cut off what the other kind
// makes up for.
void AccountShares::AddNews(TimeUs now,
                            Pool* pool,
                            const PeerPoolUse::News& news) {
  constexpr std::uint32_t kRounds = 8;
  // More admissions than this change no balance any more.
  constexpr auto kMaxSpent =
      static_cast<std::uint32_t>(FairShare::kMaxCredits + kMaxDebt);
  const auto part = [](std::uint32_t n, std::uint32_t round) {
    return n * (round + 1) / kRounds - n * round / kRounds;
  };
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    for (const AccountUse& it : news.admitted) {
      const std::uint32_t spent =
          std::min<std::uint32_t>(it.admitted, kMaxSpent);
      for (std::uint32_t n = part(spent, round); n > 0; --n) {
        pool->balances.Spend(it.account, kWeight, true);
      }
    }
    AddAnswers(now, pool, part(news.answers, round));
  }
}

void AccountShares::OnReport(TimeUs now,
                             const NodeId& from,
                             Incarnation incarnation,
                             const std::vector<PoolUse>& report) {
  for (const PoolUse& use : report) {
    Pool& pool = PoolNamed(use.pool);
    if (use.scarce) {
      SetScarce(now, use.pool, &pool, from, 0);
    }
    AddNews(now, &pool, pool.peer_use.OnReport(now, from, incarnation, use));
  }
}

bool AccountShares::IsScarce(TimeUs now, std::string_view name) const {
  const auto it = pools_.find(name);
  return it != pools_.end() && now - it->second.scarce_at <= kScarceHold;
}

double AccountShares::CreditsOf(std::string_view name,
                                std::string_view account) const {
  const auto it = pools_.find(name);
  return it == pools_.end() ? FairShare::kMaxCredits
                            : it->second.balances.CreditsOf(AccountId(account));
}

}  // namespace acaciachute
