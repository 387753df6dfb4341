// Sends pieces to the gateway that batches their service, which may be this
// one.
//
// That gateway may crash, freeze, restart or be cut off while it has pieces in
// progress; requests would then wait until their deadlines for results that
// never come. Each task is therefore kept until its result arrives, and is
// resubmitted to the current batching gateway as soon as the first one is lost,
// or when no result came within `kResultTimeout`. A piece that runs twice costs
// only its time; the second result is released.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_SHARED_PIECE_DISPATCHER_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_SHARED_PIECE_DISPATCHER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/membership/gateway_peers.h"
#include "coordination/stages/local_piece_dispatcher.h"
#include "coordination/stages/piece_dispatcher.h"
#include "messages.h"

namespace acaciachute {

class SharedPieceDispatcherOutput {
 public:
  virtual ~SharedPieceDispatcherOutput() = default;
  virtual void SendToPeer(const NodeId& peer, const Message& message) = 0;
  // Delivers a result of a request that this gateway handles itself.
  virtual void OnOwnPiece(const PieceResult& result) = 0;
};

class SharedPieceDispatcher : public PieceDispatcher {
 public:
  // How long a result may take beyond the queue wait that the batching gateway
  // last reported. It covers several calls, so a piece that is later than that
  // is more likely lost than slow.
  static constexpr DurationUs kResultTimeout = 2500 * kMillisecond;

  SharedPieceDispatcher(NodeId self,
                        const GatewayPeers* peers,
                        LocalPieceDispatcher* local,
                        const ReplicaDirectory* directory,
                        RetryBudgetOf budget_of,
                        SharedPieceDispatcherOutput* output,
                        EventLog* log);

  void Submit(TimeUs now, std::vector<PieceTask> tasks) override;
  void CancelRequest(const std::string& request) override;
  void CancelStage(const std::string& request, std::uint32_t stage) override;
  void ReleaseResults(const std::vector<std::string>& handles) override;
  QueueWait ExpectedWait(TimeUs now, const std::string& service) const override;

  // Whether one of the services that produced these results uses more than
  // `kMemoryShortageShare` of its memory for results.
  bool ShortOfMemory(const std::vector<std::string>& handles) const;
  // Share of the result memory in use above which memory counts as short. Up to
  // it, at least as much memory is free as results occupy.
  static constexpr double kMemoryShortageShare = 0.5;

  // Limits the memory of other gateways' pieces here, in bytes; zero: no limit.
  // Pieces beyond it are refused, and their requests with them.
  void SetPeerMemory(std::size_t limit) { peer_memory_limit_ = limit; }

  // Result of a piece that this gateway's batchers ran or failed to run.
  void OnLocalPiece(const PieceResult& result);
  void OnPeerTasks(TimeUs now, const NodeId& from, const PieceTasks& tasks);
  void OnPeerCancel(const PieceCancel& cancel);
  void OnPeerRelease(const PieceRelease& release);
  void OnPeerResults(const PieceResults& results);
  // Queue waits that the batching gateways reported.
  void OnPeerQueueWaits(const std::vector<ServiceQueueWait>& waits);
  // Queue waits of the services that this gateway batches.
  std::vector<ServiceQueueWait> OwnQueueWaits(TimeUs now) const;
  // Whether this gateway batches any service.
  bool Batches() const;
  void OnPeerLost(TimeUs now, const NodeId& peer);
  void OnTick(TimeUs now);
  // Sends results to the gateways that submitted the pieces. Call it after each
  // local call ends, so that no stage waits for the next tick.
  void SendResults();
  // Whether no piece of another gateway's request is in progress here.
  bool HasNoPeerRequests() const { return peer_requests_.empty(); }

 private:
  // A piece of a request of this gateway that has no result yet.
  struct Pending {
    PieceTask task;
    NodeId owner;
    // The process that got the piece was not lost since.
    bool owner_live = true;
    TimeUs deadline = 0;
    TimeUs latest_start = 0;
    TimeUs request_arrived_at = 0;
    TimeUs sent_at = 0;
    // This gateway took the piece from the retry budget, and no result shows
    // that it arrived.
    bool retry_in_transit = false;
  };

  // A request of another gateway with pieces in progress here.
  struct PeerRequest {
    NodeId gateway;  // That sent the pieces.
    std::size_t memory = 0;
  };

  double MemoryShareInUse(const std::string& service) const;
  // Whether there is memory for the tasks. If not, refuses them.
  bool AcceptPeerTasks(const NodeId& from, const std::vector<PieceTask>& tasks);
  void SendToOwner(TimeUs now, std::vector<PieceTask> tasks);
  // Pieces of one request and service that are submitted again.
  struct ResubmittedGroup {
    std::uint32_t priority = 0;
    TimeUs deadline = 0;
    std::vector<PieceKey> keys;
  };
  // The most urgent group first.
  std::vector<ResubmittedGroup> GroupByRequest(
      const std::vector<PieceKey>& keys) const;
  void Resubmit(TimeUs now,
                const std::vector<PieceKey>& keys,
                const char* reason);
  void ResubmitGroup(TimeUs now,
                     const ResubmittedGroup& group,
                     const char* reason);
  // Takes the retries of the group from the budget; returns whether it did.
  bool PayFor(TimeUs now, const ResubmittedGroup& group);
  // Waits for the results for another `kResultTimeout`.
  void PostponeOverdue(TimeUs now, const ResubmittedGroup& group);
  // Ends the pieces of the group as not made.
  void GiveUp(const ResubmittedGroup& group);
  // Removes the piece; `arrived`: a result shows that it arrived.
  void Erase(std::map<PieceKey, Pending>::iterator it, bool arrived);
  void EndRetry(Pending* pending, bool arrived);
  void OnOwnResult(const PieceResult& result);

  const NodeId self_;
  const GatewayPeers* const peers_;
  LocalPieceDispatcher* const local_;
  const ReplicaDirectory* const directory_;
  const RetryBudgetOf budget_of_;
  SharedPieceDispatcherOutput* const output_;
  EventLog* const log_;
  std::map<PieceKey, Pending> pending_;
  // By request of this gateway: the other gateways that received pieces of it.
  std::map<std::string, std::set<NodeId>> owners_;
  std::map<std::string, PeerRequest> peer_requests_;  // By request.
  std::size_t peer_memory_ = 0;                       // Sum of all of them.
  std::size_t peer_memory_limit_ = 0;
  std::map<std::string, QueueWait> peer_waits_;
  // By receiver, not sent yet.
  std::map<NodeId, std::vector<PieceResult>> results_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_SHARED_PIECE_DISPATCHER_H_
