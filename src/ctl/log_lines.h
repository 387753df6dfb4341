// Reads gateways' logs, which have one JSON object per line.
#ifndef ACACIACHUTE_SRC_CTL_LOG_LINES_H_
#define ACACIACHUTE_SRC_CTL_LOG_LINES_H_

#include <cstdint>
#include <fstream>
#include <functional>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace acaciachute {

// Opens the log at `path` in `file`, or uses standard input if `path` is empty
// or "-". Returns null when the file cannot be opened.
std::istream* OpenLog(const std::string& path, std::ifstream* file);

// Calls `callback` for each line that is an event; other lines are skipped.
// Text before the JSON object, such as a log collector's time stamp, is
// ignored.
void ForEachLogLine(std::istream* log,
                    const std::function<void(const nlohmann::json&)>& callback);
std::vector<nlohmann::json> ReadLogLines(std::istream* log);

// Returns a member of the line as text, or "?" if it is missing.
std::string TextOf(const nlohmann::json& line, const char* name);

// Returns a member of the line as a whole number, or `fallback` if it is
// missing or no number.
std::int64_t NumberOf(const nlohmann::json& line,
                      const char* name,
                      std::int64_t fallback = 0);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_LOG_LINES_H_
