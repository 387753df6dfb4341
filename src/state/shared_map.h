// A map whose copies share their contents until one of them changes.
//
// Requests in progress hold the configuration that they were admitted under,
// so each change of it makes a copy. The entries are divided among shards, and
// a change copies only the shard that it is in: the time of a small change does
// not depend on the number of routes and accounts.
#ifndef ACACIACHUTE_SRC_STATE_SHARED_MAP_H_
#define ACACIACHUTE_SRC_STATE_SHARED_MAP_H_

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"

namespace acaciachute {

template <class V>
class SharedMap {
 public:
  // Returns null if the map has no such key. The pointer is valid until this
  // map changes.
  const V* Find(std::string_view key) const {
    const ShardPtr& shard = shards_[IndexOf(key)];
    if (shard == nullptr) {
      return nullptr;
    }
    const auto it = shard->find(AsKey(key));
    return it == shard->end() ? nullptr : &it->second;
  }
  void Put(std::string_view key, V value) {
    Writable(key).insert_or_assign(std::string(key), std::move(value));
  }
  void Remove(std::string_view key) { Writable(key).erase(AsKey(key)); }

 private:
  static constexpr std::size_t kShards = 256;
  using Shard = absl::flat_hash_map<std::string, V>;
  using ShardPtr = std::shared_ptr<Shard>;

  // Debian's Abseil has a string view of its own.
  static absl::string_view AsKey(std::string_view key) {
    return {key.data(), key.size()};
  }
  static std::size_t IndexOf(std::string_view key) {
    return absl::Hash<absl::string_view>()(AsKey(key)) % kShards;
  }
  // The shard of `key`, which no copy of this map uses.
  Shard& Writable(std::string_view key) {
    ShardPtr& shard = shards_[IndexOf(key)];
    if (shard == nullptr) {
      shard = std::make_shared<Shard>();
    } else if (shard.use_count() > 1) {
      shard = std::make_shared<Shard>(*shard);
    }
    return *shard;
  }

  std::array<ShardPtr, kShards> shards_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_SHARED_MAP_H_
