// Process tests of non-idempotent requests while entries, sidecars and links
// fail. The tests judge by the run logs of the stand-in upstreams.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "tests/process/harness.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kEntries = 3;
// Service time of the upstreams, long enough that a fault injected when a run
// is first seen takes effect while the run is in progress.
constexpr int kServiceMs = 250;
// Delay of the platform's store, long enough to see a request in progress
// before its write takes effect.
constexpr int kStoreDelayMs = 200;
constexpr int kDeadlineMs = 2500;
// Deadline of copies that are sent while a fault lasts, and of a first copy
// whose sidecar does not answer before the deadline.
constexpr int kShortDeadlineMs = 1200;
// Deadline of the copies that are sent after the repair; they are answered from
// the row of the claim.
constexpr int kFinalDeadlineMs = 400;
// Conditions hold far earlier; the timeout only ends a test that hangs.
constexpr DurationUs kWaitTimeout = 30 * kSecond;

// Progress of the first copy at the time of the fault. At kAfterHandOver an
// upstream runs the request.
enum class FaultPoint {
  kBeforeClaim,
  kAfterClaim,
  kAfterHandOver,
  kAfterAnswer
};
constexpr std::array<std::string_view, 4> kPointNames = {
    "before_claim", "after_claim", "after_hand_over", "after_answer"};

// One copy of a request, with the trace id that its runs carry.
struct Copy {
  std::string trace;
  StartedCallPtr call;
  Json Problem() const {
    return Json::parse(call->result.body, nullptr, false);
  }
  std::string Verdict() const {
    if (call->result.status == 200) {
      return "answered";
    }
    const Json in = Problem();
    return in.is_object() ? in.value("verdict", "") : "no answer";
  }
};

class AtMostOnceTest : public testing::Test {
 protected:
  AtMostOnceTest()
      : deployment_(ACACIACHUTE_BIN_DIR,
                    {{"orders", "service", 2, kServiceMs}},
                    kEntries,
                    true) {}

  void SetUp() override { ASSERT_TRUE(deployment_.WaitReady()); }

  // After all faults no request is in progress in any process, and no
  // idempotency key has run twice.
  void TearDown() override {
    ASSERT_TRUE(WaitIdle());
    for (const auto& order : orders_) {
      EXPECT_LE(RunsOf(order).size(), 1U) << order;
    }
    CheckNotRun();
  }

  Copy Send(int entry,
            const std::string& order,
            int deadline_ms = kDeadlineMs) {
    Copy copy;
    copy.trace =
        StrCat("00-", std::string(24, 'a'), 10'000'000 + copies_.size());
    auto request =
        deployment_.EventRequest(entry, Json{{"order", order}}.dump());
    request.headers.emplace_back("Idempotency-Key", order);
    request.headers.emplace_back("Acaciachute-Idempotent", "false");
    request.headers.emplace_back("Acaciachute-Deadline-Ms",
                                 StrCat(deadline_ms));
    request.headers.emplace_back("traceparent",
                                 StrCat(copy.trace, "-00f067aa0ba902b7-01"));
    copy.call = deployment_.Start(request);
    orders_.insert(order);
    copies_.push_back(copy);
    return copy;
  }

  bool WaitAnswered(const std::vector<Copy>& copies) {
    std::vector<StartedCallPtr> calls;
    calls.reserve(copies.size());
    for (const auto& it : copies) {
      calls.push_back(it.call);
    }
    return deployment_.WaitDone(calls, kWaitTimeout);
  }

  // Values of `traceparent` of the runs of `order`.
  std::vector<std::string> RunsOf(const std::string& order) {
    const std::string body = Json{{"order", order}}.dump();
    std::vector<std::string> runs;
    for (const auto& [unused, upstream] : deployment_.upstreams) {
      for (const auto& run : RunLog(*upstream)) {
        if (run.at("body") == body) {
          runs.push_back(run.at("traceparent"));
        }
      }
    }
    return runs;
  }

