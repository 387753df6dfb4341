// Compares ways to divide a retry budget among gateways, in virtual time: the
// retries of the worst window, as a share of those allowed, and the share of
// callers that are served while replicas refuse a part of all sends.
#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/gateway/service_retry_budget.h"
#include "state/random.h"
#include "tests/soak/retry_judge.h"

namespace acaciachute {
namespace {

const ServiceRetryBudgetLimits kLimits = {0.2, 56, 10 * kSecond};
constexpr DurationUs kStep = 10 * kMillisecond;
// Time until a gateway that has started knows all others.
constexpr DurationUs kSettleTime = kSecond;

// One gateway's part of the budget.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;
  // `live`: gateways that run now; `known`: zero until the others are known.
  virtual void SetGateways(TimeUs now, std::size_t live, std::size_t known) = 0;
  virtual void OnRequest(TimeUs now) = 0;
  virtual bool TryUse(TimeUs now) = 0;
};

struct NoLog : EventLog {
  void Write(std::string_view, LogFields) override {}
};

class BucketPolicy : public RetryPolicy {
 public:
  explicit BucketPolicy(TimeUs now) { budget_.SetLimits(now, kLimits); }
  void SetGateways(TimeUs now, std::size_t, std::size_t known) override {
    budget_.SetGatewayCount(now, known);
  }
  void OnRequest(TimeUs now) override { budget_.OnRequest(now); }
  bool TryUse(TimeUs now) override {
    if (!budget_.TryUse(now, {})) {
      return false;
    }
    budget_.OnArrived();
    return true;
  }

 private:
  Metrics metrics_;
  NoLog log_;
  ServiceRetryBudget budget_{"s", &metrics_, &log_};
};

// Counts its requests and retries of the last window and uses half of what they
// allow.
class WindowPolicy : public RetryPolicy {
 public:
  // `settles`: the fixed part is divided by all known gateways and used only
  // after a window; otherwise, by those that run, at once.
  WindowPolicy(TimeUs now, bool settles)
      : started_at_(now), settles_(settles) {}
  void SetGateways(TimeUs now, std::size_t live, std::size_t known) override {
    const bool waits = now - started_at_ < kLimits.window || known == 0;
    fixed_ = settles_ ? (waits ? 0 : kLimits.slack / static_cast<double>(known))
                      : kLimits.slack / static_cast<double>(live);
  }
  void OnRequest(TimeUs now) override { requests_.push_back(now); }
  bool TryUse(TimeUs now) override {
    const double allowed =
        0.5 * (fixed_ + kLimits.ratio * CountRecent(&requests_, now));
    if (CountRecent(&retries_, now) + 1 > allowed) {
      return false;
    }
    retries_.push_back(now);
    return true;
  }

 private:
  static double CountRecent(std::deque<TimeUs>* times, TimeUs now) {
    while (!times->empty() && times->front() < now - kLimits.window) {
      times->pop_front();
    }
    return static_cast<double>(times->size());
  }

  const TimeUs started_at_;
  const bool settles_;
  double fixed_ = 0;
  std::deque<TimeUs> requests_;
  std::deque<TimeUs> retries_;
};

using MakePolicy = std::function<std::unique_ptr<RetryPolicy>(TimeUs now)>;

struct Scenario {
  std::string name;
  double refused_share = 0;    // Of all sends, while replicas refuse.
  DurationUs refuse_time = 0;  // In each period of 20 s.
  DurationUs lifetime = 0;     // Of each gateway; zero: it is not killed.
};

struct Result {
  double worst_window = 0;  // Retries as a share of those allowed.
  double served = 0;        // Share of the callers while replicas refuse.
};

class Fleet {
 public:
  Fleet(const MakePolicy& make, std::size_t gateways, double rate)
      : make_(make), rate_(rate), gateways_(gateways) {
    for (Member& it : gateways_) {
      Start(&it);
    }
  }

