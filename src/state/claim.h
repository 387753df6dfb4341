// The row that lets a non-idempotent request run at most once.
//
// A claim is inserted conditionally before any stage may run. While it may run
// it is never taken over: a paused entry that wakes still holds its own, and
// nobody else has run it. The price is that a claim held by a dead entry is
// answered with "may have run" for ever.
#ifndef ACACIACHUTE_SRC_STATE_CLAIM_H_
#define ACACIACHUTE_SRC_STATE_CLAIM_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "types.h"

namespace acaciachute {

// `kRefused` is written only when nothing ran and nothing will: a later copy of
// the same key and body may claim the row again, by its version.
enum class ClaimState { kClaimed, kAnswered, kRefused, kMayHaveRun };
inline constexpr std::array<std::string_view, 4> kClaimStateNames = {
    "claimed", "answered", "refused", "may_have_run"};
constexpr std::string_view Name(ClaimState v) {
  return detail::NameIn(kClaimStateNames, v);
}

struct Claim {
  ClaimState state = ClaimState::kClaimed;
  std::uint64_t body_hash = 0;
  std::uint64_t nonce = 0;  // Tells our own write from another's.
  NodeId holder;
  Incarnation holder_incarnation = 0;
  Refusal reason = Refusal::kNone;
  std::string answer;
};

// Row key of a claim. Parts are length-prefixed, so that no two pairs of
// account and key meet in one row.
std::string ClaimRowKey(std::string_view account, std::string_view key);

std::string EncodeClaim(const Claim& claim);
absl::StatusOr<Claim> DecodeClaim(std::string_view text);

// Stable hash of a request body and what it is asked of.
std::uint64_t BodyHash(std::string_view target, std::string_view body);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_CLAIM_H_
