#include "tests/soak/soak.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tests/soak/loopback.h"
#include "text.h"

namespace acaciachute {
namespace {

// Period of the timers that send due requests and restart ended gateways.
constexpr DurationUs kTimerPeriod = 5 * kMillisecond;
// Bounds of the random interval between two faults. Most faults last for one or
// two seconds, so they overlap.
constexpr DurationUs kMinFaultInterval = 300 * kMillisecond;
constexpr DurationUs kMaxFaultInterval = 1500 * kMillisecond;
// Delay until an ended gateway is restarted.
constexpr DurationUs kRestartDelay = 400 * kMillisecond;
// Limit on the time until a gateway is ready again after all faults have ended.
constexpr DurationUs kRecoveryTimeout = 12 * kSecond;
// Minimum share of the requests after the recovery that must be answered with
// 200.
constexpr double kMinServedShare = 0.9;
// Number of requests sent after the recovery.
constexpr int kRequestsAfterFaults = 60;

// Interval between the faults of a series.
constexpr DurationUs kSeriesInterval = 700 * kMillisecond;
// Share of a service's replicas, and least share of their requests, that a
// fault affects.
constexpr std::size_t kAffectedPercent = 80;
constexpr int kMinFaultPercent = 40;
// Factor on the rate of requests during a burst.
constexpr double kBurstFactor = 2.5;
// How often clients that repeat at once do so.
constexpr int kClientRetries = 3;

constexpr std::array<std::string_view, 4> kRoutes = {"unsafe", "safe", "staged",
                                                     "resumed"};
// Two plain requests to three with stages.
constexpr std::array<std::string_view, 5> kRetryRoutes = {
    "safe", "unsafe", "staged", "resumed", "resumed"};

// One soak: start, faults under load, recovery and the final checks.
class Soak {
 public:
  Soak(Loop* loop, const SoakOptions& options)
      : loop_(loop),
        options_(options),
        random_(options.seed),
        request_random_(~options.seed),
        world_(loop, WorldOptionsOf(options)) {}

  SoakReport Run() {
    if (!world_.Start()) {
      report_.violations.push_back(
          "a gateway was not ready within 10 s of its start");
      return report_;
    }
    start_ = Loop::Now();
    sending_ = true;
    RunEvery(loop_, kTimerPeriod, alive_, [this] { SendDue(); });
    RunEvery(loop_, kTimerPeriod, alive_, [this] { RestartEnded(); });
    SetCuts(options_.cut_percent);
    ScheduleNextFault();
    world_.WaitFor(options_.fault_time, [] { return false; });
    injecting_ = false;
    sending_ = false;
    EndAllFaults();
    CheckRecovery();
    world_.WaitFor(kRecoveryTimeout,
                   [this] { return world_.ledger()->open() == 0; });
    for (const auto& it : world_.ledger()->Violations()) {
      report_.violations.push_back(it);
    }
    if (world_.ledger()->open() > 0) {
      report_.violations.push_back(
          StrCat(world_.ledger()->open(), " attempts did not end"));
    }
    report_.crashes = world_.ledger()->crashes().deaths();
    report_.retry_windows = world_.ledger()->WorstRetryWindows();
    Summarize();
    return report_;
  }

 private:
  using Fault = void (Soak::*)();
  struct NamedFault {
    std::string_view name;
    Fault inject;
  };
  static const std::array<NamedFault, 15> kFaults;
  static const std::array<NamedFault, 18> kRetryFaults;
  static const std::array<NamedFault, 10> kAnswerFaults;
  static const std::array<NamedFault, 12> kCrashFaults;

  std::span<const NamedFault> Faults() const {
    switch (options_.profile) {
      case FaultProfile::kAll:
        return kFaults;
      case FaultProfile::kRetries:
        return kRetryFaults;
      case FaultProfile::kAnswers:
        return kAnswerFaults;
      case FaultProfile::kCrashes:
        return kCrashFaults;
    }
    return kFaults;
  }

  static WorldOptions WorldOptionsOf(const SoakOptions& options) {
    WorldOptions world = options.world;
    if (options.profile == FaultProfile::kAnswers) {
      world.answer_seed = options.seed;
    }
    if (options.profile == FaultProfile::kCrashes) {
      constexpr int kChatEngines = 8;
      constexpr DurationUs kLongInterval = 500 * kMillisecond;
      world.chat_engines = kChatEngines;
      world.chat_event_interval =
          options.seed % 2 == 0 ? kLongInterval : world.chat_event_interval;
    }
    return world;
  }

