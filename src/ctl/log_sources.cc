#include "ctl/log_sources.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "ctl/log_lines.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;
using Key = std::pair<std::string, std::string>;  // Table and gateway.

void AddLine(const Json& line, std::map<Key, GatewaySource>* sources) {
  const std::string gateway = TextOf(line, "node");
  const std::string event = TextOf(line, "event");
  if (event == "start" || event == "stop") {
    std::erase_if(*sources,
                  [&](const auto& it) { return it.first.second == gateway; });
    return;
  }
  if (event != "table_source") {
    return;
  }
  GatewaySource& it = (*sources)[{TextOf(line, "table"), gateway}];
  it.table = TextOf(line, "table");
  it.gateway = gateway;
  it.source = TextOf(line, "source");
  it.since = NumberOf(line, "at_us");
  it.why = TextOf(line, "why");
  ++it.changes;
}

}  // namespace

std::vector<GatewaySource> SourcesFromLog(std::istream* log) {
  std::vector<Json> lines = ReadLogLines(log);
  std::stable_sort(lines.begin(), lines.end(),
                   [](const Json& a, const Json& b) {
                     return NumberOf(a, "at_us") < NumberOf(b, "at_us");
                   });
  std::map<Key, GatewaySource> sources;
  for (const Json& it : lines) {
    AddLine(it, &sources);
  }
  for (const auto& [key, follower] : sources) {
    const auto it = sources.find({key.first, follower.source});
    if (it != sources.end()) {
      ++it->second.followers;
    }
  }
  std::vector<GatewaySource> out;
  out.reserve(sources.size());
  for (auto& [key, it] : sources) {
    out.push_back(std::move(it));
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const GatewaySource& a, const GatewaySource& b) {
                     return std::tie(a.table, b.followers) <
                            std::tie(b.table, a.followers);
                   });
  return out;
}

}  // namespace acaciachute
