// Commands `status`, `explain`, `cost` and `trace show`, which read the state
// of entries.
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "ctl/platform_table.h"
#include "ctl/settings_access.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;

std::optional<Json> GetJson(const std::string& url) {
  HttpRequest request;
  request.url = url;
  request.repeatable = true;
  const HttpResult result = CallAndWait(request);
  Json json = Json::parse(result.body, nullptr, false);
  if (result.status != kHttpOk || !result.ended() || json.is_discarded()) {
    return std::nullopt;
  }
  return json;
}

// Requests `path` from each entry. The result is nullopt for entries that do
// not answer.
std::vector<std::pair<std::string, std::optional<Json>>> AskEntries(
    const Command& command,
    const std::string& path) {
  std::vector<std::pair<std::string, std::optional<Json>>> out;
  out.reserve(command.entry_urls.size());
  for (const auto& url : command.entry_urls) {
    out.emplace_back(url, GetJson(url + path));
  }
  return out;
}

ExitCode CheckEntriesGiven(const Command& command) {
  return command.entry_urls.empty()
             ? PrintError(ExitCode::kUsage, "--entry URL is required")
             : ExitCode::kOk;
}

ExitCode Status(const Command& command) {
  if (const auto code = CheckEntriesGiven(command); code != ExitCode::kOk) {
    return code;
  }
  Json rows = Json::array();
  bool all_answered = true;
  for (const auto& [url, status] : AskEntries(command, "/status")) {
    all_answered = all_answered && status.has_value();
    if (!status) {
      rows.push_back({{"seen_by", url}, {"state", "no answer"}});
      continue;
    }
    rows.push_back(
        {{"seen_by", url},
         {"node", status->value("node", "")},
         {"role", "entry"},
         {"state", status->value("draining", false) ? "leaving" : "ready"},
         {"in_progress", status->value("in_progress", 0)},
         {"versions", status->value("branches", Json())}});
    for (Json it : status->value("replicas", Json::array())) {
      it["seen_by"] = status->value("node", "");
      it["role"] = "sidecar";
      rows.push_back(std::move(it));
    }
  }
  PrintRows(command.format,
            {"seen_by", "node", "role", "pool", "failure_domain", "state",
             "queued", "in_progress", "limit", "versions"},
            rows);
  return all_answered ? ExitCode::kOk : ExitCode::kUnavailable;
}

Json ExplainStage(const Json& status, const std::string& pool) {
  Json row = {{"pool", pool}, {"ready", 0}, {"best", nullptr}, {"waiting", 0}};
  std::uint32_t least_work = 0;
  for (const auto& it : status.value("replicas", Json::array())) {
    if (it.value("pool", "") != pool) {
      continue;
    }
    if (it.value("state", "") != "ready") {
      row["not_ready"].push_back(
          StrCat(it.value("node", ""), " ", it.value("state", "")));
      continue;
    }
    row["ready"] = row["ready"].get<int>() + 1;
    const auto work = it.value("queued", 0U) + it.value("in_progress", 0U);
    row["waiting"] =
        row["waiting"].get<std::uint32_t>() + it.value("queued", 0U);
    if (row["best"].is_null() || work < least_work) {
      row["best"] = it.value("node", "");
      least_work = work;
    }
  }
  row["verdict"] = row["ready"] == 0 ? "refused: no_replica" : "would run";
  return row;
}

