// Stand-in for a replica of one software version that writes long streams, each
// event of which names the version, and breaks most of them off.
#ifndef ACACIACHUTE_TESTS_SOAK_VERSION_REPLICA_H_
#define ACACIACHUTE_TESTS_SOAK_VERSION_REPLICA_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "state/random.h"
#include "tests/soak/raw_listener.h"
#include "transport/loop.h"

namespace acaciachute {

class VersionReplica : public ListenerHandler {
 public:
  VersionReplica(Loop* loop,
                 std::string id,
                 std::string service,
                 const std::string& version,
                 std::uint64_t seed);

  // The process ends with all of its connections, until `ComeBack` starts one
  // of another version under the same id and address.
  void GoDown();
  void ComeBack(const std::string& version);
  // States in all answers that it leaves.
  void StateLeaving() { leaving_ = true; }

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  const std::string& version() const { return version_; }
  bool serving() const { return listener_.listening(); }
  TimeUs started_at() const { return started_at_; }
  // Its row in the store, in state `state`.
  nlohmann::json Row(const std::string& state) const;

  // ListenerHandler:
  void OnRequest(ExchangeId id,
                 HttpRequestHead head,
                 std::string body) override;
  void OnClientDisconnected(ExchangeId id) override { streams_.erase(id); }
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

 private:
  struct Stream {
    std::string attempt;
    int next = 0;       // Event.
    int size = 0;       // Events of the whole stream.
    int break_off = 0;  // The event at which it breaks off; `size`: at none.
  };

  void Start(const std::string& version);
  void Answer(ExchangeId id,
              int status,
              HttpFields fields,
              const std::string& body);
  void BeginStream(ExchangeId id, const HttpRequestHead& head);
  void SendEvent(ExchangeId id);
  void BreakOff(ExchangeId id, const std::string& event);

  Loop* const loop_;
  const std::string id_;
  const std::string service_;
  const Address address_;
  RawListener listener_;
  Random random_;
  std::string version_;
  std::int64_t born_ms_ = 0;  // Unix time.
  TimeUs started_at_ = 0;
  bool leaving_ = false;
  std::map<ExchangeId, Stream> streams_;
  std::shared_ptr<int> alive_;  // Of this process.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_VERSION_REPLICA_H_
