// An entry's view of the sidecars it works with: reachable, leaving, suspected
// or dead.
//
// Every day 26 hosts fail without notice and 130 are replaced; switches and
// failure domains fail, and datagrams are lost all the time. Without suspicion,
// one lossy path would take healthy upstreams out of service; without removal,
// work would be sent to removed hosts until its deadline.
//
// Each sidecar is probed periodically over UDP. An answer counts from when its
// probe was sent. A probe without an answer is repeated quickly, so lost
// datagrams are distinguished from a dead host by number and not by waiting. A
// sidecar that does not answer becomes suspected: it gets no new work over that
// path, and two other entries are asked whether they reach it. Only if none
// does is it dead, and its attempts are given up. A host list that is up to 30
// s late adds the hint that a host leaves; it neither revives a sidecar nor
// marks one as dead.
//
// Bounds, with `period` as the current period (at most `kMaxProbePeriod`): a
// dead or unreachable sidecar gets no new work after period + `kSuspectTimeout`
// + one tick, 2.3 s at most; it is dead `kDeadTimeout` later.
#ifndef ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MEMBERSHIP_H_
#define ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/membership/suspension_detector.h"
#include "messages.h"
#include "state/metrics.h"
#include "state/random.h"
#include "types.h"

namespace acaciachute {

// Actions that the membership requires of its driver.
class MembershipOutput {
 public:
  virtual ~MembershipOutput() = default;
  virtual void ProbeSidecar(const NodeId& sidecar, std::uint64_t sequence) = 0;
  virtual void SendToEntry(const NodeId& entry, const Message& message) = 0;
  // The effective state of `sidecar` changed.
  virtual void OnMemberState(const NodeId& sidecar, NodeState state) = 0;
  // The process on that host has ended: its attempts will not be answered.
  virtual void OnMemberLost(const NodeId& sidecar) = 0;
};

// An entry of the platform's host list.
struct HostHint {
  NodeId node;
  bool leaving = false;
};

class Membership {
 public:
  // Limits on the traffic of probes. A probe is a frame of 170 to 180 bytes;
  // probes may use 5 KB/s of the 10 KB/s that a node may spend on control, so
  // 24 sidecars, a subset at 1,500 replicas, are probed every 0.9 s.
  static constexpr DurationUs kProbeBytes = 180;
  static constexpr DurationUs kProbeBytesPerSecond = 5000;
  static constexpr DurationUs kMinProbePeriod = 200 * kMillisecond;
  static constexpr DurationUs kMaxProbePeriod = kSecond;
  // An answer takes a few milliseconds; a retry every 100 ms puts about twelve
  // probes into `kSuspectTimeout`. With a fifth of the datagrams lost, 0.36 of
  // the exchanges fail, and twelve in a row fail five times in a million.
  static constexpr DurationUs kProbeRetryDelay = 100 * kMillisecond;
  static constexpr DurationUs kSuspectTimeout = 1200 * kMillisecond;
  // Time since the last contact, direct or through another entry, after which a
  // suspected sidecar is dead.
  static constexpr DurationUs kDeadTimeout = 2 * kSecond;
  // Number of entries that are asked at a time about a suspected sidecar.
  static constexpr std::size_t kHelpersPerRequest = 2;
  static constexpr DurationUs kHelpRequestPeriod = 500 * kMillisecond;
  // Delay of the host list; see docs/PLATFORM.md.
  static constexpr DurationUs kMaxHostListLag = 30 * kSecond;
  // Interval of the driver's calls of `OnTick`.
  static constexpr DurationUs kTick = 50 * kMillisecond;
  // If the last tick is longer ago than this, this process was suspended.
  static constexpr DurationUs kMaxTickInterval = 500 * kMillisecond;

  Membership(MembershipOutput* output, Random* random, Metrics* metrics);

  // The sidecars to watch, and the entries to ask about sidecars that do not
  // answer.
  void SetTargets(TimeUs now, const std::vector<NodeId>& sidecars);
  void SetHelpers(std::vector<NodeId> entries);

  void OnTick(TimeUs now);
  // Handles a sidecar's answer to a probe, or a report that it sent on its own.
  // Returns false if the message is to be ignored.
  bool OnAnswer(TimeUs now,
                const NodeId& sidecar,
                Incarnation incarnation,
                const Heartbeat& heartbeat);
  void OnReachQuery(TimeUs now, const NodeId& entry, const ReachQuery& query);
  void OnReachReport(TimeUs now, const ReachReport& report);
  void OnHostList(TimeUs now, const std::vector<HostHint>& hosts);

  // `kStarting` for a sidecar that has not answered yet or is not watched.
  NodeState StateOf(const NodeId& sidecar) const;
  // Whether the host list says that the sidecar leaves.
  bool ListedLeaving(const NodeId& sidecar) const;
  DurationUs period() const { return period_; }

 private:
  static constexpr TimeUs kNoTime = -1;

  struct Member {
    Incarnation incarnation = 0;
    // As reported by the sidecar.
    NodeState reported_state = NodeState::kStarting;
    NodeState state = NodeState::kStarting;
    TimeUs first_heard_at = kNoTime;  // First message of this incarnation.
    // Last contact, directly or through another entry.
    TimeUs last_contact_at = kNoTime;
    TimeUs unanswered_since = kNoTime;  // First probe without an answer.
    TimeUs suspected_at = kNoTime;
    TimeUs next_probe_at = 0;
    TimeUs next_help_request_at = 0;
    bool listed_leaving = false;
    // By sequence number: when the probe was sent.
    std::map<std::uint64_t, TimeUs> pending_probes;
  };
  // A request of another entry to probe a sidecar from here. The sidecar has
  // not answered this entry recently either.
  struct HelpRequest {
    NodeId entry;
    NodeId sidecar;
    std::uint64_t sequence = 0;
    TimeUs sent_at = 0;
  };

  void Probe(TimeUs now, const NodeId& sidecar, Member& member);
  void RequestHelp(TimeUs now, const NodeId& sidecar);
  void SetState(const NodeId& sidecar, Member& member, NodeState state);
  void AnswerHelpRequests(const NodeId& sidecar,
                          Incarnation incarnation,
                          std::uint64_t sequence);

  MembershipOutput* const output_;
  Random* const random_;
  Metrics* const metrics_;
  std::map<NodeId, Member, std::less<>> members_;
  std::vector<NodeId> helpers_;
  std::map<std::uint64_t, HelpRequest> help_requests_;
  DurationUs period_ = kMinProbePeriod;
  std::uint64_t next_sequence_ = 1;
  SuspensionDetector suspension_detector_{kMaxTickInterval};
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MEMBERSHIP_H_
