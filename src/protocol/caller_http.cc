#include "protocol/caller_http.h"
#include "text.h"

#include <glib.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kProblemType = "application/problem+json";
constexpr std::string_view kBearer = "Bearer ";

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Rejection Malformed(std::string detail) {
  return {Refusal::kMalformed, std::move(detail)};
}

// A header with one of two values, or the fallback when it is absent.
std::optional<bool> Choice(const HttpHead& head,
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

std::optional<DurationUs> ParseDeadline(std::string_view text) {
  std::int64_t ms = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (ec != std::errc() || end != text.data() + text.size() || ms <= 0 ||
      ms > 600'000) {
    return std::nullopt;
  }
  return ms * kMillisecond;
}

std::string ReadBearer(const HttpHead& head) {
  const auto text = head.header("Authorization");
  if (!text || !text->starts_with(kBearer)) {
    return "";
  }
  return text->substr(kBearer.size());
}

CallerCall ParseRequest(const HttpHead& head,
                        std::string_view body,
                        std::string event,
                        std::string account) {
  CallerRequest request;
  request.event = std::move(event);
  request.account = std::move(account);
  const auto urgent =
      Choice(head, "Acaciachute-Class", "urgent", "patient", false);
  const auto idempotent =
      Choice(head, "Acaciachute-Idempotent", "true", "false", true);
  if (!urgent) {
    return Malformed("Acaciachute-Class: allowed are urgent and patient");
  }
  if (!idempotent) {
    return Malformed("Acaciachute-Idempotent: allowed are true and false");
  }
  request.caller_class = *urgent ? CallerClass::kUrgent : CallerClass::kPatient;
  request.idempotent = *idempotent;
  if (const auto text = head.header("Acaciachute-Deadline-Ms")) {
    const auto deadline = ParseDeadline(*text);
    if (!deadline) {
      return Malformed(
          "Acaciachute-Deadline-Ms: allowed is a whole number from 1 to "
          "600000");
    }
    request.deadline = *deadline;
  }
  request.key = head.header("Idempotency-Key").value_or("");
  if (request.key.size() > kMaxKeySize) {
    return Malformed(
        StrCat("Idempotency-Key: longer than ", kMaxKeySize, " bytes"));
  }
  if (!request.idempotent && request.key.empty()) {
    return Malformed("Idempotency-Key: required when not idempotent");
  }
  if (body.size() > kMaxBodySize) {
    return Rejection{Refusal::kTooLarge,
                     StrCat("the body is over ", kMaxBodySize, " bytes")};
  }
  if (!Json::accept(body)) {
    return Malformed("the body is no valid JSON in UTF-8");
  }
  request.stream = Contains(head.header("Accept").value_or(""), "event-stream");
  request.traceparent = head.header("traceparent").value_or("");
  request.body = body;
  return request;
}

// Every line of a server-sent event has its own field name.
std::string Indent(std::string_view part) {
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
  return problem;
}

}  // namespace

std::string TokenHash(std::string_view salt, std::string_view token) {
  const std::string text = StrCat(salt, token);
  gchar* hex = g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(text.data()),
      text.size());
  std::string out(hex);
  g_free(hex);
  return out;
}

std::string AccountOfToken(const Settings& settings, std::string_view token) {
  std::string found;
  for (const auto& [unused, branch] : settings.branches()) {
    for (const auto& [name, account] : branch.accounts) {
      const std::string hash = TokenHash(account.token_salt, token);
      unsigned char diff = hash.size() == account.token_hash.size() ? 0 : 1;
      for (std::size_t n = 0; n < hash.size(); ++n) {
        const char other =
            n < account.token_hash.size() ? account.token_hash[n] : '\0';
        diff |= static_cast<unsigned char>(hash[n] ^ other);
      }
      if (diff == 0) {
        found = name;
      }
    }
  }
  return found;
}

CallerCall ParseCallerCall(const HttpHead& head,
                           std::string_view body,
                           const Settings& settings) {
  // "", "v1", "events", event, "requests"[, key]
  const std::vector<std::string> parts = Split(head.path, '/');
  if (parts.size() < 5 || parts.size() > 6 || parts[1] != "v1" ||
      parts[2] != "events" || parts[4] != "requests") {
    return Rejection{Refusal::kUnknownEvent, "no such path"};
  }
  const std::string token = ReadBearer(head);
  std::string account = token.empty() ? "" : AccountOfToken(settings, token);
  if (account.empty()) {
    return Rejection{Refusal::kUnauthorized, ""};
  }
  if (head.method == "GET" && parts.size() == 6) {
    return StatusQuery{std::move(account), parts[5]};
  }
  if (head.method == "POST" && parts.size() == 5) {
    return ParseRequest(head, body, parts[3], std::move(account));
  }
  return Malformed("no such method here");
}

HttpReply FormatAnswer(const CallerAnswer& answer) {
  HttpReply reply;
  reply.headers.emplace_back("Acaciachute-Verdict",
                             std::string(Name(answer.verdict)));
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
    // Whole seconds, rounded up, as RFC 9110 has it.
    const auto seconds = (answer.retry_after + kSecond - 1) / kSecond;
    reply.headers.emplace_back("Retry-After", StrCat(seconds));
  }
  reply.body = Dump(ProblemOf(answer));
  return reply;
}

std::string FormatStreamPart(std::string_view part) {
  return StrCat("data: ", Indent(part), "\n\n");
}

std::string FormatStreamEnd(const CallerAnswer& answer) {
  if (answer.verdict == Verdict::kAnswered) {
    return StrCat(
        "event: end\ndata: ",
        Dump({{"verdict", Name(answer.verdict)}, {"cost", CostOf(answer)}}),
        "\n\n");
  }
  return StrCat("event: error\ndata: ", Dump(ProblemOf(answer)), "\n\n");
}

}  // namespace acaciachute
