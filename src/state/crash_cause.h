// What requests under which replicas ended may have in common: one of these
// causes may be what ends the replicas.
#ifndef ACACIACHUTE_SRC_STATE_CRASH_CAUSE_H_
#define ACACIACHUTE_SRC_STATE_CRASH_CAUSE_H_

#include <array>
#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state/client_request.h"
#include "types.h"

namespace acaciachute {

enum class CauseKind {
  // One request, in whichever attempt and with whichever query; see
  // `RequestFingerprint` and `PathFingerprint`.
  kRequest,
  kPromptPart,  // One part of a prompt, whatever else the request holds.
};
inline constexpr std::array<std::string_view, 2> kCauseKindNames = {
    "request", "prompt_part"};
constexpr std::string_view Name(CauseKind v) {
  return detail::NameIn(kCauseKindNames, v);
}

struct CrashCause {
  CauseKind kind = CauseKind::kRequest;
  std::string id;  // The fingerprint of the request, or the id of the part.

  auto operator<=>(const CrashCause&) const = default;
  template <typename H>
  friend H AbslHashValue(H hash, const CrashCause& cause) {
    return H::combine(std::move(hash), cause.kind, cause.id);
  }
};

// The cause as logs and operators write it: a fingerprint, or `part:` and the
// id of the part.
std::string Text(const CrashCause& cause);
CrashCause ParseCause(std::string_view text);

// The parts of the request's prompt but the last one, which belongs to the
// request itself and is what no other request has.
std::vector<CrashCause> PartCauses(const ClientRequest& call);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_CRASH_CAUSE_H_
