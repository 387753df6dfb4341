// Keeps an entry's settings tree synchronized with the platform's table and
// with the other entries, and tells whether the entry can prove that its
// settings are in force.
//
// There are 380 entries and 1,100 changes a day, each to be in force everywhere
// within 5 s. If every entry polled the table each second, that would take 380
// of its 2,000 reads/s. Instead three entries read it; the others send gossip
// requests to a few random peers (an epidemic protocol) and pull branch bodies
// over TCP. An entry without a recent proof for 2 to 3 s reads the table
// itself, so no election is needed and the loss of all three readers costs two
// seconds.
//
// A node's settings are current if it has a proof younger than
// `kMaxSettingsAge`, one of
//
//   - a read of the table, by itself or a peer, that its versions include;
//   - more than half of the witnesses (up to seven entries, the same ones for
//     all) that had no newer version than this node.
//
// A change counts as accepted once the table and more than half of the
// witnesses have it (`Holders`). The two majorities share a witness, so a
// partitioned node is never current without the change, and an outage of the
// table, in which witnesses answer from memory, does not stop any node. A
// process that starts has lost its previous tree: it serves and counts as a
// witness only once it is established, by a read of the table or by so many
// other witnesses that one of them holds every change accepted with its
// predecessor's vote. Ages count from before a request was sent, by the
// requester's clock alone, so that neither a suspension nor a slow network
// makes an old answer seem recent. docs/design/040-settings.md compares the
// alternatives.
#ifndef ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_SYNC_H_
#define ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_SYNC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/settings/settings_freshness.h"
#include "messages.h"
#include "state/metrics.h"
#include "state/random.h"
#include "state/settings.h"
#include "state/store.h"
#include "types.h"

namespace acaciachute {

// Actions requested from the driver.
class SettingsSyncOutput {
 public:
  virtual ~SettingsSyncOutput() = default;
  // Sends a gossip request: a heartbeat with this sequence number and the
  // current digest.
  virtual void Ask(const NodeId& peer, std::uint64_t sequence) = 0;
  virtual void SendSettings(const NodeId& peer, const Message& message) = 0;
  virtual void ReadTable(StoreTicket ticket, std::vector<StoreOp> ops) = 0;
  // Reports a branch that cannot be parsed. It is skipped, and its version
  // counts as not received.
  virtual void OnBranchRefused(std::string_view error) = 0;
  virtual void OnApplied(const SettingsPtr& settings) = 0;
};

class SettingsSync : public SettingsFreshness {
 public:
  // Half a second below the guaranteed 5 s: one gossip period, and the time in
  // which a request that was just admitted is sent to the upstream.
  static constexpr DurationUs kMaxSettingsAge = 4500 * kMillisecond;
  static constexpr int kReaders = 3;
  static constexpr DurationUs kTableReadPeriod = kSecond;
  // Minimum age of the proof, plus a random addition of up to the same length,
  // after which an entry reads the table itself; twice this age and a read
  // still fit into the limit.
  static constexpr DurationUs kMinSelfReadAge = 1500 * kMillisecond;
  // Number of witnesses: enough to survive the loss of three; their ages add
  // 112 bytes to an answer.
  static constexpr std::size_t kWitnesses = 7;
  // Most reads fetch only the epoch row; every tenth also fetches the branches,
  // to find a row that was written without a change of the epoch.
  static constexpr std::uint64_t kReadsPerFullRead = 10;
  // Maximum number of reads in progress. An unanswered read ends after ten
  // seconds; further reads in the meantime detect within a second that the
  // table is back.
  static constexpr std::size_t kMaxReadsInProgress = 16;
  // Two requests of 170 bytes per 300 ms, and as many answers of 280 bytes,
  // make 3 KB/s per node.
  static constexpr DurationUs kGossipPeriod = 300 * kMillisecond;
  static constexpr std::size_t kGossipFanout = 2;
  static constexpr DurationUs kPullTimeout = kSecond;
  static constexpr std::size_t kMaxPullsInProgress = 2;
  static constexpr std::size_t kMaxPullPartBytes = 1 << 20;

  SettingsSync(NodeId node,
               std::vector<NodeId> peers,
               TimeUs started,
               SettingsSyncOutput* output,
               Random* random,
               Metrics* metrics);

  void OnTick(TimeUs now);
  void OnTableAnswer(TimeUs now, StoreTicket ticket, const StoreAnswer& answer);
  // Handles a gossip request or answer of another entry.
  void OnHeartbeat(TimeUs now, const NodeId& from, const Heartbeat& heartbeat);
  void OnPull(TimeUs now, const NodeId& from, const SettingsPull& pull);
  void OnBodies(TimeUs now, const NodeId& from, const SettingsBodies& bodies);

  SettingsDigest Digest(TimeUs now) const;
  bool IsCurrent(TimeUs now) const override;
  // Number of witnesses that had the same or a later tree in their last
  // message.
  std::size_t Holders() const;
  std::size_t Witnesses() const { return witnesses_.size(); }
  const SettingsPtr& settings() const { return settings_; }
  std::vector<NodeId> Peers() const;
  // Age of the newest proof that the settings are in force; `kNever` without
  // one.
  DurationUs ProofAge(TimeUs now) const;

 private:
  static constexpr TimeUs kNoTime = -1;

  struct Peer {
    std::uint64_t hash = 0;
    std::uint64_t sum = 0;
  };
  // A gossip request or pull in progress. An answer to an expired one is
  // ignored.
  struct PendingRequest {
    NodeId peer;
    TimeUs sent_at = 0;
  };

  void Read(TimeUs now);
  void Gossip(TimeUs now);
  void Pull(TimeUs now, const NodeId& peer);
  void ApplyRows(TimeUs now, const std::vector<StoreRow>& rows);
  // Adopts the peer's proofs. Called only while this node's versions include
  // all of the peer's.
  void MergeProofs(const NodeId& peer,
                   TimeUs requested_at,
                   const SettingsDigest& digest);
  bool Apply(TimeUs now, const std::vector<BranchBody>& bodies);
  void UpdatePeers();
  void ExpireRequests(TimeUs now);
  void ChooseWitnesses();
  void UpdateEstablished();
  // Latest time at which more than half of the witnesses had no newer version.
  TimeUs WitnessedAt(TimeUs now) const;

  const NodeId node_;
  const TimeUs started_;
  SettingsSyncOutput* const output_;
  Random* const random_;
  Metrics* const metrics_;

  SettingsPtr settings_ = std::make_shared<Settings>();
  std::uint64_t tree_hash_ = 0;
  std::uint64_t version_sum_ = 0;
  bool members_from_settings_ = false;
  std::map<NodeId, Peer, std::less<>> peers_;
  // By hash of the witness: latest time at which it is known to have had no
  // newer version.
  std::map<std::uint64_t, TimeUs> witnesses_;
  bool is_reader_ = false;
  bool established_ = false;
  TimeUs proof_time_ = kNoTime;
  // Version of the epoch row with which `settings_` was read.
  std::uint64_t epoch_ = 0;
  std::uint64_t epoch_reads_ = 0;
  TimeUs next_read_ = 0;
  TimeUs next_gossip_ = 0;
  DurationUs self_read_age_ = 0;
  std::map<StoreTicket, TimeUs> reads_;
  std::map<std::uint64_t, PendingRequest> gossip_requests_;
  std::map<std::uint64_t, PendingRequest> pulls_;
  StoreTicket next_ticket_ = 1;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_SYNC_H_
