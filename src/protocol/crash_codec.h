// Rows of the store about causes that end replicas, as JSON.
#ifndef ACACIACHUTE_SRC_PROTOCOL_CRASH_CODEC_H_
#define ACACIACHUTE_SRC_PROTOCOL_CRASH_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "messages.h"
#include "types.h"

namespace acaciachute {

// Times of day in Unix milliseconds, as no other clock outlasts all gateways. A
// clock that is wrong makes a block end earlier or later, by at most its
// length.
std::string EncodeCrashRow(const CrashReport& report, std::int64_t unix_ms);
absl::StatusOr<CrashReport> DecodeCrashRow(std::string_view text,
                                           std::int64_t unix_ms);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_CRASH_CODEC_H_
