#include "daemon/entry_node.h"

#include <glog/logging.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "coordination/control/control_duty.h"
#include "coordination/interface/entry.h"
#include "coordination/interface/platform_client.h"
#include "coordination/membership/membership.h"
#include "coordination/settings/settings_sync.h"
#include "daemon/node_pages.h"
#include "daemon/startup.h"
#include "protocol/caller_http.h"
#include "protocol/platform_codec.h"
#include "protocol/quarantine_http.h"
#include "state/metrics.h"
#include "state/random.h"
#include "text.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/peer_mesh.h"
#include "transport/trace_log.h"
#include "transport/wakeup.h"

namespace acaciachute {
namespace {

// Period of reads of the platform's host list. The list is only a hint that may
// lag by up to 30 s, so more frequent reads would not help.
constexpr DurationUs kHostListPeriod = 10 * kSecond;
// Period of the tick that drives settings sync and leases: a third of the
// gossip period.
constexpr DurationUs kSettingsTickPeriod = 100 * kMillisecond;
// Longer than `kStoreTimeout`, because a read of the settings is still useful
// when the table is slow.
constexpr DurationUs kSettingsReadTimeout = 10 * kSecond;
// Timeout of a transaction; above the table's own limit for one.
constexpr DurationUs kStoreTimeout = 2 * kSecond;
// Maximum time that a draining entry waits until the outcomes of its claims are
// written. If the table is down for longer, the entry exits without them, and
// later copies of these requests are answered with "may have run".
constexpr DurationUs kClaimOutcomeTimeout = 10 * kSecond;
constexpr DurationUs kDrainPollPeriod = 20 * kMillisecond;
constexpr int kHttpOk = 200;

std::vector<NodeId> PeerNames(const std::vector<PeerAddress>& peers) {
  std::vector<NodeId> names;
  names.reserve(peers.size());
  for (const auto& it : peers) {
    names.push_back(it.node);
  }
  return names;
}

HttpLimits LimitsOf(const NodeSettings& settings) {
  HttpLimits limits;
  limits.max_body = kMaxBodySize;
  limits.max_connections = settings.max_connections;
  limits.client_memory = settings.client_memory;
  return limits;
}

}  // namespace

struct EntryNode::Impl : EntryOutput,
                         SettingsSyncOutput,
                         MembershipOutput,
                         LeaseOutput,
                         PoolControlOutput,
                         PeerHandler,
                         HttpHandler {
  Impl(const NodeSettings& node_settings, Loop* event_loop)
      : settings(node_settings),
        loop(event_loop),
        random(RandomSeed()),
        incarnation(random.Next() | 1),
        traces(settings.node),
        sync(settings.node,
             PeerNames(settings.peers),
             Loop::Now(),
             this,
             &random,
             &metrics),
        members(this, &random, &metrics),
        platform(&random, &metrics),
        control(settings.node, this, this, &random, &metrics),
        entry({settings.node, incarnation, settings.max_requests, &sync,
               settings.claim_transactions_per_second},
              this,
              &random,
              &metrics),
        mesh({settings.node, incarnation, settings.frame_key, settings.listen},
             this,
             &metrics),
        server(this, LimitsOf(settings)),
        store(kStoreTimeout),
        settings_store(kSettingsReadTimeout) {
    for (const auto& it : settings.peers) {
      mesh.SetAddress(it.node, it.address);
    }
  }

  // EntryOutput:
  void Send(const NodeId& sidecar, const Message& message) override {
    mesh.Send(sidecar, message);
  }
  void Answer(CallerHandle handle, const CallerAnswer& answer) override;
  void Stream(CallerHandle handle, std::string_view part) override {
    streams.insert_or_assign(handle, true);
    server.StreamPart(handle, FormatStreamPart(part));
  }
  void CallStore(StoreTicket ticket, std::vector<StoreOp> ops) override;
  void Export(const Span& span) override { traces.Add(span); }

  // SettingsSyncOutput:
  void SendGossipRequest(const NodeId& peer, std::uint64_t sequence) override {
    SendEntryHeartbeat(peer, sequence, 0);
  }
  void SendSettings(const NodeId& peer, const Message& message) override {
    mesh.Send(peer, message);
  }
  void ReadTable(StoreTicket ticket, std::vector<StoreOp> ops) override {
    Transact(StorePurpose::kSettings, ops,
             [this, ticket](const StoreAnswer& answer) {
               sync.OnTableAnswer(Loop::Now(), ticket, answer);
             });
  }
  void OnBranchRefused(std::string_view error) override {
    LOG(WARNING) << "event=branch_refused node=" << settings.node << " error=\""
                 << error << "\"";
  }
  void OnApplied(const SettingsPtr& next) override;

  // LeaseOutput:
  void CallTable(const std::string& pool,
                 StoreTicket ticket,
                 std::vector<StoreOp> ops) override {
    Transact(StorePurpose::kLeases, ops,
             [this, pool, ticket](const StoreAnswer& answer) {
               control.OnTableAnswer(Loop::Now(), pool, ticket, answer);
             });
  }

  // PoolControlOutput:
  void SendOrder(const NodeId& sidecar, const ControlOrder& order) override {
    mesh.Send(sidecar, order);
  }

  // MembershipOutput:
  void ProbeSidecar(const NodeId& sidecar, std::uint64_t sequence) override;
  void SendToEntry(const NodeId& peer, const Message& message) override {
    mesh.SendDatagram(peer, message);
  }
  void OnMemberState(const NodeId& sidecar, NodeState state) override;
  void OnMemberLost(const NodeId& sidecar) override {
    entry.OnPeerLost(Loop::Now(), sidecar);
    Rearm();
  }

  // PeerHandler:
  void OnPeerMessage(const NodeId& from,
                     Incarnation from_incarnation,
                     const Message& message) override {
    if (const auto* pull = std::get_if<SettingsPull>(&message)) {
      sync.OnPull(Loop::Now(), from, *pull);
      return;
    }
    if (const auto* result = std::get_if<ControlOrderResult>(&message)) {
      control.OnResult(Loop::Now(), from, *result);
      return;
    }
    if (const auto* bodies = std::get_if<SettingsBodies>(&message)) {
      sync.OnBodies(Loop::Now(), from, *bodies);
      return;
    }
    entry.OnMessage(Loop::Now(), from, message);
    Rearm();
  }
  void OnPeerDatagram(const NodeId& from,
                      Incarnation from_incarnation,
                      const Message& message) override {
    const TimeUs now = Loop::Now();
    if (const auto* query = std::get_if<ReachQuery>(&message)) {
      members.OnReachQuery(now, from, *query);
    } else if (const auto* report = std::get_if<ReachReport>(&message)) {
      members.OnReachReport(now, *report);
    } else if (const auto* it = std::get_if<Heartbeat>(&message)) {
      if (it->role == Role::kEntry) {
        OnEntryHeartbeat(from, *it);
      } else {
        OnSidecarHeartbeat(now, from, from_incarnation, *it);
      }
    }
  }
  void OnPeerLost(const NodeId& peer) override {
    LOG(INFO) << "event=connection_lost node=" << settings.node
              << " peer=" << peer;
    entry.OnPeerLost(Loop::Now(), peer);
    Rearm();
  }
  void OnUnsent(const NodeId& peer, const Message& message) override {
    entry.OnUnsent(Loop::Now(), peer, message);
    Rearm();
  }

  // HttpHandler:
  void OnHttpRequest(std::uint64_t handle,
                     const HttpHead& head,
                     std::string_view body) override;
  void OnHttpDisconnected(std::uint64_t handle) override {
    streams.erase(handle);
    entry.OnCallerDisconnected(Loop::Now(), handle);
    Rearm();
  }
  void OnHttpRelief(const ClientMemory::Relief& relief) override {
    ReportRelief(settings.node, relief, &metrics);
  }

  void OnOperatorRequest(std::uint64_t handle, const HttpHead& head);
  std::string StatusJson();
  std::string CostJson();
  void OnEntryHeartbeat(const NodeId& from, const Heartbeat& heartbeat);
  void SendEntryHeartbeat(const NodeId& peer,
                          std::uint64_t sequence,
                          std::uint64_t reply_to);
  void OnSidecarHeartbeat(TimeUs now,
                          const NodeId& from,
                          Incarnation from_incarnation,
                          const Heartbeat& heartbeat);
  void LogSettingsFreshness();
  void ReadHostList();
  void Rearm();
  void Transact(StorePurpose purpose,
                const std::vector<StoreOp>& ops,
                std::function<void(StoreAnswer)> done);
  void QuitWhenDone();

  const NodeSettings settings;
  Loop* const loop;
  Random random;
  const Incarnation incarnation;
  Metrics metrics;
  TraceLog traces;
  SettingsSync sync;
  Membership members;
  PlatformClient platform;
  ControlDuty control;
  Entry entry;
  PeerMesh mesh;
  HttpServer server;
  HttpClient store;
  HttpClient settings_store;
  // Callers that requested a stream, and whether its first part has been sent.
  std::map<CallerHandle, bool> streams;
  Wakeup wakeup{loop, [this] {
                  entry.OnTick(Loop::Now());
                  Rearm();
                }};
  bool draining = false;
  bool was_current = false;
  TimeUs claim_outcome_deadline = 0;
};

void EntryNode::Impl::Answer(CallerHandle handle, const CallerAnswer& answer) {
  const auto it = streams.find(handle);
  const bool wants_stream = it != streams.end();
  const bool started = wants_stream && it->second;
  if (wants_stream) {
    streams.erase(it);
  }
  // The answer of an earlier copy of the request is streamed as a single part.
  // A refusal before the first part is an ordinary response with its status.
  if (wants_stream && !started && answer.verdict == Verdict::kAnswered) {
    server.StreamPart(handle, FormatStreamPart(answer.body));
  }
  if (started || (wants_stream && answer.verdict == Verdict::kAnswered)) {
    server.StreamEnd(handle, FormatStreamEnd(answer));
    return;
  }
  server.Reply(handle, FormatAnswer(answer));
}

void EntryNode::Impl::Transact(StorePurpose purpose,
                               const std::vector<StoreOp>& ops,
                               std::function<void(StoreAnswer)> done) {
  const auto call = platform.Start(Loop::Now(), purpose);
  if (!call) {
    // Called from the loop, like every other answer, because `done` must not
    // run inside the caller's own call.
    loop->After(0, [done = std::move(done)] {
      done({StoreStatus::kUnavailable, {}});
    });
    return;
  }
  HttpRequest request;
  request.method = "POST";
  request.url = StrCat(settings.platform_url, kTransactPath);
  request.body = EncodeTransaction(ops);
  // Repeating is safe: every write is conditional, and a nonce or the version
  // shows whether it was applied.
  request.repeatable = true;
  HttpClient& client =
      purpose == StorePurpose::kSettings ? settings_store : store;
  client.Call(request, [this, call = *call,
                        done = std::move(done)](const HttpResult& result) {
    StoreAnswer answer;
    if (!result.sent) {
      answer.status = StoreStatus::kUnavailable;
    } else if (result.ended()) {
      answer = DecodeStoreAnswer(result.status, result.body);
    }
    platform.End(Loop::Now(), call, answer.status);
    done(std::move(answer));
  });
}

void EntryNode::Impl::CallStore(StoreTicket ticket, std::vector<StoreOp> ops) {
  Transact(PurposeOf(ops), ops, [this, ticket](const StoreAnswer& answer) {
    entry.OnStoreAnswer(Loop::Now(), ticket, answer);
    Rearm();
  });
}

void EntryNode::Impl::OnHttpRequest(std::uint64_t handle,
                                    const HttpHead& head,
                                    std::string_view body) {
  if (const auto it =
          ServeQuarantine(head, body, Loop::Now(), &entry.quarantine())) {
    server.Reply(handle, *it);
    return;
  }
  if (!head.path.starts_with("/v1/")) {
    OnOperatorRequest(handle, head);
    return;
  }
  CallerCall call = ParseCallerCall(head, body, *entry.settings());
  if (auto* request = std::get_if<CallerRequest>(&call)) {
    request->handle = handle;
    if (request->stream) {
      streams[handle] = false;
    }
    metrics.Observe("acaciachute_loop_wait_seconds", "", request->waited);
    entry.OnRequest(Loop::Now(), std::move(*request));
  } else if (const auto* query = std::get_if<StatusQuery>(&call)) {
    entry.OnStatus(Loop::Now(), handle, query->account, query->key);
  } else {
    const auto& rejection = std::get<Rejection>(call);
    metrics.Count("acaciachute_refused_total", Name(rejection.reason));
    CallerAnswer answer =
        MakeRefusal(Verdict::kNotRun, rejection.reason, rejection.detail);
    answer.request_id = StrCat(incarnation, "-http-", handle);
    server.Reply(handle, FormatAnswer(answer));
  }
  Rearm();
}

void EntryNode::Impl::OnOperatorRequest(std::uint64_t handle,
                                        const HttpHead& head) {
  HttpReply reply;
  if (head.path == "/status") {
    reply.body = StatusJson();
  } else if (head.path == "/cost") {
    reply.body = CostJson();
  } else {
    const bool ready = !draining && sync.IsCurrent(Loop::Now());
    reply = ServeNodePage(head, ready, metrics, traces);
  }
  server.Reply(handle, reply);
}

std::string EntryNode::Impl::CostJson() {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, sum] : entry.costs().rows()) {
    rows.push_back({{"event", std::get<0>(key)},
                    {"account", std::get<1>(key)},
                    {"pool", std::get<2>(key)},
                    {"requests", sum.requests},
                    {"attempts", sum.attempts},
                    {"service_us", sum.service}});
  }
  return rows.dump();
}

