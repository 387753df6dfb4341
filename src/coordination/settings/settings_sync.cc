#include "coordination/settings/settings_sync.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "coordination/settings/settings_write.h"

namespace acaciachute {
namespace {

// A gossip request expires after the maximum age of settings, because its
// answer could then no longer prove that they are in force.
constexpr DurationUs kGossipRequestTimeout = SettingsSync::kMaxSettingsAge;

std::uint64_t HashOf(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Spreads the reads of processes that started together.
DurationUs Jittered(Random* random, DurationUs period) {
  return period * 3 / 4 + static_cast<DurationUs>(random->Below(period / 2));
}

DurationUs AgeOf(TimeUs now, TimeUs at) {
  return at < 0 ? kNever : std::max<DurationUs>(0, now - at);
}

}  // namespace

SettingsSync::SettingsSync(NodeId node,
                           std::vector<NodeId> peers,
                           TimeUs started,
                           SettingsSyncOutput* output,
                           Random* random,
                           Metrics* metrics)
    : node_(std::move(node)),
      started_(started),
      output_(output),
      random_(random),
      metrics_(metrics) {
  for (auto& it : peers) {
    if (it != node_) {
      peers_[std::move(it)];
    }
  }
  ChooseWitnesses();
  self_read_age_ = kMinSelfReadAge +
                   static_cast<DurationUs>(random_->Below(kMinSelfReadAge));
}

void SettingsSync::OnTick(TimeUs now) {
  ExpireRequests(now);
  const DurationUs age = AgeOf(now, proof_time_);
  const bool due = is_reader_ || age == kNever || age > self_read_age_;
  if (due && now >= next_read_ && reads_.size() < kMaxReadsInProgress) {
    Read(now);
  }
  if (now >= next_gossip_) {
    next_gossip_ = now + Jittered(random_, kGossipPeriod);
    Gossip(now);
  }
}

void SettingsSync::Read(TimeUs now) {
  next_read_ = now + Jittered(random_, kTableReadPeriod);
  const StoreTicket ticket = next_ticket_++;
  reads_[ticket] = now;
  std::vector<StoreOp> ops = {
      {StoreOpKind::kRead, std::string(kSettingsEpochKey), "", 0}};
  if (epoch_ == 0 || ++epoch_reads_ % kReadsPerFullRead == 0) {
    ops.push_back({StoreOpKind::kScan, std::string(kSettingsPrefix), "", 0});
  }
  metrics_->Count("acaciachute_settings_reads_total");
  output_->ReadTable(ticket, std::move(ops));
}

void SettingsSync::OnTableAnswer(TimeUs now,
                                 StoreTicket ticket,
                                 const StoreAnswer& answer) {
  const auto it = reads_.find(ticket);
  if (it == reads_.end()) {
    return;
  }
  const TimeUs sent_at = it->second;
  reads_.erase(it);
  if (answer.status != StoreStatus::kOk || answer.rows.empty()) {
    metrics_->Count("acaciachute_settings_read_failures_total");
    return;
  }
  const std::uint64_t epoch = answer.rows[0].version;
  if (answer.rows.size() == 1 && epoch != epoch_) {
    // The epoch changed: the branches are read now, and only that read is a
    // proof.
    epoch_ = 0;
    Read(now);
    return;
  }
  if (answer.rows.size() > 1) {
    epoch_ = std::max(epoch_, epoch);
    ApplyRows(now, answer.rows);
  }
  proof_time_ = std::max(proof_time_, sent_at);
  UpdateEstablished();
}

void SettingsSync::ApplyRows(TimeUs now, const std::vector<StoreRow>& rows) {
  std::vector<BranchBody> bodies;
  for (const auto& row : rows) {
    if (row.key.starts_with(kSettingsPrefix)) {
      bodies.push_back(
          {row.key.substr(kSettingsPrefix.size()), row.version, row.value});
    }
  }
  Apply(now, bodies);
}

bool SettingsSync::Apply(TimeUs now, const std::vector<BranchBody>& bodies) {
  SettingsPtr next = settings_;
  for (const auto& it : bodies) {
    const Branch* old = next->FindBranch(it.branch);
    if (old != nullptr && old->version >= it.version) {
      continue;
    }
    auto branch = ParseBranch(it.branch, it.version, it.json);
    if (!branch.ok()) {
      metrics_->Count("acaciachute_settings_refused_total");
      output_->OnBranchRefused(std::string(branch.status().message()));
      continue;
    }
    // Null if the version is not newer; versions never decrease.
    if (auto updated = next->With(*std::move(branch))) {
      next = std::move(updated);
    }
  }
  if (next == settings_) {
    return false;
  }
  settings_ = std::move(next);
  tree_hash_ = 0;
  version_sum_ = 0;
  for (const auto& [name, branch] : settings_->branches()) {
    tree_hash_ = HashOf(name, tree_hash_ + branch.version);
    version_sum_ += branch.version;
  }
  UpdatePeers();
  metrics_->Count("acaciachute_settings_applied_total");
  output_->OnApplied(settings_);
  Gossip(now);  // Sends the change at once instead of in the next gossip round.
  return true;
}

void SettingsSync::UpdatePeers() {
  std::map<NodeId, Peer, std::less<>> next;
  for (const auto& [unused, branch] : settings_->branches()) {
    for (const auto& it : branch.entries) {
      next[it.node] = peers_[it.node];
    }
  }
  members_from_settings_ = !next.empty();
  if (members_from_settings_) {
    next.erase(node_);
    peers_ = std::move(next);
    ChooseWitnesses();
  }
}

// Gives the same result at every node that knows the same entries.
void SettingsSync::ChooseWitnesses() {
  std::vector<std::uint64_t> order = {HashOf(node_, 0)};
  for (const auto& [name, unused] : peers_) {
    order.push_back(HashOf(name, 0));
  }
  std::sort(order.begin(), order.end());
  is_reader_ = std::find(order.begin(), order.end(), HashOf(node_, 0)) <
               order.begin() + kReaders;
  order.resize(std::min(order.size(), kWitnesses));
  std::map<std::uint64_t, TimeUs> next;
  for (const std::uint64_t it : order) {
    const auto old = witnesses_.find(it);
    next[it] = old == witnesses_.end() ? kNoTime : old->second;
  }
  witnesses_ = std::move(next);
}

std::vector<NodeId> SettingsSync::Peers() const {
  std::vector<NodeId> names;
  names.reserve(peers_.size());
  for (const auto& [name, unused] : peers_) {
    names.push_back(name);
  }
  return names;
}

void SettingsSync::Gossip(TimeUs now) {
  std::vector<NodeId> candidates = Peers();
  for (std::size_t n = 0; n < kGossipFanout && !candidates.empty(); ++n) {
    std::swap(candidates[random_->Below(candidates.size())], candidates.back());
    const std::uint64_t sequence = next_sequence_++;
    gossip_requests_[sequence] = {candidates.back(), now};
    output_->Ask(candidates.back(), sequence);
    candidates.pop_back();
  }
}

void SettingsSync::ExpireRequests(TimeUs now) {
  while (!gossip_requests_.empty() &&
         gossip_requests_.begin()->second.sent_at + kGossipRequestTimeout <
             now) {
    gossip_requests_.erase(gossip_requests_.begin());
  }
  std::erase_if(pulls_, [now](const auto& it) {
    return it.second.sent_at + kPullTimeout < now;
  });
}

void SettingsSync::OnHeartbeat(TimeUs now,
                               const NodeId& from,
                               const Heartbeat& heartbeat) {
  if (from == node_ ||
      (members_from_settings_ && peers_.find(from) == peers_.end())) {
    return;
  }
  // While the settings name no entries, peers are never removed: a node that
  // removed unresponsive peers would form a majority of one in a partition.
  if (peers_.find(from) == peers_.end()) {
    peers_[from];
    ChooseWitnesses();
  }
  Peer& peer = peers_[from];
  peer.hash = heartbeat.settings.hash;
  peer.sum = heartbeat.settings.sum;
  const auto it = gossip_requests_.find(heartbeat.reply_to);
  if (it != gossip_requests_.end() && it->second.peer == from) {
    const TimeUs requested_at = it->second.sent_at;
    gossip_requests_.erase(it);
    if (peer.hash == tree_hash_) {
      MergeProofs(from, requested_at, heartbeat.settings);
    }
  }
  // The node with the smaller version sum pulls; with equal sums both do.
  if (peer.hash != tree_hash_ && peer.sum >= version_sum_) {
    Pull(now, from);
  }
}

void SettingsSync::Pull(TimeUs now, const NodeId& peer) {
  const bool already_pulling =
      std::any_of(pulls_.begin(), pulls_.end(),
                  [&](const auto& it) { return it.second.peer == peer; });
  if (already_pulling || pulls_.size() >= kMaxPullsInProgress) {
    return;
  }
  SettingsPull pull;
  pull.sequence = next_sequence_++;
  for (const auto& [name, branch] : settings_->branches()) {
    pull.known.push_back({name, branch.version});
  }
  pulls_[pull.sequence] = {peer, now};
  metrics_->Count("acaciachute_settings_pulls_total");
  output_->SendSettings(peer, pull);
}

void SettingsSync::OnPull(TimeUs now,
                          const NodeId& from,
                          const SettingsPull& pull) {
  std::map<std::string_view, SettingsVersion> known;
  for (const auto& it : pull.known) {
    known[it.branch] = it.version;
  }
  SettingsBodies part;
  part.reply_to = pull.sequence;
  std::size_t bytes = 0;
  for (const auto& [name, branch] : settings_->branches()) {
    if (known[name] >= branch.version) {
      continue;
    }
    if (bytes > 0 && bytes + branch.json.size() > kMaxPullPartBytes) {
      output_->SendSettings(from, part);
      part.bodies.clear();
      bytes = 0;
    }
    part.bodies.push_back({name, branch.version, branch.json});
    bytes += branch.json.size();
  }
  part.last = true;
  part.digest = Digest(now);
  output_->SendSettings(from, part);
}

void SettingsSync::OnBodies(TimeUs now,
                            const NodeId& from,
                            const SettingsBodies& bodies) {
  Apply(now, bodies.bodies);
  const auto it = pulls_.find(bodies.reply_to);
  if (!bodies.last || it == pulls_.end() || it->second.peer != from) {
    return;
  }
  // This node now has all branches of the peer, so the peer's proofs apply here
  // too.
  MergeProofs(from, it->second.sent_at, bodies.digest);
  pulls_.erase(it);
}

void SettingsSync::MergeProofs(const NodeId& peer,
                               TimeUs requested_at,
                               const SettingsDigest& digest) {
  if (digest.proof_age >= 0) {
    proof_time_ = std::max(proof_time_, requested_at - digest.proof_age);
  }
  const auto witnessed = [&](std::uint64_t witness, TimeUs at) {
    const auto it = witnesses_.find(witness);
    if (it != witnesses_.end()) {
      it->second = std::max(it->second, at);
    }
  };
  if (digest.established) {
    witnessed(HashOf(peer, 0), requested_at);
  }
  for (const auto& it : digest.witnesses) {
    witnessed(it.witness, requested_at - std::max<DurationUs>(0, it.age));
  }
  UpdateEstablished();
}

// Decides whether this process may serve and count as a witness after its
// start. A witness that restarts and forgets a change that it helped to accept
// could form a majority with one that never had it, and the accepted change
// would be reverted. Of n witnesses at least n/2 (rounded down) others hold
// what was accepted, so among n/2 (rounded up) others there is one of them.
void SettingsSync::UpdateEstablished() {
  if (established_) {
    return;
  }
  const std::uint64_t own = HashOf(node_, 0);
  const auto others = static_cast<std::size_t>(
      std::count_if(witnesses_.begin(), witnesses_.end(), [&](const auto& it) {
        return it.first != own && it.second >= started_;
      }));
  const std::size_t needed = (witnesses_.size() + 1) / 2;
  established_ = proof_time_ >= started_ || others >= needed;
}

SettingsDigest SettingsSync::Digest(TimeUs now) const {
  SettingsDigest digest;
  digest.hash = tree_hash_;
  digest.sum = version_sum_;
  digest.proof_age = AgeOf(now, proof_time_);
  digest.established = established_;
  for (const auto& [witness, at] : witnesses_) {
    if (at >= 0 && now - at <= kMaxSettingsAge) {
      digest.witnesses.push_back({witness, now - at});
    }
  }
  return digest;
}

TimeUs SettingsSync::WitnessedAt(TimeUs now) const {
  std::vector<TimeUs> times;
  for (const auto& [witness, at] : witnesses_) {
    times.push_back(witness == HashOf(node_, 0) ? now : at);
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[times.size() / 2];
}

DurationUs SettingsSync::ProofAge(TimeUs now) const {
  return AgeOf(now, std::max(proof_time_, WitnessedAt(now)));
}

// A node that is partitioned or suspended while a change is accepted would
// serve under the old version until the partition ends. So a node without a
// proof younger than the limit accepts no new work.
bool SettingsSync::IsCurrent(TimeUs now) const {
  const TimeUs at = std::max(proof_time_, WitnessedAt(now));
  return established_ && now - at <= kMaxSettingsAge &&
         !settings_->branches().empty();
}

std::size_t SettingsSync::Holders() const {
  std::size_t holders = witnesses_.contains(HashOf(node_, 0)) ? 1 : 0;
  for (const auto& [name, peer] : peers_) {
    const bool holds = peer.hash == tree_hash_ || peer.sum > version_sum_;
    holders += holds && witnesses_.contains(HashOf(name, 0)) ? 1 : 0;
  }
  return holders;
}

}  // namespace acaciachute
