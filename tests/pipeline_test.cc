// Tests of stage results that are late, duplicated, reordered, or belong to
// earlier attempts or other requests, across restarts of sidecars, and of
// streams interrupted at each chunk. The caller must receive its own complete
// answer, or an end that marks the answer as incomplete.
#include <gtest/gtest.h>

#include "tests/core_driver.h"
#include "tests/property.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr char kCompleteAnswer[] = "part0;part1;part2;";

DriverOptions TwoGenerators() {
  DriverOptions options;
  options.pools = {{"generators", StageKind::kGenerate, 2}};
  return options;
}

CallerRequest StreamRequest(const std::string& body) {
  CallerRequest request = CoreDriver::MakeRequest(body);
  request.stream = true;
  return request;
}

CallerAnswer OnlyAnswer(const CoreDriver& driver, CallerHandle handle) {
  const auto answers = driver.AnswersTo(handle);
  EXPECT_EQ(answers.size(), 1);
  return answers.empty() ? CallerAnswer{} : answers[0].answer;
}

// The upstream stops after 0, 1, 2 or 3 parts reached the caller. The request
// is idempotent: another replica gives the same answer from the start, and the
// caller's stream continues where it was interrupted, so the caller receives
// the complete answer once.
TEST(PipelineTest, IdempotentStreamCutAtEachChunkIsResumed) {
  for (int parts_before_stop = 0; parts_before_stop <= 3; ++parts_before_stop) {
    CoreDriver driver(TwoGenerators());
    const auto handle = driver.Ask(0, StreamRequest(R"("a")"));
    while (driver.StreamOf(handle).size() < 6U * parts_before_stop) {
      driver.Run(kMillisecond / 4);
    }
    driver.Run(2 * kMillisecond);
    if (driver.AnswersTo(handle).empty() && !driver.runs().empty()) {
      driver.KillSidecar(driver.runs()[0].node);
    }
    driver.Run(kSecond);
    EXPECT_EQ(OnlyAnswer(driver, handle).verdict, Verdict::kAnswered)
        << parts_before_stop;
    EXPECT_EQ(driver.StreamOf(handle), kCompleteAnswer) << parts_before_stop;
    EXPECT_EQ(OnlyAnswer(driver, handle).body, kCompleteAnswer)
        << parts_before_stop;
  }
}

// The same interruptions of a non-idempotent request. The caller receives some
// parts and then an error that says "may have run"; never an end marker, and
// never a second run.
TEST(PipelineTest, NonIdempotentStreamCutAtEachChunkEndsWithItsVerdict) {
  for (int parts_before_stop = 1; parts_before_stop <= 3; ++parts_before_stop) {
    CoreDriver driver(TwoGenerators());
    CallerRequest request = CoreDriver::MakeOnce("k", R"("b")");
    request.stream = true;
    const auto handle = driver.Ask(0, request);
    while (driver.StreamOf(handle).size() < 6U * parts_before_stop) {
      driver.Run(kMillisecond / 4);
    }
    driver.KillSidecar(driver.runs()[0].node);
    driver.Run(kSecond);
    const auto answer = OnlyAnswer(driver, handle);
    EXPECT_EQ(driver.RunsOf("\"b\""), 1) << parts_before_stop;
    EXPECT_EQ(answer.verdict == Verdict::kAnswered,
              driver.StreamOf(handle) == kCompleteAnswer &&
                  answer.body == kCompleteAnswer);
    EXPECT_NE(answer.verdict, Verdict::kNotRun);
  }
}

// After the interruption the other replica gives a different answer, which
// cannot continue the caller's stream: it ends with an error instead of an
// answer made of two parts that do not match.
TEST(PipelineTest, StreamThatDivergesAfterACutEndsWithAnError) {
  CoreDriver driver(TwoGenerators());
  const auto handle = driver.Ask(0, StreamRequest(R"("c")"));
  while (driver.StreamOf(handle).empty()) {
    driver.Run(kMillisecond / 4);
  }
  const NodeId first = driver.runs()[0].node;
  driver.network = [&](const NodeId& from, const NodeId&, const Message& it) {
    return from == first && std::holds_alternative<StageChunk>(it)
               ? Fate{}
               : Fate{{1500}};
  };
  driver.KillSidecar(first);
  driver.stream_parts = 0;  // The second replica's answer differs.
  driver.Run(kSecond);
  const auto answer = OnlyAnswer(driver, handle);
  EXPECT_EQ(answer.verdict, Verdict::kMayHaveRun);
  // The stream contains only parts of the first replica's answer, including
  // those that were in flight.
  EXPECT_TRUE(
      std::string_view(kCompleteAnswer).starts_with(driver.StreamOf(handle)));
  EXPECT_GE(driver.entry_metrics(0).Value("acaciachute_streams_diverged_total"),
            1);
}

// One chunk of a streamed answer is lost, whichever it is. The caller receives
// no end marker; at its deadline the answer is reported as incomplete.
TEST(PipelineTest, LostChunkNeverMakesAWholeAnswer) {
  for (std::uint32_t lost = 0; lost <= 3; ++lost) {
    CoreDriver driver(TwoGenerators());
    driver.network = [lost](const NodeId&, const NodeId&, const Message& it) {
      const auto* chunk = std::get_if<StageChunk>(&it);
      return chunk != nullptr && chunk->sequence == lost ? Fate{}
                                                         : Fate{{1500}};
    };
    const auto handle = driver.Ask(0, StreamRequest(R"("d")"));
    driver.Run(6 * kSecond);
    EXPECT_EQ(OnlyAnswer(driver, handle).verdict, Verdict::kMayHaveRun);
    EXPECT_TRUE(
        std::string_view(kCompleteAnswer).starts_with(driver.StreamOf(handle)));
  }
}

