// A fleet of gateways in virtual time that send clients' requests to engines,
// one of which states a limit on its load.
#ifndef ACACIACHUTE_TESTS_GATEWAY_RATE_FLEET_H_
#define ACACIACHUTE_TESTS_GATEWAY_RATE_FLEET_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/requests.h"
#include "tests/gateway/gateway_rig.h"

namespace acaciachute {

class RateFleet {
 public:
  static constexpr DurationUs kTick = 10 * kMillisecond;
  // The users' rule: in any `kWindow`, a replica gets at most this factor times
  // what its limit allows, and some more.
  static constexpr DurationUs kWindow = 4 * kSecond;
  static constexpr double kFactor = 1.5;
  static constexpr double kSlack = 5;
  // Time after the first statement of a limit from which the rule holds.
  static constexpr DurationUs kContact = 4 * kSecond;
  // A gateway counts from this long after it passed on a statement.
  static constexpr DurationUs kToldDelay = 500 * kMillisecond;

  static GatewayOptions OptionsOf(std::size_t n) {
    GatewayOptions options;
    options.node = "g" + std::to_string(n);
    return options;
  }

  RateFleet(std::size_t gateways, std::size_t engines) {
    for (std::size_t n = 0; n < engines; ++n) {
      engines_.push_back("e" + std::to_string(n));
    }
    told_at_.resize(gateways, -1);
    rigs_.resize(gateways);
    for (std::size_t n = 0; n < gateways; ++n) {
      names_.push_back(OptionsOf(n).node);
    }
    for (std::size_t n = 0; n < gateways; ++n) {
      rigs_[n] = std::make_unique<GatewayRig>(OptionsOf(n));
      Restart(n);
    }
  }

  std::size_t size() const { return rigs_.size(); }
  GatewayRig& rig(std::size_t n) { return *rigs_[n]; }
  const std::vector<NodeId>& names() const { return names_; }
  TimeUs now() const { return rigs_.front()->now; }

  // The text of the limit that an engine states in its answers; empty: none.
  void SetLimit(const ReplicaId& engine, const std::string& text) {
    limits_[engine.name] = text;
    if (named_at_ < 0) {
      named_at_ = now();
    }
  }

  // Restarts a gateway's process: it forgets what it has sent and been told.
  void Restart(std::size_t n) {
    const TimeUs at = now();
    open_.erase(n);
    told_at_[n] = -1;
    rigs_[n] = std::make_unique<GatewayRig>(OptionsOf(n));
    rigs_[n]->now = at;
    rigs_[n]->core.SetKnownGateways(names_);
    rigs_[n]->core.SetGatewayCount(rigs_.size());
    for (const NodeId& it : engines_) {
      rigs_[n]->AddReplica(it, "engine");
    }
  }
  // Each gateway hears the heartbeats of all others.
  void ExchangeStatements() {
    for (const auto& from : rigs_) {
      const auto latest = from->core.rate_limiter()->statements().Latest(now());
      for (const auto& to : rigs_) {
        for (const ReplicaRateStatement& it : latest) {
          if (to != from) {
            to->core.OnPeerStatement(it);
          }
        }
      }
    }
  }

  // Runs with `per_second` requests over the fleet, spread evenly.
  void Run(DurationUs time, double per_second) {
    for (const TimeUs end = now() + time; now() < end;) {
      due_ += per_second * kTick / kSecond;
      for (; due_ >= 1; due_ -= 1) {
        rigs_[next_rig_++ % rigs_.size()]->Call("resume");
      }
      for (std::size_t n = 0; n < rigs_.size(); ++n) {
        rigs_[n]->Pass(kTick);
        rigs_[n]->core.OnConfirmed(rigs_[n]->now);
        TakeSent(n);
        AnswerDue(n);
      }
    }
  }

