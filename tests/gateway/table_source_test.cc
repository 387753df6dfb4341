// Tests how a gateway handles other gateways' answers for a table of the store.
#include "coordination/tables/table_source.h"

#include <gtest/gtest.h>

#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

constexpr DurationUs kMaxTableAge = 4 * kSecond;

FreshnessPlan Plan() {
  FreshnessPlan plan = PlanFreshness(2 * kMaxTableAge, 4 * kSecond);
  plan.store_request_age = kMaxTableAge;
  return plan;
}

// A small gateway that may ask three large ones. One of them is in its own
// domain.
struct SourceRig : StoreReader, TableRelayOutput {
  SourceRig() {
    for (const char* it : {"a", "b", "c"}) {
      GatewayHeartbeat heartbeat;
      heartbeat.cores = 1;
      heartbeat.domain = *it == 'a' ? "own" : it;
      peers.OnGatewayHeartbeat(now, it, 1, heartbeat);
    }
  }
  void SendRequest(const StoreRequest& request) override {
    ++store_request_count;
    store_requests.push_back(request);
  }
  std::size_t ReceivedBytes(const std::string&, std::uint64_t) const override {
    return received_bytes;
  }
  void CancelRequest(const std::string&, std::uint64_t id) override {
    cancelled.push_back(id);
  }
  void AnswerFromStore(const TableAnswer& answer) {
    source.OnStoreAnswer(now, store_requests.back().id, answer);
  }
  void SendToPeer(const NodeId& peer, const Message& message) override {
    asked_peers.push_back(peer);
    last_request = std::get<TableRequest>(message);
  }
  void Reply(const TableAnswer& answer) {
    source.OnReply(now, asked_peers.back(),
                   {"t", last_request.sequence, answer});
  }
  static TableAnswer Rows(std::uint64_t version, DurationUs known_after) {
    TableAnswer answer;
    answer.kind = TableAnswer::Kind::kRows;
    answer.version = version;
    answer.rows = {{"k", "v", version, false}};
    answer.known_after = known_after;
    return answer;
  }
  // Gives the source the table at `version`, current as of now.
  void ReceiveTable(std::uint64_t version) {
    source.ReadChanges(now, "t", 0, kSecond);
    Reply(Rows(version, 0));
    answers.clear();
  }

  // Lets the source's table become so old that the store has to be asked.
  void LetTableAge(std::uint64_t version) {
    ReceiveTable(version);
    source.ReadChanges(now, "t", version, kSecond);
    now += kMaxTableAge;
    source.OnTick(now);
  }

  TimeUs now = 100 * kSecond;
  QuietLog log;
  Random random{5};
  Metrics metrics;
  GatewayPeers peers{{"self", "own", 0.1}, &log};
  std::vector<NodeId> asked_peers;
  TableRequest last_request;
  int store_request_count = 0;
  std::vector<StoreRequest> store_requests;
  std::vector<std::uint64_t> cancelled;
  std::size_t received_bytes = 0;
  std::vector<TableAnswer> answers;
  const FreshnessPlan plan = Plan();
  TableSource source{"t",
                     &plan,
                     &peers,
                     this,
                     this,
                     nullptr,
                     &random,
                     &metrics,
                     &log,
                     [this](TimeUs, const TableAnswer& it) { answers.push_back(it); }};
};

TEST(TableSourceTest, AsksTheRelayOfItsDomainFirst) {
  SourceRig rig;
  rig.source.ReadRows(rig.now, "t", "");
  EXPECT_EQ(rig.asked_peers, std::vector<NodeId>{"a"});
  EXPECT_EQ(rig.store_request_count, 0);
}

// The answer arrives 500 ms after the request and was current 1 s before the
// request arrived. The age counts from when the request was sent.
TEST(TableSourceTest, CountsAgeFromItsRequest) {
  SourceRig rig;
  rig.source.ReadRows(rig.now, "t", "");
  rig.now += 500 * kMillisecond;
  rig.Reply(SourceRig::Rows(5, -kSecond));
  ASSERT_EQ(rig.answers.size(), 1U);
  EXPECT_EQ(rig.answers[0].known_after, -kSecond);
}

// If a relay fails in any way, the request goes to another one, and no failure
// is reported.
TEST(TableSourceTest, ReplacesARelayThatFails) {
  SourceRig rig;
  rig.ReceiveTable(5);
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  rig.now += TableRelay::kMaxHoldTime + TableSource::kRelayReplyMargin + 1;
  rig.source.OnTick(rig.now);
  EXPECT_NE(rig.asked_peers.back(), "a");
  const NodeId second = rig.asked_peers.back();
  rig.source.OnPeerLost(rig.now, second);
  EXPECT_NE(rig.asked_peers.back(), second);
  EXPECT_TRUE(rig.answers.empty());
  rig.Reply(SourceRig::Rows(6, 0));
  ASSERT_EQ(rig.answers.size(), 1U);
  EXPECT_EQ(rig.answers[0].rows.size(), 1U);
}

