// Lets one copy of a request at a time, in the whole fleet, try whether it ends
// the replicas that run it.
//
// Copies of one request come at many gateways at once, and replicas may end
// under all of them: because the request ends them, or because their hosts lost
// power. While that is in doubt, copies that are sent all at once would end as
// many replicas again; if all were refused, a sound request would be refused
// for good. So one copy is sent and the others wait: its answer shows that the
// request is sound, and each end of its replica brings the verdict nearer.
//
// Streams are too long for that. Once one has begun, others need not wait for a
// while, and for longer as they begin, too. What ends its replicas in the
// middle of a stream is thus not held back.
//
// One of the live gateways, the one with the highest hash of the cause and its
// name, decides which copy that is; the others ask it, again and again, as
// datagrams are lost. A copy is its gateway's exchange. The lease of a trial
// ends if its gateway does not renew it. Gateways that disagree on who is live
// may let two copies try at a time.
#ifndef ACACIACHUTE_SRC_COORDINATION_CRASHES_REQUEST_TRIALS_H_
#define ACACIACHUTE_SRC_COORDINATION_CRASHES_REQUEST_TRIALS_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/crashes/broken_attempts.h"
#include "messages.h"
#include "state/crash_cause.h"
#include "state/event_log.h"
#include "types.h"

namespace acaciachute {

class RequestTrialsOutput {
 public:
  virtual ~RequestTrialsOutput() = default;
  // The other live gateways.
  virtual std::vector<NodeId> LivePeers() = 0;
  virtual void SendTrialMessage(const NodeId& peer, const Message& message) = 0;
};

class RequestTrials {
 public:
  // Trials of a request whose result is not known, within the time in which an
  // end of their replicas would be: a replica may become silent.
  static constexpr std::size_t kMaxOpenTrials = 3;
  static constexpr DurationUs kOpenTime = BrokenAttempts::kEvidenceWindow;
  // Period in which a gateway asks for a copy that waits, and renews a trial.
  static constexpr DurationUs kAskInterval = 100 * kMillisecond;
  static constexpr DurationUs kRenewInterval = 400 * kMillisecond;
  // Time without a renewal after which a trial's gateway is taken as lost.
  static constexpr DurationUs kLease = 1500 * kMillisecond;
  // Time from the end of a trial without an answer to the next one: by then its
  // gateway has probed the replica and told the others of its end.
  static constexpr DurationUs kSettleTime = 300 * kMillisecond;
  // The end of a trial is told so many times.
  static constexpr int kEndSends = 3;

  // Time from the beginning of a stream in which its copies need not wait.
  static constexpr DurationUs kBegunTime = kSecond;

  // How a copy that asked for a trial ended, or that its stream has begun.
  enum class Result { kNotSent, kUnknown, kBegun, kAnswered };

  RequestTrials(NodeId self, RequestTrialsOutput* output, EventLog* log)
      : self_(std::move(self)), output_(output), log_(log) {}

  // Whether this copy may be sent. If not, ask again: call it every 10 ms.
  bool Ask(TimeUs now, const std::string& cause, ExchangeId copy);
  bool MaySend(ExchangeId copy) const;
  // Whether it is sent alone, so that an end of its replica tells of it.
  bool IsTrial(ExchangeId copy) const;
  // The copy ended, or needs no trial any more.
  void OnEnded(TimeUs now, ExchangeId copy, Result result);

  void OnRequest(TimeUs now,
                 const NodeId& from,
                 const CrashTrialRequest& request);
  void OnGrant(TimeUs now, const NodeId& from, const CrashTrialGrant& grant);
  void OnEnd(TimeUs now, const NodeId& from, const CrashTrialEnd& end);
  // Call it every 10 ms.
  void OnTick(TimeUs now);

 private:
  // A copy of this gateway.
  struct Copy {
    std::string cause;
    NodeId decider;
    TimeUs next_ask_at = 0;
    bool may_send = false;
    bool alone = false;
  };
  // What this gateway decided on a cause.
  struct Trials {
    NodeId gateway;  // Of the trial in progress.
    ExchangeId copy = 0;
    TimeUs lease_until = 0;
    TimeUs next_at = 0;        // No trial begins before.
    TimeUs begun_until = 0;    // Copies need not wait before.
    std::vector<TimeUs> open;  // Beginnings of those without a result.
  };
  struct UntoldEnd {
    NodeId decider;
    CrashTrialEnd end;
    TimeUs next_at = 0;
    int sends = 0;
  };

  NodeId DeciderOf(const std::string& cause) const;
  enum class Decision { kWait, kAlone, kWithOthers };
  // Whether this copy may be sent now, or has been.
  Decision Decide(TimeUs now,
                  const NodeId& from,
                  const std::string& cause,
                  ExchangeId copy);
  void Close(TimeUs now, const NodeId& from, const CrashTrialEnd& end);
  void TellEnd(TimeUs now, const NodeId& decider, const CrashTrialEnd& end);
  void TellEnds(TimeUs now);
  void Renew(TimeUs now);

  const NodeId self_;
  RequestTrialsOutput* const output_;
  EventLog* const log_;
  std::map<ExchangeId, Copy> copies_;
  std::map<std::string, Trials> trials_;  // By cause.
  std::vector<UntoldEnd> untold_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CRASHES_REQUEST_TRIALS_H_
