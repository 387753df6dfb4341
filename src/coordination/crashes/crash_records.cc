#include "coordination/crashes/crash_records.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace acaciachute {
namespace {

// Counts a record in, or out of, the number of records by account.
void CountIn(std::map<std::string, std::size_t>* counts,
             const std::string& account) {
  ++(*counts)[account];
}
void CountOut(std::map<std::string, std::size_t>* counts,
              const std::string& account) {
  const auto it = counts->find(account);
  if (it != counts->end() && --it->second == 0) {
    counts->erase(it);
  }
}

}  // namespace

TimeUs CrashRecords::Record::LastEnd() const {
  return std::max_element(ends.begin(), ends.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.ended_at < b.second.ended_at;
                          })
      ->second.ended_at;
}

void CrashRecords::Judge() const {
  if (std::exchange(judged_, true)) {
    return;
  }
  std::vector<JudgedCause> causes;
  causes.reserve(records_.size());
  for (const auto& [cause, record] : records_) {
    JudgedCause& it = causes.emplace_back();
    it.kind = cause.kind;
    it.cleared_before = record.cleared_at.has_value();
    for (const auto& [replica, run] : record.ends) {
      if (record.Stands(run)) {
        it.ends.emplace_back(replica, run);
      }
    }
  }
  JudgeCauses(&causes);
  blocked_parts_ = 0;
  auto judged = causes.begin();
  for (auto& [cause, record] : records_) {
    const JudgedCause& it = *judged++;
    record.standing = it.ends.size();
    record.has_too_many = it.has_too_many;
    record.counted = it.counted;
    record.rivals = it.rivals;
    record.decided_at = it.decided_at;
    record.state = {it.blocked, it.doubtful};
    blocked_parts_ += it.blocked && it.kind == CauseKind::kPromptPart;
  }
}

CrashRecords::Verdict CrashRecords::Of(TimeUs now,
                                       const CrashCause& cause) const {
  Verdict verdict;
  const auto it = records_.find(cause);
  if (it == records_.end() || IsExpired(now, cause.kind, it->second)) {
    return verdict;
  }
  Judge();
  const Record& record = it->second;
  const CauseLimits limits = LimitsOf(cause.kind);
  verdict.ends = record.counted;
  verdict.cleared_before = record.cleared_at.has_value();
  verdict.last_end_age = now - record.LastEnd();
  verdict.doubtful = record.state.doubtful;
  verdict.rivals = record.rivals;
  verdict.decided_age = now - record.decided_at;
  verdict.blocked = record.state.blocked;
  if (limits.block_duration != kNever) {
    verdict.blocked_for =
        std::max<DurationUs>(0, limits.block_duration - verdict.last_end_age);
    verdict.blocked = verdict.blocked && verdict.blocked_for > 0;
  }
  return verdict;
}

bool CrashRecords::IsExpired(TimeUs now,
                             CauseKind kind,
                             const Record& record) const {
  Judge();
  const DurationUs lifetime =
      record.has_too_many ? LimitsOf(kind).blocked_lifetime : kLifetime;
  const TimeUs last = record.LastEnd();
  return lifetime != kNever &&
         now - std::max(last, record.cleared_at.value_or(last)) > lifetime;
}

std::uint64_t CrashRecords::ClearedKey(const CrashCause& cause) {
  return XXH3_64bits_withSeed(cause.id.data(), cause.id.size(),
                              static_cast<XXH64_hash_t>(cause.kind));
}

std::optional<TimeUs> CrashRecords::LastCleared(const CrashCause& cause) const {
  const std::uint64_t key = ClearedKey(cause);
  for (const Cleared* it : {&cleared_, &older_cleared_}) {
    if (const auto cleared = it->find(key); cleared != it->end()) {
      return cleared->second;
    }
  }
  return std::nullopt;
}

bool CrashRecords::WasCleared(const CrashCause& cause) const {
  const auto it = records_.find(cause);
  return (it != records_.end() && it->second.cleared_at) ||
         LastCleared(cause).has_value();
}

CrashRecords::Record& CrashRecords::FindOrAdd(TimeUs now,
                                              const CrashCause& cause,
                                              const std::string& account) {
  judged_ = false;
  const auto it = records_.find(cause);
  if (it != records_.end()) {
    return it->second;
  }
  if (records_.size() >= kMaxRecords) {
    RemoveExpired(now);
    EvictIfFull();
  }
  CountIn(&accounts_, account);
  if (cause.kind == CauseKind::kRequest) {
    CountIn(&requests_, account);
  }
  Record& record = records_[cause];
  record.account = account;
  record.cleared_at = LastCleared(cause);
  judged_ = false;  // Removing others may have judged the rest.
  return record;
}

