// Tests of two simultaneous failures, with the second one at every moment of
// the first.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "coordination/settings/settings_write.h"
#include "tests/core_driver.h"
#include "tests/settings_net.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr DurationUs kDeadline = 2 * kSecond;
// Maximum delay of an answer after its deadline: timer resolution and network
// delay. A later answer counts as missing.
constexpr DurationUs kAnswerMargin = 50 * kMillisecond;

CallerRequest Once(const std::string& key) {
  CallerRequest request = CoreDriver::MakeOnce(key, StrCat("\"", key, "\""));
  request.deadline = kDeadline;
  return request;
}

CallerRequest Repeatable(const std::string& name) {
  CallerRequest request = CoreDriver::MakeRequest(StrCat("\"", name, "\""));
  request.deadline = kDeadline;
  return request;
}

std::string VerdictOf(const CoreDriver& driver, CallerHandle handle) {
  const auto answers = driver.AnswersTo(handle);
  if (answers.size() != 1) {
    return StrCat(answers.size(), " answers");
  }
  return std::string(Name(answers[0].answer.verdict));
}

// The platform takes 300 ms for each call, and the entry is killed at some
// moment of its request; the caller resends at once to another entry. Whatever
// had been sent before, the order runs at most once, and the second entry does
// not answer "not run" if it ran.
TEST(PairsTest, PlatformSlowAndEntryKilled) {
  std::map<std::string, int> by_verdict;
  for (DurationUs at = 0; at <= kSecond; at += 10 * kMillisecond) {
    DriverOptions options;
    options.entries = 2;
    options.store_round_trip = 300 * kMillisecond;
    options.service = 200 * kMillisecond;
    options.pools = {{"orders", StageKind::kService, 2}};
    CoreDriver driver(options);
    driver.Ask(0, Once("order-1"));
    driver.Run(at);
    driver.KillEntry(0);
    const CallerHandle resent = driver.Ask(1, Once("order-1"));
    driver.Run(kDeadline + kAnswerMargin);
    const std::string verdict = VerdictOf(driver, resent);
    ++by_verdict[verdict];
    const int runs = driver.RunsOf("order-1");
    EXPECT_LE(runs, 1) << "killed after " << at;
    if (verdict == "answered") {
      EXPECT_EQ(runs, 1) << "killed after " << at;
    } else if (verdict == "not_run") {
      EXPECT_EQ(runs, 0) << "killed after " << at;
    } else {
      EXPECT_EQ(verdict, "may_have_run") << "killed after " << at;
    }
  }
  for (const auto& [verdict, n] : by_verdict) {
    std::cout << "resent copy answered " << verdict << ": " << n << "\n";
  }
}

// One replica takes twenty times as long, and the sidecar of another is paused
// with calls in progress for longer than their deadline. Every caller receives
// one final answer by its deadline; most are answered, since a third replica is
// healthy; no order runs twice.
TEST(PairsTest, UpstreamStragglingAndSidecarPaused) {
  constexpr int kRequests = 300;
  DriverOptions options;
  options.entries = 2;
  options.service = 20 * kMillisecond;
  options.pools = {{"orders", StageKind::kService, 3}};
  CoreDriver driver(options);
  driver.service_time = [](const NodeId& node, const StageCall&) {
    return node == "orders-1" ? 400 * kMillisecond : 20 * kMillisecond;
  };
  std::vector<CallerHandle> handles;
  for (int n = 0; n < kRequests; ++n) {
    if (n == kRequests / 4) {
      driver.PauseSidecar("orders-2", true);
    }
    if (n == kRequests - 1) {
      driver.PauseSidecar("orders-2", false);
    }
    const std::string name = StrCat("r", n, "e");
    handles.push_back(
        driver.Ask(n % 2, n % 3 == 0 ? Once(name) : Repeatable(name)));
    driver.Run(10 * kMillisecond);
  }
  driver.Run(kDeadline + kAnswerMargin);
  int answered = 0;
  for (int n = 0; n < kRequests; ++n) {
    const std::string verdict = VerdictOf(driver, handles[n]);
    const int runs = driver.RunsOf(StrCat("r", n, "e"));
    answered += verdict == "answered" ? 1 : 0;
    EXPECT_FALSE(verdict.ends_with("answers")) << "request " << n;
    if (n % 3 == 0) {
      EXPECT_LE(runs, 1) << "request " << n;
    }
    if (verdict == "not_run") {
      EXPECT_EQ(runs, 0) << "request " << n;
    }
  }
  std::cout << "answered " << answered << " of " << kRequests << "\n";
  EXPECT_GT(answered, kRequests / 2);
}

