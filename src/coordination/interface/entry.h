// The entry's decision logic without I/O: takes (time, message) and calls
// `EntryOutput`.
//
// A request is admitted or refused, claimed when it is not idempotent, run
// stage by stage, assembled and answered once. Because there is no I/O, tests
// of failures are short: they deliver messages late, twice, out of order or
// never.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_ENTRY_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_ENTRY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/interface/caller.h"
#include "coordination/interface/claims.h"
#include "coordination/interface/quarantine.h"
#include "coordination/interface/store_calls.h"
#include "coordination/settings/settings_freshness.h"
#include "messages.h"
#include "state/cost_table.h"
#include "state/metrics.h"
#include "state/random.h"
#include "state/replica_table.h"
#include "state/settings.h"
#include "state/span.h"
#include "state/store.h"
#include "types.h"

namespace acaciachute {

// Actions that the entry requests from its driver.
class EntryOutput : public StoreOutput {
 public:
  virtual void Send(const NodeId& sidecar, const Message& message) = 0;
  virtual void Answer(CallerHandle handle, const CallerAnswer& answer) = 0;
  // Sends the next part of a streamed answer; `Answer` ends the stream.
  virtual void Stream(CallerHandle handle, std::string_view part) = 0;
  virtual void Export(const Span& span) = 0;
};

struct EntryOptions {
  NodeId node;
  Incarnation incarnation = 0;
  // Maximum number of requests in progress.
  std::size_t max_requests = 4096;
  // Null: the settings always count as current.
  const SettingsFreshness* freshness = nullptr;
  // This entry's share of the table's transaction rate for claims.
  double claim_transactions_per_second = 100;
};

// Creates the claim keeper. Tests substitute another one to show which
// guarantees depend on claims.
using ClaimKeeperFactory =
    std::function<std::unique_ptr<ClaimKeeper>(ClaimEvents* events)>;

class Entry {
 public:
  Entry(EntryOptions options,
        EntryOutput* output,
        Random* random,
        Metrics* metrics,
        const ClaimKeeperFactory& make_claims = nullptr);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void OnSettings(TimeUs now, SettingsPtr settings);
  void OnRequest(TimeUs now, CallerRequest request);
  // Reports the status of a request whose answer the caller lost.
  void OnStatus(TimeUs now,
                CallerHandle handle,
                std::string_view account,
                std::string_view key);
  void OnCallerGone(TimeUs now, CallerHandle handle);
  void OnMessage(TimeUs now, const NodeId& from, const Message& message);
  void OnHeartbeat(TimeUs now,
                   const NodeId& from,
                   Incarnation incarnation,
                   const Heartbeat& heartbeat);
  // Sets the state of a sidecar that membership derived, such as suspected or
  // dead, rather than one that the sidecar reported.
  void OnMemberState(TimeUs now, const NodeId& sidecar, NodeState state);
  // The connection to a sidecar was lost: its attempts in progress may have
  // run.
  void OnPeerLost(TimeUs now, const NodeId& sidecar);
  // The connection was not established: `message` did not leave this process.
  void OnUnsent(TimeUs now, const NodeId& sidecar, const Message& message);
  void OnStoreAnswer(TimeUs now, StoreTicket ticket, const StoreAnswer& answer);
  void OnTick(TimeUs now);
  // Time at which `OnTick` is due next; the far future when nothing waits.
  TimeUs NextWakeup() const;

  // Refuses new requests from now on; those in progress finish.
  void Leave();
  std::size_t InProgress() const;
  // Number of claim outcomes that are not yet confirmed in the table.
  std::size_t UnsettledOutcomes() const;

  const CostTable& costs() const;
  ReplicaTable& replicas();
  Quarantine& quarantine();
  const SettingsPtr& settings() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_ENTRY_H_
