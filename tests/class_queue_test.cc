// Tests of the order in which a sidecar's upstream serves calls, and of the
// limit on its concurrent calls.
#include "coordination/admission/class_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "coordination/admission/concurrency_limit.h"
#include "coordination/admission/service_times.h"
#include "tests/property.h"
#include "tests/sidecar_rig.h"

namespace acaciachute {
namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr int kCases = 300;

WaitingCall MakeCall(std::uint64_t n,
                     CallerClass caller_class,
                     TimeUs deadline,
                     bool is_long = false) {
  return {{{1, n}, 0, 1}, caller_class, deadline, is_long};
}

// The calls that a test pushes one by one, with random class, deadline and
// length.
std::vector<WaitingCall> RandomCalls() {
  const auto specs =
      *rc::gen::container<std::vector<std::tuple<bool, int, bool>>>(
          rc::gen::tuple(rc::gen::arbitrary<bool>(), rc::gen::inRange(1, 50),
                         rc::gen::arbitrary<bool>()));
  std::vector<WaitingCall> calls;
  calls.reserve(specs.size());
  for (const auto& [urgent, deadline, is_long] : specs) {
    calls.push_back(MakeCall(
        calls.size() + 1, urgent ? CallerClass::kUrgent : CallerClass::kPatient,
        deadline, is_long));
  }
  return calls;
}

TEST(ClassQueueTest, EachCallLeavesOnce) {
  CheckProperty("conservation", kSeed, kCases, [] {
    ClassQueue queue;
    std::multiset<std::uint64_t> removed;
    std::uint64_t pushed = 0;
    for (const WaitingCall& call : RandomCalls()) {
      queue.Push(call);
      ++pushed;
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          if (const auto it = queue.Pop(*rc::gen::arbitrary<bool>())) {
            removed.insert(it->key.request.sequence);
          }
          break;
        case 1:
          if (const auto it = queue.PopLastPatient()) {
            removed.insert(it->key.request.sequence);
          }
          break;
        case 2: {
          const std::size_t before = queue.size();
          queue.Remove(call.key);
          if (queue.size() < before) {
            removed.insert(call.key.request.sequence);
          }
          break;
        }
        default:
          break;
      }
    }
    while (const auto it = queue.Pop()) {
      removed.insert(it->key.request.sequence);
    }
    RC_ASSERT(queue.size() == 0U);
    RC_ASSERT(removed.size() == pushed);
    RC_ASSERT(std::set<std::uint64_t>(removed.begin(), removed.end()).size() ==
              pushed);
  });
}

TEST(ClassQueueTest, EarliestDeadlineGoesFirstWithinAClass) {
  CheckProperty("deadline order", kSeed, kCases, [] {
    ClassQueue queue;
    for (const WaitingCall& call : RandomCalls()) {
      queue.Push(call);
    }
    std::array<TimeUs, 2> last{};
    while (const auto it = queue.Pop()) {
      TimeUs& before = last[static_cast<std::size_t>(it->caller_class)];
      RC_ASSERT(before <= it->deadline);
      before = it->deadline;
    }
  });
}

// For any sequence of calls, patient calls wait behind at most
// `kMaxUrgentInRow` urgent ones, and an urgent call waits behind at most one
// patient call.
TEST(ClassQueueTest, NeitherClassStarves) {
  CheckProperty("no starvation", kSeed, kCases, [] {
    ClassQueue queue;
    std::uint64_t next = 1;
    int urgent_in_row = 0;
    int patient_in_row = 0;
    std::size_t urgent_waits = 0;
    std::size_t patient_waits = 0;
    for (int step = 0; step < 200; ++step) {
      for (int n = *rc::gen::inRange(0, 3); n > 0; --n) {
        queue.Push(MakeCall(next++, CallerClass::kUrgent, step));
        ++urgent_waits;
      }
      if (*rc::gen::arbitrary<bool>()) {
        queue.Push(MakeCall(next++, CallerClass::kPatient, step));
        ++patient_waits;
      }
      const bool both = urgent_waits > 0 && patient_waits > 0;
      const auto it = queue.Pop();
      if (!it) {
        continue;
      }
      const bool urgent = it->caller_class == CallerClass::kUrgent;
      (urgent ? urgent_waits : patient_waits) -= 1;
      urgent_in_row = both && urgent ? urgent_in_row + 1 : 0;
      patient_in_row = both && !urgent ? patient_in_row + 1 : 0;
      RC_ASSERT(urgent_in_row <= ClassQueue::kMaxUrgentInRow);
      RC_ASSERT(patient_in_row <= 1);
    }
  });
}

