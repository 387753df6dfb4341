#include "ctl/log_explain.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;
using Describe = std::string (*)(const Json& line);

std::string Of(const Json& line, const char* name) {
  const auto it = line.find(name);
  if (it == line.end()) {
    return "?";
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

std::string Refused(const Json& line) {
  return StrCat("refused at once (", Of(line, "reason"), ", ",
                Of(line, "verdict"), "): ", Of(line, "detail"),
                "; configuration ", Of(line, "config"), " confirmed ",
                Of(line, "config_age_ms"), " ms before");
}
std::string GaveUp(const Json& line) {
  return StrCat("given up (", Of(line, "reason"), ", ", Of(line, "verdict"),
                "): ", Of(line, "detail"), "; told to return after ",
                Of(line, "retry_after_ms"), " ms");
}
std::string NotRun(const Json& line) {
  return StrCat("replica ", Of(line, "replica"), " did not run it (status ",
                Of(line, "status"), ")");
}
std::string Lost(const Json& line) {
  return StrCat("lost at replica ", Of(line, "replica"), ": ", Of(line, "why"),
                "; stream begun: ", Of(line, "begun"));
}
std::string StagesAgain(const Json&) {
  return "stages begun again: a result was gone";
}
std::string PiecesAgain(const Json& line) {
  return StrCat(Of(line, "pieces"), " pieces for ", Of(line, "service"),
                " handed on: ", Of(line, "why"));
}
std::string Ended(const Json& line) {
  return StrCat("ended: ", Of(line, "outcome"), " (status ", Of(line, "status"),
                ") after ", Of(line, "total_ms"), " ms, goal ",
                Of(line, "target_ms"), " ms; stages whole at [",
                Of(line, "stages_ms"), "] ms, first event at ",
                Of(line, "first_ms"), " ms; replica ", Of(line, "replica"),
                ", ", Of(line, "tried"), " asked, ", Of(line, "runs"),
                " runs; configuration ", Of(line, "config"));
}

// The lines that carry a request's id.
const std::map<std::string, Describe, std::less<>>& RequestLines() {
  static const std::map<std::string, Describe, std::less<>> kLines = {
      {"refused", Refused},
      {"gave_up", GaveUp},
      {"not_run", NotRun},
      {"lost", Lost},
      {"stages_again", StagesAgain},
      {"pieces_again", PiecesAgain},
      {"request", Ended}};
  return kLines;
}

std::string Table(const Json& line) {
  return StrCat(
      Of(line, "event"), " ", Of(line, "table"), ": ",
      line.contains("why") ? Of(line, "why") : std::string("answers"));
}
std::string Config(const Json& line) {
  return StrCat("configuration ", Of(line, "version"), " in force");
}
std::string Replica(const Json& line) {
  return StrCat("replica ", Of(line, "replica"), " of ", Of(line, "service"),
                ": ", Of(line, "change"));
}
std::string Peer(const Json& line) {
  return StrCat("gateway ", Of(line, "peer"), ": ", Of(line, "state"));
}
std::string CallFailed(const Json& line) {
  return StrCat("a call for pieces of ", Of(line, "service"),
                " failed: ", Of(line, "why"));
}
std::string Process(const Json& line) {
  return StrCat("process: ", Of(line, "event"));
}

// The lines that tell of beliefs and dependencies.
const std::map<std::string, Describe, std::less<>>& AroundLines() {
  static const std::map<std::string, Describe, std::less<>> kLines = {
      {"table_lost", Table},
      {"table_back", Table},
      {"table_history_gone", Table},
      {"config", Config},
      {"config_refused", Table},
      {"replica", Replica},
      {"peer", Peer},
      {"piece_call_failed", CallFailed},
      {"start", Process},
      {"drain", Process},
      {"stop", Process},
      {"log_dropped", Process}};
  return kLines;
}

std::vector<Json> ReadLines(std::istream* log) {
  std::vector<Json> lines;
  std::string text;
  while (std::getline(*log, text)) {
    const auto at = text.find('{');
    if (at == std::string::npos) {
      continue;
    }
    Json line = Json::parse(text.begin() + static_cast<std::ptrdiff_t>(at),
                            text.end(), nullptr, false);
    if (line.is_object() && line.contains("event")) {
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

void Describes(const std::map<std::string, Describe, std::less<>>& table,
               const Json& line,
               std::vector<LogEvent>* out) {
  const auto it = table.find(Of(line, "event"));
  if (it != table.end()) {
    out->push_back(
        {line.value("at_us", TimeUs{0}), Of(line, "node"), it->second(line)});
  }
}

void SortByTime(std::vector<LogEvent>* events) {
  std::stable_sort(
      events->begin(), events->end(),
      [](const LogEvent& a, const LogEvent& b) { return a.at < b.at; });
}

}  // namespace

LogExplanation ExplainFromLog(std::istream* log, std::string_view id) {
  const std::vector<Json> lines = ReadLines(log);
  LogExplanation out;
  for (const Json& it : lines) {
    if (Of(it, "id") == id) {
      Describes(RequestLines(), it, &out.request);
    }
  }
  if (!out.found()) {
    return out;
  }
  SortByTime(&out.request);
  std::set<std::string> nodes;
  for (const LogEvent& it : out.request) {
    nodes.insert(it.node);
  }
  const TimeUs from = out.request.front().at - kExplainBefore;
  const TimeUs to = out.request.back().at;
  for (const Json& it : lines) {
    const TimeUs at = it.value("at_us", TimeUs{0});
    if (at >= from && at <= to && nodes.contains(Of(it, "node"))) {
      Describes(AroundLines(), it, &out.around);
    }
  }
  SortByTime(&out.around);
  return out;
}

}  // namespace acaciachute