  Json RunLog(const Process& upstream) {
    return Json::parse(deployment_.Get(upstream.url() + "/runs").body);
  }

  bool WaitRun(const std::string& order) {
    return deployment_.WaitFor([&] { return !RunsOf(order).empty(); },
                               kWaitTimeout);
  }

  // State of the claim of `order`; empty when the store has no row for it.
  std::string ClaimOf(const std::string& order) {
    const Json rows = Json::parse(
        deployment_.Get(deployment_.platform->url() + "/rows").body);
    for (const auto& [key, row] : rows.items()) {
      if (key.starts_with("claim/") && key.ends_with("/" + order)) {
        return Json::parse(row.at("value").get<std::string>()).at("state");
      }
    }
    return "";
  }

  void SetPlatformFaults(const std::string& faults) {
    deployment_.InjectFaults(*deployment_.platform, faults);
  }

  void SignalSidecars(int signal) {
    for (auto& [unused, it] : deployment_.sidecars) {
      it->Signal(signal);
    }
  }

  int InProgress(const Process& process) {
    const Json in = Json::parse(deployment_.Get(process.url() + "/status").body,
                                nullptr, false);
    return in.is_object() ? in.value("in_progress", -1) : -1;
  }

  // Incarnations of the sidecars that are known to any entry.
  std::set<std::uint64_t> Incarnations() {
    std::set<std::uint64_t> out;
    for (const auto& entry : deployment_.entries) {
      const Json in =
          Json::parse(deployment_.Get(entry->url() + "/status").body);
      for (const auto& it : in.at("replicas")) {
        out.insert(it.at("incarnation").get<std::uint64_t>());
      }
    }
    return out;
  }

  bool WaitAdmitted(int entry) {
    return deployment_.WaitFor(
        [&] { return InProgress(*deployment_.entries[entry]) > 0; },
        kWaitTimeout);
  }

  // Waits until all entries know all replicas as ready and no request is queued
  // or in progress at any entry or upstream.
  bool WaitIdle() {
    return deployment_.WaitReady() &&
           deployment_.WaitFor(
               [&] {
                 for (const auto& entry : deployment_.entries) {
                   if (InProgress(*entry) != 0) {
                     return false;
                   }
                 }
                 for (const auto& [unused, it] : deployment_.upstreams) {
                   const Json load = Json::parse(
                       deployment_.Get(it->url() + "/v1/load").body);
                   if (load.at("in_progress") != 0 || load.at("queued") != 0) {
                     return false;
                   }
                 }
                 return true;
               },
               kWaitTimeout);
  }

  // Checks that no copy that was answered with "not_run" has a run under its
  // trace id.
  void CheckNotRun() {
    std::set<std::string> ran;
    for (const auto& [unused, upstream] : deployment_.upstreams) {
      for (const auto& run : RunLog(*upstream)) {
        ran.insert(run.at("traceparent").get<std::string>().substr(0, 35));
      }
    }
    for (const auto& copy : copies_) {
      if (copy.call->done && copy.Verdict() == "not_run") {
        EXPECT_FALSE(ran.contains(copy.trace)) << copy.call->result.body;
      }
    }
  }

