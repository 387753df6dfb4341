#include "coordination/interface/entry.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/interface/entry_request.h"
#include "coordination/interface/pipeline.h"
#include "state/claim.h"
#include "text.h"

namespace acaciachute {

using detail::EntryRequest;

struct Entry::Impl : ClaimEvents, detail::PipelineOutput {
  Impl(EntryOptions options,
       EntryOutput* output,
       Random* random,
       Metrics* metrics,
       const ClaimKeeperFactory& make_claims)
      : options(std::move(options)),
        output(output),
        random(random),
        metrics(metrics),
        store(output),
        load(this->options.node, &replicas, random),
        pipeline(this, &replicas, &quarantine, &load, random, metrics),
        claims(make_claims ? make_claims(this) : MakeClaims()) {}

  std::unique_ptr<ClaimKeeper> MakeClaims();

  // Admission.
  std::string ConvictionReason(TimeUs now,
                               const CallerRequest& call,
                               const Event& event) const;
  std::shared_ptr<const Event> FindEvent(const CallerRequest& call) const;
  CallerAnswer Check(const CallerRequest& call, const Event* event) const;
  void Refuse(const CallerRequest& call, CallerAnswer answer);
  void Admit(TimeUs now,
             CallerRequest call,
             std::shared_ptr<const Event> event,
             RequestLoad request_load);
  void StartTrace(EntryRequest& request);

  // Completion.
  void GiveUp(TimeUs now,
              EntryRequest& request,
              Refusal reason,
              DurationUs retry_after = kDefaultRetryAfter);
  void Finish(TimeUs now, EntryRequest& request, CallerAnswer answer);
  void ExportRequest(TimeUs now,
                     const EntryRequest& request,
                     const CallerAnswer& answer);

  // ClaimEvents:
  void OnClaimHeld(TimeUs now, RequestId id) override;
  void OnClaimHeldElsewhere(TimeUs now, RequestId id) override;
  void OnClaimAnswer(TimeUs now, RequestId id, CallerAnswer answer) override;
  void OnClaimStatus(CallerHandle handle, CallerAnswer answer) override {
    output->Answer(handle, answer);
  }

  // PipelineOutput:
  void SendStage(const NodeId& sidecar, const Message& message) override {
    output->Send(sidecar, message);
  }
  void StreamPart(const EntryRequest& request, std::string_view part) override {
    output->Stream(request.call.handle, part);
  }
  void ExportSpan(const Span& span) override { output->Export(span); }
  void OnPipelineAnswer(TimeUs now,
                        EntryRequest& request,
                        std::string body) override;
  void OnPipelineFailure(TimeUs now,
                         EntryRequest& request,
                         Refusal reason,
                         DurationUs retry_after) override;

  EntryRequest* Find(const RequestId& id);

