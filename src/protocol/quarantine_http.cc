#include "protocol/quarantine_http.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHexBase = 16;

HttpReply Reply(int status, const Json& json) {
  HttpReply reply;
  reply.status = status;
  reply.body = json.dump(-1, ' ', true, Json::error_handler_t::replace);
  return reply;
}

HttpReply List(TimeUs now, const Quarantine& quarantine) {
  Json records = Json::array();
  for (const QuarantineRecord& it : quarantine.All(now)) {
    records.push_back({{"fingerprint", FingerprintText(it.fingerprint)},
                       {"standing", Name(it.quarantine_state)},
                       {"account", it.account},
                       {"crashed_at", it.crashed_at},
                       {"age_ms", it.age / kMillisecond}});
  }
  return Reply(200, {{"quarantine", std::move(records)}});
}

// Returns the fingerprint named in the body, or zero, which is never a valid
// fingerprint.
std::uint64_t ParseFingerprint(std::string_view body) {
  const Json in = Json::parse(body, nullptr, false);
  if (!in.is_object() || !in.contains("fingerprint") ||
      !in["fingerprint"].is_string()) {
    return 0;
  }
  const auto text = in["fingerprint"].get<std::string>();
  std::uint64_t fingerprint = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, fingerprint, kHexBase);
  return result.ec == std::errc() && result.ptr == end ? fingerprint : 0;
}

HttpReply Lift(std::string_view body, TimeUs now, Quarantine* quarantine) {
  const std::uint64_t fingerprint = ParseFingerprint(body);
  if (fingerprint == 0) {
    return Reply(
        kHttpBadRequest,
        {{"error",
          "fingerprint: found no valid one, allowed: a string of hex digits"}});
  }
  if (!quarantine->Lift(now, fingerprint)) {
    return Reply(kHttpNotFound,
                 {{"error", "the fingerprint is not in quarantine"}});
  }
  return Reply(200, {{"lifted", FingerprintText(fingerprint)}});
}

}  // namespace

std::optional<HttpReply> ServeQuarantine(const HttpHead& head,
                                         std::string_view body,
                                         TimeUs now,
                                         Quarantine* quarantine) {
  if (head.path == "/quarantine" && head.method == "GET") {
    return List(now, *quarantine);
  }
  if (head.path == "/quarantine/lift" && head.method == "POST") {
    return Lift(body, now, quarantine);
  }
  return std::nullopt;
}

}  // namespace acaciachute
