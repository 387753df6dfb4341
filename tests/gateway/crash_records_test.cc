// Tests of records of requests that end replicas, and of what gateways do with
// them, in virtual time.
#include "coordination/crashes/crash_records.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/crashes/crash_exchange.h"
#include "protocol/crash_codec.h"
#include "state/random.h"
#include "state/request_fingerprint.h"
#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

// Time from the start of a run until its replica ends.
constexpr DurationUs kRun = 100 * kMillisecond;

constexpr char kPoison[] = "f-poison";
constexpr char kPopular[] = "f-popular";

ReplicaId Replica(int n) {
  return ReplicaId("i-" + std::to_string(n), 7);
}

void EndUnder(CrashRecords* records,
              TimeUs at,
              const std::string& fingerprint,
              int replica) {
  records->OnReplicaEnded(at, {at - kRun, at}, fingerprint, "acme",
                          Replica(replica));
}

// Guards against a count that grows with the gateways that saw one end.
TEST(CrashRecordsTest, AnEndThatSeveralGatewaysSawCountsOnce) {
  CrashRecords a;
  CrashRecords b;
  EndUnder(&a, kSecond, kPoison, 1);
  EndUnder(&a, kSecond, kPoison, 1);
  EndUnder(&b, kSecond, kPoison, 1);
  EndUnder(&b, 2 * kSecond, kPoison, 2);
  a.Merge(2 * kSecond, b.Get(2 * kSecond, kPoison));
  a.Merge(2 * kSecond, b.Get(2 * kSecond, kPoison));
  EXPECT_EQ(a.Of(2 * kSecond, kPoison).ends, 2U);
  EXPECT_FALSE(a.Of(2 * kSecond, kPoison).blocked);
  EndUnder(&b, 3 * kSecond, kPoison, 3);
  a.Merge(3 * kSecond, b.Get(3 * kSecond, kPoison));
  EXPECT_TRUE(a.Of(3 * kSecond, kPoison).blocked);
}

// Guards against refusing a request that many clients send: it is in progress
// at each end.
TEST(CrashRecordsTest, AWholeAnswerTakesEndsBackInAnyOrder) {
  CrashRecords a;
  CrashRecords b;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&a, (n + 1) * kSecond, kPopular, n);
    EndUnder(&b, (n + 1) * kSecond, kPopular, n);
  }
  EXPECT_TRUE(a.Of(4 * kSecond, kPopular).blocked);
  const CrashRecord old = a.Get(4 * kSecond, kPopular);
  EXPECT_TRUE(a.OnAnswered(4 * kSecond, kPopular));
  EXPECT_FALSE(a.Of(4 * kSecond, kPopular).blocked);
  a.Merge(5 * kSecond, b.Get(5 * kSecond, kPopular));
  EXPECT_FALSE(a.Of(5 * kSecond, kPopular).blocked);
  b.Merge(5 * kSecond, a.Get(5 * kSecond, kPopular));
  EXPECT_FALSE(b.Of(5 * kSecond, kPopular).blocked);
  EXPECT_EQ(old.ends.size(), 3U);
}

// Guards against refusing those that were beside a request which ends replicas.
TEST(CrashRecordsTest, EndsOfABlockedRequestDoNotCountForOthers) {
  CrashRecords records;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&records, (n + 1) * kSecond, "f-beside", n);
  }
  EXPECT_TRUE(records.Of(4 * kSecond, "f-beside").blocked);
  for (int n = 0; n < 4; ++n) {
    EndUnder(&records, (n + 1) * kSecond, kPoison, n);
  }
  EXPECT_TRUE(records.Of(5 * kSecond, kPoison).blocked);
  EXPECT_FALSE(records.Of(5 * kSecond, "f-beside").blocked);
}

// Guards against a block that ends by itself and then costs three replicas.
TEST(CrashRecordsTest, OneMoreEndBlocksAgainAfterABlockHasEnded) {
  CrashRecords records;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&records, (n + 1) * kSecond, kPoison, n);
  }
  const TimeUs later = 4 * kSecond + CrashRecords::kBlockDuration;
  EXPECT_FALSE(records.Of(later, kPoison).blocked);
  EndUnder(&records, later, kPoison, 3);
  EXPECT_TRUE(records.Of(later, kPoison).blocked);
}

