// Compares the production cores with a naive version on the same generated
// schedules, by the answers that callers receive and the runs at the upstreams.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/core_driver.h"
#include "tests/naive_system.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr int kEntries = 3;
constexpr int kReplicas = 2;
constexpr int kSchedules = 2000;
constexpr DurationUs kDeadline = 800 * kMillisecond;
constexpr DurationUs kOneWay = 1500;
// Duration of each step of a schedule.
constexpr DurationUs kStepTime = 20 * kMillisecond;

enum class Action {
  kAsk,
  kAskOnce,
  kAskStream,
  kResend,
  kKillEntry,
  kKillSidecar,
  kPauseEntry,
  kPauseSidecar,
  kCrashUpstream,
};
constexpr int kActions = 9;

struct Step {
  Action action = Action::kAsk;
  int target = 0;
};

struct Schedule {
  std::vector<Step> steps;
  // Faults of the next messages, in order; reused cyclically.
  std::vector<int> network;
  std::vector<int> store;
};

rc::Gen<Schedule> AnySchedule(int actions, int fates) {
  const auto step = rc::gen::build<Step>(
      rc::gen::set(&Step::action,
                   rc::gen::map(rc::gen::inRange(0, actions),
                                [](int n) { return static_cast<Action>(n); })),
      rc::gen::set(&Step::target, rc::gen::inRange(0, 12)));
  return rc::gen::build<Schedule>(
      rc::gen::set(&Schedule::steps,
                   rc::gen::container<std::vector<Step>>(30, step)),
      rc::gen::set(&Schedule::network, rc::gen::container<std::vector<int>>(
                                           50, rc::gen::inRange(0, fates))),
      rc::gen::set(&Schedule::store, rc::gen::container<std::vector<int>>(
                                         20, rc::gen::inRange(0, fates))));
}

Schedule ScheduleOf(std::uint64_t seed, int actions, int fates) {
  return AnySchedule(actions, fates)(rc::Random(seed), rc::kNominalSize)
      .value();
}

// About one in ten messages is lost, one duplicated and one late.
Fate FateOf(int n) {
  switch (n) {
    case 1:
      return {};
    case 2:
      return {{kOneWay, 30 * kMillisecond}};
    case 3:
      return {{150 * kMillisecond}};
    default:
      return {{kOneWay}};
  }
}

StoreFault StoreFaultOf(int n) {
  constexpr std::array<StoreFault, 4> kFaults = {
      StoreFault::kNone, StoreFault::kDown, StoreFault::kLoseBefore,
      StoreFault::kLoseAfter};
  return n < 4 ? kFaults[n] : StoreFault::kNone;
}

// One copy of a request that a caller sent.
struct Copy {
  CallerHandle handle = 0;
  int entry = 0;
  int marker = 0;
  bool once = false;
  bool stream = false;
  // The entry stopped or was paused before it answered the copy.
  bool entry_failed = false;
};

// Counts of violations, and of answers.
struct Violations {
  int doubled = 0;  // Non-idempotent requests that ran twice in a stage.
  // Answers that are not the caller's own or not complete.
  int misdelivered = 0;
  int lost = 0;  // Callers of a healthy entry that received no answer.
  int false_not_run = 0;
  int answered = 0;

  void Add(const Violations& it) {
    doubled += it.doubled;
    misdelivered += it.misdelivered;
    lost += it.lost;
    false_not_run += it.false_not_run;
    answered += it.answered;
  }
  int Faults() const { return doubled + misdelivered + lost + false_not_run; }
};

std::ostream& operator<<(std::ostream& out, const Violations& it) {
  return out << "doubled " << it.doubled << ", misdelivered " << it.misdelivered
             << ", lost " << it.lost << ", false not_run " << it.false_not_run
             << ", answered " << it.answered;
}

std::string Body(int marker) {
  return StrCat(R"({"order":"m)", marker, R"(e"})");
}