// Ignores an answer to an earlier request, and one from a gateway that was not
// asked.
TEST(TableSourceTest, PassesOverAnswersToOtherRequests) {
  SourceRig rig;
  rig.ReceiveTable(5);
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  rig.source.OnReply(
      rig.now, "a",
      {"t", rig.last_request.sequence - 1, SourceRig::Rows(9, 0)});
  rig.source.OnReply(rig.now, "b",
                     {"t", rig.last_request.sequence, SourceRig::Rows(9, 0)});
  EXPECT_TRUE(rig.answers.empty());
}

// An answer of an unknown kind, from another version of the program or after a
// fault, is dropped.
TEST(TableSourceTest, DropsAnAnswerOfAnUnknownKind) {
  SourceRig rig;
  rig.ReceiveTable(5);
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  TableAnswer unknown = SourceRig::Rows(9, 0);
  unknown.kind = static_cast<TableAnswer::Kind>(77);
  rig.Reply(unknown);
  EXPECT_TRUE(rig.answers.empty());
  EXPECT_NE(rig.asked_peers.back(), "a");
}

// A relay that has an older version than this gateway has nothing to add: its
// rows would revert the configuration, and their age says nothing about this
// gateway's table.
TEST(TableSourceTest, UsesNothingFromARelayThatLags) {
  SourceRig rig;
  rig.ReceiveTable(9);
  rig.source.ReadChanges(rig.now, "t", 9, kSecond);
  rig.Reply(SourceRig::Rows(7, 0));
  ASSERT_EQ(rig.answers.size(), 1U);
  EXPECT_TRUE(rig.answers[0].rows.empty());
  EXPECT_EQ(rig.answers[0].version, 9U);
  EXPECT_FALSE(rig.answers[0].known_after);
}

// The relay answers in time but its table becomes old: it does not reach the
// store and has not noticed.
TEST(TableSourceTest, ReplacesARelayWhoseDataAreOld) {
  SourceRig rig;
  rig.ReceiveTable(5);
  rig.now += kMaxTableAge + 1;
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  TableAnswer none;
  none.kind = TableAnswer::Kind::kRows;
  none.version = 5;
  none.known_after.reset();
  rig.Reply(none);
  EXPECT_TRUE(rig.answers.empty());
  EXPECT_NE(rig.asked_peers.back(), "a");
}

// Guards against replicas that are kept as during an outage although their rows
// were removed, because the relay lost the store. It is no failure of the store
// until the store itself does not answer.
TEST(TableSourceTest, ARelayThatLostTheStoreIsNoOutage) {
  SourceRig rig;
  rig.ReceiveTable(5);
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  TableAnswer lost;
  lost.kind = TableAnswer::Kind::kStoreLost;
  rig.Reply(lost);
  EXPECT_TRUE(rig.answers.empty());
  EXPECT_NE(rig.asked_peers.back(), "a");
  rig.Reply(lost);
  rig.Reply(lost);
  EXPECT_TRUE(rig.answers.empty());
  EXPECT_EQ(rig.store_request_count, 1);
  rig.AnswerFromStore({});
  rig.Reply(lost);
  ASSERT_EQ(rig.answers.size(), 1U);
  EXPECT_EQ(rig.answers[0].kind, TableAnswer::Kind::kStoreLost);
  EXPECT_EQ(rig.source.store_failed_at(), rig.now);
}

// Guards against a gateway without a relay that keeps an old table for seconds
// because the store refused a single call, for example beyond its rate limit.
TEST(TableSourceTest, RetriesSoonAfterASingleRefusal) {
  SourceRig rig;
  rig.LetTableAge(5);
  ASSERT_EQ(rig.store_request_count, 1);
  rig.AnswerFromStore({});
  rig.now += TableSource::kStoreFirstRetryDelay;
  rig.source.OnTick(rig.now);
  EXPECT_EQ(rig.store_request_count, 2);
  // A second failure counts as an outage: the store is not asked again at once.
  rig.AnswerFromStore({});
  rig.now += TableSource::kStoreFirstRetryDelay;
  rig.source.OnTick(rig.now);
  EXPECT_EQ(rig.store_request_count, 2);
}

TableAnswer StoreRows(std::uint64_t version) {
  TableAnswer answer = SourceRig::Rows(version, 0);
  answer.store_time = kSecond;
  return answer;
}

