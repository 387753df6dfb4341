// The settings tree: an immutable value that consists of branches.
//
// A request keeps the `Settings` with which it was admitted through all its
// stages, so that a change never applies to only some stages of a request.
#ifndef ACACIACHUTE_SRC_STATE_SETTINGS_H_
#define ACACIACHUTE_SRC_STATE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "types.h"

namespace acaciachute {

struct ReplicaAddress {
  NodeId node;  // The replica's sidecar.
  std::string ip;
  std::uint16_t port = 0;  // For both TCP and UDP.
  std::string failure_domain;
};

// A model that every replica of a pool should have loaded.
struct ModelSpec {
  std::string name;
  std::string version;
};

struct Pool {
  StageKind kind = StageKind::kService;
  // Whether the upstreams refuse orders with an old fencing number.
  bool checks_fence = false;
  std::vector<ReplicaAddress> replicas;
  std::vector<ModelSpec> models;
  // Accounts that may call the pool directly, if it is a plain service.
  std::vector<std::string> accounts;
  DurationUs max_deadline = 5 * kSecond;
};

struct Stage {
  std::string pool;
  std::string path;  // Relative to the upstream's base address.
};

struct Event {
  std::int64_t start_unix_ms = 0;
  std::uint32_t expected_callers = 0;
  DurationUs max_deadline = 5 * kSecond;
  std::vector<Stage> stages;
  std::vector<std::string> accounts;  // Accounts that may call the event.
};

struct Account {
  std::string token_salt;
  std::string token_hash;   // Hex SHA-256 of salt followed by token.
  std::uint32_t share = 1;  // Weight in the division of capacity.
};

// Address of an entry process, for connections between entries.
struct EntryAddress {
  NodeId node;
  std::string ip;
  std::uint16_t port = 0;  // For both TCP and UDP.
  std::string failure_domain;
};

// A part of the tree that one team owns; stored as a row of the platform's
// table.
struct Branch {
  std::string name;
  SettingsVersion version = 0;
  std::string owner;
  std::string json;  // The source text that was parsed.
  std::vector<EntryAddress> entries;
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Event, std::less<>> events;
  std::map<std::string, Account, std::less<>> accounts;
};

// Parses a branch. An error states the JSON path of the invalid value, the
// value found and what is allowed.
absl::StatusOr<Branch> ParseBranch(std::string_view name,
                                   SettingsVersion version,
                                   std::string_view json);

class Settings {
 public:
  // Returns a copy of the tree in which `branch` replaces the branch of the
  // same name. Returns null if the tree has this version of the branch or a
  // later one, because a branch's version never decreases.
  std::shared_ptr<const Settings> With(Branch branch) const;

  const Pool* FindPool(std::string_view name) const;
  const Event* FindEvent(std::string_view name) const;
  const Account* FindAccount(std::string_view name) const;
  const Branch* FindBranch(std::string_view name) const;
  const std::map<std::string, Branch, std::less<>>& branches() const {
    return branches_;
  }

 private:
  std::map<std::string, Branch, std::less<>> branches_;
};

using SettingsPtr = std::shared_ptr<const Settings>;

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_SETTINGS_H_