// Tests the complete sidecar: calls of any kind arrive, end, fail or expire,
// and each ends with exactly one answer or one failure.
TEST(ClassQueueTest, SidecarEndsEachCallOnce) {
  CheckProperty("sidecar conservation", kSeed, kCases, [] {
    SidecarRig rig(*rc::gen::inRange<std::uint32_t>(1, 5));
    std::set<std::size_t> open;
    std::size_t seen_calls = 0;
    const int steps = *rc::gen::inRange(1, 120);
    for (int n = 1; n <= steps; ++n) {
      StageCall call =
          *rc::gen::inRange(0, 8) == 0 ? rig.Suspect(n) : rig.Call(n);
      call.time_left = *rc::gen::inRange(1, 2000) * kMillisecond;
      call.caller_class = *rc::gen::arbitrary<bool>() ? CallerClass::kUrgent
                                                      : CallerClass::kPatient;
      call.idempotent = *rc::gen::arbitrary<bool>();
      rig.Deliver(call);
      rig.Pass(*rc::gen::inRange(0, 50) * kMillisecond);
      for (; seen_calls < rig.ids.size(); ++seen_calls) {
        open.insert(seen_calls);
      }
      if (!open.empty()) {
        const std::size_t it = *open.begin();
        switch (*rc::gen::inRange(0, 4)) {
          case 0:
            rig.Answer(it);
            open.erase(it);
            break;
          case 1:
            rig.core.OnUpstreamError(rig.now, rig.ids[it],
                                     UpstreamError::kBroken);
            rig.Report();
            open.erase(it);
            break;
          case 2:
            rig.core.OnUpstreamError(rig.now, rig.ids[it],
                                     UpstreamError::kRejected);
            open.erase(it);
            break;
          default:
            break;
        }
      }
    }
    rig.Pass(60 * kSecond);
    std::multiset<std::uint64_t> ended;
    for (const auto& it : rig.failures) {
      ended.insert(it.key.request.sequence);
    }
    for (const auto& it : rig.chunks) {
      ended.insert(it.key.request.sequence);
    }
    RC_ASSERT(ended.size() == static_cast<std::size_t>(steps));
    RC_ASSERT(std::set<std::uint64_t>(ended.begin(), ended.end()).size() ==
              ended.size());
    RC_ASSERT(rig.core.InProgress() == 0U);
  });
}

// A burst of patient calls fills the queue before an urgent call arrives. The
// urgent call replaces a patient one in the full queue and starts next.
TEST(ClassQueueTest, UrgentCallPassesABurst) {
  SidecarOptions options = SidecarRig::Options(1);
  options.max_queued = 50;
  SidecarRig rig(options);
  for (std::uint64_t n = 1; n <= 51; ++n) {
    rig.Deliver(rig.Call(n));
  }
  StageCall urgent = rig.Call(100);
  urgent.caller_class = CallerClass::kUrgent;
  rig.Deliver(urgent);
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].reason, Refusal::kFull);
  EXPECT_GT(rig.failures[0].retry_after, 0);
  rig.Answer(0);
  ASSERT_EQ(rig.started.size(), 2);
  EXPECT_EQ(rig.started[1].key, urgent.key);
}

// A call that is expected not to end in time is refused before it costs
// anything. An idle upstream accepts it, because the estimate may be wrong.
TEST(ClassQueueTest, HopelessWorkIsRefusedUnlessIdle) {
  SidecarRig rig;
  rig.Deliver(rig.Call(1));
  rig.Pass(kSecond);
  rig.Answer(0);
  rig.Deliver(rig.Call(2));
  rig.Deliver(rig.Call(3, 500 * kMillisecond));
  ASSERT_EQ(rig.failures.size(), 1);
  EXPECT_EQ(rig.failures[0].reason, Refusal::kFull);
  EXPECT_EQ(rig.failures[0].verdict, Verdict::kNotRun);
  rig.Answer(1);
  rig.Deliver(rig.Call(4, 500 * kMillisecond));
  EXPECT_EQ(rig.started.size(), 3);
}

