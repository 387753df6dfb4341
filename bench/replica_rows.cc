// Benchmarks the replica directory by number of replicas: a changed row, a full
// load, a tick and a look-up. Costs should be constant or grow at most
// linearly.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "state/replica_directory.h"
#include "text.h"

namespace acaciachute {
namespace {

struct NullWatcher : DirectoryWatcher {
  void OnReplica(const ReplicaEntry&, DirectoryChange) override {}
};

std::vector<ReplicaEntry> MakeEntries(std::int64_t n) {
  std::vector<ReplicaEntry> entries;
  entries.reserve(static_cast<std::size_t>(n));
  for (std::int64_t k = 0; k < n; ++k) {
    ReplicaEntry entry;
    entry.id = {StrCat("replica-", k), 1};
    entry.service = StrCat("service-", k % 5);
    entry.address = {StrCat("10.", k / 62500, ".", k / 250 % 250, ".", k % 250),
                     8080};
    entry.domain = StrCat("domain-", k % 4);
    entries.push_back(entry);
  }
  return entries;
}

// Time of one changed row.
void BM_RowChanged(benchmark::State& state) {
  NullWatcher watcher;
  ReplicaDirectory directory(&watcher);
  auto entries = MakeEntries(state.range(0));
  directory.Replace(0, entries, {});
  std::size_t n = 0;
  for (auto _ : state) {
    ReplicaEntry& entry = entries[n++ % entries.size()];
    ++entry.orders;
    directory.Put(entry);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_RowChanged)->Arg(300)->Arg(3000)->Arg(30000);

// Time of a load of all rows, as after a start or when the store has dropped
// its change history; items are rows.
void BM_Start(benchmark::State& state) {
  const auto entries = MakeEntries(state.range(0));
  for (auto _ : state) {
    NullWatcher watcher;
    ReplicaDirectory directory(&watcher);
    directory.Replace(0, entries, {});
    benchmark::DoNotOptimize(directory.size());
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BM_Start)->Arg(300)->Arg(3000)->Arg(30000);

void BM_Tick(benchmark::State& state) {
  NullWatcher watcher;
  ReplicaDirectory directory(&watcher);
  directory.Replace(0, MakeEntries(state.range(0)), {});
  TimeUs now = 0;
  for (auto _ : state) {
    directory.OnTick(now += 10 * kMillisecond);
  }
}
BENCHMARK(BM_Tick)->Arg(300)->Arg(3000)->Arg(30000);

void BM_MakerOf(benchmark::State& state) {
  NullWatcher watcher;
  ReplicaDirectory directory(&watcher);
  directory.Replace(0, MakeEntries(state.range(0)), {});
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        directory.ProducerOf("10.0.1.17:8080/5c1e07a2e440"));
  }
}
BENCHMARK(BM_MakerOf)->Arg(300)->Arg(3000)->Arg(30000);

}  // namespace
}  // namespace acaciachute

BENCHMARK_MAIN();
