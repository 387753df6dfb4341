// A source of random numbers that is passed in as a dependency, so that a run
// can be reproduced from its seed.
#ifndef ACACIACHUTE_SRC_STATE_RANDOM_H_
#define ACACIACHUTE_SRC_STATE_RANDOM_H_

#include <cstdint>
#include <random>

namespace acaciachute {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() { return engine_(); }

  // Returns a uniformly distributed number in [0, n), or zero when n is zero.
  std::uint64_t Below(std::uint64_t n) { return n == 0 ? 0 : engine_() % n; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_RANDOM_H_
