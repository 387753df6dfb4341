// A real entry and a real sidecar before clients that do not behave, as in
// gateway_crowd_test.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/crowd/crowd.h"
#include "tests/process/harness.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr int kHttpOk = 200;
// A front machine.
constexpr std::uint64_t kMemoryBytes = 260'000'000;
constexpr std::size_t kMaxDescriptors = 4100;
constexpr std::size_t kEntryBody = 1 << 20;
constexpr std::size_t kSidecarBody = 16 << 20;
constexpr DurationUs kPlayTime = 4 * kSecond;

std::string Repeated(std::string_view text, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes) {
    out += text;
  }
  return out;
}

std::string HeadOf(std::string_view target, std::string_view fields) {
  return StrCat("POST ", target, " HTTP/1.1\r\nHost: h\r\n", fields, "\r\n");
}

std::vector<CrowdPlan> CrowdsFor(std::string_view target, std::size_t body) {
  const std::string chunked = HeadOf(target, "Transfer-Encoding: chunked\r\n");
  const std::string text = Repeated("x", 64 << 10);
  const std::string fields = Repeated("Name: value\r\n", 64 << 10);
  const std::string stated =
      HeadOf(target, StrCat("Content-Length: ", body, "\r\n"));
  const std::string page = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::size_t bodies = (512 << 20) / body;
  return {
      {"BodiesShortOfOneByte", bodies, stated + std::string(body - 1, 'b'), ""},
      {"BodiesThenReset", bodies, stated + std::string(body - 1, 'b'), "", 0,
       true, true},
      {"ChunkExtensionsWithoutEnd", 20, chunked + "1;", text},
      {"TrailerFieldsWithoutEnd", 20, chunked + "1\r\nx\r\n0\r\nName: ", text},
      {"TrailersWithoutEnd", 20, chunked + "1\r\nx\r\n0\r\n", fields},
      {"HeadsWithoutEnd", 800, HeadOf(target, "Name: ") + Repeated("h", 15000),
       ""},
      {"ManyRequestsAtOnceUnread", 100, Repeated(page, 3 << 20), "", 0, false},
      {"ConnectionsThatSendNothing", 4500, "", ""},
  };
}

// What is common to both: one replica behind one entry.
class InterfaceCrowd : public ::testing::TestWithParam<CrowdPlan> {
 protected:
  // Lets the crowd play at `process`, then expects that it lives, stayed within
  // its machine, and that a request of an event is answered.
  void Play(const Process& process) {
    ASSERT_TRUE(deployment_.WaitReady());
    const ProcessWatch watch(&loop_, process.pid(), {process.http_port()});
    Crowd crowd(&loop_, {"127.0.0.1", process.http_port()}, GetParam());
    deployment_.WaitFor([&] { return !process.Running(); }, kPlayTime);
    crowd.Rest();
    EXPECT_TRUE(process.Running());
    EXPECT_EQ(deployment_.Get(process.url() + "/healthz").status, kHttpOk);
    const auto request = deployment_.EventRequest(0, R"({"order":"good"})");
    EXPECT_EQ(deployment_.Call(request).status, kHttpOk);
    EXPECT_LT(watch.peak_bytes(), kMemoryBytes);
    EXPECT_LT(watch.peak_descriptors(), kMaxDescriptors);
    RecordProperty("peak_bytes", static_cast<int>(watch.peak_bytes()));
  }

  Loop loop_;
  Deployment deployment_{ACACIACHUTE_BIN_DIR, {{"orders", "service"}}, 1};
};

class EntryCrowdTest : public InterfaceCrowd {};
class SidecarCrowdTest : public InterfaceCrowd {};

// Guards against callers that make an entry hold more than its machine has, or
// that keep others from being answered.
TEST_P(EntryCrowdTest, StaysWithinItsMachineAndServesOn) {
  Play(*deployment_.entries[0]);
}
INSTANTIATE_TEST_SUITE_P(
    Clients,
    EntryCrowdTest,
    ::testing::ValuesIn(CrowdsFor("/v1/events/round/requests", kEntryBody)),
    [](const auto& it) { return it.param.name; });

// Guards against the same at the pages of a sidecar.
TEST_P(SidecarCrowdTest, StaysWithinItsMachineAndServesOn) {
  Play(*deployment_.sidecars.begin()->second);
}
INSTANTIATE_TEST_SUITE_P(Clients,
                         SidecarCrowdTest,
                         ::testing::ValuesIn(CrowdsFor("/quarantine/lift",
                                                       kSidecarBody)),
                         [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace acaciachute
