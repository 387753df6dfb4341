#include "coordination/crashes/cause_trials.h"

#include <xxhash.h>

#include <algorithm>

namespace acaciachute {

bool CauseTrials::Begin(const Causes& causes,
                        ExchangeId request,
                        int most,
                        const std::vector<NodeId>& peers) {
  if (causes.empty() || !IsOwn(causes.front(), peers)) {
    return false;
  }
  Trial& trial = trials_[causes];
  if (trial.request != 0 || trial.begun >= most) {
    return false;
  }
  ++trial.begun;
  trial.request = request;
  return true;
}

bool CauseTrials::IsTrial(const Causes& causes, ExchangeId request) const {
  const auto it = trials_.find(causes);
  return it != trials_.end() && it->second.request == request;
}

void CauseTrials::OnEnded(ExchangeId request, bool sent) {
  for (auto& [cause, trial] : trials_) {
    if (trial.request == request) {
      trial.request = 0;
      trial.begun -= sent ? 0 : 1;
    }
  }
}

bool CauseTrials::IsOwn(const CrashCause& cause,
                        const std::vector<NodeId>& peers) const {
  const auto weight = [&cause](const NodeId& node) {
    return XXH3_64bits_withSeed(node.data(), node.size(),
                                XXH3_64bits(cause.id.data(), cause.id.size()));
  };
  const XXH64_hash_t own = weight(self_);
  return std::all_of(peers.begin(), peers.end(),
                     [&](const NodeId& it) { return weight(it) <= own; });
}

}  // namespace acaciachute
