// Chooses the engine (model replica) for a request: the one expected to produce
// the first token earliest.
//
// Long and short prompts are mixed, sessions return with the same first prompt
// parts, and every running request on an engine slows down the tokens of all
// others. With a random choice, a session's parts would be read again each
// time, and two long prompts on one engine would delay the first token of both
// by their sum. The home of a prompt is the engine with the highest hash of the
// prompt's shared parts and the engine (rendezvous hashing); it is the same on
// every gateway and is assumed to cache these parts. Each engine is scored by
// the work until this request's first token: the tokens still unread there, the
// tokens of this prompt that it does not cache, the cost of the running
// requests, and the cost of fetching results from other failure domains. The
// score is in prompt tokens, so that no engine's speed has to be known, or,
// once the engines of the service are known to differ, the time that each is
// expected to take for that work (`LearnedCapacity`). The contents of an
// engine's cache are inferred from the requests that were sent there and
// completed; engines are not asked, because their load reports are late and are
// charged for.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_ENGINE_CHOICE_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_ENGINE_CHOICE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "coordination/choice/learned_capacity.h"
#include "coordination/choice/replica_rate_limiter.h"
#include "state/client_request.h"
#include "state/random.h"
#include "state/replica_directory.h"
#include "state/replica_health.h"
#include "types.h"

namespace acaciachute {

// Load of an engine caused by one gateway: this one, or another one that
// reported it.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint64_t unread_tokens = 0;  // Of prompts without a first token yet.
};

struct EngineRequest {
  const std::vector<PromptPart>* prompt = nullptr;
  std::uint64_t prompt_tokens = 0;
  // Failure domain that holds most of the results that the engine has to fetch,
  // and their size.
  std::string near_domain;
  std::uint64_t fetched_bytes = 0;
  // Longest pause between events that the caller wants; zero: any.
  DurationUs pause = 0;
};

class EngineChoice {
 public:
  // Weight of tokens of shared parts that the engine would have to read again.
  // Reading them again delays other requests and evicts other parts from the
  // engine's cache. Used while the engines are not known to differ.
  static constexpr double kRereadWeight = 10;
  // Where they are, reading a shared part again counts for each request in
  // progress there, and so often: it evicts as much that is then read again.
  static constexpr double kEvictionFactor = 2;
  // Factor on `kRereadWeight` for the second home of a prompt, the engine with
  // the second highest hash. While homes are busy in a burst or after the loss
  // of engines, prompts go to other engines. With many gateways, each sees few
  // of a session's requests and does not know where the others went, so without
  // a common second choice each request would be read again on another engine.
  // The factor is below one because the second home probably caches the parts
  // already if the session was sent away from its home before.
  static constexpr double kSecondHomeShare = 0.8;
  // Cost of each running request until the first token: it lengthens every
  // step, and a new prompt waits for the step in progress.
  static constexpr double kTokensPerRunningRequest = 94;
  // Cost of waiting when all slots are in use: about a third of the duration of
  // a stream.
  static constexpr double kQueueingCostTokens = 157'000;
  // Cost of fetching one megabyte of results from another failure domain.
  static constexpr double kCrossDomainTokensPerMb = 2000;
  // Limit on the prompt parts remembered per engine; several times what an
  // engine's memory holds.
  static constexpr std::size_t kMaxPartsPerEngine = 4096;

  EngineChoice(const ReplicaDirectory* directory,
               ReplicaRateLimiter* replica_rate_limiter,
               Random* random,
               LearnedCapacity* capacity = nullptr);

  // Returns null if no engine outside `tried` accepts work.
  const ReplicaEntry* Choose(TimeUs now,
                             const std::string& service,
                             const EngineRequest& request,
                             const std::vector<ReplicaId>& tried,
                             bool may_probe);

