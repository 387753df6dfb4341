// Measures with real processes the time from the acceptance of a settings
// change by the table until the last entry has applied it, and the time from
// the start of an entry without settings until it is ready. The table is up,
// slow, or down right after the write.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <vector>

#include "bench/process_usage.h"
#include "tests/process/entry_group.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

constexpr DurationUs kWaitTimeout = 60 * kSecond;
constexpr int kRounds = 10;
constexpr int kMaxEntries = 120;

double Ms(DurationUs value) {
  return static_cast<double>(value) / kMillisecond;
}

void Print(int entries, const char* what, std::vector<DurationUs> times) {
  if (times.empty()) {
    std::printf("%4d  %-36s  not measured\n", entries, what);
    return;
  }
  std::sort(times.begin(), times.end());
  std::printf("%4d  %-36s  median %7.0f ms  worst %7.0f ms  (%zu runs)\n",
              entries, what, Ms(times[times.size() / 2]), Ms(times.back()),
              times.size());
}

// Time until `reached` holds, by polling. The error is the time of one round of
// polls over all entries, which is printed with the results.
DurationUs TimeUntil(EntryGroup* group, const std::function<bool()>& reached) {
  const TimeUs start = Loop::Now();
  return group->WaitFor(reached, kWaitTimeout) ? Loop::Now() - start
                                               : kWaitTimeout;
}

void MeasureChanges(EntryGroup* group, int count, const char* what) {
  std::vector<DurationUs> times;
  for (int n = 0; n < kRounds; ++n) {
    const SettingsVersion version = group->Change();
    if (version != 0) {
      times.push_back(TimeUntil(
          group, [&] { return group->CountAtVersion(version) == count; }));
    }
  }
  Print(count, what, times);
}

void MeasureDownAfterWrite(EntryGroup* group, int count) {
  std::vector<DurationUs> times;
  int complete = 0;
  for (int n = 0; n < 3; ++n) {
    const SettingsVersion version = group->Change();
    group->InjectFaults(R"({"down":true})");
    const TimeUs until = Loop::Now() + 3 * kSecond;
    group->WaitFor([&] { return Loop::Now() >= until; }, kWaitTimeout);
    complete += group->CountAtVersion(version) == count ? 1 : 0;
    group->InjectFaults(R"({"down":false})");
    times.push_back(TimeUntil(
        group, [&] { return group->CountAtVersion(version) == count; }));
  }
  std::printf(
      "%4d  down right after the write: all entries had it during the outage in"
      " %d of 3\n",
      count, complete);
  Print(count, "  from the end of the outage", times);
}

void MeasureRestart(EntryGroup* group, int count, const char* what) {
  std::vector<DurationUs> times;
  for (int n = 0; n < 5; ++n) {
    const int victim = n % count;
    group->entries[victim]->Signal(SIGKILL);
    group->entries[victim]->Wait();
    const TimeUs start = Loop::Now();
    group->StartEntry(victim);
    group->WaitFor([&] { return group->Ready(victim); }, kWaitTimeout);
    times.push_back(Loop::Now() - start);
  }
  Print(count, what, times);
}

void Measure(int count) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, count);
  if (!group.WaitFor([&] { return group.AllReady(); }, kWaitTimeout)) {
    std::printf("%4d  the entries were not ready within 60 s\n", count);
    return;
  }
  const TimeUs polled = Loop::Now();
  group.CountAtVersion(0);
  std::printf("%4d  one round of polls takes %.0f ms\n", count,
              Ms(Loop::Now() - polled));
  MeasureChanges(&group, count, "change, table up");
  group.InjectFaults(R"({"delay_ms":500})");
  MeasureChanges(&group, count, "change, table delays by 500 ms");
  group.InjectFaults(R"({"delay_ms":0})");
  MeasureDownAfterWrite(&group, count);
  MeasureRestart(&group, count, "start until ready, table up");
  group.InjectFaults(R"({"down":true})");
  MeasureRestart(&group, count, "start until ready, table down");
  group.InjectFaults(R"({"down":false})");

  const TimeUs from = Loop::Now();
  DurationUs cpu = 0;
  long kb = 0;
  for (const auto& it : group.entries) {
    cpu -= CpuTimeOf(it->pid());
  }
  group.WaitFor([&] { return Loop::Now() >= from + 5 * kSecond; },
                kWaitTimeout);
  for (const auto& it : group.entries) {
    cpu += CpuTimeOf(it->pid());
    kb = std::max(kb, ResidentKbOf(it->pid()));
  }
  const auto share = static_cast<double>(cpu) / count / (Loop::Now() - from);
  std::printf(
      "%4d  idle: %.2f%% of a core per entry, largest %ld KB resident\n", count,
      share * 100, kb);
}

}  // namespace
}  // namespace acaciachute

// The arguments are numbers of entries; the default is the sizes of today's
// deployments and 60.
int main(int argc, char** argv) {
  std::vector<int> counts = {2, 3, 10, 60};
  if (argc > 1) {
    counts.clear();
    for (int n = 1; n < argc; ++n) {
      counts.push_back(std::atoi(argv[n]));
    }
  }
  for (const int it : counts) {
    acaciachute::Measure(std::clamp(it, 1, acaciachute::kMaxEntries));
  }
  return 0;
}
