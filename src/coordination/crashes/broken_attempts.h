// Finds out whether a replica ended when the connection of an attempt broke.
//
// A broken connection does not show that: replicas reset connections that they
// have too many of, links are cut, answers are truncated. So the replica's
// address is probed by a new connection, which a process that ended refuses.
// Where the probe tells nothing, because the replica's host is gone, the end of
// its row tells. A replica that leaves ends as planned.
//
// An attempt that the gateway cancelled, as its time was over or its client
// left, has no break: a replica that falls silent under a request would never
// be seen to end under it, and each copy of the request would reach one more.
// So such attempts are kept too. A process that is frozen accepts connections,
// so no probe is sent for them and none clears them; what the replica sends
// does.
#ifndef ACACIACHUTE_SRC_COORDINATION_CRASHES_BROKEN_ATTEMPTS_H_
#define ACACIACHUTE_SRC_COORDINATION_CRASHES_BROKEN_ATTEMPTS_H_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/crash_cause.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

// A request that was in progress at a replica when its connection broke, or
// when it was abandoned.
struct BrokenAttempt {
  // What may have ended the replica: the request and, unless its answer had
  // begun, the parts of its prompt.
  std::vector<CrashCause> causes;
  std::optional<CrashCause> tried;  // The part that the request was to try.
  bool request_tried = false;       // The request itself was tried.
  std::string account;
  std::string request;  // Id of the attempt, for logs.
  std::string parts;    // Ids of the prompt's parts, for logs.
  bool begun = false;   // The first event of its answer had arrived.
  TimeUs began_at = 0;  // When it was sent to the replica.
  TimeUs broken_at = 0;
  bool abandoned = false;  // Cancelled, without a break.
};

// What a new connection to a replica's address showed.
enum class ProbeOutcome {
  kRefused,   // No process listens there.
  kAccepted,  // A process listens there.
  kUnknown,
};
inline constexpr std::array<std::string_view, 3> kProbeOutcomeNames = {
    "refused", "accepted", "unknown"};
constexpr std::string_view Name(ProbeOutcome v) {
  return detail::NameIn(kProbeOutcomeNames, v);
}

class BrokenAttempts {
 public:
  // Delay from a break to the probe: a process that ends closes its connections
  // and its listening socket one after the other.
  static constexpr DurationUs kProbeDelay = 20 * kMillisecond;
  // Minimum interval between probes of one replica.
  static constexpr DurationUs kProbeInterval = 200 * kMillisecond;
  // Time after a break within which the replica's row shows that it ended. Rows
  // expire within three heartbeats of the replica and reach gateways in less
  // than a second more.
  static constexpr DurationUs kEvidenceWindow = 8 * kSecond;
  // Time for which ended replicas are remembered, for attempts whose breaks are
  // noticed later.
  static constexpr DurationUs kEndedRetention = 10 * kSecond;
  // Limit on the attempts kept; beyond it the oldest of a replica are dropped.
  static constexpr std::size_t kMaxAttemptsPerReplica = 256;

  // The connection of an attempt broke after the request was sent, or the
  // attempt was abandoned. Returns true if the replica is known to have ended:
  // the attempt is not kept then.
  bool OnBroken(TimeUs now,
                const ReplicaId& replica,
                const BrokenAttempt& attempt);
  // The replica ended. Returns the attempts that broke there.
  std::vector<BrokenAttempt> OnReplicaEnded(TimeUs now,
                                            const ReplicaId& replica);
  // A probe that was sent at `sent_at` found the replica's process listening.
  void OnReplicaAlive(const ReplicaId& replica, TimeUs sent_at);
  // The replica sent something: it had not ended under what was abandoned.
  void OnAnswering(const ReplicaId& replica);
  // Whether the replica ended not long ago, and not as planned.
  bool HasEnded(const ReplicaId& replica) const {
    return ended_.contains(replica);
  }
  // The replicas to probe now; call it every 10 ms.
  std::vector<ReplicaId> TakeProbes(TimeUs now);

 private:
  struct Suspected {
    std::vector<BrokenAttempt> attempts;  // Oldest first.
    TimeUs probed_at = 0;
    bool probe_due = false;
  };

  std::map<ReplicaId, Suspected> suspected_;
  std::map<ReplicaId, TimeUs> ended_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CRASHES_BROKEN_ATTEMPTS_H_
