// Bearer tokens of callers: "<account>.<secret>".
//
// The token names its account, so that one hash decides, whatever the number
// of accounts; 33,000 salted hashes a request would take tens of milliseconds,
// and a cache of tokens seen would still let made-up ones cost that much.
#ifndef ACACIACHUTE_SRC_PROTOCOL_BEARER_H_
#define ACACIACHUTE_SRC_PROTOCOL_BEARER_H_

#include <string>
#include <string_view>

#include "state/settings.h"

namespace acaciachute {

// Hex SHA-256 of salt followed by token, as settings keep it.
std::string TokenHash(std::string_view salt, std::string_view token);

// Account whose bearer token this is; empty for none. Takes the same time
// whether or not the account exists and however much of the hash agrees.
std::string AccountOfToken(const Settings& settings, std::string_view token);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_BEARER_H_
