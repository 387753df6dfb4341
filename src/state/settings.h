// The settings tree as the core sees it: an immutable value made of branches.
//
// A request keeps the `Settings` it was admitted under through all its stages,
// so a change never applies to half of a request.
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
  NodeId node;  // Of the sidecar.
  std::string ip;
  std::uint16_t port = 0;  // TCP and UDP.
  std::string failure_domain;
};

// A model that each replica of a pool is to have loaded.
struct ModelSpec {
  std::string name;
  std::string version;
};

struct Pool {
  StageKind kind = StageKind::kService;
  bool checks_fence = false;  // Whether its upstreams refuse an old number.
  std::vector<ReplicaAddress> replicas;
  std::vector<ModelSpec> models;
  // Of a plain service that callers may call directly, and who may.
  std::vector<std::string> accounts;
  DurationUs max_deadline = 5 * kSecond;
};

struct Stage {
  std::string pool;
  std::string path;  // Below the upstream's base address.
};

struct Event {
  std::int64_t start_unix_ms = 0;
  std::uint32_t expected_callers = 0;
  DurationUs max_deadline = 5 * kSecond;
  std::vector<Stage> stages;
  std::vector<std::string> accounts;  // Who may call it.
};

struct Account {
  std::string token_salt;
  std::string token_hash;  // Hex SHA-256 of salt followed by token.
  std::uint32_t share = 1;
};

// An entry process, so that entries find one another.
struct EntryAddress {
  NodeId node;
  std::string ip;
  std::uint16_t port = 0;  // TCP and UDP.
  std::string failure_domain;
};

// One team's part of the tree, a row of the platform's table.
struct Branch {
  std::string name;
  SettingsVersion version = 0;
  std::string owner;
  std::string json;  // As accepted.
  std::vector<EntryAddress> entries;
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Event, std::less<>> events;
  std::map<std::string, Account, std::less<>> accounts;
};

// Reads a branch; the error names the path of the value, what was found and
// what is allowed.
absl::StatusOr<Branch> ParseBranch(std::string_view name,
                                   SettingsVersion version,
                                   std::string_view json);

class Settings {
 public:
  // Returns a tree with `branch` in place of the one of its name, or null when
  // that would lower the branch's version: a version never goes down.
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
