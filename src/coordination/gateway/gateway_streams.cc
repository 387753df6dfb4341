// Streams that clients take up again: finding out at which software version
// they began, so that they go on there or not at all.
#include <algorithm>
#include <utility>

#include "coordination/gateway/gateway_impl.h"
#include "text.h"

namespace acaciachute {
namespace {

// Interval between questions to other gateways, and how often they are sent:
// datagrams are lost, and clients wait.
constexpr DurationUs kAskInterval = 60 * kMillisecond;
constexpr int kMaxAsks = 4;

// Time until a version that served is seen by a gateway that is in touch.
constexpr DurationUs kListDelay = 3 * kSecond;

// Age of the replica list beyond which it may lack a version.
constexpr DurationUs kMaxListAge = 5 * kSecond;

// Origins in one datagram, some 100 bytes each.
constexpr std::size_t kMaxPerDatagram = 10;

}  // namespace

bool Gateway::Impl::TakesUpStream(const ServingRequest& request) {
  return request.route->resumable &&
         (request.resume_after || !request.call.resumed_attempt.empty());
}

void Gateway::Impl::OnStreamBegun(const ServingRequest& request) {
  if (!request.route->resumable || TakesUpStream(request)) {
    return;
  }
  const StreamOrigin origin = {request.call.id, AccountOf(request),
                               request.service, *request.stream_version, 0};
  stream_origins.Add(output->Now(), origin);
  for (const NodeId& it : StreamOrigins::Holders(
           origin.attempt, output->LivePeers(), StreamOrigins::kHolders)) {
    output->SendDatagram(it, StreamOriginReport{{origin}});
  }
}

std::optional<StreamOrigin> Gateway::Impl::FindOrigin(
    const StreamOriginQuery& query) const {
  const TimeUs now = output->Now();
  if (auto origin = stream_origins.Find(now, query.attempt, query.account)) {
    return origin;
  }
  const DurationUs list_age = directory->Age(now);
  const auto only =
      service_versions.OnlyVersion(now, query.service, query.window);
  if (!only || list_age < 0 || list_age > kMaxListAge) {
    return std::nullopt;
  }
  metrics->Count("acaciachute_gateway_stream_versions_concluded_total",
                 query.service);
  log->Write("stream_version_concluded",
             {{"resumes", query.attempt},
              {"service", query.service},
              {"version", *only},
              {"window_ms", query.window / kMillisecond},
              {"list_age_ms", list_age / kMillisecond}});
  return StreamOrigin{query.attempt, query.account, query.service, *only, 0};
}

// What the client has used up of its deadline tells how long ago its stream
// began at most; deadlines are no longer than the route's timeout.
StreamOriginQuery Gateway::Impl::OriginQueryOf(const ServingRequest& request) {
  const DurationUs used =
      std::max<DurationUs>(0, request.route->timeout - request.call.deadline);
  return {request.id, request.call.resumed_attempt, AccountOf(request),
          request.service, used + kListDelay};
}

void Gateway::Impl::TakeUpStream(ServingRequest* request) {
  if (const auto origin = FindOrigin(OriginQueryOf(*request))) {
    GoOnFrom(request, *origin, "here");
    return;
  }
  request->origin_search.emplace();
  request->origin_search->asked =
      StreamOrigins::Holders(request->call.resumed_attempt, output->LivePeers(),
                             StreamOrigins::kAsked);
  awaiting_origin.insert(request->id);
  AskForOrigin(request);
}

void Gateway::Impl::AskForOrigin(ServingRequest* request) {
  OriginSearch& search = *request->origin_search;
  if (search.asked.empty() || search.asks == kMaxAsks) {
    RefuseUnknownStream(request);
    return;
  }
  ++search.asks;
  search.next_ask_at = output->Now() + kAskInterval;
  for (const NodeId& it : search.asked) {
    output->SendDatagram(it, OriginQueryOf(*request));
  }
}

void Gateway::Impl::AskForOrigins() {
  const TimeUs now = output->Now();
  const std::set<ExchangeId> waiting = awaiting_origin;
  for (const ExchangeId id : waiting) {
    ServingRequest* request = FindByExchange(id);
    if (request->origin_search->next_ask_at <= now) {
      AskForOrigin(request);
    }
  }
}

// A client's next connection may reach a gateway that knows.
void Gateway::Impl::RefuseUnknownStream(ServingRequest* request) {
  LogTakenUp(*request, "unknown");
  Refuse(request,
         {Refusal::kUnknownStream, Verdict::kNotRun, kRetryElsewhereDelay,
          StrCat("no gateway knows at which version ",
                 request->call.resumed_attempt.substr(
                     0, StreamOrigins::kMaxIdLength),
                 " began")});
}

void Gateway::Impl::GoOnFrom(ServingRequest* request,
                             const StreamOrigin& origin,
                             std::string_view source) {
  const auto& split = request->route->split;
  const bool routed =
      std::any_of(split.begin(), split.end(),
                  [&](const auto& it) { return it.service == origin.service; });
  if (!routed) {
    RefuseUnknownStream(request);
    return;
  }
  request->service = origin.service;
  request->stream_version = origin.version;
  LogTakenUp(*request, source);
  awaiting_origin.erase(request->id);
  if (CanGoOn(*request)) {
    BeginAdmitted(request);
    return;
  }
  Refuse(request, {Refusal::kNoReplica, Verdict::kNotRun, 0,
                   StrCat("no replica of ", origin.service, " has version ",
                          origin.version, ", at which the stream began")});
}

void Gateway::Impl::LogTakenUp(const ServingRequest& request,
                               std::string_view source) {
  metrics->Count("acaciachute_gateway_streams_taken_up_total",
                 request.stream_version ? "known" : "unknown");
  log->Write(
      "stream_taken_up",
      {{"id", request.call.id},
       {"resumes", request.call.resumed_attempt},
       {"source", source},
       {"service", request.service},
       {"version", request.stream_version.value_or("")},
       {"asks", request.origin_search ? request.origin_search->asks : 0},
       {"after_ms", (output->Now() - request.received_at) / kMillisecond}});
}

void Gateway::Impl::SeeVersions() {
  const TimeUs now = output->Now();
  if (config == nullptr || now < next_version_scan_at) {
    return;
  }
  next_version_scan_at = now + ServiceVersions::kScanPeriod;
  for (const auto& [name, service] : config->services()) {
    for (const ReplicaEntry* it : directory->Of(name)) {
      service_versions.OnSeen(now, name, it->version);
    }
  }
}

void Gateway::OnStreamOrigins(const StreamOriginReport& report) {
  for (const StreamOrigin& it : report.streams) {
    impl_->stream_origins.Add(impl_->output->Now(), it);
  }
}

void Gateway::OnStreamOriginQuery(const NodeId& from,
                                  const StreamOriginQuery& query) {
  StreamOriginAnswer answer = {query.request, {}};
  if (auto origin = impl_->FindOrigin(query)) {
    answer.origins.push_back(std::move(*origin));
  }
  impl_->output->SendDatagram(from, answer);
}

void Gateway::OnStreamOriginAnswer(const NodeId& from,
                                   const StreamOriginAnswer& answer) {
  ServingRequest* request = impl_->FindByExchange(answer.request);
  if (request == nullptr || !impl_->awaiting_origin.contains(request->id) ||
      std::erase(request->origin_search->asked, from) == 0) {
    return;
  }
  if (!answer.origins.empty()) {
    impl_->GoOnFrom(request, answer.origins.front(), from);
  } else if (request->origin_search->asked.empty()) {
    impl_->RefuseUnknownStream(request);
  }
}

void Gateway::OnNewPeer(const NodeId& peer) {
  StreamOriginReport report;
  for (StreamOrigin& it : impl_->stream_origins.HeldBy(
           impl_->output->Now(), peer, impl_->output->LivePeers())) {
    report.streams.push_back(std::move(it));
    if (report.streams.size() == kMaxPerDatagram) {
      impl_->output->SendDatagram(peer, std::exchange(report, {}));
    }
  }
  if (!report.streams.empty()) {
    impl_->output->SendDatagram(peer, report);
  }
}

}  // namespace acaciachute
