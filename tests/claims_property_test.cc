// Property tests over generated schedules: several entries receive copies of
// the same keys while answers of the table and messages are lost, delayed and
// duplicated, and processes stop, restart and pause. Runs are counted at the
// upstreams.
#include <map>

#include "coordination/interface/claims.h"
#include "tests/core_driver.h"
#include "tests/property.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr int kEntries = 3;
constexpr int kSidecars = 2;
constexpr int kKeys = 2;

// One event of a schedule, made of numbers that rapidcheck can shrink.
struct Step {
  int kind = 0;
  int at_ms = 0;
  int target = 0;
};

// Faults of the next store calls and messages, in order; zero is no fault.
struct Schedule {
  std::vector<Step> steps;
  std::vector<int> store;
  std::vector<int> network;
};

void showValue(const Schedule& it, std::ostream& out) {
  out << "steps";
  for (const auto& step : it.steps) {
    out << " " << step.kind << "@" << step.at_ms << ":" << step.target;
  }
  out << " store";
  for (const int n : it.store) {
    out << " " << n;
  }
  out << " network";
  for (const int n : it.network) {
    out << " " << n;
  }
}

rc::Gen<Schedule> AnySchedule() {
  const auto step = rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::inRange(0, 10)),
      rc::gen::set(&Step::at_ms, rc::gen::inRange(0, 400)),
      rc::gen::set(&Step::target, rc::gen::inRange(0, 12)));
  return rc::gen::build<Schedule>(
      rc::gen::set(&Schedule::steps,
                   rc::gen::container<std::vector<Step>>(30, step)),
      rc::gen::set(&Schedule::store, rc::gen::container<std::vector<int>>(
                                         40, rc::gen::inRange(0, 12))),
      rc::gen::set(&Schedule::network, rc::gen::container<std::vector<int>>(
                                           60, rc::gen::inRange(0, 16))));
}

// Reports every claim as held: the system without claims.
class NoClaims : public ClaimKeeper {
 public:
  explicit NoClaims(ClaimEvents* events) : events_(events) {}
  void Acquire(TimeUs now, const ClaimSubject& subject) override {
    events_->OnClaimHeld(now, subject.id);
  }
  void End(TimeUs, RequestId, const CallerAnswer&) override {}
  void LookUpStatus(TimeUs,
                    CallerHandle,
                    std::string_view,
                    std::string_view) override {}
  void OnTick(TimeUs) override {}
  TimeUs NextWakeup() const override {
    return std::numeric_limits<TimeUs>::max();
  }
  std::size_t UnsettledOutcomes() const override { return 0; }

 private:
  ClaimEvents* const events_;
};

class ScheduleRun {
 public:
  ScheduleRun(const Schedule& schedule, DriverOptions options)
      : schedule_(schedule), driver_(std::move(options)) {
    driver_.store_fault = [this](const auto&) { return NextStoreFault(); };
    driver_.network = [this](const NodeId&, const NodeId&, const Message& it) {
      return std::holds_alternative<Heartbeat>(it) ? Fate{{1500}} : NextFate();
    };
    for (const auto& step : schedule.steps) {
      driver_.At(driver_.now() + step.at_ms * kMillisecond,
                 [this, step] { Do(step); });
    }
    driver_.Run(kSecond);
    for (int n = 0; n < kEntries; ++n) {
      driver_.PauseEntry(n, false);
    }
    for (int n = 1; n <= kSidecars; ++n) {
      driver_.PauseSidecar(StrCat("orders-", n), false);
    }
    driver_.Run(20 * kSecond);
  }

  struct Sent {
    CallerHandle handle = 0;
    std::string text;  // Unique part of the bodies of this request's runs.
    bool once = false;
  };

  CoreDriver& driver() { return driver_; }
  const std::vector<Sent>& sent() const { return sent_; }

 private:
  using Action = void (ScheduleRun::*)(int target);

  void Do(const Step& step) {
    static constexpr Action kActions[] = {
        &ScheduleRun::SendOnce,     &ScheduleRun::SendOnce,
        &ScheduleRun::SendOnce,     &ScheduleRun::SendOnce,
        &ScheduleRun::Send,         &ScheduleRun::RestartEntry,
        &ScheduleRun::PauseEntry,   &ScheduleRun::RestartSidecar,
        &ScheduleRun::PauseSidecar, &ScheduleRun::HangUp,
    };
    (this->*kActions[step.kind])(step.target);
  }
  void SendOnce(int target) {
    const std::string text = StrCat("once-", target % kKeys, ".");
    auto request = CoreDriver::MakeOnce(StrCat("k", target % kKeys),
                                        StrCat("\"", text, "\""));
    request.deadline = (target % 2 == 0 ? 5000 : 40) * kMillisecond;
    Ask(target, std::move(request), text);
  }
  void Send(int target) {
    const std::string text = StrCat("free-", sent_.size(), ".");
    Ask(target, CoreDriver::MakeRequest(StrCat("\"", text, "\"")), text);
  }
  void Ask(int target, CallerRequest request, const std::string& text) {
    const bool once = !request.idempotent;
    sent_.push_back(
        {driver_.Ask(target % kEntries, std::move(request)), text, once});
  }
  void RestartEntry(int target) {
    driver_.KillEntry(target % kEntries);
    driver_.StartEntry(target % kEntries);
  }
  void PauseEntry(int target) {
    paused_[target % kEntries] = !paused_[target % kEntries];
    driver_.PauseEntry(target % kEntries, paused_[target % kEntries]);
  }
  void RestartSidecar(int target) {
    const NodeId node = StrCat("orders-", 1 + target % kSidecars);
    driver_.KillSidecar(node);
    driver_.StartSidecar(node);
  }
  void PauseSidecar(int target) {
    const int n = target % kSidecars;
    sidecar_paused_[n] = !sidecar_paused_[n];
    driver_.PauseSidecar(StrCat("orders-", 1 + n), sidecar_paused_[n]);
  }
  void HangUp(int target) {
    if (!sent_.empty()) {
      const auto& it = sent_[target % sent_.size()];
      for (int n = 0; n < kEntries; ++n) {
        driver_.HangUp(n, it.handle);
      }
      disconnected_[it.handle] = true;
    }
  }

