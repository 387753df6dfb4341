#include "coordination/choice/replica_rests.h"

#include <algorithm>

namespace acaciachute {

const ReplicaRests::Rest* ReplicaRests::Find(const ReplicaId& replica) const {
  if (rests_.empty()) {
    return nullptr;  // Fast path: called for every replica.
  }
  const auto it = rests_.find(replica);
  return it == rests_.end() ? nullptr : &it->second;
}

bool ReplicaRests::OnRefused(TimeUs now,
                             const ReplicaId& replica,
                             DurationUs rest) {
  DropEnded(now);
  const TimeUs until = now + rest;
  const Rest* known = Find(replica);
  if (rest <= 0 || (known != nullptr && until <= known->until)) {
    return false;
  }
  rests_[replica] = {until, 0};
  return true;
}

void ReplicaRests::DropEnded(TimeUs now) {
  if (now < next_cleanup_at_) {
    return;
  }
  next_cleanup_at_ = now + kCleanupPeriod;
  absl::erase_if(rests_, [now](const auto& it) {
    return now >= it.second.until + SlowStart::kDuration;
  });
}

void ReplicaRests::OnSent(TimeUs now, const ReplicaId& replica) {
  const auto it = rests_.find(replica);
  if (it != rests_.end() && now >= it->second.until) {
    ++it->second.sent;
  }
}

void ReplicaRests::OnNotSent(const ReplicaId& replica) {
  if (const auto it = rests_.find(replica); it != rests_.end()) {
    it->second.sent -= std::min<std::size_t>(it->second.sent, 1);
  }
}

bool ReplicaRests::IsLimited(TimeUs now, const ReplicaId& replica) const {
  const Rest* rest = Find(replica);
  return rest != nullptr && now < rest->until + SlowStart::kDuration;
}

bool ReplicaRests::MaySend(TimeUs now, const ReplicaId& replica) const {
  const Rest* rest = Find(replica);
  return rest == nullptr || now >= rest->until + SlowStart::kDuration ||
         rest->sent + 1 < SlowStart::Factor(now - rest->until);
}

std::vector<TimeUs> ReplicaRests::NextTurns(TimeUs now,
                                            const ReplicaId& replica) const {
  std::vector<TimeUs> turns;
  const Rest* rest = Find(replica);
  if (rest == nullptr) {
    return turns;
  }
  std::size_t sent = rest->sent;
  for (DurationUs elapsed = 0; elapsed < SlowStart::kDuration;
       elapsed += SlowStart::kDoublingPeriod) {
    for (; sent + 1 < SlowStart::Factor(elapsed); ++sent) {
      turns.push_back(std::max(now, rest->until + elapsed));
    }
  }
  turns.push_back(std::max(now, rest->until + SlowStart::kDuration));
  return turns;
}

}  // namespace acaciachute
