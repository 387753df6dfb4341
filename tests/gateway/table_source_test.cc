// What a gateway makes of other gateways' answers for a table of the store.
#include "coordination/tables/table_source.h"

#include <gtest/gtest.h>

#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

constexpr DurationUs kStale = 4 * kSecond;

FreshnessPlan Plan() {
  FreshnessPlan plan = PlanFreshness(2 * kStale, 4 * kSecond);
  plan.ask_store = kStale;
  return plan;
}

// A small gateway that may ask three large ones, each in a domain of its own.
struct SourceRig : StoreReader, TableRelayOutput {
  SourceRig() {
    for (const char* it : {"a", "b", "c"}) {
      GatewayHeartbeat heartbeat;
      heartbeat.cores = 1;
      heartbeat.domain = *it == 'a' ? "own" : it;
      peers.OnGatewayHeartbeat(now, it, 1, heartbeat);
    }
  }
  void Ask(const StoreRequest& request_in) override {
    ++store_asked;
    store_requests.push_back(request_in);
  }
  void Forget(const std::string&, std::uint64_t id) override {
    forgotten.push_back(id);
  }
  void StoreAnswers(const TableAnswer& answer) {
    source.OnStoreAnswer(now, store_requests.back().id, answer);
  }
  void SendToPeer(const NodeId& peer, const Message& message) override {
    asked.push_back(peer);
    request = std::get<TableRequest>(message);
  }
  void Reply(const TableAnswer& answer) {
    source.OnReply(now, asked.back(), {"t", request.sequence, answer});
  }
  static TableAnswer Rows(std::uint64_t version, DurationUs known_after) {
    TableAnswer answer;
    answer.kind = TableAnswer::Kind::kRows;
    answer.version = version;
    answer.rows = {{"k", "v", version, false}};
    answer.known_after = known_after;
    return answer;
  }
  // The source knows the table up to `version`, as of now.
  void Learn(std::uint64_t version) {
    source.ReadChanges(now, "t", 0, kSecond);
    Reply(Rows(version, 0));
    got.clear();
  }

  // What it knows gets so old that the store is due to be asked.
  void LetItGetOld(std::uint64_t version) {
    Learn(version);
    source.ReadChanges(now, "t", version, kSecond);
    now += kStale;
    source.OnTick(now);
  }

  TimeUs now = 100 * kSecond;
  QuietLog log;
  Random random{5};
  Metrics metrics;
  GatewayPeers peers{{"self", "own", 0.1}, &log};
  std::vector<NodeId> asked;
  TableRequest request;
  int store_asked = 0;
  std::vector<StoreRequest> store_requests;
  std::vector<std::uint64_t> forgotten;
  std::vector<TableAnswer> got;
  const FreshnessPlan plan = Plan();
  TableSource source{"t",
                     &plan,
                     &peers,
                     this,
                     this,
                     &random,
                     &metrics,
                     &log,
                     [this](TimeUs, const TableAnswer& it) { got.push_back(it); }};
};

TEST(TableSourceTest, AsksTheRelayOfItsDomainFirst) {
  SourceRig rig;
  rig.source.ReadRows(rig.now, "t", "");
  EXPECT_EQ(rig.asked, std::vector<NodeId>{"a"});
  EXPECT_EQ(rig.store_asked, 0);
}

// The answer comes 500 ms after the request and speaks of a moment 1 s before
// it arrived. The age counts from the request.
TEST(TableSourceTest, CountsAgeFromItsRequest) {
  SourceRig rig;
  rig.source.ReadRows(rig.now, "t", "");
  rig.now += 500 * kMillisecond;
  rig.Reply(SourceRig::Rows(5, -kSecond));
  ASSERT_EQ(rig.got.size(), 1U);
  EXPECT_EQ(rig.got[0].known_after, -kSecond);
}

// A relay that fails in any way: the request goes to another one, and nothing
// that is known is lost or told to be lost.
TEST(TableSourceTest, LeavesARelayThatFails) {
  SourceRig rig;
  rig.Learn(5);
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  rig.now += TableRelay::kMostHeld + TableSource::kReplyTime + 1;
  rig.source.OnTick(rig.now);
  EXPECT_NE(rig.asked.back(), "a");
  const NodeId second = rig.asked.back();
  rig.source.OnPeerLost(rig.now, second);
  EXPECT_NE(rig.asked.back(), second);
  EXPECT_TRUE(rig.got.empty());
  rig.Reply(SourceRig::Rows(6, 0));
  ASSERT_EQ(rig.got.size(), 1U);
  EXPECT_EQ(rig.got[0].rows.size(), 1U);
}

