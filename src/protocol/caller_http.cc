#include "protocol/caller_http.h"

#include <glib.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/bearer.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kProblemType = "application/problem+json";
constexpr std::string_view kBearerPrefix = "Bearer ";

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Rejection Malformed(std::string detail) {
  return {Refusal::kMalformed, std::move(detail)};
}

// Reads a header whose value is `yes` or `no`: returns `fallback` if the header
// is absent, nothing for any other value.
std::optional<bool> ReadFlag(const HttpHead& head,
                             const char* name,
                             std::string_view yes,
                             std::string_view no,
                             bool fallback) {
  const auto text = head.header(name);
  if (!text) {
    return fallback;
  }
  if (*text == yes) {
    return true;
  }
  return *text == no ? std::optional<bool>(false) : std::nullopt;
}

constexpr std::int64_t kMaxDeadlineMs = 600'000;

bool IsUtf8(std::string_view text) {
  return g_utf8_validate_len(text.data(), text.size(), nullptr) != FALSE;
}

// Returns one path segment with its escapes decoded, or nothing if it is empty,
// longer than `max_bytes` or not UTF-8.
std::optional<std::string> ReadSegment(const std::string& part,
                                       std::size_t max_bytes) {
  gchar* text = g_uri_unescape_string(part.c_str(), nullptr);
  if (text == nullptr) {
    return std::nullopt;
  }
  std::string out(text);
  g_free(text);
  if (out.empty() || out.size() > max_bytes || !IsUtf8(out)) {
    return std::nullopt;
  }
  return out;
}

std::optional<Rejection> ReadDeadline(const HttpHead& head,
                                      CallerRequest* request) {
  const auto text = head.header("Acaciachute-Deadline-Ms");
  if (!text) {
    return std::nullopt;
  }
  std::int64_t ms = 0;
  const char* last = text->data() + text->size();
  const auto [end, ec] = std::from_chars(text->data(), last, ms);
  if (ec != std::errc() || end != last || ms > kMaxDeadlineMs) {
    return Malformed(
        StrCat("Acaciachute-Deadline-Ms: allowed is an integer from 1 to ",
               kMaxDeadlineMs));
  }
  request->deadline = ms * kMillisecond;
  if (request->deadline <= head.waited) {
    return Rejection{Refusal::kLate,
                     "the deadline passed before the request was read"};
  }
  return std::nullopt;
}

std::optional<Rejection> ReadKey(const HttpHead& head, CallerRequest* request) {
  request->key = head.header("Idempotency-Key").value_or("");
  if (request->key.size() > kMaxKeySize) {
    return Malformed(
        StrCat("Idempotency-Key: longer than ", kMaxKeySize, " bytes"));
  }
  if (!IsUtf8(request->key)) {
    return Malformed("Idempotency-Key: not valid UTF-8");
  }
  if (!request->idempotent && request->key.empty()) {
    return Malformed(
        "Idempotency-Key: required for a request that is not idempotent");
  }
  return std::nullopt;
}

std::optional<Rejection> ReadClassAndIdempotence(const HttpHead& head,
                                                 CallerRequest* request) {
  const auto urgent =
      ReadFlag(head, "Acaciachute-Class", "urgent", "patient", false);
  if (!urgent) {
    return Malformed("Acaciachute-Class: allowed are urgent and patient");
  }
  // A request to a plain service counts as idempotent only if its caller says
  // so.
  const auto idempotent = ReadFlag(head, "Acaciachute-Idempotent", "true",
                                   "false", request->service_pool.empty());
  if (!idempotent) {
    return Malformed("Acaciachute-Idempotent: allowed are true and false");
  }
  request->caller_class =
      *urgent ? CallerClass::kUrgent : CallerClass::kPatient;
  request->idempotent = *idempotent;
  return std::nullopt;
}

std::optional<Rejection> ReadBody(std::string_view body,
                                  CallerRequest* request) {
  if (body.size() > kMaxBodySize) {
    return Rejection{Refusal::kTooLarge,
                     StrCat("the body is over ", kMaxBodySize, " bytes")};
  }
  if (!Json::accept(body)) {
    return Malformed("the body is not valid JSON in UTF-8");
  }
  request->body = body;
  return std::nullopt;
}

std::string ReadBearer(const HttpHead& head) {
  const auto text = head.header("Authorization");
  if (!text || !text->starts_with(kBearerPrefix)) {
    return "";
  }
  return text->substr(kBearerPrefix.size());
}

// Reads headers and body into a request whose target is already set.
CallerCall ReadRequest(const HttpHead& head,
                       std::string_view body,
                       CallerRequest request) {
  request.waited = head.waited;
  using HeaderReader =
      std::optional<Rejection> (*)(const HttpHead&, CallerRequest*);
  static constexpr HeaderReader kHeaderReaders[] = {ReadClassAndIdempotence,
                                                    ReadDeadline, ReadKey};
  for (const auto reader : kHeaderReaders) {
    if (auto rejection = reader(head, &request)) {
      return *std::move(rejection);
    }
  }
  if (auto rejection = ReadBody(body, &request)) {
    return *std::move(rejection);
  }
  request.stream = Contains(head.header("Accept").value_or(""), "event-stream");
  request.traceparent = head.header("traceparent").value_or("");
  return request;
}