  std::size_t Draw(std::size_t n) {
    return static_cast<std::size_t>(random_.Below(n));
  }
  DurationUs DrawTime(DurationUs least, DurationUs most) {
    return least + static_cast<DurationUs>(
                       random_.Below(static_cast<std::uint64_t>(most - least)));
  }
  void After(DurationUs delay, std::function<void()> task) {
    RunAfter(loop_, delay, alive_, std::move(task));
  }
  void AfterFaultDuration(std::function<void()> task) {
    After(DrawTime(500 * kMillisecond, 3 * kSecond), std::move(task));
  }

  std::span<const std::string_view> Routes() const {
    return options_.profile == FaultProfile::kRetries
               ? std::span<const std::string_view>(kRetryRoutes)
               : std::span<const std::string_view>(kRoutes);
  }

  void SendDue() {
    if (!sending_) {
      return;
    }
    due_requests_ += rate_factor_ * static_cast<double>(options_.rate) *
                     static_cast<double>(kTimerPeriod) /
                     static_cast<double>(kSecond);
    for (; due_requests_ >= 1; --due_requests_) {
      const auto pick = [this](std::size_t n) {
        return static_cast<std::size_t>(request_random_.Below(n));
      };
      const auto routes = Routes();
      if (options_.profile == FaultProfile::kCrashes) {
        SendOneOfManyKinds();
        continue;
      }
      world_.Send(std::string(routes[pick(routes.size())]),
                  pick(world_.gateways().size()), client_retries_);
    }
  }

  // The gateway of the next request: any, or mostly the one to which most new
  // connections go.
  std::size_t PickGateway() {
    constexpr std::uint64_t kOthersPeriod = 10;
    const auto n = static_cast<std::size_t>(
        request_random_.Below(world_.gateways().size()));
    return busiest_gateway_ && request_random_.Below(kOthersPeriod) > 0
               ? *busiest_gateway_
               : n;
  }

  std::string_view PickChatRoute() {
    constexpr std::array<std::string_view, 3> kChatRoutes = {
        "chat-safe", "chat-unsafe", "chat-resumed"};
    return kChatRoutes[request_random_.Below(kChatRoutes.size())];
  }

  // A request to the engines without stages, like no other one. `part`: the
  // n-th crashing part; empty: it is sound, and shares what else those have.
  void SendChat(std::size_t gateway, std::optional<std::size_t> part) {
    ClientCall call;
    call.route = PickChatRoute();
    call.gateway = gateway;
    call.client_retries = client_retries_;
    call.body = StrCat("own body ", ++own_bodies_);
    const std::size_t n = part.value_or(own_bodies_ % kCrashingParts);
    const std::string name = StrCat("bad", n);
    call.prompt = StrCat("aa:500,ten", n, ":200,");
    if (part) {
      call.prompt +=
          StrCat(name, ":300,turn", request_random_.Below(3), ":40,");
      call.crash_key = StandinReplica::PartKey(name);
    } else {
      call.prompt += StrCat("doc", request_random_.Below(40), ":200,");
      call.beside = StandinReplica::PartKey(name);
    }
    call.prompt += StrCat("own", own_bodies_, ":50");
    world_.Send(call);
  }

  // One request in `kCrashingPeriod` ends replicas, on one of three routes, as
  // many have a part that ends engines, once there is one; half of the others
  // have a body of their own.
  void SendOneOfManyKinds() {
    constexpr std::uint64_t kCrashingPeriod = 30;
    constexpr std::uint64_t kChatPeriod = 5;
    constexpr std::array<std::string_view, 3> kCrashing = {"unsafe", "safe",
                                                           "resumed"};
    const std::size_t gateway = PickGateway();
    if (crashing_parts_ > 0 && request_random_.Below(kCrashingPeriod) == 0) {
      SendChat(gateway, request_random_.Below(crashing_parts_));
      return;
    }
    if (request_random_.Below(kChatPeriod) == 0) {
      SendChat(gateway, std::nullopt);
      return;
    }
    const std::uint64_t draw = request_random_.Below(kCrashingPeriod);
    if (draw == 0) {
      const auto n = request_random_.Below(kCrashing.size());
      std::string body(StandinReplica::kCrashingBody);
      body += kCrashing[n] == "resumed" ? StandinReplica::kInStream : "";
      world_.Send(std::string(kCrashing[n]), gateway, client_retries_, body);
      return;
    }
    const std::string route(kRoutes[request_random_.Below(kRoutes.size())]);
    world_.Send(
        route, gateway, client_retries_,
        draw % 2 == 0 ? kUsualBody : StrCat("own body ", ++own_bodies_));
  }

