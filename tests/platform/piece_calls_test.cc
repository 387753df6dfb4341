// Tests calls with pieces over loopback sockets.
#include "platform/pieces.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "tests/soak/loopback.h"
#include "tests/soak/raw_listener.h"
#include "text.h"
#include "transport/http_listener.h"
#include "transport/loop.h"

namespace acaciachute::platform {
namespace {

// A replica that makes every piece and states a limit.
struct Replica : ListenerHandler {
  explicit Replica(Loop* loop) : listener(this, loop) {
    EXPECT_TRUE(listener.Listen(address).ok());
  }
  void OnRequest(ExchangeId id, HttpRequestHead, std::string) override {
    listener.Reply(id, 200, {{"Server-Limit", "1.5"}},
                   R"({"items":[{"handle":"h"}]})");
  }
  void OnClientDisconnected(ExchangeId) override {}
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

  Address address = FreeAddress();
  HttpListener listener;
};

// Guards against a replica whose turn is never over: the batcher had given the
// call up, so its end was not counted for the replica. Each end names the
// replica itself.
TEST(PieceCallsTest, EachEndNamesItsReplica) {
  Loop loop;
  Replica replica(&loop);
  HttpChannels channels(&loop);
  std::optional<PieceCallEnd> end;
  std::optional<ReplicaStatement> statement;
  PieceCalls calls(
      &channels,
      [&](const std::string&, BatchId, const PieceCallEnd& it) {
        end = it;
        loop.Quit();
      },
      [&](const ReplicaId& from, const ReplicaStatement& it) {
        EXPECT_EQ(from, ReplicaId("m0", 3));
        statement = it;
      });
  PieceCall call;
  call.id = 7;
  call.replica = ReplicaId("m0", 3);
  call.pieces.resize(1);
  for (const bool listening : {true, false}) {
    end.reset();
    statement.reset();
    call.address = listening ? replica.address : FreeAddress();
    calls.Run(call);
    loop.Run();
    ASSERT_TRUE(end);
    EXPECT_EQ(end->replica, call.replica);
    EXPECT_EQ(end->kind, listening ? PieceCallEnd::Kind::kAnswered
                                   : PieceCallEnd::Kind::kUnreached);
    EXPECT_EQ(statement.has_value(), listening);
  }
}

// Guards against statements that are heard at the end of an answered call only:
// a release of results, a refused call and one whose answer breaks off count.
TEST(PieceCallsTest, EachAnswerStatesSomething) {
  struct Leaving : Replica {
    using Replica::Replica;
    void OnRequest(ExchangeId id, HttpRequestHead head, std::string) override {
      const HttpFields fields = {{"Server-Leaving", "1"}};
      if (head.target == "/stage-free") {
        listener.Reply(id, 200, fields, "");
      } else if (++calls == 1) {
        listener.Reply(id, 503, {{"Not-Executed", "1"}, fields[0]}, "");
      } else {
        listener.BeginStream(id, 200, fields);
        listener.Break(id);
      }
    }
    int calls = 0;
  };
  Loop loop;
  Leaving replica(&loop);
  HttpChannels channels(&loop);
  std::vector<PieceCallEnd::Kind> ends;
  int leaving = 0;
  PieceCalls calls(
      &channels,
      [&](const std::string&, BatchId, const PieceCallEnd& it) {
        ends.push_back(it.kind);
        loop.Quit();
      },
      [&](const ReplicaId& from, const ReplicaStatement& it) {
        EXPECT_EQ(from, ReplicaId("m0", 3));
        leaving += it.leaving;
        if (ends.size() == 2) {
          loop.Quit();
        }
      });
  PieceCall call;
  call.id = 7;
  call.replica = ReplicaId("m0", 3);
  call.address = replica.address;
  call.pieces.resize(1);
  for (const int n : {1, 2}) {
    calls.Run(call);
    loop.Run();
    EXPECT_EQ(leaving, n);
  }
  using Kind = PieceCallEnd::Kind;
  EXPECT_EQ(ends, (std::vector<Kind>{Kind::kRefused, Kind::kBroken}));
  calls.ReleaseResults(call.replica, call.address, {"h"});
  loop.Run();
  EXPECT_EQ(leaving, 3);
}

// A replica that makes one result for each call, with a name of its own, and
// sends each answer once more, late.
struct LateReplica : ListenerHandler {
  LateReplica(Loop* loop, bool names_answers_in)
      : names_answers(names_answers_in), listener(this, loop, address) {
    listener.SetLateCopies(1);
  }
  void OnRequest(ExchangeId id, HttpRequestHead head, std::string) override {
    const std::string body =
        StrCat(R"({"items":[{"handle":"result )", ++calls, R"("}]})");
    EXPECT_EQ(FindField(head.fields, "Attempt-Id"), nullptr);
    listener.Write(
        id, StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n",
                   names_answers ? "Attempt-Id: a\r\n" : "", "\r\n", body));
    listener.Keep(id);
  }
  void OnClientDisconnected(ExchangeId) override {}
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

