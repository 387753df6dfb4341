// Keeps an entry's settings tree in step with the platform's table and with
// the other entries, and tells whether the entry can show that it is current.
//
// Load pattern: 380 entries and 1,100 changes a day, each in force everywhere
// within 5 s. If every entry polled the table each second, 380 of its 2,000
// reads a second would be gone; here three read it, and the others learn by
// asking a few random peers (an epidemic) and pull bodies over TCP. Whoever
// has heard nothing fresh for 2 to 3 s reads for itself, so no election is
// needed and the loss of all three readers costs two seconds.
//
// A node is current when it has, younger than `kMaxSettingsAge`, one of
//   - a read of the table, its own or a peer's, that its versions include;
//   - more than half of the witnesses (up to seven entries, the same ones for
//     all) that had nothing newer than it has.
// A change counts as accepted once the table and more than half of the
// witnesses have it (`Holders`). The two halves share a witness, so a cut node
// is never current without the change, and an outage of the table, in which
// witnesses answer from memory, stops no one. A process that starts has
// forgotten what it held: it serves and counts as a witness only once it is
// established, by a read of the table or by so many other witnesses that one of
// them holds whatever was accepted with its predecessor's help. Ages count from
// before a question was sent, by the asker's clock alone, so that neither a
// pause nor a slow network makes an old answer look fresh.
// docs/design/040-settings.md weighs the ways.
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

// What the decisions ask of their driver.
class SettingsSyncOutput {
 public:
  virtual ~SettingsSyncOutput() = default;
  // Sends a heartbeat with this sequence number and the current digest.
  virtual void Ask(const NodeId& peer, std::uint64_t sequence) = 0;
  virtual void SendSettings(const NodeId& peer, const Message& message) = 0;
  virtual void ReadTable(StoreTicket ticket, std::vector<StoreOp> ops) = 0;
  // A branch that does not parse is passed over; its version stays unknown.
  virtual void OnBranchRefused(std::string_view error) = 0;
  virtual void OnApplied(const SettingsPtr& settings) = 0;
};

class SettingsSync : public SettingsFreshness {
 public:
  // Half a second below the promised 5 s: one gossip period, and the time in
  // which a request that was just admitted is handed over.
  static constexpr DurationUs kMaxSettingsAge = 4500 * kMillisecond;
  static constexpr int kReaders = 3;
  static constexpr DurationUs kReadPeriod = kSecond;
  // Without news for this long, plus up to as much again, an entry reads for
  // itself; twice this and a read still fit into the bound.
  static constexpr DurationUs kSelfReadAge = 1500 * kMillisecond;
  // Survives the loss of three; their ages add 112 bytes to an answer.
  static constexpr std::size_t kWitnesses = 7;
  // Most reads take only the epoch row; every tenth takes the branches as well
  // and so finds a row that was written without moving the epoch.
  static constexpr std::uint64_t kFullReadEvery = 10;
  // In progress at once: a silent read ends after ten seconds, and the next
  // ones still find out within a second that the table is back.
  static constexpr std::size_t kMaxReads = 16;
  // Two questions of 170 bytes each 300 ms, and as many answers of 280, are
  // 3 KB/s a node.
  static constexpr DurationUs kGossipPeriod = 300 * kMillisecond;
  static constexpr std::size_t kFanout = 2;
  static constexpr DurationUs kPullPatience = kSecond;
  static constexpr std::size_t kMaxPulls = 2;
  static constexpr std::size_t kMaxPartBytes = 1 << 20;

  SettingsSync(NodeId node,
               std::vector<NodeId> peers,
               TimeUs started,
               SettingsSyncOutput* output,
               Random* random,
               Metrics* metrics);

  void OnTick(TimeUs now);
  void OnTableAnswer(TimeUs now, StoreTicket ticket, const StoreAnswer& answer);
  // A question or an answer of another entry.
  void OnHeartbeat(TimeUs now, const NodeId& from, const Heartbeat& heartbeat);
  void OnPull(TimeUs now, const NodeId& from, const SettingsPull& pull);
  void OnBodies(TimeUs now, const NodeId& from, const SettingsBodies& bodies);

  SettingsDigest Digest(TimeUs now) const;
  bool IsCurrent(TimeUs now) const override;
  // Witnesses that showed the same or a later tree when last heard.
  std::size_t Holders() const;
  std::size_t Witnesses() const { return witnesses_.size(); }
  const SettingsPtr& settings() const { return settings_; }
  std::vector<NodeId> Peers() const;
  // Age of what makes the node current; `kNever` without any.
  DurationUs ProofAge(TimeUs now) const;

 private:
  static constexpr TimeUs kNoTime = -1;

  struct Peer {
    std::uint64_t hash = 0;
    std::uint64_t sum = 0;
  };
  // A question in progress. An answer to one that was dropped is ignored.
  struct Question {
    NodeId peer;
    TimeUs sent_at = 0;
  };

  void Read(TimeUs now);
  void Gossip(TimeUs now);
  void Pull(TimeUs now, const NodeId& peer);
  void TakeRows(TimeUs now, const std::vector<StoreRow>& rows);
  // Only while this node's versions include all that the peer's do.
  void TakeProofs(const NodeId& peer,
                  TimeUs asked_at,
                  const SettingsDigest& digest);
  bool Apply(TimeUs now, const std::vector<BranchBody>& bodies);
  void SetMembers();
  void ExpireQuestions(TimeUs now);
  void ChooseWitnesses();
  void Establish();
  // The moment until which more than half of the witnesses had nothing newer.
  TimeUs WitnessedAt(TimeUs now) const;

  const NodeId node_;
  const TimeUs started_;
  SettingsSyncOutput* const output_;
  Random* const random_;
  Metrics* const metrics_;

  SettingsPtr settings_ = std::make_shared<Settings>();
  std::uint64_t hash_ = 0;
  std::uint64_t sum_ = 0;
  bool members_from_settings_ = false;
  std::map<NodeId, Peer, std::less<>> peers_;
  // Hash of a witness, and when it is known to have had nothing newer.
  std::map<std::uint64_t, TimeUs> witnesses_;
  bool is_reader_ = false;
  bool established_ = false;
  TimeUs proved_at_ = kNoTime;
  std::uint64_t epoch_ = 0;  // Row that `settings_` was read under.
  std::uint64_t epoch_reads_ = 0;
  TimeUs next_read_ = 0;
  TimeUs next_gossip_ = 0;
  DurationUs self_read_age_ = 0;
  std::map<StoreTicket, TimeUs> reads_;
  std::map<std::uint64_t, Question> questions_;
  std::map<std::uint64_t, Question> pulls_;
  StoreTicket next_ticket_ = 1;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_SYNC_H_