  // Number of requests that reached the engine in the last `time`.
  std::size_t Arrivals(const ReplicaId& engine, DurationUs time) const {
    const auto it = arrivals_.find(engine.name);
    return it == arrivals_.end() ? 0
                                 : static_cast<std::size_t>(std::count_if(
                                       it->second.begin(), it->second.end(),
                                       [&](const Arrival& at) {
                                         return at.time > now() - time;
                                       }));
  }
  // Largest number of requests that count by the rule in any window.
  std::size_t MostInWindow(const ReplicaId& engine) const {
    const auto it = arrivals_.find(engine.name);
    std::deque<TimeUs> window;
    std::size_t most = 0;
    if (it == arrivals_.end()) {
      return 0;
    }
    for (const Arrival& at : it->second) {
      if (!at.counts) {
        continue;
      }
      window.push_back(at.time);
      while (window.front() <= at.time - kWindow) {
        window.pop_front();
      }
      if (at.time >= named_at_ + kContact) {
        most = std::max(most, window.size());
      }
    }
    return most;
  }
  static std::size_t Allowed(double limit) {
    constexpr double kSeconds =
        static_cast<double>(kWindow) / static_cast<double>(kSecond);
    return static_cast<std::size_t>(kFactor * kSeconds * limit + kSlack);
  }
  std::size_t served() const { return served_; }

 private:
  static constexpr DurationUs kTransitTime = 10 * kMillisecond;
  static constexpr DurationUs kHeadTime = 60 * kMillisecond;
  static constexpr DurationUs kStreamTime = 600 * kMillisecond;

  struct Arrival {
    TimeUs time = 0;
    bool counts = false;
  };
  struct Open {
    CallId call = 0;
    ReplicaId engine;
    TimeUs head_at = 0;
    TimeUs end_at = 0;
    bool head_sent = false;
  };

  void TakeSent(std::size_t n) {
    GatewayRig& it = *rigs_[n];
    for (const auto& sent : std::exchange(it.sent, {})) {
      const TimeUs at = it.now + kTransitTime;
      const bool told = told_at_[n] >= 0 && at - told_at_[n] >= kToldDelay;
      arrivals_[sent.replica.name].push_back({at, told});
      open_[n].push_back(
          {sent.call, sent.replica, at + kHeadTime, at + kStreamTime, false});
    }
  }

  void AnswerDue(std::size_t n) {
    GatewayRig& it = *rigs_[n];
    std::vector<Open> remaining;
    for (Open open : std::exchange(open_[n], {})) {
      if (!open.head_sent && it.now >= open.head_at) {
        SendHead(n, open);
        open.head_sent = true;
      }
      if (it.now < open.end_at) {
        remaining.push_back(open);
      } else {
        it.core.OnReplicaEnd(open.call, AnswerEnd::kLength);
        ++served_;
      }
    }
    open_[n].insert(open_[n].end(), remaining.begin(), remaining.end());
  }
  void SendHead(std::size_t n, const Open& open) {
    HttpAnswerHead head;
    head.status = 200;
    head.fields = {{"Replica-Seal", "x"}};
    const std::string& limit = limits_[open.engine.name];
    if (!limit.empty()) {
      head.fields.push_back({"Server-Limit", limit});
      told_at_[n] = told_at_[n] < 0 ? rigs_[n]->now : told_at_[n];
    }
    rigs_[n]->core.OnReplicaHead(open.call, platform::ReadReplicaHead(head));
    rigs_[n]->core.OnReplicaBody(open.call, "id: 1\ndata: x\n\n");
  }

  std::vector<NodeId> names_;
  std::vector<std::string> engines_;
  std::vector<std::unique_ptr<GatewayRig>> rigs_;
  std::vector<TimeUs> told_at_;
  std::map<std::string, std::string> limits_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::map<std::size_t, std::vector<Open>> open_;
  TimeUs named_at_ = -1;
  double due_ = 0;
  std::size_t next_rig_ = 0;
  std::size_t served_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_GATEWAY_RATE_FLEET_H_
