// Runs a soak: injects random faults, drawn from a seed, into a deployment of
// real gateway processes, and checks the guarantees to clients.
#ifndef ACACIACHUTE_TESTS_SOAK_SOAK_H_
#define ACACIACHUTE_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tests/soak/world.h"
#include "transport/loop.h"

namespace acaciachute {

// The faults that a soak draws from.
enum class FaultProfile {
  kAll,  // Of gateways, of the store and of single replicas.
  // Many replicas of a service refuse, lose or fail requests, which makes
  // gateways retry, while gateways are killed, frozen and restarted in series
  // and clients repeat at once.
  kRetries,
  // As `kAll`; replicas also draw the framing of each answer and break some
  // off at any byte, and some clients speak HTTP/1.0.
  kAnswers,
  // Some requests end the replicas that run them and are sent again and again,
  // while replicas also end without such a cause, and gateways are killed, all
  // at once too, suspended, restarted and cut off from the store. Of the
  // others, some have a body that many have, some one of their own. Prompt
  // parts end engines too, in requests of which no two are alike, some in
  // herds, beside sound ones with the same account and other parts.
  kCrashes,
};

struct SoakOptions {
  std::uint64_t seed = 1;
  FaultProfile profile = FaultProfile::kAll;
  // Time during which faults are injected.
  DurationUs fault_time = 12 * kSecond;
  int rate = 40;  // Requests per second.
  // Share of the answers that replicas break off all the time, if they draw
  // them.
  int cut_percent = 5;
  // A soak of versions draws only faults whose name contains one of these
  // parts, which commas separate.
  std::string only;
  WorldOptions world;
};

struct SoakReport {
  std::string summary;  // Counts of attempts by route and outcome.
  std::string ends;     // Answers with status 200 by the end that clients saw.
  std::vector<std::string> faults;      // Injected faults in order, with times.
  std::vector<std::string> violations;  // Violated guarantees; empty: success.
  std::size_t crashes = 0;              // Replicas that ended under requests.
  std::vector<std::string> figures;     // What else was counted.
  // Of each service: the worst window, whether it was exceeded or not.
  std::vector<RetryWindow> retry_windows;
};

SoakReport RunSoak(Loop* loop, const SoakOptions& options);

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_SOAK_H_
