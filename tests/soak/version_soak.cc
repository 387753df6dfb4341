#include "tests/soak/version_soak.h"

#include <glib/gstdio.h>

#include <algorithm>
#include <array>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/soak/loopback.h"
#include "tests/soak/version_client.h"
#include "tests/soak/version_fleet.h"
#include "tests/soak/version_judge.h"
#include "text.h"

namespace acaciachute {
namespace {

// Time in which clients go on after the faults; what they have then is judged.
constexpr DurationUs kEndTime = 4 * kSecond;
// Bounds of the interval between two changes of versions, and between two harms
// of gateways.
constexpr DurationUs kMinChangeInterval = 1200 * kMillisecond;
constexpr DurationUs kMaxChangeInterval = 4 * kSecond;
constexpr DurationUs kMinHarmInterval = 1500 * kMillisecond;
constexpr DurationUs kMaxHarmInterval = 5 * kSecond;
constexpr DurationUs kMinHarmTime = 300 * kMillisecond;
constexpr DurationUs kMaxHarmTime = 4 * kSecond;
// The platform starts an ended gateway again soon.
constexpr DurationUs kMaxDownTime = kSecond;
// Time from a change of versions to the harm that follows it.
constexpr DurationUs kMaxFollowTime = 2500 * kMillisecond;
constexpr DurationUs kLateRow = 1500 * kMillisecond;

class VersionSoak {
 public:
  VersionSoak(Loop* loop, const SoakOptions& options)
      : loop_(loop),
        options_(options),
        random_(options.seed),
        client_random_(~options.seed),
        harm_(static_cast<Harm>(options.seed % kHarms)),
        fleet_(loop, FleetOptionsOf(options)) {}

  SoakReport Run() {
    if (!fleet_.Start()) {
      report_.violations.push_back(
          "a gateway was not ready within 10 s of its start");
      return report_;
    }
    start_ = Loop::Now();
    judge_ = std::make_unique<VersionJudge>(start_);
    BeginStreams();
    ScheduleChange();
    if (harm_ == Harm::kAnyTime) {
      ScheduleHarm();
    }
    fleet_.WaitFor(options_.fault_time, [] { return false; });
    injecting_ = false;
    fleet_.WaitFor(kEndTime, [this] {
      return std::all_of(clients_.begin(), clients_.end(),
                         [](const auto& it) { return it->done(); });
    });
    for (const auto& it : clients_) {
      judge_->OnEnded(it->stream());
    }
    report_.violations = judge_->Violations();
    report_.summary =
        StrCat("gateways=", fleet_.gateways(), " ", judge_->Summary());
    report_.figures = judge_->Figures();
    return report_;
  }

 private:
  // When gateways are harmed, by the seed.
  enum class Harm { kNever, kAfterChanges, kAnyTime };
  static constexpr std::uint64_t kHarms = 3;

  // Returns how long it goes on.
  using Fault = DurationUs (VersionSoak::*)();
  struct NamedFault {
    std::string_view name;
    Fault inject;
  };
  static const std::array<NamedFault, 6> kChanges;
  static const std::array<NamedFault, 7> kHarmKinds;

  static VersionFleetOptions FleetOptionsOf(const SoakOptions& options) {
    VersionFleetOptions out;
    out.seed = options.seed + 1;  // Other draws than those of the faults.
    out.gateways = options.world.gateways;
    out.versions = 1 + static_cast<int>(options.seed / kHarms % 2);
    out.retries = options.world.retries;
    if (!options.world.log_folder.empty()) {
      out.log_prefix =
          StrCat(options.world.log_folder, "/seed", options.seed, "-");
    }
    return out;
  }

  DurationUs DrawTime(DurationUs least, DurationUs most) {
    return least + static_cast<DurationUs>(
                       random_.Below(static_cast<std::uint64_t>(most - least)));
  }

  void BeginStreams() {
    if (!injecting_) {
      return;
    }
    clients_.push_back(std::make_unique<VersionClient>(
        loop_, StrCat("s", clients_.size()), fleet_.ClientAddresses(),
        client_random_.Next(),
        [this](const VersionStream& stream, const VersionTry& attempt) {
          judge_->OnDecided(stream, attempt, TruthOf(stream, attempt));
        }));
    RunAfter(loop_, kSecond / options_.rate, alive_,
             [this] { BeginStreams(); });
  }

  VersionJudge::Truth TruthOf(const VersionStream& stream,
                              const VersionTry& attempt) const {
    VersionJudge::Truth out;
    out.calm = fleet_.CalmSince(attempt.sent_at - VersionJudge::kCalmTime);
    if (attempt.takes_up) {
      const TimeUs since = stream.tries.front().sent_at;
      const std::string& version = stream.events.front().version;
      out.served = fleet_.ServedSince(since, version, true);
      out.wrote = fleet_.ServedSince(since, version, false);
    }
    return out;
  }

  void Inject(std::span<const NamedFault> faults) {
    std::vector<NamedFault> drawn;
    for (const NamedFault& it : faults) {
      const auto parts = Split(options_.only, ',');
      if (std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
            return Contains(it.name, part);
          })) {
        drawn.push_back(it);
      }
    }
    if (drawn.empty()) {
      return;
    }
    const NamedFault& fault = drawn[random_.Below(drawn.size())];
    const TimeUs now = Loop::Now();
    report_.faults.push_back(
        StrCat((now - start_) / kMillisecond, " ms ", fault.name));
    judge_->OnFault(now, now + (this->*fault.inject)(), fault.name);
  }

