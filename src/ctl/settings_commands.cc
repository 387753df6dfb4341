// Commands `settings get|set|diff|history|rollback`.
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "ctl/settings_access.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

std::optional<SettingsVersion> ParseVersion(std::string_view text) {
  SettingsVersion version = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), version);
  if (ec != std::errc() || end != text.data() + text.size() || version == 0) {
    return std::nullopt;
  }
  return version;
}

ExitCode Get(const Command& command) {
  const auto branch = ReadBranch(command, command.words[0]);
  if (!branch.ok()) {
    return PrintReadError(branch.status());
  }
  if (branch->version == 0) {
    return PrintError(ExitCode::kFailed, "there is no such branch");
  }
  const Json body = Json::parse(branch->json, nullptr, false);
  if (command.format == OutputFormat::kJson) {
    PrintObject(command.format, {{"branch", branch->name},
                                 {"version", branch->version},
                                 {"body", body}});
  } else {
    std::cout << "version: " << branch->version << "\n" << body.dump(2) << "\n";
  }
  return ExitCode::kOk;
}

ExitCode Set(const Command& command) {
  const auto text = ReadTextFile(command.file);
  if (!text.ok()) {
    return PrintError(ExitCode::kUsage, std::string(text.status().message()));
  }
  SettingsChange change;
  change.branch = command.words[0];
  change.json = *text;
  return WriteChange(command, std::move(change));
}

ExitCode History(const Command& command) {
  const auto history = ReadBranchHistory(command, command.words[0]);
  if (!history.ok()) {
    return PrintReadError(history.status());
  }
  Json rows = Json::array();
  for (const auto& it : *history) {
    rows.push_back({{"version", it.version},
                    {"team", it.team},
                    {"unix_ms", it.unix_ms},
                    {"note", it.note}});
  }
  PrintRows(command.format, {"version", "team", "unix_ms", "note"}, rows);
  return rows.empty() ? ExitCode::kFailed : ExitCode::kOk;
}

ExitCode Diff(const Command& command) {
  const auto from = ParseVersion(command.words[1]);
  const auto to = ParseVersion(command.words[2]);
  if (!from || !to) {
    return PrintError(ExitCode::kUsage, "a version is a whole number from 1");
  }
  const auto history = ReadBranchHistory(command, command.words[0]);
  if (!history.ok()) {
    return PrintReadError(history.status());
  }
  std::optional<Json> old_body;
  std::optional<Json> new_body;
  for (const auto& it : *history) {
    if (it.version == *from) {
      old_body = Json::parse(it.json, nullptr, false);
    }
    if (it.version == *to) {
      new_body = Json::parse(it.json, nullptr, false);
    }
  }
  if (!old_body || !new_body) {
    return PrintError(ExitCode::kFailed,
                      "the branch's history lacks one of the versions");
  }
  // A JSON Patch (RFC 6902) from the old version to the new one.
  PrintRows(command.format, {"op", "path", "value"},
            Json::diff(*old_body, *new_body));
  return ExitCode::kOk;
}

ExitCode Rollback(const Command& command) {
  const auto version = ParseVersion(command.words[1]);
  if (!version) {
    return PrintError(ExitCode::kUsage, "a version is a whole number from 1");
  }
  SettingsChange change;
  change.branch = command.words[0];
  change.roll_back_to = version;
  return WriteChange(command, std::move(change));
}

}  // namespace

void AddSettingsCommands(CommandTable* table) {
  table->insert({
      {"settings get", {1, 1, "settings get BRANCH", Get}},
      {"settings set", {1, 1, "settings set BRANCH --file FILE", Set}},
      {"settings history", {1, 1, "settings history BRANCH", History}},
      {"settings diff", {3, 3, "settings diff BRANCH FROM TO", Diff}},
      {"settings rollback",
       {2, 2, "settings rollback BRANCH VERSION", Rollback}},
  });
}

}  // namespace acaciachute
