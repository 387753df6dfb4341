#include "coordination/settings/settings_write.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/status/status.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kVersionDigits = 12;

const StoreRow* FindRow(const std::vector<StoreRow>& rows,
                        std::string_view key) {
  const auto it = std::find_if(rows.begin(), rows.end(),
                               [&](const auto& row) { return row.key == key; });
  return it == rows.end() || it->version == 0 ? nullptr : &*it;
}

// Owner of the nearest branch at or above `name`; empty if there is none.
std::string NearestOwner(std::string_view name,
                         const std::vector<StoreRow>& rows) {
  while (true) {
    if (const StoreRow* row = FindRow(rows, SettingsRowKey(name))) {
      const auto branch = ParseBranch(name, row->version, row->value);
      return branch.ok() ? branch->owner : "";
    }
    const auto slash = name.rfind('/');
    if (slash == std::string_view::npos) {
      return "";
    }
    name = name.substr(0, slash);
  }
}

bool IsBranchName(std::string_view name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.' || c == '/';
  };
  return !name.empty() && name.front() != '/' && name.back() != '/' &&
         !Contains(name, "//") &&
         std::all_of(name.begin(), name.end(), allowed);
}

}  // namespace

std::string SettingsRowKey(std::string_view branch) {
  return StrCat(kSettingsPrefix, branch);
}

std::string HistoryRowKey(std::string_view branch, SettingsVersion version) {
  std::string digits = std::to_string(version);
  digits.insert(0, kVersionDigits - std::min(kVersionDigits, digits.size()),
                '0');
  return StrCat(kHistoryPrefix, branch, "/", digits);
}