  const bool names_answers;  // With an id that no call has.
  const Address address = FreeAddress();
  RawListener listener;
  int calls = 0;
};

// Guards against pieces that get the results of others: a late copy of a stage
// replica's answer was taken for the answer to the next call.
TEST(PieceCallsTest, ALateCopyOfAnAnswerEndsNoOtherCall) {
  for (const bool names_answers : {true, false}) {
    Loop loop;
    LateReplica replica(&loop, names_answers);
    HttpChannels channels(&loop);
    std::optional<PieceCallEnd> end;
    PieceCalls calls(
        &channels,
        [&](const std::string&, BatchId, const PieceCallEnd& it) {
          end = it;
          loop.Quit();
        },
        [](const ReplicaId&, const ReplicaStatement&) {});
    PieceCall call;
    call.id = 7;
    call.address = replica.address;
    call.pieces.resize(1);
    for (int n = 0; n < 5; ++n) {
      calls.Run(call);
      loop.Run();
      ASSERT_TRUE(end);
      ASSERT_EQ(end->results.size(), 1U) << end->why;
      EXPECT_EQ(end->results[0].handle, StrCat("result ", replica.calls));
      calls.ReleaseResults({}, replica.address, {end->results[0].handle});
      const int made = replica.calls;
      while (replica.calls == made) {
        loop.After(kMillisecond, [&] { loop.Quit(); });
        loop.Run();
      }
    }
    // Each call for pieces has a connection of its own, and shares none with
    // the releases.
    constexpr std::size_t kCalls = 5;
    EXPECT_GE(channels.opened(), kCalls + 1);
  }
}

// Guards against results that are given to other pieces of a call: they are
// told apart by their position alone, so their number has to be right.
TEST(PieceCallsTest, AnAnswerWithAnotherNumberOfResultsIsNone) {
  Loop loop;
  Replica replica(&loop);
  HttpChannels channels(&loop);
  std::optional<PieceCallEnd> end;
  PieceCalls calls(
      &channels,
      [&](const std::string&, BatchId, const PieceCallEnd& it) {
        end = it;
        loop.Quit();
      },
      [](const ReplicaId&, const ReplicaStatement&) {});
  PieceCall call;
  call.id = 7;
  call.address = replica.address;
  call.pieces.resize(2);
  calls.Run(call);
  loop.Run();
  ASSERT_TRUE(end);
  EXPECT_EQ(end->kind, PieceCallEnd::Kind::kBroken);
  EXPECT_TRUE(end->results.empty());
}

// Guards against a batch that is sent to a replica which has stated meanwhile
// that it leaves, because the connection for it was still being made.
TEST(PieceCallsTest, EndsCallsThatAreNotSentYet) {
  Loop loop;
  Replica replica(&loop);
  HttpChannels channels(&loop);
  std::optional<PieceCallEnd> end;
  PieceCalls calls(
      &channels,
      [&](const std::string&, BatchId, const PieceCallEnd& it) { end = it; },
      [](const ReplicaId&, const ReplicaStatement&) {});
  PieceCall call;
  call.id = 7;
  call.replica = ReplicaId("m0", 3);
  call.address = replica.address;
  call.pieces.resize(1);
  calls.Run(call);
  calls.CancelUnsentAt(ReplicaId("m0", 2), "another incarnation leaves");
  EXPECT_FALSE(end);
  calls.CancelUnsentAt(ReplicaId("m0", 3), "the replica leaves");
  ASSERT_TRUE(end);
  EXPECT_EQ(end->kind, PieceCallEnd::Kind::kUnreached);
}

}  // namespace
}  // namespace acaciachute::platform