  // Restarts gateways that have ended, as the platform does.
  void RestartEnded() {
    for (auto& it : world_.gateways()) {
      if (it->Ended() && !restarting_[it.get()]) {
        restarting_[it.get()] = true;
        After(kRestartDelay, [this, gateway = it.get()] {
          restarting_[gateway] = false;
          gateway->Start();
          OnDisturbed(gateway);
        });
      }
    }
  }

  // Injects a random fault after a random interval, and so on until the end of
  // the fault time.
  void ScheduleNextFault() {
    After(DrawTime(kMinFaultInterval, kMaxFaultInterval), [this] {
      if (!injecting_) {
        return;
      }
      const auto faults = Faults();
      const NamedFault& fault = faults[Draw(faults.size())];
      report_.faults.push_back(
          StrCat((Loop::Now() - start_) / kMillisecond, " ms ", fault.name));
      (this->*fault.inject)();
      ScheduleNextFault();
    });
  }

  GatewayProcess* DrawGateway() {
    GatewayProcess* gateway =
        world_.gateways()[Draw(world_.gateways().size())].get();
    OnDisturbed(gateway);
    return gateway;
  }
  void OnDisturbed(const GatewayProcess* gateway) {
    for (std::size_t n = 0; n < world_.gateways().size(); ++n) {
      if (world_.gateways()[n].get() == gateway) {
        world_.ledger()->OnDisturbed(n, Loop::Now() + CrashJudge::kContact);
      }
    }
  }
  StandinReplica* DrawReplica() {
    return world_.replicas()[Draw(world_.replicas().size())].get();
  }

  void Kill() { DrawGateway()->Signal(SIGKILL); }
  void Terminate() { DrawGateway()->Signal(SIGTERM); }
  void Reload() { DrawGateway()->Signal(SIGHUP); }
  void Freeze() {
    GatewayProcess* gateway = DrawGateway();
    gateway->Signal(SIGSTOP);
    AfterFaultDuration([this, gateway] {
      gateway->Signal(SIGCONT);
      OnDisturbed(gateway);
    });
  }
  void KillAll() {
    for (auto& it : world_.gateways()) {
      it->Signal(SIGKILL);
      OnDisturbed(it.get());
    }
  }
  // Sets a fault of the store and ends it after a random time.
  void SetStoreFault(StandinStore::FaultMode fault_mode) {
    world_.store()->SetFaultMode(fault_mode);
    AfterFaultDuration([this] {
      world_.store()->SetFaultMode(StandinStore::FaultMode::kServing);
    });
  }
  void MakeStoreBusy() { SetStoreFault(StandinStore::FaultMode::kBusy); }
  void MakeStoreReset() { SetStoreFault(StandinStore::FaultMode::kResetting); }
  void MakeStoreUnresponsive() {
    SetStoreFault(StandinStore::FaultMode::kUnresponsive);
  }
  // Cuts the link of one gateway to the store; the others stay connected.
  void CutStoreLink() {
    const std::size_t n = Draw(options_.world.gateways);
    Relay* link = world_.store_links()[n].get();
    link->Cut();
    OnDisturbed(world_.gateways()[n].get());
    AfterFaultDuration([this, link, n] {
      link->Restore();
      OnDisturbed(world_.gateways()[n].get());
    });
  }
  void FreezeStoreLink() {
    Relay* link = world_.store_links()[Draw(options_.world.gateways)].get();
    link->Freeze();
    AfterFaultDuration([link] { link->Restore(); });
  }
  void DropStoreHistory() { world_.store()->DropHistory(); }
  void ChangeConfig() { world_.WriteConfig(); }
  void EndReplica() { world_.EndReplica(DrawReplica()); }
  // All replicas of one service end at once.
  void EndService() {
    const std::string service = DrawReplica()->service();
    for (auto& it : world_.replicas()) {
      if (it->service() == service) {
        world_.EndReplica(it.get());
      }
    }
  }
  // A prompt part ends engines from now on.
  void AddCrashingPart() {
    if (crashing_parts_ < kCrashingParts) {
      world_.AddCrashingPart(StrCat("bad", crashing_parts_++));
    }
  }
  // Many requests at once, to all gateways: with one part that ends engines, or
  // with one that is new and sound.
  void SendHerd() {
    constexpr std::size_t kHerd = 12;
    for (std::size_t n = 0; n < kHerd; ++n) {
      SendChat(n % world_.gateways().size(),
               crashing_parts_ > 0
                   ? std::optional<std::size_t>(crashing_parts_ - 1)
                   : std::nullopt);
    }
  }
  void SendMostToOneGateway() {
    busiest_gateway_ = Draw(world_.gateways().size());
    rate_factor_ = kBurstFactor;
    AfterFaultDuration([this] {
      busiest_gateway_.reset();
      rate_factor_ = 1;
    });
  }
  void CrashReplica() { world_.CrashReplica(Draw(world_.replicas().size())); }
  void LoseAnswers() { DrawReplica()->LoseNextAnswers(3); }
  void SlowReplica() {
    StandinReplica* replica = DrawReplica();
    replica->SetSlowdownFactor(6);
    AfterFaultDuration([replica] { replica->SetSlowdownFactor(1); });
  }