  StoreFault NextStoreFault() {
    const std::size_t n = next_store_++;
    const int it = n < schedule_.store.size() ? schedule_.store[n] : 0;
    return it < 6 ? static_cast<StoreFault>(it) : StoreFault::kNone;
  }
  Fate NextFate() {
    static const std::vector<Fate> kFates = {
        {{1500}}, {}, {{1500, 1500}}, {{1500, 80'000}}, {{60'000}}, {{400'000}},
    };
    const std::size_t n = next_message_++;
    const std::size_t it =
        n < schedule_.network.size() ? schedule_.network[n] : 0;
    return it < kFates.size() ? kFates[it] : kFates[0];
  }

  const Schedule& schedule_;
  CoreDriver driver_;
  std::vector<Sent> sent_;
  std::map<int, bool> paused_;
  std::map<int, bool> sidecar_paused_;
  std::map<CallerHandle, bool> disconnected_;
  std::size_t next_store_ = 0;
  std::size_t next_message_ = 0;
};

DriverOptions Options() {
  DriverOptions options;
  options.entries = kEntries;
  options.pools = {{"orders", StageKind::kService, kSidecars}};
  return options;
}

void CheckOnce(const Schedule& schedule, DriverOptions options) {
  ScheduleRun run(schedule, std::move(options));
  for (int key = 0; key < kKeys; ++key) {
    RC_ASSERT(run.driver().RunsOf(StrCat("once-", key, ".")) <= 1);
  }
}

// Checks the verdicts and answers that callers received in one schedule.
void CheckAnswers(const Schedule& schedule, const DriverOptions& options) {
  ScheduleRun run(schedule, options);
  std::map<std::string, bool> all_not_run;
  for (const auto& it : run.sent()) {
    const auto answers = run.driver().AnswersTo(it.handle);
    RC_ASSERT(answers.size() <= 1);
    const bool not_run =
        answers.size() == 1 && answers[0].answer.verdict == Verdict::kNotRun;
    all_not_run.try_emplace(it.text, true);
    all_not_run[it.text] = all_not_run[it.text] && not_run;
    if (answers.size() == 1 &&
        answers[0].answer.verdict == Verdict::kAnswered) {
      RC_ASSERT(Contains(answers[0].answer.body, it.text));
      RC_ASSERT(answers[0].answer.body.ends_with("}"));
    }
  }
  for (const auto& [text, not_run] : all_not_run) {
    RC_ASSERT(!not_run || run.driver().RunsOf(text) == 0);
  }
}

// Whatever faults the table, the network and the processes have, no order
// reaches an upstream twice, because only the holder of the claim may run.
TEST(ClaimsPropertyTest, NoKeyRunsTwice) {
  EXPECT_EQ(
      CounterExample(11, 400, [] { CheckOnce(*AnySchedule(), Options()); }),
      "");
}

// Control for the property above: without claims, the same schedules must show
// a second run.
TEST(ClaimsPropertyTest, WithoutClaimsAKeyRunsTwice) {
  DriverOptions options = Options();
  options.make_claims = [](ClaimEvents* events) {
    return std::make_unique<NoClaims>(events);
  };
  EXPECT_NE(
      CounterExample(11, 400, [&] { CheckOnce(*AnySchedule(), options); }), "");
}

// If all copies of a request were answered "not run", no upstream ran it. Each
// answer is complete, belongs to its caller, and arrives at most once.
TEST(ClaimsPropertyTest, NotRunIsTrueAndAnswersAreOwn) {
  EXPECT_EQ(
      CounterExample(12, 400, [] { CheckAnswers(*AnySchedule(), Options()); }),
      "");
}

// The same over two stages: a request whose first stage ran is never answered
// "not run" because its second stage was refused, lost or late.
TEST(ClaimsPropertyTest, NotRunIsTrueOverAllStages) {
  DriverOptions options = Options();
  options.pools.insert(options.pools.begin(),
                       {"encoders", StageKind::kEncode, kSidecars});
  EXPECT_EQ(
      CounterExample(13, 400, [&] { CheckAnswers(*AnySchedule(), options); }),
      "");
}

}  // namespace
}  // namespace acaciachute
