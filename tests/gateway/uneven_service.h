// A plain service in virtual time: replicas with slots and a short queue, which
// differ in speed and slow down, and gateways that choose among them.
#ifndef ACACIACHUTE_TESTS_GATEWAY_UNEVEN_SERVICE_H_
#define ACACIACHUTE_TESTS_GATEWAY_UNEVEN_SERVICE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/choice/learned_capacity.h"
#include "coordination/choice/plain_choice.h"
#include "tests/gateway/quiet_log.h"

namespace acaciachute {

struct UnevenMachine {
  double speed = 1;
  // Factor on a request's time that begins with over half of the slots in use.
  double crowding = 1;
  std::function<double(TimeUs)> pace = [](TimeUs) { return 1.0; };
  // What it states instead of its load; empty: the truth.
  std::function<StatedLoad()> lie = nullptr;
};

class UnevenService : DirectoryWatcher {
 public:
  static constexpr std::uint32_t kSlots = 6;
  static constexpr std::uint32_t kQueue = 6;
  static constexpr DurationUs kWork = 30 * kMillisecond;
  static constexpr DurationUs kTarget = 150 * kMillisecond;
  static constexpr DurationUs kHeartbeatPeriod = 150 * kMillisecond;
  static constexpr DurationUs kLink = kMillisecond;

  struct Counts {
    int sent = 0;
    int in_time = 0;
    DurationUs total_time = 0;
    std::map<std::string, int> sent_to;

    double ShareOf(const std::string& replica) const {
      const auto it = sent_to.find(replica);
      return it == sent_to.end() ? 0 : static_cast<double>(it->second) / sent;
    }
    double InTime() const { return static_cast<double>(in_time) / sent; }
  };

  UnevenService(const std::vector<UnevenMachine>& machines,
                std::size_t gateways)
      : random_(7) {
    for (const auto& it : machines) {
      Add("r" + std::to_string(servers_.size()), it);
    }
    for (std::size_t n = 0; n < gateways; ++n) {
      gateways_.push_back(
          std::make_unique<Gateway>("g" + std::to_string(n), this));
    }
  }

  // Replicas state their load and pace in each answer.
  bool states_load = true;
  bool heartbeats_arrive = true;

  UnevenMachine& MachineOf(const std::string& name) {
    return servers_.at(name).machine;
  }
  // The replica starts again under its name.
  void Restart(const std::string& name, const UnevenMachine& machine) {
    const ReplicaId old = servers_.at(name).id;
    servers_.erase(name);
    Add(name, machine);
    for (auto& it : gateways_) {
      it->capacity.OnReplicaRemoved(old);
      it->choice.OnReplicaRemoved(old);
    }
  }
  LearnedCapacity* CapacityOf(std::size_t gateway) {
    return &gateways_[gateway]->capacity;
  }
  const QuietLog& log() const { return log_; }
  TimeUs now() const { return now_; }

  Counts Run(DurationUs time, double per_second) {
    counts_ = {};
    const auto period =
        static_cast<DurationUs>(static_cast<double>(kSecond) / per_second);
    for (const TimeUs end = now_ + time; now_ < end; now_ += period) {
      AnswerUntil(now_);
      TellPeers();
      Send(gateways_[random_.Below(gateways_.size())].get());
    }
    AnswerUntil(now_);
    return counts_;
  }

 private:
  struct Gateway {
    Gateway(const std::string& name_in, UnevenService* service)
        : name(name_in),
          capacity(&service->directory_, &service->metrics_, &service->log_),
          choice(&service->directory_,
                 &service->rate_limiter_,
                 &service->random_,
                 &capacity) {}
    std::string name;
    LearnedCapacity capacity;
    PlainChoice choice;
    TimeUs next_heartbeat_at = 0;
  };
  struct Server {
    ReplicaId id;
    UnevenMachine machine;
    std::multiset<TimeUs> ends;  // Of requests running and waiting.
  };
  struct Answer {
    Gateway* gateway = nullptr;
    ReplicaId replica;
    TimeUs sent_at = 0;
    ReplicaWork work;
    bool refused = false;
  };

  void OnReplica(const ReplicaEntry&, DirectoryChange) override {}

