// Maps the callers' HTTP interface to the entry's vocabulary and back, without
// a socket. Refusals are RFC 9457 problem documents.
#ifndef ACACIACHUTE_SRC_PROTOCOL_CALLER_HTTP_H_
#define ACACIACHUTE_SRC_PROTOCOL_CALLER_HTTP_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/entry.h"
#include "state/settings.h"

namespace acaciachute {

// Bounds on what a caller sends; longer is refused before it is stored.
inline constexpr std::size_t kMaxBodySize = 1 << 20;
inline constexpr std::size_t kMaxKeySize = 256;

struct HttpHead {
  std::string method;
  std::string path;
  // Value of a header, by its name in any case.
  std::function<std::optional<std::string>(const char* name)> header;
};

struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct StatusQuery {
  std::string account;
  std::string key;
};

struct Rejection {
  Refusal reason = Refusal::kMalformed;
  std::string detail;
};

using CallerCall = std::variant<CallerRequest, StatusQuery, Rejection>;

// Account whose bearer token this is; empty for none.
std::string AccountOfToken(const Settings& settings, std::string_view token);

CallerCall ParseCallerCall(const HttpHead& head,
                           std::string_view body,
                           const Settings& settings);

HttpReply FormatAnswer(const CallerAnswer& answer);

// Parts of a streamed answer as server-sent events. A whole answer ends with
// the `end` event, a failed one with `error`; a cut one has neither.
std::string FormatStreamPart(std::string_view part);
std::string FormatStreamEnd(const CallerAnswer& answer);

// Hex SHA-256 of salt followed by token, as settings keep it.
std::string TokenHash(std::string_view salt, std::string_view token);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_CALLER_HTTP_H_