// Reads method and path only; `ReadRequest` reads the headers and the body.
CallerCall ReadTarget(const HttpHead& head) {
  const std::vector<std::string> parts = Split(head.path, '/');
  // /v1/events/{event}/requests[/{key}]
  const bool event = parts.size() >= 5 && parts.size() <= 6 &&
                     parts[2] == "events" && parts[4] == "requests";
  // /v1/requests/{key}
  const bool status = parts.size() == 4 && parts[2] == "requests";
  // /v1/services/{pool}/{path...}
  const bool service = parts.size() >= 5 && parts[2] == "services";
  if (head.path.size() > kMaxPathSize || parts.size() < 4 || parts[1] != "v1" ||
      !(event || status || service)) {
    return Rejection{Refusal::kNotFound, "no such path"};
  }
  const auto name = ReadSegment(parts[3], kMaxNameSize);
  if (!name) {
    return Malformed(
        "the path has a name that is empty, too long or not valid UTF-8");
  }
  if (head.method == "GET" && (status || (event && parts.size() == 6))) {
    const auto key = ReadSegment(parts.back(), kMaxKeySize);
    if (!key) {
      return Malformed("the key is empty, too long or not valid UTF-8");
    }
    return StatusQuery{"", *key};
  }
  CallerRequest request;
  if (head.method == "POST" && event && parts.size() == 5) {
    request.event = *name;
    return request;
  }
  if (head.method != "POST" || !service) {
    return Malformed("the path does not support this method");
  }
  request.service_pool = *name;
  for (std::size_t n = 4; n < parts.size(); ++n) {
    const auto part = ReadSegment(parts[n], kMaxNameSize);
    // An upstream could resolve such a segment to a path other than the one
    // given.
    if (!part || *part == "." || *part == ".." || Contains(*part, "/")) {
      return Malformed("the path of the service is malformed");
    }
    request.service_path += "/" + parts[n];
  }
  return request;
}

std::string ToBase64(std::string_view bytes) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()),
                                bytes.size());
  std::string out(text);
  g_free(text);
  return out;
}

// Prefixes each line but the first with "data: ", as server-sent events
// require. The caller writes the prefix of the first line.
std::string DataLines(std::string_view part) {
  std::string out;
  for (const auto& line : Split(part, '\n')) {
    out += out.empty() ? line : "\ndata: " + line;
  }
  return out;
}

Json CostOf(const CallerAnswer& answer) {
  Json cost = Json::array();
  for (const auto& it : answer.cost) {
    cost.push_back({{"pool", it.pool},
                    {"service_us", it.service},
                    {"attempts", it.attempts}});
  }
  return cost;
}

// Retry-After in whole seconds, as RFC 9110 requires, rounded up.
std::int64_t RetryAfterSeconds(const CallerAnswer& answer) {
  return (answer.retry_after + kSecond - 1) / kSecond;
}

Json ProblemOf(const CallerAnswer& answer) {
  const RefusalInfo& info = Info(answer.reason);
  Json problem = {
      {"type", StrCat("urn:acaciachute:", info.name)},
      {"title", info.title},
      {"status", info.http_status},
      {"verdict", Name(answer.verdict)},
  };
  if (!answer.detail.empty()) {
    problem["detail"] = answer.detail;
  }
  if (!answer.request_id.empty()) {
    problem["request_id"] = answer.request_id;
  }
  if (answer.retry_after > 0) {
    problem["retry_after_s"] = RetryAfterSeconds(answer);
  }
  return problem;
}

}  // namespace

CallerCall ParseCallerCall(const HttpHead& head,
                           std::string_view body,
                           const Settings& settings) {
  CallerCall call = ReadTarget(head);
  if (std::holds_alternative<Rejection>(call)) {
    return call;
  }
  std::string account = AccountOfToken(settings, ReadBearer(head));
  if (account.empty()) {
    return Rejection{Refusal::kUnauthorized, ""};
  }
  if (auto* query = std::get_if<StatusQuery>(&call)) {
    query->account = std::move(account);
    return call;
  }
  auto& request = std::get<CallerRequest>(call);
  request.account = std::move(account);
  return ReadRequest(head, body, std::move(request));
}

HttpReply FormatAnswer(const CallerAnswer& answer) {
  HttpReply reply;
  reply.headers.emplace_back("Acaciachute-Verdict",
                             std::string(Name(answer.verdict)));
  if (!answer.request_id.empty()) {
    reply.headers.emplace_back("Acaciachute-Request-Id", answer.request_id);
  }
  if (!answer.traceparent.empty()) {
    reply.headers.emplace_back("traceparent", answer.traceparent);
  }
  if (!answer.cost.empty()) {
    reply.headers.emplace_back("Acaciachute-Cost", Dump(CostOf(answer)));
  }
  if (answer.verdict == Verdict::kAnswered) {
    if (answer.replayed) {
      reply.headers.emplace_back("Acaciachute-Replayed", "true");
    }
    reply.body = answer.body;
    return reply;
  }
  reply.status = Info(answer.reason).http_status;
  reply.content_type = kProblemType;
  if (answer.retry_after > 0) {
    reply.headers.emplace_back("Retry-After",
                               StrCat(RetryAfterSeconds(answer)));
  }
  reply.body = Dump(ProblemOf(answer));
  return reply;
}

std::string FormatStreamPart(std::string_view part) {
  if (Contains(part, "\r") || !IsUtf8(part)) {
    return StrCat("event: base64\ndata: ", ToBase64(part), "\n\n");
  }
  return StrCat("data: ", DataLines(part), "\n\n");
}

std::string FormatStreamEnd(const CallerAnswer& answer) {
  if (answer.verdict == Verdict::kAnswered) {
    return StrCat("event: end\ndata: ",
                  Dump({{"verdict", Name(answer.verdict)},
                        {"bytes", answer.body.size()},
                        {"request_id", answer.request_id},
                        {"cost", CostOf(answer)}}),
                  "\n\n");
  }
  return StrCat("event: error\ndata: ", Dump(ProblemOf(answer)), "\n\n");
}

}  // namespace acaciachute
