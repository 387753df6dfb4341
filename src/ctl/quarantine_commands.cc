// Commands `quarantine list|lift`, for requests that crashed upstreams.
#include <nlohmann/json.hpp>

#include "ctl/command.h"
#include "ctl/platform_table.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;

// Sends the request to the first entry only, because entries exchange their
// quarantine records.
ExitCode CallEntry(const Command& command, HttpRequest request, Json* answer) {
  if (command.entry_urls.empty()) {
    return PrintError(ExitCode::kUsage, "--entry URL is required");
  }
  request.url = command.entry_urls[0] + request.url;
  const HttpResult result = CallAndWait(request);
  if (result.status == 0) {
    return PrintError(ExitCode::kUnavailable,
                      StrCat("the entry does not answer: ", result.error));
  }
  *answer = Json::parse(result.body, nullptr, false);
  return result.status == kHttpOk && answer->is_object()
             ? ExitCode::kOk
             : PrintError(ExitCode::kFailed,
                          StrCat("the entry answered with HTTP status ",
                                 result.status));
}

ExitCode List(const Command& command) {
  HttpRequest request;
  request.url = "/quarantine";
  Json answer;
  if (const auto code = CallEntry(command, request, &answer);
      code != ExitCode::kOk) {
    return code;
  }
  PrintRows(command.format,
            {"fingerprint", "standing", "account", "crashed_at", "age_ms"},
            answer.value("quarantine", Json::array()));
  return ExitCode::kOk;
}

ExitCode Lift(const Command& command) {
  HttpRequest request;
  request.method = "POST";
  request.url = "/quarantine/lift";
  request.body = Json{{"fingerprint", command.words[0]}}.dump();
  Json answer;
  if (const auto code = CallEntry(command, request, &answer);
      code != ExitCode::kOk) {
    return code;
  }
  PrintObject(command.format, {{"lifted", command.words[0]}});
  return ExitCode::kOk;
}

}  // namespace

void AddQuarantineCommands(CommandTable* table) {
  table->insert({
      {"quarantine list", {0, 0, "quarantine list --entry URL", List}},
      {"quarantine lift",
       {1, 1, "quarantine lift FINGERPRINT --entry URL", Lift}},
  });
}

}  // namespace acaciachute
