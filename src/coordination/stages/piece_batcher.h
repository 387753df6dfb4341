// Batches the pieces of all requests into calls to one service's replicas.
//
// Load pattern: a call costs a fixed time and a little for each piece, and a
// replica runs one call at a time. Sent one by one, or batched by each gateway
// on its own, pieces fill calls badly, and calls queue behind those of other
// gateways. One batcher that sees every waiting piece fills the
// next free replica with the most urgent ones, so that a piece waits for the
// replica that is free first and not for its gateway's own.
//
// Pieces of one request and stage go in one call where one can take them. Split
// over two, the first half's results hold memory until the second is made.
//
// A replica that answers slower than configured is given work only when it
// would still finish before the others could. A call that takes more than
// `kOverdue` times as long as expected is not waited for alone: its pieces are
// made again elsewhere, within a budget, and the first result counts.
//
// Failure: a replica does its work and its answer is lost. Symptom: it is taken
// to be at work until the call is given up, and stands idle beside a full
// queue. An overdue call no longer counts as one that keeps its replica
// busy, so the replica is tried with another call when that is worth it. A
// replica that does one call at a time and answers the later one has done the
// earlier: its answer will not come, and its pieces are made again at once.
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
  DurationUs expected = 0;
  // What decided its size, for logs.
  std::size_t left_waiting = 0;
  std::uint64_t held_bytes = 0;  // At the replica, with these pieces' results.
  double slowness = 1;
};

// How a call ended.
struct PieceCallEnd {
  enum class Kind {
    kAnswered,
    kRefused,    // The replica's word that it ran nothing.
    kUnreached,  // No byte of the call left.
    kBroken,     // No answer; the pieces may have been made.
    kLost,       // The replica did its work and the answer never came.
  };
  Kind kind = Kind::kBroken;
  std::string why;                   // When not answered.
  std::vector<PieceResult> results;  // In the order of the pieces.
};

class PieceBatcherOutput {
 public:
  virtual ~PieceBatcherOutput() = default;
  virtual void StartCall(const PieceCall& call) = 0;
  virtual void OnPiece(const PieceResult& result) = 0;
  // Tells `replica` that it may forget these results.
  virtual void FreeAt(const Address& replica,
                      const std::vector<std::string>& handles) = 0;
  // Every piece that needs these results is being made and has read them.
  virtual void OnInputsRead(const std::vector<std::string>& handles) = 0;
  // Whether the producers of these results are short of memory for others.
  virtual bool ShortOfMemory(const std::vector<std::string>& handles) = 0;
};

class PieceBatcher {
 public:
  // A call this much over its expected time is made again elsewhere. Calls vary
  // by a few percent; slow replicas take three times as long and more.
  static constexpr double kOverdue = 1.8;
  static constexpr DurationUs kOverdueSlack = 100 * kMillisecond;
  // A call is given up after this, so that a silent replica frees its slot.
  static constexpr DurationUs kGiveUp = 4 * kSecond;
  // With several replicas free, a call takes at least this many pieces before
  // the next replica is used: below it the fixed cost is most of a call.
  static constexpr std::uint32_t kWorthACall = 4;
  // Of a replica's memory that results of late requests may fill up to: what
  // comes next may still be on time.
  static constexpr double kLateRoom = 0.6;
  // How long a piece waits for a replica in its own failure domain while others
  // are free, because its inputs or its result would cross domains: half of the
  // time that its request has to spare, within these bounds.
  static constexpr DurationUs kNearPatience = 80 * kMillisecond;
  static constexpr DurationUs kMostNearPatience = 300 * kMillisecond;
  // Load pattern: in a burst, results fill the memory of their producers, some
  // of them only because the next stage is at work on them. A call reads its
  // inputs before its work; after this share of the fixed part of a call they
  // are let go. The price: when a piece of that call fails then, its request's
  // stages begin again. So they are let go only where memory is short.
  static constexpr double kInputsRead = 0.4;
  // Load pattern: many pieces wait for memory, and each replica that has a
  // little of it looks at all of them, again and again. This many requests or
  // pieces are passed over for one call.
  static constexpr std::size_t kLookAhead = 64;
  // Calls' worth of pieces among which one call's are chosen: enough that a
  // replica finds a call of its own among four failure domains' pieces.
  static constexpr std::size_t kChoice = 4;
  // How often waiting pieces and results are looked through for their end.
  static constexpr DurationUs kUpkeep = 50 * kMillisecond;
  // Makings of one piece.
  static constexpr std::uint32_t kMostTries = 4;

  PieceBatcher(const ReplicaDirectory* directory,
               ServiceRetryBudget* budget,
               PieceBatcherOutput* output);

  void SetService(const std::string& name, const BatchLimits& limits);

  void Add(TimeUs now, PieceTask task);
  // Begins what can be begun; due after pieces were added.
  void Dispatch(TimeUs now);
  // Nobody waits for the request's pieces any longer.
  void Drop(const std::string& request);
  // Results that nobody needs any longer; told to their producers with the next
  // tick, those of one producer together.
  void Free(const std::vector<std::string>& handles);
  void OnCallEnd(TimeUs now, BatchId id, const PieceCallEnd& end);
  void OnReplicaGone(TimeUs now, const ReplicaId& replica);
  // That incarnation of the replica is over: what it was asked for is made
  // elsewhere at once, instead of when the calls are overdue.
  void OnReplicaRestarted(TimeUs now, const ReplicaId& replica);
  // Calls what is due; call it every 10 ms and after other changes.
  void OnTick(TimeUs now);

