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
using Describer = std::string (*)(const Json& line);

std::string DescribeRefused(const Json& line) {
  return StrCat("refused at admission (", TextOf(line, "reason"), ", ",
                TextOf(line, "verdict"), "): ", TextOf(line, "detail"),
                "; configuration ", TextOf(line, "config"), " last confirmed ",
                TextOf(line, "config_age_ms"), " ms before");
}
std::string DescribeGaveUp(const Json& line) {
  return StrCat("abandoned (", TextOf(line, "reason"), ", ",
                TextOf(line, "verdict"), "): ", TextOf(line, "detail"),
                "; client may retry after ", TextOf(line, "retry_after_ms"),
                " ms");
}
std::string DescribeNotRun(const Json& line) {
  return StrCat("not run by replica ", TextOf(line, "replica"), " (status ",
                TextOf(line, "status"), ")");
}
// Returns an empty text for lines of earlier versions, which lack the fields.
std::string DescribeAnswerEnd(const Json& line) {
  if (!line.contains("answer_end")) {
    return "";
  }
  return StrCat("; the replica's answer was to end with ",
                TextOf(line, "expected_end"), " and ended with ",
                TextOf(line, "answer_end"), " after ",
                TextOf(line, "answer_bytes"), " bytes, ",
                TextOf(line, "events"), " events and ",
                TextOf(line, "rest_bytes"), " bytes of an unfinished one");
}
std::string DescribeLost(const Json& line) {
  return StrCat(
      "lost at replica ", TextOf(line, "replica"), ": ", TextOf(line, "why"),
      "; stream started: ", TextOf(line, "begun"), DescribeAnswerEnd(line));
}
std::string DescribeStagesAgain(const Json&) {
  return "stages restarted: a result was no longer available";
}
std::string DescribePiecesAgain(const Json& line) {
  return StrCat(TextOf(line, "pieces"), " pieces for ", TextOf(line, "service"),
                " resubmitted: ", TextOf(line, "why"));
}
// Returns an empty text for lines of earlier versions, which lack the fields.
std::string DescribeListAge(const Json& line) {
  if (!line.contains("list_ms")) {
    return "";
  }
  return StrCat("; chosen from a list ", TextOf(line, "list_ms"),
                " ms old, connected after ", TextOf(line, "connect_ms"), " ms");
}
std::string DescribeEnd(const Json& line) {
  return StrCat(
      "ended: ", TextOf(line, "outcome"), " (status ", TextOf(line, "status"),
      ") after ", TextOf(line, "total_ms"), " ms, target ",
      TextOf(line, "target_ms"), " ms; stages complete at [",
      TextOf(line, "stages_ms"), "] ms, first event at ",
      TextOf(line, "first_ms"), " ms; replica ", TextOf(line, "replica"), ", ",
      TextOf(line, "tried"), " replicas tried, ", TextOf(line, "runs"),
      " runs; configuration ", TextOf(line, "config"), DescribeListAge(line),
      DescribeAnswerEnd(line),
      line.contains("client_end")
          ? StrCat("; the client's ended with ", TextOf(line, "client_end"))
          : std::string());
}

// Events whose lines carry a request's id.
const std::map<std::string, Describer, std::less<>>& RequestEvents() {
  static const std::map<std::string, Describer, std::less<>> kLines = {
      {"refused", DescribeRefused},
      {"gave_up", DescribeGaveUp},
      {"not_run", DescribeNotRun},
      {"lost", DescribeLost},
      {"stages_again", DescribeStagesAgain},
      {"pieces_again", DescribePiecesAgain},
      {"request", DescribeEnd}};
  return kLines;
}

std::string DescribeTable(const Json& line) {
  return StrCat(
      TextOf(line, "event"), " ", TextOf(line, "table"), ": ",
      line.contains("why") ? TextOf(line, "why") : std::string("answers"));
}
std::string DescribeConfig(const Json& line) {
  return StrCat("configuration ", TextOf(line, "version"), " applied");
}
std::string DescribeReplica(const Json& line) {
  return StrCat("replica ", TextOf(line, "replica"), " of ",
                TextOf(line, "service"), ": ", TextOf(line, "change"),
                line.contains("list_ms")
                    ? StrCat(", the previous list was ",
                             TextOf(line, "list_ms"), " ms old")
                    : std::string());
}
std::string DescribePeer(const Json& line) {
  return StrCat("gateway ", TextOf(line, "peer"), ": ", TextOf(line, "state"));
}
std::string DescribeSource(const Json& line) {
  return StrCat("requests table ", TextOf(line, "table"), " from ",
                TextOf(line, "source"), "; previous source ",
                TextOf(line, "before"), ", whose last update was ",
                TextOf(line, "age_ms"), " ms old: ", TextOf(line, "why"));
}
std::string DescribeCallFailed(const Json& line) {
  return StrCat("a call for pieces of ", TextOf(line, "service"),
                " failed: ", TextOf(line, "why"));
}
std::string DescribeProcess(const Json& line) {
  return StrCat("process: ", TextOf(line, "event"));
}

// Events that report changes of a gateway's state or of its dependencies.
const std::map<std::string, Describer, std::less<>>& ContextEvents() {
  static const std::map<std::string, Describer, std::less<>> kLines = {
      {"table_lost", DescribeTable},
      {"table_back", DescribeTable},
      {"table_history_gone", DescribeTable},
      {"table_source", DescribeSource},
      {"config", DescribeConfig},
      {"config_refused", DescribeTable},
      {"replica", DescribeReplica},
      {"peer", DescribePeer},
      {"piece_call_failed", DescribeCallFailed},
      {"start", DescribeProcess},
      {"drain", DescribeProcess},
      {"stop", DescribeProcess},
      {"log_dropped", DescribeProcess}};
  return kLines;
}

void AppendDescription(
    const std::map<std::string, Describer, std::less<>>& table,
    const Json& line,
    std::vector<LogEvent>* out) {
  const auto it = table.find(TextOf(line, "event"));
  if (it != table.end()) {
    out->push_back(
        {NumberOf(line, "at_us"), TextOf(line, "node"), it->second(line)});
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
      AppendDescription(RequestEvents(), it, &out.request);
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
    const TimeUs at = NumberOf(it, "at_us");
    if (at >= from && at <= to && nodes.contains(TextOf(it, "node"))) {
      AppendDescription(ContextEvents(), it, &out.around);
    }
  }
  SortByTime(&out.around);
  return out;
}

}  // namespace acaciachute
