// Gateways with real dispatchers, stage replicas and engines in virtual time,
// under a load of requests with stages. Judged by what clients get.
#ifndef ACACIACHUTE_TESTS_GATEWAY_STAGE_FLEET_H_
#define ACACIACHUTE_TESTS_GATEWAY_STAGE_FLEET_H_

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "address_text.h"
#include "coordination/admission/stage_admission.h"
#include "coordination/stages/shared_piece_dispatcher.h"
#include "tests/gateway/gateway_rig.h"

namespace acaciachute {

// A batching service of the fleet.
struct FleetService {
  std::string name;
  int replicas = 1;
  BatchLimits limits;
};

// Requests of one kind, spread evenly over the time from `from` to `to`.
struct FleetLoad {
  std::string route;
  double per_second = 0;
  DurationUs from = 0;
  DurationUs to = 0;
  std::vector<std::uint32_t> pieces;
};

struct FleetRequest {
  std::string route;
  DurationUs target = 0;
  TimeUs sent_at = 0;  // The first time.
  int sends = 0;
  std::optional<AdmissionResult> admitted;
  std::optional<TimeUs> first_event_at;
  bool refused = false;  // The last time.
  std::string outcome;   // As logged.

  bool InTime() const {
    return first_event_at && *first_event_at - sent_at <= target;
  }
};

struct StageFleet {
  static constexpr DurationUs kStep = 10 * kMillisecond;
  static constexpr DurationUs kHeartbeat = 150 * kMillisecond;
  static constexpr DurationUs kEngineTime = 100 * kMillisecond;
  static constexpr DurationUs kDeadline = 10 * kSecond;

  struct Node : GatewayRig, SharedPieceDispatcherOutput, PieceBatcherOutput {
    Node(StageFleet* fleet_in, const NodeId& name_in)
        : fleet(fleet_in),
          name(name_in),
          peers_of_node({name_in, "", 1}, &log) {}

    void SendToPeer(const NodeId& peer, const Message& message) override {
      fleet->in_flight.push_back({name, peer, message});
    }
    void OnOwnPiece(const PieceResult& result) override {
      core.OnPiece(result);
    }
    void StartCall(const PieceCall& call) override {
      fleet->StartCall(this, call);
    }
    void OnPiece(const PieceResult& result) override {
      dispatcher.OnLocalPiece(result);
    }
    bool ShortOfMemory(const std::vector<std::string>& handles) override {
      return dispatcher.ShortOfMemory(handles);
    }
    void OnInputsRead(const std::vector<std::string>& handles) override {
      dispatcher.ReleaseResults(handles);
    }
    void ReleaseAt(const Address&,
                   const std::vector<std::string>& handles) override {
      for (const auto& it : handles) {
        fleet->Release(it);
      }
    }
    // The gateway's pieces go to the real dispatcher.
    void Submit(TimeUs at, std::vector<PieceTask> list) override {
      dispatcher.Submit(at, std::move(list));
    }
    void CancelRequest(const std::string& request) override {
      dispatcher.CancelRequest(request);
    }
    void ReleaseResults(const std::vector<std::string>& handles) override {
      dispatcher.ReleaseResults(handles);
    }
    void Announce(TimeUs at, const std::vector<ComingPieces>& list) override {
      dispatcher.Announce(at, list);
    }
    QueueWait ExpectedWait(TimeUs at,
                           const std::string& service) const override {
      return dispatcher.ExpectedWait(at, service);
    }
    void Refuse(ExchangeId id, const LocalReply& answer) override {
      fleet->OnRefused(this, id, answer);
    }
    AnswerEnd BeginStream(ExchangeId id, const ReplicaHead& head) override {
      fleet->requests.at(id).first_event_at = now;
      return GatewayRig::BeginStream(id, head);
    }
    CallId Send(const AttemptRequest& attempt) override {
      const CallId call = GatewayRig::Send(attempt);
      fleet->At(now + kEngineTime, [this, call] {
        AnswerWith(call, Head(), "id: 1\ndata: x\n\n");
      });
      return call;
    }

