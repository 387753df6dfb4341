// A small deployment on loopback: a stand-in store, stand-in replicas of a
// plain service, of two pipeline stages and of a model engine, real gateway
// processes, and clients.
#ifndef ACACIACHUTE_TESTS_SOAK_WORLD_H_
#define ACACIACHUTE_TESTS_SOAK_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/random.h"
#include "tests/process/relay.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/ledger.h"
#include "tests/soak/standin_replica.h"
#include "tests/soak/standin_store.h"
#include "transport/http_channels.h"
#include "transport/loop.h"

namespace acaciachute {

struct WorldOptions {
  int gateways = 1;
  int plain_replicas = 3;
  int stage_replicas = 3;
  int engines = 3;
  int events = 48;  // Per stream.
  // Engines without stages: how many, and the interval of their events.
  int chat_engines = 0;
  DurationUs chat_event_interval = 12 * kMillisecond;
  // Given to the gateways, and judged by what arrives at replicas.
  ServiceRetryBudgetLimits retries;
  // If set, replicas draw the framing of their answers, and how they are broken
  // off, from this seed, and some clients speak HTTP/1.0.
  std::optional<std::uint64_t> answer_seed;
  std::optional<AnswerEnd> framing;  // Of all answers, instead of a drawn one.
  std::string log_folder;            // Of the gateways' logs; empty: no logs.
};

// The body and the prompt of requests that give none.
inline const std::string kUsualBody(600, 'b');
inline const std::string kUsualPrompt = "aa:500,bb:400,cc:300";

// One request of a client.
struct ClientCall {
  // "unsafe", "safe", "staged", "resumed", or, at the engines without stages,
  // "chat-unsafe", "chat-safe" or "chat-resumed".
  std::string route;
  std::size_t gateway = 0;
  int client_retries = 0;  // See `World::Send`.
  std::string body = kUsualBody;
  std::string prompt = kUsualPrompt;
  // Keys (see `CrashJudge`) of what ends replicas in it, if anything does, and
  // of what ends replicas beside it.
  std::string crash_key;
  std::string beside;
  bool keeps_connection = true;  // False: it is sent on one of its own.
  DurationUs deadline = 6 * kSecond;
  DurationUs leaves_after = 0;  // The client does; zero: it waits.
};

// The deployment; all parts but the gateways run in the process of the test.
class World {
 public:
  World(Loop* loop, const WorldOptions& options);
  ~World();

  // Starts all gateways; returns false when one is not ready within 10 s.
  bool Start();
  // Returns false when a gateway is not ready within 10 s.
  bool WaitUntilReady();
  // Runs the loop until `condition` holds; returns false after the time-out.
  bool WaitFor(DurationUs timeout, const std::function<bool()>& condition);

  // Sends one request to a gateway. If it is refused, the client sends it again
  // at once, at the next gateway, up to `client_retries` times; each is an
  // attempt of its own with an id of its own, and each attempt is judged
  // separately.
  void Send(const ClientCall& call);
  void Send(const std::string& route,
            std::size_t gateway,
            int client_retries = 0,
            const std::string& body = kUsualBody) {
    ClientCall call;
    call.route = route;
    call.gateway = gateway;
    call.client_retries = client_retries;
    call.body = body;
    Send(call);
  }

  // Writes to the store: a new version of the operator's configuration, and the
  // row of a replica as the replica itself would write it.
  void WriteConfig();
  void WriteReplicaRow(const StandinReplica& replica, bool leaving);
  void RemoveReplicaRow(const StandinReplica& replica);
  // Engines without stages end as they begin to write an answer on this part.
  void AddCrashingPart(const std::string& part);
  // The process of a replica ends, starts again under another name after
  // `kDownTime` (engines without stages: `kChatDownTime` and up to half of that
  // more), and its old row is removed after `kRowLifetime`.
  static constexpr DurationUs kDownTime = 700 * kMillisecond;
  static constexpr DurationUs kChatDownTime = 2000 * kMillisecond;
  static constexpr DurationUs kRowLifetime = 2500 * kMillisecond;
  // One that falls silent under a request ends after this time.
  static constexpr DurationUs kSilentTime = 2500 * kMillisecond;
  // `resets`: its connections are reset, not closed.
  void EndReplica(StandinReplica* replica, bool resets = false);
  // A process that hangs ends, with its connections, and a new plain replica
  // has its address at once. The rows say so after `kRowDelay`.
  static constexpr DurationUs kRowDelay = 300 * kMillisecond;
  void GiveAddressToPlain(StandinReplica* silent);
  // Crashes a replica and lists its next incarnation in the store.
  void CrashReplica(std::size_t n);

  StandinStore* store() { return &store_; }
  Ledger* ledger() { return &ledger_; }
  std::vector<std::unique_ptr<GatewayProcess>>& gateways() { return gateways_; }
  std::vector<std::unique_ptr<StandinReplica>>& replicas() { return replicas_; }
  // The relay between each gateway and the store.
  std::vector<std::unique_ptr<Relay>>& store_links() { return store_links_; }
  // Connections that clients of HTTP/1.1 opened.
  std::uint64_t connections_opened() const { return channels_.opened(); }
  // Times until the first byte of the body of answers to them.
  const std::vector<DurationUs>& first_byte_times() const {
    return first_byte_times_;
  }
  // HTTP status of a gateway's /readyz; zero when it does not answer.
  int ReadinessStatus(std::size_t gateway);

 private:
  class Client;

  void AddReplicas(const std::string& service, const ReplicaWork& work, int n);

  Loop* const loop_;
  const WorldOptions options_;
  Ledger ledger_;
  StandinStore store_;
  std::vector<std::unique_ptr<StandinReplica>> replicas_;
  std::map<std::string, std::string> service_by_address_;
  std::vector<std::unique_ptr<Relay>> store_links_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
  HttpChannels channels_;
  std::map<std::string, std::unique_ptr<Client>> clients_;  // By attempt.
  std::vector<DurationUs> first_byte_times_;
  std::uint64_t version_ = 0;
  std::uint64_t next_id_ = 0;
  int chat_ends_ = 0;  // Of engines without stages.
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_WORLD_H_