std::string EntryNode::Impl::StatusJson() {
  nlohmann::json replicas = nlohmann::json::array();
  for (const Replica* it : entry.replicas().All()) {
    replicas.push_back({{"node", it->address.node},
                        {"pool", it->pool},
                        {"failure_domain", it->address.failure_domain},
                        {"state", Name(it->state)},
                        {"incarnation", it->incarnation},
                        {"queued", it->load.queued},
                        {"in_progress", it->load.in_progress},
                        {"limit", it->load.limit},
                        {"own_in_progress", it->own_in_progress}});
  }
  nlohmann::json branches = nlohmann::json::object();
  for (const auto& [name, branch] : entry.settings()->branches()) {
    branches[name] = branch.version;
  }
  return nlohmann::json{{"node", settings.node},
                        {"role", Name(settings.role)},
                        {"failure_domain", settings.failure_domain},
                        {"draining", draining},
                        {"in_progress", entry.InProgress()},
                        {"replicas", std::move(replicas)},
                        {"leases", control.Held(Loop::Now())},
                        {"platform", Name(platform.state(Loop::Now()))},
                        {"settings",
                         {{"current", sync.IsCurrent(Loop::Now())},
                          {"proof_age_us", sync.ProofAge(Loop::Now())},
                          {"witnesses", sync.Witnesses()},
                          {"holders", sync.Holders()}}},
                        {"branches", std::move(branches)}}
      .dump();
}

