#include "tests/core_driver.h"

#include <algorithm>
#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

constexpr DurationUs kHeartbeatPeriod = 200 * kMillisecond;
// Maximum delay of a tick, as in an event loop with millisecond timers.
constexpr DurationUs kTickPeriod = kMillisecond;

SettingsPtr MakeSettings(const DriverOptions& options) {
  std::string pools;
  std::string stages;
  for (const auto& pool : options.pools) {
    std::string replicas;
    for (int n = 1; n <= pool.replicas; ++n) {
      replicas += StrCat(n == 1 ? "" : ",", R"({"node":")", pool.name, "-", n,
                         R"(","ip":"127.0.0.1","port":)", 7000 + n,
                         R"(,"failure_domain":"domain-)", n % 3, R"("})");
    }
    const char* comma = pools.empty() ? "" : ",";
    pools += StrCat(comma, "\"", pool.name, R"(":{"kind":")", Name(pool.kind),
                    R"(","replicas":[)", replicas, "]}");
    stages += StrCat(comma, R"({"pool":")", pool.name, "\"}");
  }
  const std::string json =
      StrCat(R"({"owner":"platform","pools":{)", pools,
             R"(},"accounts":{"office":{}},"events":{"round":{"stages":[)",
             stages, R"(],"accounts":["office","depot"]}}})");
  return Settings().With(*ParseBranch("platform", 1, json));
}

}  // namespace

struct CoreDriver::EntryPort : EntryOutput {
  EntryPort(CoreDriver* owner, int index) : driver(owner), n(index) {}
  void Send(const NodeId& sidecar, const Message& message) override {
    driver->EntryToSidecar(n, sidecar, message);
  }
  void Answer(CallerHandle handle, const CallerAnswer& answer) override {
    driver->answers_.push_back({handle, n, driver->now_, answer});
  }
  void Stream(CallerHandle handle, std::string_view part) override {
    driver->streams_[handle] += part;
  }
  void CallStore(StoreTicket ticket, std::vector<StoreOp> ops) override {
    driver->CallStore(n, ticket, std::move(ops));
  }
  void Export(const Span& span) override {}

  CoreDriver* const driver;
  const int n;
};

struct CoreDriver::SidecarPort : SidecarOutput {
  SidecarPort(CoreDriver* owner, NodeId name)
      : driver(owner), node(std::move(name)) {}
  void Send(const NodeId& entry, const Message& message) override {
    driver->SidecarToEntry(node, entry, message);
  }
  void CallUpstream(UpstreamCallId id,
                    const StageCall& call,
                    DurationUs time_left) override {
    driver->RunUpstream(node, id, call);
  }
  void CancelUpstream(UpstreamCallId id) override {
    driver->sidecars_.at(node).running.erase(id);
  }
  void CheckUpstream() override { driver->AnswerReport(node); }
  void SendHeartbeatToEntries() override { driver->SidecarHeartbeat(node); }
  void Export(const Span& span) override {}

  CoreDriver* const driver;
  const NodeId node;
};

CoreDriver::CoreDriver(DriverOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      settings_(MakeSettings(options_)),
      entries_(options_.entries) {
  for (const auto& pool : options_.pools) {
    for (int n = 1; n <= pool.replicas; ++n) {
      StartSidecar(StrCat(pool.name, "-", n));
    }
  }
  for (int n = 0; n < options_.entries; ++n) {
    StartEntry(n);
  }
  SendHeartbeats();
  RunTicks();
  Run(3 * options_.one_way_delay);
}

CoreDriver::~CoreDriver() = default;

NodeId CoreDriver::EntryName(int n) const {
  return StrCat("entry-", n);
}

int CoreDriver::EntryIndex(const NodeId& node) const {
  return std::stoi(node.substr(sizeof("entry-") - 1));
}

void CoreDriver::At(TimeUs at, std::function<void()> task) {
  tasks_[{std::max(at, now_), next_task_++}] = std::move(task);
}

void CoreDriver::Run(DurationUs duration) {
  const TimeUs end = now_ + duration;
  while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
    const auto it = tasks_.begin();
    now_ = it->first.first;
    const auto task = std::move(it->second);
    tasks_.erase(it);
    task();
  }
  now_ = end;
}

template <typename Process>
void CoreDriver::Deliver(Process* process, std::function<void()> task) {
  if (process->paused) {
    process->deferred.push_back(std::move(task));
  } else {
    task();
  }
}

