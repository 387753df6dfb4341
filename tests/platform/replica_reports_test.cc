// Tests the question to a replica for its report, over loopback.
#include "platform/replica_reports.h"

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
  platform::ReplicaReports reports(&channels);
  std::optional<Incarnation> out;
  reports.Ask(address, [&](const std::optional<ReplicaReport>& report) {
    out = report ? std::optional(report->start) : std::nullopt;
    loop->Quit();
  });
  loop->Run();
  return out;
}

// Guards against replicas whose versions stay in doubt, because they do not
// take the question for a request or their answer is not read.
TEST(ReplicaReportsTest, ReadsTheStartOfAProcess) {
  Loop loop;
  const Replica states(&loop, R"({"born": 1764800000123, "busy": false})");
  EXPECT_EQ(Ask(&loop, states.address), 1764800000123U);
  const Replica silent(&loop, R"({"busy": false})");
  EXPECT_EQ(Ask(&loop, silent.address), 0U);
  EXPECT_EQ(Ask(&loop, FreeAddress()), std::nullopt);
}

// Guards against a replica's memory that is believed to be what no replica can
// state, and against a report that is refused as a whole for one bad value.
TEST(ReplicaReportsTest, ReadsFreeMemoryOnlyWhereItIsANumberOfBytes) {
  const auto read = [](const std::string& free_mb) {
    return platform::ReadReplicaReport(R"({"born": 7, "free_mb": )" + free_mb +
                                       "}");
  };
  EXPECT_EQ(read("9.5").free_result_bytes, 9500000U);
  EXPECT_EQ(read("0").free_result_bytes, 0U);
  for (const char* bad : {"-1", "\"4\"", "null", "[3]", "1e300", "true"}) {
    EXPECT_EQ(read(bad).free_result_bytes, std::nullopt) << bad;
    EXPECT_FALSE(read(bad).unreadable.empty()) << bad;
    EXPECT_EQ(read(bad).start, 7U) << bad;
  }
  const ReplicaReport silent = platform::ReadReplicaReport(R"({"queued": 1})");
  EXPECT_EQ(silent.free_result_bytes, std::nullopt);
  EXPECT_TRUE(silent.unreadable.empty());
  EXPECT_EQ(platform::ReadReplicaReport("no json").start, 0U);
}

}  // namespace
}  // namespace acaciachute
