// Tests of records of what ends replicas, and of what gateways do with them, in
// virtual time.
#include "coordination/crashes/crash_records.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/crashes/cause_trials.h"
#include "coordination/crashes/crash_exchange.h"
#include "coordination/crashes/crash_judgement.h"
#include "coordination/crashes/request_trials.h"
#include "protocol/crash_codec.h"
#include "state/random.h"
#include "state/request_fingerprint.h"
#include "tests/gateway/gateway_rig.h"
#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

// Time from the start of a run until its replica ends.
constexpr DurationUs kRun = 100 * kMillisecond;

const CrashCause kPoison = {CauseKind::kRequest, "f-poison"};
const CrashCause kPopular = {CauseKind::kRequest, "f-popular"};

CrashCause Request(const std::string& id) {
  return {CauseKind::kRequest, id};
}
CrashCause Part(const std::string& id) {
  return {CauseKind::kPromptPart, id};
}

ReplicaId Replica(int n) {
  return ReplicaId("i-" + std::to_string(n), 7);
}

void EndUnder(CrashRecords* records,
              TimeUs at,
              const std::vector<CrashCause>& causes,
              int replica) {
  std::vector<CrashRecords::Suspect> suspects;
  suspects.reserve(causes.size());
  for (const CrashCause& it : causes) {
    suspects.push_back({it, "acme", {at - kRun, at}});
  }
  records->OnReplicaEnded(at, Replica(replica), suspects);
}

// Whether requests with the cause are refused without a trial.
bool IsRefused(const CrashRecords& records,
               TimeUs now,
               const CrashCause& cause) {
  const auto verdict = records.Of(now, cause);
  return verdict.blocked && !verdict.doubtful;
}

// Guards against a count that grows with the gateways that saw one end.
TEST(CrashRecordsTest, AnEndThatSeveralGatewaysSawCountsOnce) {
  CrashRecords a;
  CrashRecords b;
  EndUnder(&a, kSecond, {kPoison}, 1);
  EndUnder(&a, kSecond, {kPoison}, 1);
  EndUnder(&b, kSecond, {kPoison}, 1);
  EndUnder(&b, 2 * kSecond, {kPoison}, 2);
  a.Merge(2 * kSecond, b.Report(2 * kSecond, {kPoison}));
  a.Merge(2 * kSecond, b.Report(2 * kSecond, {kPoison}));
  EXPECT_EQ(a.Of(2 * kSecond, kPoison).ends, 2U);
  EXPECT_FALSE(a.Of(2 * kSecond, kPoison).blocked);
  EndUnder(&b, 3 * kSecond, {kPoison}, 3);
  a.Merge(3 * kSecond, b.Report(3 * kSecond, {kPoison}));
  EXPECT_TRUE(a.Of(3 * kSecond, kPoison).blocked);
}

// Guards against refusing a request that many clients send: it is in progress
// at each end.
TEST(CrashRecordsTest, AWholeAnswerTakesEndsBackInAnyOrder) {
  CrashRecords a;
  CrashRecords b;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&a, (n + 1) * kSecond, {kPopular}, n);
    EndUnder(&b, (n + 1) * kSecond, {kPopular}, n);
  }
  EXPECT_TRUE(a.Of(4 * kSecond, kPopular).blocked);
  const CrashReport old = a.Report(4 * kSecond, {kPopular});
  EXPECT_TRUE(a.OnCleared(4 * kSecond, kPopular));
  EXPECT_FALSE(a.Of(4 * kSecond, kPopular).blocked);
  a.Merge(5 * kSecond, b.Report(5 * kSecond, {kPopular}));
  EXPECT_FALSE(a.Of(5 * kSecond, kPopular).blocked);
  b.Merge(5 * kSecond, a.Report(5 * kSecond, {kPopular}));
  EXPECT_FALSE(b.Of(5 * kSecond, kPopular).blocked);
  EXPECT_EQ(old.ends.size(), 3U);
}

// Guards against refusing those that were beside a request which ends replicas.
TEST(CrashRecordsTest, EndsOfABlockedRequestDoNotCountForOthers) {
  CrashRecords records;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&records, (n + 1) * kSecond, {Request("f-beside")}, n);
  }
  EXPECT_TRUE(records.Of(4 * kSecond, Request("f-beside")).blocked);
  for (int n = 0; n < 4; ++n) {
    EndUnder(&records, (n + 1) * kSecond, {kPoison}, n);
  }
  EXPECT_TRUE(records.Of(5 * kSecond, kPoison).blocked);
  EXPECT_FALSE(records.Of(5 * kSecond, Request("f-beside")).blocked);
}

// Guards against a block that ends by itself and then costs three replicas.
TEST(CrashRecordsTest, OneMoreEndBlocksAgainAfterABlockHasEnded) {
  CrashRecords records;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&records, (n + 1) * kSecond, {kPoison}, n);
  }
  const TimeUs later = 4 * kSecond + LimitsOf(kPoison.kind).block_duration;
  EXPECT_FALSE(records.Of(later, kPoison).blocked);
  EndUnder(&records, later, {kPoison}, 3);
  EXPECT_TRUE(records.Of(later, kPoison).blocked);
}

// Guards against refusing a request whose copies were in progress at many
// replicas when all of them ended at once, and against sending all of its
// copies on if it ended them.
TEST(CrashRecordsTest, EndsOfRunsAtTheSameTimeLeaveADoubt) {
  CrashRecords records;
  for (int n = 0; n < 6; ++n) {
    EXPECT_EQ(records.Of(2 * kSecond, kPopular).doubtful, n >= 3) << n;
    EndUnder(&records, kSecond + n * kMillisecond, {kPopular}, n);
  }
  EXPECT_TRUE(records.Of(2 * kSecond, kPopular).doubtful);
  EXPECT_FALSE(IsRefused(records, 2 * kSecond, kPopular));
  EXPECT_TRUE(records.IsStored(2 * kSecond, kPopular));
  records.OnCleared(2 * kSecond, kPopular);
  EXPECT_FALSE(records.Of(2 * kSecond, kPopular).blocked);
}

// Guards against trial after trial of a request that was answered before, so
// that many ends in sequence are asked for.
TEST(CrashRecordsTest, ThreeTrialsThatEndReplicasAreCertain) {
  for (const bool cleared : {false, true}) {
    CrashRecords records;
    if (cleared) {
      records.OnCleared(kSecond, kPoison);
    }
    for (int n = 0; n < 3; ++n) {
      EndUnder(&records, 2 * kSecond, {kPoison}, n);
    }
    int trials = 0;
    while (!IsRefused(records, 20 * kSecond, kPoison)) {
      ASSERT_LT(trials, 3);
      const TimeUs at = (3 + trials) * kSecond;
      records.OnReplicaEnded(at, Replica(10 + trials++),
                             {{kPoison, "acme", {at - kRun, at, true}}});
    }
    EXPECT_EQ(trials, cleared ? 3 : 2);
  }
}

// Guards against ends that are known only after the answer that came after
// them, at a gateway that tells of them late.
TEST(CrashRecordsTest, AnAnswerTakesBackEndsThatAreKnownLater) {
  CrashRecords a;
  CrashRecords b;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&a, (n + 1) * kSecond, {kPopular}, n);
  }
  b.OnCleared(4 * kSecond, kPopular);
  b.Merge(5 * kSecond, a.Report(5 * kSecond, {kPopular}));
  EXPECT_FALSE(b.Of(5 * kSecond, kPopular).blocked);
  a.Merge(6 * kSecond, b.Report(6 * kSecond, {kPopular}));
  EXPECT_FALSE(a.Of(6 * kSecond, kPopular).blocked);
}

// Guards against blocking a popular request with long runs, of which three in
// sequence meet ends before the next answer.
TEST(CrashRecordsTest, WhatWasAnsweredBeforeTakesSixEnds) {
  for (const CrashCause& cause : {kPopular, Part("doc")}) {
    CrashRecords records;
    records.OnCleared(kSecond, cause);
    for (int n = 0; n < 5; ++n) {
      EndUnder(&records, (n + 2) * kSecond, {cause}, n);
    }
    EXPECT_EQ(records.Of(8 * kSecond, cause).ends, 5U);
    EXPECT_FALSE(IsRefused(records, 8 * kSecond, cause));
    EndUnder(&records, 8 * kSecond, {cause}, 5);
    EXPECT_TRUE(records.Of(8 * kSecond, cause).blocked);
    EXPECT_EQ(records.Of(8 * kSecond, cause).doubtful,
              cause.kind == CauseKind::kPromptPart);
  }
}

