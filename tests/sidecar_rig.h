// Test rig: one `Sidecar` core, a recording output and an upstream controlled
// by the test.
#ifndef ACACIACHUTE_TESTS_SIDECAR_RIG_H_
#define ACACIACHUTE_TESTS_SIDECAR_RIG_H_

#include <string>
#include <utility>
#include <vector>

#include "coordination/sidecar/sidecar.h"
#include "state/metrics.h"

namespace acaciachute {

struct SidecarRig : SidecarOutput {
  static constexpr Incarnation kIncarnation = 77;
  static constexpr Incarnation kEntry = 5;

  static SidecarOptions Options(std::uint32_t limit) {
    SidecarOptions options;
    options.node = "orders-1";
    options.incarnation = kIncarnation;
    options.limit = limit;
    return options;
  }
  explicit SidecarRig(std::uint32_t limit = 1) : SidecarRig(Options(limit)) {}
  explicit SidecarRig(const SidecarOptions& options)
      : core(options, this, &metrics) {}

  // SidecarOutput:
  void Send(const NodeId& entry, const Message& message) override {
    if (const auto* it = std::get_if<StageFailure>(&message)) {
      heartbeats_before_failures.push_back(heartbeats);
      failures.push_back(*it);
    } else if (const auto* chunk = std::get_if<StageChunk>(&message)) {
      chunks.push_back(*chunk);
    }
  }
  void CallUpstream(UpstreamCallId id,
                    const StageCall& call,
                    DurationUs time_left) override {
    started.push_back(call);
    ids.push_back(id);
  }
  void CancelUpstream(UpstreamCallId id) override { cancelled.push_back(id); }
  void CheckUpstream() override { ++checks; }
  void Export(const Span& span) override {}
  void SendHeartbeatToEntries() override { ++heartbeats; }

  // Makes a call that the entry sends now, with `time_left`.
  StageCall Call(std::uint64_t request,
                 DurationUs time_left = 5 * kSecond) const {
    StageCall call;
    call.key = {{kEntry, request}, 0, 1};
    call.sidecar = kIncarnation;
    call.time_left = time_left;
    call.sent_at = now;
    call.body = "{}";
    return call;
  }
  // Makes a call that was in progress when another upstream crashed.
  StageCall Suspect(std::uint64_t request) const {
    StageCall call = Call(request);
    call.fingerprint = 1000 + request;
    call.quarantined = {{call.fingerprint,
                         1,
                         QuarantineState::kSuspect,
                         0,
                         "office",
                         {"orders-9"}}};
    return call;
  }
  void Deliver(const Message& message) {
    core.OnMessage(now, "entry-0", message);
  }
  void EntrySays(bool leaving) {
    Heartbeat heartbeat;
    heartbeat.sent_at = now;
    heartbeat.receiver_leaving = leaving;
    core.OnHeartbeat(now, "entry-0", kEntry, heartbeat);
  }
  void Report(bool leaving = false) {
    UpstreamReport report;
    report.reachable = true;
    report.leaving = leaving;
    core.OnUpstreamReport(now, now, report);
  }
  void Answer(std::size_t n) {
    core.OnUpstreamChunk(now, ids.at(n), "{}", true);
  }
  // Advances time and runs the ticks that the core requests.
  void Pass(DurationUs duration) {
    const TimeUs end = now + duration;
    while (core.NextWakeup() <= end) {
      now = std::max(now, core.NextWakeup());
      core.OnTick(now);
    }
    now = end;
  }

  TimeUs now = 1000 * kSecond;
  Metrics metrics;
  std::vector<StageFailure> failures;
  std::vector<StageChunk> chunks;
  std::vector<StageCall> started;
  std::vector<UpstreamCallId> ids;
  std::vector<UpstreamCallId> cancelled;
  int checks = 0;
  int heartbeats = 0;  // That were not asked for.
  std::vector<int> heartbeats_before_failures;
  Sidecar core;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SIDECAR_RIG_H_
