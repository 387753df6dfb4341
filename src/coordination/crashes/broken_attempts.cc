#include "coordination/crashes/broken_attempts.h"

#include <utility>

namespace acaciachute {

bool BrokenAttempts::OnBroken(TimeUs now,
                              const ReplicaId& replica,
                              const BrokenAttempt& attempt) {
  if (ended_.contains(replica)) {
    return true;
  }
  Suspected& suspected = suspected_[replica];
  suspected.attempts.push_back(attempt);
  suspected.attempts.back().broken_at = now;
  suspected.probe_due = suspected.probe_due || !attempt.abandoned;
  if (suspected.attempts.size() > kMaxAttemptsPerReplica) {
    suspected.attempts.erase(suspected.attempts.begin());
  }
  return false;
}

std::vector<BrokenAttempt> BrokenAttempts::OnReplicaEnded(
    TimeUs now,
    const ReplicaId& replica) {
  ended_[replica] = now;
  const auto it = suspected_.find(replica);
  if (it == suspected_.end()) {
    return {};
  }
  std::vector<BrokenAttempt> attempts = std::move(it->second.attempts);
  suspected_.erase(it);
  return attempts;
}

void BrokenAttempts::OnReplicaAlive(const ReplicaId& replica, TimeUs sent_at) {
  const auto it = suspected_.find(replica);
  if (it == suspected_.end()) {
    return;
  }
  std::erase_if(it->second.attempts, [sent_at](const BrokenAttempt& attempt) {
    return !attempt.abandoned && attempt.broken_at <= sent_at;
  });
  if (it->second.attempts.empty()) {
    suspected_.erase(it);
  }
}

void BrokenAttempts::OnAnswering(const ReplicaId& replica) {
  ended_.erase(replica);
  const auto it = suspected_.find(replica);
  if (it == suspected_.end()) {
    return;
  }
  std::erase_if(it->second.attempts,
                [](const BrokenAttempt& attempt) { return attempt.abandoned; });
  if (it->second.attempts.empty()) {
    suspected_.erase(it);
  }
}

std::vector<ReplicaId> BrokenAttempts::TakeProbes(TimeUs now) {
  std::erase_if(ended_, [now](const auto& it) {
    return now - it.second > kEndedRetention;
  });
  std::vector<ReplicaId> probes;
  for (auto it = suspected_.begin(); it != suspected_.end();) {
    auto& [replica, suspected] = *it;
    std::erase_if(suspected.attempts, [now](const BrokenAttempt& attempt) {
      return now - attempt.broken_at > kEvidenceWindow;
    });
    if (suspected.attempts.empty()) {
      it = suspected_.erase(it);
      continue;
    }
    if (suspected.probe_due &&
        now - suspected.attempts.back().broken_at >= kProbeDelay &&
        (suspected.probed_at == 0 ||
         now - suspected.probed_at >= kProbeInterval)) {
      suspected.probed_at = now;
      suspected.probe_due = false;
      probes.push_back(replica);
    }
    ++it;
  }
  return probes;
}

}  // namespace acaciachute
