// The operators' view of the quarantine, without a socket:
// `GET /quarantine` lists suspects and convicts, `POST /quarantine/lift` with
// {"fingerprint"} clears one. What is lifted at one node spreads to all.
#ifndef ACACIACHUTE_SRC_PROTOCOL_QUARANTINE_HTTP_H_
#define ACACIACHUTE_SRC_PROTOCOL_QUARANTINE_HTTP_H_

#include <optional>
#include <string_view>

#include "coordination/interface/quarantine.h"
#include "protocol/caller_http.h"

namespace acaciachute {

// None when `head` asks for something else.
std::optional<HttpReply> ServeQuarantine(const HttpHead& head,
                                         std::string_view body,
                                         TimeUs now,
                                         Quarantine* quarantine);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_QUARANTINE_HTTP_H_
