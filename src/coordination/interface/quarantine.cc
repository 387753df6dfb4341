#include "coordination/interface/quarantine.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "state/claim.h"
#include "text.h"

namespace acaciachute {
namespace {

// Maximum number of crashes listed in a record; more do not help an operator.
constexpr std::size_t kMaxCrashesPerRecord = 4;

constexpr std::size_t kMaxAccountBytes = 64;

// Lifetime of a record by its state. A cleared record outlives every suspicion
// and conviction that it clears, so that a delayed copy of one cannot restore
// it.
constexpr std::array<DurationUs, kQuarantineStateNames.size()> kRecordLifetime =
    {Quarantine::kConvictionDuration, Quarantine::kSuspicionDuration,
     Quarantine::kConvictionDuration};

void AddIfAbsent(const NodeId& node, std::vector<NodeId>* nodes) {
  if (nodes->size() < kMaxCrashesPerRecord &&
      std::find(nodes->begin(), nodes->end(), node) == nodes->end()) {
    nodes->push_back(node);
  }
}

}  // namespace

std::uint64_t StageFingerprint(std::string_view account,
                               std::string_view body,
                               std::string_view pool) {
  // The size prefix separates account and pool unambiguously.
  return BodyHash(StrCat(account.size(), ":", account, pool), body) | 1;
}

std::string FingerprintText(std::uint64_t fingerprint) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[fingerprint >> shift & 0xf];
  }
  return text;
}

bool Quarantine::IsExpired(TimeUs now, const Entry& entry) {
  return now - entry.changed_at >=
         kRecordLifetime[static_cast<std::size_t>(entry.quarantine_state)];
}

QuarantineRecord Quarantine::ToRecord(TimeUs now,
                                      std::uint64_t fingerprint,
                                      const Entry& entry) {
  return {fingerprint,
          entry.epoch,
          entry.quarantine_state,
          now - entry.changed_at,
          entry.account,
          entry.crashed_at};
}

QuarantineState Quarantine::Of(TimeUs now, std::uint64_t fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() || IsExpired(now, it->second)
             ? QuarantineState::kClear
             : it->second.quarantine_state;
}

std::vector<NodeId> Quarantine::CrashedAt(std::uint64_t fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? std::vector<NodeId>() : it->second.crashed_at;
}

std::string Quarantine::Explain(std::uint64_t fingerprint) const {
  std::string text = StrCat("fingerprint ", FingerprintText(fingerprint),
                            " was in progress when upstreams died at");
  for (const NodeId& node : CrashedAt(fingerprint)) {
    text += StrCat(" ", node);
  }
  return text;
}

Quarantine::Entry& Quarantine::FindOrAdd(TimeUs now,
                                         std::uint64_t fingerprint) {
  const auto it = records_.find(fingerprint);
  if (it == records_.end()) {
    EvictIfFull(now);
  } else if (IsExpired(now, it->second)) {
    it->second = {};
  }
  Entry& entry = records_[fingerprint];
  entry.changed_at = now;
  return entry;
}

void Quarantine::OnCrash(TimeUs now,
                         const NodeId& node,
                         const std::vector<Suspect>& in_progress) {
  std::map<std::uint64_t, Suspect> distinct;
  for (const Suspect& it : in_progress) {
    distinct.emplace(it.fingerprint, it);
  }
  for (const auto& [fingerprint, suspect] : distinct) {
    if (fingerprint != 0) {
      AddCrash(now, node, suspect, /*alone=*/distinct.size() == 1);
    }
  }
}

void Quarantine::AddCrash(TimeUs now,
                          const NodeId& node,
                          const Suspect& suspect,
                          bool alone) {
  Entry& entry = FindOrAdd(now, suspect.fingerprint);
  const bool elsewhere =
      std::any_of(entry.crashed_at.begin(), entry.crashed_at.end(),
                  [&](const NodeId& it) { return it != node; });
  entry.quarantine_state = std::max(
      entry.quarantine_state, alone && elsewhere ? QuarantineState::kConvicted
                                                 : QuarantineState::kSuspect);
  entry.account = suspect.account.substr(0, kMaxAccountBytes);
  AddIfAbsent(node, &entry.crashed_at);
}

