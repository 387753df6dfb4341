// Traffic of process tests whose replicas state something about themselves.
#ifndef ACACIACHUTE_TESTS_PROCESS_REPLICA_TRAFFIC_H_
#define ACACIACHUTE_TESTS_PROCESS_REPLICA_TRAFFIC_H_

#include <algorithm>
#include <vector>

#include "tests/soak/world.h"

namespace acaciachute {

// Sends plain requests and streams with stages for this time, to all gateways
// in turn.
inline void SendFor(World* world, DurationUs time) {
  constexpr DurationUs kPeriod = 20 * kMillisecond;
  const std::size_t gateways = world->gateways().size();
  const TimeUs end = Loop::Now() + time;
  TimeUs next = Loop::Now();
  std::size_t sent = 0;
  world->WaitFor(time + kSecond, [&] {
    for (; Loop::Now() >= next && next < end; next += kPeriod) {
      const std::size_t n = sent++;
      world->Send(n % 2 == 0 ? "safe" : "staged", n / 2 % gateways);
    }
    return Loop::Now() >= end;
  });
}

// The replica of each service that got the most requests so far. The choice
// promises no share to the others. Each service has `kReplicas`.
inline std::vector<StandinReplica*> BusiestOfEachService(World* world) {
  constexpr std::size_t kReplicas = 3;
  std::vector<StandinReplica*> busiest;
  const auto& replicas = world->replicas();
  for (std::size_t n = 0; n < replicas.size(); n += kReplicas) {
    const auto first = replicas.begin() + static_cast<std::ptrdiff_t>(n);
    const auto most = std::max_element(
        first, first + kReplicas, [](const auto& a, const auto& b) {
          return a->arrivals().size() < b->arrivals().size();
        });
    busiest.push_back(most->get());
  }
  return busiest;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_PROCESS_REPLICA_TRAFFIC_H_