void CrashRecords::AddEnd(Record* record,
                          const ReplicaId& replica,
                          const EndedRun& run) {
  const auto [it, inserted] = record->ends.try_emplace(replica, run);
  // Of several reports of one end, the first tells best when it was; of several
  // runs there, the last one counts.
  it->second.ended_at = std::min(it->second.ended_at, run.ended_at);
  it->second.began_at = std::max(it->second.began_at, run.began_at);
  it->second.tried = it->second.tried || run.tried;
  if (record->ends.size() > kMaxEndsKept) {
    record->ends.erase(
        std::min_element(record->ends.begin(), record->ends.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.ended_at < b.second.ended_at;
                         }));
  }
}

std::vector<CrashCause> CrashRecords::OnReplicaEnded(
    TimeUs now,
    const ReplicaId& replica,
    const std::vector<Suspect>& suspects) {
  std::vector<CrashCause> added;
  for (const Suspect& it : suspects) {
    Record& record = FindOrAdd(now, it.cause, it.account);
    if (!record.ends.contains(replica)) {
      added.push_back(it.cause);
    }
    AddEnd(&record, replica, it.run);
    record.saw_end = true;
  }
  return added;
}

bool CrashRecords::OnCleared(TimeUs now, const CrashCause& cause) {
  if (cleared_.size() >= kMaxClearedKept) {
    older_cleared_ = std::exchange(cleared_, {});
  }
  cleared_[ClearedKey(cause)] = now;
  const auto it = records_.find(cause);
  if (it == records_.end()) {
    return false;
  }
  Judge();
  Record& record = it->second;
  const bool takes_back = record.standing > 0 && record.told;
  record.cleared_at = now;
  judged_ = false;
  return takes_back;
}

std::vector<CrashCause> CrashRecords::Merge(TimeUs now,
                                            const CrashReport& report) {
  const auto at = [now](DurationUs age) {
    return now - std::max<DurationUs>(0, age);
  };
  Judge();
  std::map<CrashCause, std::size_t> before;
  const auto clear = [&](Record* record, TimeUs cleared_at) {
    record->cleared_at =
        std::max(cleared_at, record->cleared_at.value_or(cleared_at));
  };
  for (const CrashEnd& end : report.ends) {
    for (const CrashSuspect& it : end.suspects) {
      const auto known = records_.find(it.cause);
      before.emplace(it.cause,
                     known == records_.end() ? 0 : known->second.standing);
      Record& record = FindOrAdd(now, it.cause, it.account);
      record.told = true;
      if (it.cleared_age != kNever) {
        clear(&record, at(it.cleared_age));
      }
      AddEnd(&record, {end.replica, end.incarnation},
             {at(it.began_age), at(end.age), it.tried});
    }
  }
  for (const ClearedCause& it : report.cleared) {
    const auto known = records_.find(it.cause);
    if (known != records_.end()) {
      before.emplace(it.cause, known->second.standing);
      clear(&known->second, at(it.age));
      judged_ = false;
    }
  }
  Judge();
  std::vector<CrashCause> changed;
  for (const auto& [cause, standing] : before) {
    const auto it = records_.find(cause);
    if (it != records_.end() && it->second.standing != standing) {
      changed.push_back(cause);
    }
  }
  return changed;
}

std::vector<CrashCause> CrashRecords::TakeVerdictChanges() {
  Judge();
  std::vector<CrashCause> changed;
  for (auto& [cause, record] : records_) {
    if (!(record.state == record.reported_state)) {
      record.reported_state = record.state;
      changed.push_back(cause);
    }
  }
  return changed;
}

bool CrashRecords::IsStored(TimeUs now, const CrashCause& cause) const {
  const Verdict verdict = Of(now, cause);
  return verdict.blocked ||
         (cause.kind == CauseKind::kRequest && !verdict.cleared_before &&
          verdict.ends >= kMinEndsStored);
}

std::vector<CrashCause> CrashRecords::TakeStoreChanges(TimeUs now) {
  Judge();
  std::vector<CrashCause> changed;
  for (auto& [cause, record] : records_) {
    if (cause.kind != CauseKind::kRequest ||
        (record.counted < kMinEndsStored && record.stored_ends == 0)) {
      continue;
    }
    const std::size_t ends = IsStored(now, cause) ? record.counted : 0;
    if (std::exchange(record.stored_ends, ends) != ends && record.saw_end) {
      changed.push_back(cause);
    }
  }
  return changed;
}

bool CrashRecords::SawEnd(const CrashCause& cause) const {
  const auto it = records_.find(cause);
  return it != records_.end() && it->second.saw_end;
}

