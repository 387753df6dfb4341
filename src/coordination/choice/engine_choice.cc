#include "coordination/choice/engine_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace acaciachute {
namespace {

// Number of prompt parts shared with other requests: all but the last one,
// which is the request's own.
std::size_t SharedPartCount(const std::vector<PromptPart>& prompt) {
  return prompt.empty() ? 0 : prompt.size() - 1;
}

std::uint64_t HashOf(const PromptPart& part) {
  return XXH3_64bits(part.id.data(), part.id.size());
}

// Cost of fetching the results from another failure domain, in prompt tokens.
double FetchTokens(const EngineRequest& request, const ReplicaEntry& replica) {
  constexpr double kMegabyte = 1e6;
  if (request.near_domain.empty() || request.near_domain == replica.domain) {
    return 0;
  }
  return EngineChoice::kCrossDomainTokensPerMb *
         static_cast<double>(request.fetched_bytes) / kMegabyte;
}

}  // namespace

EngineChoice::EngineChoice(const ReplicaDirectory* directory,
                           ReplicaRateLimiter* replica_rate_limiter,
                           Random* random,
                           LearnedCapacity* capacity)
    : directory_(directory),
      replica_rate_limiter_(replica_rate_limiter),
      random_(random),
      capacity_(capacity) {}

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
                              !engine.cached_parts.contains(HashOf(part)));
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

ReplicaWork EngineChoice::WorkThere(TimeUs now,
                                    const ReplicaEntry& replica) const {
  const EngineLoad load = LoadOf(replica.id);
  ReplicaWork work;
  work.unread_tokens = static_cast<double>(load.unread_tokens);
  work.in_progress = load.running;
  work.slots = std::max(1U, replica.slots);
  if (capacity_ != nullptr) {
    work.in_progress = std::max(work.in_progress,
                                capacity_->StatedInProgress(now, replica.id));
  }
  return work;
}

ReplicaWork EngineChoice::WorkFor(TimeUs now,
                                  const ReplicaEntry& replica,
                                  const EngineRequest& request) {
  const Homes homes = HomesOf(replica.service, request);
  const bool home = homes.first != nullptr && homes.first->id == replica.id;
  const UncachedTokens uncached =
      UncachedTokensAt(engines_[replica.id], request, home);
  ReplicaWork work = WorkThere(now, replica);
  work.read_tokens =
      std::max(1.0, static_cast<double>(uncached.own + uncached.shared));
  return work;
}

double EngineChoice::RereadWeight(const Choice& choice,
                                  const ReplicaEntry& replica) const {
  const double weight =
      choice.learned == nullptr
          ? kRereadWeight
          : kEvictionFactor * (1 + choice.learned->in_progress);
  return weight * (&replica == choice.homes.second ? kSecondHomeShare : 1);
}

double EngineChoice::ScoreInTokens(const Choice& choice,
                                   const ReplicaEntry& replica,
                                   const UncachedTokens& uncached) const {
  const EngineLoad load = LoadOf(replica.id);
  double tokens =
      static_cast<double>(load.unread_tokens + uncached.own) +
      RereadWeight(choice, replica) * static_cast<double>(uncached.shared) +
      kTokensPerRunningRequest * load.running;
  if (load.running >= replica.slots) {
    tokens += kQueueingCostTokens;
  }
  return tokens + FetchTokens(choice.request, replica) + 1;
}

double EngineChoice::ExpectedMs(const Choice& choice,
                                const ReplicaEntry& replica,
                                const UncachedTokens& uncached) const {
  constexpr double kThousand = 1000;
  const LearnedCapacity::Service& learned = *choice.learned;
  ReplicaWork work = WorkThere(choice.now, replica);
  work.read_tokens =
      static_cast<double>(uncached.own) +
      RereadWeight(choice, replica) * static_cast<double>(uncached.shared);
  double ms = capacity_->ExpectedMs(choice.now, learned, replica.id, work);
  if (work.in_progress >= work.slots) {
    ms += learned.stream_ms * (work.in_progress - work.slots + 1) / work.slots;
  }
  return ms + FetchTokens(choice.request, replica) / kThousand *
                  learned.time.ReadCost();
}

double EngineChoice::Score(const Choice& choice,
                           const ReplicaEntry& replica,
                           const Engine& engine) const {
  const UncachedTokens uncached =
      UncachedTokensAt(engine, choice.request, &replica == choice.homes.first);
  const double work = choice.learned == nullptr
                          ? ScoreInTokens(choice, replica, uncached)
                          : ExpectedMs(choice, replica, uncached);
  return work * engine.health.Penalty();
}

EngineChoice::Rank EngineChoice::RankOf(const Choice& choice,
                                        const ReplicaEntry& replica) const {
  const RecentRefusals& refusals = replica_rate_limiter_->refusals();
  if (refusals.IsMisdirected(choice.now, replica.id)) {
    return Rank::kMisdirected;
  }
  if (replica.superseded) {
    return Rank::kSuperseded;
  }
  if (refusals.IsAvoided(choice.now, replica.id)) {
    return Rank::kRefused;
  }
  if (choice.learned == nullptr || choice.request.pause == 0) {
    return Rank::kNormal;
  }
  ReplicaWork work = WorkThere(choice.now, replica);
  work.in_progress += 1;
  const double pause =
      capacity_->ExpectedPauseMs(choice.now, *choice.learned, replica.id, work);
  return pause * kMillisecond > static_cast<double>(choice.request.pause)
             ? Rank::kSlowSteps
             : Rank::kNormal;
}

const ReplicaEntry* EngineChoice::Choose(TimeUs now,
                                         const std::string& service,
                                         const EngineRequest& request,
                                         const std::vector<ReplicaId>& tried,
                                         bool may_probe) {
  const ReplicaEntry* best = nullptr;
  const ReplicaEntry* avoided = nullptr;
  std::pair<Rank, double> best_score;
  std::uint64_t ties = 0;
  const Choice choice = {
      now, request, HomesOf(service, request),
      capacity_ == nullptr ? nullptr : capacity_->Find(now, service)};
  for (const ReplicaEntry* it : directory_->Of(service)) {
    if (std::find(tried.begin(), tried.end(), it->id) != tried.end() ||
        !replica_rate_limiter_->MaySend(now, *it)) {
      continue;
    }
    const Engine& engine = engines_[it->id];
    if (!engine.health.AcceptsCall(now, may_probe)) {
      avoided = it;
      continue;
    }
    const std::pair score = {RankOf(choice, *it), Score(choice, *it, engine)};
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
  return best != nullptr ? best : avoided;
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
    cached_parts.insert(HashOf(it));
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
