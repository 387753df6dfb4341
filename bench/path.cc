// Measures the latency, CPU time and memory that entry and sidecar add to a
// call, compared with direct calls to the stand-in upstream in the same run.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "bench/process_usage.h"
#include "tests/process/harness.h"

namespace acaciachute {
namespace {

constexpr int kSlots = 1024;  // Enough that no call is queued.
// One row of the results; `calls` is such that a row takes a few seconds.
struct Row {
  int in_flight;
  int calls;
};
constexpr Row kRows[] = {{1, 400}, {32, 6400}, {256, 12800}};
constexpr int kServiceMs = 5;

struct LoadResult {
  std::vector<DurationUs> latencies;
  DurationUs elapsed = 0;
  int failed = 0;

  DurationUs Quantile(double q) {
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(
        q * static_cast<double>(latencies.size() - 1))];
  }
};

// Keeps `in_flight` calls in progress until `total` calls have ended.
class Load {
 public:
  Load(HttpRequest request, int in_flight, int total)
      : request_(std::move(request)), in_flight_(in_flight), left_(total) {}

  LoadResult Run() {
    const TimeUs start = Loop::Now();
    for (int n = 0; n < in_flight_; ++n) {
      Next();
    }
    loop_.Run();
    result_.elapsed = Loop::Now() - start;
    return std::move(result_);
  }

 private:
  void Next() {
    if (left_ == 0) {
      if (open_ == 0) {
        loop_.Quit();
      }
      return;
    }
    --left_;
    ++open_;
    const TimeUs sent = Loop::Now();
    client_.Call(request_, [this, sent](const HttpResult& result) {
      --open_;
      result_.latencies.push_back(Loop::Now() - sent);
      result_.failed += result.status == 200 && result.ended() ? 0 : 1;
      Next();
    });
  }

  const HttpRequest request_;
  const int in_flight_;
  int left_;
  int open_ = 0;
  Loop loop_;
  HttpClient client_{0};
  LoadResult result_;
};

void Measure(Deployment* deployment, const Row& row) {
  const std::string body = R"({"order":"bench"})";
  HttpRequest direct;
  direct.method = "POST";
  direct.url = deployment->upstreams.begin()->second->url() + "/v1/run";
  direct.body = body;
  direct.repeatable = true;
  HttpRequest through = deployment->EventRequest(0, body);
  through.repeatable = true;
  Load(through, row.in_flight, row.calls / 4).Run();  // Opens connections.
  LoadResult base = Load(direct, row.in_flight, row.calls).Run();
  const int entry = deployment->entries[0]->pid();
  const int sidecar = deployment->sidecars.begin()->second->pid();
  const DurationUs entry_before = CpuTimeOf(entry);
  const DurationUs sidecar_before = CpuTimeOf(sidecar);
  LoadResult path = Load(through, row.in_flight, row.calls).Run();
  const double entry_cpu =
      static_cast<double>(CpuTimeOf(entry) - entry_before) / row.calls;
  const double sidecar_cpu =
      static_cast<double>(CpuTimeOf(sidecar) - sidecar_before) / row.calls;
  const DurationUs base_p50 = base.Quantile(0.5);
  const DurationUs path_p50 = path.Quantile(0.5);
  std::printf("%9d %10ld %10ld %9ld %7.2f %10ld %10ld %9.0f %9.0f %8.0f %6d\n",
              row.in_flight, base_p50, path_p50, path_p50 - base_p50,
              static_cast<double>(path_p50) / static_cast<double>(base_p50),
              base.Quantile(0.99), path.Quantile(0.99), entry_cpu, sidecar_cpu,
              1e6 / (entry_cpu + sidecar_cpu), path.failed + base.failed);
}

int Main() {
  Deployment deployment(ACACIACHUTE_BIN_DIR,
                        {{"generators", "generate", 1, kServiceMs, kSlots}}, 1);
  if (!deployment.WaitReady()) {
    std::fprintf(stderr, "the deployment was not ready in time\n");
    return 1;
  }
  std::printf("One stage of %d ms; times in us, CPU time in us per request.\n",
              kServiceMs);
  std::printf("%9s %10s %10s %9s %7s %10s %10s %9s %9s %8s %6s\n", "in flight",
              "direct p50", "path p50", "added", "ratio", "direct p99",
              "path p99", "entry", "sidecar", "rps/core", "failed");
  for (const Row& it : kRows) {
    Measure(&deployment, it);
  }
  std::printf("resident: entry %ld KB, sidecar %ld KB\n",
              ResidentKbOf(deployment.entries[0]->pid()),
              ResidentKbOf(deployment.sidecars.begin()->second->pid()));
  return 0;
}

}  // namespace
}  // namespace acaciachute

int main() {
  return acaciachute::Main();
}
