#include "coordination/choice/rate_loan_exchange.h"

#include <algorithm>
#include <utility>

namespace acaciachute {
namespace {

constexpr char kTurnsMetric[] = "acaciachute_gateway_rate_turns_total";

}  // namespace

void RateLoanExchange::LogNeed(const ReplicaId& replica, bool needed) {
  log_->Write("rate_need", {{"replica", replica.name},
                            {"life", replica.incarnation},
                            {"needed", needed}});
}

void RateLoanExchange::OnShort(TimeUs now,
                               const ReplicaId& replica,
                               double part) {
  const auto most = static_cast<double>(limiter_->MaxStatedRequests(replica));
  if (most == 0) {
    return;
  }
  asks_soon_ = asks_soon_ || needs_.empty();
  const auto [it, is_new] = needs_.try_emplace(replica);
  it->second.needed_at = now;
  it->second.stock = std::min(it->second.stock + part, most);
  if (is_new) {
    LogNeed(replica, true);
  }
}

bool RateLoanExchange::Needs(const ReplicaId& replica) const {
  const auto it = needs_.find(replica);
  return it != needs_.end() && it->second.stock >= 1;
}

void RateLoanExchange::UpdateNeed(TimeUs now,
                                  const ReplicaId& replica,
                                  Need* need,
                                  Returns* returns) {
  limiter_->CountFreeTurns(now, replica);  // Finds those that expired.
  const RateLoans::Outcome outcome = limiter_->loans().TakeOutcome(replica);
  if (outcome.used > 0) {
    need->needed_at = now;
    metrics_->Count(kTurnsMetric, "used", outcome.used);
  }
  for (const RateLoans::UnusedTurns& it : outcome.expired) {
    need->stock = std::max(0.0, need->stock - static_cast<double>(it.count));
    metrics_->Count(kTurnsMetric, "expired", it.count);
    RateLoanReturn& message = (*returns)[{it.loan.peer, it.loan.asked_at}];
    message.asked_at = it.loan.asked_at;
    message.unused.push_back({replica.name, replica.incarnation,
                              static_cast<std::uint32_t>(it.count)});
  }
}

void RateLoanExchange::UpdateNeeds(TimeUs now) {
  Returns returns;
  for (auto it = needs_.begin(); it != needs_.end();) {
    auto& [replica, need] = *it;
    UpdateNeed(now, replica, &need, &returns);
    const bool ended = now - need.needed_at >= kNeedTime ||
                       limiter_->MaxStatedRequests(replica) == 0;
    if (ended) {
      LogNeed(replica, false);
      it = needs_.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& [loan, message] : returns) {
    output_->SendLoanMessage(loan.first, message);
  }
}

// Begins after the replica that was asked for last.
std::vector<RateTurns> RateLoanExchange::Missing(TimeUs now, std::size_t most) {
  std::vector<RateTurns> missing;
  auto it = needs_.upper_bound(last_replica_);
  for (std::size_t n = 0; n < needs_.size(); ++n, ++it) {
    if (it == needs_.end()) {
      it = needs_.begin();
    }
    const auto& [replica, need] = *it;
    const std::size_t free = limiter_->CountFreeTurns(now, replica);
    if (free >= need.stock || missing.size() == most) {
      continue;
    }
    last_replica_ = replica;
    missing.push_back({replica.name, replica.incarnation,
                       static_cast<std::uint32_t>(need.stock - free)});
  }
  return missing;
}

std::vector<NodeId> RateLoanExchange::NextLenders() {
  const std::vector<NodeId> all = output_->PossibleLenders();
  std::vector<NodeId> next;
  for (std::size_t n = 0; n < std::min(all.size(), kMaxAsked); ++n) {
    next.push_back(all[next_lender_++ % all.size()]);
  }
  return next;
}

void RateLoanExchange::OnTick(TimeUs now) {
  while (!rounds_.empty() &&
         now - rounds_.front().asked_at >= RateLoans::kLoanTime) {
    rounds_.pop_front();
  }
  if (needs_.empty() || now < next_ask_at_) {
    return;
  }
  UpdateNeeds(now);
  next_ask_at_ = now + kAskInterval;
  Round round = {now, NextLenders()};
  if (round.unanswered.empty()) {
    return;
  }
  RateLoanRequest request = {
      now, Missing(now, kMaxPerRound / round.unanswered.size())};
  if (request.wanted.empty()) {
    return;
  }
  ask_interval_ = std::exchange(asks_soon_, false)
                      ? kAskInterval
                      : std::min(2 * ask_interval_, kMaxAskInterval);
  next_ask_at_ = now + ask_interval_;
  const auto lenders = static_cast<std::uint32_t>(round.unanswered.size());
  for (RateTurns& it : request.wanted) {
    it.count = (it.count + lenders - 1) / lenders;
  }
  for (const NodeId& it : round.unanswered) {
    output_->SendLoanMessage(it, request);
  }
  rounds_.push_back(std::move(round));
}

void RateLoanExchange::OnRequest(TimeUs now,
                                 const NodeId& from,
                                 const RateLoanRequest& request) {
  RateLoan loan = {request.asked_at, {}};
  for (RateTurns it : request.wanted) {
    const ReplicaId replica = {it.replica, it.incarnation};
    if (loan.lent.size() == kMaxPerLoan || needs_.contains(replica)) {
      continue;
    }
    it.count = static_cast<std::uint32_t>(
        limiter_->Lend(now, replica, {from, request.asked_at}, it.count));
    if (it.count > 0) {
      metrics_->Count(kTurnsMetric, "lent", it.count);
      loan.lent.push_back(std::move(it));
    }
  }
  if (!loan.lent.empty()) {
    output_->SendLoanMessage(from, loan);
  }
}

// A datagram may arrive twice, and after the loan has expired.
void RateLoanExchange::OnLoan(TimeUs now,
                              const NodeId& from,
                              const RateLoan& loan) {
  const auto round = std::find_if(
      rounds_.begin(), rounds_.end(),
      [&](const Round& it) { return it.asked_at == loan.asked_at; });
  if (round == rounds_.end() || now - round->asked_at >= RateLoans::kLoanTime ||
      std::erase(round->unanswered, from) == 0) {
    metrics_->Count("acaciachute_gateway_rate_loans_ignored_total");
    return;
  }
  asks_soon_ = true;
  for (const RateTurns& it : loan.lent) {
    metrics_->Count(kTurnsMetric, "borrowed", it.count);
    limiter_->Borrow({it.replica, it.incarnation}, {from, loan.asked_at},
                     it.count);
  }
}

void RateLoanExchange::OnReturn(const NodeId& from,
                                const RateLoanReturn& unused) {
  for (const RateTurns& it : unused.unused) {
    limiter_->loans().OnReturned({it.replica, it.incarnation},
                                 {{from, unused.asked_at}, it.count});
  }
}

}  // namespace acaciachute
