// Tests the answers of an entry that cannot prove that its settings are in
// force.
#include "coordination/settings/settings_freshness.h"

#include <gtest/gtest.h>

#include <vector>

#include "coordination/interface/entry.h"

namespace acaciachute {
namespace {

class FixedSettingsFreshness : public SettingsFreshness {
 public:
  bool IsCurrent(TimeUs now) const override { return now >= current_from; }
  TimeUs current_from = 0;
};

class RecordingOutput : public EntryOutput {
 public:
  void Send(const NodeId& sidecar, const Message& message) override { ++sent; }
  void Answer(CallerHandle handle, const CallerAnswer& answer) override {
    answers.push_back(answer);
  }
  void Stream(CallerHandle handle, std::string_view part) override {}
  void CallStore(StoreTicket ticket, std::vector<StoreOp> ops) override {
    ++store_calls;
  }
  void Export(const Span& span) override {}
  std::vector<CallerAnswer> answers;
  int sent = 0;
  int store_calls = 0;
};

// The entry's settings are not known to be current when a request arrives. The
// caller is answered at once that the request was not run and when to retry; no
// claim is written, because the account or the event may have changed. Once the
// settings are current, the entry accepts the request.
TEST(SettingsFreshnessTest, RequestIsRefusedUntilTheEntryIsCurrent) {
  FixedSettingsFreshness freshness;
  freshness.current_from = 10 * kSecond;
  RecordingOutput output;
  Random random(1);
  Metrics metrics;
  EntryOptions options;
  options.node = "entry-1";
  options.incarnation = 1;
  options.freshness = &freshness;
  Entry entry(options, &output, &random, &metrics);
  auto branch = ParseBranch("b", 1, R"({"owner":"o",
      "pools":{"p":{"kind":"service"}},
      "events":{"round":{"stages":[{"pool":"p"}],"accounts":["office"]}}})");
  ASSERT_TRUE(branch.ok()) << branch.status();
  entry.OnSettings(0, Settings().With(*std::move(branch)));
  CallerRequest request;
  request.event = "round";
  request.account = "office";
  request.idempotent = false;
  request.key = "k1";
  entry.OnRequest(kSecond, request);
  ASSERT_EQ(output.answers.size(), 1U);
  EXPECT_EQ(output.answers[0].reason, Refusal::kNotCurrent);
  EXPECT_EQ(output.answers[0].verdict, Verdict::kNotRun);
  EXPECT_GT(output.answers[0].retry_after, 0);
  EXPECT_EQ(output.store_calls, 0);
  entry.OnRequest(11 * kSecond, request);
  entry.OnTick(11 * kSecond + 100 * kMillisecond);
  EXPECT_EQ(output.store_calls, 1);
}

}  // namespace
}  // namespace acaciachute
