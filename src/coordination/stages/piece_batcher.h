// Batches the pieces of all requests into calls to one service's replicas.
//
// A call has a fixed cost and a small cost per piece, and a replica runs one
// call at a time. If pieces are sent one by one, or are batched by each gateway
// separately, calls are poorly filled and queue behind those of other gateways.
// One batcher that sees all waiting pieces fills the next free replica with the
// most urgent ones, so a piece waits for the first free replica and not for one
// assigned to its gateway.
//
// Pieces of one request and stage go into one call if they fit. If they were
// split over two calls, the results of the first would occupy memory until the
// second is done.
//
// A replica that is slower than configured gets work only if it would still
// finish before the others. If a call takes more than `kOverdueFactor` times
// its expected duration, its pieces also run on another replica, within a retry
// budget, and the first result is used.
//
// A replica may finish a call whose answer is then lost. It would count as busy
// until the call times out, and would stay idle beside a full queue. An overdue
// call therefore no longer counts against its replica's slots, and the replica
// gets another call if that would be useful. If a replica that runs one call at
// a time answers the later call, it has finished the earlier one too: that
// answer will not arrive, and the pieces are queued again at once.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_BATCHER_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_BATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/gateway/service_retry_budget.h"
#include "coordination/stages/fill_call.h"
#include "coordination/stages/queue_rate.h"
#include "coordination/stages/stage_replicas.h"
#include "state/piece.h"
#include "state/replica_directory.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

using BatchId = std::uint64_t;

// A call to one replica.
struct PieceCall {
  BatchId id = 0;
  ReplicaId replica;
  Address address;
  std::vector<PieceTask> pieces;
  DurationUs expected = 0;  // By a replica of normal speed.
  // The following fields explain the size and duration of the call in the log.
  std::size_t left_waiting = 0;  // Pieces that remain in the queue.
  // Result memory in use at the replica, including these pieces' results.
  std::uint64_t held_bytes = 0;
  double slowness = 1;
};

// How a call ended.
struct PieceCallEnd {
  enum class Kind {
    kAnswered,
    kRefused,    // The replica reported that it ran nothing.
    kUnreached,  // No byte of the call was sent.
    kBroken,     // No answer; the pieces may have run.
    kLost,       // The replica finished the call, but its answer was lost.
  };
  Kind kind = Kind::kBroken;
  std::string why;                   // Reason if `kind` is not `kAnswered`.
  std::vector<PieceResult> results;  // In the order of the pieces.
  ReplicaId replica = {};            // That the call was sent to.
};

class PieceBatcherOutput {
 public:
  virtual ~PieceBatcherOutput() = default;
  virtual void StartCall(const PieceCall& call) = 0;
  // Whether the replica accepts one more call now; see `ReplicaRateLimiter`.
  virtual bool MayCall(TimeUs now, const ReplicaEntry& replica) {
    static_cast<void>(now);
    static_cast<void>(replica);
    return true;
  }
  // When it accepts the next one; `now`: at once.
  virtual TimeUs NextCall(TimeUs now, const ReplicaEntry& replica) {
    static_cast<void>(replica);
    return now;
  }
  // Whether the replica may be sent a request to release results now. If not,
  // the request waits.
  virtual bool MayRelease(TimeUs now, const std::string& handle) {
    static_cast<void>(now);
    static_cast<void>(handle);
    return true;
  }
  virtual void OnPiece(const PieceResult& result) = 0;
  // Sends `replica` a request to release these results.
  virtual void ReleaseAt(const Address& replica,
                         const std::vector<std::string>& handles) = 0;
  // All pieces that need these results are running and have read them.
  virtual void OnInputsRead(const std::vector<std::string>& handles) = 0;
  // Whether the replicas that hold these results are short of memory for
  // others.
  virtual bool ShortOfMemory(const std::vector<std::string>& handles) = 0;
};

