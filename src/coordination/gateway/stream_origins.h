// Remembers at which software version streams began.
//
// What two versions write does not continue one another, and replicas do not
// check it. A client that takes a broken stream up, at any gateway, names the
// attempt that brought its first event; only a gateway that passed that event
// on knows the version, and it may be gone. So with the first event it tells a
// few other gateways, those with the highest hashes of the attempt and their
// names, and a gateway that does not know an attempt asks them. They are as
// many in large fleets as in small ones. Gateways that start later, so that
// they belong to these, are told then.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_STREAM_ORIGINS_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_STREAM_ORIGINS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "messages.h"
#include "types.h"

namespace acaciachute {

class StreamOrigins {
 public:
  // Gateways that are told of a stream: two of them may be lost at once.
  static constexpr std::size_t kHolders = 3;
  // Gateways that are asked: one more, as one may have joined since.
  static constexpr std::size_t kAsked = kHolders + 1;
  // Time for which a stream is remembered, and the limit on their number;
  // beyond it the oldest are dropped.
  static constexpr DurationUs kLifetime = 60 * kSecond;
  static constexpr std::size_t kMaxStreams = 16384;
  // Clients choose the ids of attempts; longer ones are not remembered.
  static constexpr std::size_t kMaxIdLength = 128;

  // A stream began, here or at the gateway that tells of it. An attempt that
  // began two streams at two versions names neither.
  void Add(TimeUs now, const StreamOrigin& origin);
  // Empty if the attempt began no stream of the account, as far as is known.
  std::optional<StreamOrigin> Find(TimeUs now,
                                   const std::string& attempt,
                                   const std::string& account) const;
  // Those that `node` is to be told of, now that it is one of the gateways.
  std::vector<StreamOrigin> HeldBy(TimeUs now,
                                   const NodeId& node,
                                   const std::vector<NodeId>& gateways) const;
  // The `count` of the gateways that remember the attempt.
  static std::vector<NodeId> Holders(const std::string& attempt,
                                     std::vector<NodeId> gateways,
                                     std::size_t count);

 private:
  struct Record {
    StreamOrigin origin;
    TimeUs began_at = 0;
    bool ambiguous = false;
  };

  void RemoveOld(TimeUs now);

  absl::flat_hash_map<std::string, Record> records_;  // By attempt.
  std::multimap<TimeUs, std::string> order_;          // By `began_at`.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_STREAM_ORIGINS_H_
