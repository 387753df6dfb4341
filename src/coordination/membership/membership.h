// What an entry believes of the sidecars it works with: there, leaving,
// suspected, dead.
//
// Load pattern: 26 hosts a day fail without a word, 130 are replaced, switches
// and domains go, and datagrams are lost all the time. Without suspicion one
// lossy path takes healthy upstreams out of service; without removal work is
// sent to hosts that are gone until its deadline.
//
// Each sidecar is asked in turn over UDP. An answer counts from when its
// question was sent. A question without an answer is repeated quickly, so that
// lost datagrams are told from a silent host by number and not by waiting.
// Silence makes a sidecar suspected: nothing new goes there over that path, and
// two other entries are asked whether they hear it. Only when nobody does is it
// dead and its attempts are given up. A host list that is up to 30 s late adds
// one hint: that a host leaves. It neither revives nor condemns anybody.
//
// Bounds, with `period` the current one (at most `kMaxPeriod`): a dead or
// unreachable sidecar gets nothing new after period + `kSuspectAfter` + a tick,
// 2.3 s at most; it is dead after `kDeadAfter` more.
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

// What the decisions ask of their driver.
class MembershipOutput {
 public:
  virtual ~MembershipOutput() = default;
  virtual void AskSidecar(const NodeId& sidecar, std::uint64_t sequence) = 0;
  virtual void SendToEntry(const NodeId& entry, const Message& message) = 0;
  // The state in force for `sidecar` changed.
  virtual void OnMemberState(const NodeId& sidecar, NodeState state) = 0;
  // The process that ran there is gone: its attempts will not be answered.
  virtual void OnMemberLost(const NodeId& sidecar) = 0;
};

// A line of the platform's host list.
struct HostHint {
  NodeId node;
  bool leaving = false;
};

class Membership {
 public:
  // A question is a frame of 170 to 180 bytes; asking is kept to 5 KB/s of the
  // 10 KB/s that a node may spend on control, so that 24 sidecars, a subset at
  // 1,500 replicas, are asked every 0.9 s.
  static constexpr DurationUs kQuestionBytes = 180;
  static constexpr DurationUs kBytesPerSecond = 5000;
  static constexpr DurationUs kMinPeriod = 200 * kMillisecond;
  static constexpr DurationUs kMaxPeriod = kSecond;
  // An answer takes a few milliseconds; a repeat every 100 ms puts about twelve
  // questions into `kSuspectAfter`. With a fifth of the datagrams lost, 0.36 of
  // the exchanges fail, and twelve in a row five times in a million.
  static constexpr DurationUs kRepeatAfter = 100 * kMillisecond;
  static constexpr DurationUs kSuspectAfter = 1200 * kMillisecond;
  static constexpr DurationUs kDeadAfter = 2 * kSecond;
  static constexpr std::size_t kHelpers = 2;
  static constexpr DurationUs kHelpPeriod = 500 * kMillisecond;
  // The host list's own lag; docs/PLATFORM.md.
  static constexpr DurationUs kListLag = 30 * kSecond;
  static constexpr DurationUs kTick = 50 * kMillisecond;  // Of the driver.
  // Longer since the last tick than this, the process itself was paused.
  static constexpr DurationUs kOwnPause = 500 * kMillisecond;

  Membership(MembershipOutput* output, Random* random, Metrics* metrics);

  // The sidecars to watch, and the entries to ask for help.
  void SetTargets(TimeUs now, const std::vector<NodeId>& sidecars);
  void SetHelpers(std::vector<NodeId> entries);

  void OnTick(TimeUs now);
  // A sidecar's answer, or its own word without a question.
  // False when it is to be passed over.
  bool OnAnswer(TimeUs now,
                const NodeId& sidecar,
                Incarnation incarnation,
                const Heartbeat& heartbeat);
  void OnReachQuery(TimeUs now, const NodeId& entry, const ReachQuery& query);
  void OnReachReport(TimeUs now, const ReachReport& report);
  void OnHostList(TimeUs now, const std::vector<HostHint>& hosts);

  // `kStarting` for a sidecar that has not been heard or is not watched.
  NodeState StateOf(const NodeId& sidecar) const;
  // Whether the host list says that it leaves.
  bool ListedLeaving(const NodeId& sidecar) const;
  DurationUs period() const { return period_; }

 private:
  static constexpr TimeUs kNoTime = -1;

  struct Member {
    Incarnation incarnation = 0;
    NodeState said = NodeState::kStarting;  // Its own word.
    NodeState state = NodeState::kStarting;
    TimeUs first_heard_at = kNoTime;  // This incarnation.
    TimeUs confirmed_at = kNoTime;    // Directly or through another entry.
    TimeUs silent_since = kNoTime;    // First question without an answer.
    TimeUs suspected_at = kNoTime;
    TimeUs next_question = 0;
    TimeUs next_help = 0;
    bool listed_leaving = false;
    std::map<std::uint64_t, TimeUs> questions;  // Sequence, when sent.
  };
  struct Request {  // Of another entry, for a sidecar not heard just now.
    NodeId entry;
    NodeId sidecar;
    std::uint64_t sequence = 0;
    TimeUs sent_at = 0;
  };

  void Ask(TimeUs now, const NodeId& sidecar, Member& member);
  void AskHelpers(TimeUs now, const NodeId& sidecar);
  void SetState(const NodeId& sidecar, Member& member, NodeState state);
  void AnswerRequests(const NodeId& sidecar,
                      Incarnation incarnation,
                      std::uint64_t sequence);

  MembershipOutput* const output_;
  Random* const random_;
  Metrics* const metrics_;
  std::map<NodeId, Member, std::less<>> members_;
  std::vector<NodeId> helpers_;
  std::map<std::uint64_t, Request> requests_;
  DurationUs period_ = kMinPeriod;
  std::uint64_t next_sequence_ = 1;
  SuspensionDetector suspension_detector_{kOwnPause};
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_MEMBERSHIP_H_
