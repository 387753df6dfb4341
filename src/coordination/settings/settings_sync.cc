#include "coordination/settings/settings_sync.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "coordination/settings/settings_write.h"

namespace acaciachute {
namespace {

// A question never outlives `kMaxSettingsAge`: its answer would prove nothing.
constexpr DurationUs kQuestionLife = SettingsSync::kMaxSettingsAge;

std::uint64_t HashOf(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Jitter keeps processes that started together from reading together.
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
  self_read_age_ =
      kSelfReadAge + static_cast<DurationUs>(random_->Below(kSelfReadAge));
}

void SettingsSync::OnTick(TimeUs now) {
  ExpireQuestions(now);
  const DurationUs age = AgeOf(now, proved_at_);
  const bool due = is_reader_ || age == kNever || age > self_read_age_;
  if (due && now >= next_read_ && reads_.size() < kMaxReads) {
    Read(now);
  }
  if (now >= next_gossip_) {
    next_gossip_ = now + Jittered(random_, kGossipPeriod);
    Gossip(now);
  }
}

void SettingsSync::Read(TimeUs now) {
  next_read_ = now + Jittered(random_, kReadPeriod);
  const StoreTicket ticket = next_ticket_++;
  reads_[ticket] = now;
  std::vector<StoreOp> ops = {
      {StoreOpKind::kRead, std::string(kSettingsEpochKey), "", 0}};
  if (epoch_ == 0 || ++epoch_reads_ % kFullReadEvery == 0) {
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
    // A change: read the branches now. Only that read proves anything.
    epoch_ = 0;
    Read(now);
    return;
  }
  if (answer.rows.size() > 1) {
    epoch_ = std::max(epoch_, epoch);
    TakeRows(now, answer.rows);
  }
  proved_at_ = std::max(proved_at_, sent_at);
  Establish();
}

void SettingsSync::TakeRows(TimeUs now, const std::vector<StoreRow>& rows) {
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
    // Null when the version would go down, which it never does.
    if (auto with = next->With(*std::move(branch))) {
      next = std::move(with);
    }
  }
  if (next == settings_) {
    return false;
  }
  settings_ = std::move(next);
  hash_ = 0;
  sum_ = 0;
  for (const auto& [name, branch] : settings_->branches()) {
    hash_ = HashOf(name, hash_ + branch.version);
    sum_ += branch.version;
  }
  SetMembers();
  metrics_->Count("acaciachute_settings_applied_total");
  output_->OnApplied(settings_);
  Gossip(now);  // A change is news: tell it before the next round.
  return true;
}

void SettingsSync::SetMembers() {
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

// The same at every node that knows the same entries.
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
  std::vector<NodeId> open = Peers();
  for (std::size_t n = 0; n < kFanout && !open.empty(); ++n) {
    std::swap(open[random_->Below(open.size())], open.back());
    const std::uint64_t sequence = next_sequence_++;
    questions_[sequence] = {open.back(), now};
    output_->Ask(open.back(), sequence);
    open.pop_back();
  }
}

void SettingsSync::ExpireQuestions(TimeUs now) {
  while (!questions_.empty() &&
         questions_.begin()->second.sent_at + kQuestionLife < now) {
    questions_.erase(questions_.begin());
  }
  std::erase_if(pulls_, [now](const auto& it) {
    return it.second.sent_at + kPullPatience < now;
  });
}

void SettingsSync::OnHeartbeat(TimeUs now,
                               const NodeId& from,
                               const Heartbeat& heartbeat) {
  if (from == node_ ||
      (members_from_settings_ && peers_.find(from) == peers_.end())) {
    return;
  }
  // Never forgotten while the settings name no entries: a node that dropped
  // silent peers would be a majority of one as soon as it is cut.
  if (peers_.find(from) == peers_.end()) {
    peers_[from];
    ChooseWitnesses();
  }
  Peer& peer = peers_[from];
  peer.hash = heartbeat.settings.hash;
  peer.sum = heartbeat.settings.sum;
  const auto it = questions_.find(heartbeat.reply_to);
  if (it != questions_.end() && it->second.peer == from) {
    const TimeUs asked_at = it->second.sent_at;
    questions_.erase(it);
    if (peer.hash == hash_) {
      TakeProofs(from, asked_at, heartbeat.settings);
    }
  }
  // The one with the smaller sum asks; with equal sums both do.
  if (peer.hash != hash_ && peer.sum >= sum_) {
    Pull(now, from);
  }
}

void SettingsSync::Pull(TimeUs now, const NodeId& peer) {
  const bool asked =
      std::any_of(pulls_.begin(), pulls_.end(),
                  [&](const auto& it) { return it.second.peer == peer; });
  if (asked || pulls_.size() >= kMaxPulls) {
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
    if (bytes > 0 && bytes + branch.json.size() > kMaxPartBytes) {
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
  // All that the peer had is here, so its proofs hold for this node too.
  TakeProofs(from, it->second.sent_at, bodies.digest);
  pulls_.erase(it);
}

void SettingsSync::TakeProofs(const NodeId& peer,
                              TimeUs asked_at,
                              const SettingsDigest& digest) {
  if (digest.proof_age >= 0) {
    proved_at_ = std::max(proved_at_, asked_at - digest.proof_age);
  }
  const auto witnessed = [&](std::uint64_t witness, TimeUs at) {
    const auto it = witnesses_.find(witness);
    if (it != witnesses_.end()) {
      it->second = std::max(it->second, at);
    }
  };
  if (digest.established) {
    witnessed(HashOf(peer, 0), asked_at);
  }
  for (const auto& it : digest.witnesses) {
    witnessed(it.witness, asked_at - std::max<DurationUs>(0, it.age));
  }
  Establish();
}

// Failure: a witness restarts, forgets a change that it helped to accept, and
// makes up a majority with another that never had it. Symptom: the accepted
// change reverts. Of n witnesses at least n/2 (rounded down) others hold what
// was accepted, so half of n, rounded up, of the others have one among them.
void SettingsSync::Establish() {
  if (established_) {
    return;
  }
  const std::uint64_t own = HashOf(node_, 0);
  const auto others = static_cast<std::size_t>(
      std::count_if(witnesses_.begin(), witnesses_.end(), [&](const auto& it) {
        return it.first != own && it.second >= started_;
      }));
  const std::size_t needed = (witnesses_.size() + 1) / 2;
  established_ = proved_at_ >= started_ || others >= needed;
}

SettingsDigest SettingsSync::Digest(TimeUs now) const {
  SettingsDigest digest;
  digest.hash = hash_;
  digest.sum = sum_;
  digest.proof_age = AgeOf(now, proved_at_);
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
  return AgeOf(now, std::max(proved_at_, WitnessedAt(now)));
}

// Failure: a node is cut off, or paused and woken, while a change is accepted.
// Symptom: it serves under the old version for as long as the cut lasts. It
// takes no new work without a proof younger than the bound.
bool SettingsSync::IsCurrent(TimeUs now) const {
  const TimeUs at = std::max(proved_at_, WitnessedAt(now));
  return established_ && now - at <= kMaxSettingsAge &&
         !settings_->branches().empty();
}

std::size_t SettingsSync::Holders() const {
  std::size_t holders = witnesses_.contains(HashOf(node_, 0)) ? 1 : 0;
  for (const auto& [name, peer] : peers_) {
    const bool holds = peer.hash == hash_ || peer.sum > sum_;
    holders += holds && witnesses_.contains(HashOf(name, 0)) ? 1 : 0;
  }
  return holders;
}

}  // namespace acaciachute