// Runs a schedule on either system.
template <typename System>
class ScheduleRun {
 public:
  explicit ScheduleRun(const Schedule& schedule)
      : schedule_(schedule), system_(Options()) {
    system_.network = [this](const NodeId&, const NodeId&, const Message& it) {
      if (std::holds_alternative<Heartbeat>(it) || schedule_.network.empty()) {
        return Fate{{kOneWay}};
      }
      return FateOf(schedule_.network[messages_++ % schedule_.network.size()]);
    };
    system_.store_fault = [this](const std::vector<StoreOp>&) {
      return schedule_.store.empty()
                 ? StoreFault::kNone
                 : StoreFaultOf(
                       schedule_.store[calls_++ % schedule_.store.size()]);
    };
    system_.upstream = [](const NodeId& node, const StageCall& call) {
      return StrCat("{\"", node.substr(0, node.rfind('-')), "\":", call.body,
                    "}");
    };
  }

  Violations CountViolations() {
    for (const Step& step : schedule_.steps) {
      RunStep(step);
      system_.Run(kStepTime);
    }
    system_.Run(kDeadline + kSecond);
    Violations out;
    out.doubled = Doubled();
    std::map<CallerHandle, std::vector<CallerAnswer>> answers;
    for (const auto& it : system_.answers()) {
      answers[it.handle].push_back(it.answer);
    }
    std::map<int, bool> all_not_run;
    for (const Copy& copy : copies_) {
      CheckCopy(copy, answers[copy.handle], &out);
      const auto& received = answers[copy.handle];
      const bool not_run =
          !received.empty() && received[0].verdict == Verdict::kNotRun;
      const auto it = all_not_run.emplace(copy.marker, true).first;
      it->second = it->second && not_run;
    }
    for (const auto& [marker, not_run] : all_not_run) {
      out.false_not_run += not_run && !RunsOf(marker).empty() ? 1 : 0;
    }
    return out;
  }

 private:
  static DriverOptions Options() {
    DriverOptions options;
    options.entries = kEntries;
    options.pools = {{"retrievers", StageKind::kRetrieve, kReplicas},
                     {"orders", StageKind::kService, kReplicas}};
    options.service = 15 * kMillisecond;
    return options;
  }

  NodeId Sidecar(int target) const {
    return StrCat(target % 2 == 0 ? "retrievers-" : "orders-",
                  1 + target / 2 % kReplicas);
  }

  void Ask(int entry, int marker, bool once, bool stream) {
    CallerRequest request =
        once ? CoreDriver::MakeOnce(StrCat("k", marker), Body(marker))
             : CoreDriver::MakeRequest(Body(marker));
    request.stream = stream;
    request.deadline = kDeadline;
    const CallerHandle handle = system_.Ask(entry, request);
    copies_.push_back({handle, entry, marker, once, stream, down_[entry]});
  }

  void FailEntry(int n) {
    down_[n] = true;
    for (Copy& copy : copies_) {
      copy.entry_failed = copy.entry_failed || copy.entry == n;
    }
  }

  void RunStep(const Step& step) {
    const int entry = step.target % kEntries;
    const NodeId sidecar = Sidecar(step.target);
    const TimeUs resume_at = system_.now() + 5 * kStepTime;
    switch (step.action) {
      case Action::kAsk:
      case Action::kAskOnce:
      case Action::kAskStream:
        Ask(entry, next_marker_++, step.action == Action::kAskOnce,
            step.action == Action::kAskStream);
        break;
      case Action::kResend:
        if (!copies_.empty()) {
          const Copy copy =
              copies_[copies_.size() - 1 - step.target % copies_.size()];
          Ask(entry, copy.marker, copy.once, copy.stream);
        }
        break;
      case Action::kKillEntry:
        FailEntry(entry);
        system_.KillEntry(entry);
        system_.StartEntry(entry);
        down_[entry] = false;
        break;
      case Action::kKillSidecar:
        system_.KillSidecar(sidecar);
        system_.StartSidecar(sidecar);
        break;
      case Action::kPauseEntry:
        FailEntry(entry);
        system_.PauseEntry(entry, true);
        system_.At(resume_at, [this, entry] {
          down_[entry] = false;
          system_.PauseEntry(entry, false);
        });
        break;
      case Action::kPauseSidecar:
        system_.PauseSidecar(sidecar, true);
        system_.At(resume_at,
                   [this, sidecar] { system_.PauseSidecar(sidecar, false); });
        break;
      case Action::kCrashUpstream:
        system_.CrashUpstream(sidecar);
        break;
    }
  }

