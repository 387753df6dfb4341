#include "state/claim.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "text.h"

namespace acaciachute {

std::string ClaimRowKey(std::string_view account, std::string_view key) {
  return StrCat("claim/", account.size(), ":", account, "/", key);
}

std::string EncodeClaim(const Claim& claim) {
  nlohmann::json out = {
      {"state", Name(claim.state)},   {"body_hash", claim.body_hash},
      {"nonce", claim.nonce},         {"holder", claim.holder},
      {"reason", Name(claim.reason)}, {"answer", claim.answer},
  };
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<Claim> DecodeClaim(std::string_view text) {
  const auto in = nlohmann::json::parse(text, nullptr, false);
  if (!in.is_object()) {
    return absl::DataLossError("claim row is no JSON object");
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
    claim.answer = in.at("answer").get<std::string>();
    const auto reason = in.at("reason").get<std::string>();
    for (std::size_t n = 0; n < kRefusals.size(); ++n) {
      if (kRefusals[n].name == reason) {
        claim.reason = static_cast<Refusal>(n);
      }
    }
    return claim;
  } catch (const nlohmann::json::exception& e) {
    return absl::DataLossError(StrCat("claim row: ", e.what()));
  }
}

std::uint64_t BodyHash(std::string_view target, std::string_view body) {
  const auto seed = XXH3_64bits(target.data(), target.size());
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

}  // namespace acaciachute
