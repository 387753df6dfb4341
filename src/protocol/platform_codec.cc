#include "protocol/platform_codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 4> kOpNames = {"read", "scan", "insert",
                                                 "update"};
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooMany = 429;
constexpr int kHttpUnavailable = 503;

std::vector<StoreRow> ReadRows(const Json& in) {
  std::vector<StoreRow> rows;
  for (const auto& it : in.at("rows")) {
    rows.push_back({it.at("key").get<std::string>(),
                    it.at("value").get<std::string>(),
                    it.at("version").get<std::uint64_t>()});
  }
  return rows;
}

}  // namespace

std::string EncodeTransaction(const std::vector<StoreOp>& ops) {
  Json list = Json::array();
  for (const auto& op : ops) {
    Json it = {{"op", kOpNames[static_cast<std::size_t>(op.kind)]},
               {"key", op.key}};
    if (op.kind == StoreOpKind::kInsert || op.kind == StoreOpKind::kUpdate) {
      it["value"] = op.value;
    }
    if (op.kind == StoreOpKind::kUpdate) {
      it["version"] = op.version;
    }
    list.push_back(std::move(it));
  }
  return Json{{"ops", std::move(list)}}.dump(-1, ' ', false,
                                             Json::error_handler_t::replace);
}

StoreAnswer DecodeStoreAnswer(int http_status, std::string_view body) {
  StoreAnswer answer;
  if (http_status == 0 || http_status == kHttpUnavailable ||
      http_status == kHttpTooMany) {
    answer.status = StoreStatus::kUnavailable;
    return answer;
  }
  if (http_status != kHttpOk && http_status != kHttpConflict) {
    return answer;
  }
  const Json in = Json::parse(body, nullptr, false);
  try {
    answer.rows = ReadRows(in);
    answer.status =
        http_status == kHttpOk ? StoreStatus::kOk : StoreStatus::kConflict;
  } catch (const Json::exception&) {
    answer.rows.clear();
    answer.status = StoreStatus::kUnknown;
  }
  return answer;
}

std::vector<HostHint> DecodeHostList(std::string_view body) {
  std::vector<HostHint> hosts;
  const Json in = Json::parse(body, nullptr, false);
  if (!in.is_object() || !in.contains("hosts")) {
    return hosts;
  }
  for (const auto& it : in.at("hosts")) {
    if (it.is_object() && it.contains("node") && it.at("node").is_string()) {
      hosts.push_back({it.at("node").get<std::string>(),
                       it.value("state", Json()) == "leaving"});
    }
  }
  return hosts;
}

}  // namespace acaciachute