  // Sets `fault` at most replicas of one service and ends it later.
  void SetReplicaFault(ReplicaFault fault) {
    const std::string service = DrawReplica()->service();
    const int percent =
        kMinFaultPercent + static_cast<int>(Draw(101 - kMinFaultPercent));
    std::vector<StandinReplica*> affected;
    for (auto& it : world_.replicas()) {
      if (it->service() == service && Draw(100) < kAffectedPercent) {
        it->SetFault(fault, percent);
        affected.push_back(it.get());
      }
    }
    AfterFaultDuration([affected] {
      for (StandinReplica* it : affected) {
        it->SetFault(ReplicaFault::kNone, 0);
      }
    });
  }
  void Refuse() { SetReplicaFault(ReplicaFault::kRefuse); }
  void RefuseTooMany() { SetReplicaFault(ReplicaFault::kTooMany); }
  void RefuseLate() { SetReplicaFault(ReplicaFault::kLate); }
  void ResetRequests() { SetReplicaFault(ReplicaFault::kReset); }
  void AnswerNothing() { SetReplicaFault(ReplicaFault::kSilent); }
  void LoseInputs() { SetReplicaFault(ReplicaFault::kInputsGone); }
  void FailRequests() { SetReplicaFault(ReplicaFault::kFail); }
  // Runs a fault of a series, which ends with the injection.
  void InSeries(DurationUs delay, std::function<void()> fault) {
    After(delay, [this, fault = std::move(fault)] {
      if (injecting_) {
        fault();
      }
    });
  }
  void KillInSeries() {
    for (int n = 0; n < 6; ++n) {
      InSeries(n * kSeriesInterval, [this] { Kill(); });
    }
  }
  void KillAllInSeries() {
    for (int n = 0; n < 3; ++n) {
      InSeries(2 * n * kSeriesInterval, [this] { KillAll(); });
    }
  }
  void RestartInTurn() {
    for (std::size_t n = 0; n < world_.gateways().size(); ++n) {
      InSeries(static_cast<DurationUs>(n) * kSeriesInterval, [this, n] {
        world_.gateways()[n]->Signal(SIGTERM);
        OnDisturbed(world_.gateways()[n].get());
      });
    }
  }
  void FreezeMost() {
    for (std::size_t n = 0; n + 1 < world_.gateways().size(); ++n) {
      Freeze();
    }
  }
  void CrashReplicasInSeries() {
    for (int n = 0; n < 4; ++n) {
      InSeries(n * kSeriesInterval / 2, [this] { CrashReplica(); });
    }
  }
  void SetCuts(int percent) {
    for (auto& it : world_.replicas()) {
      it->SetCutPercent(percent);
    }
  }
  void BreakAnswersOff() {
    const std::string service = DrawReplica()->service();
    const int percent =
        kMinFaultPercent + static_cast<int>(Draw(101 - kMinFaultPercent));
    for (auto& it : world_.replicas()) {
      if (it->service() == service && Draw(100) < kAffectedPercent) {
        it->SetCutPercent(percent);
      }
    }
    AfterFaultDuration(
        [this] { SetCuts(injecting_ ? options_.cut_percent : 0); });
  }
  void SendBurst() {
    rate_factor_ = kBurstFactor;
    AfterFaultDuration([this] { rate_factor_ = 1; });
  }
  void RepeatAtOnce() {
    client_retries_ = kClientRetries;
    AfterFaultDuration([this] { client_retries_ = 0; });
  }