// Guards against refusing a request whose copies were in progress at many
// replicas when all of them ended at once.
TEST(CrashRecordsTest, EndsOfRunsAtTheSameTimeCountOnce) {
  CrashRecords records;
  for (int n = 0; n < 6; ++n) {
    EndUnder(&records, kSecond + n * kMillisecond, kPopular, n);
  }
  EXPECT_EQ(records.Of(2 * kSecond, kPopular).ends, 1U);
  EXPECT_FALSE(records.Of(2 * kSecond, kPopular).blocked);
}

// Guards against ends that are known only after the answer that came after
// them, at a gateway that tells of them late.
TEST(CrashRecordsTest, AnAnswerTakesBackEndsThatAreKnownLater) {
  CrashRecords a;
  CrashRecords b;
  for (int n = 0; n < 3; ++n) {
    EndUnder(&a, (n + 1) * kSecond, kPopular, n);
  }
  b.OnAnswered(4 * kSecond, kPopular);
  b.Merge(5 * kSecond, a.Get(5 * kSecond, kPopular));
  EXPECT_FALSE(b.Of(5 * kSecond, kPopular).blocked);
  a.Merge(6 * kSecond, b.Get(6 * kSecond, kPopular));
  EXPECT_FALSE(a.Of(6 * kSecond, kPopular).blocked);
}

// Guards against blocking a popular request with long runs, of which three in
// sequence meet ends before the next answer.
TEST(CrashRecordsTest, WhatWasAnsweredBeforeTakesSixEnds) {
  CrashRecords records;
  records.OnAnswered(kSecond, kPopular);
  for (int n = 0; n < 5; ++n) {
    EndUnder(&records, (n + 2) * kSecond, kPopular, n);
  }
  EXPECT_EQ(records.Of(8 * kSecond, kPopular).ends, 5U);
  EXPECT_FALSE(records.Of(8 * kSecond, kPopular).blocked);
  EndUnder(&records, 8 * kSecond, kPopular, 5);
  EXPECT_TRUE(records.Of(8 * kSecond, kPopular).blocked);
}

// Guards against a client that makes up such requests and displaces the
// records of others.
TEST(CrashRecordsTest, AnAccountWithManyRecordsDisplacesItsOwn) {
  CrashRecords records;
  for (int n = 0; n < 3; ++n) {
    const TimeUs at = (n + 1) * kSecond;
    records.OnReplicaEnded(at, {at - kRun, at}, kPoison, "other", Replica(n));
  }
  for (std::size_t n = 0; n < 2 * CrashRecords::kMaxRecords; ++n) {
    const std::string fingerprint = "f-" + std::to_string(n);
    records.OnReplicaEnded(4 * kSecond, {3 * kSecond, 4 * kSecond}, fingerprint,
                           "flood", Replica(static_cast<int>(n)));
  }
  EXPECT_TRUE(records.Of(5 * kSecond, kPoison).blocked);
  EXPECT_LE(records.All(5 * kSecond).size(), CrashRecords::kMaxRecords);
}

// A fleet of gateways whose messages are delayed and lost: one request ends
// each replica that it reaches, a popular one is in progress at many ends and
// is answered in between, and others, sent once, meet ends without a cause.
class CrashFleet {
 public:
  static constexpr int kGateways = 20;
  static constexpr DurationUs kStep = 10 * kMillisecond;
  // Arrivals count from this long after the third end.
  static constexpr DurationUs kContact = 3 * kSecond;

  explicit CrashFleet(std::uint64_t seed)
      : random_(seed), records_(kGateways) {}

  // `ends`: whether replicas end.
  void Run(DurationUs time, bool ends) {
    for (const TimeUs end = now_ + time; now_ < end; now_ += kStep) {
      Deliver();
      if (ends && random_.Below(20) == 0) {
        SendPoison();
      }
      if (ends && random_.Below(30) == 0) {
        EndWithoutCause();
      }
      if (random_.Below(5) == 0) {
        Answer(Draw(), kPopular);
      }
      if (now_ % kSecond == 0) {
        Gossip();
      }
    }
  }
  int late_arrivals() const { return late_arrivals_; }
  int deaths() const { return deaths_; }
  bool PopularBlockedAnywhere() {
    const auto blocked = [this](const CrashRecords& it) {
      return it.Of(now_, kPopular).blocked;
    };
    return std::any_of(records_.begin(), records_.end(), blocked);
  }
  // Whether a request that was sent once is refused anywhere.
  bool OneOffBlockedAnywhere() {
    for (const CrashRecords& it : records_) {
      for (int n = 0; n < one_offs_; ++n) {
        if (it.Of(now_, "f-once-" + std::to_string(n)).blocked) {
          return true;
        }
      }
    }
    return false;
  }

