// Tests how the end of a replica's answer travels to its client, in virtual
// time.
#include <gtest/gtest.h>

#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

// Guards against a stream without any event that is taken for a complete one
// when its replica crashes after the head.
TEST(AnswerEndTest, AStreamClosedBeforeItsFirstEventIsLost) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("stream");
  ReplicaHead head = GatewayRig::Head();
  head.expected_end = AnswerEnd::kClosed;
  rig.AnswerWith(rig.sent[0].call, head);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kMayHaveRun);
  EXPECT_TRUE(rig.ended.empty());
}

}  // namespace
}  // namespace acaciachute