// A burst fills both replicas, and one begins to leave in the middle of it,
// with calls running and waiting. No further call starts there; running calls
// are finished; waiting calls are returned and go to the other replica or are
// refused.
TEST(PairsTest, BurstAndUpstreamLeaving) {
  constexpr int kRequests = 200;
  DriverOptions options;
  options.entries = 2;
  options.service = 30 * kMillisecond;
  options.pools = {{"orders", StageKind::kService, 2}};
  CoreDriver driver(options);
  std::vector<CallerHandle> handles;
  TimeUs left_at = 0;
  for (int n = 0; n < kRequests; ++n) {
    if (n == kRequests / 2) {
      driver.sidecar("orders-1").SetState(NodeState::kLeaving);
      left_at = driver.now();
    }
    const std::string name = StrCat("r", n, "e");
    handles.push_back(
        driver.Ask(n % 2, n % 3 == 0 ? Once(name) : Repeatable(name)));
    driver.Run(kMillisecond);
  }
  driver.Run(kDeadline + kAnswerMargin);
  const auto started_late = std::count_if(
      driver.runs().begin(), driver.runs().end(), [&](const UpstreamRun& it) {
        return it.node == "orders-1" && it.at > left_at;
      });
  EXPECT_EQ(started_late, 0);
  int answered = 0;
  for (int n = 0; n < kRequests; ++n) {
    const std::string verdict = VerdictOf(driver, handles[n]);
    const int runs = driver.RunsOf(StrCat("r", n, "e"));
    answered += verdict == "answered" ? 1 : 0;
    EXPECT_TRUE(verdict == "answered" || verdict == "not_run")
        << "request " << n << ": " << verdict;
    EXPECT_EQ(runs, verdict == "answered" ? 1 : 0) << "request " << n;
  }
  std::cout << "answered " << answered << " of " << kRequests << "\n";
  EXPECT_GT(answered, 0);
}

// The answer to one of the first table calls is lost, before or after its
// effect, or is applied late, or is duplicated, while the caller's second copy
// reaches another entry some time later. One of the copies runs the order,
// never both.
TEST(PairsTest, LostStoreAnswerAndResend) {
  constexpr std::array<StoreFault, 4> kFaults = {
      StoreFault::kLoseBefore, StoreFault::kLoseAfter, StoreFault::kApplyLate,
      StoreFault::kAnswerTwice};
  constexpr int kCalls = 6;
  int answered = 0;
  int cases = 0;
  for (const StoreFault fault : kFaults) {
    for (int lost = 0; lost < kCalls; ++lost) {
      for (DurationUs gap = 0; gap <= 400 * kMillisecond;
           gap += 20 * kMillisecond) {
        DriverOptions options;
        options.entries = 2;
        options.service = 100 * kMillisecond;
        options.pools = {{"orders", StageKind::kService, 2}};
        CoreDriver driver(options);
        int calls = 0;
        driver.store_fault = [&](const std::vector<StoreOp>&) {
          return calls++ == lost ? fault : StoreFault::kNone;
        };
        const CallerHandle first = driver.Ask(0, Once("order-1"));
        driver.Run(gap);
        const CallerHandle second = driver.Ask(1, Once("order-1"));
        driver.Run(kDeadline + kAnswerMargin);
        ++cases;
        const int runs = driver.RunsOf("order-1");
        EXPECT_LE(runs, 1) << "call " << lost << " gap " << gap;
        for (const CallerHandle handle : {first, second}) {
          const std::string verdict = VerdictOf(driver, handle);
          EXPECT_FALSE(verdict.ends_with("answers"))
              << "call " << lost << " gap " << gap << ": " << verdict;
          answered += verdict == "answered" ? 1 : 0;
        }
      }
    }
  }
  std::cout << "copies answered " << answered << " of " << 2 * cases << "\n";
  EXPECT_GT(answered, cases);
}