  // Ends all faults that still last, so that failures after it are faults of
  // the system itself.
  void EndAllFaults() {
    world_.store()->SetFaultMode(StandinStore::FaultMode::kServing);
    for (auto& it : world_.gateways()) {
      it->Signal(SIGCONT);
    }
    for (auto& it : world_.store_links()) {
      it->Restore();
    }
    for (auto& it : world_.replicas()) {
      it->SetSlowdownFactor(1);
      it->LoseNextAnswers(0);
      it->SetFault(ReplicaFault::kNone, 0);
    }
    SetCuts(0);
  }

  // Checks that all gateways become ready and answer new requests.
  void CheckRecovery() {
    constexpr int kOk = 200;
    for (std::size_t n = 0; n < world_.gateways().size(); ++n) {
      if (!world_.WaitFor(kRecoveryTimeout, [&] {
            return !world_.gateways()[n]->Ended() &&
                   world_.ReadinessStatus(n) == kOk;
          })) {
        report_.violations.push_back(
            StrCat("gateway ", n, " did not become ready after the faults"));
        return;
      }
    }
    // Replicas that gateways avoid because of earlier failures become usable
    // again through probe requests.
    world_.WaitFor(3 * kSecond, [] { return false; });
    const auto before = world_.ledger()->Outcomes();
    for (int k = 0; k < kRequestsAfterFaults; ++k) {
      world_.Send(std::string(kRoutes[static_cast<std::size_t>(k) % 4]),
                  static_cast<std::size_t>(k) % world_.gateways().size());
      world_.WaitFor(20 * kMillisecond, [] { return false; });
    }
    world_.WaitFor(kRecoveryTimeout,
                   [this] { return world_.ledger()->open() == 0; });
    int served = 0;
    for (auto [route, ends] : world_.ledger()->Outcomes()) {
      served += ends["200"];
      if (const auto it = before.find(route); it != before.end()) {
        const auto ok = it->second.find("200");
        served -= ok == it->second.end() ? 0 : ok->second;
      }
    }
    if (served < kMinServedShare * kRequestsAfterFaults) {
      report_.violations.push_back(StrCat("answered ", served, " of ",
                                          kRequestsAfterFaults,
                                          " requests after the faults"));
    }
  }

  void Summarize() {
    for (const auto& [route, ends] : world_.ledger()->Outcomes()) {
      report_.summary += StrCat(report_.summary.empty() ? "" : "; ", route);
      for (const auto& [end, n] : ends) {
        report_.summary += StrCat(" ", end, "=", n);
      }
    }
    for (const auto& [end, n] : world_.ledger()->Ends()) {
      report_.ends += StrCat(end, "=", n, " ");
    }
    std::vector<DurationUs> first = world_.first_byte_times();
    std::sort(first.begin(), first.end());
    report_.ends += StrCat(
        "client connections=", world_.connections_opened(), " first byte ms=",
        first.empty() ? 0 : first[first.size() / 2] / kMillisecond);
  }

