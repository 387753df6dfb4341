#include "protocol/stream_row_codec.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>
#include <vector>

#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

// Ages beyond this are read as this one, which outlasts every record.
constexpr std::int64_t kMaxAgeMs = 48LL * 3600 * 1000;

DurationUs AgeOf(std::int64_t began_ms, std::int64_t unix_ms) {
  // Unsigned, so that no time in the row lets the difference overflow.
  const auto age =
      static_cast<std::int64_t>(static_cast<std::uint64_t>(unix_ms) -
                                static_cast<std::uint64_t>(began_ms));
  return std::clamp<std::int64_t>(age, 0, kMaxAgeMs) * kMillisecond;
}

}  // namespace

std::string StreamRowKey(const StreamRow& row) {
  return StrCat(row.node, "/", row.slot);
}

// Most streams share account, service and version, so these stand once.
std::string EncodeStreamRow(const StreamRow& row, std::int64_t unix_ms) {
  std::map<std::tuple<std::string, std::string, std::string>, Json> groups;
  for (const StreamOrigin& it : row.streams) {
    Json& streams = groups[{it.account, it.service, it.version}];
    streams.push_back({it.attempt, unix_ms - it.age / kMillisecond});
  }
  Json out = Json::array();
  for (auto& [shared, streams] : groups) {
    const auto& [account, service, version] = shared;
    out.push_back({{"account", account},
                   {"service", service},
                   {"version", version},
                   {"streams", std::move(streams)}});
  }
  return Json({{"groups", std::move(out)}})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<StreamRow> DecodeStreamRow(const std::string& key,
                                          std::string_view text,
                                          std::int64_t unix_ms) {
  const auto slash = key.rfind('/');
  const auto slot =
      slash == std::string::npos
          ? std::nullopt
          : ParseNumber<std::uint32_t>(std::string_view(key).substr(slash + 1));
  if (!slot) {
    return absl::InvalidArgumentError("the key has no gateway and number");
  }
  try {
    StreamRow row = {key.substr(0, slash), *slot, {}};
    const Json json = Json::parse(text);
    for (const Json& group : json.at("groups")) {
      StreamOrigin shared;
      shared.account = group.at("account").get<std::string>();
      shared.service = group.at("service").get<std::string>();
      shared.version = group.at("version").get<std::string>();
      for (const Json& it : group.at("streams")) {
        shared.attempt = it.at(0).get<std::string>();
        shared.age = AgeOf(it.at(1).get<std::int64_t>(), unix_ms);
        row.streams.push_back(shared);
      }
    }
    return row;
  } catch (const Json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace acaciachute
