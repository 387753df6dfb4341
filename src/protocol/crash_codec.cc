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

std::string EncodeCrashRow(const CrashReport& report, std::int64_t unix_ms) {
  Json ends = Json::array();
  for (const CrashEnd& end : report.ends) {
    Json suspects = Json::array();
    for (const CrashSuspect& it : end.suspects) {
      suspects.push_back({{"cause", Text(it.cause)},
                          {"account", it.account},
                          {"began_ms", TimeOf(it.began_age, unix_ms)},
                          {"tried", it.tried}});
      if (it.cleared_age != kNever) {
        suspects.back()["cleared_ms"] = TimeOf(it.cleared_age, unix_ms);
      }
    }
    ends.push_back({{"replica", end.replica},
                    {"incarnation", end.incarnation},
                    {"ended_ms", TimeOf(end.age, unix_ms)},
                    {"suspects", std::move(suspects)}});
  }
  return Json({{"ends", std::move(ends)}})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<CrashReport> DecodeCrashRow(std::string_view text,
                                           std::int64_t unix_ms) {
  try {
    const Json row = Json::parse(text);
    CrashReport report;
    for (const Json& in : row.at("ends")) {
      CrashEnd& end = report.ends.emplace_back();
      end.replica = in.at("replica").get<std::string>();
      end.incarnation = in.at("incarnation").get<Incarnation>();
      end.age = AgeOf(in.at("ended_ms"), unix_ms);
      for (const Json& it : in.at("suspects")) {
        CrashSuspect& suspect = end.suspects.emplace_back();
        suspect.cause = ParseCause(it.at("cause").get<std::string>());
        suspect.account = it.at("account").get<std::string>();
        suspect.began_age = AgeOf(it.at("began_ms"), unix_ms);
        suspect.tried = it.at("tried").get<bool>();
        if (it.contains("cleared_ms")) {
          suspect.cleared_age = AgeOf(it["cleared_ms"], unix_ms);
        }
      }
    }
    return report;
  } catch (const Json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace acaciachute
