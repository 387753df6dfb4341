// Frames between processes: what is taken and what is refused.
#include "protocol/frame.h"

#include <gtest/gtest.h>

#include "protocol/replay_guard.h"

namespace acaciachute {
namespace {

constexpr char kKey[] = "0123456789abcdef0123456789abcdef";

Envelope MakeEnvelope() {
  StageCall call;
  call.key = {{7, 8}, 1, 2};
  call.body = "{}";
  return {"entry-1", 11, 3, call};
}

TEST(FrameTest, RoundTrip) {
  const auto out = DecodeFrame(EncodeFrame(MakeEnvelope(), kKey), kKey);
  ASSERT_TRUE(out.ok()) << out.status();
  EXPECT_EQ(out->sender, "entry-1");
  EXPECT_EQ(std::get<StageCall>(out->message).key,
            std::get<StageCall>(MakeEnvelope().message).key);
}

// Rows, their versions and their age travel together; "nothing says how old" is
// not the same as an age of zero.
TEST(FrameTest, CarriesATableWithItsAge) {
  TableReply reply;
  reply.table = "t";
  reply.sequence = 4;
  reply.answer.kind = TableAnswer::Kind::kRows;
  reply.answer.rows = {{"k", "v", 9, false}, {"gone", "", 10, true}};
  reply.answer.version = 10;
  for (const std::optional<DurationUs> age :
       {std::optional<DurationUs>(-kSecond), std::optional<DurationUs>()}) {
    reply.answer.known_after = age;
    const auto out =
        DecodeFrame(EncodeFrame({"entry-1", 11, 3, reply}, kKey), kKey);
    ASSERT_TRUE(out.ok()) << out.status();
    const auto& answer = std::get<TableReply>(out->message).answer;
    EXPECT_EQ(answer.known_after, age);
    ASSERT_EQ(answer.rows.size(), 2U);
    EXPECT_EQ(answer.rows[0].value, "v");
    EXPECT_TRUE(answer.rows[1].removed);
  }
}

TEST(FrameTest, EveryChangedByteIsRefused) {
  const std::string frame = EncodeFrame(MakeEnvelope(), kKey);
  for (std::size_t n = 0; n < frame.size(); ++n) {
    std::string bad = frame;
    bad[n] = static_cast<char>(bad[n] ^ 1);
    EXPECT_FALSE(DecodeFrame(bad, kKey).ok()) << n;
  }
}

TEST(FrameTest, EveryCutIsRefused) {
  const std::string frame = EncodeFrame(MakeEnvelope(), kKey);
  for (std::size_t n = 0; n < frame.size(); ++n) {
    EXPECT_FALSE(DecodeFrame(frame.substr(0, n), kKey).ok()) << n;
  }
}

TEST(FrameTest, AnotherKeyIsRefused) {
  EXPECT_FALSE(DecodeFrame(EncodeFrame(MakeEnvelope(), kKey), "other").ok());
}

// A datagram is recorded and sent again; another comes from the process that
// the sender replaced. Both carry a right hash, neither may be taken.
TEST(ReplayGuardTest, RefusesRepeatsAndRetiredIncarnations) {
  ReplayGuard guard;
  Envelope first{"n", 1, 1, Heartbeat{}};
  EXPECT_TRUE(guard.Accept(first));
  EXPECT_FALSE(guard.Accept(first));
  Envelope second{"n", 2, 1, Heartbeat{}};
  EXPECT_TRUE(guard.Accept(second));
  Envelope late{"n", 1, 9, Heartbeat{}};
  EXPECT_FALSE(guard.Accept(late));
}

}  // namespace
}  // namespace acaciachute