void Quarantine::Clear(TimeUs now, std::uint64_t fingerprint) {
  Entry& entry = FindOrAdd(now, fingerprint);
  ++entry.epoch;
  entry.quarantine_state = QuarantineState::kClear;
  entry.crashed_at.clear();
}

void Quarantine::OnAnsweredAlone(TimeUs now, std::uint64_t fingerprint) {
  if (Of(now, fingerprint) == QuarantineState::kSuspect) {
    Clear(now, fingerprint);
  }
}

bool Quarantine::Lift(TimeUs now, std::uint64_t fingerprint) {
  if (Of(now, fingerprint) == QuarantineState::kClear) {
    return false;
  }
  Clear(now, fingerprint);
  return true;
}

bool Quarantine::Merge(TimeUs now,
                       const std::vector<QuarantineRecord>& records) {
  bool changed = false;
  for (const QuarantineRecord& it : records) {
    if (it.quarantine_state > QuarantineState::kConvicted) {
      continue;  // A state that this build does not know.
    }
    const Entry theirs = {it.epoch, it.quarantine_state,
                          now - std::max<DurationUs>(0, it.age), it.account,
                          it.crashed_at};
    if (it.fingerprint == 0 || IsExpired(now, theirs)) {
      continue;
    }
    const auto ours = records_.find(it.fingerprint);
    if (ours == records_.end()) {
      EvictIfFull(now);
      records_[it.fingerprint] = theirs;
      changed = true;
      continue;
    }
    Entry& entry = ours->second;
    const auto rank = [](const Entry& e) {
      return std::tuple(e.epoch, e.quarantine_state);
    };
    if (rank(theirs) > rank(entry)) {
      entry = theirs;
      changed = true;
    } else if (rank(theirs) == rank(entry)) {
      entry.changed_at = std::max(entry.changed_at, theirs.changed_at);
      for (const NodeId& node : it.crashed_at) {
        AddIfAbsent(node, &entry.crashed_at);
      }
    }
  }
  return changed;
}

std::vector<QuarantineRecord> Quarantine::RecordsToSend(TimeUs now) {
  std::erase_if(records_,
                [now](const auto& it) { return IsExpired(now, it.second); });
  std::vector<QuarantineRecord> all;
  for (const auto& [fingerprint, entry] : records_) {
    all.push_back(ToRecord(now, fingerprint, entry));
  }
  if (all.size() <= kMaxRecordsPerHeartbeat) {
    return all;
  }
  const auto newest = [](const QuarantineRecord& a, const QuarantineRecord& b) {
    return a.age < b.age;
  };
  std::vector<QuarantineRecord> selected(kMaxRecordsPerHeartbeat / 2);
  std::partial_sort_copy(all.begin(), all.end(), selected.begin(),
                         selected.end(), newest);
  auto it = records_.upper_bound(last_rotated_);
  while (selected.size() < kMaxRecordsPerHeartbeat) {
    it = it == records_.end() ? records_.begin() : it;
    selected.push_back(ToRecord(now, it->first, it->second));
    last_rotated_ = it->first;
    ++it;
  }
  return selected;
}

std::vector<QuarantineRecord> Quarantine::RecordOf(
    TimeUs now,
    std::uint64_t fingerprint) const {
  const auto it = records_.find(fingerprint);
  if (it == records_.end() || IsExpired(now, it->second)) {
    return {};
  }
  return {ToRecord(now, fingerprint, it->second)};
}

std::vector<QuarantineRecord> Quarantine::All(TimeUs now) const {
  std::vector<QuarantineRecord> all;
  for (const auto& [fingerprint, entry] : records_) {
    if (Of(now, fingerprint) != QuarantineState::kClear) {
      all.push_back(ToRecord(now, fingerprint, entry));
    }
  }
  return all;
}

// Makes space for a new record: evicts a cleared one before a suspect, a
// suspect before a convicted one, and the oldest among equals.
void Quarantine::EvictIfFull(TimeUs now) {
  if (records_.size() < kMaxRecords) {
    return;
  }
  records_.erase(std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.quarantine_state, a.second.changed_at) <
               std::tie(b.second.quarantine_state, b.second.changed_at);
      }));
}

}  // namespace acaciachute
