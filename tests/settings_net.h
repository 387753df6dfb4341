// Runs several `SettingsSync` and one table in virtual time, with partitions,
// pauses and outages.
#ifndef ACACIACHUTE_TESTS_SETTINGS_NET_H_
#define ACACIACHUTE_TESTS_SETTINGS_NET_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/settings/settings_sync.h"
#include "coordination/settings/settings_write.h"
#include "tests/fake_table.h"
#include "text.h"

namespace acaciachute {

class SettingsNet {
 public:
  static constexpr DurationUs kStep = 10 * kMillisecond;

  SettingsNet(int nodes, std::uint64_t seed) : random_(seed) {
    nodes_.resize(nodes);
    for (int n = 0; n < nodes; ++n) {
      Start(n);
    }
  }

  static NodeId Name(int n) { return StrCat("entry-", n); }

  void Start(int n) {
    Node& node = nodes_[n];
    node.output = std::make_unique<Port>(this, n);
    node.random = std::make_unique<Random>(random_.Next());
    std::vector<NodeId> peers;
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      peers.push_back(Name(static_cast<int>(it)));
    }
    ++node.start_count;
    node.deferred.clear();
    node.paused = false;
    node.sync = std::make_unique<SettingsSync>(
        Name(n), peers, now, node.output.get(), node.random.get(), &metrics);
  }
  void Kill(int n) {
    ++nodes_[n].start_count;
    nodes_[n].sync.reset();
  }
  bool Alive(int n) const { return nodes_[n].sync != nullptr; }
  // A paused process handles all deferred input when it resumes, and its timers
  // after that.
  void Pause(int n, bool paused) {
    nodes_[n].paused = paused;
    auto deferred = std::move(nodes_[n].deferred);
    nodes_[n].deferred.clear();
    for (auto& it : deferred) {
      it();
    }
  }

  void Run(DurationUs duration) {
    for (const TimeUs end = now + duration; now < end; now += kStep) {
      while (!tasks_.empty() && tasks_.begin()->first <= now) {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
      }
      for (Node& node : nodes_) {
        if (node.sync && !node.paused && now >= node.next_tick) {
          node.next_tick = now + 100 * kMillisecond;
          node.sync->OnTick(now);
        }
      }
      if (on_step) {
        on_step();
      }
    }
  }

  // Makes an operator's change at the table. Returns its version, or zero if it
  // was refused.
  SettingsVersion Change(const std::string& branch, int share) {
    SettingsChange change;
    change.branch = branch;
    change.team = "ops";
    change.json =
        StrCat(R"({"owner":"ops","accounts":{"a":{"share":)", share, "}}}");
    SettingsWrite write(std::move(change), random_.Next());
    while (!write.result()) {
      write.OnAnswer(table.Transact(write.Next()));
    }
    const bool accepted = write.result()->outcome == WriteOutcome::kAccepted;
    return accepted ? write.result()->version : 0;
  }

  SettingsSync& sync(int n) { return *nodes_[n].sync; }
  SettingsVersion VersionAt(int n, std::string_view branch) const {
    const Branch* it = nodes_[n].sync->settings()->FindBranch(branch);
    return it == nullptr ? 0 : it->version;
  }
  bool Serves(int n) const {
    return Alive(n) && !nodes_[n].paused && nodes_[n].sync->IsCurrent(now);
  }

  TimeUs now = kSecond;
  FakeTable table;
  Metrics metrics;
  DurationUs table_delay = 3 * kMillisecond;
  std::set<int> disconnected_from_table;
  std::set<std::pair<int, int>> blocked;  // Blocked connections, as (from, to).
  std::uint32_t lost_percent = 0;  // Percentage of datagrams that are lost.
  std::function<void()> on_step;

