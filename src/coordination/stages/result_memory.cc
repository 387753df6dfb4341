#include "coordination/stages/result_memory.h"

#include <algorithm>
#include <utility>

namespace acaciachute {

void ResultMemory::SetService(const std::string& name,
                              const BatchLimits& limits) {
  service_ = name;
  limits_ = limits;
}

const ResultMemory::Account* ResultMemory::Find(const ReplicaId& id) const {
  const auto it = accounts_.find(id);
  return it == accounts_.end() ? nullptr : &it->second;
}

void ResultMemory::Reserve(const ReplicaId& id, std::uint64_t bytes) {
  Account& account = accounts_[id];
  account.own += bytes;
  account.own_peak = std::max(account.own_peak, account.own);
}

void ResultMemory::EndProduction(const ReplicaId& id, std::uint64_t bytes) {
  Free(id, bytes);
}

void ResultMemory::Free(const ReplicaId& id, std::uint64_t bytes) {
  if (const auto it = accounts_.find(id); it != accounts_.end()) {
    it->second.own -= std::min(it->second.own, bytes);
  }
}

void ResultMemory::AddResult(TimeUs now,
                             const ReplicaId& id,
                             const std::string& handle,
                             std::uint64_t bytes) {
  results_[handle] = {id, bytes, now + limits_.result_lifetime, 0};
  Reserve(id, bytes);
}

void ResultMemory::OnReleaseSent(TimeUs now,
                                 const std::vector<std::string>& handles) {
  for (const auto& handle : handles) {
    if (const auto it = results_.find(handle); it != results_.end()) {
      it->second.free_at = now + kReleaseWait;
    }
  }
}

void ResultMemory::OnReleased(const std::vector<std::string>& handles) {
  for (const auto& handle : handles) {
    if (const auto it = results_.find(handle); it != results_.end()) {
      Free(it->second.producer, it->second.bytes);
      results_.erase(it);
    }
  }
}

// Two windows, so that a peak counts for one to two report lags.
void ResultMemory::RotatePeaks(TimeUs now) {
  if (now < next_rotation_at_) {
    return;
  }
  next_rotation_at_ = now + kReportLag;
  for (auto& [id, account] : accounts_) {
    account.own_peak_before = std::exchange(account.own_peak, account.own);
  }
}

void ResultMemory::OnTick(TimeUs now) {
  RotatePeaks(now);
  for (auto it = results_.begin(); it != results_.end();) {
    const StoredResult& result = it->second;
    const bool released = result.free_at != 0 && now >= result.free_at;
    if (!released && now < result.expires_at) {
      ++it;
      continue;
    }
    Free(result.producer, result.bytes);
    it = results_.erase(it);
  }
  for (auto& [id, account] : accounts_) {
    if (account.foreign > 0 &&
        now >= account.foreign_at + limits_.result_lifetime) {
      account.foreign = 0;
      Tell(now, id, MemoryNews::kAgedOut);
    }
  }
  absl::erase_if(accounts_, [](const auto& it) {
    return it.second.removed && it.second.own == 0 && !it.second.asking;
  });
}

void ResultMemory::DoubtAll(TimeUs now) {
  for (auto& [id, account] : accounts_) {
    if (!std::exchange(account.in_doubt, true)) {
      Tell(now, id, MemoryNews::kTakenUp);
    }
  }
}

void ResultMemory::OnReplicaRemoved(const ReplicaId& id) {
  if (const auto it = accounts_.find(id); it != accounts_.end()) {
    it->second.in_doubt = true;
    it->second.removed = true;
  }
}

void ResultMemory::OnReplicaEnded(const ReplicaId& id) {
  accounts_.erase(id);
  std::erase_if(results_,
                [&](const auto& it) { return it.second.producer == id; });
}

void ResultMemory::OnRefused(TimeUs now, const ReplicaId& id) {
  accounts_[id].refused_until = now + kRefusedBackoff;
  Doubt(now, id, MemoryNews::kRefused);
}

void ResultMemory::Doubt(TimeUs now, const ReplicaId& id, MemoryNews why) {
  if (!std::exchange(accounts_[id].in_doubt, true)) {
    Tell(now, id, why);
  }
}

bool ResultMemory::ToAsk(TimeUs now, const ReplicaEntry& replica) {
  Account& account = accounts_[replica.id];
  account.removed = false;
  if (account.asked_at != 0 && account.asked_at < replica.evacuation_ended_at) {
    Doubt(now, replica.id, MemoryNews::kEvacuationOver);
  }
  const bool paused =
      account.asked_at != 0 && now < account.asked_at + kAskPeriod;
  if (account.asking || paused || now < account.silent_until) {
    return false;
  }
  return account.in_doubt || (account.wanted && account.foreign > 0);
}

void ResultMemory::OnAsked(TimeUs now, const ReplicaId& id, bool asked) {
  Account& account = accounts_[id];
  account.asked_at = now;
  account.asking = asked;
  account.wanted = false;
  if (!asked) {
    account.in_doubt = false;
    account.silent_until = now + kSilencePeriod;
  }
}

void ResultMemory::OnReport(TimeUs now,
                            const ReplicaId& id,
                            const std::optional<ReplicaReport>& report) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end()) {
    return;  // The incarnation has ended.
  }
  Account& account = it->second;
  account.asking = false;
  if (!report) {
    UseWithoutReport(now, id, MemoryNews::kNoAnswer, "");
    return;
  }
  if (!report->free_result_bytes) {
    UseWithoutReport(now, id,
                     report->unreadable.empty() ? MemoryNews::kNotStated
                                                : MemoryNews::kUnreadable,
                     report->unreadable);
    return;
  }
  const std::uint64_t free = *report->free_result_bytes;
  if (free > limits_.result_memory_bytes) {
    UseWithoutReport(now, id, MemoryNews::kAboveCapacity, std::to_string(free));
    return;
  }
  const std::uint64_t used =
      limits_.result_memory_bytes -
      std::min(limits_.result_memory_bytes, free + report->rounding_bytes);
  const std::uint64_t own = std::max(account.own_peak, account.own_peak_before);
  const std::uint64_t foreign = used - std::min(used, own);
  const bool counts =
      static_cast<double>(foreign) >=
      kLeastForeignShare * static_cast<double>(limits_.result_memory_bytes);
  account.foreign = counts ? foreign : 0;
  account.foreign_at = account.asked_at;
  account.in_doubt = false;
  account.silent_until = 0;
  if (counts) {
    // The foreign bytes explain a refusal and bound the next call.
    account.refused_until = 0;
  }
  Tell(now, id, MemoryNews::kReported);
}

