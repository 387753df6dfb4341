// Identifies what a client asks for, with the same value for each attempt and
// at every gateway.
#ifndef ACACIACHUTE_SRC_STATE_REQUEST_FINGERPRINT_H_
#define ACACIACHUTE_SRC_STATE_REQUEST_FINGERPRINT_H_

#include <string>
#include <string_view>

#include "state/client_request.h"

namespace acaciachute {

// Returns 32 hex digits of SHA-256 over account, host, method, path and body.
// Clients choose their bodies, so a weaker hash would let one of them make a
// body with the fingerprint of another request. Fields such as ids and keys
// differ between attempts and do not count. Neither does a query beside a body;
// without one, the query may be what is asked for.
std::string RequestFingerprint(std::string_view account,
                               const ClientRequest& call);

// The same without the query; empty if that makes no difference. Clients add
// time stamps and numbers to queries, so each copy of a request may have one of
// its own.
std::string PathFingerprint(std::string_view account,
                            const ClientRequest& call);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_REQUEST_FINGERPRINT_H_