class PieceBatcher {
 public:
  // A call that takes longer than this multiple of its expected duration, plus
  // `kOverdueMargin`, is overdue. Calls vary by a few percent; slow replicas
  // take three times as long and more.
  static constexpr double kOverdueFactor = 1.8;
  static constexpr DurationUs kOverdueMargin = 100 * kMillisecond;
  // Time limit of a call, after which the slot of an unresponsive replica is
  // free again.
  static constexpr DurationUs kCallTimeout = 4 * kSecond;
  // If several replicas are free, a call takes at least this many pieces before
  // the next replica is used: with fewer, the fixed cost dominates the call.
  static constexpr std::uint32_t kMinPiecesPerCall = 4;
  // Share of a replica's result memory up to which pieces of late requests may
  // fill it. The remainder is kept for requests that can still meet their
  // deadlines.
  static constexpr double kLateMemoryShare = 0.6;
  // Bounds of the time that a piece waits for a replica in its preferred
  // failure domain (`PieceTask::near_domain`) while replicas in other domains
  // are free, because its inputs or its result would cross domains. Within
  // them, it waits for half of the time that its request has to spare.
  static constexpr DurationUs kMinPreferredDomainWait = 80 * kMillisecond;
  static constexpr DurationUs kMaxPreferredDomainWait = 300 * kMillisecond;
  // Share of the fixed part of a call after which the call is taken to have
  // read its inputs. In a burst, results fill the memory of their replicas,
  // some only because the next stage is working on them, so inputs are released
  // at that point. If a piece of that call then fails, the stages of its
  // request have to start again; therefore inputs are released early only where
  // memory is short.
  static constexpr double kInputsReadShare = 0.4;
  // Number of groups, each of one request and stage, that are skipped for one
  // call. While many pieces wait for memory, each replica with a little free
  // memory would otherwise scan all of them repeatedly.
  static constexpr std::size_t kMaxSkippedGroups = 64;
  // The pieces of one call are chosen from the first waiting pieces, up to the
  // number that this many full calls take: enough that a replica finds a full
  // call among the pieces of four failure domains.
  static constexpr std::size_t kCandidateCalls = 4;
  // Period of the scan for expired waiting pieces and results.
  static constexpr DurationUs kExpiryScanPeriod = 50 * kMillisecond;
  // Limit on the inputs of the pieces of one call, in bytes, unless it has one
  // piece. A call states the inputs of each of its pieces, so a call with many
  // pieces that need many results would take as much memory as both multiplied.
  static constexpr std::size_t kMaxCallInputBytes = 512 << 10;
  // Limit on the calls that one piece takes part in.
  static constexpr std::uint32_t kMaxCallsPerPiece = 4;

  PieceBatcher(const ReplicaDirectory* directory,
               ServiceRetryBudget* budget,
               PieceBatcherOutput* output);

  void SetService(const std::string& name, const BatchLimits& limits);

  void Add(TimeUs now, PieceTask task);
  // Starts the calls that can be started. Must be called after pieces were
  // added.
  void Dispatch(TimeUs now);
  // Cancels the request's pieces, or those of one of its stages.
  void CancelRequest(const std::string& request);
  void CancelStage(const std::string& request, std::uint32_t stage);
  // Releases results that no request needs any longer. The replicas are
  // notified at the next tick, each with one message.
  void ReleaseResults(const std::vector<std::string>& handles);
  void OnCallEnd(TimeUs now, BatchId id, const PieceCallEnd& end);
  void OnReplicaRemoved(TimeUs now, const ReplicaId& replica);
  // The replica's previous incarnation has ended: its pieces are queued again
  // at once, instead of when their calls become overdue.
  void OnReplicaRestarted(TimeUs now, const ReplicaId& replica);
  // Handles everything that has become due. Call it every 10 ms and after other
  // changes.
  void OnTick(TimeUs now);

  bool Idle() const { return pieces_.empty() && calls_.empty(); }
  std::size_t waiting() const { return waiting_.size(); }
  QueueWait ExpectedWait(TimeUs now) const;
  // Share of the replicas' result memory that is in use.
  double MemoryShareInUse() const { return replicas_.MemoryShareInUse(); }

