#include "ctl/settings_access.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <utility>

#include "ctl/platform_table.h"
#include "text.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMicrosPerMilli = 1000;

constexpr std::array<ExitCode, kWriteOutcomeNames.size()> kExitCodes = {
    ExitCode::kOk,       ExitCode::kUsage,       ExitCode::kNotOwner,
    ExitCode::kLostRace, ExitCode::kUnavailable, ExitCode::kUnknown};

std::uint64_t RandomNonce() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

absl::StatusOr<std::vector<StoreRow>> ReadRows(const Command& command,
                                               const StoreOp& op) {
  if (command.platform_url.empty()) {
    return absl::InvalidArgumentError("--platform URL is required");
  }
  PlatformTable table(command.platform_url);
  StoreAnswer answer = table.Transact({op});
  if (answer.status != StoreStatus::kOk) {
    return absl::UnavailableError(
        "the platform's table does not answer or refused the read");
  }
  return std::move(answer.rows);
}

Json JsonOf(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  return json.is_discarded() ? Json() : json;
}

// Returns the JSON text that the branch would have after the change.
absl::StatusOr<std::string> NewBody(const Command& command,
                                    const SettingsChange& change) {
  if (!change.roll_back_to) {
    return change.json;
  }
  const auto history = ReadBranchHistory(command, change.branch);
  if (!history.ok()) {
    return history.status();
  }
  for (const auto& it : *history) {
    if (it.version == *change.roll_back_to) {
      return it.json;
    }
  }
  return absl::NotFoundError(
      StrCat("the history has no version ", *change.roll_back_to));
}

ExitCode ShowDryRun(const Command& command, const SettingsChange& change) {
  const auto old = ReadBranch(command, change.branch);
  if (!old.ok()) {
    return PrintReadError(old.status());
  }
  const auto body = NewBody(command, change);
  if (!body.ok()) {
    return PrintError(ExitCode::kUsage, std::string(body.status().message()));
  }
  const auto checked = ParseBranch(change.branch, old->version + 1, *body);
  if (!checked.ok()) {
    return PrintError(ExitCode::kUsage,
                      std::string(checked.status().message()));
  }
  PrintObject(command.format,
              {{"branch", change.branch},
               {"version_now", old->version},
               {"would_change", Json::diff(JsonOf(old->json), JsonOf(*body))},
               {"written", false}});
  return ExitCode::kOk;
}

}  // namespace

ExitCode PrintError(ExitCode code, std::string_view text) {
  std::cerr << "acaciachutectl: " << text << "\n";
  return code;
}

ExitCode PrintReadError(const absl::Status& status) {
  const bool usage = absl::IsInvalidArgument(status);
  return PrintError(usage ? ExitCode::kUsage : ExitCode::kUnavailable,
                    std::string(status.message()));
}

absl::StatusOr<std::string> ReadTextFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    return absl::InvalidArgumentError(path.empty()
                                          ? "--file FILE is required"
                                          : StrCat("cannot read ", path));
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

absl::StatusOr<std::vector<Branch>> ReadBranches(const Command& command) {
  const auto rows = ReadRows(
      command, {StoreOpKind::kScan, std::string(kSettingsPrefix), "", 0});
  if (!rows.ok()) {
    return rows.status();
  }
  std::vector<Branch> branches;
  for (const auto& row : *rows) {
    auto branch = ParseBranch(row.key.substr(kSettingsPrefix.size()),
                              row.version, row.value);
    if (branch.ok()) {
      branches.push_back(*std::move(branch));
    }
  }
  return branches;
}

absl::StatusOr<Branch> ReadBranch(const Command& command,
                                  std::string_view name) {
  const auto rows =
      ReadRows(command, {StoreOpKind::kRead, SettingsRowKey(name), "", 0});
  if (!rows.ok()) {
    return rows.status();
  }
  Branch branch;
  branch.name = name;
  if (!rows->empty()) {
    branch.version = rows->front().version;
    branch.json = rows->front().value;
  }
  return branch;
}

absl::StatusOr<std::vector<HistoryEntry>> ReadBranchHistory(
    const Command& command,
    std::string_view name) {
  const auto rows = ReadRows(
      command, {StoreOpKind::kScan, StrCat(kHistoryPrefix, name, "/"), "", 0});
  if (!rows.ok()) {
    return rows.status();
  }
  return ReadHistory(name, *rows);
}

ExitCode WriteChange(const Command& command, SettingsChange change) {
  if (command.platform_url.empty() || command.team.empty()) {
    return PrintError(ExitCode::kUsage,
                      "--platform URL and --team are required");
  }
  if (command.dry_run) {
    return ShowDryRun(command, change);
  }
  change.team = command.team;
  change.note = command.note;
  change.unix_ms = Loop::WallClock() / kMicrosPerMilli;
  if (command.base != 0) {
    change.base = command.base;
  }
  PlatformTable table(command.platform_url);
  const std::string branch = change.branch;
  SettingsWrite write(std::move(change), RandomNonce());
  while (!write.result()) {
    write.OnAnswer(table.Transact(write.Next()));
  }
  const SettingsWriteResult& result = *write.result();
  Json shown = {{"branch", branch}, {"outcome", Name(result.outcome)}};
  if (result.version != 0) {
    shown["version"] = result.version;
  }
  if (!result.detail.empty()) {
    shown["detail"] = result.detail;
  }
  PrintObject(command.format, shown);
  return kExitCodes[static_cast<std::size_t>(result.outcome)];
}

}  // namespace acaciachute
