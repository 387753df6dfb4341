// The other gateways that live, and which gateway batches a service's pieces.
//
// Load pattern: replicas of a stage run one call at a time. Gateways that send
// calls apart fill them to a fifth and queue behind one another. For each
// service the live gateway with the highest hash of (service, gateway) batches
// the pieces of all (rendezvous hashing, Thaler and Ravishankar 1998), so that
// gateways agree without asking anybody, and a gateway that comes or goes moves
// only its own services. Batching for all takes some 100 microseconds a
// request; on a host with a tenth of a core that is a queue of its own, so
// hashes are weighted steeply by the hosts' processors. While two disagree,
// both send calls; a replica queues or refuses the second.
#ifndef ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_GATEWAY_PEERS_H_
#define ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_GATEWAY_PEERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/membership/suspension_detector.h"
#include "coordination/tables/relay_plan.h"
#include "messages.h"
#include "state/event_log.h"
#include "state/random.h"
#include "types.h"

namespace acaciachute {

// A heartbeat that is due to `node`, which may count on the next one within
// `promise`.
struct DueHeartbeat {
  NodeId node;
  DurationUs promise = 0;
};

class GatewayPeers {
 public:
  // A heartbeat is under 1 KB; at five gateways that is 20 KB/s a host.
  static constexpr DurationUs kGatewayHeartbeatPeriod = 150 * kMillisecond;
  // Load pattern: each gateway tells all others, so what a host receives grows
  // with their number; at 29 a tenth of a core went on heartbeats. Up to this
  // many peers all send one every `kGatewayHeartbeatPeriod`. With more, only
  // those that batch for others do and the rest in proportion less often:
  // nobody waits for these.
  static constexpr std::size_t kPeersAtFullRate = 6;
  // Four heartbeats: with a thirtieth of the datagrams lost, a live gateway is
  // taken for dead once in a million heartbeats. Longer for those that send
  // them less often.
  static constexpr DurationUs kSilent = 650 * kMillisecond;
  // Two heartbeats missed: the gateway is asked for one, three times until it
  // is taken for dead. Like the direct probe of SWIM (Das, Gupta and Motivala
  // 2002); others are not asked whether they hear it, because their word would
  // not carry pieces to it.
  static constexpr DurationUs kSuspect = 400 * kMillisecond;
  static constexpr DurationUs kAskAgain = (kSilent - kSuspect) / 3;
  // Longer than a heartbeat may have been on its way.
  static constexpr DurationUs kUnreachable = 300 * kMillisecond;
  // Between two looks, on a host that is short of its processor. What is beyond
  // it, this process did not run.
  static constexpr DurationUs kLongestTurn = 200 * kMillisecond;
  // Silent ones are still told, less often: they may return from a cut.
  static constexpr DurationUs kSilentPeerHeartbeatPeriod = kSecond;
  // After this a silent gateway is forgotten; it is read from the store again
  // if it lives.
  static constexpr DurationUs kForget = 60 * kSecond;
  // Longer than regions are cut off from one another.
  static constexpr DurationUs kRemember = 3600 * kSecond;

  GatewayPeers(GatewayHost self, EventLog* log)
      : self_(std::move(self)), log_(log) {}

  // A gateway that the store lists.
  void OnListed(TimeUs now, const NodeId& node);
  // Returns whether its state changed.
  bool OnGatewayHeartbeat(TimeUs now,
                          const NodeId& node,
                          Incarnation incarnation,
                          const GatewayHeartbeat& heartbeat);
  // No connection could be made to it. It is taken for dead at once, until a
  // heartbeat that comes `kUnreachable` later: a killed process refuses
  // connections long before its silence tells, and trying it again in a loop
  // would use up this process's time.
  void OnUnreachable(TimeUs now, const NodeId& node);
  // All that may send work by what is known, this one included and sorted:
  // those heard within `kRemember`, whatever became of them since, and those
  // that were listed a moment ago.
  std::vector<NodeId> Known(TimeUs now) const;
  // Call it before each look at who is lost, every 30 ms.
  //
  // Failure: this process is suspended and goes on. Symptom: all others seem
  // silent until their next heartbeats, and what they had in hand is done
  // again. So nobody's silence is counted while this process did not run.
  void OnTick(TimeUs now);
  // Gateways that fell silent or restarted since the last call: what they had
  // is lost.
  std::vector<NodeId> TakeLost(TimeUs now);
  // How often this gateway sends heartbeats; `batches` tells whether others
  // hand it pieces.
  DurationUs Period(bool batches) const;
  // Those that a heartbeat is due to now. A period that grows is told in a
  // heartbeat that comes as early as the one before promised.
  //
  // Failure: a gateway sends heartbeats less often without having said so, or
  // hears its peers less often because they hold it for silent. Symptom: among
  // many live gateways, hosts with nothing to batch take those that batch for
  // silent again and again and hand themselves their pieces, and so on in a
  // circle. Each promise is to one gateway and is kept, so silence means a
  // loss.
  std::vector<DueHeartbeat> DueHeartbeats(TimeUs now, DurationUs period);
  // Those that must tell at once whether they live.
  std::vector<DueHeartbeat> DueProbes(TimeUs now);
  // All hear it at once.
  void SetLeaving();

  // The gateway that batches the service's pieces; this one when it is alone.
  const NodeId& OwnerOf(const std::string& service) const;
  // Live gateways, this one included.
  std::size_t Live() const;
  bool IsLive(const NodeId& node) const;
  // Whom to ask for the store's tables.
  const RelayPlan& relay_plan() const;
  // Any gateway that lives and does not leave; empty when there is none.
  NodeId AnyLive(Random* random) const;
  // Whether another gateway that lives may check keys, as it last told.
  bool AnyPeerCanCheckKeys() const;

 private:
  struct Peer {
    Incarnation incarnation = 0;
    TimeUs heard_at = -1;  // Negative: not yet.
    TimeUs listed_at = 0;
    TimeUs told_at = 0;
    DurationUs promised = 0;  // From `told_at` until it is told again, at most.
    TimeUs asked_at = 0;
    TimeUs unreachable_until = 0;
    double cores = 1;
    std::string domain;
    DurationUs period = kGatewayHeartbeatPeriod;
    bool live = false;
    bool leaving = false;
    bool can_check_keys = false;
    bool restarted = false;
  };

  // A limit that is given for `kGatewayHeartbeatPeriod`, at the peer's own
  // period.
  static DurationUs Scaled(const Peer& peer, DurationUs limit) {
    return limit * peer.period / kGatewayHeartbeatPeriod;
  }
  // What was derived from who lives is derived anew.
  void OnChange();
  NodeId FindOwner(const std::string& service) const;
  const GatewayHost self_;
  EventLog* const log_;
  bool leaving_ = false;
  SuspensionDetector suspension_detector_{kLongestTurn};
  std::map<NodeId, Peer> peers_;
  // Until when each counts as one that may send work.
  absl::flat_hash_map<NodeId, TimeUs> known_until_;
  // By service, until a gateway comes or goes: a request asks a dozen times.
  mutable std::map<std::string, NodeId> owners_;
  // Until then, too: a gateway asks several times a second.
  mutable std::optional<RelayPlan> relay_plan_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_GATEWAY_PEERS_H_
