#include "coordination/choice/engine_choice.h"

#include <xxhash.h>

#include <algorithm>

namespace acaciachute {
namespace {

// The last part of a prompt is the request's own; those before are shared.
std::size_t SharedParts(const std::vector<PromptPart>& prompt) {
  return prompt.empty() ? 0 : prompt.size() - 1;
}

}  // namespace

EngineChoice::EngineChoice(const ReplicaDirectory* directory,
                           ColdReplicaLimiter* cold,
                           Random* random)
    : directory_(directory), cold_(cold), random_(random) {}

// All after the first part that it does not hold, and those that no part lists.
EngineChoice::Unheld EngineChoice::UnheldAt(const Engine& engine,
                                            const EngineRequest& request,
                                            bool home) {
  Unheld unheld;
  std::uint64_t listed = 0;
  bool reads = false;
  const std::size_t shared = SharedParts(*request.prompt);
  for (std::size_t n = 0; n < request.prompt->size(); ++n) {
    const PromptPart& part = (*request.prompt)[n];
    listed += part.tokens;
    reads = reads || (!(home && n < shared) && !engine.parts.contains(part.id));
    if (reads) {
      (n < shared ? unheld.shared : unheld.own) += part.tokens;
    }
  }
  unheld.own += request.prompt_tokens - std::min(listed, request.prompt_tokens);
  return unheld;
}

EngineChoice::Homes EngineChoice::HomesOf(const std::string& service,
                                          const EngineRequest& request) const {
  Homes homes;
  const std::size_t shared = SharedParts(*request.prompt);
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
  add(own_);
  add(others_sum_);
  return sum;
}

double EngineChoice::Score(const ReplicaEntry& replica,
                           const Engine& engine,
                           const EngineRequest& request,
                           const Homes& homes) const {
  const EngineLoad load = LoadOf(replica.id);
  const Unheld unheld = UnheldAt(engine, request, &replica == homes.first);
  const double reread =
      kRereadWeight * (&replica == homes.second ? kSecondHomeShare : 1);
  double tokens = static_cast<double>(load.unread_tokens + unheld.own) +
                  reread * static_cast<double>(unheld.shared) +
                  kRunningTokens * load.running;
  if (load.running >= replica.slots) {
    tokens += kQueuedTokens;
  }
  if (!request.near_domain.empty() && request.near_domain != replica.domain) {
    constexpr double kMegabyte = 1e6;
    tokens += kFarTokensPerMb * static_cast<double>(request.fetched_bytes) /
              kMegabyte;
  }
  return (tokens + 1) * engine.health.Penalty();
}

const ReplicaEntry* EngineChoice::Choose(TimeUs now,
                                         const std::string& service,
                                         const EngineRequest& request,
                                         const std::vector<ReplicaId>& tried,
                                         bool may_repeat) {
  const ReplicaEntry* best = nullptr;
  const ReplicaEntry* shunned = nullptr;
  double best_score = 0;
  std::uint64_t ties = 0;
  const Homes homes = HomesOf(service, request);
  for (const ReplicaEntry* it : directory_->Of(service)) {
    if (std::find(tried.begin(), tried.end(), it->id) != tried.end() ||
        !cold_->Takes(now, *it)) {
      continue;
    }
    const Engine& engine = engines_[it->id];
    if (!engine.health.Takes(now, may_repeat)) {
      shunned = it;
      continue;
    }
    const double score = Score(*it, engine, request, homes);
    if (best == nullptr || score < best_score) {
      best = it;
      best_score = score;
      ties = 1;
    } else if (score == best_score && random_->Below(++ties) == 0) {
      best = it;  // At random, or all entries choose the same engine.
    }
  }
  return best != nullptr ? best : shunned;
}

void EngineChoice::OnSent(const ReplicaId& replica,
                          const EngineRequest& request) {
  EngineLoad& load = own_[replica];
  ++load.running;
  load.unread_tokens += request.prompt_tokens;
}

void EngineChoice::OnFirstEvent(const ReplicaId& replica,
                                const EngineRequest& request) {
  EngineLoad& load = own_[replica];
  load.unread_tokens -= std::min(load.unread_tokens, request.prompt_tokens);
  auto& parts = engines_[replica].parts;
  if (parts.size() > kPartsRemembered) {
    parts.clear();
  }
  for (const PromptPart& it : *request.prompt) {
    parts.insert(it.id);
  }
}

void EngineChoice::OnEnded(const ReplicaId& replica,
                           const EngineRequest& request,
                           bool read) {
  const auto it = own_.find(replica);
  if (it == own_.end()) {
    return;
  }
  EngineLoad& load = it->second;
  load.running -= std::min(load.running, 1U);
  if (!read) {
    load.unread_tokens -= std::min(load.unread_tokens, request.prompt_tokens);
  }
  if (load.running == 0) {
    own_.erase(it);
  }
}

void EngineChoice::OnSuccess(const ReplicaId& replica) {
  engines_[replica].health.OnSuccess();
}

void EngineChoice::OnFailure(TimeUs now, const ReplicaId& replica) {
  engines_[replica].health.OnFailure(now);
}

void EngineChoice::OnReplicaGone(const ReplicaId& replica) {
  engines_.erase(replica);
}

void EngineChoice::SetOthers(const NodeId& from,
                             const std::map<ReplicaId, EngineLoad>& loads) {
  auto& told = others_[from];
  for (const auto& [replica, load] : told) {
    EngineLoad& sum = others_sum_[replica];
    sum.running -= load.running;
    sum.unread_tokens -= load.unread_tokens;
    if (sum.running == 0 && sum.unread_tokens == 0) {
      others_sum_.erase(replica);
    }
  }
  told = loads;
  for (const auto& [replica, load] : told) {
    EngineLoad& sum = others_sum_[replica];
    sum.running += load.running;
    sum.unread_tokens += load.unread_tokens;
  }
}

}  // namespace acaciachute