// Runs `task` in `process` after `delay`, unless the process stopped or was
// replaced.
template <typename Process>
void CoreDriver::RunAfter(Process* process,
                          DurationUs delay,
                          std::function<void()> task) {
  const std::uint64_t start_count = process->start_count;
  At(now_ + delay, [this, process, start_count, task = std::move(task)] {
    if (process->alive && process->start_count == start_count) {
      Deliver(process, task);
    }
  });
}

Fate CoreDriver::FateOf(const NodeId& from,
                        const NodeId& to,
                        const Message& message) {
  return network ? network(from, to, message) : Fate{{options_.one_way_delay}};
}

void CoreDriver::EntryToSidecar(int n,
                                const NodeId& to,
                                const Message& message) {
  const NodeId from = EntryName(n);
  for (const DurationUs delay : FateOf(from, to, message).delays) {
    // Looked up by name, because a late message may arrive at a successor.
    At(now_ + delay, [this, from, to, message] {
      SidecarProcess& process = sidecars_.at(to);
      if (process.alive) {
        Deliver(&process, [this, &process, from, message] {
          process.core->OnMessage(now_, from, message);
        });
      }
    });
  }
}

void CoreDriver::SidecarToEntry(const NodeId& from,
                                const NodeId& to,
                                const Message& message) {
  EntryProcess* process = &entries_[EntryIndex(to)];
  for (const DurationUs delay : FateOf(from, to, message).delays) {
    At(now_ + delay, [this, process, from, message] {
      if (process->alive) {
        Deliver(process, [this, process, from, message] {
          process->core->OnMessage(now_, from, message);
        });
      }
    });
  }
}

StoreAnswer CoreDriver::ApplyStore(const std::vector<StoreOp>& ops) {
  StoreAnswer answer;
  for (const auto& op : ops) {
    const StoreRow& row = rows_[op.key];
    const bool holds = op.kind == StoreOpKind::kInsert ? row.version == 0
                       : op.kind == StoreOpKind::kUpdate
                           ? row.version != 0 && row.version == op.version
                           : true;
    if (!holds) {
      answer.rows.push_back(row);
    }
  }
  if (!answer.rows.empty()) {
    answer.status = StoreStatus::kConflict;
    return answer;
  }
  answer.status = StoreStatus::kOk;
  for (const auto& op : ops) {
    if (op.kind == StoreOpKind::kScan) {
      for (const auto& [key, row] : rows_) {
        if (key.starts_with(op.key) && row.version != 0) {
          answer.rows.push_back(row);
        }
      }
      continue;
    }
    StoreRow& row = rows_[op.key];
    row.key = op.key;
    if (op.kind != StoreOpKind::kRead) {
      row.value = op.value;
      ++row.version;
    }
    answer.rows.push_back(row);
  }
  return answer;
}

void CoreDriver::CallStore(int n,
                           StoreTicket ticket,
                           std::vector<StoreOp> ops) {
  EntryProcess* process = &entries_[n];
  const StoreFault fault = store_fault ? store_fault(ops) : StoreFault::kNone;
  const auto answer = [this, process, ticket](DurationUs delay,
                                              StoreAnswer it) {
    RunAfter(process, delay, [this, process, ticket, it = std::move(it)] {
      process->core->OnStoreAnswer(now_, ticket, it);
    });
  };
  const DurationUs half_round_trip = options_.store_round_trip / 2;
  if (fault == StoreFault::kDown) {
    answer(half_round_trip, {StoreStatus::kUnavailable, {}});
    return;
  }
  if (fault == StoreFault::kApplyLate) {
    answer(2 * half_round_trip, {StoreStatus::kUnknown, {}});
    At(now_ + options_.late_write_delay,
       [this, ops = std::move(ops)] { ApplyStore(ops); });
    return;
  }
  // The write takes effect even if its sender stops in the meantime.
  At(now_ + half_round_trip, [this, fault, answer, half_round_trip,
                              ops = std::move(ops)] {
    StoreAnswer it;
    if (fault != StoreFault::kLoseBefore) {
      it = ApplyStore(ops);
    }
    if (fault == StoreFault::kLoseBefore || fault == StoreFault::kLoseAfter) {
      it = {StoreStatus::kUnknown, {}};
    }
    answer(half_round_trip, it);
    if (fault == StoreFault::kAnswerTwice) {
      answer(2 * half_round_trip, it);
    }
  });
}

