#include "transport/upstream_client.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "protocol/event_stream.h"
#include "text.h"
#include "transport/http_client.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr char kRequestIdHeader[] = "X-Request-Id";
constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpTooMany = 429;
constexpr int kHttpConflict = 409;
constexpr int kHttpNotFound = 404;

// A load report that takes longer would be out of date.
constexpr DurationUs kReportTimeout = kSecond;

std::string CallName(const StageKey& key) {
  return StrCat(key.request.origin, "-", key.request.sequence, "-", key.stage,
                "-", key.attempt);
}

std::string HeaderOf(const HttpResult& result, std::string_view name) {
  for (const auto& [key, value] : result.headers) {
    if (EqualsIgnoreCase(key, name)) {
      return value;
    }
  }
  return "";
}

struct RunningCall {
  HttpClient::CallId http = 0;
  std::string name;
  bool stream = false;
  bool ended = false;  // Whether the stream's end event was received.
  EventStreamReader reader;
};

UpstreamError ErrorOf(const HttpResult& result) {
  if (!result.sent) {
    return UpstreamError::kNotSent;
  }
  if (result.status == kHttpUnavailable || result.status == kHttpTooMany) {
    return UpstreamError::kRejected;
  }
  return result.ended() ? UpstreamError::kMalformed : UpstreamError::kBroken;
}

// Whether a body is a whole JSON document. A document that is no number states
// its own end; a number that is cut is another number.
bool IsWholeDocument(const HttpResult& result) {
  const Json in = Json::parse(result.body, nullptr, false);
  return !in.is_discarded() && (StatesComplete(result.end) || !in.is_number());
}

// Returns the fencing number in the answer, or zero if there is none.
FenceNumber ParseFence(const HttpResult& result) {
  const Json in = Json::parse(result.body, nullptr, false);
  return in.is_object() && in.contains("fence") &&
                 in["fence"].is_number_unsigned()
             ? in["fence"].get<FenceNumber>()
             : 0;
}

// Writes a call of this system's own. It has no request id: whatever has one is
// work for the process that reads it.
HttpRequest WriteOwnCall(const std::string& url, std::string_view path) {
  HttpRequest request;
  request.url = StrCat(url, path);
  return request;
}
HttpRequest WriteOwnCall(const std::string& url,
                         std::string_view path,
                         const Json& body) {
  HttpRequest request = WriteOwnCall(url, path);
  request.method = "POST";
  request.body = body.dump();
  return request;
}

OrderOutcome OutcomeOf(const HttpResult& result) {
  if (!result.sent || result.status == kHttpUnavailable ||
      result.status == kHttpTooMany) {
    return OrderOutcome::kNotSent;
  }
  if (!result.ended()) {
    return OrderOutcome::kUnknown;
  }
  return result.status == kHttpOk         ? OrderOutcome::kDone
         : result.status == kHttpConflict ? OrderOutcome::kRefused
                                          : OrderOutcome::kUnknown;
}

}  // namespace

struct UpstreamClient::Impl {
  Impl(std::string url, Callbacks callbacks)
      : url(std::move(url)), callbacks(std::move(callbacks)) {}

  void OnDone(UpstreamCallId id, const HttpResult& result);
  void OnPart(UpstreamCallId id, const std::string& part);

  const std::string url;
  const Callbacks callbacks;
  HttpClient calls{0};
  HttpClient reports{kReportTimeout};
  std::map<UpstreamCallId, RunningCall> running;
};

// Delivers an answer only if it is complete, carries the id of the call, and is
// valid JSON or, for a stream, ended with the end event. Otherwise a caller
// could receive part of an answer or the answer to another request.
void UpstreamClient::Impl::OnDone(UpstreamCallId id, const HttpResult& result) {
  const auto it = running.find(id);
  if (it == running.end()) {
    return;
  }
  const RunningCall call = std::move(it->second);
  running.erase(it);
  if (result.status != kHttpOk || !result.ended()) {
    callbacks.error(id, ErrorOf(result));
    return;
  }
  const bool named = HeaderOf(result, kRequestIdHeader) == call.name;
  if (call.stream) {
    if (named && call.ended) {
      callbacks.chunk(id, "", true);
    } else {
      callbacks.error(id, UpstreamError::kMalformed);
    }
    return;
  }
  if (!named || !IsWholeDocument(result)) {
    callbacks.error(id, UpstreamError::kMalformed);
    return;
  }
  callbacks.chunk(id, result.body, true);
}

