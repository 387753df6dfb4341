// Tests what a gateway sends to a replica that turned a request away, above all
// to one that asked for rest.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/requests.h"
#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

// A gateway in virtual time whose replicas answer at once; some turn all
// requests away.
struct RestRig : GatewayRig {
  static constexpr DurationUs kTick = 10 * kMillisecond;
  // The users' rule: at most this many requests from this long after a refusal
  // until the rest that it asked for ends.
  static constexpr std::size_t kMaxInRest = 2;
  static constexpr DurationUs kGrace = 500 * kMillisecond;

  static HttpAnswerHead RefusalHead(int status, const std::string& rest) {
    HttpAnswerHead head;
    head.status = status;
    head.fields = {{"Not-Executed", "1"}};
    if (!rest.empty()) {
      head.fields.push_back({"Retry-After", rest});
    }
    return head;
  }
  void Refuse503(CallId call, const std::string& rest) {
    AnswerWith(call, platform::ReadReplicaHead(RefusalHead(503, rest)));
  }

  // Replicas that turn requests away, and the value of their field.
  std::map<std::string, std::string> refusing;
  struct Refused {
    TimeUs time = 0;
    DurationUs rest = 0;
  };
  std::map<std::string, std::vector<Refused>> refusals;
  std::map<std::string, std::vector<TimeUs>> arrivals;

  // Answers all requests that were sent.
  void AnswerAll() {
    for (; answered_calls < sent.size(); ++answered_calls) {
      const Sent it = sent[answered_calls];
      const std::string& name = it.replica.name;
      arrivals[name].push_back(now);
      const auto refuses = refusing.find(name);
      if (refuses == refusing.end()) {
        AnswerWith(it.call, Head(), "id: 1\ndata: x\n\n");
        continue;
      }
      const double seconds =
          refuses->second.empty() ? 0 : std::stod(refuses->second);
      refusals[name].push_back(
          {now, static_cast<DurationUs>(seconds * kSecond)});
      Refuse503(it.call, refuses->second);
    }
  }
  // Runs with this many requests a second on the route.
  void Run(DurationUs time, const std::string& route, int per_second) {
    const DurationUs period = kSecond / per_second;
    for (const TimeUs end = now + time; now < end; Pass(kTick)) {
      for (; next_call_at <= now; next_call_at += period) {
        Call(route);
        AnswerAll();
      }
      AnswerAll();
      core.OnConfirmed(now);
    }
  }
  // Largest number of requests that the rule counts after any refusal.
  std::size_t MostInRest(const std::string& replica) {
    std::size_t most = 0;
    for (const Refused& it : refusals[replica]) {
      const auto& times = arrivals[replica];
      most = std::max(most, static_cast<std::size_t>(std::count_if(
                                times.begin(), times.end(), [&](TimeUs at) {
                                  return at > it.time + kGrace &&
                                         at < it.time + it.rest;
                                })));
    }
    return most;
  }
  // Number of requests that reached the replica in the last `time`.
  std::size_t Arrived(const std::string& replica, DurationUs time) {
    const auto& times = arrivals[replica];
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(),
                      [&](TimeUs at) { return at > now - time; }));
  }

  TimeUs next_call_at = now;
  std::size_t answered_calls = 0;
};

// Guards against a replica that turns requests away at once and asks for rest,
// and gets more than others because it has nothing in progress.
TEST(ReplicaRestTest, AReplicaThatAskedForRestGetsNone) {
  for (const char* route : {"plain", "repeat", "stream", "resume"}) {
    for (const char* rest : {"0.8", "3", "10"}) {
      SCOPED_TRACE(std::string(route) + ", rest " + rest);
      RestRig rig;
      const bool plain = route[0] == 'p' || std::string(route) == "repeat";
      for (const char* it : {"r1", "r2", "r3", "r4"}) {
        rig.AddReplica(it, plain ? "app" : "engine");
      }
      rig.Run(2 * kSecond, route, 50);
      rig.refusing = {{"r1", rest}, {"r2", rest}};
      rig.Run(12 * kSecond, route, 50);
      for (const char* it : {"r1", "r2"}) {
        EXPECT_FALSE(rig.refusals[it].empty());
        EXPECT_LE(rig.MostInRest(it), RestRig::kMaxInRest);
      }
      EXPECT_TRUE(rig.refused.empty());
      rig.refusing.clear();
      rig.Run(12 * kSecond, route, 50);
      EXPECT_GT(rig.Arrived("r1", 2 * kSecond), 0U);
    }
  }
}

}  // namespace
}  // namespace acaciachute