  Result Run(const Scenario& scenario) {
    constexpr DurationUs kRunTime = 120 * kSecond;
    constexpr DurationUs kPeriod = 20 * kSecond;
    for (const TimeUs start = now_; now_ < start + kRunTime; now_ += kStep) {
      const bool warm = now_ - start >= kPeriod;
      const bool refusing =
          warm && (now_ - start) % kPeriod < scenario.refuse_time;
      if (warm && scenario.lifetime > 0) {
        RestartOldest(scenario.lifetime);
      }
      ShareBudget();
      due_ += rate_ * static_cast<double>(kStep) / static_cast<double>(kSecond);
      for (; due_ >= 1; --due_) {
        Serve(refusing ? scenario.refused_share : 0, refusing);
      }
    }
    Result result;
    for (const RetryWindow& it : judge_.WorstWindows()) {
      result.worst_window = static_cast<double>(it.retries) / it.allowed;
    }
    result.served = asked_ == 0 ? 1 : served_ / asked_;
    return result;
  }

 private:
  struct Member {
    std::unique_ptr<RetryPolicy> policy;
    TimeUs started_at = 0;
  };

  // A killed gateway is back after a moment.
  void Start(Member* it) {
    it->policy = make_(now_);
    it->started_at = now_;
  }
  // Restarts gateways in turn, so that each lives for `lifetime`.
  void RestartOldest(DurationUs lifetime) {
    due_kills_ += static_cast<double>(gateways_.size()) *
                  static_cast<double>(kStep) / static_cast<double>(lifetime);
    for (; due_kills_ >= 1; --due_kills_) {
      Start(&gateways_[kills_++ % gateways_.size()]);
    }
  }
  void ShareBudget() {
    const auto settled = [&](const Member& it) {
      return now_ - it.started_at >= kSettleTime;
    };
    const auto live = static_cast<std::size_t>(
        std::count_if(gateways_.begin(), gateways_.end(), settled));
    for (Member& it : gateways_) {
      it.policy->SetGateways(now_, std::max<std::size_t>(1, live),
                             settled(it) ? gateways_.size() : 0);
    }
  }
  void Serve(double refused_share, bool counts) {
    constexpr int kMaxSends = 3;
    RetryPolicy* policy =
        gateways_[random_.Below(gateways_.size())].policy.get();
    policy->OnRequest(now_);
    judge_.OnRequest(now_, "s");
    bool served = false;
    for (int n = 0; n < kMaxSends && !served; ++n) {
      if (n > 0 && !policy->TryUse(now_)) {
        break;
      }
      judge_.OnArrival(now_, "s", n == 0 ? std::to_string(next_id_++) : "0");
      served = random_.Below(1000) >= refused_share * 1000;
    }
    asked_ += counts ? 1 : 0;
    served_ += counts && served ? 1 : 0;
  }

  const MakePolicy make_;
  const double rate_;
  Random random_{7};
  RetryJudge judge_{kLimits};
  TimeUs now_ = 1000 * kSecond;
  std::vector<Member> gateways_;
  std::size_t kills_ = 0;
  double due_kills_ = 0;
  std::uint64_t next_id_ = 0;
  double due_ = 0;
  double asked_ = 0;
  double served_ = 0;
};

int Main() {
  const std::vector<std::pair<std::string, MakePolicy>> ways = {
      {"window, live gateways",
       [](TimeUs now) { return std::make_unique<WindowPolicy>(now, false); }},
      {"window, known gateways",
       [](TimeUs now) { return std::make_unique<WindowPolicy>(now, true); }},
      {"bucket that starts empty",
       [](TimeUs now) { return std::make_unique<BucketPolicy>(now); }}};
  const std::vector<Scenario> scenarios = {
      {"a tenth refused", 0.1, 10 * kSecond, 0},
      {"half refused for 3 s", 0.5, 3 * kSecond, 0},
      {"half refused for 10 s", 0.5, 10 * kSecond, 0},
      {"all refused, restarts", 1, 10 * kSecond, 2 * kSecond},
      {"half refused, restarts", 0.5, 10 * kSecond, 2 * kSecond}};
  for (const auto& [gateways, rate] : {std::pair<std::size_t, double>{5, 19},
                                       {5, 55},
                                       {103, 100},
                                       {103, 1100}}) {
    for (const Scenario& scenario : scenarios) {
      std::printf("%zu gateways, %.0f requests/s, %s\n", gateways, rate,
                  scenario.name.c_str());
      for (const auto& [name, make] : ways) {
        const Result result = Fleet(make, gateways, rate).Run(scenario);
        std::printf("  %-26s worst window %5.2f, served %.3f\n", name.c_str(),
                    result.worst_window, result.served);
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace acaciachute

int main() {
  return acaciachute::Main();
}