    StageFleet* const fleet;
    const NodeId name;
    ServiceRetryBudget budget{"stages", &metrics, &log};
    GatewayPeers peers_of_node;
    LocalPieceDispatcher local{&directory, this,
                               [this](const std::string&) { return &budget; }};
    SharedPieceDispatcher dispatcher{
        name,
        &peers_of_node,
        &local,
        &directory,
        [this](const std::string&) { return &budget; },
        this,
        &log};
    bool alive = true;
  };
  struct InFlight {
    NodeId from;
    NodeId to;
    Message message;
  };
  struct StageReplica {
    std::string service;
    double slowness = 1;
    TimeUs free_at = 0;
    std::uint64_t held = 0;
  };
  struct Result {
    std::string address;
    std::uint64_t bytes = 0;
    TimeUs expires_at = 0;
  };

  StageFleet(int gateways,
             std::vector<FleetService> services_in,
             const std::vector<Route>& routes)
      : services(std::move(services_in)) {
    for (int n = 0; n < gateways; ++n) {
      const NodeId name = "g" + std::to_string(n);
      nodes[name] = std::make_unique<Node>(this, name);
      nodes[name]->last_call = static_cast<CallId>(n + 1) * 1000000;
      Start(nodes[name].get(), routes);
    }
    now = nodes.begin()->second->now;
    SendHeartbeats();
  }

  static Route RouteOf(const std::string& name,
                       std::uint32_t priority,
                       DurationUs target,
                       std::vector<StageSpec> stages) {
    Route route;
    route.name = name;
    route.host = "h.example";
    route.prefix = "/" + name + "/";
    route.kind = RouteKind::kStream;
    route.timeout = kDeadline;
    route.target = target;
    route.priority = priority;
    route.split = {{"engine", 1}};
    route.max_attempts = 2;
    route.stages = std::move(stages);
    return route;
  }

  void Start(Node* node, const std::vector<Route>& routes) {
    auto config = GatewayRig::Config(2);
    for (const Route& it : routes) {
      config->AddRoute(it);
    }
    int host = 0;
    for (const FleetService& it : services) {
      Service service;
      service.name = it.name;
      service.batching = it.limits;
      config->AddService(service);
      for (int n = 0; n < it.replicas; ++n) {
        ReplicaEntry entry;
        entry.id = it.name + "-" + std::to_string(n);
        entry.service = it.name;
        entry.address = {"10.1.0." + std::to_string(++host), 80};
        entry.domain = "a";
        entry.slots = 1;
        node->directory.Put(entry);
        replicas[Text(entry.address)].service = it.name;
      }
    }
    for (int n = 0; n < 20; ++n) {
      node->AddReplica("engine-" + std::to_string(n), "engine");
    }
    node->core.OnConfig(config);
    node->local.SetServices(*config);
    node->budget.SetLimits(node->now - 60 * kSecond, {0.2, 200, 10 * kSecond});
    node->budget.SetGatewayCount(node->now - 60 * kSecond, 1);
    node->log.on_event = [this](std::string_view event, LogFields fields) {
      OnEvent(event, fields);
    };
  }

  static std::string Text(const Address& address) {
    return address.ip + ":" + std::to_string(address.port);
  }

  void At(TimeUs at, std::function<void()> run) {
    due.emplace(std::pair(at, ++last_due), std::move(run));
  }

  // Runs the loads and the time after them in which clients wait.
  void Run(const std::vector<FleetLoad>& loads, DurationUs time) {
    const TimeUs start = now;
    for (const FleetLoad& load : loads) {
      const auto gap = static_cast<DurationUs>(static_cast<double>(kSecond) /
                                               load.per_second);
      for (DurationUs at = load.from; at < load.to; at += gap) {
        At(start + at, [this, load] { SendNew(load); });
      }
    }
    while (now < start + time) {
      Step();
    }
  }