// An answer to an earlier request, or from one that was not asked.
TEST(TableSourceTest, PassesOverAnswersToOtherRequests) {
  SourceRig rig;
  rig.Learn(5);
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  rig.source.OnReply(rig.now, "a",
                     {"t", rig.request.sequence - 1, SourceRig::Rows(9, 0)});
  rig.source.OnReply(rig.now, "b",
                     {"t", rig.request.sequence, SourceRig::Rows(9, 0)});
  EXPECT_TRUE(rig.got.empty());
}

// A build that we do not know, or a fault: the answer is dropped.
TEST(TableSourceTest, DropsAnAnswerOfAnUnknownKind) {
  SourceRig rig;
  rig.Learn(5);
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  TableAnswer odd = SourceRig::Rows(9, 0);
  odd.kind = static_cast<TableAnswer::Kind>(77);
  rig.Reply(odd);
  EXPECT_TRUE(rig.got.empty());
  EXPECT_NE(rig.asked.back(), "a");
}

// A relay that lags behind what is known tells nothing new: its rows would take
// a configuration back, and how old they are says nothing.
TEST(TableSourceTest, TakesNothingFromARelayThatLags) {
  SourceRig rig;
  rig.Learn(9);
  rig.source.ReadChanges(rig.now, "t", 9, kSecond);
  rig.Reply(SourceRig::Rows(7, 0));
  ASSERT_EQ(rig.got.size(), 1U);
  EXPECT_TRUE(rig.got[0].rows.empty());
  EXPECT_EQ(rig.got[0].version, 9U);
  EXPECT_FALSE(rig.got[0].known_after);
}

// The relay answers in time but what it knows gets old: it does not reach the
// store and has not noticed.
TEST(TableSourceTest, LeavesARelayWhoseKnowledgeIsOld) {
  SourceRig rig;
  rig.Learn(5);
  rig.now += kStale + 1;
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  TableAnswer none;
  none.kind = TableAnswer::Kind::kRows;
  none.version = 5;
  none.known_after.reset();
  rig.Reply(none);
  EXPECT_TRUE(rig.got.empty());
  EXPECT_NE(rig.asked.back(), "a");
}

// Guards against: replicas whose rows are gone are kept as in an outage,
// because the gateway that is asked lost the store. Nothing failed while the
// store has not been asked in vain.
TEST(TableSourceTest, ARelayThatLostTheStoreIsNoOutage) {
  SourceRig rig;
  rig.Learn(5);
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  TableAnswer lost;
  lost.kind = TableAnswer::Kind::kStoreLost;
  rig.Reply(lost);
  EXPECT_TRUE(rig.got.empty());
  EXPECT_NE(rig.asked.back(), "a");
  rig.Reply(lost);
  rig.Reply(lost);
  EXPECT_TRUE(rig.got.empty());
  EXPECT_EQ(rig.store_asked, 1);
  rig.StoreAnswers({});
  rig.Reply(lost);
  ASSERT_EQ(rig.got.size(), 1U);
  EXPECT_EQ(rig.got[0].kind, TableAnswer::Kind::kStoreLost);
  EXPECT_EQ(rig.source.store_failed_at(), rig.now);
}

// Guards against: one call that the store refuses, as beyond its rate, lets a
// gateway whose relay is gone go on with an old table for seconds.
TEST(TableSourceTest, ASingleRefusalIsAskedAgainSoon) {
  SourceRig rig;
  rig.LetItGetOld(5);
  ASSERT_EQ(rig.store_asked, 1);
  rig.StoreAnswers({});
  rig.now += TableSource::kStoreSoon;
  rig.source.OnTick(rig.now);
  EXPECT_EQ(rig.store_asked, 2);
  // A second failure is an outage: the store is not pressed.
  rig.StoreAnswers({});
  rig.now += TableSource::kStoreSoon;
  rig.source.OnTick(rig.now);
  EXPECT_EQ(rig.store_asked, 2);
}

TableAnswer StoreRows(std::uint64_t version) {
  TableAnswer answer = SourceRig::Rows(version, 0);
  answer.store_time = kSecond;
  return answer;
}

