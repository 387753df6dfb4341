// Tracks which other gateways are alive and determines which gateway batches a
// service's pieces.
//
// Replicas of a stage run one call at a time. If gateways send calls
// separately, calls are a fifth full and queue behind one another. For each
// service the live gateway with the highest hash of (service, gateway) batches
// the pieces of all gateways (rendezvous hashing, Thaler and Ravishankar 1998),
// so gateways agree without communication, and a gateway that joins or leaves
// moves only its own services. Batching for all gateways takes about 100
// microseconds per request. On a host with a tenth of a core that alone causes
// a queue, so the hashes are weighted steeply by the hosts' processor shares.
// While two gateways disagree, both send calls, and a replica queues or refuses
// the second one.
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

// A heartbeat that is due to `node`, which may rely on receiving the next one
// within `promise`.
struct DueHeartbeat {
  NodeId node;
  DurationUs promise = 0;
};

class GatewayPeers {
 public:
  // Period of heartbeats between gateways. A heartbeat is smaller than 1 KB;
  // with five gateways that is 20 KB/s per host.
  static constexpr DurationUs kGatewayHeartbeatPeriod = 150 * kMillisecond;
  // Number of peers up to which all gateways send a heartbeat every
  // `kGatewayHeartbeatPeriod`. Each gateway sends heartbeats to all others, so
  // the number that a host receives grows with the number of gateways; with 29
  // gateways they took a tenth of a core. With more peers, only gateways that
  // batch for others keep this period; the others send proportionally fewer, as
  // no gateway waits for their heartbeats.
  static constexpr std::size_t kMaxPeersAtFullRate = 6;
  // Time without a heartbeat after which a gateway counts as dead. It covers
  // four heartbeats: if a thirtieth of the datagrams is lost, a live gateway is
  // taken for dead once in a million heartbeats. The limit is longer for
  // gateways with a longer period.
  static constexpr DurationUs kPeerTimeout = 650 * kMillisecond;
  // Time without a heartbeat, two of them being missed, after which a gateway
  // is probed. Probes are repeated every `kProbeInterval`, three in all, until
  // the gateway counts as dead. This corresponds to the direct probe of SWIM
  // (Das, Gupta and Motivala 2002). Other gateways are not asked whether they
  // reach it, because their answer would not transfer pieces to it.
  static constexpr DurationUs kProbeDelay = 400 * kMillisecond;
  static constexpr DurationUs kProbeInterval = (kPeerTimeout - kProbeDelay) / 3;
  // Time for which heartbeats of a gateway are ignored after a connection to it
  // failed; longer than a heartbeat may have been in transit.
  static constexpr DurationUs kUnreachableDuration = 300 * kMillisecond;
  // Longest interval between two ticks on a host that is short of processor
  // time. If it is exceeded, this process was suspended for the remainder.
  static constexpr DurationUs kMaxTickInterval = 200 * kMillisecond;
  // Smallest heartbeat period towards gateways that do not answer: they may
  // return from a network partition.
  static constexpr DurationUs kSilentPeerHeartbeatPeriod = kSecond;
  // Time without a heartbeat after which a gateway is removed from the list. If
  // it is alive, it is read from the store again.
  static constexpr DurationUs kPeerRemovalTimeout = 60 * kSecond;
  // Time for which a gateway counts as known after its last heartbeat; longer
  // than network partitions between regions last.
  static constexpr DurationUs kKnownPeerDuration = 3600 * kSecond;

  GatewayPeers(GatewayHost self, EventLog* log)
      : self_(std::move(self)), log_(log) {}

