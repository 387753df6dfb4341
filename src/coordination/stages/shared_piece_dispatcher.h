// Hands pieces to the gateway that batches their service, be it this one.
//
// Failure: that gateway dies, freezes, restarts or is cut off with pieces in
// hand. Symptom: requests wait until their deadlines for pieces that nobody
// makes. Tasks are kept until their results are here, and handed to the next
// gateway as soon as the first one is lost, or when no result came in
// `kPatience`; a piece that is then made twice costs only its time, and the
// second result is freed.
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
  // A result for this gateway's own request.
  virtual void OnOwnPiece(const PieceResult& result) = 0;
};

class SharedPieceDispatcher : public PieceDispatcher {
 public:
  // Several calls' time: a piece that waits this much longer than the queue at
  // the other gateway, as it last told, is more likely lost than late.
  static constexpr DurationUs kPatience = 2500 * kMillisecond;

  SharedPieceDispatcher(NodeId self,
                        const GatewayPeers* peers,
                        LocalPieceDispatcher* local,
                        const ReplicaDirectory* directory,
                        SharedPieceDispatcherOutput* output,
                        EventLog* log);

  void Submit(TimeUs now, std::vector<PieceTask> tasks) override;
  void Drop(const std::string& request) override;
  void Free(const std::vector<std::string>& handles) override;
  QueueWait ExpectedWait(TimeUs now, const std::string& service) const override;

  // Whether the service that made these results holds more than `kShort` of its
  // memory for results.
  bool ShortOfMemory(const std::vector<std::string>& handles) const;
  // Below it each replica has memory for as much again as it holds.
  static constexpr double kShort = 0.5;

  // A piece that this gateway's batchers made, or could not make.
  void OnLocalPiece(const PieceResult& result);
  void OnPeerTasks(TimeUs now, const NodeId& from, const PieceTasks& tasks);
  void OnPeerCancel(const PieceCancel& cancel);
  void OnPeerRelease(const PieceRelease& release);
  void OnPeerResults(const PieceResults& results);
  // What the batching gateways tell of their queues, and what this one does.
  void OnPeerQueueWaits(const std::vector<ServiceQueueWait>& waits);
  std::vector<ServiceQueueWait> OwnQueueWaits(TimeUs now) const;
  // Whether this gateway batches any service.
  bool Batches() const;
  void OnPeerLost(TimeUs now, const NodeId& peer);
  void OnTick(TimeUs now);
  // Sends results to the gateways that asked; call it after each local call's
  // end, so that they do not wait for the next tick at every stage.
  void SendResults();
  // Whether no piece of other gateways' requests is in hand.
  bool ServesNobody() const { return requesters_.empty(); }

 private:
  struct Pending {
    PieceTask task;
    NodeId owner;
    TimeUs deadline = 0;
    TimeUs begin_by = 0;
    TimeUs since = 0;
    TimeUs handed_at = 0;
  };

  double MemoryHeld(const std::string& service) const;
  void HandOver(TimeUs now, std::vector<PieceTask> tasks);
  void HandAgain(TimeUs now,
                 const std::vector<PieceKey>& keys,
                 const char* why);
  void OnOwnResult(const PieceResult& result);

  const NodeId self_;
  const GatewayPeers* const peers_;
  LocalPieceDispatcher* const local_;
  const ReplicaDirectory* const directory_;
  SharedPieceDispatcherOutput* const output_;
  EventLog* const log_;
  std::map<PieceKey, Pending> pending_;
  // Other gateways that were handed pieces of one of this one's requests.
  std::map<std::string, std::set<NodeId>> owners_;
  std::map<std::string, NodeId> requesters_;  // Of other gateways' requests.
  std::map<std::string, QueueWait> told_;
  std::map<NodeId, std::vector<PieceResult>> results_;  // To be sent.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_SHARED_PIECE_DISPATCHER_H_
