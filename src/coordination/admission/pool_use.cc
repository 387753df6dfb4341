#include "coordination/admission/pool_use.h"

#include <algorithm>
#include <limits>

namespace acaciachute {
namespace {

// Time without a report after which a sender is forgotten; longer than a
// datagram may be in transit, so that an old one does not count again.
constexpr DurationUs kSenderTimeout = 60 * kSecond;

void Increment(std::uint16_t* count) {
  if (*count < std::numeric_limits<std::uint16_t>::max()) {
    ++*count;
  }
}

}  // namespace

OwnPoolUse::Window& OwnPoolUse::Current(TimeUs now) {
  const auto number = static_cast<std::uint32_t>(now / kWindow);
  if (windows_[0].number != number) {
    windows_[1] = std::move(windows_[0]);
    windows_[0] = {number, 0, {}};
  }
  if (windows_[1].number + 1 != number) {
    windows_[1] = {};
  }
  return windows_[0];
}

void OwnPoolUse::OnAdmitted(TimeUs now, AccountIndex account) {
  Increment(&Current(now).accounts[account].admitted);
}

void OwnPoolUse::OnAnswer(TimeUs now) {
  Increment(&Current(now).answers);
}

std::vector<PoolUse> OwnPoolUse::Report(TimeUs now, std::size_t max_accounts) {
  Current(now);
  ++reports_;
  struct Candidate {
    std::size_t window;
    AccountIndex account;
    Count* count;
  };
  std::vector<Candidate> candidates;
  for (std::size_t n = 0; n < windows_.size(); ++n) {
    for (auto& [account, count] : windows_[n].accounts) {
      candidates.push_back({n, account, &count});
    }
  }
  const std::size_t told = std::min(max_accounts, candidates.size());
  const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(told);
  std::partial_sort(candidates.begin(), middle, candidates.end(),
                    [](const Candidate& a, const Candidate& b) {
                      const int untold_a = a.count->admitted - a.count->told;
                      const int untold_b = b.count->admitted - b.count->told;
                      return std::pair(-untold_a, a.count->told_in) <
                             std::pair(-untold_b, b.count->told_in);
                    });
  std::array<PoolUse, 2> uses;
  for (std::size_t n = 0; n < windows_.size(); ++n) {
    uses[n].window = windows_[n].number;
    uses[n].answers = windows_[n].answers;
  }
  for (auto it = candidates.begin(); it != middle; ++it) {
    it->count->told = it->count->admitted;
    it->count->told_in = reports_;
    uses[it->window].accounts.push_back({it->account, it->count->admitted});
  }
  std::vector<PoolUse> report = {std::move(uses[0])};
  if (uses[1].answers > 0 || !uses[1].accounts.empty()) {
    report.push_back(std::move(uses[1]));
  }
  return report;
}

PeerPoolUse::Window* PeerPoolUse::Find(Sender* sender, std::uint32_t number) {
  auto& [newest, before] = sender->windows;
  if (number > newest.number) {
    before = newest.number + 1 == number ? std::move(newest) : Window{};
    before.number = number - 1;
    newest = {number, 0, {}};
    return &newest;
  }
  if (number == newest.number) {
    return &newest;
  }
  return number == before.number ? &before : nullptr;
}

PeerPoolUse::News PeerPoolUse::OnReport(TimeUs now,
                                        const NodeId& from,
                                        Incarnation incarnation,
                                        const PoolUse& report) {
  Forget(now);
  Sender& sender = senders_[{from, incarnation}];
  Window* window = Find(&sender, report.window);
  News news;
  if (window == nullptr) {
    return news;
  }
  sender.heard_at = now;
  sender.windows_at = now;
  if (report.answers > window->answers) {
    news.answers = static_cast<std::uint16_t>(report.answers - window->answers);
    window->answers = report.answers;
  }
  for (const AccountUse& it : report.accounts) {
    std::uint16_t& known = window->accounts[it.account];
    if (it.admitted > known) {
      news.admitted.push_back(
          {it.account, static_cast<std::uint16_t>(it.admitted - known)});
      known = it.admitted;
    }
  }
  return news;
}

void PeerPoolUse::Forget(TimeUs now) {
  if (now < next_forget_at_) {
    return;
  }
  next_forget_at_ = now + OwnPoolUse::kWindow;
  absl::erase_if(senders_, [now](const auto& it) {
    return now - it.second.heard_at > kSenderTimeout;
  });
  for (auto& [unused, sender] : senders_) {
    if (now - sender.windows_at > 2 * OwnPoolUse::kWindow) {
      // The sender's clock is two windows further. Reports of the windows that
      // are forgotten here are recognized as old by their numbers.
      auto& [newest, before] = sender.windows;
      newest = {newest.number + 2, 0, {}};
      before = {newest.number - 1, 0, {}};
      sender.windows_at = now;
    }
  }
}

std::size_t PeerPoolUse::size() const {
  std::size_t n = 0;
  for (const auto& [unused, sender] : senders_) {
    for (const Window& it : sender.windows) {
      n += it.accounts.size();
    }
  }
  return n;
}

}  // namespace acaciachute
