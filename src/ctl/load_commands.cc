// Commands `load explain`: summarizes the outcomes of the requests in gateways'
// logs and their causes, and `load retries`: adds up their retries.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "ctl/command.h"
#include "ctl/load_summary.h"
#include "ctl/log_lines.h"
#include "ctl/retry_windows.h"
#include "state/host_settings.h"
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

// Adds all lines of the logs that the command names to `reader`.
template <class Reader>
ExitCode ReadLogs(const Command& command, Reader* reader) {
  for (const std::string& path : command.words) {
    std::ifstream file;
    std::istream* log = OpenLog(path, &file);
    if (log == nullptr) {
      return PrintError(ExitCode::kUsage, StrCat("cannot read ", path));
    }
    ForEachLogLine(log, [&](const Json& line) { reader->AddLine(line); });
  }
  return ExitCode::kOk;
}

ExitCode Explain(const Command& command) {
  LoadReader reader;
  if (const ExitCode read = ReadLogs(command, &reader); read != ExitCode::kOk) {
    return read;
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

ExitCode Retries(const Command& command) {
  // The window of the budget's default settings.
  RetryReader reader(ServiceRetryBudgetLimits{}.window);
  if (const ExitCode read = ReadLogs(command, &reader); read != ExitCode::kOk) {
    return read;
  }
  Json rows = Json::array();
  for (const RetryShare& it : reader.WorstWindows()) {
    rows.push_back({{"service", it.service},
                    {"window_end_us", it.window_end},
                    {"in_window", it.in_window},
                    {"gateway", it.gateway},
                    {"reason", it.reason},
                    {"sent", it.sent},
                    {"refused", it.refused},
                    {"gateways", it.gateways}});
  }
  if (rows.empty()) {
    return PrintError(ExitCode::kFailed, "the logs have no retry");
  }
  PrintRows(command.format,
            {"service", "window_end_us", "in_window", "gateway", "reason",
             "sent", "refused", "gateways"},
            rows);
  return ExitCode::kOk;
}

}  // namespace

void AddLoadCommands(CommandTable* table) {
  // Maximum number of LOG arguments.
  constexpr std::size_t kMaxLogFiles = 10'000;
  table->insert(
      {{"load explain", {1, kMaxLogFiles, "load explain LOG...", Explain}},
       {"load retries", {1, kMaxLogFiles, "load retries LOG...", Retries}}});
}

}  // namespace acaciachute
