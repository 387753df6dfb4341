// A fleet of gateways that exchange heartbeats in virtual time: the clock
// advances in ticks of 10 ms, and a heartbeat arrives one tick after it was
// sent.
#ifndef ACACIACHUTE_TESTS_GATEWAY_PEER_NET_H_
#define ACACIACHUTE_TESTS_GATEWAY_PEER_NET_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/membership/gateway_peers.h"
#include "tests/gateway/quiet_log.h"

namespace acaciachute {

class PeerNet {
 public:
  static constexpr DurationUs kTick = 10 * kMillisecond;

  struct Node {
    Node(const NodeId& node_name, double node_cores)
        : name(node_name), cores(node_cores), peers({name, "", cores}, &log) {}
    const NodeId name;
    const double cores;
    QuietLog log;
    GatewayPeers peers;
    bool alive = true;
    // Number of other gateways that this one took for dead.
    std::size_t lost = 0;
  };

  // Whether a datagram between two nodes, given by index, is lost.
  using LossFn = std::function<bool(std::size_t from, std::size_t to)>;

  // The first `large` of `n` nodes have half a core, the others a tenth.
  PeerNet(std::size_t n, std::size_t large) {
    for (std::size_t i = 0; i < n; ++i) {
      nodes_.push_back(std::make_unique<Node>("g" + std::to_string(i),
                                              i < large ? 0.5 : 0.09));
    }
    for (const auto& node : nodes_) {
      for (const auto& other : nodes_) {
        node->peers.OnListed(now_, other->name);
      }
    }
  }

  Node& node(std::size_t n) { return *nodes_[n]; }
  std::size_t size() const { return nodes_.size(); }
  TimeUs now() const { return now_; }
  void SetLoss(LossFn is_lost) { is_lost_ = std::move(is_lost); }

  void Run(DurationUs time) {
    for (const TimeUs end = now_ + time; now_ < end; now_ += kTick) {
      Deliver();
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n]->alive) {
          Tick(n);
        }
      }
    }
  }

  std::size_t LostCount() const {
    std::size_t n = 0;
    for (const auto& it : nodes_) {
      n += it->lost;
    }
    return n;
  }
  std::size_t heartbeats_sent() const { return heartbeats_sent_; }

  static bool Batches(const Node& node) {
    for (const char* service : {"first", "second", "third"}) {
      if (node.peers.OwnerOf(service) == node.name) {
        return true;
      }
    }
    return false;
  }

 private:
  struct Datagram {
    std::size_t from = 0;
    std::size_t to = 0;
    GatewayHeartbeat heartbeat;
  };

  std::size_t IndexOf(const NodeId& name) const {
    return std::stoul(name.substr(1));
  }

  void Send(std::size_t from, const DueHeartbeat& due, bool requests_reply) {
    const std::size_t to = IndexOf(due.node);
    ++heartbeats_sent_;
    if (is_lost_ && is_lost_(from, to)) {
      return;
    }
    GatewayHeartbeat heartbeat;
    heartbeat.cores = nodes_[from]->cores;
    heartbeat.period = due.promise;
    heartbeat.requests_reply = requests_reply;
    in_flight_.push_back({from, to, heartbeat});
  }

  void Tick(std::size_t n) {
    Node& node = *nodes_[n];
    node.lost += node.peers.TakeLost(now_).size();
    const DurationUs period = node.peers.HeartbeatPeriod(Batches(node));
    for (const DueHeartbeat& it : node.peers.DueHeartbeats(now_, period)) {
      Send(n, it, false);
    }
    for (const DueHeartbeat& it : node.peers.DueProbes(now_)) {
      Send(n, it, true);
    }
  }

  void Deliver() {
    const std::deque<Datagram> arrived = std::move(in_flight_);
    in_flight_.clear();
    for (const Datagram& it : arrived) {
      if (nodes_[it.to]->alive) {
        nodes_[it.to]->peers.OnGatewayHeartbeat(now_, nodes_[it.from]->name, 1,
                                                it.heartbeat);
      }
    }
  }

  std::vector<std::unique_ptr<Node>> nodes_;
  std::deque<Datagram> in_flight_;
  LossFn is_lost_;
  TimeUs now_ = 100 * kSecond;
  std::size_t heartbeats_sent_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_GATEWAY_PEER_NET_H_
