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

#include "coordination/interface/entry.h"
#include "state/settings.h"

namespace acaciachute {

// Bounds on what a caller sends; longer is refused before it is stored.
inline constexpr std::size_t kMaxBodySize = 1 << 20;
inline constexpr std::size_t kMaxKeySize = 256;
inline constexpr std::size_t kMaxNameSize = 256;  // Of events and pools.
inline constexpr std::size_t kMaxPathSize = 1024;

struct HttpHead {
  std::string method;
  std::string path;       // As sent, with its escapes.
  DurationUs waited = 0;  // Since arrival, in this process's own loop.
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

// Reads a call by its path, headers and body. The time that it waited in this
// process is compared with its deadline before the body is read.
CallerCall ParseCallerCall(const HttpHead& head,
                           std::string_view body,
                           const Settings& settings);

HttpReply FormatAnswer(const CallerAnswer& answer);

// Parts of a streamed answer as server-sent events. A whole answer ends with
// the `end` event, which gives its length in bytes, a failed one with `error`;
// a cut one has neither. A part that such an event cannot carry as it is (a
// carriage return, no UTF-8) goes as base64 in an event `base64`.
std::string FormatStreamPart(std::string_view part);
std::string FormatStreamEnd(const CallerAnswer& answer);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_CALLER_HTTP_H_