  // Sends the first copy of an order to entry 0 and waits until it reaches
  // `point`. After the repair of an earlier fault a copy may be refused before
  // that; then a new order is sent, and `order` is set to the order that
  // reached `point`.
  Copy SendAndReach(FaultPoint point, std::string* order, int deadline_ms) {
    if (point == FaultPoint::kBeforeClaim) {
      SetPlatformFaults(StrCat(R"({"delay_ms":)", kStoreDelayMs, "}"));
      Copy first = Send(0, *order, deadline_ms);
      EXPECT_TRUE(WaitAdmitted(0));
      EXPECT_EQ(ClaimOf(*order), "");
      return first;
    }
    if (point == FaultPoint::kAfterClaim) {
      // The frozen links hold back the stage call, so the claim is written but
      // nothing runs.
      for (auto& [unused, it] : deployment_.sidecar_links) {
        it->Freeze();
      }
    }
    const std::string name = *order;
    Copy first = Send(0, *order, deadline_ms);
    const TimeUs end = Loop::Now() + kWaitTimeout;
    for (int n = 2; !WaitReached(point, *order, first); ++n) {
      if (Loop::Now() > end) {
        ADD_FAILURE() << "the point was not reached";
        return first;
      }
      EXPECT_TRUE(WaitSidecarsReady());
      *order = StrCat(name, "-", n);
      first = Send(0, *order, deadline_ms);
    }
    if (point == FaultPoint::kAfterClaim) {
      EXPECT_EQ(RunsOf(*order).size(), 0U);
    }
    if (point == FaultPoint::kAfterAnswer) {
      // The delay keeps the write of the outcome in progress when the fault is
      // injected.
      SetPlatformFaults(StrCat(R"({"delay_ms":)", kStoreDelayMs, "}"));
      EXPECT_TRUE(WaitAnswered({first}));
      EXPECT_EQ(first.Verdict(), "answered");
    }
    return first;
  }

  // Waits until every sidecar is ready, that is, has a load report from its
  // upstream.
  bool WaitSidecarsReady() {
    return deployment_.WaitFor(
        [this] {
          return std::all_of(
              deployment_.sidecars.begin(), deployment_.sidecars.end(),
              [this](auto& it) {
                return deployment_.Get(it.second->url() + "/readyz").status ==
                       200;
              });
        },
        kWaitTimeout);
  }

  // Waits for the claim or the run of `order`; false when `first` ended before.
  bool WaitReached(FaultPoint point,
                   const std::string& order,
                   const Copy& first) {
    bool reached = false;
    EXPECT_TRUE(deployment_.WaitFor(
        [&] {
          const bool ended = first.call->done;
          reached = point == FaultPoint::kAfterClaim
                        ? ClaimOf(order) == "claimed"
                        : !RunsOf(order).empty();
          return reached || ended;
        },
        kWaitTimeout));
    return reached;
  }

  void Restore() {
    SetPlatformFaults(R"({"delay_ms":0,"down":false,"lose_answers":0})");
    for (auto& [unused, it] : deployment_.sidecar_links) {
      it->Restore();
    }
    for (auto& [unused, it] : deployment_.upstream_links) {
      it->Restore();
    }
    deployment_.platform_link->Restore();
  }

  // Injects one fault at each point. The first copy is at entry 0 when `fault`
  // is called; during the fault the caller resends to the two other entries at
  // the same time, and after `repair` to all three. With `past_deadline` the
  // fault lasts until the first copy has been answered without its sidecar.
  void InjectAtEachPoint(const std::string& name,
                         const std::function<void()>& fault,
                         const std::function<void()>& repair,
                         bool past_deadline = false) {
    for (std::size_t n = 0; n < kPointNames.size(); ++n) {
      const auto point = static_cast<FaultPoint>(n);
      std::string order = StrCat(name, "-", kPointNames[n]);
      SCOPED_TRACE(order);
      const bool outlasts_deadline =
          past_deadline && (point == FaultPoint::kAfterClaim ||
                            point == FaultPoint::kAfterHandOver);
      // A sidecar that has lost its upstream refuses calls until it is
      // connected to the upstream again.
      ASSERT_TRUE(deployment_.WaitReady());
      const Copy first = SendAndReach(
          point, &order, outlasts_deadline ? kShortDeadlineMs : kDeadlineMs);
      fault();
      const Copy second = Send(1, order, kShortDeadlineMs);
      const Copy third = Send(2, order, kShortDeadlineMs);
      EXPECT_TRUE(WaitAnswered({second, third}));
      if (outlasts_deadline) {
        EXPECT_TRUE(WaitAnswered({first}));
        EXPECT_EQ(first.Verdict(), "may_have_run");
      }
      repair();
      Restore();
      EXPECT_TRUE(WaitAnswered({first}));
      ASSERT_TRUE(WaitIdle());
      std::vector<Copy> last;
      last.reserve(kEntries);
      for (int entry = 0; entry < kEntries; ++entry) {
        last.push_back(Send(entry, order, kFinalDeadlineMs));
      }
      EXPECT_TRUE(WaitAnswered(last));
      const auto runs = RunsOf(order).size();
      EXPECT_LE(runs, 1U);
      if (point >= FaultPoint::kAfterHandOver) {
        EXPECT_EQ(runs, 1U) << "the point was not reached";
      }
      std::cout << order << ": runs " << runs << ", verdicts "
                << first.Verdict() << ", " << second.Verdict() << ", "
                << third.Verdict() << ", then";
      for (const auto& it : last) {
        std::cout << " " << it.Verdict();
      }
      std::cout << "\n";
    }
  }

