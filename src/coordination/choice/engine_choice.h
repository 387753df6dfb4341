// Chooses the model replica that reads a prompt and generates.
//
// Load pattern: long prompts beside short ones, sessions that come back with
// the same first parts, and engines whose every running request slows the
// tokens of all others. Sent to a random engine, a session's parts are read
// again each time, and two long prompts that meet delay the first token of both
// by their sum. A prompt's home is the engine with the highest hash of its
// shared parts and the engine (rendezvous hashing), the same at every entry; it
// is taken to hold them. Each engine is scored by what it reads until this
// request's first token, in prompt tokens, which needs no engine's speed: those
// that are still unread there, those of this prompt that it does not hold, what
// the running requests add, and what it fetches from elsewhere. What an engine
// holds is believed from what was sent there and ended well; engines report
// their load late and at a price, so nobody asks them.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_ENGINE_CHOICE_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_ENGINE_CHOICE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "coordination/choice/cold_replica_limiter.h"
#include "state/client_request.h"
#include "state/random.h"
#include "state/replica_directory.h"
#include "state/replica_health.h"
#include "types.h"

namespace acaciachute {

// What an engine has in progress, from this entry or as another tells it.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint64_t unread_tokens = 0;  // Of prompts without a first token yet.
};

struct EngineRequest {
  const std::vector<PromptPart>* prompt = nullptr;
  std::uint64_t prompt_tokens = 0;
  // Failure domain of most of the results that the engine has to fetch, and
  // their bytes.
  std::string near_domain;
  std::uint64_t fetched_bytes = 0;
};

class EngineChoice {
 public:
  // Weight of tokens of shared parts that the engine would read again: beside
  // their time, which others wait for too, they push out what it holds.
  static constexpr double kRereadWeight = 10;
  // Load pattern: a burst, or the loss of engines, keeps homes busy, and
  // prompts go elsewhere. Among many gateways each sees few of a session's
  // requests and remembers nothing of where the others went, so each of them
  // would be read again on another engine. The engine with the second highest
  // hash is preferred among the others by this share of what reading the shared
  // parts weighs there; it is as likely to hold them as the session is to have
  // been sent away before.
  static constexpr double kSecondHomeShare = 0.8;
  // What one more running request adds until the first token: it lengthens each
  // step, and a prompt waits for the step in progress.
  static constexpr double kRunningTokens = 94;
  // A request that finds all slots taken waits for about a third of a stream.
  static constexpr double kQueuedTokens = 157'000;
  // Fetching a megabyte of results from another failure domain.
  static constexpr double kFarTokensPerMb = 2000;
  // Parts remembered an engine: several times what an engine's memory holds.
  static constexpr std::size_t kPartsRemembered = 4096;

  EngineChoice(const ReplicaDirectory* directory,
               ColdReplicaLimiter* cold,
               Random* random);

  // Null when no engine outside `tried` takes work.
  const ReplicaEntry* Choose(TimeUs now,
                             const std::string& service,
                             const EngineRequest& request,
                             const std::vector<ReplicaId>& tried,
                             bool may_repeat);

  // The home of a prompt; null when it has no shared part.
  const ReplicaEntry* HomeOf(const std::string& service,
                             const EngineRequest& request) const {
    return HomesOf(service, request).first;
  }
  void OnSent(const ReplicaId& replica, const EngineRequest& request);
  // The first event came: the prompt is read.
  void OnFirstEvent(const ReplicaId& replica, const EngineRequest& request);
  // After either; `read` tells whether `OnFirstEvent` came before.
  void OnEnded(const ReplicaId& replica,
               const EngineRequest& request,
               bool read);
  void OnSuccess(const ReplicaId& replica);
  void OnFailure(TimeUs now, const ReplicaId& replica);
  void OnReplicaGone(const ReplicaId& replica);

  // Work of other entries at an engine; replaces what `from` told before.
  void SetOthers(const NodeId& from,
                 const std::map<ReplicaId, EngineLoad>& loads);
  const std::map<ReplicaId, EngineLoad>& own() const { return own_; }

 private:
  struct Engine {
    absl::flat_hash_set<std::string> parts;  // Of prompts, by id.
    ReplicaHealth health;
  };

  struct Homes {
    const ReplicaEntry* first = nullptr;
    const ReplicaEntry* second = nullptr;
  };
  Homes HomesOf(const std::string& service, const EngineRequest& request) const;

  struct Unheld {
    std::uint64_t shared = 0;  // Tokens of parts that others use too.
    std::uint64_t own = 0;
  };
  // What the engine would have to read of the prompt.
  static Unheld UnheldAt(const Engine& engine,
                         const EngineRequest& request,
                         bool home);
  double Score(const ReplicaEntry& replica,
               const Engine& engine,
               const EngineRequest& request,
               const Homes& homes) const;
  EngineLoad LoadOf(const ReplicaId& replica) const;

  const ReplicaDirectory* const directory_;
  ColdReplicaLimiter* const cold_;
  Random* const random_;
  absl::flat_hash_map<ReplicaId, Engine> engines_;
  std::map<ReplicaId, EngineLoad> own_;
  std::map<NodeId, std::map<ReplicaId, EngineLoad>> others_;
  // Over all others, so that a choice does not go over all gateways.
  absl::flat_hash_map<ReplicaId, EngineLoad> others_sum_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_ENGINE_CHOICE_H_
