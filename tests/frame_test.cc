// Tests which frames between processes are accepted and which are rejected.
#include "protocol/frame.h"

#include <gtest/gtest.h>

#include <cereal/types/string.hpp>
#include <chrono>

#include "protocol/frame_reader.h"
#include "protocol/replay_guard.h"
#include "tests/sealed_frame.h"

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

// Rows, versions and age are encoded together. An unknown age is distinguished
// from an age of zero.
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

// Guards against reports of queues that lose what admission is decided by.
TEST(FrameTest, CarriesTheForecastOfAQueue) {
  GatewayHeartbeat heartbeat;
  ServiceQueueWait& queue = heartbeat.waits.emplace_back();
  queue.service = "s";
  queue.wait.in_time.fill(5 * kSecond);
  queue.wait.late = 7 * kSecond;
  queue.wait.memory = 0.5;
  queue.wait.coming.fill(2 * kSecond);
  queue.wait.coming_within = 3 * kSecond;
  queue.wait.speed = 12;
  const auto out =
      DecodeFrame(EncodeFrame({"g", 11, 3, heartbeat}, kKey), kKey);
  ASSERT_TRUE(out.ok()) << out.status();
  const QueueWait& wait =
      std::get<GatewayHeartbeat>(out->message).waits.at(0).wait;
  EXPECT_EQ(wait.in_time, queue.wait.in_time);
  EXPECT_EQ(wait.late, queue.wait.late);
  EXPECT_EQ(wait.memory, queue.wait.memory);
  EXPECT_EQ(wait.coming, queue.wait.coming);
  EXPECT_EQ(wait.coming_within, queue.wait.coming_within);
  EXPECT_EQ(wait.speed, queue.wait.speed);
}

TEST(FrameTest, CarriesAnnouncedPieces) {
  PieceAnnouncement announcement;
  announcement.coming = {{"r", 1, "s", 2, 4, 8000, kSecond}};
  const auto out =
      DecodeFrame(EncodeFrame({"g", 11, 3, announcement}, kKey), kKey);
  ASSERT_TRUE(out.ok()) << out.status();
  const auto& it = std::get<PieceAnnouncement>(out->message).coming.at(0);
  EXPECT_EQ(it.request, "r");
  EXPECT_EQ(it.stage, 1U);
  EXPECT_EQ(it.service, "s");
  EXPECT_EQ(it.priority, 2U);
  EXPECT_EQ(it.pieces, 4U);
  EXPECT_EQ(it.result_bytes, 8000U);
  EXPECT_EQ(it.in, kSecond);
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

Envelope WithRows() {
  TableReply reply;
  reply.table = "t";
  reply.answer.kind = TableAnswer::Kind::kRows;
  reply.answer.rows = {{"key", "value", 9, false}, {"gone", "", 10, true}};
  return {"entry-1", 11, 3, reply};
}

// Guards against a wrong element count, which allocated memory and took minutes
// before the missing bytes were found.
TEST(FrameTest, NoCountTakesMoreThanTheMessageHolds) {
  const std::string good = EncodeFrame(WithRows(), kKey);
  ASSERT_EQ(SealedFrame(good, kKey), good);
  const auto started = std::chrono::steady_clock::now();
  int refused = 0;
  for (std::size_t at = kFramePrefixSize; at + 40 <= good.size(); ++at) {
    for (const int byte : {2, 3, 4, 5, 7}) {
      std::string bad = good;
      bad[at + static_cast<std::size_t>(byte)] = '\x7f';
      refused += DecodeFrame(SealedFrame(bad, kKey), kKey).ok() ? 0 : 1;
    }
  }
  EXPECT_GT(refused, 100);
  EXPECT_LT(std::chrono::steady_clock::now() - started,
            std::chrono::seconds(5));
}

// A count is just below the number of remaining bytes, but its elements are
// larger than a byte.
TEST(FrameTest, ElementsTakeNoMemoryBeforeTheyAreRead) {
  constexpr std::uint64_t kRemaining = 1'000'000;
  std::string bytes(1, '\1');
  for (unsigned n = 0; n < sizeof kRemaining; ++n) {
    bytes.push_back(static_cast<char>(kRemaining >> (8 * n)));
  }
  // The first string states a length above the number of remaining bytes.
  bytes += std::string(kRemaining, '\xff');
  std::vector<std::string> rows;
  FrameReader reader(bytes);
  EXPECT_THROW(reader(rows), cereal::Exception);
  EXPECT_LE(rows.capacity(), 1U);
}

// Reads numbers from a process with the other byte order.
TEST(FrameTest, ReadsNumbersOfEitherOrder) {
  FrameReader reader(std::string_view("\0\0\0\1\2", 5));
  std::uint32_t number = 0;
  reader(number);
  EXPECT_EQ(number, 0x102U);
}

TEST(FrameTest, AnotherKeyIsRefused) {
  EXPECT_FALSE(DecodeFrame(EncodeFrame(MakeEnvelope(), kKey), "other").ok());
}

// Guards against a datagram that was recorded and sent again, and one of the
// sender's previous process. Both have a valid HMAC and must be rejected.
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
