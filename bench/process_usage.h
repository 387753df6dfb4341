// CPU time and memory of a process, as reported by the kernel.
#ifndef ACACIACHUTE_BENCH_PROCESS_USAGE_H_
#define ACACIACHUTE_BENCH_PROCESS_USAGE_H_

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

#include "text.h"
#include "types.h"

namespace acaciachute {

// User and system time since the start of process `pid`.
inline DurationUs CpuTimeOf(int pid) {
  std::ifstream file(StrCat("/proc/", pid, "/stat"));
  std::string line;
  std::getline(file, line);
  // Fields 14 and 15 of proc(5), counted after the name in parentheses.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int n = 3; n < 14; ++n) {
    fields >> skipped;
  }
  long user = 0;
  long system = 0;
  fields >> user >> system;
  return (user + system) * kSecond / sysconf(_SC_CLK_TCK);
}

// Resident memory in kilobytes.
inline long ResidentKbOf(int pid) {
  std::ifstream file(StrCat("/proc/", pid, "/status"));
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::stol(line.substr(sizeof("VmRSS:") - 1));
    }
  }
  return 0;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_BENCH_PROCESS_USAGE_H_