// Guards against a client that makes up such requests and displaces the
// records of others.
TEST(CrashRecordsTest, AnAccountWithManyRecordsDisplacesItsOwn) {
  CrashRecords records;
  for (int n = 0; n < 3; ++n) {
    const TimeUs at = (n + 1) * kSecond;
    records.OnReplicaEnded(at, Replica(n),
                           {{kPoison, "other", {at - kRun, at}}});
    records.OnReplicaEnded(at, Replica(10 + n),
                           {{Part("bad"), "flood", {at - kRun, at}}});
  }
  for (std::size_t n = 0; n < 2 * CrashRecords::kMaxRecords; ++n) {
    records.OnReplicaEnded(4 * kSecond, Replica(static_cast<int>(n)),
                           {{Request("f-" + std::to_string(n)),
                             "flood",
                             {3 * kSecond, 4 * kSecond}}});
  }
  EXPECT_TRUE(records.Of(5 * kSecond, kPoison).blocked);
  EXPECT_EQ(records.Of(5 * kSecond, Part("bad")).ends, 3U);
  EXPECT_LE(records.All(5 * kSecond).size(), CrashRecords::kMaxRecords);
}

// Guards against a part that ends replicas in requests of which no two are
// alike, and against refusing the parts that go with it.
TEST(CrashRecordsTest, APartIsToldFromTheOthersOfItsPrompts) {
  CrashRecords records;
  records.OnCleared(kSecond, Part("system"));
  for (int n = 0; n < 4; ++n) {
    const std::string own = std::to_string(n);
    EndUnder(&records, (n + 2) * kSecond,
             {Request(own), Part("system"), Part("bad"), Part("doc" + own)}, n);
  }
  const TimeUs now = 7 * kSecond;
  EXPECT_TRUE(records.Of(now, Part("bad")).blocked);
  EXPECT_EQ(records.Of(now, Part("bad")).rivals, 1U);
  EXPECT_EQ(records.Of(now, Part("bad")).blocked_for, kNever);
  for (const CrashCause& it :
       {Part("system"), Part("doc1"), Request("1"), Request("bad")}) {
    EXPECT_FALSE(records.Of(now, it).blocked) << Text(it);
    EXPECT_EQ(records.Of(now, it).ends, 0U) << Text(it);
  }
}

// Guards against refusing the parts of one request that ends replicas: others
// have them too.
TEST(CrashRecordsTest, ARequestThatEndsReplicasExplainsItsParts) {
  CrashRecords records;
  for (int n = 0; n < 5; ++n) {
    EndUnder(&records, (n + 1) * kSecond, {kPoison, Part("doc")}, n);
  }
  EXPECT_TRUE(records.Of(6 * kSecond, kPoison).blocked);
  EXPECT_FALSE(records.Of(6 * kSecond, Part("doc")).blocked);
  // Once others with the part end replicas too, it is the part.
  EndUnder(&records, 6 * kSecond, {Request("f-other"), Part("doc")}, 5);
  EXPECT_FALSE(records.Of(7 * kSecond, Part("doc")).blocked);
  EndUnder(&records, 7 * kSecond, {Request("f-third"), Part("doc")}, 6);
  EXPECT_TRUE(records.Of(7 * kSecond, Part("doc")).blocked);
}

// Guards against a part of which requests come at all gateways at once: five
// replicas have ended before any end is known.
TEST(CrashRecordsTest, FiveEndsAtOnceBlockAPart) {
  CrashRecords records;
  for (int n = 0; n < 5; ++n) {
    EXPECT_FALSE(records.Of(2 * kSecond, Part("bad")).blocked);
    EndUnder(&records, kSecond + n * kMillisecond, {Part("bad")}, n);
  }
  EXPECT_TRUE(records.Of(2 * kSecond, Part("bad")).blocked);
}

void EndUnderTrial(CrashRecords* records,
                   TimeUs at,
                   const CrashCause& tried,
                   int replica) {
  records->OnReplicaEnded(at, Replica(replica),
                          {{tried, "acme", {at - kRun, at, true}}});
}

// Guards against refusing for good what only goes with the guilty part: nobody
// knows that it is sound when all gateways have just started.
TEST(CrashRecordsTest, AVerdictIsDoubtfulUntilATrialEndsAReplica) {
  CrashRecords records;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&records, (n + 1) * kSecond,
             {Part("system"), Part("tenant"), Part("bad")}, n);
  }
  for (const char* it : {"system", "tenant", "bad"}) {
    const auto verdict = records.Of(4 * kSecond, Part(it));
    EXPECT_TRUE(verdict.blocked) << it;
    EXPECT_TRUE(verdict.doubtful) << it;
    EXPECT_EQ(verdict.rivals, 3U) << it;
  }
  records.OnCleared(4 * kSecond, Part("system"));
  records.OnCleared(4 * kSecond, Part("tenant"));
  EXPECT_TRUE(records.Of(5 * kSecond, Part("bad")).doubtful);
  EXPECT_EQ(records.Of(5 * kSecond, Part("bad")).rivals, 1U);
  EndUnderTrial(&records, 6 * kSecond, Part("bad"), 3);
  EXPECT_FALSE(records.Of(7 * kSecond, Part("bad")).doubtful);
  EXPECT_TRUE(records.Of(7 * kSecond, Part("bad")).blocked);
}

// Guards against a trial of a sound part at a replica that ended under the
// guilty one.
TEST(CrashRecordsTest, ATrialBesideTheGuiltyPartShowsNothing) {
  CrashRecords records;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&records, (n + 1) * kSecond, {Part("tenant"), Part("bad")}, n);
  }
  EndUnderTrial(&records, 5 * kSecond, Part("tenant"), 3);
  EndUnder(&records, 5 * kSecond, {Part("bad")}, 3);
  EXPECT_TRUE(records.Of(6 * kSecond, Part("tenant")).doubtful);
}

// Guards against a trial at each gateway: of all of them, one tries a cause,
// one request at a time.
TEST(CauseTrialsTest, OneGatewayTriesOneRequestAtATime) {
  constexpr int kMost = CauseTrials::kMaxTrials;
  const std::vector<NodeId> nodes = {"g1", "g2", "g3", "g4", "g5"};
  int tried = 0;
  for (const NodeId& self : nodes) {
    std::vector<NodeId> peers = nodes;
    std::erase(peers, self);
    CauseTrials trials(self);
    if (!trials.Begin({Part("bad")}, 1, kMost, peers)) {
      continue;
    }
    ++tried;
    EXPECT_TRUE(trials.IsTrial({Part("bad")}, 1));
    EXPECT_FALSE(trials.Begin({Part("bad")}, 2, kMost, peers));
    trials.OnEnded(1, false);
    for (ExchangeId id = 3; id < 3 + CauseTrials::kMaxTrials; ++id) {
      EXPECT_TRUE(trials.Begin({Part("bad")}, id, kMost, peers));
      trials.OnEnded(id, true);
    }
    EXPECT_FALSE(trials.Begin({Part("bad")}, 9, kMost, peers));
    // With another part it is another question.
    EXPECT_EQ(trials.Begin({Part("bad"), Part("x")}, 10, 1, peers), true);
  }
  EXPECT_EQ(tried, 1);
}

// A fleet of gateways whose messages are delayed and lost, and replicas that
// read a request for some time before they begin its answer: requests with one
// part end each replica that begins on them; others share all its other parts;
// one request ends replicas in all its copies; replicas also end without a
// cause, one by one and many at once.
class CrashFleet {
 public:
  static constexpr int kReplicas = 24;
  static constexpr DurationUs kStep = 10 * kMillisecond;
  // Arrivals count from this long after the last end that may be.
  static constexpr DurationUs kContact = 3 * kSecond;
  // Clients whose answers take as long as a trial wait for both.
  static constexpr DurationUs kLongestTrialWait = 8 * kSecond;

  struct Options {
    int gateways = 20;
    bool poison = true;                 // One request ends replicas.
    bool bad_part = true;               // One part does.
    bool kills = true;                  // Replicas end without a cause.
    DurationUs longest_wait = kSecond;  // Until an answer begins.
    // Of two in three, which clear nothing before they are whole.
    DurationUs plain_answer_time = 0;
  };

  CrashFleet(std::uint64_t seed, const Options& options)
      : options_(options), random_(seed), replicas_(kReplicas) {
    StartGateways();
  }

  // `crashes`: whether replicas end.
  void Run(DurationUs time, bool crashes) {
    for (const TimeUs end = now_ + time; now_ < end; now_ += kStep) {
      Deliver();
      TryWaiting();
      Arrive(crashes);
      BeginAnswers();
      if (crashes && options_.kills) {
        Kill();
      }
      if (now_ % kSecond == 0) {
        Gossip();
      }
    }
  }

