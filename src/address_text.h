// Formats and parses addresses in the form IP:PORT.
#ifndef ACACIACHUTE_SRC_ADDRESS_TEXT_H_
#define ACACIACHUTE_SRC_ADDRESS_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "text.h"
#include "types.h"

namespace acaciachute {

inline std::string AddressText(const Address& address) {
  return StrCat(address.ip, ":", address.port);
}

inline std::optional<Address> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const auto port = ParseNumber<std::uint16_t>(text.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  return Address{std::string(text.substr(0, colon)), *port};
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_ADDRESS_TEXT_H_