  const EntryOptions options;
  EntryOutput* const output;
  Random* const random;
  Metrics* const metrics;
  StoreCalls store;
  SettingsPtr settings = std::make_shared<Settings>();
  ReplicaTable replicas;
  Quarantine quarantine;
  LoadControl load;
  detail::Pipeline pipeline;
  const std::unique_ptr<ClaimKeeper> claims;
  CostTable costs;
  bool leaving = false;
  std::uint64_t next_sequence = 1;
  absl::flat_hash_map<RequestId, std::unique_ptr<EntryRequest>> requests;
  absl::flat_hash_map<CallerHandle, RequestId> by_handle;
  std::set<std::pair<TimeUs, RequestId>> deadlines;
};

std::unique_ptr<ClaimKeeper> Entry::Impl::MakeClaims() {
  return std::make_unique<Claims>(
      ClaimOptions{options.node, options.incarnation,
                   options.claim_transactions_per_second},
      &store, this, random, metrics);
}

EntryRequest* Entry::Impl::Find(const RequestId& id) {
  const auto it = requests.find(id);
  return it == requests.end() ? nullptr : it->second.get();
}

// Returns the event of the current settings; the pointer shares ownership of
// those settings. A call to a plain service becomes an event of one stage.
std::shared_ptr<const Event> Entry::Impl::FindEvent(
    const CallerRequest& call) const {
  if (call.service_pool.empty()) {
    return {settings, settings->FindEvent(call.event)};
  }
  const Pool* pool = settings->FindPool(call.service_pool);
  if (pool == nullptr || pool->kind != StageKind::kService) {
    return nullptr;
  }
  auto event = std::make_shared<Event>();
  event->max_deadline = pool->max_deadline;
  event->stages = {{call.service_pool, call.service_path}};
  event->accounts = pool->accounts;
  return event;
}

// Checks whether the request may be admitted; the reason is then `kNone`.
CallerAnswer Entry::Impl::Check(const CallerRequest& call,
                                const Event* event) const {
  const auto refuse = [](Refusal reason, std::string detail = "") {
    return MakeRefusal(Verdict::kNotRun, reason, std::move(detail));
  };
  if (leaving) {
    return refuse(Refusal::kLeaving);
  }
  if (event == nullptr) {
    return refuse(Refusal::kUnknownEvent);
  }
  if (std::find(event->accounts.begin(), event->accounts.end(), call.account) ==
      event->accounts.end()) {
    return refuse(Refusal::kForbidden);
  }
  const DurationUs deadline =
      call.deadline == 0 ? event->max_deadline : call.deadline;
  if (deadline < 0 || deadline > event->max_deadline) {
    return refuse(Refusal::kMalformed,
                  StrCat("the deadline exceeds the event's maximum of ",
                         event->max_deadline / kMillisecond, " ms"));
  }
  if (!call.idempotent && call.key.empty()) {
    return refuse(Refusal::kMalformed, "an idempotency key is required");
  }
  // A request that waited in the event loop past its deadline is refused before
  // it causes any work.
  if (call.waited >= deadline) {
    return refuse(Refusal::kLate);
  }
  if (requests.size() >= options.max_requests) {
    return refuse(Refusal::kFull);
  }
  return {};
}

// Explains the conviction of the request in one of its stages; empty if there
// is none.
std::string Entry::Impl::ConvictionReason(TimeUs now,
                                          const CallerRequest& call,
                                          const Event& event) const {
  for (const Stage& stage : event.stages) {
    const auto it = StageFingerprint(call.account, call.body, stage.pool);
    if (quarantine.Of(now, it) == QuarantineState::kConvicted) {
      return quarantine.Explain(it);
    }
  }
  return "";
}

void Entry::Impl::Refuse(const CallerRequest& call, CallerAnswer answer) {
  if (!call.idempotent && answer.detail.empty()) {
    answer.detail = kThisCopyNotRun;
  }
  metrics->Count("acaciachute_refused_total", Name(answer.reason));
  answer.request_id = FormatRequestId({options.incarnation, next_sequence++});
  output->Answer(call.handle, answer);
}

void Entry::Impl::Admit(TimeUs now,
                        CallerRequest call,
                        std::shared_ptr<const Event> event,
                        RequestLoad request_load) {
  auto owned = std::make_unique<EntryRequest>();
  EntryRequest& request = *owned;
  request.id = {options.incarnation, next_sequence++};
  request.settings = settings;
  request.event = std::move(event);
  request.arrived = now - call.waited;
  request.deadline =
      request.arrived +
      (call.deadline == 0 ? request.event->max_deadline : call.deadline);
  request.input = call.body;
  request.load = std::move(request_load);
  request.call = std::move(call);
  StartTrace(request);
  by_handle[request.call.handle] = request.id;
  deadlines.emplace(request.deadline, request.id);
  requests[request.id] = std::move(owned);
  metrics->Count("acaciachute_admitted_total", Name(request.call.caller_class));
  if (request.call.idempotent) {
    pipeline.Start(now, request);
    return;
  }
  const CallerRequest& it = request.call;
  const std::string target =
      it.service_pool.empty()
          ? it.event
          : StrCat("service ", it.service_pool, " ", it.service_path);
  claims->Acquire(now,
                  {request.id, it.account, it.key, BodyHash(target, it.body)});
}

void Entry::Impl::StartTrace(EntryRequest& request) {
  if (const auto parent = ParseTraceparent(request.call.traceparent)) {
    request.trace = *parent;
    request.parent_span = parent->span;
  } else {
    request.trace.trace_high = random->Next();
    request.trace.trace_low = random->Next();
  }
  request.trace.span = random->Next() | 1;
}

void Entry::Impl::OnClaimHeld(TimeUs now, RequestId id) {
  if (EntryRequest* request = Find(id)) {
    request->may_have_run = false;
    pipeline.Start(now, *request);
  }
}

void Entry::Impl::OnClaimHeldElsewhere(TimeUs now, RequestId id) {
  if (EntryRequest* request = Find(id)) {
    request->may_have_run = true;
  }
}

void Entry::Impl::OnClaimAnswer(TimeUs now, RequestId id, CallerAnswer answer) {
  if (EntryRequest* request = Find(id)) {
    Finish(now, *request, std::move(answer));
  }
}

void Entry::Impl::OnPipelineAnswer(TimeUs now,
                                   EntryRequest& request,
                                   std::string body) {
  CallerAnswer answer;
  answer.verdict = Verdict::kAnswered;
  answer.body = std::move(body);
  Finish(now, request, std::move(answer));
}

void Entry::Impl::OnPipelineFailure(TimeUs now,
                                    EntryRequest& request,
                                    Refusal reason,
                                    DurationUs retry_after) {
  GiveUp(now, request, reason, retry_after);
}

void Entry::Impl::GiveUp(TimeUs now,
                         EntryRequest& request,
                         Refusal reason,
                         DurationUs retry_after) {
  pipeline.Cancel(now, request, reason);
  Finish(now, request,
         MakeRefusal(
             request.may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun,
             reason, "", retry_after));
}

void Entry::Impl::Finish(TimeUs now,
                         EntryRequest& request,
                         CallerAnswer answer) {
  answer.cost = request.cost;
  answer.traceparent = FormatTraceparent(request.trace);
  answer.request_id = FormatRequestId(request.id);
  ExportRequest(now, request, answer);
  const RequestId id = request.id;
  const CallerHandle handle = request.call.handle;
  const bool gone = request.caller_gone;
  load.OnRequestEnd(&request.load);
  deadlines.erase({request.deadline, id});
  by_handle.erase(handle);
  requests.erase(id);
  claims->End(now, id, answer);
  if (!gone) {
    output->Answer(handle, answer);
  }
}

void Entry::Impl::ExportRequest(TimeUs now,
                                const EntryRequest& request,
                                const CallerAnswer& answer) {
  Span span;
  span.context = request.trace;
  span.parent = request.parent_span;
  span.name = StrCat("request ", request.call.service_pool.empty()
                                     ? request.call.event
                                     : request.call.service_pool);
  span.start = request.arrived;
  span.end = now;
  span.attributes = {{"node", options.node},
                     {"account", request.call.account},
                     {"verdict", std::string(Name(answer.verdict))},
                     {"reason", std::string(Name(answer.reason))}};
  output->Export(span);
  for (const auto& it : answer.cost) {
    costs.Add(request.call.event, request.call.account, it.pool, it.attempts,
              it.service);
  }
  metrics->Count("acaciachute_answers_total", Name(answer.verdict));
  metrics->Observe("acaciachute_request_seconds",
                   Name(request.call.caller_class), now - request.arrived);
}

Entry::Entry(EntryOptions options,
             EntryOutput* output,
             Random* random,
             Metrics* metrics,
             const ClaimKeeperFactory& make_claims)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   output,
                                   random,
                                   metrics,
                                   make_claims)) {}