  // All gateways are killed and start again with nothing known.
  void KillGateways() {
    gateways_.clear();
    StartGateways();
    datagrams_.clear();
    trial_datagrams_.clear();
    waiting_.clear();
  }

  struct Guilty {
    int deaths = 0;
    TimeUs last_allowed = 0;  // The end that may be the last one.
    int late_arrivals = 0;
  };
  const Guilty& poison() const { return poison_; }
  const Guilty& bad_part() const { return bad_part_; }
  int sound() const { return sound_; }
  // Refused though they end nothing, since the last call.
  int TakeSoundRefused() { return std::exchange(sound_refused_, 0); }

 private:
  // Sends a gateway's messages about trials of requests.
  struct Port : RequestTrialsOutput {
    Port(CrashFleet* fleet_in, int self_in) : fleet(fleet_in), self(self_in) {}
    std::vector<NodeId> LivePeers() override { return fleet->PeersOf(self); }
    void SendTrialMessage(const NodeId& to, const Message& message) override {
      fleet->SendTrialMessage(self, std::stoi(to.substr(1)), message);
    }
    CrashFleet* const fleet;
    const int self;
  };
  struct Gateway {
    Gateway(CrashFleet* fleet, int n)
        : name("g" + std::to_string(n)),
          trials(name),
          port(std::make_unique<Port>(fleet, n)),
          request_trials(name, port.get(), &fleet->log_) {}
    NodeId name;
    CrashRecords records;
    CauseTrials trials;
    std::unique_ptr<Port> port;
    RequestTrials request_trials;
  };
  struct Item {
    int gateway = 0;
    ExchangeId id = 0;
    std::vector<CrashCause> causes;  // The request first.
    TimeUs began_at = 0;
    TimeUs begins_at = 0;
    Guilty* guilty = nullptr;  // Null: it ends nothing.
    std::optional<CrashCause> tried = {};
    bool request_tried = false;
    TimeUs waits_until = 0;  // For a trial of its request.
  };
  struct ReplicaState {
    int incarnation = 0;
    TimeUs up_at = 0;
    std::vector<Item> items;  // No answer has begun.
  };
  struct Datagram {
    TimeUs at = 0;
    int to = 0;
    CrashReport report;
  };
  struct TrialDatagram {
    TimeUs at = 0;
    int from = 0;
    int to = 0;
    Message message;
  };

  void StartGateways() {
    for (int n = 0; n < options_.gateways; ++n) {
      gateways_.emplace_back(this, n);
    }
  }

  std::uint64_t Below(std::uint64_t n) { return random_.Below(n); }
  int Draw(int n) {
    return static_cast<int>(Below(static_cast<std::uint64_t>(n)));
  }

  void Arrive(bool crashes) {
    if (Below(4) == 0) {
      Send({Request("f" + std::to_string(next_)), Part("system"),
            Part("tenant" + std::to_string(Draw(3))),
            Part("doc" + std::to_string(Draw(40)))},
           nullptr);
    }
    if (crashes && options_.bad_part && Below(20) == 0) {
      const int turn = Draw(4);
      Send({Request("f" + std::to_string(next_)), Part("system"),
            Part("tenant1"), Part("bad"), Part("turn" + std::to_string(turn))},
           &bad_part_);
    }
    if (crashes && options_.poison && Below(25) == 0) {
      Send({kPoison, Part("system"), Part("tenant2"), Part("own-doc")},
           &poison_);
    }
    if (Below(60) == 0) {
      // Has what else came only with those that end replicas.
      Send({Request("f" + std::to_string(next_)), Part("system"),
            Part(Draw(2) == 0 ? "own-doc" : "turn" + std::to_string(Draw(4)))},
           nullptr);
    }
    if (Below(10) == 0) {
      Send({kPopular, Part("system"), Part("tenant0")}, nullptr);
    }
  }

  bool IsRefused(Gateway* gateway, Item* item) {
    std::vector<CrashCause> blocked;
    std::size_t rivals = SIZE_MAX;
    DurationUs decided_age = 0;
    for (const CrashCause& it : item->causes) {
      const auto verdict = gateway->records.Of(now_, it);
      if (!verdict.blocked) {
        continue;
      }
      if (!verdict.doubtful) {
        return true;
      }
      if (it.kind == CauseKind::kRequest) {
        continue;
      }
      blocked.push_back(it);
      rivals = std::min(rivals, verdict.rivals);
      decided_age = std::max(decided_age, verdict.decided_age);
    }
    if (blocked.empty() || (blocked.size() < rivals &&
                            decided_age < CrashRecords::kTellApartWindow)) {
      return false;
    }
    if (gateway->trials.IsTrial(blocked, item->id)) {
      return false;
    }
    const bool all = blocked.size() > 1 && blocked.size() >= rivals;
    if (!gateway->trials.Begin(blocked, item->id,
                               all ? 1 : CauseTrials::kMaxTrials,
                               PeersOf(item->gateway))) {
      return true;
    }
    if (blocked.size() == 1) {
      item->tried = blocked.front();
    }
    return false;
  }

  void Send(const std::vector<CrashCause>& causes, Guilty* guilty) {
    Item item = {Draw(options_.gateways), ++next_, causes, now_, 0, guilty};
    sound_ += guilty == nullptr;
    item.waits_until = now_ + kLongestTrialWait;
    TrySend(item);
  }

  void TryWaiting() {
    for (const Item& it : std::exchange(waiting_, {})) {
      TrySend(it);
    }
    for (Gateway& it : gateways_) {
      it.request_trials.OnTick(now_);
    }
  }

  void Refuse(const Item& item) {
    sound_refused_ += item.guilty == nullptr;
    Gateway& gateway = gateways_[static_cast<std::size_t>(item.gateway)];
    gateway.trials.OnEnded(item.id, false);
    gateway.request_trials.OnEnded(now_, item.id,
                                   RequestTrials::Result::kNotSent);
  }

