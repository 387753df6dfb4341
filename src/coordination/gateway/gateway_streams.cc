// Streams that clients take up again: finding out at which software version
// they began, so that they go on there or not at all.
#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/gateway/gateway_impl.h"
#include "text.h"

namespace acaciachute {
namespace {

// Interval between questions to other gateways, and how often they are sent:
// datagrams are lost, and clients wait.
constexpr DurationUs kAskInterval = 60 * kMillisecond;
constexpr int kMaxAsks = 4;

// Heartbeat periods after which the row of a process that has ended is gone:
// three of silence, and one for the store and the list.
constexpr int kRowPeriods = 4;

// Origins in one datagram, some 100 bytes each.
constexpr std::size_t kMaxPerDatagram = 10;

}  // namespace

bool Gateway::Impl::TakesUpStream(const ServingRequest& request) {
  return request.route->kind == RouteKind::kStream &&
         (request.resume_after || !request.call.resumed_attempt.empty());
}

// Where the replica is in doubt, the version in the list is not the stream's.
void Gateway::Impl::TellOrigin(ServingRequest* request) {
  const ReplicaEntry& replica = request->attempt.replica;
  if (request->origin_told || request->events.complete_events() == 0) {
    return;
  }
  StreamOrigin origin = {request->call.id, AccountOf(*request),
                         request->service, "", 0};
  if (!version_doubts.InDoubt(replica.id)) {
    request->origin_told = true;
    request->stream_version = request->stream_version.value_or(replica.version);
    origin.version = *request->stream_version;
    OnStreamBegun(origin);
    return;
  }
  const Incarnation start = version_doubts.StartOf(replica.id);
  if (!request->stream_version && !request->began_in_doubt && start != 0) {
    request->began_in_doubt = true;
    begun_in_doubt.Add({std::move(origin),
                        {replica.id.name, start},
                        request->id,
                        output->Now()});
  }
}

// Streams that cannot be taken up are told too: a later configuration may allow
// it. A client may name the attempt that took the stream up last.
void Gateway::Impl::OnStreamBegun(const StreamOrigin& origin) {
  stream_origins.Add(output->Now(), origin);
  stream_recorder.OnBegun(output->Now(), origin);
  for (const NodeId& it : StreamOrigins::Holders(
           origin.attempt, output->LivePeers(), StreamOrigins::kHolders)) {
    output->SendDatagram(it, StreamOriginReport{{origin}});
  }
}

void Gateway::Impl::LearnVersions() {
  const auto version_of =
      [this](const ReplicaId& process) -> std::optional<std::string> {
    const ReplicaEntry* entry = directory->Find(process);
    return entry == nullptr ? std::nullopt : std::optional(entry->version);
  };
  for (const auto& it : begun_in_doubt.TakeKnown(output->Now(), version_of)) {
    ServingRequest* request = FindByExchange(it.request);
    if (request != nullptr && request->call.id == it.origin.attempt) {
      request->origin_told = true;
      request->stream_version = it.origin.version;
    }
    OnStreamBegun(it.origin);
    log->Write("stream_version_learned", {{"id", it.origin.attempt},
                                          {"replica", it.process.name},
                                          {"start", it.process.incarnation},
                                          {"version", it.origin.version}});
  }
}

void Gateway::Impl::AwaitStart(ServingRequest* request) {
  Attempt& attempt = request->attempt;
  if (request->stream_version && version_doubts.IsChecked(attempt.replica.id)) {
    attempt.awaits_start = true;
    output->SetReading(attempt.call, false);
  }
}

void Gateway::Impl::OnStartKnown(CallId call, bool same) {
  ServingRequest* request = FindByCall(call);
  if (request == nullptr) {
    return;  // It ended with one before it.
  }
  if (!std::exchange(request->attempt.awaits_start, false)) {
    TellOrigin(request);
  } else if (same) {
    output->SetReading(call, true);
  } else {
    CancelAttempt(request);
    OnMayHaveRun(request, "another version may have taken the replica's place");
  }
}

StreamOriginQuery Gateway::Impl::OriginQueryOf(const ServingRequest& request) {
  return {request.id, request.call.resumed_attempt, AccountOf(request)};
}

// Only what is remembered of this very stream: other gateways may know it even
// if this one does not.
std::optional<StreamOrigin> Gateway::Impl::FindOrigin(
    const StreamOriginQuery& query) const {
  return stream_origins.Find(output->Now(), query.attempt, query.account);
}

void Gateway::Impl::TakeUpStream(ServingRequest* request) {
  if (const auto origin = FindOrigin(OriginQueryOf(*request))) {
    GoOnFrom(request, *origin, "here");
    return;
  }
  request->origin_search.emplace();
  awaiting_origin.insert(request->id);
  if (!request->call.resumed_attempt.empty()) {
    request->origin_search->asked =
        StreamOrigins::Holders(request->call.resumed_attempt,
                               output->LivePeers(), StreamOrigins::kAsked);
  }
  AskForOrigin(request);
}

void Gateway::Impl::AskForOrigin(ServingRequest* request) {
  OriginSearch& search = *request->origin_search;
  if (search.asked.empty() || search.asks == kMaxAsks) {
    ConcludeOrigin(request);
    return;
  }
  ++search.asks;
  search.next_ask_at = output->Now() + kAskInterval;
  for (const NodeId& it : search.asked) {
    output->SendDatagram(it, OriginQueryOf(*request));
  }
}

void Gateway::Impl::SearchOrigins() {
  const TimeUs now = output->Now();
  const std::set<ExchangeId> waiting = awaiting_origin;
  for (const ExchangeId id : waiting) {
    ServingRequest* request = FindByExchange(id);
    if (request == nullptr || !awaiting_origin.contains(id)) {
      continue;  // It ended with one before it.
    }
    if (request->origin_search->asked_all) {
      ConcludeOrigin(request);
    } else if (request->origin_search->next_ask_at <= now) {
      AskForOrigin(request);
    }
  }
}

void Gateway::Impl::ConcludeOrigin(ServingRequest* request) {
  OriginSearch& search = *request->origin_search;
  search.asked_all = true;
  if (version_doubts.AnyOtherProcess()) {
    RefuseUnknownStream(request,
                        "a process whose version is not known took a "
                        "replica's place");
    return;
  }
  if (version_ledger.Several()) {
    ConcludeFromRows(request);
    return;
  }
  if (!search.reads_since) {
    search.reads_since = output->Now();
    version_ledger.Read(output->Now());
    return;
  }
  if (version_ledger.read_at() >= search.reads_since) {
    if (const auto only = version_ledger.Only()) {
      GoOnFrom(request,
               {request->call.resumed_attempt, AccountOf(*request),
                only->service, only->version, 0},
               "only_version");
    } else {
      RefuseUnknownStream(request, "no version has a record");
    }
  } else if (version_ledger.failed_read_at() >= search.reads_since) {
    RefuseUnknownStream(request, "the store does not answer");
  }
}

void Gateway::Impl::ConcludeFromRows(ServingRequest* request) {
  const auto state =
      request->call.resumed_attempt.empty()
          ? StreamRowsState::kRead
          : stream_recorder.Ask(output->Now(), request->received_at);
  if (state == StreamRowsState::kAwaited) {
    return;
  }
  if (const auto origin = FindOrigin(OriginQueryOf(*request))) {
    GoOnFrom(request, *origin, "store");
    return;
  }
  RefuseUnknownStream(request,
                      StrCat("there are several versions, and ",
                             state == StreamRowsState::kRead
                                 ? "the store has no record of it"
                                 : "the store's records are not read"));
}

// A client's next connection may reach a gateway that knows.
void Gateway::Impl::RefuseUnknownStream(ServingRequest* request,
                                        std::string_view why) {
  awaiting_origin.erase(request->id);
  LogTakenUp(*request, "unknown");
  Refuse(request,
         {Refusal::kUnknownStream, Verdict::kNotRun, kRetryElsewhereDelay,
          StrCat("where ",
                 request->call.resumed_attempt.substr(
                     0, StreamOrigins::kMaxIdLength),
                 " can go on is not known: ", why)});
}

void Gateway::Impl::GoOnFrom(ServingRequest* request,
                             const StreamOrigin& origin,
                             std::string_view source) {
  const auto& split = request->route->split;
  const bool routed =
      std::any_of(split.begin(), split.end(),
                  [&](const auto& it) { return it.service == origin.service; });
  if (!routed) {
    RefuseUnknownStream(
        request, StrCat("the route no longer leads to ", origin.service));
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
  Refuse(request,
         {Refusal::kNoReplica, Verdict::kNotRun, 0,
          StrCat("no replica of ", origin.service, " certainly has version ",
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

void Gateway::Impl::ClearDoubts() {
  const TimeUs now = output->Now();
  const DurationUs age = directory->Age(now);
  if (age < 0) {
    return;
  }
  for (const ReplicaId& it : version_doubts.ClearBefore(
           now - age, kRowPeriods * options.replica_heartbeat_period)) {
    log->Write("version_doubt",
               {{"replica", it.name}, {"in_doubt", false}, {"source", "row"}});
  }
}

void Gateway::OnConnectionsLost(const ReplicaId& replica) {
  const ReplicaEntry* entry = impl_->directory->Find(replica);
  if (impl_->config == nullptr || entry == nullptr ||
      !impl_->config->HasStreams(entry->service)) {
    return;
  }
  if (!impl_->version_doubts.OnConnectionsLost(replica)) {
    return;  // It is asked again once it accepts a connection.
  }
  impl_->metrics->Count("acaciachute_gateway_version_doubts_total",
                        entry->service);
  impl_->log->Write("version_doubt", {{"replica", replica.name},
                                      {"life", replica.incarnation},
                                      {"in_doubt", true}});
  impl_->output->AskReplicaStart(replica, entry->address);
}

// A replica whose row states no start can't be told from another process. A
// connection without a request was made for a question, which asks no other.
void Gateway::OnFirstConnection(const ReplicaId& replica) {
  const ReplicaEntry* entry = impl_->directory->Find(replica);
  if (impl_->config == nullptr || entry == nullptr ||
      !impl_->config->HasStreams(entry->service) ||
      impl_->CallsAt(replica).empty()) {
    return;
  }
  const bool check = replica.incarnation != 0;
  if (impl_->version_doubts.OnFirstConnection(impl_->output->Now(), replica,
                                              check)) {
    impl_->metrics->Count("acaciachute_gateway_version_checks_total",
                          entry->service);
    impl_->output->AskReplicaStart(replica, entry->address);
  }
}

void Gateway::OnReplicaStart(const ReplicaId& replica,
                             std::optional<Incarnation> start) {
  const bool same = start && *start != 0 && *start == replica.incarnation;
  const bool was_checked = impl_->version_doubts.IsChecked(replica);
  if (same) {
    impl_->version_doubts.Clear(replica);
  } else {
    if (start) {
      // Its connection was made for the question.
      std::ignore =
          impl_->version_doubts.OnConnected(impl_->output->Now(), replica);
    }
    impl_->version_doubts.OnStart(replica, start.value_or(0));
  }
  for (const CallId it : impl_->CallsAt(replica)) {
    impl_->OnStartKnown(it, same);
  }
  if (same && was_checked) {
    return;  // The usual case.
  }
  impl_->log->Write("version_doubt", {{"replica", replica.name},
                                      {"life", replica.incarnation},
                                      {"in_doubt", !same},
                                      {"source", "replica"},
                                      {"start", start.value_or(0)}});
}

void Gateway::Impl::RecordVersions() {
  if (config == nullptr || !std::exchange(versions_changed, false)) {
    return;
  }
  const TimeUs now = output->Now();
  for (const auto& [name, service] : config->services()) {
    if (!config->HasStreams(name)) {
      continue;
    }
    for (const ReplicaEntry* it : directory->Of(name)) {
      version_ledger.Need(now, {name, it->version});
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
    impl_->ConcludeOrigin(request);
  }
}

void Gateway::OnVersionRecorded(const ServiceVersion& version, bool done) {
  impl_->version_ledger.OnRecorded(impl_->output->Now(), version, done);
}

void Gateway::OnVersionsRead(
    const std::optional<std::vector<ServiceVersion>>& versions) {
  impl_->version_ledger.OnRead(impl_->output->Now(), versions);
  impl_->SearchOrigins();
}

void Gateway::OnStreamRowsWritten(bool done) {
  impl_->stream_recorder.OnWritten(impl_->output->Now(), done);
}

void Gateway::OnStreamRows(const std::optional<StreamRowsPage>& page) {
  const TimeUs now = impl_->output->Now();
  for (const StreamOrigin& it : impl_->stream_recorder.OnRead(now, page)) {
    impl_->stream_origins.Add(now, it);
  }
  impl_->SearchOrigins();
}

void Gateway::OnServiceVersions(const NodeId& from,
                                const ServiceVersionReport& report) {
  impl_->version_ledger.OnReport(impl_->output->Now(), from, report);
}

bool Gateway::VersionsRecorded() const {
  return impl_->config != nullptr && !impl_->versions_changed &&
         impl_->version_ledger.MayBeginAtAll(impl_->output->Now());
}

void Gateway::OnNewPeer(const NodeId& peer) {
  impl_->version_ledger.OnNewPeer(peer);
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