  void Step() {
    now += kStep;
    for (auto& [name, node] : nodes) {
      node->now = now;
    }
    while (!due.empty() && due.begin()->first.first <= now) {
      const auto run = due.extract(due.begin());
      run.mapped()();
    }
    for (const InFlight& it : std::exchange(in_flight, {})) {
      Deliver(it);
    }
    std::erase_if(results, [&](const auto& it) {
      if (it.second.expires_at > now) {
        return false;
      }
      replicas.at(it.second.address).held -= it.second.bytes;
      return true;
    });
    for (auto& [name, node] : nodes) {
      if (!node->alive) {
        continue;
      }
      node->peers_of_node.OnTick(now);
      for (const NodeId& lost : node->peers_of_node.TakeLost(now)) {
        node->dispatcher.OnPeerLost(now, lost);
      }
      node->core.OnConfirmed(now);
      node->local.OnTick(now);
      node->dispatcher.OnTick(now);
      node->core.OnTick();
    }
    if (now >= next_heartbeat) {
      SendHeartbeats();
    }
  }

  void SendHeartbeats() {
    next_heartbeat = now + kHeartbeat;
    for (auto& [name, node] : nodes) {
      for (auto& [other, to] : nodes) {
        if (name == other || !node->alive || !to->alive) {
          continue;
        }
        to->peers_of_node.OnGatewayHeartbeat(now, name, 1, {});
        if (!loses_report || !loses_report(now)) {
          to->dispatcher.OnPeerQueueWaits(node->dispatcher.OwnQueueWaits(now));
        }
      }
    }
  }

  void Deliver(const InFlight& it) {
    Node* to = nodes.at(it.to).get();
    if (!to->alive || !nodes.at(it.from)->alive) {
      return;
    }
    if (const auto* tasks = std::get_if<PieceTasks>(&it.message)) {
      to->dispatcher.OnPeerTasks(now, it.from, *tasks);
    } else if (const auto* coming =
                   std::get_if<PieceAnnouncement>(&it.message)) {
      if (!loses_announcements) {
        to->dispatcher.OnPeerAnnouncement(now, *coming);
      }
    } else if (const auto* cancel = std::get_if<PieceCancel>(&it.message)) {
      to->dispatcher.OnPeerCancel(*cancel);
    } else if (const auto* release = std::get_if<PieceRelease>(&it.message)) {
      to->dispatcher.OnPeerRelease(*release);
    } else if (const auto* made = std::get_if<PieceResults>(&it.message)) {
      to->dispatcher.OnPeerResults(*made);
    }
  }

  void SendNew(const FleetLoad& load) {
    const ExchangeId id = ++last_request;
    FleetRequest& request = requests[id];
    request.route = load.route;
    request.sent_at = now;
    SendAgain(id, load.pieces);
  }

  void SendAgain(ExchangeId id, const std::vector<std::uint32_t>& pieces) {
    FleetRequest& request = requests.at(id);
    ClientRequest call;
    ++request.sends;
    call.id = "c" + std::to_string(id) + "x" + std::to_string(request.sends);
    call.method = "POST";
    call.host = "h.example";
    call.target = "/" + request.route + "/x";
    call.key = "k1";
    call.deadline = kDeadline - (now - request.sent_at);
    call.prompt_tokens = 100;
    call.piece_key = "source";
    call.pieces = pieces;
    pieces_of[id] = pieces;
    request.refused = false;
    Node* node = AnyNode();
    node->now = now;
    node->core.OnCall(id, call);
  }

  Node* AnyNode() {
    for (;;) {
      auto it = nodes.begin();
      std::advance(it, static_cast<long>(random.Below(nodes.size())));
      if (it->second->alive) {
        return it->second.get();
      }
    }
  }

  // Clients come back once or twice.
  void OnRefused(Node*, ExchangeId id, const LocalReply& answer) {
    FleetRequest& request = requests.at(id);
    request.refused = true;
    if (answer.verdict == Verdict::kNotRun && answer.retry_after > 0 &&
        request.sends < 3) {
      At(now + answer.retry_after,
         [this, id] { SendAgain(id, pieces_of[id]); });
    }
  }

