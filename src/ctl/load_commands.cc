// Command `load explain`: summarizes the outcomes of the requests in gateways'
// logs and their causes.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "ctl/command.h"
#include "ctl/load_summary.h"
#include "ctl/log_lines.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

Json RowsOf(const LoadSummary& summary) {
  Json rows = Json::array();
  for (const LoadRow& it : summary.rows) {
    rows.push_back({{"route", it.route},
                    {"admitted", it.admitted},
                    {"outcome", it.outcome},
                    {"requests", it.requests},
                    {"median_ms", it.median_ms},
                    {"p99_ms", it.p99_ms},
                    {"expected_wait_ms", it.expected_wait_ms}});
  }
  return rows;
}

Json CausesOf(const LoadSummary& summary) {
  Json rows = Json::array();
  for (const LoadCause& it : summary.causes) {
    rows.push_back({{"event", it.event},
                    {"reason", it.reason},
                    {"detail", it.detail},
                    {"times", it.times}});
  }
  return rows;
}

Json StagesOf(const LoadSummary& summary) {
  Json rows = Json::array();
  for (const StageLoad& it : summary.stages) {
    rows.push_back({{"service", it.service},
                    {"calls", it.calls},
                    {"pieces", it.pieces},
                    {"most_waiting", it.most_waiting},
                    {"slowness", it.slowness}});
  }
  return rows;
}

ExitCode Explain(const Command& command) {
  LoadReader reader;
  for (const std::string& path : command.words) {
    std::ifstream file;
    std::istream* log = OpenLog(path, &file);
    if (log == nullptr) {
      return PrintError(ExitCode::kUsage, StrCat("cannot read ", path));
    }
    ForEachLogLine(log, [&](const Json& line) { reader.AddLine(line); });
  }
  const LoadSummary summary = reader.Summary();
  if (summary.rows.empty() && summary.causes.empty()) {
    return PrintError(ExitCode::kFailed, "the logs have no event of a request");
  }
  if (command.format == OutputFormat::kJson) {
    PrintObject(command.format, {{"requests", RowsOf(summary)},
                                 {"causes", CausesOf(summary)},
                                 {"stages", StagesOf(summary)}});
    return ExitCode::kOk;
  }
  PrintRows(command.format,
            {"route", "admitted", "outcome", "requests", "median_ms", "p99_ms",
             "expected_wait_ms"},
            RowsOf(summary));
  std::cout << "\n";
  PrintRows(command.format, {"times", "event", "reason", "detail"},
            CausesOf(summary));
  std::cout << "\n";
  PrintRows(command.format,
            {"service", "calls", "pieces", "most_waiting", "slowness"},
            StagesOf(summary));
  return ExitCode::kOk;
}

}  // namespace

void AddLoadCommands(CommandTable* table) {
  constexpr std::size_t kMaxLogFiles = 10'000;
  table->insert(
      {{"load explain", {1, kMaxLogFiles, "load explain LOG...", Explain}}});
}

}  // namespace acaciachute