 private:
  struct Datagram {
    TimeUs at = 0;
    int to = 0;
    CrashRecord record;
  };

  int Draw() { return static_cast<int>(random_.Below(kGateways)); }

  void Spread(int from, const std::string& fingerprint) {
    const CrashRecord record =
        records_[static_cast<std::size_t>(from)].Get(now_, fingerprint);
    for (int to = 0; to < kGateways; ++to) {
      for (int n = 0; n < CrashExchange::kSends; ++n) {
        const auto delay =
            static_cast<DurationUs>(random_.Below(100)) * kMillisecond;
        if (random_.Below(10) < 8) {
          CrashRecord sent = record;
          for (CrashEnd& it : sent.ends) {
            it.age += n * CrashExchange::kSendInterval;
            it.began_age += n * CrashExchange::kSendInterval;
          }
          sent.answered_age += sent.answered_age == kNever
                                   ? 0
                                   : n * CrashExchange::kSendInterval;
          datagrams_.push_back(
              {now_ + n * CrashExchange::kSendInterval + delay, to, sent});
        }
      }
    }
  }
  // Each gateway tells a random one what it knows of two requests.
  void Gossip() {
    for (int from = 0; from < kGateways; ++from) {
      const int to = Draw();
      for (const char* it : {kPoison, kPopular}) {
        datagrams_.push_back(
            {now_, to, records_[static_cast<std::size_t>(from)].Get(now_, it)});
      }
    }
  }
  void Deliver() {
    std::vector<Datagram> due;
    std::erase_if(datagrams_, [&](const Datagram& it) {
      if (it.at <= now_) {
        due.push_back(it);
      }
      return it.at <= now_;
    });
    for (const Datagram& it : due) {
      records_[static_cast<std::size_t>(it.to)].Merge(now_, it.record);
    }
  }
  void End(int gateway, const std::string& fingerprint, int replica) {
    auto& records = records_[static_cast<std::size_t>(gateway)];
    records.OnReplicaEnded(now_, {now_ - kRun, now_}, fingerprint, "acme",
                           Replica(replica));
    Spread(gateway, fingerprint);
  }
  void SendPoison() {
    const int gateway = Draw();
    if (records_[static_cast<std::size_t>(gateway)].Of(now_, kPoison).blocked) {
      return;
    }
    late_arrivals_ += deaths_ >= 3 && now_ > third_death_at_ + kContact;
    if (++deaths_ == 3) {
      third_death_at_ = now_;
    }
    const int replica = next_replica_++;
    End(gateway, kPoison, replica);
    End(Draw(), kPopular, replica);
    End(Draw(), "f-once-" + std::to_string(one_offs_++), replica);
  }
  void EndWithoutCause() {
    const int replica = next_replica_++;
    End(Draw(), kPopular, replica);
    End(Draw(), "f-once-" + std::to_string(one_offs_++), replica);
  }
  // Where it is blocked, it does not run.
  void Answer(int gateway, const std::string& fingerprint) {
    if (!records_[static_cast<std::size_t>(gateway)]
             .Of(now_, fingerprint)
             .blocked &&
        records_[static_cast<std::size_t>(gateway)].OnAnswered(now_,
                                                               fingerprint)) {
      Spread(gateway, fingerprint);
    }
  }

  Random random_;
  TimeUs now_ = kSecond;
  std::vector<CrashRecords> records_;
  std::vector<Datagram> datagrams_;
  int next_replica_ = 0;
  int one_offs_ = 0;
  int deaths_ = 0;
  TimeUs third_death_at_ = 0;
  int late_arrivals_ = 0;
};

TEST(CrashRecordsModelTest, StopsTheGuiltyAndNobodyElse) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CrashFleet fleet(seed);
    fleet.Run(10 * kSecond, true);
    EXPECT_GE(fleet.deaths(), 3) << seed;
    EXPECT_EQ(fleet.late_arrivals(), 0) << seed;
    EXPECT_FALSE(fleet.OneOffBlockedAnywhere()) << seed;
    // Long enough for an answer of the popular one to reach everybody.
    fleet.Run(5 * kSecond, false);
    EXPECT_FALSE(fleet.PopularBlockedAnywhere()) << seed;
  }
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