// A sidecar restarts and its successor answers under an old attempt's key, and
// an answer of another request arrives under this one's attempt numbers.
// Neither belongs to the attempt in progress, and both are dropped and counted.
TEST(PipelineTest, ResultsOfOtherAttemptsAreDropped) {
  CoreDriver driver(TwoGenerators());
  StageChunk last_chunk;
  driver.network = [&](const NodeId&, const NodeId&, const Message& it) {
    if (const auto* chunk = std::get_if<StageChunk>(&it)) {
      last_chunk = *chunk;
    }
    return Fate{{1500}};
  };
  driver.Ask(0, CoreDriver::MakeRequest(R"("old")"));
  driver.Run(kSecond);
  const auto handle = driver.Ask(0, CoreDriver::MakeRequest(R"("new")"));
  driver.Run(6 * kMillisecond);
  const UpstreamRun run = driver.runs().back();
  // Complete and marked as last, but the answer to "old".
  StageChunk foreign_chunk = last_chunk;
  driver.entry(0).OnMessage(driver.now(), run.node, foreign_chunk);
  // The right key, but from a previous incarnation of the sidecar.
  foreign_chunk.key = run.key;
  foreign_chunk.sidecar = last_chunk.sidecar + 1;
  driver.entry(0).OnMessage(driver.now(), run.node, foreign_chunk);
  foreign_chunk.key.attempt += 1;
  driver.entry(0).OnMessage(driver.now(), run.node, foreign_chunk);
  EXPECT_TRUE(driver.AnswersTo(handle).empty());
  driver.Run(kSecond);
  EXPECT_TRUE(Contains(OnlyAnswer(driver, handle).body, "new"));
  EXPECT_EQ(driver.entry_metrics(0).Value("acaciachute_stale_results_total"),
            3);
}

// Chunks arrive in any order, duplicated and late. The caller receives each
// part once and in order.
TEST(PipelineTest, ChunksInAnyOrderMakeOneAnswer) {
  EXPECT_EQ(CounterExample(
                21, 200,
                [] {
                  const auto delays = *rc::gen::container<std::vector<int>>(
                      12, rc::gen::inRange(0, 40));
                  CoreDriver driver(TwoGenerators());
                  driver.network = [&, n = std::size_t{0}](
                                       const NodeId&, const NodeId&,
                                       const Message& it) mutable {
                    if (!std::holds_alternative<StageChunk>(it)) {
                      return Fate{{1500}};
                    }
                    const auto first = delays[n++ % delays.size()];
                    const auto second = delays[n++ % delays.size()];
                    return Fate{{first * kMillisecond, second * kMillisecond}};
                  };
                  const auto handle = driver.Ask(0, StreamRequest(R"("e")"));
                  driver.Run(kSecond);
                  RC_ASSERT(driver.AnswersTo(handle).size() == 1U);
                  RC_ASSERT(driver.AnswersTo(handle)[0].answer.body ==
                            kCompleteAnswer);
                  RC_ASSERT(driver.StreamOf(handle) == kCompleteAnswer);
                }),
            "");
}

// The pool's definition changes between two stages: its replicas are now those
// of another pool. The request in progress keeps the settings it was admitted
// under; otherwise its second stage would run at the wrong upstream.
TEST(PipelineTest, RequestKeepsItsPoolsThroughAllStages) {
  DriverOptions options;
  options.pools = {{"encoders", StageKind::kEncode, 1},
                   {"generators", StageKind::kGenerate, 1}};
  CoreDriver driver(options);
  const auto handle = driver.Ask(0, CoreDriver::MakeRequest(R"("s")"));
  driver.Run(3 * kMillisecond);
  std::string json = driver.settings()->FindBranch("platform")->json;
  const auto swap = [&json](std::string_view from, std::string_view to) {
    for (auto at = json.find(from); at != std::string::npos;
         at = json.find(from, at + to.size())) {
      json.replace(at, from.size(), to);
    }
  };
  swap("encoders-1", "other");
  swap("generators-1", "encoders-1");
  swap("other", "generators-1");
  driver.SetSettings(
      driver.settings()->With(*ParseBranch("platform", 2, json)));
  driver.Run(kSecond);
  EXPECT_EQ(OnlyAnswer(driver, handle).verdict, Verdict::kAnswered);
  ASSERT_EQ(driver.runs().size(), 2);
  EXPECT_EQ(driver.runs()[0].node, "encoders-1");
  EXPECT_EQ(driver.runs()[1].node, "generators-1");
}

// The caller disconnects while an attempt is in progress: the attempt is
// cancelled through to the upstream, so that no work continues without a
// caller.
TEST(PipelineTest, DisconnectCancelsThroughToTheUpstream) {
  CoreDriver driver(TwoGenerators());
  driver.service_time = [](const NodeId&, const StageCall&) { return kSecond; };
  const auto handle = driver.Ask(0, CoreDriver::MakeRequest(R"("h")"));
  driver.Run(10 * kMillisecond);
  ASSERT_EQ(driver.runs().size(), 1);
  driver.HangUp(0, handle);
  driver.Run(10 * kMillisecond);
  EXPECT_EQ(driver.entry(0).InProgress(), 0);
  EXPECT_EQ(driver.sidecar(driver.runs()[0].node).InProgress(), 0);
  EXPECT_TRUE(driver.AnswersTo(handle).empty());
}

}  // namespace
}  // namespace acaciachute