void EntryNode::Impl::OnApplied(const SettingsPtr& next) {
  for (const auto& [name, branch] : next->branches()) {
    const Branch* old = entry.settings()->FindBranch(name);
    if (old == nullptr || old->version < branch.version) {
      LOG(INFO) << "event=branch_applied node=" << settings.node
                << " branch=" << name << " version=" << branch.version;
    }
    for (const auto& it : branch.entries) {
      mesh.SetAddress(it.node, {it.ip, it.port});
    }
  }
  entry.OnSettings(Loop::Now(), next);
  std::vector<NodeId> targets;
  for (const Replica* it : entry.replicas().All()) {
    mesh.SetAddress(it->address.node, {it->address.ip, it->address.port});
    if (it->in_subset) {
      targets.push_back(it->address.node);
    }
  }
  members.SetTargets(Loop::Now(), targets);
  members.SetHelpers(sync.Peers());
  control.OnSettings(*next, sync.Peers());
}

void EntryNode::Impl::OnEntryHeartbeat(const NodeId& from,
                                       const Heartbeat& heartbeat) {
  sync.OnHeartbeat(Loop::Now(), from, heartbeat);
  if (heartbeat.reply_to == 0) {
    SendEntryHeartbeat(from, 0, heartbeat.sequence);
  }
}

