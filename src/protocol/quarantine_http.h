// The operators' HTTP interface to the quarantine, without I/O: `GET
// /quarantine` lists suspected and convicted fingerprints, `POST
// /quarantine/lift` with {"fingerprint"} clears one. A clearance at one node
// spreads to all nodes.
#ifndef ACACIACHUTE_SRC_PROTOCOL_QUARANTINE_HTTP_H_
#define ACACIACHUTE_SRC_PROTOCOL_QUARANTINE_HTTP_H_

#include <optional>
#include <string_view>

#include "coordination/interface/quarantine.h"
#include "protocol/caller_http.h"

namespace acaciachute {

// Returns nothing if the request is for another path or method.
std::optional<HttpReply> ServeQuarantine(const HttpHead& head,
                                         std::string_view body,
                                         TimeUs now,
                                         Quarantine* quarantine);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_QUARANTINE_HTTP_H_
