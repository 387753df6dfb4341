#include "coordination/engine_choice.h"

#include <algorithm>

namespace acaciachute {

EngineChoice::EngineChoice(const ReplicaDirectory* directory, Random* random)
    : directory_(directory), random_(random) {}

// Tokens of the prompt that the engine has to read: all after the first part
// that it does not hold, and those that no part lists.
std::uint64_t EngineChoice::Unheld(const Engine& engine,
                                   const EngineRequest& request) const {
  std::uint64_t held = 0;
  for (const PromptPart& it : *request.prompt) {
    if (!engine.parts.contains(it.id)) {
      break;
    }
    held += it.tokens;
  }
  return request.prompt_tokens - std::min(held, request.prompt_tokens);
}

EngineLoad EngineChoice::LoadOf(const ReplicaId& replica) const {
  EngineLoad sum;
  const auto add = [&](const std::map<ReplicaId, EngineLoad>& loads) {
    if (const auto it = loads.find(replica); it != loads.end()) {
      sum.running += it->second.running;
      sum.unread_tokens += it->second.unread_tokens;
    }
  };
  add(own_);
  for (const auto& [from, loads] : others_) {
    add(loads);
  }
  return sum;
}

double EngineChoice::Score(const ReplicaEntry& replica,
                           const EngineRequest& request) {
  const Engine& engine = engines_[replica.id];
  const EngineLoad load = LoadOf(replica.id);
  const auto tokens =
      static_cast<double>(load.unread_tokens + Unheld(engine, request));
  double ms = tokens / kTokensPerMs + kRunningMs * load.running;
  if (load.running >= replica.slots) {
    constexpr double kQueued = 1000;  // About a third of a stream.
    ms += kQueued;
  }
  if (!request.near_domain.empty() && request.near_domain != replica.domain) {
    ms += kFarMs;
  }
  return (ms + 1) * engine.health.Penalty();
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
  for (const ReplicaEntry* it : directory_->Of(service)) {
    if (std::find(tried.begin(), tried.end(), it->id) != tried.end()) {
      continue;
    }
    if (!engines_[it->id].health.Takes(now, may_repeat)) {
      shunned = it;
      continue;
    }
    const double score = Score(*it, request);
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

void EngineChoice::OnFirstEvent(TimeUs now,
                                const ReplicaId& replica,
                                const EngineRequest& request) {
  EngineLoad& load = own_[replica];
  load.unread_tokens -= std::min(load.unread_tokens, request.prompt_tokens);
  auto& parts = engines_[replica].parts;
  if (parts.size() > kPartsRemembered) {
    parts.clear();
  }
  for (const PromptPart& it : *request.prompt) {
    parts[it.id] = now;
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
  others_[from] = loads;
}

}  // namespace acaciachute
