// Tests which frames between processes are accepted and which are rejected.
#include "protocol/frame.h"

#include <gtest/gtest.h>

#include <cereal/types/string.hpp>
#include <chrono>

#include "coordination/stages/piece_messages.h"
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

PieceTasks TasksWith(const PieceInputs& inputs) {
  PieceTasks tasks;
  for (std::uint32_t n = 0; n < 1000; ++n) {
    tasks.tasks.emplace_back();
    tasks.tasks.back().key = {"14da6f38e5b2907c", 1, n};
    tasks.tasks.back().inputs = inputs;
  }
  return tasks;
}

// Guards against a message whose size is the number of pieces times that of
// their inputs, and against a receiver that holds as much.
TEST(FrameTest, PiecesOfAStageShareTheirInputs) {
  const PieceInputs inputs(
      PieceInputs::List(1000, "10.1.64.9:8080/5c1e07a2e440"));
  const std::string frame =
      EncodeFrame({"front-1", 11, 3, TasksWith(inputs)}, kKey);
  EXPECT_LT(frame.size(), 300'000U);
  const auto out = DecodeFrame(frame, kKey);
  ASSERT_TRUE(out.ok()) << out.status();
  const auto& tasks = std::get<PieceTasks>(out->message).tasks;
  ASSERT_EQ(tasks.size(), 1000U);
  for (const PieceTask& it : tasks) {
    EXPECT_TRUE(it.inputs.IsSame(tasks[0].inputs));
  }
  EXPECT_EQ(tasks[999].inputs, inputs);
  EXPECT_EQ(tasks[999].key.piece, 999U);
}

TEST(FrameTest, EachPieceKeepsItsOwnInputs) {
  PieceTasks tasks = TasksWith({"a"});
  tasks.tasks[1].inputs = {};
  tasks.tasks[2].inputs = {"b", "c"};
  const auto out =
      DecodeFrame(EncodeFrame({"front-1", 11, 3, tasks}, kKey), kKey);
  ASSERT_TRUE(out.ok()) << out.status();
  const auto& read = std::get<PieceTasks>(out->message).tasks;
  for (std::size_t n = 0; n < tasks.tasks.size(); ++n) {
    EXPECT_EQ(read[n].inputs, tasks.tasks[n].inputs) << n;
  }
}

// Guards against a frame above the limit, whose receiver closes the connection
// with the pieces of all other requests on it.
TEST(FrameTest, MessagesWithPiecesFitIntoFrames) {
  PieceTasks tasks = TasksWith(
      PieceInputs::List(1000, std::string(kMaxStageInputBytes / 1000, 'h')));
  std::vector<PieceResult> results;
  for (PieceTask& it : tasks.tasks) {
    it.source = std::string(16 << 10, 'k');
    results.push_back(
        {it.key, PieceOutcome::kMade, std::string(60 << 10, 'h')});
  }
  std::vector<Message> messages;
  std::size_t sum = 0;
  for (PieceTasks& it : SplitTasks(tasks.tasks)) {
    sum += it.tasks.size();
    messages.emplace_back(std::move(it));
  }
  for (PieceResults& it : SplitResults(results)) {
    sum += it.results.size();
    messages.emplace_back(std::move(it));
  }
  for (PieceRelease& it : SplitRelease(
           std::vector<std::string>(1000, std::string(60 << 10, 'h')))) {
    sum += it.handles.size();
    messages.emplace_back(std::move(it));
  }
  EXPECT_EQ(sum, 3000U);
  for (const Message& it : messages) {
    EXPECT_LE(EncodeFrame({"front-1", 11, 3, it}, kKey).size(), kMaxFrameSize);
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
