// Tests of the admission of streams that clients take up again under load.
#include <gtest/gtest.h>

#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

// A route with stages whose streams may be taken up.
struct StagedStreams : GatewayRig {
  StagedStreams() {
    auto config = Config(2);
    Route route = *config->FindRoute("h.example", "/staged/x");
    route.name = "staged-resume";
    route.prefix = "/staged-resume/";
    route.resumable = true;
    config->AddRoute(route);
    core.OnConfig(config);
    core.OnConfirmed(now);
    AddReplica("e1", "engine");
    core.OnStreamOrigins({{{"began", "acme", "engine", "", 0}}});
  }
  // The client has used this part of its deadline.
  ExchangeId TakeUp(DurationUs elapsed) {
    ClientRequest call;
    call.pieces = {1, 2};
    call.resume_after = 3;
    call.resumed_attempt = "began";
    return Send("staged-resume", "k1", std::move(call), elapsed);
  }
  ExchangeId Begin(DurationUs elapsed) {
    ClientRequest call;
    call.pieces = {1, 2};
    return Send("staged-resume", "k1", std::move(call), elapsed);
  }
  // Waits at the stages, for work in time and for late work.
  void SetWaits(DurationUs in_time, DurationUs late) {
    wait.in_time.fill(in_time);
    wait.late = late;
  }
};

// Guards against a stream that is refused in a burst although its client holds
// a part of it: it counted as new, and as late since its first attempt.
TEST(TakeUpAdmissionTest, AStreamThatIsTakenUpIsNoNewRequest) {
  StagedStreams rig;
  rig.Begin(0);
  ASSERT_EQ(rig.tasks.size(), 1U);
  rig.tasks.clear();
  rig.SetWaits(kSecond, 30 * kSecond);
  EXPECT_TRUE(rig.refused.contains(rig.Begin(5 * kSecond)));
  const ExchangeId id = rig.TakeUp(5 * kSecond);
  EXPECT_FALSE(rig.refused.contains(id));
  ASSERT_EQ(rig.tasks.size(), 1U);
  // Its pieces are not queued behind those of late requests.
  EXPECT_GT(rig.tasks[0].time_to_begin, 0);
}

// Guards against a client that waits for what certainly comes too late.
TEST(TakeUpAdmissionTest, WhatCannotGoOnInTimeIsRefusedAtOnce) {
  StagedStreams rig;
  rig.Begin(0);
  rig.SetWaits(4 * kSecond, 30 * kSecond);
  const ExchangeId id = rig.TakeUp(7 * kSecond);
  ASSERT_TRUE(rig.refused.contains(id));
  EXPECT_EQ(rig.refused[id].reason, Refusal::kFull);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kNotRun);
}

}  // namespace
}  // namespace acaciachute