  // Adds a gateway that the store lists.
  void OnListed(TimeUs now, const NodeId& node);
  // Returns whether the state of the gateway changed.
  bool OnGatewayHeartbeat(TimeUs now,
                          const NodeId& node,
                          Incarnation incarnation,
                          const GatewayHeartbeat& heartbeat);
  // Records that no connection to `node` could be made. The gateway counts as
  // dead at once, until a heartbeat arrives `kUnreachableDuration` later: a
  // killed process refuses connections long before its missing heartbeats are
  // noticed, and trying to connect in a loop would use up this process's time.
  void OnUnreachable(TimeUs now, const NodeId& node);
  // All gateways that may send work, sorted and including this one: those with
  // a heartbeat within `kKnownPeerDuration`, whatever their state since then,
  // and, for `kPeerRemovalTimeout` after the store first listed them, those
  // without a heartbeat so far.
  std::vector<NodeId> Known(TimeUs now) const;
  // Must be called before each `TakeLost`, every 30 ms.
  //
  // If this process was suspended, all other gateways seem to have sent no
  // heartbeats meanwhile, and their work would be repeated. So the time for
  // which this process did not run does not count as time without a heartbeat.
  void OnTick(TimeUs now);
  // Returns the gateways that stopped answering or restarted since the last
  // call: the work that they had in progress is lost.
  std::vector<NodeId> TakeLost(TimeUs now);
  // The heartbeat period of this gateway; `batches` says whether others send it
  // pieces.
  DurationUs HeartbeatPeriod(bool batches) const;
  // Returns the gateways to which a heartbeat is due now. A longer period is
  // announced in a heartbeat that is sent as early as the previous one
  // promised.
  //
  // Suppose a gateway sent heartbeats less often without announcing it, or
  // received them less often because its peers take it for dead. Among many
  // live gateways, hosts that batch nothing would then take the batching
  // gateways for dead over and over and process the pieces themselves, which in
  // turn makes them batching gateways. Each promise is made to one gateway and
  // is kept, so missing heartbeats mean a loss.
  std::vector<DueHeartbeat> DueHeartbeats(TimeUs now, DurationUs period);
  // Returns the gateways that must be probed now.
  std::vector<DueHeartbeat> DueProbes(TimeUs now);
  // Announces to all gateways, at once, that this one leaves.
  void SetLeaving();

  // The gateway that batches the service's pieces; this one if it is alone.
  const NodeId& OwnerOf(const std::string& service) const;
  // Number of live gateways, including this one.
  std::size_t LiveCount() const;
  bool IsLive(const NodeId& node) const;
  // The other live gateways, sorted.
  std::vector<NodeId> LivePeers() const;
  // The gateways to ask for the store's tables.
  const RelayPlan& relay_plan() const;
  // A random gateway that is alive and not leaving; empty if there is none.
  NodeId AnyLive(Random* random) const;
  // Whether another live gateway may check keys, according to its last
  // heartbeat.
  bool AnyPeerCanCheckKeys() const;
  // Highest version of the configuration that a gateway has announced. Versions
  // never decrease, so that of a gateway which is lost counts too.
  std::uint64_t NewestConfigVersion() const { return newest_config_version_; }

 private:
  struct Peer {
    Incarnation incarnation = 0;
    TimeUs last_heartbeat_at = -1;  // Negative before the first heartbeat.
    TimeUs listed_at = 0;
    TimeUs heartbeat_sent_at = 0;
    // Longest time from `heartbeat_sent_at` to the next heartbeat, as promised
    // to this peer.
    DurationUs promised_interval = 0;
    TimeUs probed_at = 0;
    TimeUs unreachable_until = 0;
    double cores = 1;
    std::string domain;
    DurationUs period = kGatewayHeartbeatPeriod;
    bool live = false;
    bool leaving = false;
    bool can_check_keys = false;
    bool restarted = false;
  };

  // Scales a time limit that is given for the period `kGatewayHeartbeatPeriod`
  // to the period of the peer.
  static DurationUs ScaleToPeriod(const Peer& peer, DurationUs limit) {
    return limit * peer.period / kGatewayHeartbeatPeriod;
  }
  // Discards what was derived from the set of live gateways.
  void DiscardDerivedState();
  NodeId FindOwner(const std::string& service) const;
  const GatewayHost self_;
  EventLog* const log_;
  bool leaving_ = false;
  std::uint64_t newest_config_version_ = 0;
  SuspensionDetector suspension_detector_{kMaxTickInterval};
  std::map<NodeId, Peer> peers_;
  // Until when each gateway counts as one that may send work.
  absl::flat_hash_map<NodeId, TimeUs> known_until_;
  // Cache of `OwnerOf` by service, valid until a gateway joins or leaves: each
  // request looks up a dozen owners.
  mutable std::map<std::string, NodeId> owners_;
  // Cache of `relay_plan`, valid until a gateway joins or leaves: it is read
  // several times a second.
  mutable std::optional<RelayPlan> relay_plan_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_GATEWAY_PEERS_H_
