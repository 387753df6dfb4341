// Translates between the HTTP interface for callers and the entry's types,
// without I/O. Refusals are problem documents as of RFC 9457.
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

// Size limits of a request in bytes; the entry refuses a larger one before it
// stores it.
inline constexpr std::size_t kMaxBodySize = 1 << 20;
inline constexpr std::size_t kMaxKeySize = 256;
inline constexpr std::size_t kMaxNameSize = 256;  // Of an event or a pool.
inline constexpr std::size_t kMaxPathSize = 1024;

struct HttpHead {
  std::string method;
  std::string path;       // As sent, still percent-encoded.
  DurationUs waited = 0;  // Time in this process's event loop.
  // Looks up a header; names are compared without regard to case.
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

// Parses a request. Checks the deadline, less the time that the request waited
// in this process, before it parses the body.
CallerCall ParseCallerCall(const HttpHead& head,
                           std::string_view body,
                           const Settings& settings);

HttpReply FormatAnswer(const CallerAnswer& answer);

// Format the parts and the end of a streamed answer as server-sent events. A
// complete answer ends with the event `end`, which gives its length in bytes,
// and a failed one with `error`; a truncated answer has neither. A part that an
// event cannot carry unchanged, because it contains a carriage return or is not
// UTF-8, is sent base64-encoded in an event `base64`.
std::string FormatStreamPart(std::string_view part);
std::string FormatStreamEnd(const CallerAnswer& answer);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_CALLER_HTTP_H_
