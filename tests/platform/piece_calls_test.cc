// Tests calls with pieces over loopback sockets.
#include "platform/pieces.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "tests/soak/loopback.h"
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

}  // namespace
}  // namespace acaciachute::platform
