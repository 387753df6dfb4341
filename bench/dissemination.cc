// Measures with real processes how long a change of settings takes from its
// acceptance by the table until the last entry has it, and how long an entry
// that starts with nothing takes until it is ready. The table is up, slow, or
// down just after the write.
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

constexpr DurationUs kPatience = 60 * kSecond;
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

// Times between two events, polled; a round of polls over all entries is the
// error of the measurement and is printed with it.
DurationUs TimeUntil(EntryGroup* group, const std::function<bool()>& reached) {
  const TimeUs start = Loop::Now();
  return group->WaitFor(reached, kPatience) ? Loop::Now() - start : kPatience;
}

void Changes(EntryGroup* group, int count, const char* what) {
  std::vector<DurationUs> times;
  for (int n = 0; n < kRounds; ++n) {
    const SettingsVersion version = group->Change();
    if (version != 0) {
      times.push_back(
          TimeUntil(group, [&] { return group->Having(version) == count; }));
    }
  }
  Print(count, what, times);
}

void DownAfterTheWrite(EntryGroup* group, int count) {
  std::vector<DurationUs> times;
  int had = 0;
  for (int n = 0; n < 3; ++n) {
    const SettingsVersion version = group->Change();
    group->Fault(R"({"down":true})");
    const TimeUs until = Loop::Now() + 3 * kSecond;
    group->WaitFor([&] { return Loop::Now() >= until; }, kPatience);
    had += group->Having(version) == count ? 1 : 0;
    group->Fault(R"({"down":false})");
    times.push_back(
        TimeUntil(group, [&] { return group->Having(version) == count; }));
  }
  std::printf(
      "%4d  down just after the write: all had it during the outage in"
      " %d of 3\n",
      count, had);
  Print(count, "  from the table's return", times);
}

void Restart(EntryGroup* group, int count, const char* what) {
  std::vector<DurationUs> times;
  for (int n = 0; n < 5; ++n) {
    const int victim = n % count;
    group->entries[victim]->Signal(SIGKILL);
    group->entries[victim]->Wait();
    const TimeUs start = Loop::Now();
    group->StartEntry(victim);
    group->WaitFor([&] { return group->Ready(victim); }, kPatience);
    times.push_back(Loop::Now() - start);
  }
  Print(count, what, times);
}

void Measure(int count) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, count);
  if (!group.WaitFor([&] { return group.AllReady(); }, kPatience)) {
    std::printf("%4d  the entries did not get ready\n", count);
    return;
  }
  const TimeUs polled = Loop::Now();
  group.Having(0);
  std::printf("%4d  one round of polls takes %.0f ms\n", count,
              Ms(Loop::Now() - polled));
  Changes(&group, count, "change, table up");
  group.Fault(R"({"delay_ms":500})");
  Changes(&group, count, "change, table takes 500 ms");
  group.Fault(R"({"delay_ms":0})");
  DownAfterTheWrite(&group, count);
  Restart(&group, count, "start until ready, table up");
  group.Fault(R"({"down":true})");
  Restart(&group, count, "start until ready, table down");
  group.Fault(R"({"down":false})");

  const TimeUs from = Loop::Now();
  DurationUs cpu = 0;
  long kb = 0;
  for (const auto& it : group.entries) {
    cpu -= CpuTimeOf(it->pid());
  }
  group.WaitFor([&] { return Loop::Now() >= from + 5 * kSecond; }, kPatience);
  for (const auto& it : group.entries) {
    cpu += CpuTimeOf(it->pid());
    kb = std::max(kb, ResidentKbOf(it->pid()));
  }
  const auto share = static_cast<double>(cpu) / count / (Loop::Now() - from);
  std::printf("%4d  idle: %.2f%% of a core an entry, largest %ld KB resident\n",
              count, share * 100, kb);
}

}  // namespace
}  // namespace acaciachute

// Arguments: numbers of entries; by default today's sizes and sixty.
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