Entry::~Entry() = default;

void Entry::OnSettings(TimeUs now, SettingsPtr settings) {
  impl_->settings = std::move(settings);
  impl_->replicas.Apply(*impl_->settings);
  impl_->load.OnSettings(impl_->settings);
}

void Entry::OnRequest(TimeUs now, CallerRequest request) {
  const SettingsFreshness* freshness = impl_->options.freshness;
  if (freshness != nullptr && !freshness->IsCurrent(now)) {
    impl_->Refuse(request, MakeRefusal(Verdict::kNotRun, Refusal::kNotCurrent));
    return;
  }
  auto event = impl_->FindEvent(request);
  CallerAnswer refusal = impl_->Check(request, event.get());
  if (refusal.reason != Refusal::kNone) {
    impl_->Refuse(request, std::move(refusal));
    return;
  }
  auto convicted = impl_->ConvictionReason(now, request, *event);
  if (!convicted.empty()) {
    impl_->Refuse(request, MakeRefusal(Verdict::kNotRun, Refusal::kQuarantined,
                                       std::move(convicted)));
    return;
  }
  RequestLoad load;
  const DurationUs deadline =
      request.deadline == 0 ? event->max_deadline : request.deadline;
  const LoadDecision decision =
      impl_->load.Admit(now, request.event, *event, request.account,
                        request.caller_class, deadline - request.waited, &load);
  if (decision.reason != Refusal::kNone) {
    impl_->Refuse(request, MakeRefusal(Verdict::kNotRun, decision.reason, "",
                                       decision.retry_after));
    return;
  }
  impl_->Admit(now, std::move(request), std::move(event), std::move(load));
}

void Entry::OnStatus(TimeUs now,
                     CallerHandle handle,
                     std::string_view account,
                     std::string_view key) {
  impl_->claims->LookUpStatus(now, handle, account, key);
}

