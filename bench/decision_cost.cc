// Benchmarks the cost of single load decisions, at the size of today's larger
// deployment and at the target size.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <string>

#include "coordination/admission/load_control.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr int kStages = 4;
// Calls in progress at each replica, which has four slots.
constexpr std::uint32_t kCallsInProgress = 3;

// Settings with `accounts` accounts and one event over four pools of `replicas`
// replicas each.
SettingsPtr MakeSettings(int replicas, int accounts) {
  Branch branch;
  branch.name = "bench";
  branch.version = 1;
  for (int stage = 0; stage < kStages; ++stage) {
    const std::string name = StrCat("pool-", stage);
    for (int n = 0; n < replicas; ++n) {
      branch.pools[name].replicas.push_back(
          {StrCat(name, "-", n), "127.0.0.1", 7000, StrCat("domain-", n % 8)});
    }
    branch.events["round"].stages.push_back({name, "/v1/run"});
  }
  for (int n = 0; n < accounts; ++n) {
    branch.accounts[StrCat("account-", n)].share = 1 + n % 3;
  }
  return Settings().With(std::move(branch));
}

struct Fixture {
  Fixture(int replica_count, int account_count)
      : random(1),
        settings(MakeSettings(replica_count, account_count)),
        control("entry-1", &replicas, &random) {
    replicas.Apply(*settings);
    control.OnSettings(settings);
    for (Replica* it : replicas.All()) {
      Report(it);
    }
    for (int n = 0; n < account_count; ++n) {
      accounts.push_back(StrCat("account-", n));
    }
  }

  void Report(Replica* replica) {
    replica->incarnation = 1;
    replica->state = NodeState::kReady;
    replica->load = {1, kCallsInProgress, 1, 4, 600'000};
    control.OnReport(replica);
  }

  Random random;
  SettingsPtr settings;
  ReplicaTable replicas;
  LoadControl control;
  std::vector<std::string> accounts;
};

// Time of one admission of a request and one choice of a replica.
void AdmitAndChoose(benchmark::State& state) {
  Fixture fixture(static_cast<int>(state.range(0)),
                  static_cast<int>(state.range(1)));
  const Event& event = *fixture.settings->FindEvent("round");
  TimeUs now = kSecond;
  std::uint64_t refused = 0;
  for (auto unused : state) {
    const auto& account =
        fixture.accounts[fixture.random.Below(fixture.accounts.size())];
    RequestLoad load;
    const auto decision =
        fixture.control.Admit(now, "round", event, account,
                              CallerClass::kPatient, 5 * kSecond, &load);
    refused += decision.reason != Refusal::kNone;
    Replica* replica =
        fixture.control.Choose(now, fixture.settings, event.stages[0].pool, {},
                               CallerClass::kPatient, true);
    benchmark::DoNotOptimize(replica);
    fixture.control.OnRequestEnd(&load);
    ++now;
  }
  state.counters["refused"] = static_cast<double>(refused);
}

// Time of an admission, a choice, and the accounting of the start and end of
// the attempt.
void AttemptCounts(benchmark::State& state) {
  Fixture fixture(static_cast<int>(state.range(0)),
                  static_cast<int>(state.range(1)));
  const Event& event = *fixture.settings->FindEvent("round");
  for (auto unused : state) {
    RequestLoad load;
    fixture.control.Admit(kSecond, "round", event, fixture.accounts[0],
                          CallerClass::kUrgent, 5 * kSecond, &load);
    Replica* replica =
        fixture.control.Choose(kSecond, fixture.settings, event.stages[0].pool,
                               {}, CallerClass::kUrgent, true);
    if (load.pipeline != nullptr) {
      fixture.control.OnAttemptStart(&load, replica);
      fixture.control.OnAttemptEnd(kSecond, &load, replica,
                                   AttemptEnd::kAnswered, 600'000);
    }
    fixture.control.OnRequestEnd(&load);
  }
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Heap growth per account after one request of each account; this memory is
// kept until the account's credits are restored. The account names in the
// settings are not included.
void AccountMemory(benchmark::State& state) {
  Fixture fixture(static_cast<int>(state.range(0)),
                  static_cast<int>(state.range(1)));
  const Event& event = *fixture.settings->FindEvent("round");
  const std::size_t before = HeapBytes();
  for (auto unused : state) {
    for (const auto& account : fixture.accounts) {
      RequestLoad load;
      fixture.control.Admit(kSecond, "round", event, account,
                            CallerClass::kUrgent, 5 * kSecond, &load);
      fixture.control.OnRequestEnd(&load);
    }
  }
  state.counters["bytes"] = static_cast<double>(HeapBytes() - before) /
                            static_cast<double>(fixture.accounts.size());
}

// Time to apply the load report of one heartbeat.
void TakeReport(benchmark::State& state) {
  Fixture fixture(static_cast<int>(state.range(0)),
                  static_cast<int>(state.range(1)));
  const auto all = fixture.replicas.All();
  Replica* replica = *std::find_if(all.begin(), all.end(),
                                   [](Replica* it) { return it->in_subset; });
  for (auto unused : state) {
    fixture.Report(replica);
  }
  state.counters["replica_bytes"] = sizeof(Replica);
}

// Size of today's larger deployment, then the target size.
void Sizes(benchmark::internal::Benchmark* it) {
  it->ArgNames({"replicas", "accounts"})->Args({18, 5})->Args({1500, 33'000});
}
BENCHMARK(AdmitAndChoose)->Apply(Sizes);
BENCHMARK(AttemptCounts)->Apply(Sizes);
BENCHMARK(AccountMemory)->Apply(Sizes)->Iterations(1);
BENCHMARK(TakeReport)->Apply(Sizes);

}  // namespace
}  // namespace acaciachute

BENCHMARK_MAIN();
