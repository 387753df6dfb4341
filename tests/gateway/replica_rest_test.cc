// Tests what a gateway sends to a replica that turned a request away, above all
// to one that asked for rest.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/requests.h"
#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

// A gateway in virtual time some of whose replicas turn all requests away.
struct RestRig : GatewayRig {
  static constexpr DurationUs kTick = 10 * kMillisecond;
  static constexpr DurationUs kAnswerTime = 60 * kMillisecond;
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

  // Answers what is due: refusals at once, other requests after `kAnswerTime`.
  void AnswerDue() {
    for (; taken < sent.size(); ++taken) {
      const Sent it = sent[taken];  // A copy: a refusal sends another one.
      TakeSent(it.call, it.replica.name);
    }
    while (!serving.empty() && serving.front().first <= now) {
      const CallId call = serving.front().second;
      serving.pop_front();
      AnswerWith(call, Head(), "id: 1\ndata: x\n\n");
    }
  }
  void TakeSent(CallId call, const std::string& name) {
    arrivals[name].push_back(now);
    const auto refuses = refusing.find(name);
    if (refuses == refusing.end()) {
      serving.emplace_back(now + kAnswerTime, call);
      return;
    }
    const double seconds =
        refuses->second.empty() ? 0 : std::stod(refuses->second);
    refusals[name].push_back({now, static_cast<DurationUs>(seconds * kSecond)});
    Refuse503(call, refuses->second);
  }
  // Runs with this many requests a second on the route.
  void Run(DurationUs time, const std::string& route, int per_second) {
    const DurationUs period = kSecond / per_second;
    for (const TimeUs end = now + time; now < end; Pass(kTick)) {
      for (; next_call_at <= now; next_call_at += period) {
        Call(route);
        AnswerDue();
      }
      AnswerDue();
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
  std::size_t taken = 0;  // Of `sent`.
  std::deque<std::pair<TimeUs, CallId>> serving;
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

// What a refusal asks for, by the value of its field and its date.
std::optional<DurationUs> RestOf(const std::string& value,
                                 int status = 503,
                                 const std::string& date = "") {
  HttpAnswerHead head = RestRig::RefusalHead(status, value);
  if (!date.empty()) {
    head.fields.push_back({"Date", date});
  }
  return platform::ReadReplicaHead(head).statement.rest;
}

// Guards against rests that are read wrongly: seconds may have fractions, and a
// date counts from the replica's own clock.
TEST(ReplicaRestTest, ReadsSecondsAndDates) {
  constexpr char kSent[] = "Thu, 03 Dec 2026 10:00:00 GMT";
  EXPECT_EQ(RestOf("3"), 3 * kSecond);
  EXPECT_EQ(RestOf(" 0.25 "), kSecond / 4);
  EXPECT_EQ(RestOf("0"), 0);
  EXPECT_EQ(RestOf("3", 429), 3 * kSecond);
  EXPECT_EQ(RestOf("Thu, 03 Dec 2026 10:00:07 GMT", 503, kSent), 7 * kSecond);
  EXPECT_EQ(RestOf("Thu, 03 Dec 2026 09:00:00 GMT", 503, kSent), 0);
  EXPECT_GT(RestOf("1e300"), 300 * 24 * 3600 * kSecond);
  // Not of a refusal, or of another replica.
  EXPECT_FALSE(RestOf("3", 200));
  EXPECT_FALSE(RestOf("3", 500));
  EXPECT_FALSE(RestOf("3", 421));
  for (const char* value :
       {"", "-1", "soon", "inf", "nan", "Thu, 03 Dec 2026 10:00:07 GMT"}) {
    HttpAnswerHead head = RestRig::RefusalHead(503, "");
    head.fields.push_back({"Retry-After", value});
    const auto statement = platform::ReadReplicaHead(head).statement;
    EXPECT_FALSE(statement.rest) << value;
    EXPECT_EQ(statement.unreadable.size(), 1U) << value;
  }
  HttpAnswerHead twice = RestRig::RefusalHead(503, "1");
  twice.fields.push_back({"retry-after", "5"});
  EXPECT_EQ(platform::ReadReplicaHead(twice).statement.rest, 5 * kSecond);
}

// Guards against a rest that is cut short: by a shorter one, by the answer to a
// request that was sent before, by a row that comes back. A new incarnation
// does not inherit it.
TEST(ReplicaRestTest, EndsByTimeOrWithItsIncarnation) {
  RestRig rig;
  rig.AddReplica(ReplicaId("r1", 5), "app");
  for (int n = 0; n < 3; ++n) {
    rig.Call("plain");
  }
  rig.Refuse503(rig.sent[0].call, "4");
  rig.Refuse503(rig.sent[1].call, "1");
  rig.AnswerWith(rig.sent[2].call, GatewayRig::Head(), "b");
  rig.directory.Remove(rig.now, "r1");
  rig.AddReplica(ReplicaId("r1", 5), "app");
  ReplicaRests& rests = rig.core.rate_limiter()->rests();
  EXPECT_TRUE(
      rests.IsResting(rig.now + 3900 * kMillisecond, ReplicaId("r1", 5)));
  EXPECT_FALSE(rests.IsResting(rig.now + 4 * kSecond, ReplicaId("r1", 5)));
  rig.AddReplica(ReplicaId("r1", 6), "app");
  EXPECT_FALSE(rests.IsResting(rig.now, ReplicaId("r1", 6)));
}

// Guards against a queue that comes back all at once when a rest ends, so that
// the replica has to turn it away again.
TEST(ReplicaRestTest, AfterARestRequestsComeSlowly) {
  ReplicaRests rests;
  const ReplicaId replica = "r";
  rests.OnRefused(0, replica, 3 * kSecond);
  EXPECT_FALSE(rests.MaySend(3 * kSecond - 1, replica));
  std::vector<std::size_t> sent;
  for (TimeUs now = 3 * kSecond; now < 4 * kSecond;
       now += SlowStart::kDoublingPeriod) {
    const auto turns = rests.NextTurns(now, replica);
    EXPECT_EQ(turns.front(), now);
    sent.push_back(0);
    for (; rests.MaySend(now, replica); ++sent.back()) {
      rests.OnSent(now, replica);
    }
  }
  EXPECT_EQ(sent, (std::vector<std::size_t>{1, 2, 4, 8}));
  const TimeUs end = 4 * kSecond;
  EXPECT_EQ(rests.NextTurns(end - kMillisecond, replica),
            std::vector<TimeUs>{end});
  EXPECT_TRUE(rests.MaySend(end, replica));
  EXPECT_FALSE(rests.IsLimited(end, replica));
  // What was not sent after all frees its place.
  rests.OnRefused(end, replica, kSecond);
  rests.OnSent(end + kSecond, replica);
  rests.OnNotSent(replica);
  EXPECT_TRUE(rests.MaySend(end + kSecond, replica));
}

// Guards against requests that are refused, or sent into a rest, when all
// replicas rest for a time that the requests can wait. The most urgent goes
// first; the refused one itself waits, too.
TEST(ReplicaRestTest, RequestsWaitForTheFirstRestToEnd) {
  RestRig rig;
  rig.core.SetGatewayCount(5);
  rig.AddReplica("e1", "engine");
  rig.AddReplica("e2", "engine");
  const ExchangeId refused = rig.Call("stream");
  const ExchangeId other = rig.Call("stream");
  ASSERT_EQ(rig.sent.size(), 2U);
  rig.Refuse503(rig.sent[0].call, "3");
  // Sent to the second replica, which turns it away as well.
  ASSERT_EQ(rig.sent.size(), 3U);
  rig.Refuse503(rig.sent[1].call, "2");
  rig.Refuse503(rig.sent[2].call, "2");
  const ExchangeId late = rig.Call("stream");
  for (int n = 0; n < 199; ++n) {
    rig.Pass(RestRig::kTick);
  }
  EXPECT_EQ(rig.sent.size(), 3U);
  EXPECT_TRUE(rig.refused.empty());
  rig.Pass(RestRig::kTick);
  ASSERT_EQ(rig.sent.size(), 4U);
  rig.Pass(SlowStart::kDoublingPeriod);
  EXPECT_EQ(rig.sent.size(), 6U);
  for (std::size_t n = 3; n < 6; ++n) {
    EXPECT_EQ(rig.sent[n].replica, rig.sent[2].replica);
    rig.AnswerWith(rig.sent[n].call, GatewayRig::Head(), "id: 1\ndata: x\n\n");
  }
  for (const ExchangeId it : {refused, other, late}) {
    EXPECT_TRUE(rig.streams.contains(it));
  }
}

// Guards against requests that are held although the first rest ends too late
// for them: they are refused at once, to be tried at another gateway, or with
// the time of the end if there is none.
TEST(ReplicaRestTest, WhatCannotWaitIsRefusedAtOnce) {
  for (const std::size_t gateways : {1U, 5U}) {
    RestRig rig;
    rig.core.SetGatewayCount(gateways);
    rig.AddReplica("r1", "app");
    const ExchangeId first = rig.Call("plain");
    rig.Refuse503(rig.sent[0].call, "60");
    const ExchangeId second = rig.Call("plain");
    for (const ExchangeId it : {first, second}) {
      ASSERT_TRUE(rig.refused.contains(it));
      EXPECT_EQ(rig.refused[it].verdict, Verdict::kNotRun);
      EXPECT_EQ(rig.refused[it].reason, Refusal::kFull);
      EXPECT_EQ(rig.refused[it].retry_after,
                gateways == 1 ? 60 * kSecond : 20 * kMillisecond);
    }
  }
}

// Guards against a budget of repeats that is spent by sending into the same
// refusal: every request is served while three of nine replicas turn all away.
TEST(ReplicaRestTest, TheRetryBudgetLasts) {
  RestRig rig;
  for (int n = 0; n < 9; ++n) {
    rig.AddReplica("e" + std::to_string(n), "engine");
  }
  rig.refusing = {{"e0", "3"}, {"e1", "3"}, {"e2", "3"}};
  rig.Run(10 * kSecond, "stream", 100);
  EXPECT_TRUE(rig.refused.empty());
  for (const char* it : {"e0", "e1", "e2"}) {
    EXPECT_LE(rig.MostInRest(it), RestRig::kMaxInRest);
    EXPECT_LE(rig.refusals[it].size(), 8U);
  }
}

// Guards against a connection that is established in the rest and carries a
// request that was chosen for the replica before.
TEST(ReplicaRestTest, RequestsThatStillConnectGoElsewhere) {
  RestRig rig;
  rig.AddReplica("r1", "app");
  rig.Call("plain");
  rig.Call("plain");
  rig.AddReplica("r2", "app");
  rig.connecting.insert(rig.sent[0].call);
  rig.Refuse503(rig.sent[1].call, "3");
  EXPECT_EQ(rig.cancelled, std::vector<CallId>{rig.sent[0].call});
  ASSERT_EQ(rig.sent.size(), 4U);
  EXPECT_EQ(rig.sent[2].replica, ReplicaId("r2"));
  EXPECT_EQ(rig.sent[3].replica, ReplicaId("r2"));
}

// A replica that rests and states a limit, is cold, or leaves is held by the
// strictest of them.
TEST(ReplicaRestTest, HoldsBesideOtherStatements) {
  RestRig rig;
  rig.AddReplica("e1", "engine", "a", rig.now + 60 * kSecond);
  rig.AddReplica("e2", "engine");
  ReplicaStatement statement;
  statement.proven = true;
  statement.refused = true;
  statement.rest = 2 * kSecond;
  statement.max_rate = 1;
  rig.core.OnStatement("e1", statement);
  rig.core.OnStatement("e2", statement);
  for (int n = 0; n < 10; ++n) {
    rig.Call("stream");
  }
  EXPECT_TRUE(rig.sent.empty());
  for (int n = 0; n < 350; ++n) {
    rig.Pass(RestRig::kTick);
  }
  // One request a second each in 4 s windows; none was sent before.
  EXPECT_GE(rig.sent.size(), 4U);
  EXPECT_LE(rig.sent.size(), 8U);
  const std::size_t before = rig.sent.size();
  statement.leaving = true;
  statement.rest = kMillisecond;
  rig.core.OnStatement("e1", statement);
  rig.core.OnStatement("e2", statement);
  rig.core.OnConfirmed(rig.now);
  const ExchangeId id = rig.Call("stream");
  EXPECT_EQ(rig.refused[id].reason, Refusal::kNoReplica);
  EXPECT_EQ(rig.sent.size(), before);
}

// The home of a prompt returns to it after a rest.
TEST(ReplicaRestTest, ThePromptsHomeComesBack) {
  RestRig rig;
  for (int n = 0; n < 5; ++n) {
    rig.AddReplica("e" + std::to_string(n), "engine");
  }
  const std::vector<PromptPart> prompt = {{"aa", 5000}, {"own", 100}};
  const EngineRequest request{&prompt, 5100, "", 0};
  const auto choose = [&] {
    return rig.core.engines()->Choose(rig.now, "engine", request, {}, true)->id;
  };
  const ReplicaId home = choose();
  rig.core.rate_limiter()->rests().OnRefused(rig.now, home, 2 * kSecond);
  EXPECT_NE(choose(), home);
  rig.now += 2 * kSecond;
  EXPECT_EQ(choose(), home);
}

// Guards against a replica that turns requests away at once, does not say for
// how long, and gets more than others because it has nothing in progress.
TEST(ReplicaRestTest, ARefusalWithoutATimeIsNotForgotten) {
  for (const char* route : {"plain", "stream"}) {
    SCOPED_TRACE(route);
    RestRig rig;
    for (const char* it : {"r1", "r2", "r3", "r4"}) {
      rig.AddReplica(it, route[0] == 'p' ? "app" : "engine");
    }
    rig.Run(2 * kSecond, route, 50);
    rig.refusing = {{"r1", ""}, {"r2", "0"}};
    rig.Run(6 * kSecond, route, 50);
    for (const char* it : {"r1", "r2"}) {
      EXPECT_GE(rig.refusals[it].size(), 1U);
      EXPECT_LE(rig.refusals[it].size(), 6U);
    }
    EXPECT_TRUE(rig.refused.empty());
    rig.refusing.clear();
    rig.Run(6 * kSecond, route, 50);
    EXPECT_GT(rig.Arrived("r1", 2 * kSecond), 0U);
  }
}

// Guards against capacity that lies idle, or one replica that gets everything,
// when all replicas have turned a request away because they were full.
TEST(ReplicaRestTest, AllThatRefusedAreStillUsed) {
  RestRig rig;
  for (const char* it : {"r1", "r2", "r3", "r4"}) {
    rig.AddReplica(it, "engine");
    rig.core.rate_limiter()->refusals().OnRefused(rig.now, it);
  }
  for (int n = 0; n < 40; ++n) {
    rig.Call("stream");
  }
  EXPECT_EQ(rig.sent.size(), 40U);
  std::map<std::string, int> used;
  for (const auto& it : rig.sent) {
    ++used[it.replica.name];
  }
  EXPECT_EQ(used.size(), 4U);
}

// One full moment refuses many requests that were on their way: they count
// once. An answer ends it.
TEST(ReplicaRestTest, RefusalsOfOneMomentCountOnce) {
  RecentRefusals refusals;
  for (int n = 0; n < 10; ++n) {
    refusals.OnRefused(n * kMillisecond, "r");
  }
  EXPECT_TRUE(refusals.IsAvoided(RecentRefusals::kBackoff - 1, "r"));
  EXPECT_FALSE(refusals.IsAvoided(RecentRefusals::kBackoff, "r"));
  refusals.OnRefused(kSecond, "r");
  EXPECT_TRUE(
      refusals.IsAvoided(kSecond + 2 * RecentRefusals::kBackoff - 1, "r"));
  refusals.OnAccepted("r");
  EXPECT_FALSE(refusals.IsAvoided(kSecond, "r"));
}

// Guards against memory that nothing frees, for replicas that are gone and
// refuse what was sent to them before. A rest ends by itself and is kept, as
// the replica's row may come back.
TEST(ReplicaRestTest, KeepsOnlyRestsOfReplicasThatAreNotListed) {
  RestRig rig;
  rig.AddReplica("r1", "app");
  rig.Call("plain");
  rig.Call("plain");
  rig.directory.Remove(rig.now, "r1");
  rig.Refuse503(rig.sent[0].call, "");
  rig.Refuse503(rig.sent[1].call, "3");
  const ReplicaRateLimiter& limiter = *rig.core.rate_limiter();
  EXPECT_FALSE(limiter.refusals().IsAvoided(rig.now, "r1"));
  EXPECT_TRUE(limiter.rests().IsResting(rig.now, "r1"));
}

}  // namespace
}  // namespace acaciachute
