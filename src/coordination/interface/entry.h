// The entry's decisions without I/O: (time, message) in, actions out.
//
// A request is admitted or refused, claimed when it is not idempotent, run
// stage by stage, assembled and answered once. Failures are short tests that
// hand over messages late, twice, out of order or never.
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

// What the core asks its driver to do.
class EntryOutput : public StoreOutput {
 public:
  virtual void Send(const NodeId& sidecar, const Message& message) = 0;
  virtual void Answer(CallerHandle handle, const CallerAnswer& answer) = 0;
  // Part of a streamed answer, in order; `Answer` ends the stream.
  virtual void Stream(CallerHandle handle, std::string_view part) = 0;
  virtual void Export(const Span& span) = 0;
};

struct EntryOptions {
  NodeId node;
  Incarnation incarnation = 0;
  std::size_t max_requests = 4096;  // In progress at once.
  const SettingsFreshness* settings_freshness =
      nullptr;  // Without one, always current.
  // Transactions on claims: this entry's share of what the table takes.
  double claim_transactions_per_second = 100;
};

// Makes the keeper of claims; tests give another to show what rests on it.
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
  // What became of a request whose answer was lost.
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
  // What membership judges of a sidecar that did not say so itself.
  void OnMemberState(TimeUs now, const NodeId& sidecar, NodeState state);
  // The connection to a sidecar broke: attempts there may have run.
  void OnPeerLost(TimeUs now, const NodeId& sidecar);
  // The connection was never made: `message` did not leave this process.
  void OnUnsent(TimeUs now, const NodeId& sidecar, const Message& message);
  void OnStoreAnswer(TimeUs now, StoreTicket ticket, const StoreAnswer& answer);
  void OnTick(TimeUs now);
  // When `OnTick` has work again; the far future when nothing waits.
  TimeUs NextWakeup() const;

  // From now on new requests are refused; those in progress finish.
  void Leave();
  std::size_t InProgress() const;
  // Outcomes of claims that are not known to stand in the table yet.
  std::size_t Unsettled() const;

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
