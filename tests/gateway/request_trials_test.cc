// Tests which copy of a request in doubt may be sent, over several gateways
// whose messages are lost and delayed.
#include "coordination/crashes/request_trials.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "state/random.h"
#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

constexpr DurationUs kStep = 10 * kMillisecond;
const std::string kCause = "f-1";

struct TrialNet {
  struct Node : RequestTrialsOutput {
    Node(TrialNet* net_in, NodeId name_in)
        : net(net_in), name(std::move(name_in)), trials(name, this, &log) {}
    std::vector<NodeId> LivePeers() override {
      std::vector<NodeId> peers;
      for (const auto& [other, node] : net->nodes) {
        if (other != name && !net->dead.contains(other)) {
          peers.push_back(other);
        }
      }
      return peers;
    }
    void SendTrialMessage(const NodeId& to, const Message& message) override {
      if (net->random.Below(100) >= net->loss_percent) {
        net->in_flight.push_back({name, to, message});
      }
    }
    TrialNet* const net;
    const NodeId name;
    QuietLog log;
    RequestTrials trials;
  };
  struct InFlight {
    NodeId from;
    NodeId to;
    Message message;
  };

  explicit TrialNet(int n) {
    for (int k = 0; k < n; ++k) {
      const NodeId name = "g" + std::to_string(k);
      nodes[name] = std::make_unique<Node>(this, name);
    }
  }
  void Deliver() {
    for (const InFlight& it : std::exchange(in_flight, {})) {
      if (dead.contains(it.to) || dead.contains(it.from)) {
        continue;
      }
      RequestTrials& trials = nodes.at(it.to)->trials;
      if (const auto* ask = std::get_if<CrashTrialRequest>(&it.message)) {
        trials.OnRequest(now, it.from, *ask);
      } else if (const auto* grant =
                     std::get_if<CrashTrialGrant>(&it.message)) {
        trials.OnGrant(now, it.from, *grant);
      } else if (const auto* end = std::get_if<CrashTrialEnd>(&it.message)) {
        trials.OnEnd(now, it.from, *end);
      }
    }
  }
  // Each gateway asks for its copy; returns those that may be sent.
  std::set<NodeId> Ask(DurationUs time, ExchangeId copy = 1) {
    for (const TimeUs end = now + time; now < end; now += kStep) {
      for (auto& [name, node] : nodes) {
        if (!dead.contains(name)) {
          node->trials.Ask(now, kCause, copy);
          node->trials.OnTick(now);
        }
      }
      Deliver();
    }
    std::set<NodeId> trying;
    for (auto& [name, node] : nodes) {
      if (!dead.contains(name) && node->trials.IsTrial(copy)) {
        trying.insert(name);
      }
    }
    return trying;
  }
  void End(const NodeId& node, RequestTrials::Result result) {
    nodes.at(node)->trials.OnEnded(now, 1, result);
  }

  TimeUs now = 1000 * kSecond;
  std::uint64_t loss_percent = 0;
  Random random{7};
  std::map<NodeId, std::unique_ptr<Node>> nodes;
  std::vector<InFlight> in_flight;
  std::set<NodeId> dead;
};

// Guards against a trial at each gateway, each of which ends a replica.
TEST(RequestTrialsTest, OneCopyAtATimeTriesInTheWholeFleet) {
  TrialNet net(8);
  net.loss_percent = 30;
  for (int n = 0; n < 3; ++n) {
    const auto trying = net.Ask(2 * kSecond);
    ASSERT_EQ(trying.size(), 1U) << n;
    net.End(*trying.begin(), RequestTrials::Result::kAnswered);
  }
}

// Guards against a gateway without others that asks nobody and never sends.
TEST(RequestTrialsTest, AGatewayAloneDecidesByItself) {
  TrialNet net(1);
  EXPECT_TRUE(net.nodes["g0"]->trials.Ask(net.now, kCause, 1));
  EXPECT_FALSE(net.nodes["g0"]->trials.Ask(net.now, kCause, 2));
  net.End("g0", RequestTrials::Result::kNotSent);
  EXPECT_TRUE(net.nodes["g0"]->trials.Ask(net.now, kCause, 2));
}

// Guards against the next trial before the end of the replica under the last
// one is known, and against more than three while no end is.
TEST(RequestTrialsTest, TrialsWithoutAnAnswerAreFew) {
  TrialNet net(3);
  int trials = 0;
  for (const TimeUs end = net.now + RequestTrials::kOpenTime / 2;
       net.now < end;) {
    const auto trying = net.Ask(kStep);
    ASSERT_LE(trying.size(), 1U);
    for (const NodeId& it : trying) {
      ++trials;
      const TimeUs ended_at = net.now;
      net.End(it, RequestTrials::Result::kUnknown);
      while (net.Ask(kStep).empty() && net.now < end) {
      }
      EXPECT_GE(net.now - ended_at, RequestTrials::kSettleTime);
    }
  }
  EXPECT_EQ(trials, static_cast<int>(RequestTrials::kMaxOpenTrials));
}

// Guards against copies that wait for good for a gateway that is gone with its
// trial, or with its decision.
TEST(RequestTrialsTest, GoesOnWithoutAGatewayThatIsLost) {
  for (int n = 0; n < 2; ++n) {
    TrialNet net(3);
    const NodeId first = *net.Ask(kSecond).begin();
    net.dead.insert(first);
    const auto trying =
        net.Ask(RequestTrials::kLease + RequestTrials::kAskInterval + kSecond);
    ASSERT_EQ(trying.size(), 1U);
    EXPECT_FALSE(trying.contains(first));
  }
}

// Guards against streams of many clients that wait for one another, though the
// first one has begun: all are copies of one request.
TEST(RequestTrialsTest, CopiesOfAStreamThatHasBegunDoNotWait) {
  TrialNet net(8);
  const auto trying = net.Ask(kSecond);
  ASSERT_EQ(trying.size(), 1U);
  net.End(*trying.begin(), RequestTrials::Result::kBegun);
  EXPECT_EQ(net.Ask(RequestTrials::kBegunTime / 2, 2).size(), 0U)
      << "they are not sent alone";
  for (const auto& [name, node] : net.nodes) {
    EXPECT_TRUE(node->trials.MaySend(2)) << name;
  }
}

// Guards against copies that go on without limit because one began before: an
// end without an answer makes them wait again.
TEST(RequestTrialsTest, CopiesOfAStreamThatFailsWaitAgain) {
  TrialNet net(3);
  const auto trying = net.Ask(kSecond);
  ASSERT_EQ(trying.size(), 1U);
  net.End(*trying.begin(), RequestTrials::Result::kBegun);
  net.Ask(kStep * 20, 2);
  net.nodes.at("g0")->trials.OnEnded(net.now, 2,
                                     RequestTrials::Result::kUnknown);
  net.Ask(kStep * 5, 2);
  net.Ask(kStep * 20, 3);
  std::size_t sent = 0;
  for (const auto& [name, node] : net.nodes) {
    sent += node->trials.MaySend(3) ? 1 : 0;
  }
  EXPECT_LE(sent, 1U);
}

// Guards against a long trial beside which a second one begins.
TEST(RequestTrialsTest, ALongTrialIsRenewed) {
  TrialNet net(3);
  net.loss_percent = 20;
  const auto first = net.Ask(kSecond);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(net.Ask(20 * kSecond), first);
}

}  // namespace
}  // namespace acaciachute