 private:
  // Primary sort key of the queue, first to last.
  enum class DispatchClass : std::uint32_t {
    // Other pieces of its request and stage were started; their results occupy
    // memory until this piece is done too.
    kSiblingStarted,
    kOnTime,
    // Its request can no longer meet its deadline, and the results it holds
    // take no more memory than this piece's result.
    kLate,
  };
  // Sort key of the queue; the lowest rank is taken first.
  struct Rank {
    DispatchClass dispatch_class = DispatchClass::kOnTime;
    std::uint32_t priority = 0;
    // At the request's own gateway, on this host's clock.
    TimeUs request_arrived_at = 0;
    PieceKey key;
    auto operator<=>(const Rank&) const = default;
  };
  struct Piece {
    PieceTask task;
    TimeUs deadline = 0;
    TimeUs queued_at = 0;
    // If the piece starts later, its request misses its deadline.
    TimeUs latest_start = 0;
    bool demote_when_late = true;  // Whether a late piece is moved to `kLate`.
    bool sibling_started = false;
    bool inputs_read = false;
    Rank rank;
    bool queued = false;
    std::set<BatchId> calls;  // Calls in progress that contain this piece.
    std::uint32_t attempts = 0;
    // Sends that this batcher took from the retry budget and whose arrival is
    // not confirmed.
    std::uint32_t retries_in_transit = 0;
    std::set<ReplicaId> tried_replicas;
  };
  struct Call {
    PieceCall call;
    TimeUs started = 0;
    DurationUs expected = 0;  // By this replica, given its slowness.
    // The call is overdue, and its pieces were considered for requeuing.
    bool requeued = false;
    bool inputs_read = false;
  };
  // Speed of the queue, from which waits are predicted.
  struct QueueSpeed {
    bool has_replica = false;        // Whether any replica takes calls.
    DurationUs time_until_free = 0;  // Time until the next call starts.
    double time_per_piece = 0;       // Microseconds per piece.
  };
  QueueSpeed CurrentQueueSpeed(TimeUs now) const;
  static DurationUs WaitBehind(const QueueSpeed& speed, std::size_t ahead);
  std::size_t ExpectedBatchSize() const;
  void SendReleases(TimeUs now);
  // How long the piece waits for a replica in its preferred failure domain
  // before any replica may take it.
  static DurationUs PreferredDomainWait(TimeUs now, const Piece& piece);
  bool MayRunInDomain(TimeUs now,
                      const Piece& piece,
                      const std::string& domain);
  std::size_t WaitingInStage(const PieceKey& key) const;
  // Returns a rank above all ranks of the same request, stage and dispatch
  // class.
  static Rank LastOfGroup(const Rank& rank);
  std::uint64_t GroupResultBytes(const Piece& piece) const;
  // Groups of pieces of one request, stage and dispatch class: the rank of the
  // first piece of each in `waiting_`, and the properties that decide whether
  // the group is taken.
  struct Groups {
    std::vector<Rank> first_ranks;
    std::vector<WaitingGroup> candidates;
  };
  Groups EligibleGroups(TimeUs now, const ReplicaEntry& replica);
  // Removes the pieces of a call to `replica` from the queue: up to
  // `max_pieces`, and more if that completes the group of a request. Their
  // results are counted as occupying the replica's memory.
  std::vector<PieceTask> TakePieces(TimeUs now,
                                    BatchId call,
                                    const ReplicaEntry& replica,
                                    std::size_t max_pieces);
  void StartCallOn(TimeUs now,
                   const ReplicaEntry& replica,
                   std::size_t max_pieces);
  void Enqueue(TimeUs now, Piece* piece);
  // Takes a retry from the budget and queues the piece; returns whether it did.
  bool RetryPiece(TimeUs now, Piece* piece, RetryReason reason);
  // The piece is no longer in any call; `answered`: the last one was answered.
  void EndRetries(Piece* piece, bool answered);
  // The piece is dropped.
  void DropRetries(const Piece& piece);
  // Drops the piece; returns the next one.
  std::map<PieceKey, Piece>::iterator Cancel(
      std::map<PieceKey, Piece>::iterator it);
  void PrioritizeSiblings(const PieceKey& key);
  std::uint64_t LateMemoryBytes() const;
  void EndPiece(TimeUs now,
                BatchId call,
                bool answered,
                const PieceResult& result);
  void Finish(std::map<PieceKey, Piece>::iterator it,
              const PieceResult& result);
  void ResetTriedReplicas(Piece* piece) const;
  void RetryOrFinish(TimeUs now, Piece* piece, PieceOutcome outcome);
  void ExpireWaiting(TimeUs now);
  void CheckCalls(TimeUs now);
  void RequeueOverdue(TimeUs now, Call* call);
  // Ends the overdue calls to the replica of `answered` that were started
  // before it.
  void EndLostCallsBefore(TimeUs now, const Call& answered);
  // Ends all calls for which `matches` returns true, with the given `end`.
  void EndCallsWhere(TimeUs now,
                     const PieceCallEnd& end,
                     const std::function<bool(const Call&)>& matches);
  void ReserveLostResults(TimeUs now, const Call& call);
  static StageReplicas::CallView ViewOf(const Call& call);
  // Whether the call has room for the piece's inputs; `taken`: those of the
  // pieces before it.
  static bool FitsInputs(std::size_t taken, const PieceTask& task);
  void MarkInputsRead(const Call& call);
  // Whether the piece's inputs may have been released, so that it cannot run
  // again.
  bool InputsReleased(const Piece& piece) const;

  StageReplicas replicas_;
  ServiceRetryBudget* const budget_;
  PieceBatcherOutput* const output_;
  BatchLimits limits_;
  std::map<PieceKey, Piece> pieces_;
  std::set<Rank> waiting_;
  // By request and stage: the number of pieces whose calls have read their
  // inputs.
  std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> inputs_read_;
  std::map<BatchId, Call> calls_;
  std::map<Address, std::vector<std::string>> pending_releases_;
  BatchId next_id_ = 1;
  TimeUs next_expiry_scan_ = 0;
  QueueRate queue_rate_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_BATCHER_H_
