// Checks the bearer tokens of clients, which have the form
// "<account>.<secret>".
//
// The token names its account, so that one hash decides, whatever the number of
// accounts. Hashing a token with the salts of 33,000 accounts would take tens
// of milliseconds per request, and with a cache of known tokens an invented
// one would still cost that much.
#ifndef ACACIACHUTE_SRC_PROTOCOL_BEARER_H_
#define ACACIACHUTE_SRC_PROTOCOL_BEARER_H_

#include <string>
#include <string_view>

#include "state/settings.h"

namespace acaciachute {

// Returns the SHA-256 of `salt` followed by `token` in hex, as stored in
// settings.
std::string TokenHash(std::string_view salt, std::string_view token);

// Returns the account whose bearer token this is, or an empty string. Takes the
// same time whether or not the account exists and however many bytes of the
// hash agree, so that timing reveals neither.
std::string AccountOfToken(const Settings& settings, std::string_view token);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_BEARER_H_
