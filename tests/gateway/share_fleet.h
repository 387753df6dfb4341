// Gateways that admit the requests of client accounts to one pool by
// `AccountShares`, in virtual time: the pool serves the most urgent request
// first, gateways see its queue as it was a moment ago, and heartbeats between
// them are delayed and may be lost.
#ifndef ACACIACHUTE_TESTS_GATEWAY_SHARE_FLEET_H_
#define ACACIACHUTE_TESTS_GATEWAY_SHARE_FLEET_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/admission/account_shares.h"
#include "tests/gateway/quiet_log.h"

namespace acaciachute {

class ShareFleet {
 public:
  static constexpr DurationUs kTick = 2 * kMillisecond;
  // Time that a request can wait and still meet its target.
  static constexpr DurationUs kSpareTime = kSecond;
  // Wait above which the pool is scarce.
  static constexpr DurationUs kScarceWait = kSpareTime / 2;

  struct Account {
    double per_second = 0;
    double urgent_share = 0;
    int repeats = 0;  // How often a refused request is repeated at once.
    // Results; repeats count as requests of their own.
    std::uint64_t first_tries = 0;
    std::uint64_t served = 0;  // Distinct requests.
    std::uint64_t urgent_tries = 0;
    std::uint64_t urgent_served = 0;
  };

  ShareFleet(std::size_t gateways, double capacity, std::uint64_t seed)
      : capacity_(capacity), random_(seed) {
    for (std::size_t n = 0; n < gateways; ++n) {
      nodes_.push_back(std::make_unique<Node>());
      Restart(n);
    }
  }

  // Accounts with equal load, and one with more.
  void SetLoad(std::size_t others, double others_total, double hot) {
    accounts_.assign(others + 1, {});
    for (Account& it : accounts_) {
      it.per_second = others_total / static_cast<double>(others);
    }
    accounts_[0].per_second = hot;
  }
  Account& hot() { return accounts_[0]; }
  std::vector<Account>& accounts() { return accounts_; }

  // Whether requests are admitted by their arrival alone.
  void ShareByArrival() { by_arrival_ = true; }
  void SetHeartbeatLoss(double share) { heartbeat_loss_ = share; }
  void CutOff(std::size_t gateway, bool cut) { nodes_[gateway]->cut = cut; }
  // A dead gateway's clients go to the others.
  void Kill(std::size_t gateway) { nodes_[gateway]->live = false; }
  void Restart(std::size_t gateway) {
    Node& node = *nodes_[gateway];
    node.live = true;
    node.incarnation = ++last_incarnation_;
    node.shares = std::make_unique<AccountShares>(&random_, &metrics, &log);
  }
  AccountShares& shares(std::size_t gateway) {
    return *nodes_[gateway]->shares;
  }

  void Run(DurationUs time) {
    for (const TimeUs end = now_ + time; now_ < end;) {
      now_ += kTick;
      Arrive();
      Serve();
      Report();
      for (const auto& it : nodes_) {
        it->shares->OnTick(now_);
      }
    }
  }
  void ResetCounts() {
    for (Account& it : accounts_) {
      it.first_tries = it.served = it.urgent_tries = it.urgent_served = 0;
    }
  }

  std::uint64_t Served() const {
    std::uint64_t n = 0;
    for (const Account& it : accounts_) {
      n += it.served;
    }
    return n;
  }
  // Share of the requests of all accounts but the first that were admitted.
  double ServedOfOthers() const {
    std::uint64_t tries = 0;
    std::uint64_t served = 0;
    for (std::size_t n = 1; n < accounts_.size(); ++n) {
      tries += accounts_[n].first_tries;
      served += accounts_[n].served;
    }
    return static_cast<double>(served) / static_cast<double>(tries);
  }
  TimeUs now() const { return now_; }

  QuietLog log;
  Metrics metrics;

 private:
  static constexpr char kPool[] = "stage";
  static constexpr DurationUs kHeartbeatPeriod = 350 * kMillisecond;
  static constexpr DurationUs kTransitTime = 10 * kMillisecond;
  // Age of the queue length that gateways see.
  static constexpr DurationUs kQueueAge = 150 * kMillisecond;

  struct Node {
    std::unique_ptr<AccountShares> shares;
    Incarnation incarnation = 0;
    bool live = true;
    bool cut = false;
    TimeUs next_heartbeat_at = 0;
  };
  struct Heartbeat {
    TimeUs due_at = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    Incarnation incarnation = 0;
    std::vector<PoolUse> use;
  };