// Long jobs arrive before short ones. One slot stays free of long jobs;
// otherwise they would occupy all four slots for seconds.
TEST(ClassQueueTest, LongJobsLeaveASlotForShortOnes) {
  SidecarRig rig(/*limit=*/4);
  std::uint64_t n = 1;
  for (; n <= 20; ++n) {
    rig.Deliver(rig.Call(n));
    rig.Pass(10 * kMillisecond);
    rig.Answer(n - 1);
  }
  for (; n <= 28; ++n) {
    StageCall call = rig.Call(n);
    call.expected_service = 2 * kSecond;
    rig.Deliver(call);
  }
  EXPECT_EQ(rig.started.size(), 23);
  rig.Deliver(rig.Call(n));
  EXPECT_EQ(rig.started.size(), 24);
  EXPECT_EQ(rig.started.back().key.request.sequence, n);
}

// An engine's answers become slower with more than eight concurrent calls. The
// limit approaches that number from above, instead of filling the engine's own
// queue.
TEST(ConcurrencyLimitTest, SettlesNearTheEnginesBatch) {
  ConcurrencyLimit limit(64);
  TimeUs now = kSecond;
  // A period of low load establishes the best median.
  for (int n = 0; n < 50; ++n) {
    limit.OnAnswer(now += 50 * kMillisecond, 50 * kMillisecond, 1);
  }
  std::uint32_t lowest = 64;
  std::uint32_t highest = 0;
  for (int round = 0; round < 400; ++round) {
    const std::uint32_t running = limit.Current();
    const DurationUs service =
        50 * kMillisecond * std::max<std::int64_t>(8, running) / 8;
    now += service;
    for (std::uint32_t n = 0; n < running; ++n) {
      limit.OnAnswer(now, service, running);
    }
    if (round >= 200) {
      lowest = std::min(lowest, limit.Current());
      highest = std::max(highest, limit.Current());
    }
  }
  EXPECT_GE(lowest, 8);
  EXPECT_LE(highest, 20);
}

// The upstream's reports are two seconds old and keep reporting a queue that no
// longer exists. Only one decrease is made for it.
TEST(ConcurrencyLimitTest, LaggingReportIsActedOnOnce) {
  ConcurrencyLimit limit(20);
  LoadReport report;
  report.queued = 5;
  for (int n = 0; n < 10; ++n) {
    const TimeUs now = 10 * kSecond + n * 200 * kMillisecond;
    limit.OnReport(now, now - 2 * kSecond, report);
  }
  EXPECT_EQ(limit.Current(), 18);
}

// The calls themselves become permanently slower. After a window their time
// becomes the new best median, and the limit grows back.
TEST(ConcurrencyLimitTest, LastingChangeBecomesTheReference) {
  ConcurrencyLimit limit(16);
  TimeUs now = kSecond;
  std::uint32_t lowest = 16;
  for (int n = 0; n < 12000; ++n) {
    now += 10 * kMillisecond;
    const DurationUs service = now < 10 * kSecond ? 20'000 : 100'000;
    limit.OnAnswer(now, service, limit.Current());
    lowest = std::min(lowest, limit.Current());
  }
  EXPECT_LE(lowest, 4);
  EXPECT_EQ(limit.Current(), 16);
}

// One long answer in ten does not change the classification of the short ones.
TEST(ServiceTimesTest, LongIsDefinedByTheMedian) {
  ServiceTimes times;
  StageCall short_call;
  short_call.path = "/short";
  StageCall long_call;
  long_call.path = "/long";
  for (int n = 0; n < 200; ++n) {
    times.OnAnswer(n % 10 == 9 ? long_call : short_call,
                   n % 10 == 9 ? 2 * kSecond : 10 * kMillisecond);
  }
  EXPECT_TRUE(times.IsLong(long_call));
  EXPECT_FALSE(times.IsLong(short_call));
}

}  // namespace
}  // namespace acaciachute