// Cancels the request through to the upstream, because no caller waits for it.
// A non-idempotent request that may already run is finished instead, so that
// the caller can retrieve its answer by the status call.
void Entry::OnCallerGone(TimeUs now, CallerHandle handle) {
  const auto it = impl_->by_handle.find(handle);
  if (it == impl_->by_handle.end()) {
    return;
  }
  EntryRequest& request = *impl_->requests[it->second];
  request.caller_gone = true;
  const bool running = request.attempt || request.may_have_run;
  if (request.call.idempotent || !running) {
    impl_->GiveUp(now, request, Refusal::kCancelled);
  }
}

void Entry::OnMessage(TimeUs now, const NodeId& from, const Message& message) {
  if (const auto* chunk = std::get_if<StageChunk>(&message)) {
    impl_->pipeline.OnChunk(now, impl_->Find(chunk->key.request), from, *chunk);
  } else if (const auto* failure = std::get_if<StageFailure>(&message)) {
    impl_->pipeline.OnFailure(now, impl_->Find(failure->key.request), from,
                              *failure);
  } else {
    impl_->metrics->Count("acaciachute_unexpected_messages_total");
  }
}

void Entry::OnHeartbeat(TimeUs now,
                        const NodeId& from,
                        Incarnation incarnation,
                        const Heartbeat& heartbeat) {
  Replica* replica = impl_->replicas.Find(from);
  if (replica == nullptr) {
    return;
  }
  replica->incarnation = incarnation;
  replica->state = heartbeat.state;
  replica->load = heartbeat.load;
  replica->heard_at = now;
  impl_->quarantine.Merge(now, heartbeat.quarantined);
  impl_->load.OnReport(replica);
}

void Entry::OnMemberState(TimeUs now, const NodeId& sidecar, NodeState state) {
  if (Replica* replica = impl_->replicas.Find(sidecar)) {
    replica->state = state;
    impl_->load.Update(replica);
  }
}

void Entry::OnPeerLost(TimeUs now, const NodeId& sidecar) {
  std::vector<RequestId> affected;
  for (const auto& [id, request] : impl_->requests) {
    if (request->attempt && request->attempt->node == sidecar) {
      affected.push_back(id);
    }
  }
  std::sort(affected.begin(), affected.end());
  if (Replica* replica = impl_->replicas.Find(sidecar)) {
    impl_->load.OnUnreachable(replica);
  }
  for (const RequestId& id : affected) {
    if (EntryRequest* request = impl_->Find(id)) {
      impl_->pipeline.FailAttempt(now, *request, Verdict::kMayHaveRun,
                                  Refusal::kUpstreamFailed, 0);
    }
  }
}

void Entry::OnUnsent(TimeUs now,
                     const NodeId& sidecar,
                     const Message& message) {
  if (const auto* call = std::get_if<StageCall>(&message)) {
    StageFailure failure;
    failure.key = call->key;
    failure.sidecar = call->sidecar;
    failure.verdict = Verdict::kNotRun;
    failure.reason = Refusal::kNoReplica;
    impl_->pipeline.OnFailure(now, impl_->Find(call->key.request), sidecar,
                              failure);
  }
}

void Entry::OnStoreAnswer(TimeUs now,
                          StoreTicket ticket,
                          const StoreAnswer& answer) {
  impl_->store.OnAnswer(now, ticket, answer);
}

void Entry::OnTick(TimeUs now) {
  while (!impl_->deadlines.empty() && impl_->deadlines.begin()->first <= now) {
    const RequestId id = impl_->deadlines.begin()->second;
    impl_->GiveUp(now, *impl_->requests[id], Refusal::kLate);
  }
  impl_->claims->OnTick(now);
}

TimeUs Entry::NextWakeup() const {
  const TimeUs next = impl_->claims->NextWakeup();
  return impl_->deadlines.empty()
             ? next
             : std::min(next, impl_->deadlines.begin()->first);
}

void Entry::Leave() {
  impl_->leaving = true;
}

std::size_t Entry::InProgress() const {
  return impl_->requests.size();
}

std::size_t Entry::UnsettledOutcomes() const {
  return impl_->claims->UnsettledOutcomes();
}

const CostTable& Entry::costs() const {
  return impl_->costs;
}

Quarantine& Entry::quarantine() {
  return impl_->quarantine;
}

ReplicaTable& Entry::replicas() {
  return impl_->replicas;
}

const SettingsPtr& Entry::settings() const {
  return impl_->settings;
}

}  // namespace acaciachute