  std::vector<NodeId> RunsOf(int marker) const {
    std::vector<NodeId> pools;
    for (const auto& run : system_.runs()) {
      if (Contains(run.body, Body(marker))) {
        pools.push_back(run.node.substr(0, run.node.rfind('-')));
      }
    }
    return pools;
  }

  int Doubled() const {
    std::set<int> once;
    for (const Copy& copy : copies_) {
      if (copy.once) {
        once.insert(copy.marker);
      }
    }
    int doubled = 0;
    for (const int marker : once) {
      const auto runs = RunsOf(marker);
      const auto twice = [&](const char* pool) {
        return std::count(runs.begin(), runs.end(), pool) > 1;
      };
      doubled += twice("retrievers") || twice("orders") ? 1 : 0;
    }
    return doubled;
  }

  void CheckCopy(const Copy& copy,
                 const std::vector<CallerAnswer>& received,
                 Violations* out) const {
    if (received.empty()) {
      out->lost += copy.entry_failed ? 0 : 1;
      return;
    }
    const std::string complete =
        copy.stream
            ? "part0;part1;part2;"
            : StrCat(R"({"orders":{"retrievers":)", Body(copy.marker), "}}");
    if (received.size() > 1) {
      ++out->misdelivered;
    } else if (received[0].verdict == Verdict::kAnswered) {
      ++(received[0].body == complete ? out->answered : out->misdelivered);
    }
  }

  const Schedule schedule_;
  System system_;
  std::vector<Copy> copies_;
  std::map<int, bool> down_;
  int next_marker_ = 0;
  std::size_t messages_ = 0;
  std::size_t calls_ = 0;
};

template <typename System>
Violations CountViolations(const Schedule& schedule) {
  return ScheduleRun<System>(schedule).CountViolations();
}

// Entries and sidecars stop and pause, messages and answers of the table are
// lost, late and duplicated, and callers resend. On these schedules the naive
// version loses, duplicates and misdelivers; on the same ones the production
// core does none of it.
TEST(DifferentialTest, ProductionCoreHasNoViolationsWhereNaiveHas) {
  Violations real;
  Violations naive;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const Schedule schedule = ScheduleOf(seed, kActions, 12);
    const Violations it = CountViolations<CoreDriver>(schedule);
    EXPECT_EQ(it.Faults(), 0) << "seed " << seed << ": " << it;
    real.Add(it);
    naive.Add(CountViolations<NaiveSystem>(schedule));
  }
  std::cout << "real: " << real << "\nnaive: " << naive << "\n";
  EXPECT_GT(naive.doubled, 0);
  EXPECT_GT(naive.misdelivered, 0);
  EXPECT_GT(naive.lost, 0);
  EXPECT_GT(real.answered, 0);
}

// Without faults both systems give every caller the same complete answer.
TEST(DifferentialTest, BothAgreeWithoutFaults) {
  constexpr int kOnlyAsks = 3;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const Schedule schedule = ScheduleOf(seed, kOnlyAsks, 1);
    const int asked = static_cast<int>(schedule.steps.size());
    const Violations real = CountViolations<CoreDriver>(schedule);
    const Violations naive = CountViolations<NaiveSystem>(schedule);
    EXPECT_EQ(real.Faults() + naive.Faults(), 0) << "seed " << seed;
    EXPECT_EQ(real.answered, asked) << "seed " << seed << ": " << real;
    EXPECT_EQ(naive.answered, asked) << "seed " << seed << ": " << naive;
  }
}

}  // namespace
}  // namespace acaciachute
