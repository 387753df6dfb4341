#include "coordination/choice/engine_choice.h"

#include <xxhash.h>

#include <algorithm>

namespace acaciachute {
namespace {

// Number of prompt parts shared with other requests: all but the last one,
// which is the request's own.
std::size_t SharedPartCount(const std::vector<PromptPart>& prompt) {
  return prompt.empty() ? 0 : prompt.size() - 1;
}

}  // namespace

EngineChoice::EngineChoice(const ReplicaDirectory* directory,
                           ReplicaRateLimiter* replica_rate_limiter,
                           Random* random)
    : directory_(directory),
      replica_rate_limiter_(replica_rate_limiter),
      random_(random) {}

// Counts the first part that the engine does not cache and all parts after it,
// plus the prompt tokens that no part lists.
EngineChoice::UncachedTokens EngineChoice::UncachedTokensAt(
    const Engine& engine,
    const EngineRequest& request,
    bool home) {
  UncachedTokens uncached;
  std::uint64_t listed = 0;
  bool must_read = false;
  const std::size_t shared = SharedPartCount(*request.prompt);
  for (std::size_t n = 0; n < request.prompt->size(); ++n) {
    const PromptPart& part = (*request.prompt)[n];
    listed += part.tokens;
    must_read = must_read || (!(home && n < shared) &&
                              !engine.cached_parts.contains(part.id));
    if (must_read) {
      (n < shared ? uncached.shared : uncached.own) += part.tokens;
    }
  }
  uncached.own +=
      request.prompt_tokens - std::min(listed, request.prompt_tokens);
  return uncached;
}

EngineChoice::Homes EngineChoice::HomesOf(const std::string& service,
                                          const EngineRequest& request) const {
  Homes homes;
  const std::size_t shared = SharedPartCount(*request.prompt);
  if (shared == 0) {
    return homes;
  }
  const std::string& part = (*request.prompt)[shared - 1].id;
  const XXH64_hash_t seed = XXH3_64bits(part.data(), part.size());
  XXH64_hash_t best = 0;
  XXH64_hash_t next = 0;
  for (const ReplicaEntry* it : directory_->Of(service)) {
    const XXH64_hash_t weight =
        XXH3_64bits_withSeed(it->id.name.data(), it->id.name.size(), seed);
    if (homes.first == nullptr || weight > best) {
      homes.second = homes.first;
      next = best;
      homes.first = it;
      best = weight;
    } else if (homes.second == nullptr || weight > next) {
      homes.second = it;
      next = weight;
    }
  }
  return homes;
}

EngineLoad EngineChoice::LoadOf(const ReplicaId& replica) const {
  EngineLoad sum;
  const auto add = [&](const auto& loads) {
    if (const auto it = loads.find(replica); it != loads.end()) {
      sum.running += it->second.running;
      sum.unread_tokens += it->second.unread_tokens;
    }
  };
  add(own_loads_);
  add(peer_load_sum_);
  return sum;
}

double EngineChoice::Score(const ReplicaEntry& replica,
                           const Engine& engine,
                           const EngineRequest& request,
                           const Homes& homes) const {
  const EngineLoad load = LoadOf(replica.id);
  const UncachedTokens uncached =
      UncachedTokensAt(engine, request, &replica == homes.first);
  const double reread_weight =
      kRereadWeight * (&replica == homes.second ? kSecondHomeShare : 1);
  double tokens = static_cast<double>(load.unread_tokens + uncached.own) +
                  reread_weight * static_cast<double>(uncached.shared) +
                  kTokensPerRunningRequest * load.running;
  if (load.running >= replica.slots) {
    tokens += kQueueingCostTokens;
  }
  if (!request.near_domain.empty() && request.near_domain != replica.domain) {
    constexpr double kMegabyte = 1e6;
    tokens += kCrossDomainTokensPerMb *
              static_cast<double>(request.fetched_bytes) / kMegabyte;
  }
  return (tokens + 1) * engine.health.Penalty();
}

const ReplicaEntry* EngineChoice::Choose(TimeUs now,
                                         const std::string& service,
                                         const EngineRequest& request,
                                         const std::vector<ReplicaId>& tried,
                                         bool may_repeat) {
  const ReplicaEntry* best = nullptr;
  const ReplicaEntry* avoided = nullptr;
  const ReplicaEntry* refused = nullptr;
  double best_score = 0;
  double refused_score = 0;
  std::uint64_t ties = 0;
  const Homes homes = HomesOf(service, request);
  for (const ReplicaEntry* it : directory_->Of(service)) {
    if (std::find(tried.begin(), tried.end(), it->id) != tried.end() ||
        !replica_rate_limiter_->MaySend(now, *it)) {
      continue;
    }
    const Engine& engine = engines_[it->id];
    if (!engine.health.AcceptsCall(now, may_repeat)) {
      avoided = it;
      continue;
    }
    const double score = Score(*it, engine, request, homes);
    if (replica_rate_limiter_->refusals().IsAvoided(now, it->id)) {
      if (refused == nullptr || score < refused_score) {
        refused = it;
        refused_score = score;
      }
      continue;
    }
    if (best == nullptr || score < best_score) {
      best = it;
      best_score = score;
      ties = 1;
    } else if (score == best_score && random_->Below(++ties) == 0) {
      // Random, so that gateways with equal scores do not all choose the same
      // engine.
      best = it;
    }
  }
  if (best != nullptr) {
    return best;
  }
  return refused != nullptr ? refused : avoided;
}

void EngineChoice::OnSent(const ReplicaId& replica,
                          const EngineRequest& request) {
  EngineLoad& load = own_loads_[replica];
  ++load.running;
  load.unread_tokens += request.prompt_tokens;
}

void EngineChoice::OnFirstEvent(const ReplicaId& replica,
                                const EngineRequest& request) {
  EngineLoad& load = own_loads_[replica];
  load.unread_tokens -= std::min(load.unread_tokens, request.prompt_tokens);
  auto& cached_parts = engines_[replica].cached_parts;
  if (cached_parts.size() > kMaxPartsPerEngine) {
    cached_parts.clear();
  }
  for (const PromptPart& it : *request.prompt) {
    cached_parts.insert(it.id);
  }
}

void EngineChoice::OnEnded(const ReplicaId& replica,
                           const EngineRequest& request,
                           bool read) {
  const auto it = own_loads_.find(replica);
  if (it == own_loads_.end()) {
    return;
  }
  EngineLoad& load = it->second;
  load.running -= std::min(load.running, 1U);
  if (!read) {
    load.unread_tokens -= std::min(load.unread_tokens, request.prompt_tokens);
  }
  if (load.running == 0) {
    own_loads_.erase(it);
  }
}

void EngineChoice::OnSuccess(const ReplicaId& replica) {
  engines_[replica].health.OnSuccess();
}

void EngineChoice::OnFailure(TimeUs now, const ReplicaId& replica) {
  engines_[replica].health.OnFailure(now);
}

void EngineChoice::OnReplicaRemoved(const ReplicaId& replica) {
  engines_.erase(replica);
}

void EngineChoice::SetPeerLoads(const NodeId& from,
                                const std::map<ReplicaId, EngineLoad>& loads) {
  auto& reported = peer_loads_[from];
  for (const auto& [replica, load] : reported) {
    EngineLoad& sum = peer_load_sum_[replica];
    sum.running -= load.running;
    sum.unread_tokens -= load.unread_tokens;
    if (sum.running == 0 && sum.unread_tokens == 0) {
      peer_load_sum_.erase(replica);
    }
  }
  reported = loads;
  for (const auto& [replica, load] : reported) {
    EngineLoad& sum = peer_load_sum_[replica];
    sum.running += load.running;
    sum.unread_tokens += load.unread_tokens;
  }
}

}  // namespace acaciachute