void UpstreamClient::Impl::OnPart(UpstreamCallId id, const std::string& part) {
  const auto it = running.find(id);
  if (it == running.end()) {
    return;
  }
  const auto events = it->second.reader.Add(part);
  if (it->second.reader.pending() > EventStreamReader::kMaxPendingBytes) {
    calls.Cancel(it->second.http);
    running.erase(it);
    callbacks.error(id, UpstreamError::kMalformed);
    return;
  }
  for (const auto& event : events) {
    const auto still_running = running.find(id);
    if (still_running == running.end()) {
      return;
    }
    if (event.name == "end") {
      still_running->second.ended = true;
    } else if (event.name.empty()) {
      callbacks.chunk(id, event.data, false);
    }
  }
}

UpstreamClient::UpstreamClient(std::string url, Callbacks callbacks)
    : impl_(std::make_unique<Impl>(std::move(url), std::move(callbacks))) {}
UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::Call(UpstreamCallId id,
                          const StageCall& call,
                          DurationUs time_left) {
  RunningCall& it = impl_->running[id];
  it.name = CallName(call.key);
  it.stream = call.stream;
  HttpRequest request;
  request.method = "POST";
  request.url = StrCat(impl_->url, call.path);
  request.body = call.body;
  request.repeatable = call.idempotent;
  request.named = true;
  request.headers = {
      {kRequestIdHeader, it.name},
      {"X-Priority", std::string(Name(call.caller_class))},
      {"X-Time-Left-Ms", StrCat(time_left / kMillisecond)},
      {"Accept", call.stream ? "text/event-stream" : "application/json"},
  };
  if (!call.traceparent.empty()) {
    request.headers.emplace_back("traceparent", call.traceparent);
  }
  HttpClient::PartFn part;
  if (call.stream) {
    part = [this, id](const std::string& bytes) { impl_->OnPart(id, bytes); };
  }
  it.http = impl_->calls.Call(
      request,
      [this, id](const HttpResult& result) { impl_->OnDone(id, result); },
      std::move(part));
}

void UpstreamClient::Cancel(UpstreamCallId id) {
  const auto it = impl_->running.find(id);
  if (it == impl_->running.end()) {
    return;
  }
  impl_->calls.Cancel(it->second.http);
  HttpRequest request =
      WriteOwnCall(impl_->url, "/v1/cancel", {{"id", it->second.name}});
  request.repeatable = true;
  impl_->running.erase(it);
  // Closing the connection already cancels the call; this request only frees
  // the upstream's slot earlier.
  impl_->reports.Call(request, [](const HttpResult&) {});
}

void UpstreamClient::ReadFence(
    const std::function<void(bool known, bool enforces_fence, FenceNumber)>&
        done) {
  HttpRequest request = WriteOwnCall(impl_->url, "/v1/fence");
  request.repeatable = true;
  impl_->reports.Call(request, [done](const HttpResult& result) {
    const bool enforces_fence = result.status == kHttpOk && result.ended();
    done(enforces_fence || result.status == kHttpNotFound, enforces_fence,
         ParseFence(result));
  });
}

void UpstreamClient::ForwardOrder(
    const ControlOrder& order,
    const std::function<void(OrderOutcome, FenceNumber)>& done) {
  const HttpRequest request = WriteOwnCall(impl_->url, "/v1/orders",
                                           {{"order_id", order.order_id},
                                            {"fence", order.fence},
                                            {"kind", Name(order.kind)},
                                            {"model", order.model},
                                            {"version", order.model_version}});
  impl_->calls.Call(request, [done](const HttpResult& result) {
    done(OutcomeOf(result), ParseFence(result));
  });
}

void UpstreamClient::FetchReport(
    const std::function<void(const UpstreamReport&)>& done) {
  HttpRequest request = WriteOwnCall(impl_->url, "/v1/load");
  request.repeatable = true;
  impl_->reports.Call(request, [done](const HttpResult& result) {
    UpstreamReport report;
    const Json in = Json::parse(result.body, nullptr, false);
    if (result.status == kHttpOk && in.is_object()) {
      report.reachable = true;
      report.leaving = in.value("state", "ready") == "leaving";
      report.load.queued = in.value("queued", 0U);
      report.load.in_progress = in.value("in_progress", 0U);
      report.load.limit = in.value("limit", 0U);
      report.instance = in.value("instance", "");
    }
    done(report);
  });
}

}  // namespace acaciachute
