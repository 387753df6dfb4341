// Command `gateway sources`: prints from which source each gateway gets the
// store's tables.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "ctl/command.h"
#include "ctl/log_lines.h"
#include "ctl/log_sources.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

ExitCode Sources(const Command& command) {
  std::ifstream file;
  std::istream* log = OpenLog(command.file, &file);
  if (log == nullptr) {
    return PrintError(ExitCode::kUsage, StrCat("cannot read ", command.file));
  }
  Json rows = Json::array();
  for (const GatewaySource& it : SourcesFromLog(log)) {
    rows.push_back({{"table", it.table},
                    {"gateway", it.gateway},
                    {"asks", it.source},
                    {"followers", it.followers},
                    {"changes", it.changes},
                    {"since_us", it.since},
                    {"why", it.why}});
  }
  if (rows.empty()) {
    return PrintError(ExitCode::kFailed,
                      "the log has no event=table_source of a running gateway");
  }
  PrintRows(
      command.format,
      {"table", "gateway", "asks", "followers", "changes", "since_us", "why"},
      rows);
  return ExitCode::kOk;
}

}  // namespace

void AddGatewayCommands(CommandTable* table) {
  table->insert(
      {{"gateway sources", {0, 0, "gateway sources --file LOG", Sources}}});
}

}  // namespace acaciachute
