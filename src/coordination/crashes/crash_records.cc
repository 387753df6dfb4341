#include "coordination/crashes/crash_records.h"

#include <algorithm>
#include <tuple>

namespace acaciachute {

std::size_t CrashRecords::Record::Standing() const {
  return static_cast<std::size_t>(
      std::count_if(ends.begin(), ends.end(),
                    [this](const auto& it) { return Stands(it.second); }));
}

TimeUs CrashRecords::Record::LastEnd() const {
  return std::max_element(
             ends.begin(), ends.end(),
             [](const auto& a, const auto& b) { return a.second < b.second; })
      ->second;
}

bool CrashRecords::IsExplained(const ReplicaId& replica,
                               const Record& record) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& entry) {
    const Record& other = entry.second;
    const auto end = other.ends.find(replica);
    return end != other.ends.end() && other.Stands(end->second) &&
           other.Standing() >= kMaxEnds && other.Standing() > record.Standing();
  });
}

CrashRecords::Verdict CrashRecords::Of(TimeUs now,
                                       const std::string& fingerprint) const {
  Verdict verdict;
  const auto it = records_.find(fingerprint);
  if (it == records_.end() || IsExpired(now, it->second)) {
    return verdict;
  }
  const Record& record = it->second;
  for (const auto& [replica, ended_at] : record.ends) {
    if (record.Stands(ended_at) && !IsExplained(replica, record)) {
      ++verdict.ends;
    }
  }
  verdict.last_end_age = now - record.LastEnd();
  verdict.blocked_for =
      std::max<DurationUs>(0, kBlockDuration - verdict.last_end_age);
  verdict.blocked = verdict.ends >= kMaxEnds && verdict.blocked_for > 0;
  return verdict;
}

bool CrashRecords::IsExpired(TimeUs now, const Record& record) const {
  const TimeUs last = record.LastEnd();
  const DurationUs age =
      now - std::max(last, record.answered_at.value_or(last));
  return age > (record.Standing() >= kMaxEnds ? kBlockedLifetime : kLifetime);
}

CrashRecords::Record& CrashRecords::FindOrAdd(TimeUs now,
                                              const std::string& fingerprint,
                                              const std::string& account) {
  const auto it = records_.find(fingerprint);
  if (it != records_.end()) {
    return it->second;
  }
  RemoveExpired(now);
  EvictIfFull();
  ++accounts_[account];
  Record& record = records_[fingerprint];
  record.account = account;
  return record;
}

void CrashRecords::AddEnd(Record* record,
                          const ReplicaId& replica,
                          TimeUs ended_at) {
  // Of several reports of one end, the first counts.
  const auto [it, inserted] = record->ends.try_emplace(replica, ended_at);
  it->second = std::min(it->second, ended_at);
  if (record->ends.size() > kMaxEndsKept) {
    record->ends.erase(std::min_element(
        record->ends.begin(), record->ends.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

bool CrashRecords::OnReplicaEnded(TimeUs now,
                                  TimeUs ended_at,
                                  const std::string& fingerprint,
                                  const std::string& account,
                                  const ReplicaId& replica) {
  Record& record = FindOrAdd(now, fingerprint, account);
  if (record.ends.contains(replica)) {
    return false;
  }
  AddEnd(&record, replica, ended_at);
  return true;
}

bool CrashRecords::OnAnswered(TimeUs now, const std::string& fingerprint) {
  const auto it = records_.find(fingerprint);
  if (it == records_.end() || it->second.Standing() == 0) {
    return false;
  }
  it->second.answered_at = now;
  return true;
}

bool CrashRecords::Merge(TimeUs now, const CrashRecord& record) {
  if (record.fingerprint.empty() || record.ends.empty()) {
    return false;
  }
  Record& own = FindOrAdd(now, record.fingerprint, record.account);
  const std::size_t before = own.Standing();
  const auto at = [now](DurationUs age) {
    return now - std::max<DurationUs>(0, age);
  };
  if (record.answered_age != kNever) {
    const TimeUs answered_at = at(record.answered_age);
    own.answered_at =
        std::max(answered_at, own.answered_at.value_or(answered_at));
  }
  for (const CrashEnd& it : record.ends) {
    AddEnd(&own, {it.replica, it.incarnation}, at(it.age));
  }
  return own.Standing() != before;
}

CrashRecord CrashRecords::Get(TimeUs now,
                              const std::string& fingerprint) const {
  CrashRecord out;
  out.fingerprint = fingerprint;
  const auto it = records_.find(fingerprint);
  if (it == records_.end()) {
    return out;
  }
  const Record& record = it->second;
  out.account = record.account;
  if (record.answered_at) {
    out.answered_age = now - *record.answered_at;
  }
  for (const auto& [replica, ended_at] : record.ends) {
    out.ends.push_back({replica.name, replica.incarnation, now - ended_at});
  }
  return out;
}

std::vector<CrashRecord> CrashRecords::All(TimeUs now) const {
  std::vector<std::tuple<bool, TimeUs, std::string>> order;
  for (const auto& [fingerprint, record] : records_) {
    if (record.Standing() > 0 && !IsExpired(now, record)) {
      order.emplace_back(Of(now, fingerprint).blocked, record.LastEnd(),
                         fingerprint);
    }
  }
  std::sort(order.rbegin(), order.rend());
  std::vector<CrashRecord> all;
  for (const auto& [blocked, last_end, fingerprint] : order) {
    all.push_back(Get(now, fingerprint));
  }
  return all;
}

void CrashRecords::Erase(const std::string& fingerprint) {
  const auto it = records_.find(fingerprint);
  const auto account = accounts_.find(it->second.account);
  if (--account->second == 0) {
    accounts_.erase(account);
  }
  records_.erase(it);
}

void CrashRecords::RemoveExpired(TimeUs now) {
  std::vector<std::string> expired;
  for (const auto& [fingerprint, record] : records_) {
    if (IsExpired(now, record)) {
      expired.push_back(fingerprint);
    }
  }
  for (const std::string& it : expired) {
    Erase(it);
  }
}

void CrashRecords::EvictIfFull() {
  if (records_.size() < kMaxRecords) {
    return;
  }
  const auto most = std::max_element(
      accounts_.begin(), accounts_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  std::tuple<bool, TimeUs, std::string> victim = {true, 0, ""};
  for (const auto& [fingerprint, record] : records_) {
    const std::tuple<bool, TimeUs, std::string> it = {
        record.Standing() >= kMaxEnds, record.LastEnd(), fingerprint};
    if (record.account == most->first &&
        (std::get<std::string>(victim).empty() || it < victim)) {
      victim = it;
    }
  }
  Erase(std::get<std::string>(victim));
}

}  // namespace acaciachute