  void Add(const std::string& name, const UnevenMachine& machine) {
    ReplicaEntry entry;
    entry.id = ReplicaId(name, ++starts_);
    entry.service = "s";
    entry.address = {"10.0.0." + std::to_string(starts_), 80};
    entry.domain = "a";
    entry.slots = kSlots;
    directory_.Put(entry);
    servers_[name] = {entry.id, machine, {}};
  }

  void Send(Gateway* from) {
    const auto* it = from->choice.Choose(now_, "s", "a", {}, true);
    const ReplicaWork work = from->choice.WorkFor(now_, *it);
    from->choice.OnSent(now_, it->id);
    from->capacity.OnSent(it->id);
    ++counts_.sent;
    ++counts_.sent_to[it->id.name];
    Server& server = servers_.at(it->id.name);
    const bool refused = server.ends.size() >= kSlots + kQueue;
    const TimeUs end = refused ? now_ : EndOf(server);
    if (!refused) {
      server.ends.insert(end);
    }
    answers_.insert({end + 2 * kLink, {from, it->id, now_, work, refused}});
  }

  // When a request that arrives now ends there.
  TimeUs EndOf(const Server& server) const {
    TimeUs begin = now_;
    std::size_t running = server.ends.size();
    if (running >= kSlots) {
      running = kSlots - 1;
      begin = *std::prev(server.ends.end(), kSlots);
    }
    const double crowding = running >= kSlots / 2 ? server.machine.crowding : 1;
    return begin + static_cast<DurationUs>(static_cast<double>(kWork) /
                                           server.machine.speed * crowding *
                                           server.machine.pace(begin));
  }

  StatedLoad LoadOf(const Server& server, TimeUs now) const {
    if (server.machine.lie) {
      return server.machine.lie();
    }
    const auto n = static_cast<std::uint32_t>(server.ends.size());
    const std::uint32_t running = std::min(n, kSlots);
    return {running, n - running, kSlots, server.machine.pace(now)};
  }

  void AnswerUntil(TimeUs until) {
    while (!answers_.empty() && answers_.begin()->first <= until) {
      const auto [at, answer] = *answers_.begin();
      answers_.erase(answers_.begin());
      OnAnswer(at, answer);
    }
  }

  void OnAnswer(TimeUs at, const Answer& answer) {
    Gateway* gateway = answer.gateway;
    Server& server = servers_.at(answer.replica.name);
    const bool current = server.id == answer.replica;
    if (current && !answer.refused) {
      server.ends.erase(server.ends.find(at - 2 * kLink));
    }
    if (current && states_load) {
      gateway->capacity.OnStatement(at, answer.replica, LoadOf(server, at));
    }
    if (answer.refused) {
      gateway->choice.OnEnded(answer.replica, answer.sent_at);
      return;
    }
    const DurationUs time = at - answer.sent_at;
    gateway->choice.OnAnswer(at, answer.replica, answer.sent_at);
    gateway->capacity.OnAnswer(at, answer.replica, answer.work, time);
    gateway->choice.OnEnded(answer.replica, answer.sent_at);
    counts_.in_time += time <= kTarget ? 1 : 0;
    counts_.total_time += time;
  }

  void TellPeers() {
    for (auto& from : gateways_) {
      if (now_ < from->next_heartbeat_at) {
        continue;
      }
      from->next_heartbeat_at = now_ + kHeartbeatPeriod;
      const auto told = from->capacity.ToTell(
          now_, LearnedCapacity::FiguresPerHeartbeat(gateways_.size() - 1,
                                                     kHeartbeatPeriod));
      for (auto& to : gateways_) {
        for (const ReplicaPace& it : told) {
          if (to != from && heartbeats_arrive) {
            to->capacity.OnPeerPace(now_, from->name, it);
          }
        }
      }
    }
  }

  Random random_;
  Metrics metrics_;
  QuietLog log_;
  ReplicaDirectory directory_{this};
  ReplicaRateLimiter rate_limiter_{"g0"};
  std::map<std::string, Server> servers_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::multimap<TimeUs, Answer> answers_;
  Counts counts_;
  Incarnation starts_ = 0;
  TimeUs now_ = 1000 * kSecond;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_GATEWAY_UNEVEN_SERVICE_H_
