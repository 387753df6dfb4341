#include "protocol/crash_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace acaciachute {
namespace {

using Json = nlohmann::json;

// Ages beyond this are read as this one, which outlasts every record.
constexpr std::int64_t kMaxAgeMs = 48LL * 3600 * 1000;

std::int64_t TimeOf(DurationUs age, std::int64_t unix_ms) {
  return unix_ms - age / kMillisecond;
}

DurationUs AgeOf(const Json& time, std::int64_t unix_ms) {
  // Unsigned, so that no time in the row lets the difference overflow.
  const auto age = static_cast<std::int64_t>(
      static_cast<std::uint64_t>(unix_ms) -
      static_cast<std::uint64_t>(time.get<std::int64_t>()));
  return std::clamp<std::int64_t>(age, 0, kMaxAgeMs) * kMillisecond;
}

}  // namespace

std::string EncodeCrashRow(const CrashRecord& record, std::int64_t unix_ms) {
  Json ends = Json::array();
  for (const CrashEnd& it : record.ends) {
    ends.push_back({{"replica", it.replica},
                    {"incarnation", it.incarnation},
                    {"began_ms", TimeOf(it.began_age, unix_ms)},
                    {"ended_ms", TimeOf(it.age, unix_ms)}});
  }
  Json row = {{"fingerprint", record.fingerprint},
              {"account", record.account},
              {"ends", std::move(ends)}};
  if (record.answered_age != kNever) {
    row["answered_ms"] = TimeOf(record.answered_age, unix_ms);
  }
  return row.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<CrashRecord> DecodeCrashRow(std::string_view text,
                                           std::int64_t unix_ms) {
  try {
    const Json row = Json::parse(text);
    CrashRecord record;
    record.fingerprint = row.at("fingerprint").get<std::string>();
    record.account = row.at("account").get<std::string>();
    if (row.contains("answered_ms")) {
      record.answered_age = AgeOf(row["answered_ms"], unix_ms);
    }
    for (const Json& it : row.at("ends")) {
      record.ends.push_back({it.at("replica").get<std::string>(),
                             it.at("incarnation").get<Incarnation>(),
                             AgeOf(it.at("ended_ms"), unix_ms),
                             AgeOf(it.at("began_ms"), unix_ms)});
    }
    return record;
  } catch (const Json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace acaciachute