TEST(CrashCodecTest, ReadsWhatItWrites) {
  const CrashRecord record = {
      "f", "acme", 5 * kSecond, {{"i-1", 7, 3 * kSecond, 4 * kSecond}}};
  const auto read =
      DecodeCrashRow(EncodeCrashRow(record, 1'000'000), 1'000'000 + 2'000);
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read->fingerprint, "f");
  EXPECT_EQ(read->account, "acme");
  EXPECT_EQ(read->answered_age, 7 * kSecond);
  ASSERT_EQ(read->ends.size(), 1U);
  EXPECT_EQ(read->ends[0].replica, "i-1");
  EXPECT_EQ(read->ends[0].age, 5 * kSecond);
  EXPECT_EQ(read->ends[0].began_age, 6 * kSecond);
  for (const char* it : {"", "[]", "{}", R"({"fingerprint":1})",
                         R"({"fingerprint":"f","account":"a","ends":[3]})"}) {
    EXPECT_FALSE(DecodeCrashRow(it, 0).ok()) << it;
  }
}

// Guards against a lost datagram, or a store that was away, which leaves
// gateways without a record.
TEST(CrashExchangeTest, RepeatsWhatMayBeLost) {
  struct Output : CrashExchangeOutput {
    void SendCrashRecords(const NodeId& peer,
                          const CrashRecordUpdate& update) override {
      sent[peer] += static_cast<int>(update.records.size());
    }
    void WriteCrashRow(const std::string&, const CrashRecord&) override {
      ++writes;
    }
    void ReadCrashRows() override { ++reads; }
    std::vector<CrashRecord> CrashRecordsToSend(std::size_t,
                                                std::size_t) override {
      return {};
    }
    std::map<NodeId, int> sent;
    int writes = 0;
    int reads = 0;
  } output;
  Random random(1);
  CrashExchange exchange(&output, &random);
  exchange.OnChanged(0, {"f1", "acme", kNever, {{"i-1", 0, 0, 0}}}, true);
  for (TimeUs now = 0; now < 3 * kSecond; now += 10 * kMillisecond) {
    const int reads = output.reads;
    const int writes = output.writes;
    exchange.OnTick(now, {"g1", "g2"});
    if (output.reads > reads) {
      exchange.OnRead(now, now > kSecond);
    }
    if (output.writes > writes) {
      exchange.OnWritten(now, now > kSecond);
    }
  }
  EXPECT_EQ(output.sent["g1"], CrashExchange::kSends);
  EXPECT_EQ(output.sent["g2"], CrashExchange::kSends);
  EXPECT_TRUE(exchange.has_read());
  EXPECT_EQ(output.reads, 4);
  EXPECT_EQ(output.writes, 4);
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
  const auto all = rig.core.crash_records().All(rig.now);
  ASSERT_EQ(all.size(), 1U);
  EXPECT_TRUE(rig.core.LiftBlock(all[0].fingerprint));
  rig.Call("plain");
  EXPECT_EQ(rig.sent.size(), sent + 2);
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
  EXPECT_TRUE(rig.core.crash_records().All(rig.now).empty());
  // A replica that leaves ends as planned.
  rig.Call("plain");
  const ReplicaId leaving = rig.sent.back().replica;
  rig.directory.OnLeavingStated(rig.now, leaving);
  EndReplica(&rig, leaving);
  EXPECT_TRUE(rig.core.crash_records().All(rig.now).empty());
}

// Guards against two replicas for each try of a client: from the second end on
// only the client repeats.
TEST(GatewayCrashTest, DoesNotRepeatByItselfAfterTwoEnds) {
  GatewayRig rig;
  for (int n = 0; n < 4; ++n) {
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
  rig.Call("repeat");
  EXPECT_EQ(rig.sent.size(), 3U);
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
  CrashRecord record = {RequestFingerprint("acme", call), "acme", kNever, {}};
  for (const DurationUs age : {kSecond, 2 * kSecond, 3 * kSecond}) {
    record.ends.push_back({"i-" + std::to_string(age), 0, age, age + kRun});
  }
  rig.core.OnCrashRecord(record, "gateway");
  EXPECT_EQ(rig.refused[id].reason, Refusal::kCrashesReplicas);
}

}  // namespace
}  // namespace acaciachute