void EntryNode::Impl::SendEntryHeartbeat(const NodeId& peer,
                                         std::uint64_t sequence,
                                         std::uint64_t reply_to) {
  Heartbeat heartbeat;
  heartbeat.role = Role::kEntry;
  heartbeat.state = draining ? NodeState::kLeaving : NodeState::kReady;
  heartbeat.sequence = sequence;
  heartbeat.reply_to = reply_to;
  heartbeat.settings = sync.Digest(Loop::Now());
  if (reply_to == 0) {
    // Only a reply can prove how recent the sender's settings are.
    heartbeat.settings.witnesses.clear();
  }
  mesh.SendDatagram(peer, heartbeat);
}

void EntryNode::Impl::LogSettingsFreshness() {
  const bool current = sync.IsCurrent(Loop::Now());
  if (current != was_current) {
    was_current = current;
    LOG(INFO) << "event=currency node=" << settings.node
              << " current=" << current;
  }
}

void EntryNode::Impl::ProbeSidecar(const NodeId& sidecar,
                                   std::uint64_t sequence) {
  Heartbeat heartbeat;
  heartbeat.role = Role::kEntry;
  heartbeat.state = draining ? NodeState::kLeaving : NodeState::kReady;
  heartbeat.sequence = sequence;
  heartbeat.sent_at = Loop::Now();
  heartbeat.quarantined = entry.quarantine().RecordsToSend(Loop::Now());
  heartbeat.receiver_leaving = members.ListedLeaving(sidecar);
  mesh.SendDatagram(sidecar, heartbeat);
}

