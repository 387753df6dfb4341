#include "ctl/output.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kIndent = 2;

std::string CellOf(const Json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.is_null() ? "-" : value.dump();
}

std::string Dump(const Json& value) {
  return value.dump(kIndent, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

void PrintRows(OutputFormat format,
               const std::vector<std::string>& columns,
               const Json& rows) {
  if (format == OutputFormat::kJson) {
    std::cout << Dump(rows) << "\n";
    return;
  }
  std::vector<std::vector<std::string>> lines = {columns};
  for (const auto& row : rows) {
    auto& line = lines.emplace_back();
    for (const auto& column : columns) {
      line.push_back(CellOf(row.value(column, Json())));
    }
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t n = 0; n < line.size(); ++n) {
      widths[n] = std::max(widths[n], line[n].size());
    }
  }
  for (const auto& line : lines) {
    for (std::size_t n = 0; n < line.size(); ++n) {
      const bool last = n + 1 == line.size();
      std::cout << std::left
                << std::setw(last ? 0 : static_cast<int>(widths[n])) << line[n]
                << (last ? "\n" : "  ");
    }
  }
}

void PrintObject(OutputFormat format, const Json& object) {
  if (format == OutputFormat::kJson) {
    std::cout << Dump(object) << "\n";
    return;
  }
  for (const auto& [name, value] : object.items()) {
    std::cout << name << ": " << CellOf(value) << "\n";
  }
}

}  // namespace acaciachute
