// A small deployment on loopback: the store, replicas of three kinds of service
// with a pipeline of two stages, gateways as processes, and clients.
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
  int events = 48;         // Of a stream.
  std::string log_folder;  // Empty: logs are dropped.
};

class World {
 public:
  World(Loop* loop, const WorldOptions& options);
  ~World();

  // Starts all gateways; whether they were ready in time.
  bool Start();
  // Runs the loop until `condition` holds; false when it did not in time.
  bool WaitFor(DurationUs patience, const std::function<bool()>& condition);

  // One request to `route` ("unsafe", "safe", "staged" or "resumed") at a
  // gateway. A client that repeats does so as a new attempt, which is not done
  // here: each attempt is judged by itself.
  void Send(const std::string& route, std::size_t gateway);

  // Changes that are written to the store as the operator and replicas do.
  void WriteConfig();
  void List(const StandinReplica& replica, bool leaving);
  void Unlist(const StandinReplica& replica);
  // Ends one life of a replica and lists the next.
  void CrashReplica(std::size_t n);

  StandinStore* store() { return &store_; }
  Ledger* ledger() { return &ledger_; }
  std::vector<std::unique_ptr<GatewayProcess>>& gateways() { return gateways_; }
  std::vector<std::unique_ptr<StandinReplica>>& replicas() { return replicas_; }
  // Each gateway's own link to the store.
  std::vector<std::unique_ptr<Relay>>& store_links() { return store_links_; }
  int ReadinessStatus(std::size_t gateway);

 private:
  class Client;

  void AddReplicas(const std::string& service, const ReplicaWork& work, int n);

  Loop* const loop_;
  const WorldOptions options_;
  Ledger ledger_;
  StandinStore store_;
  std::vector<std::unique_ptr<StandinReplica>> replicas_;
  std::map<std::string, std::string> service_of_;  // By address.
  std::vector<std::unique_ptr<Relay>> store_links_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
  HttpChannels channels_;
  std::map<CallId, std::unique_ptr<Client>> clients_;
  std::uint64_t version_ = 0;
  std::uint64_t next_id_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_WORLD_H_
