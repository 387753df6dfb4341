// The sidecar's decisions without I/O: the last guard before an upstream.
//
// It queues, limits concurrency, drops duplicates, checks deadlines again at
// hand-over, refuses new work as soon as its upstream leaves, and says of each
// attempt whether it may have run.
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

// Names a call handed to the upstream; never used again in one process.
using UpstreamCallId = std::uint64_t;

// How a call to the upstream ended without an answer.
enum class UpstreamError {
  kNotSent,   // The connection was refused; nothing reached the upstream.
  kRejected,  // The upstream answered that it would not run it.
  kBroken,    // The connection broke with the call in progress.
  kMalformed  // The answer was cut, no JSON, or for another request.
};

// What an upstream says of itself.
struct UpstreamReport {
  bool reachable = false;
  bool leaving = false;
  LoadReport load;
  // Differs between two processes that follow one another; empty when the
  // upstream does not say, and then only its silence tells of a crash.
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
  // Asks for a report at once. One that never comes counts as silence.
  virtual void CheckUpstream() {}
  // Sends a heartbeat to every entry at once.
  virtual void TellEntries() {}
  virtual void Export(const Span& span) = 0;
};

struct SidecarOptions {
  NodeId node;
  Incarnation incarnation = 0;
  std::uint32_t limit = 4;       // Calls in progress at the upstream.
  std::size_t max_queued = 256;  // Calls waiting.
};

class Sidecar {
 public:
  // How long the question whether an upstream died may stay without an answer.
  // Its report is given up after a second.
  static constexpr DurationUs kCrashCheckTime = 1200 * kMillisecond;

  Sidecar(SidecarOptions options, SidecarOutput* output, Metrics* metrics);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  void OnMessage(TimeUs now, const NodeId& from, const Message& message);
  // An entry's heartbeat; `MakeHeartbeat` answers it.
  void OnHeartbeat(TimeUs now,
                   const NodeId& from,
                   Incarnation incarnation,
                   const Heartbeat& heartbeat);
  void OnPeerLost(TimeUs now, const NodeId& entry);
  // The upstream's answer to a question asked at `asked_at`.
  void OnUpstreamReport(TimeUs now,
                        TimeUs asked_at,
                        const UpstreamReport& report);
  // What the platform's host list says of the upstream's host.
  void OnHostList(TimeUs now, bool leaving);
  void OnUpstreamChunk(TimeUs now,
                       UpstreamCallId id,
                       std::string body,
                       bool last);
  void OnUpstreamError(TimeUs now, UpstreamCallId id, UpstreamError error);
  void OnTick(TimeUs now);
  TimeUs NextWakeup() const;

  // Ready or not yet; leaving comes on top of it, from what the inputs say.
  void SetState(NodeState state);
  // An order of the lease's holder: the upstream is to be given nothing new.
  void LeaveByOrder(TimeUs now);
  // This process was told to end: nothing new from now on.
  void Leave(TimeUs now);
  NodeState state() const;
  std::size_t InProgress() const;  // Waiting and running calls.
  Quarantine& quarantine();
  Heartbeat MakeHeartbeat();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SIDECAR_SIDECAR_H_
