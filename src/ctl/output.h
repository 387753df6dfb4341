// Tables for people, JSON for programs.
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

// Prints an array of objects: one row each with the members in `columns`, or
// the whole array as JSON.
void PrintRows(OutputFormat format,
               const std::vector<std::string>& columns,
               const nlohmann::json& rows);

// Prints one object: a line a member, or the whole as JSON.
void PrintObject(OutputFormat format, const nlohmann::json& object);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_OUTPUT_H_
