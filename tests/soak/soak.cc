#include "tests/soak/soak.h"

#include <array>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "tests/soak/loopback.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr DurationUs kBeat = 5 * kMillisecond;
// Faults come this often and so overlap: most last for a second or two.
constexpr DurationUs kLeastPause = 300 * kMillisecond;
constexpr DurationUs kMostPause = 1500 * kMillisecond;
constexpr DurationUs kRestart = 400 * kMillisecond;
// What a gateway may take to be ready again once all faults are over.
constexpr DurationUs kRecovery = 12 * kSecond;
// Share of the requests after the recovery that must be answered.
constexpr double kServedAfter = 0.9;
constexpr int kRequestsAfter = 60;

constexpr std::array<std::string_view, 4> kRoutes = {"unsafe", "safe", "staged",
                                                     "resumed"};

class Soak {
 public:
  Soak(Loop* loop, const SoakOptions& options)
      : loop_(loop),
        options_(options),
        random_(options.seed),
        sends_random_(~options.seed),
        world_(loop, options.world) {}

  SoakReport Run() {
    if (!world_.Start()) {
      report_.broken.push_back("a gateway was not ready in time");
      return report_;
    }
    start_ = Loop::Now();
    sends_ = true;
    Repeat(loop_, kBeat, alive_, [this] { SendDue(); });
    Repeat(loop_, kBeat, alive_, [this] { RestartEnded(); });
    DrawNext();
    world_.WaitFor(options_.time, [] { return false; });
    faults_ = false;
    sends_ = false;
    Heal();
    CheckRecovery();
    world_.WaitFor(kRecovery, [this] { return world_.ledger()->open() == 0; });
    for (const auto& it : world_.ledger()->Broken()) {
      report_.broken.push_back(it);
    }
    if (world_.ledger()->open() > 0) {
      report_.broken.push_back(
          StrCat(world_.ledger()->open(), " attempts never ended"));
    }
    Summarize();
    return report_;
  }

 private:
  using Fault = void (Soak::*)();
  struct NamedFault {
    std::string_view name;
    Fault play;
  };
  static const std::array<NamedFault, 15> kFaults;

  std::size_t Draw(std::size_t n) {
    return static_cast<std::size_t>(random_.Below(n));
  }
  DurationUs DrawTime(DurationUs least, DurationUs most) {
    return least + static_cast<DurationUs>(
                       random_.Below(static_cast<std::uint64_t>(most - least)));
  }
  void After(DurationUs delay, std::function<void()> task) {
    Later(loop_, delay, alive_, std::move(task));
  }
  void AfterAWhile(std::function<void()> task) {
    After(DrawTime(500 * kMillisecond, 3 * kSecond), std::move(task));
  }

  void SendDue() {
    if (!sends_) {
      return;
    }
    due_ += static_cast<double>(options_.rate) * static_cast<double>(kBeat) /
            static_cast<double>(kSecond);
    for (; due_ >= 1; --due_) {
      const auto pick = [this](std::size_t n) {
        return static_cast<std::size_t>(sends_random_.Below(n));
      };
      const std::size_t route = pick(kRoutes.size());
      world_.Send(std::string(kRoutes[route]), pick(world_.gateways().size()));
    }
  }

  // As the platform does with a process that has ended.
  void RestartEnded() {
    for (auto& it : world_.gateways()) {
      if (it->Ended() && !restarting_[it.get()]) {
        restarting_[it.get()] = true;
        After(kRestart, [this, gateway = it.get()] {
          restarting_[gateway] = false;
          gateway->Start();
        });
      }
    }
  }

  void DrawNext() {
    After(DrawTime(kLeastPause, kMostPause), [this] {
      if (!faults_) {
        return;
      }
      const NamedFault& fault = kFaults[Draw(kFaults.size())];
      report_.faults.push_back(
          StrCat((Loop::Now() - start_) / kMillisecond, " ms ", fault.name));
      (this->*fault.play)();
      DrawNext();
    });
  }

  GatewayProcess* AnyGateway() {
    return world_.gateways()[Draw(world_.gateways().size())].get();
  }
  StandinReplica* AnyReplica() {
    return world_.replicas()[Draw(world_.replicas().size())].get();
  }

