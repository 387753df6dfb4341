// Prints results as tables for people or as JSON for programs.
#ifndef ACACIACHUTE_SRC_CTL_OUTPUT_H_
#define ACACIACHUTE_SRC_CTL_OUTPUT_H_

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace acaciachute {

enum class OutputFormat { kTable, kJson };
inline constexpr std::array<std::string_view, 2> kOutputFormatNames = {"table",
                                                                       "json"};

// Prints an array of objects: as a table with the members in `columns`, or as
// JSON with all members.
void PrintRows(OutputFormat format,
               const std::vector<std::string>& columns,
               const nlohmann::json& rows);

// Prints an object: one line per member, or as JSON.
void PrintObject(OutputFormat format, const nlohmann::json& object);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_OUTPUT_H_
