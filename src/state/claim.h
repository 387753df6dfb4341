// The store row that ensures that a non-idempotent request runs at most once.
//
// An entry inserts the claim conditionally before any stage may run. No other
// entry takes over a claim whose request may still run, so an entry that
// resumes after a suspension still holds its claim and no other entry has run
// the request. The cost: if the holder dies, copies of the request are answered
// with "may have run" forever.
#ifndef ACACIACHUTE_SRC_STATE_CLAIM_H_
#define ACACIACHUTE_SRC_STATE_CLAIM_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "types.h"

namespace acaciachute {

// `kRefused` is written only when nothing of the request has run or will run. A
// later request with the same key and body may then claim the row again, by a
// write that is conditional on the row's version.
enum class ClaimState { kClaimed, kAnswered, kRefused, kMayHaveRun };
inline constexpr std::array<std::string_view, 4> kClaimStateNames = {
    "claimed", "answered", "refused", "may_have_run"};
constexpr std::string_view Name(ClaimState v) {
  return detail::NameIn(kClaimStateNames, v);
}

struct Claim {
  ClaimState state = ClaimState::kClaimed;
  std::uint64_t body_hash = 0;
  std::uint64_t nonce = 0;  // Random; identifies the write of the row.
  NodeId holder;
  Incarnation holder_incarnation = 0;
  Refusal reason = Refusal::kNone;
  std::string answer;
};

// Returns the row key of a claim. It contains the length of the account name,
// so that different pairs of account and key never share a row.
std::string ClaimRowKey(std::string_view account, std::string_view key);

std::string EncodeClaim(const Claim& claim);
absl::StatusOr<Claim> DecodeClaim(std::string_view text);

// Returns a hash of a request's target and body that is the same on all hosts.
std::uint64_t BodyHash(std::string_view target, std::string_view body);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_CLAIM_H_
