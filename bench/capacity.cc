// Measures the slopes used in docs/CAPACITY.md: the cost of one more replica,
// account, request in progress or sidecar to an entry, and the cost of control
// traffic to an idle node. Each slope has three or more points; at most 100
// sidecars are started.
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/process_usage.h"
#include "coordination/interface/entry.h"
#include "protocol/bearer.h"
#include "protocol/frame.h"
#include "tests/process/harness.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr char kFrameKey[] = "0123456789abcdef0123456789abcdef";
// Time over which an idle deployment is measured.
constexpr DurationUs kIdleTime = 5 * kSecond;
constexpr int kLookups = 2000;
constexpr int kPoolSize = 24;

struct Point {
  double x;
  double y;
};

// Fits a line by least squares; prints the points, its slope and its value at
// zero.
void PrintSlope(const char* what,
                const char* unit,
                const std::vector<Point>& points) {
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (const auto& it : points) {
    sx += it.x;
    sy += it.y;
    sxx += it.x * it.x;
    sxy += it.x * it.y;
  }
  const auto n = static_cast<double>(points.size());
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  std::printf("%-46s", what);
  for (const auto& it : points) {
    std::printf("  %g: %.1f", it.x, it.y);
  }
  std::printf("  | slope %.4g %s, at zero %.4g\n", slope, unit,
              (sy - slope * sx) / n);
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

// Drops all output.
struct NullOutput : EntryOutput {
  void Send(const NodeId&, const Message&) override {}
  void Answer(CallerHandle, const CallerAnswer&) override {}
  void Stream(CallerHandle, std::string_view) override {}
  void CallStore(StoreTicket, std::vector<StoreOp>) override {}
  void Export(const Span&) override {}
};

std::string BranchJson(int replicas, int accounts) {
  Json list = Json::array();
  for (int n = 0; n < replicas; ++n) {
    list.push_back({{"node", StrCat("sidecar-", n)},
                    {"ip", "127.0.0.1"},
                    {"port", 7000},
                    {"failure_domain", StrCat("domain-", n % 8)}});
  }
  Json names = Json::object();
  for (int n = 0; n < accounts; ++n) {
    const std::string name = StrCat("account-", n);
    names[name] = {
        {"token_salt", "0123456789abcdef"},
        {"token_hash", TokenHash("0123456789abcdef", name + ".secret")}};
  }
  return Json{
      {"owner", "platform"},
      {"pools", {{"model", {{"kind", "generate"}, {"replicas", list}}}}},
      {"accounts", names},
      {"events",
       {{"round",
         {{"stages", {{{"pool", "model"}}}}, {"accounts", {"account-0"}}}}}}}
      .dump();
}

SettingsPtr MakeSettings(int replicas, int accounts) {
  return Settings().With(
      *ParseBranch("platform", 1, BranchJson(replicas, accounts)));
}

// An entry core that has received a heartbeat from every replica.
struct Core {
  explicit Core(const SettingsPtr& settings) : settings_ptr(settings) {
    entry.OnSettings(kSecond, settings);
    Heartbeat heartbeat;
    heartbeat.role = Role::kSidecar;
    heartbeat.state = NodeState::kReady;
    heartbeat.load.limit = 4;
    for (const Replica* it : entry.replicas().All()) {
      entry.OnHeartbeat(kSecond, it->address.node, 1, heartbeat);
    }
  }
  CallerRequest Request(CallerHandle handle) const {
    CallerRequest request;
    request.handle = handle;
    request.event = "round";
    request.account = "account-0";
    request.body = std::string(1000, 'x');
    return request;
  }

  SettingsPtr settings_ptr;
  NullOutput output;
  Random random{1};
  Metrics metrics;
  Entry entry{{"entry-0", 1, 1 << 20}, &output, &random, &metrics};
};

void MeasureReplicas() {
  std::vector<Point> memory;
  for (const int count : {100, 500, 1500}) {
    const double before = HeapBytes();
    const Core core(MakeSettings(count, 1));
    memory.push_back({static_cast<double>(count), HeapBytes() - before});
  }
  PrintSlope("entry memory by replicas (B)", "B/replica", memory);
}

void MeasureAccounts() {
  std::vector<Point> memory;
  std::vector<Point> lookup;
  for (const int count : {1000, 11000, 33000}) {
    const double before = HeapBytes();
    const auto settings = MakeSettings(1, count);
    memory.push_back({static_cast<double>(count), HeapBytes() - before});
    const auto start = Loop::Now();
    const int rounds = std::max(1, kLookups * 100 / count);
    for (int n = 0; n < rounds; ++n) {
      AccountOfToken(*settings, StrCat("account-", n % count, ".secret"));
    }
    lookup.push_back({static_cast<double>(count),
                      static_cast<double>(Loop::Now() - start) / rounds});
  }
  PrintSlope("entry memory by accounts (B)", "B/account", memory);
  PrintSlope("token look-up by accounts (us)", "us/account", lookup);
}

void MeasureRequests() {
  std::vector<Point> memory;
  std::vector<Point> time;
  for (const int count : {256, 1024, 4096}) {
    Core core(MakeSettings(64, 1));
    const double before = HeapBytes();
    const auto start = Loop::Now();
    for (int n = 0; n < count; ++n) {
      core.entry.OnRequest(kSecond, core.Request(n + 1));
    }
    time.push_back(
        {static_cast<double>(count), static_cast<double>(Loop::Now() - start)});
    memory.push_back({static_cast<double>(count), HeapBytes() - before});
    std::printf("  requests in progress of %d offered: %zu\n", count,
                core.entry.InProgress());
  }
  PrintSlope("entry memory by requests in progress (B)", "B/request", memory);
  PrintSlope("core time to admit requests (us)", "us/request", time);
}

void MeasureFrames() {
  const auto size = [](const Message& message) {
    return EncodeFrame({"entry-000", 1, 1, message}, kFrameKey).size();
  };
  StageCall call;
  call.account = "account-00000";
  call.path = "/v1/run";
  call.traceparent = std::string(55, '0');
  StageChunk chunk;
  std::printf(
      "frames without bodies (B): heartbeat %zu, stage call %zu, chunk %zu, "
      "failure %zu, order %zu\n",
      size(Heartbeat{}), size(call), size(chunk), size(StageFailure{}),
      size(ControlOrder{}));
}

// Sum of all series of counter `name` in the Prometheus text format.
double SumOf(const std::string& text, const std::string& name) {
  double sum = 0;
  for (const auto& line : Split(text, '\n')) {
    if (line.starts_with(name + "{")) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

// Measures an idle deployment of one entry and `count` sidecars and appends one
// point to each series.
void MeasureIdle(int count,
                 std::vector<Point>* cpu,
                 std::vector<Point>* bytes,
                 std::vector<Point>* entry_memory,
                 std::vector<Point>* sidecar_cpu) {
  // No pool is larger than the subset of replicas that an entry uses, so the
  // entry uses all replicas.
  std::vector<PoolSpec> pools;
  for (int left = count; left > 0; left -= kPoolSize) {
    pools.push_back(
        {StrCat("model", pools.size()), "generate", std::min(left, kPoolSize)});
  }
  Deployment deployment(ACACIACHUTE_BIN_DIR, pools, 1);
  if (!deployment.WaitReady()) {
    std::printf("  %d sidecars: not ready, not measured\n", count);
    return;
  }
  const Process& entry = *deployment.entries[0];
  const Process& sidecar = *deployment.sidecars.begin()->second;
  const auto frames = [&](const Process& process) {
    return SumOf(deployment.Get(process.url() + "/metrics").body,
                 "acaciachute_frame_bytes_total");
  };
  const double bytes_before = frames(entry);
  const auto cpu_before = CpuTimeOf(entry.pid());
  const auto sidecar_before = CpuTimeOf(sidecar.pid());
  const auto start = Loop::Now();
  deployment.WaitFor([] { return false; }, kIdleTime);
  const auto took = static_cast<double>(Loop::Now() - start);
  const auto x = static_cast<double>(count);
  const auto percent = [&](int pid, DurationUs before) {
    return 100.0 * static_cast<double>(CpuTimeOf(pid) - before) / took;
  };
  cpu->push_back({x, percent(entry.pid(), cpu_before)});
  sidecar_cpu->push_back({x, percent(sidecar.pid(), sidecar_before)});
  bytes->push_back({x, (frames(entry) - bytes_before) * kSecond / took});
  entry_memory->push_back({x, static_cast<double>(ResidentKbOf(entry.pid()))});
  std::printf("  %d sidecars: resident entry %ld KB, sidecar %ld KB\n", count,
              ResidentKbOf(entry.pid()), ResidentKbOf(sidecar.pid()));
}

int Main() {
  MeasureFrames();
  MeasureReplicas();
  MeasureAccounts();
  MeasureRequests();
  std::vector<Point> cpu;
  std::vector<Point> bytes;
  std::vector<Point> memory;
  std::vector<Point> sidecar_cpu;
  for (const int count : {8, 24, 48, 96}) {
    MeasureIdle(count, &cpu, &bytes, &memory, &sidecar_cpu);
  }
  PrintSlope("idle entry by sidecars (% of a core)", "%/sidecar", cpu);
  PrintSlope("idle entry by sidecars (frame B/s, both ways)", "B/s/sidecar",
             bytes);
  PrintSlope("idle entry by sidecars (resident KB)", "KB/sidecar", memory);
  PrintSlope("idle sidecar, one entry (% of a core)", "%/sidecar", sidecar_cpu);
  return 0;
}

}  // namespace
}  // namespace acaciachute

int main() {
  return acaciachute::Main();
}
