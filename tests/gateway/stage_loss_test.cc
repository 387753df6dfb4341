// Tests what is made again when results of stages are lost: as little as is
// known to be needed, so that a lost replica or a burst in which results expire
// costs few second sends.
#include <gtest/gtest.h>

#include "coordination/stages/stage_progress.h"
#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

using Stages = std::vector<std::uint32_t>;

// Stage 0 feeds 1, which feeds 2; stage 3 runs beside them.
StageProgress Chain() {
  const std::vector<StageSpec> stages = {
      {"a", {}, 8}, {"b", {0}, 8}, {"c", {1}, 8}, {"d", {}, 8}};
  return {stages, {1, 2, 2, 1}, {1, 1, 1, 3}};
}

// Makes all pieces of the stage.
void Make(StageProgress* progress, std::uint32_t stage) {
  for (const std::uint32_t n : progress->Missing(stage)) {
    progress->OnMade(stage, n, std::to_string(stage) + "." + std::to_string(n));
  }
}

StageProgress::IsLostFn Only(const std::string& lost) {
  return [lost](const std::string& handle) { return handle == lost; };
}

TEST(StageLossTest, KeepsWhatIsNotLost) {
  StageProgress progress = Chain();
  EXPECT_EQ(progress.TakeReady(), (Stages{0, 3}));
  Make(&progress, 0);
  EXPECT_EQ(progress.TakeReady(), Stages{1});
  Make(&progress, 1);
  EXPECT_EQ(progress.TakeReady(), Stages{2});
  // The input of stage 1 was not released, so only one piece is made again.
  EXPECT_EQ(progress.LoseInputsOf(2, Only("1.1")), (Stages{1, 2}));
  EXPECT_EQ(progress.Missing(0), Stages{});
  EXPECT_EQ(progress.Missing(1), Stages{1});
  EXPECT_EQ(progress.TakeReady(), Stages{1});
  Make(&progress, 1);
  EXPECT_EQ(progress.TakeReady(), Stages{2});
}

// The results that a lost one was made from may have been released by then.
TEST(StageLossTest, MakesReleasedInputsAgain) {
  StageProgress progress = Chain();
  progress.TakeReady();
  Make(&progress, 0);
  progress.TakeReady();
  Make(&progress, 1);
  EXPECT_EQ(progress.TakeUnneeded(), std::vector<std::string>{"0.0"});
  progress.TakeReady();
  EXPECT_EQ(progress.LoseInputsOf(2, Only("1.0")), (Stages{0, 1, 2}));
  EXPECT_EQ(progress.Missing(0), Stages{0});
  EXPECT_EQ(progress.Missing(1), Stages{0});
  EXPECT_EQ(progress.TakeReady(), Stages{0});
  Make(&progress, 0);
  EXPECT_EQ(progress.TakeReady(), Stages{1});
  Make(&progress, 1);
  // Released a second time, once it is needed no longer.
  EXPECT_EQ(progress.TakeUnneeded(), std::vector<std::string>{"0.0"});
}

TEST(StageLossTest, LosesAllInputsIfNoneIsKnownToBeLost) {
  StageProgress progress = Chain();
  progress.TakeReady();
  Make(&progress, 0);
  progress.TakeReady();
  Make(&progress, 1);
  progress.TakeReady();
  EXPECT_EQ(progress.LoseInputsOf(2, Only("none")), (Stages{1, 2}));
  EXPECT_EQ(progress.Missing(1), (Stages{0, 1}));
}

// A stage that runs beside the chain goes on, and pieces of the interrupted
// stage that were made are kept.
TEST(StageLossTest, LeavesOtherStagesAlone) {
  StageProgress progress = Chain();
  progress.TakeReady();
  Make(&progress, 0);
  progress.TakeReady();
  Make(&progress, 1);
  progress.TakeReady();
  progress.OnMade(2, 0, "2.0");
  EXPECT_EQ(progress.LoseInputsOf(2, Only("1.0")), (Stages{1, 2}));
  EXPECT_EQ(progress.Missing(2), Stages{1});
  EXPECT_EQ(progress.Missing(3), Stages{0});
  EXPECT_EQ(progress.TakeReady(), Stages{1});
}

TEST(StageLossTest, LosesFinalResults) {
  StageProgress progress = Chain();
  progress.TakeReady();
  Make(&progress, 0);
  progress.TakeReady();
  Make(&progress, 1);
  progress.TakeReady();
  Make(&progress, 2);
  Make(&progress, 3);
  ASSERT_TRUE(progress.Complete());
  EXPECT_EQ(progress.LoseFinalResults(Only("3.0")), Stages{3});
  EXPECT_EQ(progress.FinalResults(),
            (std::vector<std::string>{"2.0", "2.1", ""}));
  EXPECT_EQ(progress.TakeReady(), Stages{3});
  Make(&progress, 3);
  EXPECT_TRUE(progress.Complete());
}

// Guards against requests that end because the retry budget cannot pay for all
// stages when a single result is lost.
TEST(StageLossTest, PaysOnlyForTheLostPiece) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.AddReplica("maker-1", "maker");
  const ReplicaEntry* alive = rig.directory.Find({"maker-1"});
  ASSERT_NE(alive, nullptr);
  const std::string kept = alive->address.ip + ":80/kept";
  rig.Call("staged", "k1", {1, 2});
  rig.Made(rig.tasks.at(0), "10.9.9.9:80/source");
  rig.Made(rig.tasks.at(1), kept);
  rig.Made(rig.tasks.at(2), "10.9.9.9:80/lost");
  ASSERT_EQ(rig.sent.size(), 1U);
  rig.AnswerWith(rig.sent[0].call, GatewayRig::NotRun(409));
  const auto paid = [&](std::string_view kind) {
    return rig.metrics.Value("acaciachute_gateway_second_sends_total", kind);
  };
  // The lost piece and the released one that it is made from.
  EXPECT_EQ(paid("maker stages_again paid"), 2U);
  ASSERT_EQ(rig.tasks.size(), 4U);
  rig.Made(rig.tasks[3], "10.9.9.9:80/source");
  ASSERT_EQ(rig.tasks.size(), 5U);
  EXPECT_EQ(rig.tasks[4].key.piece, 1U);
  EXPECT_EQ(rig.tasks[4].sole_users, 1U);
  rig.Made(rig.tasks[4], kept + "2");
  ASSERT_EQ(rig.sent.size(), 2U);
  EXPECT_EQ(rig.sent[1].inputs, (std::vector<std::string>{kept, kept + "2"}));
}

}  // namespace
}  // namespace acaciachute
