#include "coordination/gateway/stream_origins.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace acaciachute {

void StreamOrigins::Add(TimeUs now, const StreamOrigin& origin) {
  if (origin.attempt.empty() || origin.attempt.size() > kMaxIdLength) {
    return;
  }
  RemoveOld(now);
  const auto [it, inserted] = records_.try_emplace(
      origin.attempt, Record{origin, now - origin.age, false});
  if (inserted) {
    order_.emplace(it->second.began_at, origin.attempt);
    return;
  }
  const StreamOrigin& known = it->second.origin;
  it->second.ambiguous =
      it->second.ambiguous || known.version != origin.version ||
      known.account != origin.account || known.service != origin.service;
}

void StreamOrigins::RemoveOld(TimeUs now) {
  while (!order_.empty() && (order_.size() >= kMaxStreams ||
                             now - order_.begin()->first > kLifetime)) {
    records_.erase(order_.begin()->second);
    order_.erase(order_.begin());
  }
}

std::optional<StreamOrigin> StreamOrigins::Find(
    TimeUs now,
    const std::string& attempt,
    const std::string& account) const {
  const auto it = records_.find(attempt);
  if (it == records_.end() || it->second.ambiguous ||
      it->second.origin.account != account ||
      now - it->second.began_at > kLifetime) {
    return std::nullopt;
  }
  StreamOrigin origin = it->second.origin;
  origin.age = now - it->second.began_at;
  return origin;
}

std::vector<StreamOrigin> StreamOrigins::HeldBy(
    TimeUs now,
    const NodeId& node,
    const std::vector<NodeId>& gateways) const {
  std::vector<StreamOrigin> held;
  for (const auto& [attempt, record] : records_) {
    const auto holders = Holders(attempt, gateways, kHolders);
    if (!record.ambiguous && now - record.began_at <= kLifetime &&
        std::find(holders.begin(), holders.end(), node) != holders.end()) {
      held.push_back(record.origin);
      held.back().age = now - record.began_at;
    }
  }
  return held;
}

std::vector<NodeId> StreamOrigins::Holders(const std::string& attempt,
                                           std::vector<NodeId> gateways,
                                           std::size_t count) {
  const XXH64_hash_t seed = XXH3_64bits(attempt.data(), attempt.size());
  const auto weight = [seed](const NodeId& node) {
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
  };
  count = std::min(count, gateways.size());
  std::partial_sort(
      gateways.begin(), gateways.begin() + static_cast<std::ptrdiff_t>(count),
      gateways.end(),
      [&](const NodeId& a, const NodeId& b) { return weight(a) > weight(b); });
  gateways.resize(count);
  return gateways;
}

}  // namespace acaciachute
