#include "state/claim.h"

#include <glib.h>
#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

// Rows are JSON, which must be UTF-8. Bytes other than printable ASCII are
// written as %XX, because replacing invalid UTF-8 could map two keys to one
// row.
void AppendEscaped(std::string* out, std::string_view text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte > 0x20 && byte < 0x7f && c != '%') {
      *out += c;
    } else {
      *out += '%';
      *out += kHex[byte >> 4];
      *out += kHex[byte & 15];
    }
  }
}

bool IsUtf8(std::string_view text) {
  return g_utf8_validate_len(text.data(), text.size(), nullptr) != FALSE;
}

std::string ToBase64(std::string_view bytes) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()),
                                bytes.size());
  std::string out(text);
  g_free(text);
  return out;
}

std::string FromBase64(const std::string& text) {
  gsize size = 0;
  guchar* bytes = g_base64_decode(text.c_str(), &size);
  std::string out(reinterpret_cast<const char*>(bytes), size);
  g_free(bytes);
  return out;
}

Refusal ReasonNamed(std::string_view name) {
  for (std::size_t n = 0; n < kRefusals.size(); ++n) {
    if (kRefusals[n].name == name) {
      return static_cast<Refusal>(n);
    }
  }
  return Refusal::kNone;
}

}  // namespace

std::string ClaimRowKey(std::string_view account, std::string_view key) {
  std::string out = StrCat("claim/", account.size(), ":");
  AppendEscaped(&out, account);
  out += '/';
  AppendEscaped(&out, key);
  return out;
}

std::string EncodeClaim(const Claim& claim) {
  Json out = {
      {"state", Name(claim.state)},
      {"body_hash", claim.body_hash},
      {"nonce", claim.nonce},
      {"holder", claim.holder},
      {"holder_incarnation", claim.holder_incarnation},
      {"reason", Name(claim.reason)},
  };
  if (IsUtf8(claim.answer)) {
    out["answer"] = claim.answer;
  } else {
    out["answer_base64"] = ToBase64(claim.answer);
  }
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<Claim> DecodeClaim(std::string_view text) {
  const auto in = Json::parse(text, nullptr, false);
  if (!in.is_object()) {
    return absl::DataLossError("claim row is not a JSON object");
  }
  try {
    Claim claim;
    const auto state = detail::ValueIn<ClaimState>(
        kClaimStateNames, in.at("state").get<std::string>());
    if (!state) {
      return absl::DataLossError("claim row has an unknown state");
    }
    claim.state = *state;
    claim.body_hash = in.at("body_hash").get<std::uint64_t>();
    claim.nonce = in.at("nonce").get<std::uint64_t>();
    claim.holder = in.at("holder").get<std::string>();
    claim.holder_incarnation = in.value("holder_incarnation", Incarnation{0});
    claim.reason = ReasonNamed(in.at("reason").get<std::string>());
    claim.answer = in.contains("answer_base64")
                       ? FromBase64(in.at("answer_base64").get<std::string>())
                       : in.at("answer").get<std::string>();
    return claim;
  } catch (const Json::exception& e) {
    return absl::DataLossError(
        StrCat("claim row has a missing or mistyped member: ", e.what()));
  }
}

std::uint64_t BodyHash(std::string_view target, std::string_view body) {
  const auto seed = XXH3_64bits(target.data(), target.size());
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

}  // namespace acaciachute