  Deployment deployment_;
  std::set<std::string> orders_;
  std::vector<Copy> copies_;
};

// Entry 0 is killed with a request in progress. The caller's connection breaks
// and the caller resends to other entries, which may or may not find the claim
// of the killed entry. A claim is never taken over, so no entry runs the
// request again.
TEST_F(AtMostOnceTest, EntryKilled) {
  InjectAtEachPoint(
      "entry-killed",
      [this] {
        deployment_.entries[0]->Signal(SIGKILL);
        deployment_.entries[0]->Wait();
      },
      [this] { deployment_.StartEntry(0); });
}

// Entry 0 is stopped, the caller resends to the other entries, and entry 0
// resumes and continues the request. Either it holds the claim or its insert of
// the claim fails; it never runs the request in addition to another entry.
TEST_F(AtMostOnceTest, EntryFrozen) {
  InjectAtEachPoint(
      "entry-frozen", [this] { deployment_.entries[0]->Signal(SIGSTOP); },
      [this] { deployment_.entries[0]->Signal(SIGCONT); });
}

// Entry 0 loses its connection to the platform during the write of the claim or
// of the outcome. It does not know whether the write took effect and repeats it
// under the same nonce.
TEST_F(AtMostOnceTest, EntryCutFromThePlatform) {
  InjectAtEachPoint(
      "platform-cut", [this] { deployment_.platform_link->Cut(); }, [] {});
}

// All sidecars are killed during a stage call. The entry's connections break,
// and the entry must not retry at another replica, because the call may have
// run.
TEST_F(AtMostOnceTest, SidecarsKilled) {
  std::set<std::uint64_t> before;
  InjectAtEachPoint(
      "sidecars-killed",
      [this, &before] {
        before = Incarnations();
        SignalSidecars(SIGKILL);
        for (auto& [unused, it] : deployment_.sidecars) {
          it->Wait();
        }
      },
      [this, &before] {
        for (const auto& [node, unused] : deployment_.upstreams) {
          deployment_.StartSidecar(node);
        }
        Restore();
        EXPECT_TRUE(deployment_.WaitFor(
            [&] {
              const auto now = Incarnations();
              return std::none_of(now.begin(), now.end(),
                                  [&](auto it) { return before.contains(it); });
            },
            kWaitTimeout));
      });
}

// All sidecars are stopped with the stage call unread or running, and resume
// after its deadline. The caller has been answered by then; a resumed sidecar
// does not start a call that was answered with "not_run".
TEST_F(AtMostOnceTest, SidecarsFrozen) {
  InjectAtEachPoint(
      "sidecars-frozen", [this] { SignalSidecars(SIGSTOP); },
      [this] { SignalSidecars(SIGCONT); }, true);
}

// The connections between entries and sidecars break while both sides keep
// running, and each side decides alone how the call ends.
TEST_F(AtMostOnceTest, SidecarsCutFromEntries) {
  InjectAtEachPoint(
      "sidecars-cut",
      [this] {
        for (auto& [unused, it] : deployment_.sidecar_links) {
          it->Cut();
        }
      },
      [] {});
}

// The links between entries and sidecars hold back all bytes without closing
// connections, and deliver them after the repair.
TEST_F(AtMostOnceTest, SidecarLinksSilent) {
  InjectAtEachPoint(
      "links-silent",
      [this] {
        for (auto& [unused, it] : deployment_.sidecar_links) {
          it->Freeze();
        }
      },
      [] {}, true);
}