// A request crashes each upstream that runs it, and the entry that sent it is
// killed at some moment, with what it knows of the crash; its caller goes to
// the next entry. The pool of nine loses few replicas, whenever the entry is
// killed, and the last resent request is refused with its reason.
TEST(PairsTest, CrashingRequestAndFailover) {
  constexpr int kPoolEntries = 4;
  constexpr int kSends = 12;
  int max_crashes = 0;
  for (DurationUs at = 0; at <= 200 * kMillisecond; at += 5 * kMillisecond) {
    DriverOptions options;
    options.entries = kPoolEntries;
    options.service = 20 * kMillisecond;
    options.pools = {{"models", StageKind::kGenerate, 9}};
    CoreDriver driver(options);
    driver.crashes = [](const NodeId&, const StageCall& call) {
      return Contains(call.body, "poison");
    };
    CallerHandle last = 0;
    for (int n = 0; n < kSends; ++n) {
      const int entry = n % kPoolEntries;
      last = driver.Ask(entry, Repeatable("poison"));
      driver.Run(at);
      if (n < kPoolEntries) {
        driver.KillEntry(entry);
        driver.StartEntry(entry);
      }
      driver.Run(kSecond);
    }
    max_crashes = std::max(max_crashes, driver.UpstreamCrashes());
    ASSERT_EQ(driver.AnswersTo(last).size(), 1) << "killed after " << at;
    EXPECT_EQ(driver.AnswersTo(last)[0].answer.reason, Refusal::kQuarantined)
        << "killed after " << at;
  }
  std::cout << "replicas lost at most " << max_crashes << "\n";
  EXPECT_LE(max_crashes, 4);
}

// Two operators edit the same version of a branch, and an entry is restarted
// before one of their steps. One change is accepted, and the other operator
// receives the version that won; every entry, including the restarted one, then
// serves the winner's change.
TEST(PairsTest, SettingsRaceAndNodeRestart) {
  constexpr int kNodes = 4;
  constexpr int kSteps = 4;
  for (int restarted = 0; restarted < kNodes * kSteps; ++restarted) {
    SettingsNet net(kNodes, 11 + restarted);
    ASSERT_EQ(net.Change("depot", 1), 1U);
    net.Run(5 * kSecond);
    std::vector<SettingsWrite> writes;
    writes.reserve(2);
    for (int n = 0; n < 2; ++n) {
      SettingsChange change;
      change.branch = "depot";
      change.team = "ops";
      change.json =
          StrCat(R"({"owner":"ops","accounts":{"a":{"share":)", 10 + n, "}}}");
      writes.emplace_back(change, 500 + n);
    }
    for (int step = 0; step < kSteps; ++step) {
      if (step == restarted / kNodes) {
        net.Kill(restarted % kNodes);
        net.Run(100 * kMillisecond);
        net.Start(restarted % kNodes);
      }
      SettingsWrite& write = writes[step % 2];
      write.OnAnswer(net.table.Transact(write.Next()));
      net.Run(50 * kMillisecond);
    }
    ASSERT_TRUE(writes[0].result() && writes[1].result());
    EXPECT_EQ(writes[0].result()->outcome, WriteOutcome::kAccepted);
    EXPECT_EQ(writes[1].result()->outcome, WriteOutcome::kLostRace);
    EXPECT_EQ(writes[1].result()->version, 2U);
    net.Run(5 * kSecond);
    for (int n = 0; n < kNodes; ++n) {
      EXPECT_TRUE(net.Serves(n)) << "case " << restarted << " node " << n;
      const Account* account = net.sync(n).settings()->FindAccount("a");
      ASSERT_NE(account, nullptr);
      EXPECT_EQ(account->share, 10U) << "case " << restarted << " node " << n;
    }
  }
}

}  // namespace
}  // namespace acaciachute