void EntryNode::Impl::OnSidecarHeartbeat(TimeUs now,
                                         const NodeId& from,
                                         Incarnation from_incarnation,
                                         const Heartbeat& heartbeat) {
  if (!members.OnAnswer(now, from, from_incarnation, heartbeat)) {
    return;
  }
  Heartbeat with_member_state = heartbeat;
  with_member_state.state = members.StateOf(from);
  entry.OnHeartbeat(now, from, from_incarnation, with_member_state);
}

void EntryNode::Impl::OnMemberState(const NodeId& sidecar, NodeState state) {
  LOG(INFO) << "event=member node=" << settings.node << " peer=" << sidecar
            << " state=" << Name(state);
  entry.OnMemberState(Loop::Now(), sidecar, state);
}

void EntryNode::Impl::ReadHostList() {
  loop->After(kHostListPeriod, [this] { ReadHostList(); });
  const auto call = platform.Start(Loop::Now(), StorePurpose::kHosts);
  if (!call) {
    return;
  }
  HttpRequest request;
  request.url = StrCat(settings.platform_url, "/v1/hosts");
  request.repeatable = true;
  store.Call(request, [this, call = *call](const HttpResult& result) {
    const bool ok = result.status == kHttpOk && result.ended();
    platform.End(Loop::Now(), call,
                 ok ? StoreStatus::kOk : StoreStatus::kUnavailable);
    if (ok) {
      members.OnHostList(Loop::Now(), DecodeHostList(result.body));
    }
  });
}

void EntryNode::Impl::Rearm() {
  wakeup.At(entry.NextWakeup());
}

void EntryNode::Impl::QuitWhenDone() {
  const bool settled =
      entry.UnsettledOutcomes() == 0 || Loop::Now() >= claim_outcome_deadline;
  if (entry.InProgress() == 0 && server.UnfinishedRequests() == 0 && settled) {
    LOG(INFO) << "event=stopped node=" << settings.node;
    loop->Quit();
    return;
  }
  loop->After(kDrainPollPeriod, [this] { QuitWhenDone(); });
}

EntryNode::EntryNode(const NodeSettings& settings, Loop* loop)
    : impl_(std::make_unique<Impl>(settings, loop)) {}
EntryNode::~EntryNode() = default;

absl::Status EntryNode::Start() {
  if (auto status = impl_->mesh.Listen(); !status.ok()) {
    return status;
  }
  if (auto status = impl_->server.Listen(impl_->settings.http); !status.ok()) {
    return status;
  }
  PrintListening(impl_->settings.node, impl_->mesh.port(),
                 impl_->server.port());
  impl_->loop->Every(kSettingsTickPeriod, [this] {
    impl_->sync.OnTick(Loop::Now());
    impl_->control.OnTick(Loop::Now(), impl_->entry.replicas());
    impl_->LogSettingsFreshness();
  });
  impl_->sync.OnTick(Loop::Now());
  impl_->loop->Every(Membership::kTick,
                     [this] { impl_->members.OnTick(Loop::Now()); });
  // A random delay, so that entries that start together read the list at
  // different times.
  const auto delay =
      static_cast<DurationUs>(impl_->random.Below(kHostListPeriod));
  impl_->loop->After(delay, [this] { impl_->ReadHostList(); });
  return absl::OkStatus();
}

void EntryNode::Drain() {
  if (impl_->draining) {
    return;
  }
  impl_->draining = true;
  impl_->control.Leave();
  LOG(INFO) << "event=draining node=" << impl_->settings.node
            << " in_progress=" << impl_->entry.InProgress();
  // The balancer polls /readyz every 1 to 2 s. Requests that it sends until it
  // sees the change are accepted, and each answer asks it to close the
  // connection.
  impl_->server.CloseConnections();
  impl_->loop->After(impl_->settings.balancer_grace, [this] {
    impl_->entry.Leave();
    impl_->claim_outcome_deadline = Loop::Now() + kClaimOutcomeTimeout;
    impl_->QuitWhenDone();
  });
}

}  // namespace acaciachute