  void OnEvent(std::string_view event, LogFields fields) {
    if (event != "request") {
      return;
    }
    std::string id;
    std::string admitted;
    std::string outcome;
    for (const LogField& it : fields) {
      if (const auto* text = std::get_if<std::string_view>(&it.value)) {
        if (it.name == "id") {
          id = *text;
        } else if (it.name == "admitted") {
          admitted = *text;
        } else if (it.name == "outcome") {
          outcome = *text;
        }
      }
    }
    FleetRequest& request = requests.at(std::stoull(id.substr(1)));
    request.outcome = outcome;
    for (std::size_t n = 0; n < kAdmissionResultNames.size(); ++n) {
      if (kAdmissionResultNames[n] == admitted) {
        request.admitted = static_cast<AdmissionResult>(n);
      }
    }
  }

  const BatchLimits& LimitsOf(const std::string& service) const {
    for (const FleetService& it : services) {
      if (it.name == service) {
        return it.limits;
      }
    }
    std::abort();
  }

  void StartCall(Node* node, const PieceCall& call) {
    const std::string address = Text(call.address);
    StageReplica& replica = replicas.at(address);
    const BatchLimits& limits = LimitsOf(replica.service);
    PieceCallEnd end;
    end.kind = PieceCallEnd::Kind::kAnswered;
    end.replica = call.replica;
    for (const PieceTask& task : call.pieces) {
      PieceResult made{task.key, PieceOutcome::kMade, ""};
      for (const auto& input : task.inputs) {
        if (!results.contains(input)) {
          made.outcome = PieceOutcome::kInputMissing;
        }
      }
      if (made.outcome == PieceOutcome::kMade &&
          replica.held + task.result_bytes > limits.result_memory_bytes) {
        made.outcome = PieceOutcome::kOutOfMemory;
      }
      if (made.outcome == PieceOutcome::kMade) {
        made.handle = address + "/" + std::to_string(++last_result);
        replica.held += task.result_bytes;
        results[made.handle] = {address, task.result_bytes,
                                now + limits.call + limits.result_lifetime};
      }
      end.results.push_back(made);
    }
    const auto takes = static_cast<DurationUs>(
        replica.slowness *
        static_cast<double>(limits.call +
                            limits.piece *
                                static_cast<DurationUs>(call.pieces.size())));
    work_time[replica.service] += takes;
    replica.free_at = std::max(now, replica.free_at) + takes;
    At(replica.free_at,
       [this, node, service = replica.service, id = call.id, end] {
         if (node->alive) {
           node->local.OnCallEnd(now, service, id, end);
           node->dispatcher.SendResults();
         }
       });
  }

  void Release(const std::string& handle) {
    const auto it = results.find(handle);
    if (it != results.end()) {
      replicas.at(it->second.address).held -= it->second.bytes;
      results.erase(it);
    }
  }

  // Requests of the route, or of all, for which `matches` holds.
  std::size_t Count(const std::string& route,
                    const std::function<bool(const FleetRequest&)>& matches) {
    std::size_t n = 0;
    for (const auto& [id, it] : requests) {
      n += (route.empty() || it.route == route) && matches(it) ? 1 : 0;
    }
    return n;
  }

  std::vector<FleetService> services;
  std::map<NodeId, std::unique_ptr<Node>> nodes;
  std::map<ExchangeId, FleetRequest> requests;
  std::map<ExchangeId, std::vector<std::uint32_t>> pieces_of;
  std::vector<InFlight> in_flight;
  std::map<std::string, StageReplica> replicas;  // By address.
  std::map<std::string, Result> results;         // By handle.
  std::map<std::string, DurationUs> work_time;   // By service.
  std::map<std::pair<TimeUs, int>, std::function<void()>> due;
  std::function<bool(TimeUs)> loses_report;
  bool loses_announcements = false;
  Random random{11};
  TimeUs now = 0;
  TimeUs next_heartbeat = 0;
  int last_due = 0;
  ExchangeId last_request = 0;
  int last_result = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_GATEWAY_STAGE_FLEET_H_
