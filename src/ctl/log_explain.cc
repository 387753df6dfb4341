#include "ctl/log_explain.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "ctl/log_lines.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;
using Describe = std::string (*)(const Json& line);

std::string Refused(const Json& line) {
  return StrCat("refused at once (", TextOf(line, "reason"), ", ",
                TextOf(line, "verdict"), "): ", TextOf(line, "detail"),
                "; configuration ", TextOf(line, "config"), " confirmed ",
                TextOf(line, "config_age_ms"), " ms before");
}
std::string GaveUp(const Json& line) {
  return StrCat("given up (", TextOf(line, "reason"), ", ",
                TextOf(line, "verdict"), "): ", TextOf(line, "detail"),
                "; told to return after ", TextOf(line, "retry_after_ms"),
                " ms");
}
std::string NotRun(const Json& line) {
  return StrCat("replica ", TextOf(line, "replica"), " did not run it (status ",
                TextOf(line, "status"), ")");
}
std::string Lost(const Json& line) {
  return StrCat("lost at replica ", TextOf(line, "replica"), ": ",
                TextOf(line, "why"), "; stream begun: ", TextOf(line, "begun"));
}
std::string StagesAgain(const Json&) {
  return "stages begun again: a result was gone";
}
std::string PiecesAgain(const Json& line) {
  return StrCat(TextOf(line, "pieces"), " pieces for ", TextOf(line, "service"),
                " handed on: ", TextOf(line, "why"));
}
// Lines of earlier versions do not tell it.
std::string ListAge(const Json& line) {
  if (!line.contains("list_ms")) {
    return "";
  }
  return StrCat("; chosen from a list ", TextOf(line, "list_ms"),
                " ms old, connected after ", TextOf(line, "connect_ms"), " ms");
}
std::string Ended(const Json& line) {
  return StrCat("ended: ", TextOf(line, "outcome"), " (status ",
                TextOf(line, "status"), ") after ", TextOf(line, "total_ms"),
                " ms, goal ", TextOf(line, "target_ms"),
                " ms; stages whole at [", TextOf(line, "stages_ms"),
                "] ms, first event at ", TextOf(line, "first_ms"),
                " ms; replica ", TextOf(line, "replica"), ", ",
                TextOf(line, "tried"), " asked, ", TextOf(line, "runs"),
                " runs; configuration ", TextOf(line, "config"), ListAge(line));
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
      TextOf(line, "event"), " ", TextOf(line, "table"), ": ",
      line.contains("why") ? TextOf(line, "why") : std::string("answers"));
}
std::string Config(const Json& line) {
  return StrCat("configuration ", TextOf(line, "version"), " in force");
}
std::string Replica(const Json& line) {
  return StrCat("replica ", TextOf(line, "replica"), " of ",
                TextOf(line, "service"), ": ", TextOf(line, "change"),
                line.contains("list_ms")
                    ? StrCat(", by a list ", TextOf(line, "list_ms"),
                             " ms old until then")
                    : std::string());
}
std::string Peer(const Json& line) {
  return StrCat("gateway ", TextOf(line, "peer"), ": ", TextOf(line, "state"));
}
std::string Source(const Json& line) {
  return StrCat("asks ", TextOf(line, "source"), " for ", TextOf(line, "table"),
                ", before ", TextOf(line, "before"), ", whose last word was ",
                TextOf(line, "age_ms"), " ms old: ", TextOf(line, "why"));
}
std::string CallFailed(const Json& line) {
  return StrCat("a call for pieces of ", TextOf(line, "service"),
                " failed: ", TextOf(line, "why"));
}
std::string Process(const Json& line) {
  return StrCat("process: ", TextOf(line, "event"));
}

// The lines that tell of beliefs and dependencies.
const std::map<std::string, Describe, std::less<>>& AroundLines() {
  static const std::map<std::string, Describe, std::less<>> kLines = {
      {"table_lost", Table},
      {"table_back", Table},
      {"table_history_gone", Table},
      {"table_source", Source},
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

void Describes(const std::map<std::string, Describe, std::less<>>& table,
               const Json& line,
               std::vector<LogEvent>* out) {
  const auto it = table.find(TextOf(line, "event"));
  if (it != table.end()) {
    out->push_back({line.value("at_us", TimeUs{0}), TextOf(line, "node"),
                    it->second(line)});
  }
}

void SortByTime(std::vector<LogEvent>* events) {
  std::stable_sort(
      events->begin(), events->end(),
      [](const LogEvent& a, const LogEvent& b) { return a.at < b.at; });
}

}  // namespace

LogExplanation ExplainFromLog(std::istream* log, std::string_view id) {
  const std::vector<Json> lines = ReadLogLines(log);
  LogExplanation out;
  for (const Json& it : lines) {
    if (TextOf(it, "id") == id) {
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
    if (at >= from && at <= to && nodes.contains(TextOf(it, "node"))) {
      Describes(AroundLines(), it, &out.around);
    }
  }
  SortByTime(&out.around);
  return out;
}

}  // namespace acaciachute
