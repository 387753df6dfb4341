#include "state/settings.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/status/status.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMaxDeadlineMs = 600'000;

// Reads typed members of a JSON object. Keeps the first error, with the path of
// the invalid value.
class Reader {
 public:
  Reader(const Json& object, std::string path, std::string* error)
      : object_(object), path_(std::move(path)), error_(error) {
    if (!object_.is_object()) {
      Fail("", "an object", object_);
    }
  }

  std::string Text(const char* key, std::string fallback = "") const {
    const Json* it = Find(key);
    if (it == nullptr) {
      return fallback;
    }
    if (!it->is_string()) {
      Fail(key, "a string", *it);
      return fallback;
    }
    return it->get<std::string>();
  }

  std::int64_t Integer(const char* key,
                       std::int64_t fallback,
                       std::int64_t low,
                       std::int64_t high) const {
    const Json* it = Find(key);
    if (it == nullptr) {
      return fallback;
    }
    if (!it->is_number_integer() || it->get<std::int64_t>() < low ||
        it->get<std::int64_t>() > high) {
      Fail(key, StrCat("an integer from ", low, " to ", high), *it);
      return fallback;
    }
    return it->get<std::int64_t>();
  }

  bool Flag(const char* key, bool fallback) const {
    const Json* it = Find(key);
    if (it == nullptr) {
      return fallback;
    }
    if (!it->is_boolean()) {
      Fail(key, "true or false", *it);
      return fallback;
    }
    return it->get<bool>();
  }

  template <typename F>
  void EachMember(const char* key, F f) const {
    const Json* it = Find(key);
    if (it == nullptr) {
      return;
    }
    if (!it->is_object()) {
      Fail(key, "an object", *it);
      return;
    }
    for (const auto& [name, value] : it->items()) {
      f(name, Reader(value, StrCat(path_, "/", key, "/", name), error_));
    }
  }

  template <typename F>
  void EachElement(const char* key, F f) const {
    const Json* it = Find(key);
    if (it == nullptr) {
      return;
    }
    if (!it->is_array()) {
      Fail(key, "an array", *it);
      return;
    }
    for (std::size_t n = 0; n < it->size(); ++n) {
      f((*it)[n], StrCat(path_, "/", key, "/", n));
    }
  }

  void Fail(std::string_view key,
            std::string_view allowed,
            const Json& found) const {
    if (error_->empty()) {
      *error_ = StrCat(path_, key.empty() ? "" : "/", key, ": found ",
                       found.dump(-1, ' ', true, Json::error_handler_t::replace)
                           .substr(0, 80),
                       ", allowed: ", allowed);
    }
  }

  std::string* error() const { return error_; }

 private:
  const Json* Find(const char* key) const {
    if (!object_.is_object()) {
      return nullptr;
    }
    const auto it = object_.find(key);
    return it == object_.end() ? nullptr : &*it;
  }

  const Json& object_;
  std::string path_;
  std::string* error_;
};

std::vector<std::string> ReadNames(const Reader& in, const char* key) {
  std::vector<std::string> names;
  in.EachElement(key, [&](const Json& value, const std::string& path) {
    if (!value.is_string()) {
      Reader(Json::object(), path, in.error()).Fail("", "a string", value);
      return;
    }
    names.push_back(value.get<std::string>());
  });
  return names;
}

DurationUs ReadMaxDeadline(const Reader& in) {
  return in.Integer("max_deadline_ms", 5000, 1, kMaxDeadlineMs) * kMillisecond;
}

ReplicaAddress ReadReplica(const Reader& in) {
  ReplicaAddress replica;
  replica.node = in.Text("node");
  replica.ip = in.Text("ip");
  replica.port = in.Integer("port", 0, 1, 65535);
  replica.failure_domain = in.Text("failure_domain");
  return replica;
}

EntryAddress ReadEntryAddress(const Reader& in) {
  EntryAddress entry;
  entry.node = in.Text("node");
  entry.ip = in.Text("ip");
  entry.port = in.Integer("port", 0, 1, 65535);
  entry.failure_domain = in.Text("failure_domain");
  return entry;
}

