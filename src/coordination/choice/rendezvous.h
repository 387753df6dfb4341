// Weighted rendezvous hashing (Thaler and Ravishankar 1998): all processes that
// know the same nodes assign a key to the same node, and a node that joins or
// leaves only moves its own keys.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_RENDEZVOUS_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_RENDEZVOUS_H_

#include <xxhash.h>

#include <cmath>
#include <string>
#include <string_view>

#include "text.h"

namespace acaciachute {

// A key belongs to the node with the highest weight. The expected number of a
// node's keys is proportional to `share`.
inline double RendezvousWeight(std::string_view key,
                               std::string_view node,
                               double share) {
  constexpr double kRange = 18446744073709551616.0;  // 2 to the 64th.
  const std::string text = StrCat(key, "\n", node);
  const double hash =
      (static_cast<double>(XXH3_64bits(text.data(), text.size())) + 1) /
      (kRange + 1);
  return share / -std::log(hash);
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_RENDEZVOUS_H_
