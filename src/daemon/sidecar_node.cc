#include "daemon/sidecar_node.h"

#include <glog/logging.h>

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>

#include "coordination/control/fence.h"
#include "coordination/sidecar/sidecar.h"
#include "daemon/node_pages.h"
#include "daemon/startup.h"
#include "protocol/lease_codec.h"
#include "protocol/platform_codec.h"
#include "protocol/quarantine_http.h"
#include "state/metrics.h"
#include "state/random.h"
#include "text.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/peer_mesh.h"
#include "transport/trace_log.h"
#include "transport/upstream_client.h"
#include "transport/wakeup.h"

namespace acaciachute {
namespace {

// Period of load reports from the upstream, and so the longest delay until the
// sidecar notices that the upstream is leaving.
constexpr DurationUs kReportPeriod = 200 * kMillisecond;
// Timeout of a read of the lease's row. A control order waits for the read.
constexpr DurationUs kLeaseReadTimeout = 2 * kSecond;
// Delay before the upstream is asked again for its fencing number. No control
// order is passed on until it has stated whether it keeps such a number.
constexpr DurationUs kFenceRetryDelay = kSecond;
// Delay between the announcement that this sidecar leaves and its exit, so that
// entries learn of it by heartbeats.
constexpr DurationUs kLeavingGracePeriod = 500 * kMillisecond;
constexpr DurationUs kDrainPollPeriod = 20 * kMillisecond;
// Operators' orders are short.
constexpr std::size_t kMaxOperatorBody = 64 << 10;

HttpLimits LimitsOf(const NodeSettings& settings) {
  HttpLimits limits;
  limits.max_body = kMaxOperatorBody;
  limits.client_memory = settings.client_memory;
  return limits;
}

}  // namespace

struct SidecarNode::Impl : SidecarOutput,
                           FenceOutput,
                           PeerHandler,
                           HttpHandler {
  Impl(const NodeSettings& node_settings, Loop* event_loop)
      : settings(node_settings),
        loop(event_loop),
        random(RandomSeed()),
        incarnation(random.Next() | 1),
        traces(settings.node),
        sidecar({settings.node, incarnation, settings.upstream_limit,
                 settings.max_queued},
                this,
                &metrics),
        fence(incarnation, this, &metrics),
        mesh({settings.node, incarnation, settings.frame_key, settings.listen},
             this,
             &metrics),
        server(this, LimitsOf(settings)),
        upstream(settings.upstream_url,
                 {[this](UpstreamCallId id, std::string body, bool last) {
                    sidecar.OnUpstreamChunk(Loop::Now(), id, std::move(body),
                                            last);
                    Rearm();
                  },
                  [this](UpstreamCallId id, UpstreamError error) {
                    sidecar.OnUpstreamError(Loop::Now(), id, error);
                    Rearm();
                  }}) {}

  // SidecarOutput:
  void Send(const NodeId& entry, const Message& message) override {
    mesh.Send(entry, message);
  }
  void CallUpstream(UpstreamCallId id,
                    const StageCall& call,
                    DurationUs time_left) override {
    upstream.Call(id, call, time_left);
  }
  void CancelUpstream(UpstreamCallId id) override { upstream.Cancel(id); }
  void CheckUpstream() override { FetchReport(); }
  void SendHeartbeatToEntries() override {
    for (const NodeId& it : entries) {
      mesh.SendDatagram(it, sidecar.MakeHeartbeat());
    }
  }
  void Export(const Span& span) override { traces.Add(span); }

  // FenceOutput:
  void ReadLease(std::uint64_t ticket) override;
  void ReadUpstreamFence() override;
  void ForwardOrder(const ControlOrder& order) override;
  void AnswerOrder(const NodeId& holder,
                   const ControlOrderResult& result) override {
    mesh.Send(holder, result);
  }

  // PeerHandler:
  void OnPeerMessage(const NodeId& from,
                     Incarnation from_incarnation,
                     const Message& message) override {
    if (const auto* order = std::get_if<ControlOrder>(&message)) {
      fence.OnOrder(Loop::Now(), from, *order);
      return;
    }
    sidecar.OnMessage(Loop::Now(), from, message);
    Rearm();
  }
  void OnPeerDatagram(const NodeId& from,
                      Incarnation from_incarnation,
                      const Message& message) override {
    if (!std::holds_alternative<Heartbeat>(message)) {
      return;
    }
    const auto& request = std::get<Heartbeat>(message);
    entries.insert(from);
    sidecar.OnHeartbeat(Loop::Now(), from, from_incarnation, request);
    Heartbeat heartbeat = sidecar.MakeHeartbeat();
    heartbeat.reply_to = request.sequence;
    heartbeat.fence = fence.in_force();
    mesh.SendDatagram(from, heartbeat);
  }
  void OnPeerLost(const NodeId& peer) override {
    sidecar.OnPeerLost(Loop::Now(), peer);
    Rearm();
  }
  void OnUnsent(const NodeId& peer, const Message& message) override {}

  // HttpHandler:
  void OnHttpRequest(std::uint64_t handle,
                     const HttpHead& head,
                     std::string_view body) override;
  void OnHttpDisconnected(std::uint64_t handle) override {}
  void OnHttpRelief(const ClientMemory::Relief& relief) override {
    ReportRelief(settings.node, relief, &metrics);
  }

  void FetchReport();
  void LogState();
  void Rearm();
  void QuitWhenDone();

  const NodeSettings settings;
  Loop* const loop;
  Random random;
  const Incarnation incarnation;
  Metrics metrics;
  TraceLog traces;
  Sidecar sidecar;
  FenceGuard fence;
  PeerMesh mesh;
  HttpServer server;
  HttpClient platform{kLeaseReadTimeout};
  UpstreamClient upstream;
  Wakeup wakeup{loop, [this] {
                  sidecar.OnTick(Loop::Now());
                  Rearm();
                }};
  std::set<NodeId> entries;  // Entries that have sent a heartbeat.
  bool draining = false;
  NodeState logged_state = NodeState::kDead;
};

void SidecarNode::Impl::OnHttpRequest(std::uint64_t handle,
                                      const HttpHead& head,
                                      std::string_view body) {
  if (const auto it =
          ServeQuarantine(head, body, Loop::Now(), &sidecar.quarantine())) {
    server.Reply(handle, *it);
    return;
  }
  const bool ready = sidecar.state() == NodeState::kReady;
  server.Reply(handle, ServeNodePage(head, ready, metrics, traces));
}

// Reads the pool's lease. If the settings name no platform or no pool, there is
// no lease, and orders are refused.
void SidecarNode::Impl::ReadLease(std::uint64_t ticket) {
  if (settings.platform_url.empty() || settings.upstream_pool.empty()) {
    loop->After(0, [this, ticket] {
      fence.OnLease(Loop::Now(), ticket, std::nullopt);
    });
    return;
  }
  HttpRequest request;
  request.method = "POST";
  request.url = StrCat(settings.platform_url, kTransactPath);
  request.body = EncodeTransaction(
      {{StoreOpKind::kRead, StrCat("lease/", settings.upstream_pool), "", 0}});
  platform.Call(request, [this, ticket](const HttpResult& result) {
    const auto answer = DecodeStoreAnswer(result.status, result.body);
    std::optional<FenceNumber> number;
    if (result.ended() && answer.status == StoreStatus::kOk &&
        !answer.rows.empty()) {
      number = FenceOfLeaseRow(answer.rows[0]);
    }
    fence.OnLease(Loop::Now(), ticket, number);
  });
}

void SidecarNode::Impl::ReadUpstreamFence() {
  upstream.ReadFence([this](bool known, bool keeps, FenceNumber number) {
    if (known) {
      fence.OnUpstreamFence(keeps, number);
      return;
    }
    loop->After(kFenceRetryDelay, [this] { ReadUpstreamFence(); });
  });
}

void SidecarNode::Impl::ForwardOrder(const ControlOrder& order) {
  LOG(INFO) << "event=order node=" << settings.node
            << " order_id=" << order.order_id << " kind=" << Name(order.kind)
            << " fence=" << order.fence;
  if (order.kind == OrderKind::kLeave) {
    sidecar.LeaveByOrder(Loop::Now());
    Rearm();
  }
  upstream.ForwardOrder(order, [this, id = order.order_id](OrderOutcome outcome,
                                                           FenceNumber number) {
    fence.OnOutcome(Loop::Now(), id, outcome, number);
  });
}

void SidecarNode::Impl::LogState() {
  if (sidecar.state() == logged_state) {
    return;
  }
  logged_state = sidecar.state();
  LOG(INFO) << "event=state node=" << settings.node
            << " state=" << Name(logged_state);
  // Sends heartbeats at once, so that entries learn of the new state before
  // their next request for one.
  SendHeartbeatToEntries();
}

void SidecarNode::Impl::FetchReport() {
  const TimeUs asked_at = Loop::Now();
  upstream.FetchReport([this, asked_at](const UpstreamReport& report) {
    if (report.reachable) {
      sidecar.SetState(NodeState::kReady);
    }
    sidecar.OnUpstreamReport(Loop::Now(), asked_at, report);
    Rearm();
  });
}

void SidecarNode::Impl::Rearm() {
  LogState();
  wakeup.At(sidecar.NextWakeup());
}

void SidecarNode::Impl::QuitWhenDone() {
  if (sidecar.InProgress() == 0 && mesh.Flushed()) {
    LOG(INFO) << "event=stopped node=" << settings.node;
    loop->Quit();
    return;
  }
  loop->After(kDrainPollPeriod, [this] { QuitWhenDone(); });
}

SidecarNode::SidecarNode(const NodeSettings& settings, Loop* loop)
    : impl_(std::make_unique<Impl>(settings, loop)) {}
SidecarNode::~SidecarNode() = default;

absl::Status SidecarNode::Start() {
  if (auto status = impl_->mesh.Listen(); !status.ok()) {
    return status;
  }
  if (!impl_->settings.http.ip.empty()) {
    if (auto status = impl_->server.Listen(impl_->settings.http);
        !status.ok()) {
      return status;
    }
  }
  PrintListening(impl_->settings.node, impl_->mesh.port(),
                 impl_->server.port());
  impl_->sidecar.SetState(NodeState::kStarting);
  impl_->LogState();
  impl_->fence.Start(Loop::Now());
  impl_->FetchReport();
  impl_->loop->Every(kReportPeriod, [this] { impl_->FetchReport(); });
  return absl::OkStatus();
}

void SidecarNode::Drain() {
  if (impl_->draining) {
    return;
  }
  impl_->draining = true;
  impl_->sidecar.Leave(Loop::Now());
  impl_->Rearm();
  impl_->loop->After(kLeavingGracePeriod, [this] { impl_->QuitWhenDone(); });
}

}  // namespace acaciachute