  // The home of a prompt; null if the prompt has no shared part.
  const ReplicaEntry* HomeOf(const std::string& service,
                             const EngineRequest& request) const {
    return HomesOf(service, request).first;
  }
  // What the request finds at the replica, if it is sent now.
  ReplicaWork WorkFor(TimeUs now,
                      const ReplicaEntry& replica,
                      const EngineRequest& request);
  void OnSent(const ReplicaId& replica, const EngineRequest& request);
  // The first event arrived, so the engine has read the prompt.
  void OnFirstEvent(const ReplicaId& replica, const EngineRequest& request);
  // The request ended; `read` says whether `OnFirstEvent` was called for it.
  void OnEnded(const ReplicaId& replica,
               const EngineRequest& request,
               bool read);
  void OnSuccess(const ReplicaId& replica);
  void OnFailure(TimeUs now, const ReplicaId& replica);
  // The replica was removed or restarted.
  void OnReplicaRemoved(const ReplicaId& replica);

  // Sets the load that the gateway `from` causes at the engines, replacing its
  // previous report.
  void SetPeerLoads(const NodeId& from,
                    const std::map<ReplicaId, EngineLoad>& loads);
  // Load of this gateway's own requests by engine.
  const std::map<ReplicaId, EngineLoad>& own_loads() const {
    return own_loads_;
  }

 private:
  struct Engine {
    // Hashes of the ids of the prompt parts assumed to be cached: clients
    // choose the ids, which may be as long as a head.
    absl::flat_hash_set<std::uint64_t> cached_parts;
    ReplicaHealth health;
  };

  // The engines with the highest and second highest hash for a prompt.
  struct Homes {
    const ReplicaEntry* first = nullptr;
    const ReplicaEntry* second = nullptr;
  };
  Homes HomesOf(const std::string& service, const EngineRequest& request) const;

  // Prompt tokens that an engine does not cache.
  struct UncachedTokens {
    std::uint64_t shared = 0;  // In parts that other requests use too.
    // In the request's own part, or in no listed part.
    std::uint64_t own = 0;
  };
  // Tokens of the prompt that the engine would have to read.
  static UncachedTokens UncachedTokensAt(const Engine& engine,
                                         const EngineRequest& request,
                                         bool home);
  // One choice: what is the same for all engines.
  struct Choice {
    TimeUs now = 0;
    const EngineRequest& request;
    Homes homes;
    // Null: the engines are not known to differ.
    const LearnedCapacity::Service* learned = nullptr;
  };
  // Engines of a lower rank are chosen first.
  enum class Rank { kNormal, kSlowSteps, kRefused, kSuperseded, kMisdirected };
  Rank RankOf(const Choice& choice, const ReplicaEntry& replica) const;
  // Expected work until the first token, in prompt tokens, or the expected time
  // for it in milliseconds, if learned; lower is better.
  double Score(const Choice& choice,
               const ReplicaEntry& replica,
               const Engine& engine) const;
  double ScoreInTokens(const Choice& choice,
                       const ReplicaEntry& replica,
                       const UncachedTokens& uncached) const;
  double ExpectedMs(const Choice& choice,
                    const ReplicaEntry& replica,
                    const UncachedTokens& uncached) const;
  double RereadWeight(const Choice& choice, const ReplicaEntry& replica) const;
  // Work of all gateways there, as known here.
  ReplicaWork WorkThere(TimeUs now, const ReplicaEntry& replica) const;
  EngineLoad LoadOf(const ReplicaId& replica) const;

  const ReplicaDirectory* const directory_;
  ReplicaRateLimiter* const replica_rate_limiter_;
  Random* const random_;
  LearnedCapacity* const capacity_;
  absl::flat_hash_map<ReplicaId, Engine> engines_;
  std::map<ReplicaId, EngineLoad> own_loads_;
  std::map<NodeId, std::map<ReplicaId, EngineLoad>> peer_loads_;
  // Sum over all other gateways, kept so that a choice need not iterate over
  // them.
  absl::flat_hash_map<ReplicaId, EngineLoad> peer_load_sum_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_ENGINE_CHOICE_H_
