#include "protocol/node_settings.h"
#include "text.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace acaciachute {
namespace {

using Json = nlohmann::json;

// Maximum length of an invalid value quoted in an error.
constexpr std::size_t kMaxShownValueBytes = 80;

std::string FoundValue(const Json& document, const std::string& pointer) {
  const Json::json_pointer path(pointer);
  if (!document.contains(path)) {
    return "nothing";
  }
  return document.at(path)
      .dump(-1, ' ', true, Json::error_handler_t::replace)
      .substr(0, kMaxShownValueBytes);
}

// Converts valijson's path "<root>[a][b]" to a JSON pointer, which operators
// can search for.
std::string PointerOf(const valijson::ValidationResults::Error& error) {
  std::string pointer;
  for (std::size_t n = 1; n < error.context.size(); ++n) {
    std::string part = error.context[n];
    if (part.size() >= 2 && part.front() == '[') {
      part = part.substr(1, part.size() - 2);
    }
    pointer += "/" + part;
  }
  return pointer;
}

// Returns the part of the schema for `pointer`, so that the operator who reads
// the error need not open the schema.
std::string AllowedValue(const Json& schema, const std::string& pointer) {
  const Json* at = &schema;
  const std::vector<std::string> parts = Split(pointer, '/');
  for (std::size_t n = 1; n < parts.size(); ++n) {
    if (at->contains("$ref")) {
      at = &schema.at("definitions").at("address");
    }
    if (!at->contains("properties") ||
        !at->at("properties").contains(parts[n])) {
      return "no such member";
    }
    at = &at->at("properties").at(parts[n]);
  }
  Json shown = *at;
  for (const char* it :
       {"description", "properties", "definitions", "$schema", "title"}) {
    shown.erase(it);
  }
  return shown.dump();
}

std::vector<std::string> Validate(const Json& document) {
  const Json schema_json = Json::parse(detail::kNodeSettingsSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_json);
  parser.populateSchema(schema_adapter, schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter target(document);
  std::vector<std::string> errors;
  if (validator.validate(schema, target, &results)) {
    return errors;
  }
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    const std::string pointer = PointerOf(error);
    errors.push_back(StrCat(pointer.empty() ? "/" : pointer, ": found ",
                            FoundValue(document, pointer),
                            ", allowed: ", AllowedValue(schema_json, pointer),
                            " (", error.description, ")"));
  }
  return errors;
}

Address GetAddress(const Json& in, const char* key) {
  if (!in.contains(key)) {
    return {"", 0};
  }
  return {in.at(key).at("ip").get<std::string>(),
          in.at(key).at("port").get<std::uint16_t>()};
}

std::string GetUrl(const Json& in, const char* key) {
  return in.contains(key) ? in.at(key).at("url").get<std::string>() : "";
}

}  // namespace

NodeSettingsResult ParseNodeSettings(std::string_view json) {
  NodeSettingsResult result;
  const Json in = Json::parse(json, nullptr, false);
  if (in.is_discarded()) {
    result.errors.emplace_back("/: not valid JSON");
    return result;
  }
  result.errors = Validate(in);
  if (!result.errors.empty()) {
    return result;
  }
  NodeSettings& out = result.settings;
  out.role =
      *detail::ValueIn<Role>(kRoleNames, in.at("role").get<std::string>());
  out.node = in.at("node");
  out.failure_domain = in.value("failure_domain", "");
  out.frame_key = in.at("frame_key");
  out.listen = GetAddress(in, "listen");
  out.http = GetAddress(in, "http");
  if (in.contains("peers")) {
    for (const auto& it : in.at("peers")) {
      out.peers.push_back({it.at("node").get<std::string>(),
                           {it.at("ip").get<std::string>(),
                            it.at("port").get<std::uint16_t>()}});
    }
  }
  out.platform_url = GetUrl(in, "platform");
  out.upstream_url = GetUrl(in, "upstream");
  out.max_requests = in.value("max_requests", out.max_requests);
  out.max_connections = in.value("max_connections", out.max_connections);
  out.client_memory = in.value("client_memory_bytes", out.client_memory);
  out.claim_transactions_per_second = in.value(
      "claim_transactions_per_second", out.claim_transactions_per_second);
  out.balancer_grace =
      in.value("balancer_grace_ms", out.balancer_grace / kMillisecond) *
      kMillisecond;
  if (in.contains("upstream")) {
    out.upstream_pool = in.at("upstream").value("pool", "");
    out.upstream_limit = in.at("upstream").value("limit", out.upstream_limit);
    out.max_queued = in.at("upstream").value("max_queued", out.max_queued);
  }
  if (out.role == Role::kEntry && out.platform_url.empty()) {
    result.errors.emplace_back(
        "/platform: found nothing, allowed: required for role entry");
  }
  if (out.role == Role::kEntry && out.http.ip.empty()) {
    result.errors.emplace_back(
        "/http: found nothing, allowed: required for role entry");
  }
  if (out.role == Role::kSidecar && out.upstream_url.empty()) {
    result.errors.emplace_back(
        "/upstream: found nothing, allowed: required for role sidecar");
  }
  return result;
}

}  // namespace acaciachute
