// Commands `event create|list|show|delete`. Events are members of a branch.
#include <nlohmann/json.hpp>

#include "ctl/settings_access.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

// Reads the branch, lets `edit` change its events, and writes the branch on the
// condition that its version is still the one that was read, so that a
// concurrent change is never overwritten.
template <typename Edit>
ExitCode EditEvents(const Command& command, Edit edit) {
  const auto branch = ReadBranch(command, command.words[0]);
  if (!branch.ok()) {
    return PrintReadError(branch.status());
  }
  Json body = branch->version == 0 ? Json{{"owner", command.team}}
                                   : Json::parse(branch->json, nullptr, false);
  if (!body.is_object()) {
    return PrintError(ExitCode::kFailed,
                      "the branch's row is not a JSON object");
  }
  if (const ExitCode code = edit(&body["events"]); code != ExitCode::kOk) {
    return code;
  }
  SettingsChange change;
  change.branch = command.words[0];
  change.json = body.dump();
  change.base = branch->version;
  return WriteChange(command, std::move(change));
}

ExitCode Create(const Command& command) {
  const auto text = ReadTextFile(command.file);
  if (!text.ok()) {
    return PrintError(ExitCode::kUsage, std::string(text.status().message()));
  }
  const Json event = Json::parse(*text, nullptr, false);
  if (!event.is_object()) {
    return PrintError(ExitCode::kUsage, command.file + ": not a JSON object");
  }
  return EditEvents(command, [&](Json* events) {
    if (events->contains(command.words[1])) {
      return PrintError(ExitCode::kFailed,
                        "an event of this name exists already");
    }
    (*events)[command.words[1]] = event;
    return ExitCode::kOk;
  });
}

ExitCode Delete(const Command& command) {
  return EditEvents(command, [&](Json* events) {
    if (!events->contains(command.words[1])) {
      return PrintError(ExitCode::kFailed, "there is no such event");
    }
    events->erase(command.words[1]);
    return ExitCode::kOk;
  });
}

std::string PipelineOf(const Event& event) {
  std::string out;
  for (const auto& stage : event.stages) {
    out += StrCat(out.empty() ? "" : " > ", stage.pool);
  }
  return out;
}

ExitCode List(const Command& command) {
  const auto branches = ReadBranches(command);
  if (!branches.ok()) {
    return PrintReadError(branches.status());
  }
  Json rows = Json::array();
  for (const auto& branch : *branches) {
    for (const auto& [name, event] : branch.events) {
      rows.push_back({{"event", name},
                      {"branch", branch.name},
                      {"start_unix_ms", event.start_unix_ms},
                      {"max_deadline_ms", event.max_deadline / kMillisecond},
                      {"accounts", event.accounts.size()},
                      {"pipeline", PipelineOf(event)}});
    }
  }
  PrintRows(command.format,
            {"event", "branch", "start_unix_ms", "max_deadline_ms", "accounts",
             "pipeline"},
            rows);
  return ExitCode::kOk;
}

ExitCode Show(const Command& command) {
  const auto branches = ReadBranches(command);
  if (!branches.ok()) {
    return PrintReadError(branches.status());
  }
  for (const auto& branch : *branches) {
    if (branch.events.contains(command.words[0])) {
      Json event = Json::parse(branch.json)["events"][command.words[0]];
      event["branch"] = branch.name;
      event["version"] = branch.version;
      PrintObject(command.format, event);
      return ExitCode::kOk;
    }
  }
  return PrintError(ExitCode::kFailed, "there is no such event");
}

}  // namespace

void AddEventCommands(CommandTable* table) {
  table->insert({
      {"event create", {2, 2, "event create BRANCH EVENT --file FILE", Create}},
      {"event delete", {2, 2, "event delete BRANCH EVENT", Delete}},
      {"event list", {0, 0, "event list", List}},
      {"event show", {1, 1, "event show EVENT", Show}},
  });
}

}  // namespace acaciachute
