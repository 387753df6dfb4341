// Runs a soak of software versions: clients take long streams up at any gateway
// while versions start, leave and are replaced, and gateways are harmed.
#ifndef ACACIACHUTE_TESTS_SOAK_VERSION_SOAK_H_
#define ACACIACHUTE_TESTS_SOAK_VERSION_SOAK_H_

#include "tests/soak/soak.h"

namespace acaciachute {

// Uses the seed, the fault time, the rate of new streams, and of the deployment
// the number of gateways, their retry budget and the folder of their logs,
// which are kept only if a guarantee was violated.
SoakReport RunVersionSoak(Loop* loop, const SoakOptions& options);

// Of gateways: five to seven, by the seed; of new streams each second.
int VersionSoakGateways(std::uint64_t seed);
inline constexpr int kVersionSoakRate = 10;

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_VERSION_SOAK_H_