void CoreDriver::RunUpstream(const NodeId& node,
                             UpstreamCallId id,
                             const StageCall& call) {
  SidecarProcess* process = &sidecars_.at(node);
  runs_.push_back({node, call.key, call.body, now_});
  process->running[id] = call;
  if (crashes && crashes(node, call)) {
    RunAfter(process, kMillisecond, [this, process, node, id] {
      if (process->running.contains(id)) {
        CrashUpstream(node);
      }
    });
  }
  const DurationUs service =
      service_time ? service_time(node, call) : options_.service;
  const std::string body =
      upstream ? upstream(node, call)
               : StrCat(R"({"by":")", node, R"(","input":)", call.body, "}");
  const int parts = call.stream ? stream_parts : 0;
  for (int n = 0; n < parts; ++n) {
    RunAfter(process, service * (n + 1) / (parts + 1), [this, process, id, n] {
      if (process->running.contains(id)) {
        process->core->OnUpstreamChunk(now_, id, StrCat("part", n, ";"), false);
      }
    });
  }
  RunAfter(process, service, [this, process, id, body, parts] {
    if (process->running.erase(id) > 0) {
      process->core->OnUpstreamChunk(now_, id, parts > 0 ? "" : body, true);
    }
  });
}

void CoreDriver::EntryHeartbeat(int n, const NodeId& to) {
  if (!entries_[n].alive || entries_[n].paused) {
    return;
  }
  Heartbeat heartbeat;
  heartbeat.state = NodeState::kReady;
  heartbeat.sent_at = now_;
  heartbeat.quarantined = entries_[n].core->quarantine().RecordsToSend(now_);
  const NodeId from = EntryName(n);
  SidecarProcess* process = &sidecars_.at(to);
  for (const DurationUs delay : FateOf(from, to, heartbeat).delays) {
    RunAfter(process, delay,
             [this, process, from, incarnation = entries_[n].incarnation,
              heartbeat] {
               process->core->OnHeartbeat(now_, from, incarnation, heartbeat);
             });
  }
}

void CoreDriver::SidecarHeartbeat(const NodeId& node) {
  SidecarProcess& sidecar = sidecars_.at(node);
  if (!sidecar.alive || sidecar.paused) {
    return;
  }
  const Heartbeat heartbeat = sidecar.core->MakeHeartbeat();
  const Incarnation incarnation = sidecar.incarnation;
  for (std::size_t n = 0; n < entries_.size(); ++n) {
    if (!entries_[n].alive) {
      continue;
    }
    EntryProcess* process = &entries_[n];
    for (const DurationUs delay :
         FateOf(node, EntryName(static_cast<int>(n)), heartbeat).delays) {
      RunAfter(process, delay, [this, process, node, incarnation, heartbeat] {
        process->core->OnHeartbeat(now_, node, incarnation, heartbeat);
      });
    }
  }
}

// Reports a reachable upstream: after a crash it is back at once, as another
// instance.
void CoreDriver::AnswerReport(const NodeId& node) {
  SidecarProcess* process = &sidecars_.at(node);
  UpstreamReport report;
  report.reachable = true;
  report.instance = StrCat("instance-", upstream_crashes_[node]);
  RunAfter(process, 0, [this, process, requested_at = now_, report] {
    process->core->OnUpstreamReport(now_, requested_at, report);
  });
}

void CoreDriver::SendHeartbeats() {
  for (auto& [node, unused] : sidecars_) {
    for (std::size_t n = 0; n < entries_.size(); ++n) {
      EntryHeartbeat(static_cast<int>(n), node);
    }
    SidecarHeartbeat(node);
    AnswerReport(node);
  }
  At(now_ + kHeartbeatPeriod, [this] { SendHeartbeats(); });
}

void CoreDriver::RunTicks() {
  for (auto& it : entries_) {
    if (it.alive && !it.paused && it.core->NextWakeup() <= now_) {
      it.core->OnTick(now_);
    }
  }
  for (auto& [unused, it] : sidecars_) {
    if (it.alive && !it.paused && it.core->NextWakeup() <= now_) {
      it.core->OnTick(now_);
    }
  }
  At(now_ + kTickPeriod, [this] { RunTicks(); });
}

CallerHandle CoreDriver::Ask(int n, CallerRequest request) {
  request.handle = next_handle_++;
  const CallerHandle handle = request.handle;
  EntryProcess* process = &entries_[n];
  if (process->alive) {
    Deliver(process, [this, process, request = std::move(request)] {
      process->core->OnRequest(now_, request);
    });
  }
  return handle;
}

void CoreDriver::HangUp(int n, CallerHandle handle) {
  EntryProcess* process = &entries_[n];
  if (process->alive) {
    Deliver(process, [this, process, handle] {
      process->core->OnCallerGone(now_, handle);
    });
  }
}

