// The sidecar's decision logic without I/O: the last check before an upstream.
//
// It queues calls, limits concurrency, drops duplicates, checks the deadline
// again before it sends a call to the upstream, refuses new work as soon as the
// upstream leaves, and reports for each attempt whether it may have run.
#ifndef ACACIACHUTE_SRC_COORDINATION_SIDECAR_SIDECAR_H_
#define ACACIACHUTE_SRC_COORDINATION_SIDECAR_SIDECAR_H_

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/interface/quarantine.h"
#include "messages.h"
#include "state/metrics.h"
#include "state/span.h"
#include "types.h"

namespace acaciachute {

// Identifies a call sent to the upstream; never reused within a process.
using UpstreamCallId = std::uint64_t;

// Why a call to the upstream ended without an answer.
enum class UpstreamError {
  kNotSent,   // The connection was refused; no data reached the upstream.
  kRejected,  // The upstream answered that it would not run the call.
  kBroken,    // The connection was lost while the call was in progress.
  // The answer was truncated, was not JSON or belonged to another request.
  kMalformed
};

// Status report of an upstream, from a poll of it.
struct UpstreamReport {
  bool reachable = false;
  bool leaving = false;
  LoadReport load;
  // Identifies the upstream's process: consecutive processes have different
  // values. Empty if the upstream does not report it; then only a missing
  // answer indicates a crash.
  std::string instance;
};

class SidecarOutput {
 public:
  virtual ~SidecarOutput() = default;
  virtual void Send(const NodeId& entry, const Message& message) = 0;
  virtual void CallUpstream(UpstreamCallId id,
                            const StageCall& call,
                            DurationUs time_left) = 0;
  virtual void CancelUpstream(UpstreamCallId id) = 0;
  // Requests a status report at once. A missing report counts as unreachable.
  virtual void CheckUpstream() {}
  // Sends a heartbeat to every entry at once.
  virtual void SendHeartbeatToEntries() {}
  virtual void Export(const Span& span) = 0;
};

struct SidecarOptions {
  NodeId node;
  Incarnation incarnation = 0;
  // Initial limit of calls in progress at the upstream.
  std::uint32_t limit = 4;
  std::size_t max_queued = 256;  // Maximum number of waiting calls.
};

class Sidecar {
 public:
  // Time after which an upstream that has not answered a crash check is
  // considered crashed. The request for its report times out after one second.
  static constexpr DurationUs kCrashCheckTimeout = 1200 * kMillisecond;

  Sidecar(SidecarOptions options, SidecarOutput* output, Metrics* metrics);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  void OnMessage(TimeUs now, const NodeId& from, const Message& message);
  // Handles an entry's heartbeat; the driver replies with `MakeHeartbeat`.
  void OnHeartbeat(TimeUs now,
                   const NodeId& from,
                   Incarnation incarnation,
                   const Heartbeat& heartbeat);
  void OnPeerLost(TimeUs now, const NodeId& entry);
  // Handles the result of the status request sent at `requested_at`.
  void OnUpstreamReport(TimeUs now,
                        TimeUs requested_at,
                        const UpstreamReport& report);
  // Handles whether the platform's host list marks the upstream's host as
  // leaving.
  void OnHostList(TimeUs now, bool leaving);
  void OnUpstreamChunk(TimeUs now,
                       UpstreamCallId id,
                       std::string body,
                       bool last);
  void OnUpstreamError(TimeUs now, UpstreamCallId id, UpstreamError error);
  void OnTick(TimeUs now);
  TimeUs NextWakeup() const;

  // Sets whether the sidecar is ready. Leaving is derived from the other inputs
  // and takes precedence.
  void SetState(NodeState state);
  // The holder of the control lease ordered that the upstream gets no new work.
  void LeaveByOrder(TimeUs now);
  // This process received the signal to stop: no new work is accepted.
  void Leave(TimeUs now);
  NodeState state() const;
  std::size_t InProgress() const;  // Number of waiting and running calls.
  Quarantine& quarantine();
  Heartbeat MakeHeartbeat();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SIDECAR_SIDECAR_H_