  void TrySend(Item item) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(item.gateway)];
    if (IsRefused(&gateway, &item)) {
      Refuse(item);
      return;
    }
    const CrashCause& request = item.causes.front();
    if (gateway.records.Of(now_, request).doubtful) {
      if (!gateway.request_trials.Ask(now_, request.id, item.id)) {
        if (now_ < item.waits_until) {
          waiting_.push_back(item);
        } else {
          Refuse(item);
        }
        return;
      }
      item.request_tried = true;
    }
    item.began_at = now_;
    Guilty* const guilty = item.guilty;
    const int most_deaths = guilty == &poison_ ? 3 : 5;
    if (guilty != nullptr && guilty->deaths >= most_deaths &&
        now_ > guilty->last_allowed + kContact) {
      ++guilty->late_arrivals;
    }
    item.begins_at = now_ + 20 * kMillisecond +
                     static_cast<DurationUs>(Below(
                         static_cast<std::uint64_t>(options_.longest_wait)));
    if (options_.plain_answer_time > 0 && guilty == nullptr && Below(3) > 0) {
      item.begins_at += options_.plain_answer_time;
    }
    const int first = Draw(kReplicas);
    for (int n = 0; n < kReplicas; ++n) {
      ReplicaState& it =
          replicas_[static_cast<std::size_t>((first + n) % kReplicas)];
      if (it.up_at <= now_) {
        it.items.push_back(item);
        return;
      }
    }
    gateway.trials.OnEnded(item.id, false);
    gateway.request_trials.OnEnded(now_, item.id,
                                   RequestTrials::Result::kNotSent);
  }

  void BeginAnswers() {
    for (int n = 0; n < kReplicas; ++n) {
      ReplicaState& replica = replicas_[static_cast<std::size_t>(n)];
      std::vector<Item> begun;
      std::erase_if(replica.items, [&](const Item& it) {
        if (it.begins_at > now_ || it.guilty != nullptr) {
          return false;
        }
        begun.push_back(it);
        return true;
      });
      for (const Item& it : begun) {
        Clear(it);
      }
      for (const Item& it : replica.items) {
        if (it.begins_at <= now_) {
          Guilty* guilty = it.guilty;
          const int most_deaths = guilty == &poison_ ? 3 : 5;
          if (++guilty->deaths == most_deaths) {
            guilty->last_allowed = now_;
          }
          End(n);
          break;
        }
      }
    }
  }

  void Clear(const Item& item) {
    Gateway& gateway = gateways_[static_cast<std::size_t>(item.gateway)];
    gateway.trials.OnEnded(item.id, true);
    gateway.request_trials.OnEnded(now_, item.id,
                                   RequestTrials::Result::kAnswered);
    for (const CrashCause& it : item.causes) {
      if (gateway.records.OnCleared(now_, it)) {
        Spread({{}, {{it, 0}}});
      }
    }
  }

  void End(int n) {
    ReplicaState& replica = replicas_[static_cast<std::size_t>(n)];
    const ReplicaId id = Replica(1000 * replica.incarnation++ + n);
    replica.up_at = now_ + 2 * kSecond;
    std::map<int, std::vector<CrashRecords::Suspect>> seen;
    for (const Item& it : std::exchange(replica.items, {})) {
      Gateway& gateway = gateways_[static_cast<std::size_t>(it.gateway)];
      gateway.trials.OnEnded(it.id, true);
      gateway.request_trials.OnEnded(now_, it.id,
                                     RequestTrials::Result::kUnknown);
      for (const CrashCause& cause : it.causes) {
        const bool tried = cause.kind == CauseKind::kRequest
                               ? it.request_tried
                               : it.tried == cause;
        seen[it.gateway].push_back({cause, "acme", {it.began_at, now_, tried}});
      }
    }
    for (const auto& [gateway, suspects] : seen) {
      CrashRecords& records =
          gateways_[static_cast<std::size_t>(gateway)].records;
      Spread(
          records.Report(now_, id, records.OnReplicaEnded(now_, id, suspects)));
    }
  }

  void Kill() {
    if (Below(150) == 0) {
      End(Draw(kReplicas));
    }
    if (Below(600) == 0) {
      for (int n = 0; n < kReplicas / 2; ++n) {
        End(n);
      }
    }
  }

  void Spread(const CrashReport& report) {
    for (int to = 0; to < options_.gateways; ++to) {
      for (int n = 0; n < CrashExchange::kSends; ++n) {
        const auto delay = static_cast<DurationUs>(Below(100)) * kMillisecond;
        if (Below(10) < 2) {
          continue;  // Lost.
        }
        const DurationUs since = n * CrashExchange::kSendInterval;
        CrashReport sent = report;
        for (CrashEnd& end : sent.ends) {
          end.age += since;
          for (CrashSuspect& it : end.suspects) {
            it.began_age += since;
            it.cleared_age += it.cleared_age == kNever ? 0 : since;
          }
        }
        for (ClearedCause& it : sent.cleared) {
          it.age += since;
        }
        datagrams_.push_back({now_ + since + delay, to, sent});
      }
    }
  }
  // Each gateway tells a random one some of what it knows.
  void Gossip() {
    for (Gateway& it : gateways_) {
      const auto some = it.records.Some(
          now_, static_cast<std::size_t>(now_ / kSecond) * 4, 4);
      datagrams_.push_back(
          {now_, Draw(options_.gateways), it.records.Report(now_, some)});
    }
  }
  std::vector<NodeId> PeersOf(int self) const {
    std::vector<NodeId> peers;
    for (int n = 0; n < options_.gateways; ++n) {
      if (n != self) {
        peers.push_back("g" + std::to_string(n));
      }
    }
    return peers;
  }
  void SendTrialMessage(int from, int to, const Message& message) {
    if (trial_random_.Below(10) >= 2) {
      const auto delay =
          static_cast<DurationUs>(trial_random_.Below(50)) * kMillisecond;
      trial_datagrams_.push_back({now_ + delay, from, to, message});
    }
  }
  void DeliverTrials() {
    std::vector<TrialDatagram> due;
    std::erase_if(trial_datagrams_, [&](const TrialDatagram& it) {
      if (it.at <= now_) {
        due.push_back(it);
      }
      return it.at <= now_;
    });
    for (const TrialDatagram& it : due) {
      RequestTrials& to =
          gateways_[static_cast<std::size_t>(it.to)].request_trials;
      const NodeId from = "g" + std::to_string(it.from);
      if (const auto* ask = std::get_if<CrashTrialRequest>(&it.message)) {
        to.OnRequest(now_, from, *ask);
      } else if (const auto* grant =
                     std::get_if<CrashTrialGrant>(&it.message)) {
        to.OnGrant(now_, from, *grant);
      } else if (const auto* end = std::get_if<CrashTrialEnd>(&it.message)) {
        to.OnEnd(now_, from, *end);
      }
    }
  }
  void Deliver() {
    DeliverTrials();
    std::vector<Datagram> due;
    std::erase_if(datagrams_, [&](const Datagram& it) {
      if (it.at <= now_) {
        due.push_back(it);
      }
      return it.at <= now_;
    });
    for (const Datagram& it : due) {
      gateways_[static_cast<std::size_t>(it.to)].records.Merge(now_, it.report);
    }
  }

  const Options options_;
  Random random_;
  Random trial_random_{random_};  // Leaves what else is drawn as it is.
  TimeUs now_ = kSecond;
  std::vector<Gateway> gateways_;
  std::vector<ReplicaState> replicas_;
  std::vector<Datagram> datagrams_;
  std::vector<TrialDatagram> trial_datagrams_;
  std::vector<Item> waiting_;
  QuietLog log_;
  ExchangeId next_ = 0;
  Guilty poison_;
  Guilty bad_part_;
  int sound_ = 0;
  int sound_refused_ = 0;
};

// Guards against what ends replicas being sent on in any history, and against
// refusing others: none is once those in progress have been answered.
TEST(CrashRecordsModelTest, StopsTheGuiltyAndNobodyElse) {
  int refused = 0;
  int sound = 0;
  int deaths = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CrashFleet::Options options;
    options.poison = seed % 3 != 0;
    options.bad_part = seed % 3 != 1;
    options.kills = seed % 2 == 0;
    options.longest_wait = seed % 4 < 2 ? 200 * kMillisecond : 2 * kSecond;
    CrashFleet fleet(seed, options);
    fleet.Run(3 * kSecond, false);
    fleet.Run(15 * kSecond, true);
    EXPECT_LE(fleet.poison().late_arrivals, 3) << seed;
    EXPECT_LE(fleet.bad_part().late_arrivals, 3) << seed;
    EXPECT_GE(fleet.bad_part().deaths, options.bad_part ? 3 : 0) << seed;
    deaths += fleet.poison().deaths + fleet.bad_part().deaths;
    refused += fleet.TakeSoundRefused();
    sound += fleet.sound();
    fleet.Run(3 * kSecond, false);
    fleet.TakeSoundRefused();
    fleet.Run(5 * kSecond, false);
    EXPECT_EQ(fleet.TakeSoundRefused(), 0) << seed;
  }
  std::printf("model: %d of %d sound ones refused meanwhile, %d ends\n",
              refused, sound, deaths);
  // Of a thousand, one may meet a part while it is tried.
  EXPECT_LE(refused, sound / 1000);
}

// Guards against refusing what goes with a guilty part for as long as the one
// request that tries it takes, when all gateways have just been killed.
TEST(CrashRecordsModelTest, LongAnswersHoldNobodyBackAfterAKillOfAll) {
  int refused = 0;
  int sound = 0;
  int deaths = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CrashFleet::Options options;
    options.gateways = 5;
    options.poison = false;
    options.kills = seed % 2 == 0;
    options.longest_wait = seed % 4 < 2 ? 200 * kMillisecond : 2 * kSecond;
    options.plain_answer_time = 4 * kSecond;
    CrashFleet fleet(seed, options);
    fleet.Run(3 * kSecond, false);
    fleet.KillGateways();
    fleet.Run(10 * kSecond, true);
    EXPECT_LE(fleet.bad_part().late_arrivals, 3) << seed;
    deaths += fleet.bad_part().deaths;
    refused += fleet.TakeSoundRefused();
    sound += fleet.sound();
    fleet.Run(6 * kSecond, false);
    fleet.TakeSoundRefused();
    fleet.Run(5 * kSecond, false);
    EXPECT_EQ(fleet.TakeSoundRefused(), 0) << seed;
  }
  std::printf("after a kill: %d of %d sound ones refused, %d ends\n", refused,
              sound, deaths);
  EXPECT_LE(refused, sound / 1000);
}

TEST(RequestFingerprintTest, IsThatOfAccountPathAndBody) {
  ClientRequest call;
  call.host = "h";
  call.method = "POST";
  call.target = "/a/b";
  call.body = "x";
  call.id = "1";
  const std::string fingerprint = RequestFingerprint("acme", call);
  call.id = "2";
  call.fields = {{"Last-Event-Id", "3"}};
  call.key = "another key of the account";
  EXPECT_EQ(RequestFingerprint("acme", call), fingerprint);
  EXPECT_NE(RequestFingerprint("other", call), fingerprint);
  call.host = "H:8080";
  EXPECT_EQ(RequestFingerprint("acme", call), fingerprint);
  call.body = "y";
  EXPECT_NE(RequestFingerprint("acme", call), fingerprint);
  call.body = "x";
  call.target = "/a/c";
  EXPECT_NE(RequestFingerprint("acme", call), fingerprint);
  // Texts in sequence are not taken for others with the same bytes.
  call.target = "/a/";
  call.body = "bx";
  EXPECT_NE(RequestFingerprint("acme", call), fingerprint);
}