std::string EncodeHistory(const HistoryEntry& entry) {
  const Json out = {{"version", entry.version}, {"nonce", entry.nonce},
                    {"team", entry.team},       {"note", entry.note},
                    {"unix_ms", entry.unix_ms}, {"json", entry.json}};
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<HistoryEntry> DecodeHistory(const StoreRow& row) {
  const Json in = Json::parse(row.value, nullptr, false);
  try {
    return HistoryEntry{in.at("version").get<SettingsVersion>(),
                        in.at("nonce").get<std::uint64_t>(),
                        in.at("team").get<std::string>(),
                        in.at("note").get<std::string>(),
                        in.at("unix_ms").get<std::int64_t>(),
                        in.at("json").get<std::string>()};
  } catch (const Json::exception& e) {
    return absl::DataLossError(StrCat("row ", row.key, ": ", e.what()));
  }
}

std::vector<HistoryEntry> ReadHistory(std::string_view branch,
                                      const std::vector<StoreRow>& rows) {
  std::vector<HistoryEntry> out;
  for (const auto& row : rows) {
    auto entry = DecodeHistory(row);
    if (entry.ok() && row.key == HistoryRowKey(branch, entry->version)) {
      out.push_back(*std::move(entry));
    }
  }
  return out;
}

absl::Status CheckOwner(std::string_view team,
                        const Branch& branch,
                        const std::vector<StoreRow>& rows) {
  const std::string owner = NearestOwner(branch.name, rows);
  if (!owner.empty() && owner != team) {
    return absl::PermissionDeniedError(StrCat(
        "branch ", branch.name, " belongs to team ", owner, ", not to ", team));
  }
  if (branch.owner.empty()) {
    return absl::InvalidArgumentError(
        StrCat("branch ", branch.name, " names no owner"));
  }
  if (owner.empty() && branch.owner != team) {
    return absl::PermissionDeniedError(StrCat(
        "a new top-level branch must be owned by the team that creates it, ",
        team, ", found owner ", branch.owner));
  }
  return absl::OkStatus();
}

SettingsWrite::SettingsWrite(SettingsChange change, std::uint64_t nonce)
    : change_(std::move(change)), nonce_(nonce) {
  if (!IsBranchName(change_.branch)) {
    End(WriteOutcome::kInvalid, 0,
        StrCat("branch name \"", change_.branch,
               "\": allowed are a-z, 0-9, -, _, . and / between parts"));
  }
}

std::vector<StoreOp> SettingsWrite::Next() const {
  if (!write_due_) {
    std::vector<StoreOp> ops = {
        {StoreOpKind::kRead, std::string(kSettingsEpochKey), "", 0},
        {StoreOpKind::kScan, std::string(kSettingsPrefix), "", 0}};
    if (change_.roll_back_to) {
      ops.push_back({StoreOpKind::kRead,
                     HistoryRowKey(change_.branch, *change_.roll_back_to), "",
                     0});
    }
    return ops;
  }
  const HistoryEntry entry = {base_ + 1,    nonce_,          change_.team,
                              change_.note, change_.unix_ms, change_.json};
  return {{base_ == 0 ? StoreOpKind::kInsert : StoreOpKind::kUpdate,
           SettingsRowKey(change_.branch), change_.json, base_},
          {StoreOpKind::kInsert, HistoryRowKey(change_.branch, base_ + 1),
           EncodeHistory(entry), 0},
          {epoch_ == 0 ? StoreOpKind::kInsert : StoreOpKind::kUpdate,
           std::string(kSettingsEpochKey), "", epoch_}};
}

void SettingsWrite::OnAnswer(const StoreAnswer& answer) {
  if (result_) {
    return;
  }
  if (write_due_) {
    OnWritten(answer);
  } else {
    OnRead(answer);
  }
}

void SettingsWrite::OnRead(const StoreAnswer& answer) {
  if (answer.status != StoreStatus::kOk) {
    CountFailedAttempt();
    return;
  }
  const StoreRow* found = FindRow(answer.rows, SettingsRowKey(change_.branch));
  base_ = found == nullptr ? 0 : found->version;
  const StoreRow* epoch = FindRow(answer.rows, kSettingsEpochKey);
  epoch_ = epoch == nullptr ? 0 : epoch->version;
  if (change_.roll_back_to) {
    const StoreRow* old = FindRow(
        answer.rows, HistoryRowKey(change_.branch, *change_.roll_back_to));
    const auto entry = old == nullptr ? absl::NotFoundError("no such version")
                                      : DecodeHistory(*old);
    if (!entry.ok()) {
      End(WriteOutcome::kInvalid, base_, std::string(entry.status().message()));
      return;
    }
    change_.json = entry->json;
  }
  if (change_.json.size() > kMaxBranchBytes) {
    End(WriteOutcome::kInvalid, base_,
        StrCat("found ", change_.json.size(),
               " bytes, allowed: ", kMaxBranchBytes));
    return;
  }
  const auto branch = ParseBranch(change_.branch, base_ + 1, change_.json);
  if (!branch.ok()) {
    End(WriteOutcome::kInvalid, base_, std::string(branch.status().message()));
    return;
  }
  const auto owner = CheckOwner(change_.team, *branch, answer.rows);
  if (!owner.ok()) {
    End(absl::IsInvalidArgument(owner) ? WriteOutcome::kInvalid
                                       : WriteOutcome::kNotOwner,
        base_, std::string(owner.message()));
    return;
  }
  if (change_.base && *change_.base != base_) {
    End(WriteOutcome::kLostRace, base_,
        StrCat("version ", *change_.base, " was edited, but version ", base_,
               " is in force"));
    return;
  }
  // If the epoch moves because of another branch, the second read must find the
  // same version.
  change_.base = base_;
  write_due_ = true;
}

void SettingsWrite::OnWritten(const StoreAnswer& answer) {
  switch (answer.status) {
    case StoreStatus::kOk:
      End(WriteOutcome::kAccepted, base_ + 1, "");
      return;
    case StoreStatus::kConflict:
      OnConflict(answer.rows);
      return;
    case StoreStatus::kUnknown:
      may_be_applied_ = true;
      CountFailedAttempt();
      return;
    case StoreStatus::kUnavailable:
      CountFailedAttempt();
      return;
  }
}

void SettingsWrite::OnConflict(const std::vector<StoreRow>& rows) {
  // Each write of this change includes its history row; if that row is absent
  // or carries another nonce, the version in force is from another change.
  const StoreRow* history =
      FindRow(rows, HistoryRowKey(change_.branch, base_ + 1));
  if (history != nullptr) {
    const auto entry = DecodeHistory(*history);
    if (entry.ok() && entry->nonce == nonce_) {
      End(WriteOutcome::kAccepted, base_ + 1,
          "confirmed by reading the history row");
      return;
    }
  }
  const StoreRow* winner = FindRow(rows, SettingsRowKey(change_.branch));
  if (history == nullptr && winner == nullptr &&
      FindRow(rows, kSettingsEpochKey) != nullptr) {
    // Only the epoch moved: another branch changed, and this one is unchanged.
    // No write of this change was applied, or its history row would exist.
    write_due_ = false;
    CountFailedAttempt();
    return;
  }
  const SettingsVersion version =
      winner == nullptr ? base_ + 1 : winner->version;
  End(WriteOutcome::kLostRace, version,
      StrCat("another change was written first, version ", version));
}

void SettingsWrite::CountFailedAttempt() {
  if (++attempts_ < kMaxAttempts) {
    return;
  }
  if (may_be_applied_) {
    End(WriteOutcome::kUnknown, 0,
        "the platform did not confirm whether the change was written");
  } else {
    End(WriteOutcome::kUnavailable, 0,
        "the platform does not accept writes; nothing was changed");
  }
}

void SettingsWrite::End(WriteOutcome outcome,
                        SettingsVersion version,
                        std::string detail) {
  result_ = {outcome, version, std::move(detail)};
}

}  // namespace acaciachute
