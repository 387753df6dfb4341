// Benchmarks a change of the configuration by the number of its routes: on a
// gateway that receives the changed parts from another one, and on one that
// receives the whole row from the store. The first should be constant, the
// second grow linearly.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "platform/config.h"
#include "text.h"

#include "coordination/tables/split_row.h"

namespace acaciachute {
namespace {

// One host name for all routes: the most expensive case of a look-up.
std::string MakeConfig(std::int64_t version, std::int64_t routes) {
  std::string json = StrCat("{\"version\":", version, ",\"routes\":[");
  for (std::int64_t n = 0; n < routes; ++n) {
    // The timeout of one route is that of the version.
    json += StrCat(n == 0 ? "" : ",", "{\"name\":\"route-", n,
                   "\",\"host\":\"app.example\",\"prefix\":\"/area-", n,
                   "/\",\"kind\":\"safe\",\"timeout_ms\":",
                   n == routes / 2 ? version : 1000,
                   ",\"target_latency_ms\":120,\"priority\":2,"
                   "\"max_attempts\":2,\"service\":\"app\"}");
  }
  return json + "],\"services\":[{\"name\":\"app\",\"max_connections\":72}]}";
}

struct Gateway {
  platform::ConfigReader reader;
  SplitRow row{[this](const std::vector<RowPart>& changes) {
    reader.Apply(changes);
    benchmark::DoNotOptimize(reader.Read());
  }};
  void ReadWhole(std::uint64_t version, const std::string& json) {
    row.Replace(version, *platform::SplitConfig(json));
  }
};

void BM_ChangedParts(benchmark::State& state) {
  Gateway relay;
  Gateway follower;
  std::uint64_t version = 1;
  std::size_t bytes = 0;
  const auto change = [&] {
    ++version;
    relay.ReadWhole(version, MakeConfig(static_cast<std::int64_t>(version),
                                        state.range(0)));
  };
  const auto follow = [&] {
    auto result = SplitRow::PageResult::kIncomplete;
    while (result == SplitRow::PageResult::kIncomplete) {
      const auto page = relay.row.PageAfter(follower.row.position());
      for (const RowPart& it : page->parts) {
        bytes += it.name.size() + it.text.size();
      }
      result = follower.row.ApplyPage(*page);
    }
  };
  change();
  follow();
  bytes = 0;
  for (auto _ : state) {
    state.PauseTiming();
    change();
    state.ResumeTiming();
    follow();
  }
  state.counters["bytes"] = benchmark::Counter(
      static_cast<double>(bytes), benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_ChangedParts)
    ->Arg(50)
    ->Arg(1450)
    ->Arg(4250)
    ->Arg(8450)
    ->Iterations(20);

void BM_WholeRow(benchmark::State& state) {
  Gateway gateway;
  std::uint64_t version = 1;
  std::size_t bytes = 0;
  for (auto _ : state) {
    state.PauseTiming();
    ++version;
    const std::string json =
        MakeConfig(static_cast<std::int64_t>(version), state.range(0));
    bytes += json.size();
    state.ResumeTiming();
    gateway.ReadWhole(version, json);
  }
  state.counters["bytes"] = benchmark::Counter(
      static_cast<double>(bytes), benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_WholeRow)
    ->Arg(50)
    ->Arg(1450)
    ->Arg(4250)
    ->Arg(8450)
    ->Iterations(20);

// A look-up of a path without a route.
void BM_FindNoRoute(benchmark::State& state) {
  const auto config = *platform::ParseConfig(MakeConfig(1, state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(config->FindRoute("app.example", "/area-none/x"));
  }
}
BENCHMARK(BM_FindNoRoute)
    ->Arg(50)
    ->Arg(1450)
    ->Arg(4250)
    ->Arg(8450)
    ->Iterations(20);

}  // namespace
}  // namespace acaciachute

BENCHMARK_MAIN();
