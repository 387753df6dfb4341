#include "coordination/crashes/crash_records.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace acaciachute {

// Taking the run that ends first each time gives the longest sequence.
std::size_t CrashRecords::InSequence(std::vector<EndedRun> runs) {
  std::sort(runs.begin(), runs.end(), [](const EndedRun& a, const EndedRun& b) {
    return a.ended_at < b.ended_at;
  });
  std::size_t n = 0;
  std::optional<TimeUs> last_end;
  for (const EndedRun& it : runs) {
    if (!last_end || it.began_at >= *last_end) {
      last_end = it.ended_at;
      ++n;
    }
  }
  return n;
}

std::size_t CrashRecords::Record::Standing() const {
  std::vector<EndedRun> runs;
  for (const auto& [replica, run] : ends) {
    if (Stands(run)) {
      runs.push_back(run);
    }
  }
  return InSequence(std::move(runs));
}

TimeUs CrashRecords::Record::LastEnd() const {
  return std::max_element(ends.begin(), ends.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.ended_at < b.second.ended_at;
                          })
      ->second.ended_at;
}

bool CrashRecords::IsExplained(const ReplicaId& replica,
                               const Record& record) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& entry) {
    const Record& other = entry.second;
    if (other.ends.size() < kMaxEnds) {
      return false;  // Most records, so the costly checks below are rare.
    }
    const auto end = other.ends.find(replica);
    return end != other.ends.end() && other.Stands(end->second) &&
           other.HasTooMany() && other.Standing() > record.Standing();
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
  std::vector<EndedRun> runs;
  for (const auto& [replica, run] : record.ends) {
    if (record.Stands(run) && !IsExplained(replica, record)) {
      runs.push_back(run);
    }
  }
  verdict.ends = InSequence(std::move(runs));
  verdict.last_end_age = now - record.LastEnd();
  verdict.blocked_for =
      std::max<DurationUs>(0, kBlockDuration - verdict.last_end_age);
  verdict.blocked = verdict.ends >= record.MaxEnds() && verdict.blocked_for > 0;
  return verdict;
}

bool CrashRecords::IsExpired(TimeUs now, const Record& record) const {
  const TimeUs last = record.LastEnd();
  const DurationUs age =
      now - std::max(last, record.answered_at.value_or(last));
  return age > (record.HasTooMany() ? kBlockedLifetime : kLifetime);
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
  for (const Answers* it : {&older_answers_, &answers_}) {
    if (const auto answer = it->find(fingerprint); answer != it->end()) {
      record.answered_at = answer->second;
    }
  }
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
  if (record->ends.size() > kMaxEndsKept) {
    record->ends.erase(
        std::min_element(record->ends.begin(), record->ends.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.ended_at < b.second.ended_at;
                         }));
  }
}

bool CrashRecords::OnReplicaEnded(TimeUs now,
                                  const EndedRun& run,
                                  const std::string& fingerprint,
                                  const std::string& account,
                                  const ReplicaId& replica) {
  Record& record = FindOrAdd(now, fingerprint, account);
  if (record.ends.contains(replica)) {
    return false;
  }
  AddEnd(&record, replica, run);
  return true;
}

bool CrashRecords::OnAnswered(TimeUs now, const std::string& fingerprint) {
  if (answers_.size() >= kMaxAnswersKept) {
    older_answers_ = std::exchange(answers_, {});
  }
  answers_[fingerprint] = now;
  const auto it = records_.find(fingerprint);
  if (it == records_.end()) {
    return false;
  }
  const bool takes_back = it->second.Standing() > 0;
  it->second.answered_at = now;
  return takes_back;
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
    AddEnd(&own, {it.replica, it.incarnation}, {at(it.began_age), at(it.age)});
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
  for (const auto& [replica, run] : record.ends) {
    out.ends.push_back({replica.name, replica.incarnation, now - run.ended_at,
                        now - run.began_at});
  }
  return out;
}

std::vector<CrashRecord> CrashRecords::Some(TimeUs now,
                                            std::size_t first,
                                            std::size_t count) const {
  std::vector<std::tuple<bool, TimeUs, std::string_view>> order;
  order.reserve(records_.size());
  for (const auto& [fingerprint, record] : records_) {
    if (!IsExpired(now, record)) {
      order.emplace_back(record.HasTooMany(), record.LastEnd(), fingerprint);
    }
  }
  std::sort(order.rbegin(), order.rend());
  std::vector<CrashRecord> some;
  for (std::size_t n = 0; n < std::min(count, order.size()); ++n) {
    const auto& it = order[(first + n) % order.size()];
    some.push_back(Get(now, std::string(std::get<std::string_view>(it))));
  }
  return some;
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
        record.HasTooMany(), record.LastEnd(), fingerprint};
    if (record.account == most->first &&
        (std::get<std::string>(victim).empty() || it < victim)) {
      victim = it;
    }
  }
  Erase(std::get<std::string>(victim));
}

}  // namespace acaciachute
