// Naive reference system for comparison: round robin, blind retries after a
// timeout, no claims, and results matched by a counter that restarts with each
// process. It runs the same schedules as `CoreDriver`.
#ifndef ACACIACHUTE_TESTS_NAIVE_SYSTEM_H_
#define ACACIACHUTE_TESTS_NAIVE_SYSTEM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/core_driver.h"

namespace acaciachute {

class NaiveSystem {
 public:
  explicit NaiveSystem(DriverOptions options);

  TimeUs now() const { return now_; }
  void Run(DurationUs duration);
  void At(TimeUs at, std::function<void()> task);
  CallerHandle Ask(int n, CallerRequest request);
  void KillEntry(int n);
  void StartEntry(int n);
  void PauseEntry(int n, bool paused);
  void KillSidecar(const NodeId& node);
  void StartSidecar(const NodeId& node);
  void PauseSidecar(const NodeId& node, bool paused);
  void CrashUpstream(const NodeId& node);
  const std::vector<DriverAnswer>& answers() const { return answers_; }
  const std::vector<UpstreamRun>& runs() const { return runs_; }

  std::function<Fate(const NodeId& from, const NodeId& to, const Message&)>
      network;
  std::function<StoreFault(const std::vector<StoreOp>&)>
      store_fault;  // Unused; required by the schedules.
  std::function<std::string(const NodeId& node, const StageCall&)> upstream;
  int stream_parts = 3;

 private:
  // An entry or sidecar process.
  struct Process {
    int start_count = 1;
    bool alive = true;
    bool paused = false;
    std::vector<std::function<void()>> deferred;
  };
  struct Request {
    CallerRequest call;
    std::size_t stage = 0;
    int attempts = 0;
    std::string input;
    std::string received;
  };
  struct EntryProcess : Process {
    std::uint64_t next_id = 1;
    std::map<std::uint64_t, Request> requests;
  };

  void Deliver(Process* process, std::function<void()> task);
  void RunAfter(Process* process,
                DurationUs delay,
                const std::function<void()>& task);
  void Pause(Process* process, bool paused);
  void StartAttempt(int n, std::uint64_t id);
  void OnCall(const NodeId& node, int n, const StageCall& call);
  void OnChunk(int n, const StageChunk& chunk);

  const DriverOptions options_;
  TimeUs now_ = kSecond;
  std::uint64_t next_task_ = 0;
  std::map<std::pair<TimeUs, std::uint64_t>, std::function<void()>> tasks_;
  std::vector<EntryProcess> entries_;
  std::map<NodeId, Process> sidecars_;
  std::uint64_t next_replica_ = 0;
  CallerHandle next_handle_ = 1;
  std::vector<DriverAnswer> answers_;
  std::vector<UpstreamRun> runs_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_NAIVE_SYSTEM_H_