// Guards against copies of which each has a query of its own, such as a time
// stamp, and that are all different requests.
TEST(RequestFingerprintTest, ThatOfThePathLeavesTheQueryOut) {
  ClientRequest call;
  call.host = "h";
  call.method = "GET";
  call.target = "/a/b?at=1";
  const std::string fingerprint = RequestFingerprint("acme", call);
  const std::string of_path = PathFingerprint("acme", call);
  EXPECT_NE(of_path, fingerprint);
  call.target = "/a/b?at=2";
  EXPECT_NE(RequestFingerprint("acme", call), fingerprint);
  EXPECT_EQ(PathFingerprint("acme", call), of_path);
  call.target = "/a/b";
  EXPECT_EQ(RequestFingerprint("acme", call), of_path);
  EXPECT_EQ(PathFingerprint("acme", call), "");
  call.target = "/a/b?at=1";
  call.body = "x";
  EXPECT_EQ(PathFingerprint("acme", call), "");
}

TEST(CrashCodecTest, ReadsWhatItWrites) {
  const CrashReport report = {
      {{"i-1",
        7,
        3 * kSecond,
        {{Request("f"), "acme", 4 * kSecond, 5 * kSecond},
         {Part("0a"), "other", 4 * kSecond, kNever}}}},
      {}};
  const auto read =
      DecodeCrashRow(EncodeCrashRow(report, 1'000'000), 1'000'000 + 2'000);
  ASSERT_TRUE(read.ok());
  ASSERT_EQ(read->ends.size(), 1U);
  const CrashEnd& end = read->ends[0];
  EXPECT_EQ(end.replica, "i-1");
  EXPECT_EQ(end.incarnation, 7);
  EXPECT_EQ(end.age, 5 * kSecond);
  ASSERT_EQ(end.suspects.size(), 2U);
  EXPECT_EQ(end.suspects[0].cause, Request("f"));
  EXPECT_EQ(end.suspects[0].account, "acme");
  EXPECT_EQ(end.suspects[0].began_age, 6 * kSecond);
  EXPECT_EQ(end.suspects[0].cleared_age, 7 * kSecond);
  EXPECT_EQ(end.suspects[1].cause, Part("0a"));
  EXPECT_EQ(end.suspects[1].cleared_age, kNever);
  constexpr char kBadCause[] =
      R"({"ends":[{"replica":"i","incarnation":1,"ended_ms":1,"suspects":[{"cause":1}]}]})";
  for (const char* it : {"", "[]", "{}", R"({"ends":[3]})",
                         R"({"ends":[{"replica":"i"}]})", kBadCause}) {
    EXPECT_FALSE(DecodeCrashRow(it, 0).ok()) << it;
  }
}

// Takes what an exchange sends and writes.
struct ExchangeOutput : CrashExchangeOutput {
  std::vector<NodeId> LivePeers() override { return {"g1", "g2"}; }
  void SendCrashReport(const NodeId& peer, const CrashReport& report) override {
    sent[peer].push_back(report);
  }
  CrashReport CrashReportToSend(std::size_t, std::size_t) override {
    return {};
  }
  void WriteCrashRow(const std::string& key) override {
    written.push_back(key);
  }
  void ReadCrashRows() override { ++reads; }

  std::map<NodeId, std::vector<CrashReport>> sent;
  std::vector<std::string> written;
  int reads = 0;
};

// Guards against a lost datagram, or a store that was away, which leaves
// gateways without what ended replicas.
TEST(CrashExchangeTest, RepeatsWhatMayBeLost) {
  ExchangeOutput output;
  Random random(1);
  CrashExchange exchange(&output, &random);
  exchange.OnNews(0, {{{"i-1", 0, 0, {{kPoison, "acme", 0, kNever}}}}, {}});
  exchange.OnVerdict(kPoison);
  for (TimeUs now = 0; now < 3 * kSecond; now += 10 * kMillisecond) {
    const int reads = output.reads;
    const std::size_t writes = output.written.size();
    exchange.OnTick(now);
    if (output.reads > reads) {
      exchange.OnRead(now, now > kSecond);
    }
    if (output.written.size() > writes) {
      exchange.OnWritten(now, now > kSecond);
    }
  }
  ASSERT_EQ(output.sent["g1"].size(),
            static_cast<std::size_t>(CrashExchange::kSends));
  EXPECT_EQ(output.sent["g2"].size(), output.sent["g1"].size());
  EXPECT_EQ(output.sent["g1"][1].ends[0].age, CrashExchange::kSendInterval);
  EXPECT_TRUE(exchange.has_read());
  EXPECT_EQ(output.reads, 4);
  EXPECT_EQ(output.written.size(), 4U);
}

// Guards against a block that was lifted while its row was being written and
// comes back from the store.
TEST(CrashExchangeTest, WritesAgainWhatChangedDuringItsWrite) {
  ExchangeOutput output;
  Random random(1);
  CrashExchange exchange(&output, &random);
  exchange.OnVerdict(kPoison);
  exchange.OnTick(0);
  exchange.OnVerdict(kPoison);
  exchange.OnWritten(kMillisecond, true);
  exchange.OnTick(10 * kMillisecond);
  EXPECT_EQ(output.written.size(), 2U);
}

// Guards against reports of many suspects that do not fit into a packet.
TEST(CrashExchangeTest, SplitsLargeReports) {
  ExchangeOutput output;
  Random random(1);
  CrashExchange exchange(&output, &random);
  CrashReport report;
  for (int end = 0; end < 3; ++end) {
    report.ends.push_back({"i-" + std::to_string(end), 0, 0, {}});
    for (int n = 0; n < 20; ++n) {
      report.ends.back().suspects.push_back(
          {Part(std::to_string(n)), "acme", 0, kNever});
    }
  }
  exchange.OnNews(0, report);
  exchange.OnTick(0);
  std::size_t suspects = 0;
  for (const CrashReport& it : output.sent["g1"]) {
    std::size_t n = 0;
    for (const CrashEnd& end : it.ends) {
      n += end.suspects.size();
    }
    EXPECT_LE(n, CrashExchange::kMaxPerDatagram);
    suspects += n;
  }
  EXPECT_EQ(suspects, 60U);
}

// The connections of all requests at the replica break, and its address refuses
// new ones.
void EndReplica(GatewayRig* rig, const ReplicaId& ended) {
  const ReplicaId replica = ended;  // It may be in `rig->sent`, which grows.
  std::vector<CallId> calls;
  for (const auto& it : rig->sent) {
    if (it.replica == replica) {
      calls.push_back(it.call);
    }
  }
  for (const CallId it : calls) {
    rig->core.OnReplicaFailed(it, true, "reset");
  }
  rig->Pass(BrokenAttempts::kProbeDelay);
  for (const ReplicaId& it : std::exchange(rig->probed, {})) {
    rig->core.OnReplicaProbed(it, ProbeOutcome::kRefused, rig->now);
  }
  rig->directory.Remove(rig->now, replica.name);
}

// Guards against sending a request on that ended three replicas, and against a
// refusal that asks the client to come back.
TEST(GatewayCrashTest, RefusesWhatEndedThreeReplicas) {
  GatewayRig rig;
  for (int n = 0; n < 3; ++n) {
    rig.AddReplica("r" + std::to_string(n), "app");
    rig.Call("plain");
    EndReplica(&rig, rig.sent.back().replica);
  }
  rig.AddReplica("r3", "app");
  const std::size_t sent = rig.sent.size();
  const ExchangeId id = rig.Call("plain");
  EXPECT_EQ(rig.sent.size(), sent);
  EXPECT_EQ(rig.refused[id].reason, Refusal::kCrashesReplicas);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
  EXPECT_EQ(rig.refused[id].retry_after, 0);
  // Another path is another request.
  rig.Call("open");
  EXPECT_EQ(rig.sent.size(), sent + 1);
  const auto all = rig.core.crash_records()->All(rig.now);
  ASSERT_EQ(all.size(), 1U);
  EXPECT_TRUE(rig.core.LiftBlock(all[0]));
  rig.Call("plain");
  EXPECT_EQ(rig.sent.size(), sent + 2);
}

ExchangeId Ask(GatewayRig* rig, const std::string& query) {
  ClientRequest call;
  call.id = "q" + query;
  call.method = "GET";
  call.host = "h.example";
  call.target = "/plain/x?at=" + query;
  call.key = "k1";
  call.deadline = 10 * kSecond;
  const ExchangeId id = ++rig->last_exchange;
  rig->core.OnCall(id, call);
  return id;
}

// Guards against a request without a body that ends its replicas and is never
// blocked, as each copy has another query, and against refusing others with its
// path that were answered meanwhile.
TEST(GatewayCrashTest, RefusesWhatDiffersInItsQueryOnly) {
  for (const bool others_are_answered : {false, true}) {
    GatewayRig rig;
    for (int n = 0; n < 3; ++n) {
      rig.AddReplica("r" + std::to_string(n), "app");
      if (others_are_answered) {
        Ask(&rig, "sound");
        rig.AnswerWith(rig.sent.back().call, GatewayRig::Head(), "good");
      }
      Ask(&rig, std::to_string(n));
      EndReplica(&rig, rig.sent.back().replica);
    }
    rig.AddReplica("r3", "app");
    const std::size_t sent = rig.sent.size();
    const ExchangeId id = Ask(&rig, "4");
    EXPECT_EQ(rig.sent.size(), sent + (others_are_answered ? 1 : 0));
    EXPECT_EQ(rig.refused.count(id), others_are_answered ? 0U : 1U);
  }
}

// Sends `n` copies, which run at replicas of their own, and ends all of these.
void EndCopies(GatewayRig* rig, int n) {
  const std::size_t before = rig->sent.size();
  for (int k = 0; k < n; ++k) {
    rig->AddReplica("c" + std::to_string(rig->last_host), "app");
    rig->Call("plain");
  }
  const auto sent = rig->sent;
  for (std::size_t k = before; k < sent.size(); ++k) {
    rig->core.OnReplicaFailed(sent[k].call, true, "reset");
  }
  rig->Pass(BrokenAttempts::kProbeDelay);
  for (const ReplicaId& it : std::exchange(rig->probed, {})) {
    rig->core.OnReplicaProbed(it, ProbeOutcome::kRefused, rig->now);
    rig->directory.Remove(rig->now, it.name);
  }
}

// Guards against a request that comes in many copies at once and ends as many
// replicas each time: one copy is sent, the others wait and are refused once it
// is certain.
TEST(GatewayCrashTest, CopiesInDoubtAreSentOneAtATime) {
  GatewayRig rig;
  EndCopies(&rig, 6);
  for (int k = 0; k < 4; ++k) {
    rig.AddReplica("r" + std::to_string(k), "app");
  }
  const std::size_t sent = rig.sent.size();
  std::vector<ExchangeId> copies;
  copies.reserve(6);
  for (int k = 0; k < 6; ++k) {
    copies.push_back(rig.Call("plain"));
  }
  for (std::size_t trials = 1; trials <= 2; ++trials) {
    ASSERT_EQ(rig.sent.size(), sent + trials);
    EXPECT_EQ(rig.refused.count(copies.back()), 0U);
    EndReplica(&rig, rig.sent.back().replica);
    rig.Pass(RequestTrials::kSettleTime);
  }
  EXPECT_EQ(rig.sent.size(), sent + 2);
  for (std::size_t k = 2; k < copies.size(); ++k) {
    EXPECT_EQ(rig.refused[copies[k]].reason, Refusal::kCrashesReplicas);
    EXPECT_EQ(rig.refused[copies[k]].verdict, Verdict::kNotRun);
  }
}

// Guards against refusing, or holding back for good, a sound request whose
// copies ran at replicas that lost power: one answer lets all go on.
TEST(GatewayCrashTest, ASoundRequestIsServedAfterItsReplicasEnded) {
  GatewayRig rig;
  EndCopies(&rig, 6);
  rig.AddReplica("r", "app");
  const std::size_t sent = rig.sent.size();
  std::vector<ExchangeId> copies;
  copies.reserve(6);
  for (int k = 0; k < 6; ++k) {
    copies.push_back(rig.Call("plain"));
  }
  ASSERT_EQ(rig.sent.size(), sent + 1);
  rig.AnswerWith(rig.sent.back().call, GatewayRig::Head(), "good");
  rig.Pass(20 * kMillisecond);
  EXPECT_EQ(rig.sent.size(), sent + 6);
  for (const ExchangeId it : copies) {
    EXPECT_EQ(rig.refused.count(it), 0U);
  }
}

// Guards against copies that wait for a trial until their clients have left:
// they are refused in time, as not run.
TEST(GatewayCrashTest, ACopyThatWaitsInVainIsRefusedAsNotRun) {
  GatewayRig rig;
  EndCopies(&rig, 6);
  rig.AddReplica("r", "app");
  rig.Call("plain");
  const ExchangeId id = rig.Send("plain", "k1", {}, 8 * kSecond);
  rig.Pass(kSecond);
  EXPECT_EQ(rig.refused.count(id), 0U);
  rig.Pass(900 * kMillisecond);
  EXPECT_EQ(rig.refused[id].reason, Refusal::kFull);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
}

// A replica falls silent under a request, whose end at the gateway is `end`,
// and loses its row.
void FallSilentUnder(GatewayRig* rig,
                     const std::function<void(ExchangeId)>& end) {
  rig->AddReplica("s" + std::to_string(rig->last_host), "app");
  const ExchangeId id = rig->Call("plain");
  const ReplicaId replica = rig->sent.back().replica;
  end(id);
  rig->directory.Remove(rig->now, replica.name);
  rig->Pass(kSecond);
  rig->core.OnConfirmed(rig->now);
}

// Guards against a request under which replicas fall silent, so that its
// deadline passes or its client leaves, and no break is ever seen.
TEST(GatewayCrashTest, RefusesWhatReplicasFellSilentUnder) {
  GatewayRig rig;
  FallSilentUnder(&rig, [&](ExchangeId) { rig.Pass(10 * kSecond); });
  FallSilentUnder(&rig, [&](ExchangeId id) {
    rig.Pass(kSecond);
    rig.core.OnClientDisconnected(id);
  });
  // The row goes before the deadline.
  rig.AddReplica("early", "app");
  rig.Call("plain");
  rig.directory.Remove(rig.now + 4 * kSecond, "early");
  rig.Pass(10 * kSecond);
  rig.core.OnConfirmed(rig.now);
  rig.AddReplica("r", "app");
  const std::size_t sent = rig.sent.size();
  const ExchangeId id = rig.Call("plain");
  EXPECT_EQ(rig.sent.size(), sent);
  EXPECT_EQ(rig.refused[id].reason, Refusal::kCrashesReplicas);
}

// Guards against refusing what clients give up on, where the replica goes on,
// leaves as planned, or ends long after.
TEST(GatewayCrashTest, WhatClientsLeaveIsNoSuspectWhereTheReplicaGoesOn) {
  GatewayRig rig;
  for (int n = 0; n < 4; ++n) {
    FallSilentUnder(&rig, [&](ExchangeId id) {
      rig.Call("repeat");  // At the same replica.
      rig.core.OnClientDisconnected(id);
      rig.AnswerWith(rig.sent.back().call, GatewayRig::Head(), "good");
    });
    FallSilentUnder(&rig, [&](ExchangeId id) {
      rig.core.OnClientDisconnected(id);
      rig.directory.OnLeavingStated(rig.now, rig.sent.back().replica);
    });
    FallSilentUnder(&rig, [&](ExchangeId id) {
      rig.core.OnClientDisconnected(id);
      rig.Pass(BrokenAttempts::kEvidenceWindow + kSecond);
    });
  }
  EXPECT_TRUE(rig.core.crash_records()->All(rig.now).empty());
}

// Guards against a probe, which a frozen process accepts too, that clears what
// its replica fell silent under.
TEST(GatewayCrashTest, AnAcceptedConnectionClearsNothingAbandoned) {
  GatewayRig rig;
  FallSilentUnder(&rig, [&](ExchangeId id) {
    rig.core.OnClientDisconnected(id);
    rig.core.OnReplicaProbed(rig.sent.back().replica, ProbeOutcome::kAccepted,
                             rig.now + kSecond);
  });
  EXPECT_EQ(rig.core.crash_records()->All(rig.now).size(), 1U);
}

// Guards against taking connections that break for replicas that ended.
TEST(GatewayCrashTest, BreaksAtReplicasThatLiveDoNotCount) {
  GatewayRig rig;
  rig.AddReplica("r0", "app");
  for (int n = 0; n < 5; ++n) {
    rig.Call("plain");
    rig.core.OnReplicaFailed(rig.sent.back().call, true, "reset");
    rig.Pass(kSecond);
    for (const ReplicaId& it : std::exchange(rig.probed, {})) {
      rig.core.OnReplicaProbed(it, ProbeOutcome::kAccepted, rig.now);
    }
  }
  EXPECT_TRUE(rig.core.crash_records()->All(rig.now).empty());
  // A replica that leaves ends as planned.
  rig.Call("plain");
  const ReplicaId leaving = rig.sent.back().replica;
  rig.directory.OnLeavingStated(rig.now, leaving);
  EndReplica(&rig, leaving);
  EXPECT_TRUE(rig.core.crash_records()->All(rig.now).empty());
}

// Guards against two replicas for each try of a client: from the second end on
// only the client repeats.
TEST(GatewayCrashTest, DoesNotRepeatByItselfAfterTwoEnds) {
  GatewayRig rig;
  for (int n = 0; n < 5; ++n) {
    rig.AddReplica("r" + std::to_string(n), "app");
  }
  rig.Call("repeat");
  EndReplica(&rig, rig.sent.back().replica);
  ASSERT_EQ(rig.sent.size(), 2U);  // Repeated once.
  EndReplica(&rig, rig.sent.back().replica);
  rig.Call("repeat");
  ASSERT_EQ(rig.sent.size(), 3U);
  EndReplica(&rig, rig.sent.back().replica);
  EXPECT_EQ(rig.sent.size(), 3U);
  // The gateway's own repeat began before anyone could know of the first end,
  // so there are two in sequence.
  rig.Call("repeat");
  ASSERT_EQ(rig.sent.size(), 4U);
  EndReplica(&rig, rig.sent.back().replica);
  EXPECT_EQ(rig.sent.size(), 4U);
  rig.Call("repeat");
  EXPECT_EQ(rig.sent.size(), 4U);
}

// Guards against a copy that was sent on to another replica 1 ms after all
// replicas of its service had ended: its end is no second one.
TEST(CrashRecordsTest, ARunThatBeganWithAnEndIsNotInSequence) {
  CrashRecords records;
  EndUnder(&records, kSecond, {kPoison}, 1);
  records.OnReplicaEnded(
      kSecond + 2 * kMillisecond, Replica(2),
      {{kPoison,
        "acme",
        {kSecond + kMillisecond, kSecond + 2 * kMillisecond}}});
  EndUnder(&records, 3 * kSecond, {kPoison}, 3);
  EXPECT_FALSE(IsRefused(records, 4 * kSecond, kPoison));
  EndUnder(&records, 4 * kSecond, {kPoison}, 4);
  EXPECT_TRUE(IsRefused(records, 4 * kSecond, kPoison));
}

// Guards against requests that are not blocked yet, as their ends were not in
// sequence, and begin anew after each kill of all gateways.
TEST(CrashRecordsTest, EndsOfARequestCountAfterAKillOfAllGateways) {
  CrashRecords records;
  EndUnder(&records, kSecond, {kPoison}, 1);
  EXPECT_FALSE(records.IsStored(kSecond, kPoison));
  EndUnder(&records, kSecond, {kPoison, Part("0a")}, 2);
  EXPECT_TRUE(records.IsStored(kSecond, kPoison));
  EXPECT_EQ(records.TakeStoreChanges(kSecond), std::vector{kPoison});
  EXPECT_TRUE(records.TakeStoreChanges(kSecond).empty());
  EndUnder(&records, 2 * kSecond, {kPoison, Part("0a")}, 3);
  EXPECT_FALSE(IsRefused(records, 2 * kSecond, kPoison));
  EXPECT_FALSE(records.IsStored(2 * kSecond, Part("0a")));
  EXPECT_EQ(records.TakeStoreChanges(2 * kSecond), std::vector{kPoison});

  const CrashReport row = records.Report(3 * kSecond, {kPoison});
  CrashRecords after;
  after.Merge(3 * kSecond, row);
  EXPECT_TRUE(after.TakeStoreChanges(3 * kSecond).empty());
  EXPECT_TRUE(after.Of(3 * kSecond, kPoison).doubtful);
  EndUnder(&after, 4 * kSecond, {kPoison}, 4);
  EXPECT_TRUE(IsRefused(after, 4 * kSecond, kPoison));
}

// Guards against sound requests that the store remembers for good.
TEST(CrashRecordsTest, TheStoreForgetsARequestThatIsAnswered) {
  CrashRecords records;
  EndUnder(&records, kSecond, {kPopular}, 1);
  EndUnder(&records, kSecond, {kPopular}, 2);
  EXPECT_EQ(records.TakeStoreChanges(kSecond), std::vector{kPopular});
  records.OnCleared(2 * kSecond, kPopular);
  EXPECT_FALSE(records.IsStored(2 * kSecond, kPopular));
  EXPECT_EQ(records.TakeStoreChanges(2 * kSecond), std::vector{kPopular});
  EndUnder(&records, 3 * kSecond, {kPopular}, 3);
  EndUnder(&records, 4 * kSecond, {kPopular}, 4);
  EXPECT_TRUE(records.TakeStoreChanges(4 * kSecond).empty());
}

// Guards against a gateway that tells the store of a request only once it is
// blocked, or never that it was answered.
TEST(GatewayCrashTest, TellsTheStoreOfTwoEndsAndOfTheAnswer) {
  GatewayRig rig;
  for (int n = 0; n < 2; ++n) {
    rig.AddReplica("r" + std::to_string(n), "app");
    rig.Call("plain");
    EXPECT_TRUE(rig.core.TakeCrashNews().to_store.empty());
    EndReplica(&rig, rig.sent.back().replica);
  }
  const auto all = rig.core.crash_records()->All(rig.now);
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(rig.core.TakeCrashNews().to_store, all);
  EXPECT_TRUE(rig.core.LiftBlock(all[0]));
  EXPECT_FALSE(rig.core.TakeCrashNews().to_store.empty());
  EXPECT_FALSE(rig.core.crash_records()->IsStored(rig.now, all[0]));
}

// Guards against sending what waits for its stages when another gateway tells
// that it ended replicas.
TEST(GatewayCrashTest, RefusesWhatWaitsWhenItBecomesBlocked) {
  GatewayRig rig;
  rig.AddReplica("e0", "engine");
  const ExchangeId id = rig.Call("staged", "k1", {1, 1});
  ASSERT_FALSE(rig.tasks.empty());
  ClientRequest call;
  call.method = "POST";
  call.host = "h.example";
  call.target = "/staged/x";
  const CrashCause cause = Request(RequestFingerprint("acme", call));
  CrashReport report;
  for (const DurationUs age : {kSecond, 2 * kSecond, 3 * kSecond}) {
    report.ends.push_back({"i-" + std::to_string(age),
                           0,
                           age,
                           {{cause, "acme", age + kRun, kNever}}});
  }
  rig.core.OnCrashReport(report, "g2");
  EXPECT_EQ(rig.refused[id].reason, Refusal::kCrashesReplicas);
}

// Guards against refusing what waits by a verdict on a sound part that holds
// only until another gateway tells what else was where a replica ended.
TEST(GatewayCrashTest, WhatWaitsIsNotRefusedWhileThereIsDoubt) {
  GatewayRig rig;
  rig.AddReplica("e0", "engine");
  ClientRequest call;
  call.pieces = {1, 1};
  call.prompt = {{"aa", 100}, {"own", 50}};
  const ExchangeId first = rig.Send("staged", "k1", call);
  const ExchangeId second = rig.Send("staged", "k1", call);
  ASSERT_FALSE(rig.tasks.empty());
  CrashReport report;
  for (const DurationUs age : {kSecond, 2 * kSecond, 3 * kSecond}) {
    report.ends.push_back({"i-" + std::to_string(age),
                           0,
                           age,
                           {{Part("aa"), "acme", age + kRun, kNever}}});
  }
  rig.core.OnCrashReport(report, "g2");
  EXPECT_TRUE(rig.core.crash_records()->Of(rig.now, Part("aa")).doubtful);
  EXPECT_TRUE(rig.refused.empty());
  // Once it is certain, they are refused.
  report.ends = {
      {"i-4", 0, 0, {{Part("aa"), "acme", kRun, kNever, /*tried=*/true}}}};
  rig.core.OnCrashReport(report, "g2");
  EXPECT_EQ(rig.refused[first].reason, Refusal::kCrashesReplicas);
  EXPECT_EQ(rig.refused[second].reason, Refusal::kCrashesReplicas);
}

// Ends an engine under each of `n` streams with these prompt parts, no two
// alike.
void EndEnginesUnder(GatewayRig* rig,
                     const std::vector<std::string>& parts,
                     int n) {
  for (int k = 0; k < n; ++k) {
    rig->AddReplica("e" + std::to_string(rig->last_host), "engine");
    const std::size_t sent = rig->sent.size();
    rig->Prompt("stream", parts);
    if (rig->sent.size() > sent) {
      EndReplica(rig, rig->sent.back().replica);
    }
    rig->Pass(kSecond);
    rig->core.OnConfirmed(rig->now);
  }
}

// Guards against sending on what ends the engines that begin an answer on it,
// in requests that are not alike, and against refusing those with its other
// parts.
TEST(GatewayCrashTest, RefusesAPartAndNotTheOthersOfItsPrompts) {
  GatewayRig rig;
  EndEnginesUnder(&rig, {"aa", "bad"}, 5);
  EXPECT_EQ(rig.sent.size(), 4U);  // The fourth tried both.
  rig.AddReplica("e", "engine");
  // Its other part was there each time too, so a request tries that one.
  const std::size_t sent = rig.sent.size();
  rig.Prompt("stream", {"aa", "cc"});
  ASSERT_EQ(rig.sent.size(), sent + 1);
  const CallId call = rig.sent.back().call;
  rig.core.OnReplicaHead(call, GatewayRig::Head());
  rig.core.OnReplicaBody(call, "id: 0\ndata: x\n\n");
  rig.Prompt("stream", {"aa", "dd"});
  EXPECT_EQ(rig.sent.size(), sent + 2);
  // One tries the part alone, and ends an engine.
  rig.Prompt("stream", {"zz", "bad"});
  ASSERT_EQ(rig.sent.size(), sent + 3);
  EndReplica(&rig, rig.sent.back().replica);
  rig.AddReplica("f", "engine");
  const ExchangeId bad = rig.Prompt("stream", {"zz", "BAD"});
  EXPECT_EQ(rig.sent.size(), sent + 3);
  EXPECT_EQ(rig.refused[bad].reason, Refusal::kCrashesReplicas);
  EXPECT_EQ(rig.refused[bad].verdict, Verdict::kNotRun);
  EXPECT_EQ(rig.refused[bad].retry_after, 0);
  // The last part is the request's own.
  rig.Prompt("stream", {}, "bad");
  EXPECT_EQ(rig.sent.size(), sent + 4);
}

// Guards against refusing sound parts that go with a guilty one until the one
// request that tries them has its answer, which may take seconds.
TEST(GatewayCrashTest, ALongTrialHoldsNobodyBack) {
  GatewayRig rig;
  EndEnginesUnder(&rig, {"aa", "bb", "bad"}, 2);
  rig.AddReplica("z0", "engine");
  rig.AddReplica("r", "app");
  rig.Prompt("stream", {"aa", "bb", "bad"});
  EndReplica(&rig, rig.sent.back().replica);
  rig.AddReplica("z1", "engine");
  const std::size_t sent = rig.sent.size();
  rig.Prompt("plain", {"aa", "bb", "cc"});
  rig.Prompt("stream", {"aa", "bb", "dd"});
  ASSERT_EQ(rig.sent.size(), sent + 2);
  const CallId call = rig.sent.back().call;
  rig.core.OnReplicaHead(call, GatewayRig::Head());
  rig.core.OnReplicaBody(call, "id: 0\ndata: x\n\n");
  rig.Pass(2 * CrashRecords::kTellApartWindow);
  rig.core.OnConfirmed(rig.now);
  rig.Prompt("stream", {"aa", "bb", "ee"});
  EXPECT_EQ(rig.sent.size(), sent + 3);
  EXPECT_TRUE(rig.core.crash_records()->Of(rig.now, Part("bad")).blocked);
}

// Guards against sending on a part that goes with others at first and then ends
// engines without them, and against sending late what may be guilty.
TEST(GatewayCrashTest, WhatEndsOneMoreEngineIsToldApart) {
  GatewayRig rig;
  EndEnginesUnder(&rig, {"bad", "bb", "cc"}, 2);
  rig.AddReplica("z0", "engine");
  rig.Prompt("stream", {"bad", "bb", "cc"});
  EndReplica(&rig, rig.sent.back().replica);
  rig.AddReplica("z1", "engine");
  rig.Prompt("stream", {"bad", "dd"});
  ASSERT_EQ(rig.sent.size(), 4U);
  EndReplica(&rig, rig.sent.back().replica);
  rig.AddReplica("z2", "engine");
  EXPECT_FALSE(rig.core.crash_records()->Of(rig.now, Part("bb")).blocked);
  EXPECT_TRUE(rig.core.crash_records()->Of(rig.now, Part("bad")).blocked);
  // One request at a time tries it.
  rig.Prompt("stream", {"bad", "ee"});
  rig.Prompt("stream", {"bad", "ff"});
  EXPECT_EQ(rig.sent.size(), 5U);
  EndReplica(&rig, rig.sent.back().replica);
  rig.AddReplica("z3", "engine");
  rig.Prompt("stream", {"bad", "gg"});
  EXPECT_EQ(rig.sent.size(), 5U);
}

// Guards against many requests with some of the suspected parts long after the
// ends, which would be sent too late if one of these parts is guilty.
TEST(GatewayCrashTest, OneAtATimeTriesSomePartsLater) {
  GatewayRig rig;
  EndEnginesUnder(&rig, {"aa", "bb", "bad"}, 3);
  rig.Pass(CrashRecords::kTellApartWindow);
  rig.core.OnConfirmed(rig.now);
  rig.AddReplica("z0", "engine");
  const std::size_t sent = rig.sent.size();
  for (int n = 0; n < 5; ++n) {
    rig.Prompt("stream", {"aa", "bb", "x" + std::to_string(n)});
  }
  EXPECT_EQ(rig.sent.size(), sent + 1);
}

// Guards against trial after trial of a guilty part that ends its replicas only
// after seconds.
TEST(GatewayCrashTest, SlowTrialsOfAGuiltyPartAreFew) {
  GatewayRig rig;
  EndEnginesUnder(&rig, {"bad"}, 3);
  const std::size_t sent = rig.sent.size();
  for (int n = 0; n < 20; ++n) {
    rig.AddReplica("s" + std::to_string(n), "engine");
    rig.Prompt("stream", {"bad"});
    rig.Pass(kSecond);
    rig.core.OnConfirmed(rig.now);
  }
  EXPECT_LE(rig.sent.size(), sent + CauseTrials::kMaxTrials);
}

// Guards against taking the parts of answers that had begun for what ended
// their engine.
TEST(GatewayCrashTest, PartsOfBegunAnswersAreNoSuspects) {
  GatewayRig rig;
  for (int n = 0; n < 8; ++n) {
    rig.AddReplica("e" + std::to_string(n), "engine");
    rig.Prompt("stream", {"doc"});
    const CallId call = rig.sent.back().call;
    rig.core.OnReplicaHead(call, GatewayRig::Head());
    rig.core.OnReplicaBody(call, "id: 0\ndata: x\n\n");
    EndReplica(&rig, rig.sent.back().replica);
  }
  EXPECT_EQ(rig.sent.size(), 8U);
  EXPECT_FALSE(rig.core.crash_records()->Has(Part("doc")));
}

// Guards against an engine that ends after the head of an answer without a
// length: it leaves an empty answer that looks whole and would clear the part.
TEST(GatewayCrashTest, AnEmptyAnswerThatEndsWithItsConnectionClearsNothing) {
  GatewayRig rig;
  ReplicaHead head = GatewayRig::Head();
  head.expected_end = AnswerEnd::kClosed;
  for (int n = 0; n < 4; ++n) {  // The fourth tries the part.
    rig.AddReplica("r" + std::to_string(n), "app");
    rig.Prompt("plain", {"bad"});
    rig.AnswerWith(rig.sent.back().call, head);
    EndReplica(&rig, rig.sent.back().replica);
    rig.Pass(kSecond);
  }
  rig.AddReplica("r4", "app");
  rig.Prompt("plain", {"bad"});
  EXPECT_EQ(rig.sent.size(), 4U);
}

// Guards against prompts of thousands of parts, of which no gateway keeps more
// than some, each time the same ones.
TEST(GatewayCrashTest, KeepsFewSuspectsOfAVeryLongPrompt) {
  GatewayRig rig;
  std::vector<std::string> parts(2000);
  for (std::size_t n = 0; n < parts.size(); ++n) {
    parts[n] = "p" + std::to_string(n);
  }
  EndEnginesUnder(&rig, parts, 5);
  EXPECT_EQ(rig.sent.size(), 4U);
  EXPECT_LE(rig.core.crash_records()->All(rig.now).size(), 40U);
}

}  // namespace
}  // namespace acaciachute