  void Kill() { AnyGateway()->Signal(SIGKILL); }
  void Terminate() { AnyGateway()->Signal(SIGTERM); }
  void Reload() { AnyGateway()->Signal(SIGHUP); }
  void Freeze() {
    GatewayProcess* gateway = AnyGateway();
    gateway->Signal(SIGSTOP);
    AfterAWhile([gateway] { gateway->Signal(SIGCONT); });
  }
  void KillAll() {
    for (auto& it : world_.gateways()) {
      it->Signal(SIGKILL);
    }
  }
  void MoodFor(StandinStore::Mood mood) {
    world_.store()->SetMood(mood);
    AfterAWhile(
        [this] { world_.store()->SetMood(StandinStore::Mood::kServing); });
  }
  void StoreBusy() { MoodFor(StandinStore::Mood::kBusy); }
  void StoreResets() { MoodFor(StandinStore::Mood::kResetting); }
  void StoreSilent() { MoodFor(StandinStore::Mood::kSilent); }
  // One gateway's link to the store, while the others keep theirs.
  void CutFromStore() {
    Relay* link = world_.store_links()[Draw(options_.world.gateways)].get();
    link->Cut();
    AfterAWhile([link] { link->Restore(); });
  }
  void SilenceStore() {
    Relay* link = world_.store_links()[Draw(options_.world.gateways)].get();
    link->Freeze();
    AfterAWhile([link] { link->Restore(); });
  }
  void StoreForgets() { world_.store()->DropHistory(); }
  void ChangeConfig() { world_.WriteConfig(); }
  void CrashReplica() { world_.CrashReplica(Draw(world_.replicas().size())); }
  void LoseAnswers() { AnyReplica()->LoseNextAnswers(3); }
  void SlowReplica() {
    StandinReplica* replica = AnyReplica();
    replica->SetSlowness(6);
    AfterAWhile([replica] { replica->SetSlowness(1); });
  }

  // Ends what still lasts, so that what follows is the system's own doing.
  void Heal() {
    world_.store()->SetMood(StandinStore::Mood::kServing);
    for (auto& it : world_.gateways()) {
      it->Signal(SIGCONT);
    }
    for (auto& it : world_.store_links()) {
      it->Restore();
    }
    for (auto& it : world_.replicas()) {
      it->SetSlowness(1);
      it->LoseNextAnswers(0);
    }
  }

  void CheckRecovery() {
    constexpr int kOk = 200;
    for (std::size_t n = 0; n < world_.gateways().size(); ++n) {
      if (!world_.WaitFor(kRecovery, [&] {
            return !world_.gateways()[n]->Ended() &&
                   world_.ReadinessStatus(n) == kOk;
          })) {
        report_.broken.push_back(StrCat("gateway ", n, " is not ready again"));
        return;
      }
    }
    // Replicas that are shunned for earlier failures come back by probes.
    world_.WaitFor(3 * kSecond, [] { return false; });
    const auto before = world_.ledger()->Outcomes();
    for (int k = 0; k < kRequestsAfter; ++k) {
      world_.Send(std::string(kRoutes[static_cast<std::size_t>(k) % 4]),
                  static_cast<std::size_t>(k) % world_.gateways().size());
      world_.WaitFor(20 * kMillisecond, [] { return false; });
    }
    world_.WaitFor(kRecovery, [this] { return world_.ledger()->open() == 0; });
    int served = 0;
    for (auto [route, ends] : world_.ledger()->Outcomes()) {
      served += ends["200"];
      if (const auto it = before.find(route); it != before.end()) {
        const auto ok = it->second.find("200");
        served -= ok == it->second.end() ? 0 : ok->second;
      }
    }
    if (served < kServedAfter * kRequestsAfter) {
      report_.broken.push_back(StrCat("serves ", served, " of ", kRequestsAfter,
                                      " after the faults"));
    }
  }

  void Summarize() {
    for (const auto& [route, ends] : world_.ledger()->Outcomes()) {
      report_.summary += StrCat(report_.summary.empty() ? "" : "; ", route);
      for (const auto& [end, n] : ends) {
        report_.summary += StrCat(" ", end, "=", n);
      }
    }
  }

  Loop* const loop_;
  const SoakOptions options_;
  Random random_;        // Draws faults alone, so that a seed repeats them.
  Random sends_random_;  // Draws requests.
  World world_;
  SoakReport report_;
  TimeUs start_ = 0;
  double due_ = 0;
  bool sends_ = false;
  bool faults_ = true;
  std::map<GatewayProcess*, bool> restarting_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

const std::array<Soak::NamedFault, 15> Soak::kFaults = {{
    {"kill a gateway", &Soak::Kill},
    {"terminate a gateway", &Soak::Terminate},
    {"reload a gateway", &Soak::Reload},
    {"freeze a gateway", &Soak::Freeze},
    {"kill all gateways", &Soak::KillAll},
    {"the store is busy", &Soak::StoreBusy},
    {"the store resets connections", &Soak::StoreResets},
    {"the store is silent", &Soak::StoreSilent},
    {"a gateway is cut from the store", &Soak::CutFromStore},
    {"a gateway's link to the store falls silent", &Soak::SilenceStore},
    {"the store forgets its history", &Soak::StoreForgets},
    {"a new configuration", &Soak::ChangeConfig},
    {"a replica crashes", &Soak::CrashReplica},
    {"a replica loses answers", &Soak::LoseAnswers},
    {"a replica is slow", &Soak::SlowReplica},
}};

}  // namespace

SoakReport RunSoak(Loop* loop, const SoakOptions& options) {
  return Soak(loop, options).Run();
}

}  // namespace acaciachute
