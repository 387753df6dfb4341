#include "tests/naive_system.h"

#include <algorithm>
#include <variant>

#include "text.h"

namespace acaciachute {
namespace {

// Retry timeout and number of attempts of the naive version; an unloaded
// replica answers well within the timeout.
constexpr DurationUs kAttemptTimeout = 60 * kMillisecond;
constexpr int kMaxAttempts = 3;

}  // namespace

NaiveSystem::NaiveSystem(DriverOptions options)
    : options_(std::move(options)), entries_(options_.entries) {
  for (const auto& pool : options_.pools) {
    for (int n = 1; n <= pool.replicas; ++n) {
      sidecars_[StrCat(pool.name, "-", n)];
    }
  }
}

void NaiveSystem::At(TimeUs at, std::function<void()> task) {
  tasks_[{std::max(at, now_), next_task_++}] = std::move(task);
}

void NaiveSystem::Run(DurationUs duration) {
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

void NaiveSystem::Deliver(Process* process, std::function<void()> task) {
  if (!process->alive) {
    return;
  }
  if (process->paused) {
    process->deferred.push_back(std::move(task));
  } else {
    task();
  }
}

void NaiveSystem::RunAfter(Process* process,
                           DurationUs delay,
                           const std::function<void()>& task) {
  At(now_ + delay, [this, process, start_count = process->start_count, task] {
    if (process->start_count == start_count) {
      Deliver(process, task);
    }
  });
}

CallerHandle NaiveSystem::Ask(int n, CallerRequest request) {
  request.handle = next_handle_++;
  Deliver(&entries_[n], [this, n, request] {
    EntryProcess& entry = entries_[n];
    const std::uint64_t id = entry.next_id++;
    entry.requests[id] = {request, 0, 0, request.body, ""};
    StartAttempt(n, id);
  });
  return next_handle_ - 1;
}

void NaiveSystem::StartAttempt(int n, std::uint64_t id) {
  EntryProcess& entry = entries_[n];
  Request& request = entry.requests[id];
  const DriverPool& pool = options_.pools[request.stage];
  StageCall call;
  call.key = {{0, id}, static_cast<std::uint32_t>(request.stage), 0};
  call.body = request.input;
  call.stream =
      request.call.stream && request.stage + 1 == options_.pools.size();
  const NodeId node =
      StrCat(pool.name, "-", 1 + next_replica_++ % pool.replicas);
  const NodeId self = StrCat("entry-", n);
  const int attempts = ++request.attempts;
  for (const DurationUs delay : network(self, node, call).delays) {
    At(now_ + delay, [this, node, n, call] {
      Deliver(&sidecars_[node],
              [this, node, n, call] { OnCall(node, n, call); });
    });
  }
  RunAfter(
      &entry, kAttemptTimeout, [this, n, id, attempts, stage = request.stage] {
        const auto it = entries_[n].requests.find(id);
        if (it != entries_[n].requests.end() && it->second.stage == stage &&
            it->second.attempts == attempts && attempts < kMaxAttempts) {
          StartAttempt(n, id);
        }
      });
}

void NaiveSystem::OnCall(const NodeId& node, int n, const StageCall& call) {
  runs_.push_back({node, call.key, call.body, now_});
  const int parts = call.stream ? stream_parts : 0;
  for (int part = 0; part <= parts; ++part) {
    StageChunk chunk;
    chunk.key = call.key;
    chunk.last = part == parts;
    chunk.body = parts == 0     ? upstream(node, call)
                 : part < parts ? StrCat("part", part, ";")
                                : "";
    RunAfter(&sidecars_[node], options_.service * (part + 1) / (parts + 1),
             [this, node, n, chunk] {
               for (const DurationUs delay :
                    network(node, StrCat("entry-", n), chunk).delays) {
                 At(now_ + delay, [this, n, chunk] {
                   Deliver(&entries_[n],
                           [this, n, chunk] { OnChunk(n, chunk); });
                 });
               }
             });
  }
}

void NaiveSystem::OnChunk(int n, const StageChunk& chunk) {
  const auto it = entries_[n].requests.find(chunk.key.request.sequence);
  if (it == entries_[n].requests.end()) {
    return;
  }
  Request& request = it->second;
  request.received += chunk.body;
  if (!chunk.last) {
    return;
  }
  if (++request.stage < options_.pools.size()) {
    request.input = std::exchange(request.received, "");
    request.attempts = 0;
    StartAttempt(n, it->first);
    return;
  }
  CallerAnswer answer;
  answer.verdict = Verdict::kAnswered;
  answer.body = request.received;
  answers_.push_back({request.call.handle, n, now_, answer});
  entries_[n].requests.erase(it);
}

void NaiveSystem::KillEntry(int n) {
  entries_[n].alive = false;
  entries_[n].deferred.clear();
}

void NaiveSystem::StartEntry(int n) {
  const int start_count = entries_[n].start_count;
  entries_[n] = {};
  entries_[n].start_count = start_count + 1;
}

void NaiveSystem::KillSidecar(const NodeId& node) {
  sidecars_[node].alive = false;
  sidecars_[node].deferred.clear();
}

void NaiveSystem::StartSidecar(const NodeId& node) {
  const int start_count = sidecars_[node].start_count;
  sidecars_[node] = {};
  sidecars_[node].start_count = start_count + 1;
}

void NaiveSystem::Pause(Process* process, bool paused) {
  process->paused = paused;
  if (!paused) {
    for (const auto& task : std::exchange(process->deferred, {})) {
      task();
    }
  }
}

void NaiveSystem::PauseEntry(int n, bool paused) {
  Pause(&entries_[n], paused);
}

void NaiveSystem::PauseSidecar(const NodeId& node, bool paused) {
  Pause(&sidecars_[node], paused);
}

// Drops the runs in progress without notice to their callers.
void NaiveSystem::CrashUpstream(const NodeId& node) {
  ++sidecars_[node].start_count;
}

}  // namespace acaciachute
