// Commands `request send|status|explain`: send a request as a caller would,
// show the state of one, and explain the outcome of one from logs.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "ctl/command.h"
#include "ctl/log_explain.h"
#include "ctl/log_lines.h"
#include "ctl/platform_table.h"
#include "protocol/event_stream.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;

// Whether the answer shows that it is whole: by its stated length, as a JSON
// document that states its own end, or as a stream by its end event.
bool IsWhole(const HttpResult& result, const Json& body) {
  if (!result.ended() || StatesComplete(result.end)) {
    return result.ended();
  }
  if (!body.is_discarded()) {
    return !body.is_number();
  }
  const auto events = EventStreamReader().Add(result.body);
  return !events.empty() && events.back().name == "end";
}

ExitCode ShowAnswer(const Command& command, const HttpResult& result) {
  if (result.status == 0) {
    return PrintError(ExitCode::kUnavailable,
                      StrCat("the entry does not answer: ", result.error));
  }
  const Json body = Json::parse(result.body, nullptr, false);
  const bool whole = IsWhole(result, body);
  Json shown = {{"http_status", result.status}, {"whole", whole}};
  for (const auto& [name, value] : result.headers) {
    if (name.starts_with("Acaciachute-") || name == "traceparent" ||
        name == "Retry-After") {
      shown[name] = value;
    }
  }
  shown["body"] = body.is_discarded() ? Json(result.body) : body;
  PrintObject(command.format, shown);
  return result.status == kHttpOk && whole ? ExitCode::kOk : ExitCode::kFailed;
}

ExitCode Call(const Command& command, HttpRequest request) {
  if (command.entry_urls.empty()) {
    return PrintError(ExitCode::kUsage, "--entry URL is required");
  }
  request.url = command.entry_urls[0] + request.url;
  request.headers.emplace_back("Authorization", "Bearer " + command.token);
  return ShowAnswer(command, CallAndWait(request));
}

ExitCode Send(const Command& command) {
  HttpRequest request;
  request.method = "POST";
  request.url = StrCat("/v1/events/", command.words[0], "/requests");
  request.body = command.body;
  request.headers = {{"Acaciachute-Class", command.caller_class}};
  if (command.deadline_ms > 0) {
    request.headers.emplace_back("Acaciachute-Deadline-Ms",
                                 StrCat(command.deadline_ms));
  }
  if (!command.key.empty()) {
    request.headers.emplace_back("Idempotency-Key", command.key);
    request.headers.emplace_back("Acaciachute-Idempotent", "false");
  }
  if (command.stream) {
    request.headers.emplace_back("Accept", "text/event-stream");
  }
  return Call(command, std::move(request));
}

ExitCode Status(const Command& command) {
  HttpRequest request;
  request.url =
      StrCat("/v1/events/", command.words[0], "/requests/", command.words[1]);
  return Call(command, std::move(request));
}

Json RowsOf(const std::vector<LogEvent>& events) {
  Json rows = Json::array();
  for (const LogEvent& it : events) {
    rows.push_back({{"at_us", it.at}, {"node", it.node}, {"what", it.text}});
  }
  return rows;
}

ExitCode Explain(const Command& command) {
  std::ifstream file;
  std::istream* log = OpenLog(command.file, &file);
  if (log == nullptr) {
    return PrintError(ExitCode::kUsage, StrCat("cannot read ", command.file));
  }
  const LogExplanation found = ExplainFromLog(log, command.words[0]);
  if (!found.found()) {
    return PrintError(
        ExitCode::kFailed,
        StrCat("the log has no event of request ", command.words[0]));
  }
  const std::vector<std::string> columns = {"at_us", "node", "what"};
  if (command.format == OutputFormat::kJson) {
    PrintObject(command.format, {{"request", RowsOf(found.request)},
                                 {"around", RowsOf(found.around)}});
    return ExitCode::kOk;
  }
  PrintRows(command.format, columns, RowsOf(found.request));
  std::cout
      << "\nchanges of state at its gateways before and during the request\n";
  PrintRows(command.format, columns, RowsOf(found.around));
  return ExitCode::kOk;
}

}  // namespace

void AddRequestCommands(CommandTable* table) {
  table->insert({
      {"request send", {1, 1, "request send EVENT --body JSON", Send}},
      {"request explain", {1, 1, "request explain ID --file LOG", Explain}},
      {"request status", {2, 2, "request status EVENT KEY", Status}},
  });
}

}  // namespace acaciachute