  bool Idle() const { return pieces_.empty() && calls_.empty(); }
  std::size_t waiting() const { return waiting_.size(); }
  QueueWait ExpectedWait(TimeUs now) const;
  // Share of the replicas' memory for results that is held.
  double MemoryHeld() const { return replicas_.MemoryHeld(); }

 private:
  // Where a piece stands, first to last.
  enum class Standing : std::uint32_t {
    // Others of its request and stage were begun: their results hold memory
    // until this one is made too.
    kBegun,
    kInTime,
    // Its request cannot be on time, and it holds no more memory than it asks
    // for.
    kLate,
  };
  // The order in which pieces are taken.
  struct Rank {
    Standing standing = Standing::kInTime;
    std::uint32_t priority = 0;
    TimeUs since = 0;  // When its request arrived here.
    PieceKey key;
    auto operator<=>(const Rank&) const = default;
  };
  struct Piece {
    PieceTask task;
    TimeUs deadline = 0;
    TimeUs queued_at = 0;
    TimeUs begin_by = 0;  // Later its request cannot be on time.
    bool yields = true;   // Whether being late puts it last.
    bool sibling_begun = false;
    bool inputs_read = false;
    Rank rank;
    bool queued = false;
    std::uint32_t calls = 0;  // That carry it now.
    std::uint32_t tries = 0;
    std::set<ReplicaId> tried;
  };
  struct Call {
    PieceCall call;
    TimeUs started = 0;
    DurationUs expected = 0;
    bool copied = false;  // Overdue: its pieces were queued again.
    bool inputs_read = false;
  };
  // How fast the queue moves.
  struct Pace {
    bool any = false;           // Replica that takes calls.
    DurationUs first_free = 0;  // Until the next call begins.
    double each = 0;            // Microseconds a piece.
  };
  Pace PaceOf(TimeUs now) const;
  static DurationUs WaitBehind(const Pace& pace, std::size_t ahead);
  std::size_t UsualBatch() const;
  void SendFrees();
  // Whether the piece may go to a replica in `domain` now.
  static DurationUs NearPatience(TimeUs now, const Piece& piece);
  bool NearEnough(TimeUs now, const Piece& piece, const std::string& domain);
  std::size_t QueuedOf(const PieceKey& key) const;
  // Above all ranks of the same request, stage and standing.
  static Rank LastOfGroup(const Rank& rank);
  std::uint64_t BytesOfQueued(const Piece& piece) const;
  // Pieces of one request, stage and standing each: the first of them in
  // `waiting_`, and what decides whether they are taken.
  struct Groups {
    std::vector<Rank> firsts;
    std::vector<WaitingGroup> views;
  };
  Groups GroupsFor(TimeUs now, const ReplicaEntry& replica);
  // Takes the pieces of a call to `replica` off the queue, `most` and what
  // completes their requests; their results count as held there.
  std::vector<PieceTask> TakePieces(TimeUs now,
                                    const ReplicaEntry& replica,
                                    std::size_t most);
  void StartOn(TimeUs now, const ReplicaEntry& replica, std::size_t most);
  void Enqueue(TimeUs now, Piece* piece);
  void AdvanceSiblings(const PieceKey& key);
  std::uint64_t LateRoom() const;
  void EndPiece(TimeUs now, bool answered, const PieceResult& result);
  void Finish(std::map<PieceKey, Piece>::iterator it,
              const PieceResult& result);
  void ForgetTriedIfAll(Piece* piece) const;
  void Again(TimeUs now, Piece* piece, PieceOutcome outcome);
  void ExpireWaiting(TimeUs now);
  void WatchCalls(TimeUs now);
  void CopyOverdue(TimeUs now, Call* call);
  // Ends the overdue calls that `answered`, of the same replica, was started
  // after.
  void EndLostBefore(TimeUs now, const Call& answered);
  // Ends all calls for which `holds` is true, in the same way.
  void EndCallsWhere(TimeUs now,
                     const PieceCallEnd& end,
                     const std::function<bool(const Call&)>& holds);
  void HoldLost(TimeUs now, const Call& call);
  static StageReplicas::CallView ViewOf(const Call& call);
  void NoteInputsRead(const Call& call);
  // Whether the piece's inputs may be gone, so that it can't be made again.
  bool LetGoOfInputs(const Piece& piece) const;

  StageReplicas replicas_;
  ServiceRetryBudget* const budget_;
  PieceBatcherOutput* const output_;
  BatchLimits limits_;
  std::map<PieceKey, Piece> pieces_;
  std::set<Rank> waiting_;
  // By request and stage: its pieces whose calls have read their inputs.
  std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> read_;
  std::map<BatchId, Call> calls_;
  std::map<Address, std::vector<std::string>> frees_;
  BatchId next_id_ = 1;
  TimeUs next_upkeep_ = 0;
  QueueRate rate_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_PIECE_BATCHER_H_