// Prints, for each stage of the event and each entry, the number of replicas
// that the entry considers ready and which of them has the least work.
ExitCode Explain(const Command& command) {
  if (const auto code = CheckEntriesGiven(command); code != ExitCode::kOk) {
    return code;
  }
  const auto branches = ReadBranches(command);
  if (!branches.ok()) {
    return PrintReadError(branches.status());
  }
  const Event* event = nullptr;
  for (const auto& branch : *branches) {
    const auto it = branch.events.find(command.words[0]);
    event = it == branch.events.end() ? event : &it->second;
  }
  if (event == nullptr) {
    return PrintError(ExitCode::kFailed, "refused: unknown_event");
  }
  Json rows = Json::array();
  for (const auto& [url, status] : AskEntries(command, "/status")) {
    if (!status) {
      return PrintError(ExitCode::kUnavailable, url + " does not answer");
    }
    for (const auto& stage : event->stages) {
      Json row = ExplainStage(*status, stage.pool);
      row["entry"] = status->value("node", "");
      rows.push_back(std::move(row));
    }
  }
  PrintRows(
      command.format,
      {"entry", "pool", "verdict", "ready", "waiting", "best", "not_ready"},
      rows);
  return ExitCode::kOk;
}

ExitCode Cost(const Command& command) {
  if (const auto code = CheckEntriesGiven(command); code != ExitCode::kOk) {
    return code;
  }
  // Each entry counts its own requests, so rows with equal keys are summed.
  std::map<std::string, Json> sums;
  for (const auto& [url, cost] : AskEntries(command, "/cost")) {
    if (!cost || !cost->is_array()) {
      return PrintError(ExitCode::kUnavailable, url + " does not answer");
    }
    for (const auto& row : *cost) {
      Json& sum =
          sums[StrCat(row.value("event", ""), "\n", row.value("account", ""),
                      "\n", row.value("pool", ""))];
      if (sum.is_null()) {
        sum = row;
        continue;
      }
      for (const char* name : {"requests", "attempts", "service_us"}) {
        sum[name] = sum.value(name, 0LL) + row.value(name, 0LL);
      }
    }
  }
  Json rows = Json::array();
  for (auto& [unused, row] : sums) {
    rows.push_back(std::move(row));
  }
  PrintRows(command.format,
            {"event", "account", "pool", "requests", "attempts", "service_us"},
            rows);
  return ExitCode::kOk;
}

void CollectSpans(const Json& trace, Json* rows) {
  for (const auto& resource : trace.value("resourceSpans", Json::array())) {
    for (const auto& scope : resource.value("scopeSpans", Json::array())) {
      for (const auto& span : scope.value("spans", Json::array())) {
        const auto start = std::stoll(span.value("startTimeUnixNano", "0"));
        const auto end = std::stoll(span.value("endTimeUnixNano", "0"));
        Json row = {{"name", span.value("name", "")},
                    {"span", span.value("spanId", "")},
                    {"parent", span.value("parentSpanId", "")},
                    {"start_us", start / 1000},
                    {"took_us", (end - start) / 1000}};
        for (const auto& it : span.value("attributes", Json::array())) {
          row[it.value("key", "")] = it["value"].value("stringValue", "");
        }
        rows->push_back(std::move(row));
      }
    }
  }
}

ExitCode TraceShow(const Command& command) {
  if (const auto code = CheckEntriesGiven(command); code != ExitCode::kOk) {
    return code;
  }
  Json rows = Json::array();
  for (const auto& [unused, trace] :
       AskEntries(command, "/traces/" + command.words[0])) {
    if (trace) {
      CollectSpans(*trace, &rows);
    }
  }
  std::sort(rows.begin(), rows.end(), [](const Json& a, const Json& b) {
    return a["start_us"] < b["start_us"];
  });
  PrintRows(command.format,
            {"start_us", "took_us", "name", "node", "outcome", "verdict",
             "span", "parent"},
            rows);
  return rows.empty() ? ExitCode::kFailed : ExitCode::kOk;
}

}  // namespace

void AddViewCommands(CommandTable* table) {
  table->insert({
      {"status", {0, 0, "status --entry URL,...", Status}},
      {"explain", {1, 1, "explain EVENT", Explain}},
      {"cost", {0, 0, "cost --entry URL,...", Cost}},
      {"trace show", {1, 1, "trace show TRACE-ID --entry URL,...", TraceShow}},
  });
}

}  // namespace acaciachute
