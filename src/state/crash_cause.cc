#include "state/crash_cause.h"

#include <glib.h>

#include <algorithm>

#include "text.h"

namespace acaciachute {
namespace {

constexpr std::string_view kPartPrefix = "part:";

// Clients choose the ids, so their length is limited. They are hexadecimal, in
// either case.
std::string PartId(std::string_view id) {
  constexpr std::size_t kMaxLength = 64;
  std::string out(id.substr(0, kMaxLength));
  std::transform(out.begin(), out.end(), out.begin(),
                 [](char c) { return g_ascii_tolower(c); });
  return out;
}

}  // namespace

std::string Text(const CrashCause& cause) {
  return cause.kind == CauseKind::kPromptPart ? StrCat(kPartPrefix, cause.id)
                                              : cause.id;
}

CrashCause ParseCause(std::string_view text) {
  if (text.starts_with(kPartPrefix)) {
    return {CauseKind::kPromptPart, PartId(text.substr(kPartPrefix.size()))};
  }
  return {CauseKind::kRequest, std::string(text)};
}

std::vector<CrashCause> PartCauses(const ClientRequest& call) {
  std::vector<CrashCause> causes;
  for (std::size_t n = 0; n + 1 < call.prompt.size(); ++n) {
    causes.push_back({CauseKind::kPromptPart, PartId(call.prompt[n].id)});
  }
  return causes;
}

}  // namespace acaciachute