Pool ReadPool(const Reader& in) {
  Pool pool;
  const auto kind = in.Text("kind", "service");
  if (const auto it = detail::ValueIn<StageKind>(kStageKindNames, kind)) {
    pool.kind = *it;
  } else {
    in.Fail("kind", "encode, retrieve, rerank, generate or service", kind);
  }
  pool.checks_fence = in.Flag("checks_fence", false);
  in.EachElement("replicas", [&](const Json& value, const std::string& path) {
    pool.replicas.push_back(ReadReplica(Reader(value, path, in.error())));
  });
  in.EachElement("models", [&](const Json& value, const std::string& path) {
    const Reader model(value, path, in.error());
    pool.models.push_back({model.Text("name"), model.Text("version")});
  });
  pool.accounts = ReadNames(in, "accounts");
  pool.max_deadline = ReadMaxDeadline(in);
  return pool;
}

Event ReadEvent(const Reader& in) {
  Event event;
  event.start_unix_ms =
      in.Integer("start_unix_ms", 0, 0, std::int64_t{1} << 52);
  event.expected_callers = in.Integer("expected_callers", 0, 0, 1'000'000);
  event.max_deadline = ReadMaxDeadline(in);
  in.EachElement("stages", [&](const Json& value, const std::string& path) {
    const Reader stage(value, path, in.error());
    event.stages.push_back({stage.Text("pool"), stage.Text("path", "/v1/run")});
  });
  event.accounts = ReadNames(in, "accounts");
  return event;
}

Account ReadAccount(const Reader& in) {
  Account account;
  account.token_salt = in.Text("token_salt");
  account.token_hash = in.Text("token_hash");
  account.share = in.Integer("share", 1, 1, 1'000'000);
  return account;
}

template <typename T>
const T* FindIn(const std::map<std::string, Branch, std::less<>>& branches,
                std::map<std::string, T, std::less<>> Branch::*member,
                std::string_view name) {
  for (const auto& [unused, branch] : branches) {
    const auto it = (branch.*member).find(name);
    if (it != (branch.*member).end()) {
      return &it->second;
    }
  }
  return nullptr;
}

}  // namespace

absl::StatusOr<Branch> ParseBranch(std::string_view name,
                                   SettingsVersion version,
                                   std::string_view json) {
  const Json value = Json::parse(json, nullptr, false);
  if (value.is_discarded()) {
    return absl::InvalidArgumentError(
        StrCat("branch ", name, ": invalid JSON"));
  }
  Branch branch;
  branch.name = name;
  branch.version = version;
  branch.json = json;
  std::string error;
  const Reader in(value, "", &error);
  branch.owner = in.Text("owner");
  in.EachElement("entries", [&](const Json& it, const std::string& path) {
    branch.entries.push_back(ReadEntryAddress(Reader(it, path, in.error())));
  });
  in.EachMember("pools", [&](const std::string& key, const Reader& it) {
    branch.pools[key] = ReadPool(it);
  });
  in.EachMember("events", [&](const std::string& key, const Reader& it) {
    branch.events[key] = ReadEvent(it);
  });
  in.EachMember("accounts", [&](const std::string& key, const Reader& it) {
    branch.accounts[key] = ReadAccount(it);
  });
  if (!error.empty()) {
    return absl::InvalidArgumentError(StrCat("branch ", name, " ", error));
  }
  return branch;
}

std::shared_ptr<const Settings> Settings::With(Branch branch) const {
  const Branch* old = FindBranch(branch.name);
  if (old != nullptr && branch.version <= old->version) {
    return nullptr;
  }
  auto next = std::make_shared<Settings>(*this);
  std::string name = branch.name;
  next->branches_[std::move(name)] = std::move(branch);
  return next;
}

const Pool* Settings::FindPool(std::string_view name) const {
  return FindIn(branches_, &Branch::pools, name);
}

const Event* Settings::FindEvent(std::string_view name) const {
  return FindIn(branches_, &Branch::events, name);
}

const Account* Settings::FindAccount(std::string_view name) const {
  return FindIn(branches_, &Branch::accounts, name);
}

const Branch* Settings::FindBranch(std::string_view name) const {
  const auto it = branches_.find(name);
  return it == branches_.end() ? nullptr : &it->second;
}

}  // namespace acaciachute