CallerRequest CoreDriver::MakeRequest(const std::string& body) {
  CallerRequest request;
  request.event = "round";
  request.account = "office";
  request.body = body;
  return request;
}

CallerRequest CoreDriver::MakeOnce(const std::string& key,
                                   const std::string& body) {
  CallerRequest request = MakeRequest(body);
  request.key = key;
  request.idempotent = false;
  return request;
}

void CoreDriver::KillEntry(int n) {
  entries_[n].alive = false;
  entries_[n].deferred.clear();
  for (auto& [unused, sidecar] : sidecars_) {
    if (sidecar.alive) {
      RunAfter(&sidecar, options_.one_way_delay, [this, n, it = &sidecar] {
        it->core->OnPeerLost(now_, EntryName(n));
      });
    }
  }
}

void CoreDriver::StartEntry(int n) {
  EntryProcess& it = entries_[n];
  ++it.start_count;
  it.alive = true;
  it.paused = false;
  it.deferred.clear();
  it.output = std::make_unique<EntryPort>(this, n);
  it.random = std::make_unique<Random>(random_.Next());
  it.metrics = std::make_unique<Metrics>();
  EntryOptions options;
  options.node = EntryName(n);
  options.incarnation = random_.Next() | 1;
  it.incarnation = options.incarnation;
  it.core = std::make_unique<Entry>(options, it.output.get(), it.random.get(),
                                    it.metrics.get(), options_.make_claims);
  it.core->OnSettings(now_, settings_);
}

void CoreDriver::PauseEntry(int n, bool paused) {
  EntryProcess& it = entries_[n];
  it.paused = paused;
  if (!paused) {
    for (const auto& task : std::exchange(it.deferred, {})) {
      task();
    }
  }
}

void CoreDriver::KillSidecar(const NodeId& node) {
  SidecarProcess& it = sidecars_.at(node);
  it.alive = false;
  it.deferred.clear();
  it.running.clear();
  for (auto& entry : entries_) {
    if (entry.alive) {
      RunAfter(&entry, options_.one_way_delay, [this, node, process = &entry] {
        process->core->OnPeerLost(now_, node);
      });
    }
  }
}

void CoreDriver::StartSidecar(const NodeId& node) {
  SidecarProcess& it = sidecars_[node];
  ++it.start_count;
  it.alive = true;
  it.paused = false;
  it.deferred.clear();
  it.incarnation = random_.Next() | 1;
  it.output = std::make_unique<SidecarPort>(this, node);
  it.metrics = std::make_unique<Metrics>();
  SidecarOptions options;
  options.node = node;
  options.incarnation = it.incarnation;
  options.limit = options_.sidecar_limit;
  it.core =
      std::make_unique<Sidecar>(options, it.output.get(), it.metrics.get());
}

void CoreDriver::PauseSidecar(const NodeId& node, bool paused) {
  SidecarProcess& it = sidecars_.at(node);
  it.paused = paused;
  if (!paused) {
    for (const auto& task : std::exchange(it.deferred, {})) {
      task();
    }
  }
}

void CoreDriver::CrashUpstream(const NodeId& node) {
  SidecarProcess* process = &sidecars_.at(node);
  ++upstream_crashes_[node];
  const auto running = std::exchange(process->running, {});
  for (const auto& [id, unused] : running) {
    process->core->OnUpstreamError(now_, id, UpstreamError::kBroken);
  }
}

void CoreDriver::SetSettings(SettingsPtr settings) {
  settings_ = std::move(settings);
  for (auto& it : entries_) {
    if (it.alive) {
      it.core->OnSettings(now_, settings_);
    }
  }
}

std::vector<DriverAnswer> CoreDriver::AnswersTo(CallerHandle handle) const {
  std::vector<DriverAnswer> matching;
  for (const auto& it : answers_) {
    if (it.handle == handle) {
      matching.push_back(it);
    }
  }
  return matching;
}

int CoreDriver::RunsOf(const std::string& body) const {
  return static_cast<int>(std::count_if(
      runs_.begin(), runs_.end(),
      [&](const UpstreamRun& it) { return Contains(it.body, body); }));
}

int CoreDriver::UpstreamCrashes() const {
  int crashed = 0;
  for (const auto& [unused, n] : upstream_crashes_) {
    crashed += n;
  }
  return crashed;
}

std::string CoreDriver::StreamOf(CallerHandle handle) const {
  const auto it = streams_.find(handle);
  return it == streams_.end() ? "" : it->second;
}

}  // namespace acaciachute
