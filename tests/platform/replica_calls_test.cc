// Tests the calls of this system's own against replicas of each kind that take
// everything they do not know for a request.
#include "platform/replica_calls.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "platform/pieces.h"
#include "platform/replica_starts.h"
#include "tests/soak/standin_replica.h"

namespace acaciachute::platform {
namespace {

using Kind = ReplicaWork::Kind;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;

// Receives one answer and ends the loop.
struct Sink : CallSink {
  explicit Sink(Loop* loop_in) : loop(loop_in) {}
  void OnAnswerHead(CallId, const HttpAnswerHead& head) override {
    status = head.status;
    not_run = FindField(head.fields, "Not-Executed") != nullptr;
  }
  void OnAnswerBody(CallId, std::string_view) override {}
  void OnAnswerEnd(CallId, AnswerEnd) override { loop->Quit(); }
  void OnCallFailed(CallId, const CallFailure&) override { loop->Quit(); }

  Loop* const loop;
  int status = 0;
  bool not_run = false;
};

bool Knows(Kind kind, ReplicaCall call) {
  return kind == Kind::kStage ||
         (kind == Kind::kEngine && call == ReplicaCall::kAskStart);
}

// Guards against work that no client sent: a call of this system's own reached
// a process of another kind, which took it for a request and ran it.
TEST(ReplicaCallsTest, NoReplicaTakesACallForARequest) {
  for (const Kind kind : {Kind::kPlain, Kind::kStage, Kind::kEngine}) {
    for (std::size_t n = 0; n < kReplicaCallNames.size(); ++n) {
      for (const bool is_meant : {true, false}) {
        const auto call = static_cast<ReplicaCall>(n);
        SCOPED_TRACE(Name(call));
        Loop loop;
        Ledger ledger({});
        StandinReplica replica(&loop, "i-1", "s", {kind, kMillisecond, 0, 0},
                               &ledger);
        HttpChannels channels(&loop);
        Sink sink(&loop);
        channels.Start(
            replica.address(),
            WriteReplicaCall(call, {is_meant ? "i-1" : "i-0", 1},
                             replica.address(), R"({"items":[],"handles":[]})"),
            {}, &sink);
        loop.Run();
        const bool is_taken = is_meant && Knows(kind, call);
        EXPECT_EQ(sink.status, is_taken   ? kOk
                               : is_meant ? kBadRequest
                                          : kMisdirected);
        EXPECT_EQ(sink.not_run, !is_taken);
        EXPECT_THAT(ledger.Violations(), testing::IsEmpty());
      }
    }
  }
}

// Guards against a call that is written past `WriteReplicaCall`.
TEST(ReplicaCallsTest, EachCallerWritesItsCallsSo) {
  Loop loop;
  Ledger ledger({});
  StandinReplica replica(&loop, "i-1", "s", {Kind::kPlain, kMillisecond, 0, 0},
                         &ledger);
  HttpChannels channels(&loop);
  const ReplicaId before("i-0", 1);
  int answers = 0;
  const auto count = [&] {
    constexpr int kCalls = 3;
    if (++answers == kCalls) {
      loop.Quit();
    }
  };
  PieceCalls pieces(
      &channels,
      [](const std::string&, BatchId, const PieceCallEnd& end) {
        EXPECT_EQ(end.kind, PieceCallEnd::Kind::kRefused);
      },
      [&](const ReplicaId&, const ReplicaStatement&) { count(); });
  PieceCall call;
  call.id = 7;
  call.replica = before;
  call.address = replica.address();
  call.pieces.resize(1);
  pieces.Run(call);
  pieces.ReleaseResults(before, replica.address(), {"h"});
  ReplicaStarts starts(&channels);
  starts.Ask(before, replica.address(), [&](const StartAnswer& answer) {
    EXPECT_EQ(answer.status, kMisdirected);
    EXPECT_EQ(answer.start, 0U);
    count();
  });
  loop.Run();
  EXPECT_THAT(ledger.Violations(), testing::IsEmpty());
  EXPECT_TRUE(replica.arrivals().empty());
}

}  // namespace
}  // namespace acaciachute::platform