// The connections between sidecars and upstreams break during a run.
TEST_F(AtMostOnceTest, UpstreamsCutFromSidecars) {
  InjectAtEachPoint(
      "upstreams-cut",
      [this] {
        for (auto& [unused, it] : deployment_.upstream_links) {
          it->Cut();
        }
      },
      [] {});
}

// The write of the claim takes effect but its answer is lost, one to four
// times, while three entries receive the same key at the same time. Each entry
// compares nonces: only the entry whose nonce is in the row runs the request.
TEST_F(AtMostOnceTest, ClaimAnswersLost) {
  for (int lost = 1; lost <= 4; ++lost) {
    const std::string order = StrCat("lost-answers-", lost);
    SCOPED_TRACE(order);
    SetPlatformFaults(StrCat(R"({"lose_answers":)", lost, "}"));
    const std::vector<Copy> copies = {Send(0, order), Send(1, order),
                                      Send(2, order)};
    ASSERT_TRUE(WaitAnswered(copies));
    Restore();
    const auto runs = RunsOf(order);
    EXPECT_LE(runs.size(), 1U);
    if (lost < 3) {
      EXPECT_EQ(runs.size(), 1U)
          << "with fewer than three lost answers the claim holder still runs";
    }
    ASSERT_TRUE(WaitIdle());
  }
}

// The platform is down before the claim, then during the run and after the
// answer. No request runs without a claim. A run in progress is still answered,
// and its key does not run again although the outcome could not be written.
TEST_F(AtMostOnceTest, PlatformDown) {
  SetPlatformFaults(R"({"down":true})");
  const std::vector<Copy> refused = {Send(0, "down-before"),
                                     Send(1, "down-before")};
  ASSERT_TRUE(WaitAnswered(refused));
  for (const auto& it : refused) {
    EXPECT_EQ(it.Verdict(), "not_run") << it.call->result.body;
  }
  EXPECT_EQ(RunsOf("down-before").size(), 0U);
  Restore();
  const Copy again = Send(2, "down-before");
  ASSERT_TRUE(WaitAnswered({again}));
  EXPECT_EQ(again.Verdict(), "answered");

  const Copy during = Send(0, "down-during");
  ASSERT_TRUE(WaitRun("down-during"));
  SetPlatformFaults(R"({"down":true})");
  const Copy resent = Send(1, "down-during");
  ASSERT_TRUE(WaitAnswered({during, resent}));
  EXPECT_EQ(during.Verdict(), "answered") << during.call->result.body;
  Restore();
  const Copy last = Send(2, "down-during");
  ASSERT_TRUE(WaitAnswered({last}));
  EXPECT_EQ(RunsOf("down-during").size(), 1U);
  EXPECT_NE(last.Verdict(), "not_run");
}

// Shows that the tests above can fail: with a table that accepts every insert,
// which disables the claim, two copies of one order run twice.
TEST(AtMostOnceProofTest, FailsWhenEveryInsertHolds) {
  Deployment deployment(ACACIACHUTE_BIN_DIR,
                        {{"orders", "service", 2, kServiceMs}}, 2);
  ASSERT_TRUE(deployment.WaitReady());
  deployment.InjectFaults(*deployment.platform, R"({"skip_conditions":true})");
  std::vector<StartedCallPtr> calls;
  for (int entry = 0; entry < 2; ++entry) {
    auto request = deployment.EventRequest(entry, R"({"order":"unguarded"})");
    request.headers.emplace_back("Idempotency-Key", "unguarded");
    request.headers.emplace_back("Acaciachute-Idempotent", "false");
    calls.push_back(deployment.Start(request));
  }
  ASSERT_TRUE(deployment.WaitDone(calls, kWaitTimeout));
  EXPECT_EQ(deployment.RunsOf("unguarded"), 2);
}

}  // namespace
}  // namespace acaciachute