// Guards against a store whose answers are never used because each takes longer
// than a host waits.
TEST(TableSourceTest, TakesTheAnswerOfASlowStoreAfterTheFailure) {
  SourceRig rig;
  rig.LetTableAge(5);
  ASSERT_EQ(rig.store_request_count, 1);
  const TimeUs sent_at = rig.now;
  while (rig.answers.empty()) {
    rig.now += rig.plan.store_timeout;
    rig.source.OnTick(rig.now);
    rig.source.OnPeerLost(rig.now, rig.asked_peers.back());
  }
  EXPECT_EQ(rig.answers.back().kind, TableAnswer::Kind::kFailed);
  EXPECT_EQ(rig.source.store_failed_at(), sent_at);
  rig.AnswerFromStore(StoreRows(7));
  EXPECT_EQ(rig.answers.back().kind, TableAnswer::Kind::kRows);
  EXPECT_EQ(rig.answers.back().version, 7U);
  EXPECT_TRUE(rig.log.Saw("table_late"));
  // A later answer is not an answer to the same request.
  const std::size_t before = rig.answers.size();
  rig.AnswerFromStore(StoreRows(8));
  EXPECT_EQ(rig.answers.size(), before);
}

// For changes from before the start of a relay, the store is asked, and the
// complete table is read only if the store fails too.
TEST(TableSourceTest, AsksTheStoreForChangesThatARelayDoesNotHave) {
  SourceRig rig;
  rig.ReceiveTable(5);
  TableAnswer history_gone;
  history_gone.kind = TableAnswer::Kind::kHistoryTruncated;
  rig.source.ReadChanges(rig.now, "t", 5, kSecond);
  rig.Reply(history_gone);
  EXPECT_TRUE(rig.answers.empty());
  ASSERT_EQ(rig.store_request_count, 1);
  EXPECT_FALSE(rig.store_requests.back().query.complete_table);
  EXPECT_EQ(rig.store_requests.back().query.after, 5U);
  EXPECT_EQ(rig.store_requests.back().query.wait, 0);
  rig.AnswerFromStore({});
  ASSERT_EQ(rig.answers.size(), 1U);
  EXPECT_EQ(rig.answers[0].kind, TableAnswer::Kind::kFailed);
  rig.source.ReadChanges(rig.now, "t", 5, 0);
  rig.Reply(history_gone);
  ASSERT_EQ(rig.answers.size(), 2U);
  EXPECT_EQ(rig.answers[1].kind, TableAnswer::Kind::kHistoryTruncated);
}

// The failure of a request that a newer one replaced is not reported.
TEST(TableSourceTest, AReplacedRequestThatFailsIsNoFailure) {
  SourceRig rig;
  rig.ReceiveTable(5);
  for (const char* it : {"a", "b", "c"}) {
    GatewayHeartbeat heartbeat;
    heartbeat.leaving = true;
    rig.peers.OnGatewayHeartbeat(rig.now, it, 1, heartbeat);
  }
  rig.source.ReadChanges(rig.now, "t", 5, 2 * kMaxTableAge);
  ASSERT_EQ(rig.store_request_count, 1);
  rig.now += kMaxTableAge;
  rig.source.OnTick(rig.now);
  ASSERT_EQ(rig.store_request_count, 2);
  EXPECT_EQ(rig.store_requests.back().query.wait, 0);
  rig.source.OnStoreAnswer(rig.now, rig.store_requests.front().id, {});
  EXPECT_TRUE(rig.answers.empty());
  EXPECT_LT(rig.source.store_failed_at(), 0);
  rig.AnswerFromStore(StoreRows(6));
  ASSERT_EQ(rig.answers.size(), 1U);
  EXPECT_EQ(rig.answers[0].version, 6U);
}

// If all relays fail, the store itself is asked, and only every few seconds
// while it does not answer either.
TEST(TableSourceTest, AsksTheStoreWhenRelaysFail) {
  SourceRig rig;
  rig.ReceiveTable(5);
  for (int n = 0; n < 100; ++n) {
    rig.source.ReadChanges(rig.now, "t", 5, kSecond);
    while (rig.answers.empty()) {
      const std::size_t before = rig.asked_peers.size();
      if (rig.store_request_count > 0 && before == rig.asked_peers.size()) {
        rig.AnswerFromStore({});
      }
      if (rig.answers.empty()) {
        rig.source.OnPeerLost(rig.now, rig.asked_peers.back());
      }
    }
    rig.answers.clear();
    rig.now += 100 * kMillisecond;
  }
  EXPECT_GE(rig.store_request_count, 2);
  EXPECT_LE(rig.store_request_count, 6);
}

}  // namespace
}  // namespace acaciachute