  void Isolate(int n) {
    disconnected_from_table.insert(n);
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      blocked.emplace(n, static_cast<int>(it));
      blocked.emplace(static_cast<int>(it), n);
    }
  }
  void Reconnect() {
    disconnected_from_table.clear();
    blocked.clear();
  }

 private:
  struct Port : SettingsSyncOutput {
    Port(SettingsNet* net, int n) : net(net), n(n) {}
    void Ask(const NodeId& peer, std::uint64_t sequence) override {
      net->SendHeartbeat(n, Index(peer), sequence, 0);
    }
    void SendSettings(const NodeId& peer, const Message& message) override {
      const int to = Index(peer);
      net->Deliver(n, to, false, [this, to, message] {
        SettingsSync& sync = *net->nodes_[to].sync;
        if (const auto* pull = std::get_if<SettingsPull>(&message)) {
          sync.OnPull(net->now, Name(n), *pull);
        } else {
          sync.OnBodies(net->now, Name(n), std::get<SettingsBodies>(message));
        }
      });
    }
    void ReadTable(StoreTicket ticket, std::vector<StoreOp> ops) override {
      net->Read(n, ticket, std::move(ops));
    }
    void OnBranchRefused(std::string_view error) override {}
    void OnApplied(const SettingsPtr& settings) override {}
    SettingsNet* const net;
    const int n;
  };
  struct Node {
    std::unique_ptr<Port> output;
    std::unique_ptr<Random> random;
    std::unique_ptr<SettingsSync> sync;
    std::uint64_t start_count = 0;
    bool paused = false;
    TimeUs next_tick = 0;
    std::vector<std::function<void()>> deferred;
  };

  static int Index(const NodeId& node) {
    return std::stoi(node.substr(std::string("entry-").size()));
  }

  void RunAfter(DurationUs delay, std::function<void()> task) {
    tasks_.emplace(now + delay, std::move(task));
  }
  // Runs `task` at node `n` unless the process with that start count has
  // stopped by then.
  void RunAtNode(int n,
                 std::uint64_t start_count,
                 DurationUs delay,
                 std::function<void()> task) {
    const auto unless_stopped = [this, n, start_count, task = std::move(task)] {
      if (nodes_[n].start_count == start_count) {
        task();
      }
    };
    RunAfter(delay, [this, n, unless_stopped] {
      if (nodes_[n].paused) {
        nodes_[n].deferred.emplace_back(unless_stopped);
      } else {
        unless_stopped();
      }
    });
  }
  void Deliver(int from, int to, bool datagram, std::function<void()> task) {
    const bool lost = datagram && random_.Below(100) < lost_percent;
    if (!lost && !blocked.contains({from, to}) && Alive(to)) {
      RunAtNode(to, nodes_[to].start_count, kStep, std::move(task));
    }
  }
  void SendHeartbeat(int from,
                     int to,
                     std::uint64_t sequence,
                     std::uint64_t reply_to) {
    Heartbeat heartbeat;
    heartbeat.sequence = sequence;
    heartbeat.reply_to = reply_to;
    heartbeat.settings = nodes_[from].sync->Digest(now);
    Deliver(from, to, true, [this, from, to, heartbeat] {
      nodes_[to].sync->OnHeartbeat(now, Name(from), heartbeat);
      if (heartbeat.reply_to == 0) {
        SendHeartbeat(to, from, 0, heartbeat.sequence);
      }
    });
  }
  void Read(int n, StoreTicket ticket, std::vector<StoreOp> ops) {
    const bool disconnected = disconnected_from_table.contains(n);
    const std::uint64_t start_count = nodes_[n].start_count;
    RunAfter(table_delay / 2, [this, n, ticket, disconnected, start_count,
                               ops = std::move(ops)] {
      const auto answer = disconnected ? StoreAnswer{} : table.Transact(ops);
      // A read without a connection is unanswered until its client times out.
      RunAtNode(n, start_count, disconnected ? 10 * kSecond : table_delay / 2,
                [this, n, ticket, answer] {
                  nodes_[n].sync->OnTableAnswer(now, ticket, answer);
                });
    });
  }

  Random random_;
  std::vector<Node> nodes_;
  std::multimap<TimeUs, std::function<void()>> tasks_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SETTINGS_NET_H_