  Loop* const loop_;
  const SoakOptions options_;
  Random random_;          // For faults only, so that a seed repeats them.
  Random request_random_;  // For requests.
  World world_;
  SoakReport report_;
  std::uint64_t own_bodies_ = 0;  // Requests with a body of their own.
  // Prompt parts that end engines: how many there may be, and are by now.
  static constexpr std::size_t kCrashingParts = 2;
  std::size_t crashing_parts_ = 0;
  std::optional<std::size_t> busiest_gateway_;
  TimeUs start_ = 0;
  // Number of requests to send now; the fraction is carried over.
  double due_requests_ = 0;
  double rate_factor_ = 1;
  int client_retries_ = 0;  // Of each request that is sent now.
  bool sending_ = false;
  bool injecting_ = true;
  std::map<GatewayProcess*, bool> restarting_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

const std::array<Soak::NamedFault, 15> Soak::kFaults = {{
    {"kill a gateway", &Soak::Kill},
    {"terminate a gateway", &Soak::Terminate},
    {"reload a gateway", &Soak::Reload},
    {"freeze a gateway", &Soak::Freeze},
    {"kill all gateways", &Soak::KillAll},
    {"the store is busy", &Soak::MakeStoreBusy},
    {"the store resets connections", &Soak::MakeStoreReset},
    {"the store does not answer", &Soak::MakeStoreUnresponsive},
    {"a gateway's link to the store is cut", &Soak::CutStoreLink},
    {"a gateway's link to the store is frozen", &Soak::FreezeStoreLink},
    {"the store drops its change history", &Soak::DropStoreHistory},
    {"the configuration changes", &Soak::ChangeConfig},
    {"a replica crashes", &Soak::CrashReplica},
    {"a replica loses answers", &Soak::LoseAnswers},
    {"a replica is slow", &Soak::SlowReplica},
}};

const std::array<Soak::NamedFault, 18> Soak::kRetryFaults = {{
    {"replicas refuse", &Soak::Refuse},
    {"replicas refuse with 429", &Soak::RefuseTooMany},
    {"replicas refuse with 408", &Soak::RefuseLate},
    {"replicas reset connections", &Soak::ResetRequests},
    {"replicas do not answer", &Soak::AnswerNothing},
    {"results are gone", &Soak::LoseInputs},
    {"replicas fail", &Soak::FailRequests},
    {"replicas crash in series", &Soak::CrashReplicasInSeries},
    {"kill a gateway", &Soak::Kill},
    {"kill gateways in series", &Soak::KillInSeries},
    {"kill all gateways", &Soak::KillAll},
    {"kill all gateways in series", &Soak::KillAllInSeries},
    {"restart gateways in turn", &Soak::RestartInTurn},
    {"freeze a gateway", &Soak::Freeze},
    {"freeze most gateways", &Soak::FreezeMost},
    {"a gateway's link to the store is cut", &Soak::CutStoreLink},
    {"burst", &Soak::SendBurst},
    {"clients repeat at once", &Soak::RepeatAtOnce},
}};

const std::array<Soak::NamedFault, 10> Soak::kAnswerFaults = {{
    {"replicas break answers off", &Soak::BreakAnswersOff},
    {"replicas crash in series", &Soak::CrashReplicasInSeries},
    {"a replica crashes", &Soak::CrashReplica},
    {"replicas reset connections", &Soak::ResetRequests},
    {"kill a gateway", &Soak::Kill},
    {"terminate a gateway", &Soak::Terminate},
    {"freeze a gateway", &Soak::Freeze},
    {"a replica is slow", &Soak::SlowReplica},
    {"a gateway's link to the store is cut", &Soak::CutStoreLink},
    {"burst", &Soak::SendBurst},
}};

const std::array<Soak::NamedFault, 12> Soak::kCrashFaults = {{
    {"a prompt part ends engines", &Soak::AddCrashingPart},
    {"a herd with one prompt part", &Soak::SendHerd},
    {"most requests go to one gateway", &Soak::SendMostToOneGateway},
    {"a replica ends", &Soak::EndReplica},
    {"a service ends", &Soak::EndService},
    {"replicas reset connections", &Soak::ResetRequests},
    {"kill a gateway", &Soak::Kill},
    {"kill all gateways", &Soak::KillAll},
    {"restart gateways in turn", &Soak::RestartInTurn},
    {"freeze a gateway", &Soak::Freeze},
    {"a gateway's link to the store is cut", &Soak::CutStoreLink},
    {"clients repeat at once", &Soak::RepeatAtOnce},
}};

}  // namespace

SoakReport RunSoak(Loop* loop, const SoakOptions& options) {
  return Soak(loop, options).Run();
}

}  // namespace acaciachute
