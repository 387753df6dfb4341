// Reads a gateway's log: one JSON object a line.
#ifndef ACACIACHUTE_SRC_CTL_LOG_LINES_H_
#define ACACIACHUTE_SRC_CTL_LOG_LINES_H_

#include <fstream>
#include <functional>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace acaciachute {

// The log at `path`, opened in `file`, or standard input for no path or "-".
// Null when it cannot be read.
std::istream* OpenLog(const std::string& path, std::ifstream* file);

// Lines that are no event are passed over; text before the object, such as a
// collector's time stamp, is ignored.
void ForEachLogLine(std::istream* log,
                    const std::function<void(const nlohmann::json&)>& take);
std::vector<nlohmann::json> ReadLogLines(std::istream* log);

// A member as text; "?" when it is not there.
std::string TextOf(const nlohmann::json& line, const char* name);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_LOG_LINES_H_