void ResultMemory::UseWithoutReport(TimeUs now,
                                    const ReplicaId& id,
                                    MemoryNews why,
                                    const std::string& stated) {
  Account& account = accounts_.at(id);
  account.in_doubt = false;
  account.silent_until = now + kSilencePeriod;
  Tell(now, id, why, stated);
}

bool ResultMemory::AcceptsCalls(TimeUs now, const ReplicaId& id) const {
  const Account* account = Find(id);
  if (account == nullptr) {
    return true;
  }
  if (now < account->refused_until) {
    return false;
  }
  const bool waited = account->asking && now >= account->asked_at + kReportWait;
  return !account->in_doubt || waited || now < account->silent_until;
}

std::uint64_t ResultMemory::UsedBytes(const ReplicaId& id) const {
  return OwnBytes(id) + ForeignBytes(id);
}

std::uint64_t ResultMemory::OwnBytes(const ReplicaId& id) const {
  const Account* account = Find(id);
  return account == nullptr ? 0 : account->own;
}

std::uint64_t ResultMemory::ForeignBytes(const ReplicaId& id) const {
  const Account* account = Find(id);
  return account == nullptr ? 0 : account->foreign;
}

double ResultMemory::ShareInUse(
    const std::vector<const ReplicaEntry*>& replicas) const {
  double used = 0;
  for (const ReplicaEntry* it : replicas) {
    used += static_cast<double>(UsedBytes(it->id));
  }
  const double capacity = static_cast<double>(limits_.result_memory_bytes) *
                          static_cast<double>(replicas.size());
  return capacity > 0 ? used / capacity : 0;
}

void ResultMemory::Tell(TimeUs now,
                        const ReplicaId& id,
                        MemoryNews news,
                        const std::string& stated) const {
  const Account& account = accounts_.at(id);
  on_news_({service_, id, news, limits_.result_memory_bytes, account.own,
            account.foreign,
            account.foreign_at == 0 ? 0 : now - account.foreign_at, stated});
}

}  // namespace acaciachute
