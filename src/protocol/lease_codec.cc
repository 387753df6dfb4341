#include "protocol/lease_codec.h"

#include <nlohmann/json.hpp>

namespace acaciachute {

std::optional<FenceNumber> FenceOfLeaseRow(const StoreRow& row) {
  if (row.version == 0) {
    return 0;
  }
  const auto in = nlohmann::json::parse(row.value, nullptr, false);
  if (!in.is_object() || !in.contains("fence") ||
      !in["fence"].is_number_unsigned()) {
    return std::nullopt;
  }
  return in["fence"].get<FenceNumber>();
}

}  // namespace acaciachute
