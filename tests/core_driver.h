// Runs real `Entry` and `Sidecar` cores in virtual time without sockets, so
// that a failure is a short test: messages are late, duplicated, out of order
// or lost, processes are killed, restarted or paused, and the store loses
// answers. Runs are counted at the upstreams.
#ifndef ACACIACHUTE_TESTS_CORE_DRIVER_H_
#define ACACIACHUTE_TESTS_CORE_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/interface/entry.h"
#include "coordination/sidecar/sidecar.h"
#include "state/metrics.h"
#include "state/random.h"
#include "state/settings.h"
#include "state/store.h"

namespace acaciachute {

// A pool with its replicas; its nodes are named "<name>-1" and so on.
struct DriverPool {
  std::string name;
  StageKind kind = StageKind::kService;
  int replicas = 1;
};

struct DriverOptions {
  std::uint64_t seed = 1;
  int entries = 1;
  std::vector<DriverPool> pools = {{"orders"}};
  // One-way network delay between any two nodes, as at Brookvale.
  DurationUs one_way_delay = 1500;
  DurationUs store_round_trip = 3 * kMillisecond;
  DurationUs service = 5 * kMillisecond;
  // Delay of the write's effect for `kApplyLate`.
  DurationUs late_write_delay = 300 * kMillisecond;
  std::uint32_t sidecar_limit = 4;
  ClaimKeeperFactory make_claims;  // Null: the production claim keeper.
};

// One run of a call at an upstream.
struct UpstreamRun {
  NodeId node;
  StageKey key;
  std::string body;
  TimeUs at = 0;
};

// One answer to a caller.
struct DriverAnswer {
  CallerHandle handle = 0;
  int entry = 0;
  TimeUs at = 0;
  CallerAnswer answer;
};

// Fault of one message or store call. Each element of `delays` delivers a copy
// after that time; an empty list loses the message.
struct Fate {
  std::vector<DurationUs> delays;
};

// Fault of one store call. `kApplyLate` applies the write long after its sender
// received no answer; `kAnswerTwice` repeats the answer.
enum class StoreFault {
  kNone,
  kDown,
  kLoseBefore,
  kLoseAfter,
  kApplyLate,
  kAnswerTwice
};

class CoreDriver {
 public:
  explicit CoreDriver(DriverOptions options);
  ~CoreDriver();
  CoreDriver(const CoreDriver&) = delete;
  CoreDriver& operator=(const CoreDriver&) = delete;

  TimeUs now() const { return now_; }
  void Run(DurationUs duration);
  void At(TimeUs at, std::function<void()> task);

  Entry& entry(int n) { return *entries_[n].core; }
  Sidecar& sidecar(const NodeId& node) { return *sidecars_.at(node).core; }
  Metrics& entry_metrics(int n) { return *entries_[n].metrics; }
  Metrics& sidecar_metrics(const NodeId& node) {
    return *sidecars_.at(node).metrics;
  }

  // Closes the caller's connection to entry `n`.
  void HangUp(int n, CallerHandle handle);
  // Sends a request to entry `n` and returns its handle.
  CallerHandle Ask(int n, CallerRequest request);
  // Makes a request of event "round" by account "office".
  static CallerRequest MakeRequest(const std::string& body);
  // Makes a non-idempotent request with an idempotency key.
  static CallerRequest MakeOnce(const std::string& key,
                                const std::string& body);

  // A killed process loses its state and all messages to it, and callers of a
  // killed entry receive no answer. A paused process handles all input when it
  // resumes.
  void KillEntry(int n);
  void StartEntry(int n);
  void PauseEntry(int n, bool paused);
  void KillSidecar(const NodeId& node);
  void StartSidecar(const NodeId& node);
  void PauseSidecar(const NodeId& node, bool paused);
  // The upstream crashes with its runs in progress and is back at once.
  void CrashUpstream(const NodeId& node);

  void SetSettings(SettingsPtr settings);
  const SettingsPtr& settings() const { return settings_; }

  const std::vector<DriverAnswer>& answers() const { return answers_; }
  std::vector<DriverAnswer> AnswersTo(CallerHandle handle) const;
  const std::vector<UpstreamRun>& runs() const { return runs_; }
  // Number of runs whose body contains `body`.
  int RunsOf(const std::string& body) const;
  int UpstreamCrashes() const;
  std::map<std::string, StoreRow>& rows() { return rows_; }
  std::string StreamOf(CallerHandle handle) const;

  // Hooks for faults and upstream behaviour; each may be replaced at any time.
  std::function<Fate(const NodeId& from, const NodeId& to, const Message&)>
      network;
  std::function<StoreFault(const std::vector<StoreOp>&)> store_fault;
  std::function<DurationUs(const NodeId& node, const StageCall&)> service_time;
  // Returns the answer of the upstream; by default {"by":node,"input":body}.
  std::function<std::string(const NodeId& node, const StageCall&)> upstream;
  // Whether a run crashes its upstream, a millisecond after it started.
  std::function<bool(const NodeId& node, const StageCall&)> crashes;
  // Number of parts of a streamed answer.
  int stream_parts = 3;

 private:
  struct EntryProcess;
  struct SidecarProcess;
  struct EntryProcess {
    std::unique_ptr<EntryOutput> output;
    std::unique_ptr<Random> random;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<Entry> core;
    Incarnation incarnation = 0;
    std::uint64_t start_count = 0;  // Incremented with each start.
    bool alive = false;
    bool paused = false;
    std::vector<std::function<void()>> deferred;
  };
  struct SidecarProcess {
    std::unique_ptr<SidecarOutput> output;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<Sidecar> core;
    Incarnation incarnation = 0;
    std::uint64_t start_count = 0;
    bool alive = false;
    bool paused = false;
    std::vector<std::function<void()>> deferred;
    std::map<UpstreamCallId, StageCall> running;
  };
  struct EntryPort;
  struct SidecarPort;

  NodeId EntryName(int n) const;
  int EntryIndex(const NodeId& node) const;
  template <typename Process>
  void Deliver(Process* process, std::function<void()> task);
  template <typename Process>
  void RunAfter(Process* process, DurationUs delay, std::function<void()> task);
  Fate FateOf(const NodeId& from, const NodeId& to, const Message& message);
  void EntryToSidecar(int n, const NodeId& to, const Message& message);
  void SidecarToEntry(const NodeId& from, const NodeId& to, const Message& m);
  void CallStore(int n, StoreTicket ticket, std::vector<StoreOp> ops);
  StoreAnswer ApplyStore(const std::vector<StoreOp>& ops);
  void RunUpstream(const NodeId& node,
                   UpstreamCallId id,
                   const StageCall& call);
  void EntryHeartbeat(int n, const NodeId& to);
  void SidecarHeartbeat(const NodeId& node);
  void AnswerReport(const NodeId& node);
  void SendHeartbeats();
  void RunTicks();

  const DriverOptions options_;
  TimeUs now_ = kSecond;
  std::uint64_t next_task_ = 0;
  std::map<std::pair<TimeUs, std::uint64_t>, std::function<void()>> tasks_;
  Random random_;
  SettingsPtr settings_;
  std::vector<EntryProcess> entries_;
  std::map<NodeId, SidecarProcess> sidecars_;
  std::map<std::string, StoreRow> rows_;
  std::map<NodeId, int> upstream_crashes_;
  std::vector<DriverAnswer> answers_;
  std::map<CallerHandle, std::string> streams_;
  std::vector<UpstreamRun> runs_;
  CallerHandle next_handle_ = 1;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_CORE_DRIVER_H_