  double Draw() {
    return static_cast<double>(random_.Below(1 << 20)) / (1 << 20);
  }
  static std::string Name(std::size_t account) {
    return "account-" + std::to_string(account);
  }

  std::size_t AnyLive() {
    std::size_t n = random_.Below(nodes_.size());
    while (!nodes_[n]->live) {
      n = (n + 1) % nodes_.size();
    }
    return n;
  }

  void Arrive() {
    for (std::size_t n = 0; n < accounts_.size(); ++n) {
      Account& account = accounts_[n];
      const double expected = account.per_second * kTick / kSecond;
      if (Draw() >= expected) {
        continue;
      }
      const bool urgent = Draw() < account.urgent_share;
      ++account.first_tries;
      account.urgent_tries += urgent ? 1 : 0;
      for (int tries = 0; tries <= account.repeats; ++tries) {
        if (Admit(AnyLive(), n, urgent)) {
          ++account.served;
          account.urgent_served += urgent ? 1 : 0;
          break;
        }
      }
    }
  }

  bool Admit(std::size_t gateway, std::size_t account, bool urgent) {
    const auto& [urgent_length, length] = lengths_.front();
    const double ahead = urgent ? urgent_length : length;
    const auto wait = static_cast<DurationUs>(ahead / capacity_ * kSecond);
    const std::vector<PoolDemand> demands = {
        {kPool, wait, kScarceWait, kSpareTime}};
    AccountShares& shares = *nodes_[gateway]->shares;
    if (wait > kSpareTime) {
      return false;
    }
    if (!by_arrival_ &&
        !shares.MayTake(now_, Name(account), demands).may_take) {
      return false;
    }
    shares.OnAdmitted(now_, Name(account), demands);
    (urgent ? urgent_queue_ : queue_).push_back(gateway);
    return true;
  }

  void Serve() {
    ready_ += capacity_ * kTick / kSecond;
    for (; ready_ >= 1; ready_ -= 1) {
      auto& queue = urgent_queue_.empty() ? queue_ : urgent_queue_;
      if (queue.empty()) {
        ready_ = 0;
        break;
      }
      nodes_[queue.front()]->shares->OnAnswer(now_, kPool);
      queue.pop_front();
    }
    const auto urgent = static_cast<double>(urgent_queue_.size());
    lengths_.emplace_back(urgent, urgent + static_cast<double>(queue_.size()));
    if (lengths_.size() > kQueueAge / kTick) {
      lengths_.pop_front();
    }
  }

  void Report() {
    for (std::size_t from = 0; from < nodes_.size(); ++from) {
      Node& node = *nodes_[from];
      if (!node.live || now_ < node.next_heartbeat_at) {
        continue;
      }
      node.next_heartbeat_at = now_ + kHeartbeatPeriod;
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (to == from) {
          continue;
        }
        auto use = node.shares->ReportTo(now_, Name(to));
        const bool lost = node.cut || nodes_[to]->cut || !nodes_[to]->live ||
                          Draw() < heartbeat_loss_;
        if (!lost && !use.empty()) {
          heartbeats_.push_back(
              {now_ + kTransitTime, from, to, node.incarnation, use});
        }
      }
    }
    while (!heartbeats_.empty() && heartbeats_.front().due_at <= now_) {
      const Heartbeat& it = heartbeats_.front();
      nodes_[it.to]->shares->OnReport(now_, Name(it.from), it.incarnation,
                                      it.use);
      heartbeats_.pop_front();
    }
  }

  const double capacity_;  // Requests per second.
  Random random_;
  TimeUs now_ = 1000 * kSecond;
  std::vector<std::unique_ptr<Node>> nodes_;
  Incarnation last_incarnation_ = 0;
  std::vector<Account> accounts_;
  bool by_arrival_ = false;
  double heartbeat_loss_ = 0;
  double ready_ = 0;  // Fraction of the next request that is done.
  // Gateways of the requests that wait.
  std::deque<std::size_t> urgent_queue_;
  std::deque<std::size_t> queue_;
  // Recent lengths: of the urgent queue, of both.
  std::deque<std::pair<double, double>> lengths_ = {{0, 0}};
  std::deque<Heartbeat> heartbeats_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_GATEWAY_SHARE_FLEET_H_
