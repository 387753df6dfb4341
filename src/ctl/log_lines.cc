#include "ctl/log_lines.h"

#include <iostream>

namespace acaciachute {

using Json = nlohmann::json;

std::string TextOf(const Json& line, const char* name) {
  const auto it = line.find(name);
  if (it == line.end()) {
    return "?";
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

std::int64_t NumberOf(const Json& line,
                      const char* name,
                      std::int64_t fallback) {
  const auto it = line.find(name);
  if (it == line.end() || !it->is_number()) {
    return fallback;
  }
  return it->is_number_integer() ? it->get<std::int64_t>()
                                 : static_cast<std::int64_t>(it->get<double>());
}

std::istream* OpenLog(const std::string& path, std::ifstream* file) {
  if (path.empty() || path == "-") {
    return &std::cin;
  }
  file->open(path);
  return *file ? file : nullptr;
}

void ForEachLogLine(std::istream* log,
                    const std::function<void(const Json&)>& callback) {
  std::string text;
  while (std::getline(*log, text)) {
    const auto at = text.find('{');
    if (at == std::string::npos) {
      continue;
    }
    const Json line =
        Json::parse(text.begin() + static_cast<std::ptrdiff_t>(at), text.end(),
                    nullptr, false);
    if (line.is_object() && line.contains("event")) {
      callback(line);
    }
  }
}

std::vector<Json> ReadLogLines(std::istream* log) {
  std::vector<Json> lines;
  ForEachLogLine(log, [&](const Json& it) { lines.push_back(it); });
  return lines;
}

}  // namespace acaciachute
