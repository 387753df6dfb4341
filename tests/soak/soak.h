// Draws faults from a seed and plays them on a world of real gateways.
#ifndef ACACIACHUTE_TESTS_SOAK_SOAK_H_
#define ACACIACHUTE_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tests/soak/world.h"
#include "transport/loop.h"

namespace acaciachute {

struct SoakOptions {
  std::uint64_t seed = 1;
  DurationUs time = 12 * kSecond;  // Of faults; a calm end follows.
  int rate = 40;                   // Requests a second.
  WorldOptions world;
};

struct SoakReport {
  std::string summary;              // How attempts ended, by route.
  std::vector<std::string> faults;  // In order, with their times.
  std::vector<std::string> broken;  // Promises; empty when all held.
};

SoakReport RunSoak(Loop* loop, const SoakOptions& options);

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_SOAK_H_
