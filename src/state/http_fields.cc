#include "state/http_fields.h"

#include <array>

#include "text.h"

namespace acaciachute {
namespace {

constexpr std::array<std::string_view, 8> kHopByHop = {
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "proxy-authenticate",
};

}  // namespace

const std::string* FindField(const HttpFields& fields, std::string_view name) {
  for (const auto& it : fields) {
    if (EqualsIgnoreCase(it.name, name)) {
      return &it.value;
    }
  }
  return nullptr;
}

bool IsHopByHop(const HttpFields& fields, std::string_view name) {
  for (const auto& it : kHopByHop) {
    if (EqualsIgnoreCase(it, name)) {
      return true;
    }
  }
  const std::string* listed = FindField(fields, "connection");
  if (listed == nullptr) {
    return false;
  }
  for (const auto& it : Split(*listed, ',')) {
    if (EqualsIgnoreCase(Trim(it), name)) {
      return true;
    }
  }
  return false;
}

}  // namespace acaciachute