// Guards against: a store that takes longer for each answer than a host waits
// is never heard.
TEST(TableSourceTest, TakesTheAnswerOfASlowStoreAfterTheFailure) {
  SourceRig rig;
  rig.LetItGetOld(5);
  ASSERT_EQ(rig.store_asked, 1);
  const TimeUs asked_at = rig.now;
  while (rig.got.empty()) {
    rig.now += rig.plan.store_in_time;
    rig.source.OnTick(rig.now);
    rig.source.OnPeerLost(rig.now, rig.asked.back());
  }
  EXPECT_EQ(rig.got.back().kind, TableAnswer::Kind::kFailed);
  EXPECT_EQ(rig.source.store_failed_at(), asked_at);
  rig.StoreAnswers(StoreRows(7));
  EXPECT_EQ(rig.got.back().kind, TableAnswer::Kind::kRows);
  EXPECT_EQ(rig.got.back().version, 7U);
  EXPECT_TRUE(rig.log.Saw("table_late"));
  // Nothing that comes after it is an answer to the same request.
  const std::size_t before = rig.got.size();
  rig.StoreAnswers(StoreRows(8));
  EXPECT_EQ(rig.got.size(), before);
}

// A relay that started a moment ago: the store is asked for the changes, and
// for the whole table only when it fails too.
TEST(TableSourceTest, AsksTheStoreForChangesThatARelayDoesNotKnow) {
  SourceRig rig;
  rig.Learn(5);
  TableAnswer gone;
  gone.kind = TableAnswer::Kind::kHistoryGone;
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  rig.Reply(gone);
  EXPECT_TRUE(rig.got.empty());
  ASSERT_EQ(rig.store_asked, 1);
  EXPECT_FALSE(rig.store_requests.back().query.whole);
  EXPECT_EQ(rig.store_requests.back().query.after, 5U);
  EXPECT_EQ(rig.store_requests.back().query.wait, 0);
  rig.StoreAnswers({});
  ASSERT_EQ(rig.got.size(), 1U);
  EXPECT_EQ(rig.got[0].kind, TableAnswer::Kind::kFailed);
  rig.source.ReadChanges(rig.now, "t", 5, 0);
  rig.Reply(gone);
  ASSERT_EQ(rig.got.size(), 2U);
  EXPECT_EQ(rig.got[1].kind, TableAnswer::Kind::kHistoryGone);
}

// The failure of a request whose place a newer one took tells nothing.
TEST(TableSourceTest, AReplacedRequestThatFailsIsNoFailure) {
  SourceRig rig;
  rig.Learn(5);
  for (const char* it : {"a", "b", "c"}) {
    GatewayHeartbeat heartbeat;
    heartbeat.leaving = true;
    rig.peers.OnGatewayHeartbeat(rig.now, it, 1, heartbeat);
  }
  rig.source.ReadChanges(rig.now, "t", 5, 2 * kStale);
  ASSERT_EQ(rig.store_asked, 1);
  rig.now += kStale;
  rig.source.OnTick(rig.now);
  ASSERT_EQ(rig.store_asked, 2);
  EXPECT_EQ(rig.store_requests.back().query.wait, 0);
  rig.source.OnStoreAnswer(rig.now, rig.store_requests.front().id, {});
  EXPECT_TRUE(rig.got.empty());
  EXPECT_LT(rig.source.store_failed_at(), 0);
  rig.StoreAnswers(StoreRows(6));
  ASSERT_EQ(rig.got.size(), 1U);
  EXPECT_EQ(rig.got[0].version, 6U);
}

// All relays fail: the store itself is asked, and then not more than every few
// seconds while it does not answer either.
TEST(TableSourceTest, AsksTheStoreWhenRelaysFail) {
  SourceRig rig;
  rig.Learn(5);
  for (int n = 0; n < 100; ++n) {
    rig.source.ReadChanges(rig.now, "t", 5, kSecond);
    while (rig.got.empty()) {
      const std::size_t before = rig.asked.size();
      if (rig.store_asked > 0 && before == rig.asked.size()) {
        rig.StoreAnswers({});
      }
      if (rig.got.empty()) {
        rig.source.OnPeerLost(rig.now, rig.asked.back());
      }
    }
    rig.got.clear();
    rig.now += 100 * kMillisecond;
  }
  EXPECT_GE(rig.store_asked, 2);
  EXPECT_LE(rig.store_asked, 6);
}

}  // namespace
}  // namespace acaciachute
