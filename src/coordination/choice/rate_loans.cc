#include "coordination/choice/rate_loans.h"

#include <algorithm>
#include <utility>

namespace acaciachute {

RateLoans::Loans* RateLoans::Find(const ReplicaId& replica) {
  if (by_replica_.empty()) {
    return nullptr;  // Fast path: called for every limited replica.
  }
  const auto it = by_replica_.find(replica);
  return it == by_replica_.end() ? nullptr : &it->second;
}

void RateLoans::OnLent(TimeUs now,
                       const ReplicaId& replica,
                       const LoanId& loan,
                       std::size_t n,
                       DurationUs window) {
  const Lent lent = {loan, now + kMaxArrivalDelay + window, n};
  auto& all = by_replica_[replica].lent;
  // The window changes with the stated limit.
  const auto after = std::upper_bound(
      all.begin(), all.end(), lent,
      [](const Lent& a, const Lent& b) { return a.until < b.until; });
  all.insert(after, lent);
}

void RateLoans::OnReturned(const ReplicaId& replica,
                           const UnusedTurns& unused) {
  Loans* loans = Find(replica);
  if (loans == nullptr) {
    return;
  }
  for (Lent& it : loans->lent) {
    if (it.loan == unused.loan && !std::exchange(it.returned, true)) {
      it.count -= std::min(it.count, unused.count);
    }
  }
}

std::size_t RateLoans::CountLent(TimeUs now, const ReplicaId& replica) {
  Loans* loans = Find(replica);
  if (loans == nullptr) {
    return 0;
  }
  while (!loans->lent.empty() && loans->lent.front().until <= now) {
    loans->lent.pop_front();
  }
  std::size_t count = 0;
  for (const Lent& it : loans->lent) {
    count += it.count;
  }
  return count;
}

std::vector<TimeUs> RateLoans::ReturnTimes(TimeUs now,
                                           const ReplicaId& replica) {
  std::vector<TimeUs> times;
  if (CountLent(now, replica) > 0) {
    for (const Lent& it : Find(replica)->lent) {
      times.insert(times.end(), it.count, it.until);
    }
  }
  return times;
}

void RateLoans::OnBorrowed(const ReplicaId& replica,
                           const LoanId& loan,
                           std::size_t n,
                           DurationUs window) {
  by_replica_[replica].borrowed.push_back(
      {loan, loan.asked_at + kLoanTime,
       loan.asked_at + kMaxArrivalDelay + window, n, 0});
}

std::size_t RateLoans::CountUnused(TimeUs now,
                                   const ReplicaId& replica,
                                   std::size_t excess) {
  Loans* loans = Find(replica);
  if (loans == nullptr) {
    return 0;
  }
  std::size_t used = 0;
  for (const Borrowed& it : loans->borrowed) {
    used += it.used;
  }
  std::size_t gone = used - std::min(used, excess);
  std::size_t to_use = excess - std::min(excess, used);
  std::size_t unused = 0;
  for (Borrowed& it : loans->borrowed) {
    const std::size_t dropped = std::min(gone, it.used);
    gone -= dropped;
    it.used -= dropped;
    const std::size_t taken = std::min(to_use, it.unused);
    to_use -= taken;
    it.used += taken;
    it.unused -= taken;
    loans->outcome.used += taken;
    if (it.expires_at <= now && it.unused > 0) {
      loans->outcome.expired.push_back({it.loan, std::exchange(it.unused, 0)});
    }
    unused += it.unused;
  }
  std::erase_if(loans->borrowed, [&](const Borrowed& it) {
    return it.until <= now || it.unused + it.used == 0;
  });
  return unused;
}

RateLoans::Outcome RateLoans::TakeOutcome(const ReplicaId& replica) {
  Loans* loans = Find(replica);
  return loans == nullptr ? Outcome() : std::exchange(loans->outcome, {});
}

}  // namespace acaciachute
