// Tests the question to a replica when its process started, over loopback.
#include "platform/replica_starts.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "tests/soak/loopback.h"
#include "transport/http_listener.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

// A replica whose report has this text.
struct Replica : ListenerHandler {
  Replica(Loop* loop, std::string report_in)
      : report(std::move(report_in)), listener(this, loop) {
    EXPECT_TRUE(listener.Listen(address).ok());
  }
  void OnRequest(ExchangeId id, HttpRequestHead head, std::string) override {
    EXPECT_EQ(head.target, "/report");
    EXPECT_EQ(FindField(head.fields, "Attempt-Id"), nullptr);
    const std::string* expected = FindField(head.fields, "Expect-Replica");
    ASSERT_NE(expected, nullptr);
    EXPECT_EQ(*expected, "m0");
    listener.Reply(id, 200, {}, report);
  }
  void OnClientDisconnected(ExchangeId) override {}
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

  const Address address = FreeAddress();
  const std::string report;
  HttpListener listener;
};

std::optional<Incarnation> Ask(Loop* loop, const Address& address) {
  HttpChannels channels(loop);
  platform::ReplicaStarts starts(&channels);
  std::optional<Incarnation> out;
  starts.Ask({"m0", 1}, address, [&](const platform::StartAnswer& answer) {
    out = answer.start;
    loop->Quit();
  });
  loop->Run();
  return out;
}

// Guards against replicas whose versions stay in doubt, because they do not
// take the question for a request or their answer is not read.
TEST(ReplicaStartsTest, ReadsTheStartOfAProcess) {
  Loop loop;
  const Replica states(&loop, R"({"born": 1764800000123, "busy": false})");
  EXPECT_EQ(Ask(&loop, states.address), 1764800000123U);
  const Replica silent(&loop, R"({"busy": false})");
  EXPECT_EQ(Ask(&loop, silent.address), 0U);
  EXPECT_EQ(Ask(&loop, FreeAddress()), std::nullopt);
}

}  // namespace
}  // namespace acaciachute
