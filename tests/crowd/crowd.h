// Clients that do not behave: each connects, writes what its plan says, reads
// or does not read, and may connect again whenever its connection ends.
#ifndef ACACIACHUTE_TESTS_CROWD_CROWD_H_
#define ACACIACHUTE_TESTS_CROWD_CROWD_H_

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "transport/loop.h"
#include "types.h"

namespace acaciachute {

struct CrowdPlan {
  std::string name;
  std::size_t clients = 1;
  std::string begin;  // Written first; empty: nothing is.
  // Written after it again and again, as fast as it is read; empty: nothing.
  std::string endless;
  // Pause between two times of `endless`; zero: none.
  DurationUs pause = 0;
  bool reads = true;
  // Resets each connection soon after `begin` is with the kernel.
  bool resets = false;
  // Opens another connection when one has ended, until `Crowd::Rest`.
  bool again = true;
};

// For GoogleTest.
inline void PrintTo(const CrowdPlan& plan, std::ostream* out) {
  *out << plan.name;
}

class Crowd {
 public:
  Crowd(Loop* loop, const Address& address, const CrowdPlan& plan);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Opens no further connections. Those that are open stay, and what is begun
  // on them goes on.
  void Rest();
  // Connections that were opened.
  std::size_t opened() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// What a process holds: sampled every few milliseconds.
class ProcessWatch {
 public:
  // `ports`: of the listeners whose unread bytes count.
  ProcessWatch(Loop* loop, int pid, std::vector<std::uint16_t> ports);
  ~ProcessWatch();
  ProcessWatch(const ProcessWatch&) = delete;
  ProcessWatch& operator=(const ProcessWatch&) = delete;

  // Highest resident memory together with the bytes that the kernel had
  // received on connections to the ports and the process had not read.
  std::uint64_t peak_bytes() const;
  std::size_t peak_descriptors() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_CROWD_CROWD_H_