bool CrashRecords::Stands(const ReplicaId& replica,
                          const CrashCause& cause) const {
  const auto it = records_.find(cause);
  if (it == records_.end()) {
    return false;
  }
  const auto end = it->second.ends.find(replica);
  return end != it->second.ends.end() && it->second.Stands(end->second);
}

std::string CrashRecords::AccountOf(const CrashCause& cause) const {
  const auto it = records_.find(cause);
  return it == records_.end() ? std::string() : it->second.account;
}

CrashReport CrashRecords::Report(TimeUs now,
                                 const std::vector<CrashCause>& causes) {
  std::map<ReplicaId, CrashEnd> ends;
  CrashReport report;
  for (const CrashCause& cause : causes) {
    const auto found = records_.find(cause);
    if (found == records_.end()) {
      continue;
    }
    Record& record = found->second;
    record.told = true;
    std::vector<std::pair<TimeUs, ReplicaId>> latest;
    for (const auto& [replica, run] : record.ends) {
      latest.emplace_back(run.ended_at, replica);
    }
    std::sort(latest.rbegin(), latest.rend());
    latest.resize(std::min(latest.size(), kMaxEndsReported));
    for (const auto& [ended_at, replica] : latest) {
      CrashEnd& end = ends[replica];
      end.replica = replica.name;
      end.incarnation = replica.incarnation;
      end.age = std::max(end.age, now - ended_at);
      end.suspects.push_back(
          {cause, record.account, now - record.ends.at(replica).began_at,
           record.cleared_at ? now - *record.cleared_at : kNever,
           record.ends.at(replica).tried});
    }
  }
  for (auto& [replica, end] : ends) {
    report.ends.push_back(std::move(end));
  }
  return report;
}

CrashReport CrashRecords::Report(TimeUs now,
                                 const ReplicaId& replica,
                                 const std::vector<CrashCause>& suspects) {
  CrashEnd end = {replica.name, replica.incarnation, 0, {}};
  for (const CrashCause& cause : suspects) {
    const auto it = records_.find(cause);
    if (it == records_.end() || !it->second.ends.contains(replica)) {
      continue;
    }
    Record& record = it->second;
    const EndedRun& run = record.ends.at(replica);
    record.told = true;
    end.age = std::max(end.age, now - run.ended_at);
    end.suspects.push_back(
        {cause, record.account, now - run.began_at,
         record.cleared_at ? now - *record.cleared_at : kNever, run.tried});
  }
  return end.suspects.empty() ? CrashReport() : CrashReport{{end}, {}};
}

std::vector<CrashCause> CrashRecords::Some(TimeUs now,
                                           std::size_t first,
                                           std::size_t count) const {
  std::vector<std::tuple<bool, TimeUs, CrashCause>> order;
  order.reserve(records_.size());
  for (const auto& [cause, record] : records_) {
    if (!IsExpired(now, cause.kind, record)) {
      order.emplace_back(record.has_too_many, record.LastEnd(), cause);
    }
  }
  std::sort(order.rbegin(), order.rend());
  std::vector<CrashCause> some;
  for (std::size_t n = 0; n < std::min(count, order.size()); ++n) {
    some.push_back(std::get<CrashCause>(order[(first + n) % order.size()]));
  }
  return some;
}

void CrashRecords::Erase(const CrashCause& cause) {
  const auto it = records_.find(cause);
  CountOut(&accounts_, it->second.account);
  if (cause.kind == CauseKind::kRequest) {
    CountOut(&requests_, it->second.account);
  }
  records_.erase(it);
  judged_ = false;
}

void CrashRecords::RemoveExpired(TimeUs now) {
  std::vector<CrashCause> expired;
  for (const auto& [cause, record] : records_) {
    if (IsExpired(now, cause.kind, record)) {
      expired.push_back(cause);
    }
  }
  for (const CrashCause& it : expired) {
    Erase(it);
  }
}

// The record with the fewest ends goes first: those of a cause that ends
// replicas grow, while others come and go with each end.
void CrashRecords::EvictIfFull() {
  if (records_.size() < kMaxRecords) {
    return;
  }
  const auto most = std::max_element(
      accounts_.begin(), accounts_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  using Rank = std::tuple<bool, std::size_t, TimeUs>;
  std::optional<std::pair<Rank, CrashCause>> victim;
  for (const auto& [cause, record] : records_) {
    const Rank rank = {record.has_too_many, record.ends.size(),
                       record.LastEnd()};
    if (record.account == most->first && (!victim || rank < victim->first)) {
      victim.emplace(rank, cause);
    }
  }
  Erase(victim->second);
}

}  // namespace acaciachute