  void ScheduleChange() {
    const DurationUs delay = DrawTime(kMinChangeInterval, kMaxChangeInterval);
    RunAfter(loop_, delay, alive_, [this] {
      if (!injecting_) {
        return;
      }
      Inject(kChanges);
      if (harm_ != Harm::kNever && random_.Below(2) == 0) {
        RunAfter(loop_, DrawTime(0, kMaxFollowTime), alive_, [this] {
          if (injecting_) {
            Inject(kHarmKinds);
          }
        });
      }
      ScheduleChange();
    });
  }
  void ScheduleHarm() {
    const DurationUs delay = DrawTime(kMinHarmInterval, kMaxHarmInterval);
    RunAfter(loop_, delay, alive_, [this] {
      if (injecting_) {
        Inject(kHarmKinds);
        ScheduleHarm();
      }
    });
  }

  DurationUs StartNext(VersionFleet::Leave leave) {
    fleet_.StartNextVersion(leave);
    return VersionFleet::kMaxRollTime;
  }
  DurationUs AddVersion() { return StartNext(VersionFleet::Leave::kNone); }
  DurationUs Roll() { return StartNext(VersionFleet::Leave::kDraining); }
  DurationUs RemoveRows() {
    return StartNext(VersionFleet::Leave::kRowRemoved);
  }
  DurationUs MoveRoute() {
    fleet_.MoveRoute();
    return 0;
  }
  DurationUs ReplaceInPlace(DurationUs row_delay) {
    fleet_.ReplaceInPlace(row_delay);
    return VersionFleet::kMaxRollTime + row_delay;
  }
  DurationUs Replace() { return ReplaceInPlace(0); }
  DurationUs ReplaceWithLateRows() { return ReplaceInPlace(kLateRow); }

  // Harms `n` gateways that follow one another.
  using HarmGateways = void (VersionFleet::*)(const VersionFleet::Picked&,
                                              DurationUs);
  DurationUs HarmSome(HarmGateways harm, std::size_t n, DurationUs most) {
    const std::size_t first = random_.Below(fleet_.gateways());
    VersionFleet::Picked picked;
    for (std::size_t k = 0; k < n; ++k) {
      picked.push_back((first + k) % fleet_.gateways());
    }
    const DurationUs duration = DrawTime(kMinHarmTime, most);
    (fleet_.*harm)(picked, duration);
    return duration;
  }
  DurationUs Kill(std::size_t n) {
    return HarmSome(&VersionFleet::Kill, n, kMaxDownTime);
  }
  DurationUs Pause(std::size_t n) {
    return HarmSome(&VersionFleet::Pause, n, kMaxHarmTime);
  }
  DurationUs Cut(std::size_t n) {
    return HarmSome(&VersionFleet::CutFromStore, n, kMaxHarmTime);
  }
  DurationUs KillOne() { return Kill(1); }
  DurationUs KillTwo() { return Kill(2); }
  DurationUs KillAll() { return Kill(fleet_.gateways()); }
  DurationUs PauseOne() { return Pause(1); }
  DurationUs PauseMost() { return Pause(fleet_.gateways() - 1); }
  DurationUs CutOne() { return Cut(1); }
  DurationUs CutAll() { return Cut(fleet_.gateways()); }

  Loop* const loop_;
  const SoakOptions options_;
  Random random_;  // For faults only, so that a seed repeats them.
  Random client_random_;
  const Harm harm_;
  VersionFleet fleet_;
  std::unique_ptr<VersionJudge> judge_;
  SoakReport report_;
  TimeUs start_ = 0;
  bool injecting_ = true;
  std::vector<std::unique_ptr<VersionClient>> clients_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

const std::array<VersionSoak::NamedFault, 6> VersionSoak::kChanges = {{
    {"a version starts beside", &VersionSoak::AddVersion},
    {"a service is rolled", &VersionSoak::Roll},
    {"rows are removed", &VersionSoak::RemoveRows},
    {"the route moves", &VersionSoak::MoveRoute},
    {"replicas are replaced in place", &VersionSoak::Replace},
    {"replicas are replaced, rows late", &VersionSoak::ReplaceWithLateRows},
}};

const std::array<VersionSoak::NamedFault, 7> VersionSoak::kHarmKinds = {{
    {"kill a gateway", &VersionSoak::KillOne},
    {"kill two gateways", &VersionSoak::KillTwo},
    {"kill all gateways", &VersionSoak::KillAll},
    {"pause a gateway", &VersionSoak::PauseOne},
    {"pause most gateways", &VersionSoak::PauseMost},
    {"a gateway is cut off from the store", &VersionSoak::CutOne},
    {"all gateways are cut off from the store", &VersionSoak::CutAll},
}};

void RemoveLogs(const SoakOptions& options) {
  for (int n = 0; n < options.world.gateways; ++n) {
    g_remove(StrCat(options.world.log_folder, "/seed", options.seed, "-front-",
                    n, ".log")
                 .c_str());
  }
}

}  // namespace

SoakReport RunVersionSoak(Loop* loop, const SoakOptions& options) {
  SoakReport report = VersionSoak(loop, options).Run();
  if (report.violations.empty() && !options.world.log_folder.empty()) {
    RemoveLogs(options);
  }
  return report;
}

int VersionSoakGateways(std::uint64_t seed) {
  constexpr int kLeast = 5;
  constexpr std::uint64_t kNumbers = 3;
  return kLeast + static_cast<int>(seed / kNumbers % kNumbers);
}

}  // namespace acaciachute
