#include "coordination/stages/piece_batcher.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "address_text.h"

namespace acaciachute {
namespace {

StageReplicas::End EndOf(PieceCallEnd::Kind kind) {
  switch (kind) {
    case PieceCallEnd::Kind::kAnswered:
      return StageReplicas::End::kAnswered;
    case PieceCallEnd::Kind::kLost:
      return StageReplicas::End::kLost;
    default:
      return StageReplicas::End::kFailed;
  }
}

}  // namespace

PieceBatcher::PieceBatcher(const ReplicaDirectory* directory,
                           ServiceRetryBudget* budget,
                           PieceBatcherOutput* output)
    : replicas_(directory), budget_(budget), output_(output) {}

void PieceBatcher::SetService(const std::string& name,
                              const BatchLimits& limits) {
  replicas_.SetService(name, limits);
  limits_ = limits;
}

void PieceBatcher::Add(TimeUs now, PieceTask task) {
  const PieceKey key = task.key;
  const auto [it, inserted] = pieces_.try_emplace(key);
  if (!inserted) {
    // Duplicate submission, for example after a lost connection: the piece is
    // queued or running already.
    return;
  }
  if (task.send == PieceSend::kRetryUnpaid &&
      !budget_->TryUse(now, {RetryReason::kPieceResubmitted, key.request})) {
    pieces_.erase(it);
    output_->OnPiece({key, PieceOutcome::kNotMade, ""});
    return;
  }
  if (task.earns_retries && task.send == PieceSend::kFirst) {
    budget_->OnRequest(now, PieceTask::kOwnerEarnings);
  }
  Piece& piece = it->second;
  piece.retries_in_transit = task.send == PieceSend::kRetryUnpaid ? 1 : 0;
  piece.deadline = now + task.time_left;
  piece.queued_at = now;
  piece.latest_start = now + task.time_to_begin;
  piece.demote_when_late = task.holds_bytes <= task.result_bytes;
  piece.rank.priority = task.priority;
  piece.rank.request_arrived_at = now - task.waited;
  piece.rank.key = key;
  piece.task = std::move(task);
  Enqueue(now, &piece);
}

void PieceBatcher::Enqueue(TimeUs now, Piece* piece) {
  const bool late = piece->demote_when_late && now > piece->latest_start;
  piece->rank.dispatch_class = piece->sibling_started
                                   ? DispatchClass::kSiblingStarted
                               : late ? DispatchClass::kLate
                                      : DispatchClass::kOnTime;
  piece->queued = true;
  waiting_.insert(piece->rank);
}

bool PieceBatcher::RetryPiece(TimeUs now, Piece* piece, RetryReason reason) {
  if (!budget_->TryUse(now, {reason, piece->task.key.request})) {
    return false;
  }
  ++piece->retries_in_transit;
  Enqueue(now, piece);
  return true;
}

void PieceBatcher::EndRetries(Piece* piece, bool answered) {
  const std::uint32_t n = std::exchange(piece->retries_in_transit, 0);
  if (answered) {
    budget_->OnArrived(n);
  } else {
    budget_->OnUnconfirmed(n);
  }
}

void PieceBatcher::DropRetries(const Piece& piece) {
  const std::uint32_t unsent =
      piece.queued ? std::min(piece.retries_in_transit, 1U) : 0;
  budget_->OnNotSent(unsent);
  budget_->OnUnconfirmed(piece.retries_in_transit - unsent);
}

// If part of a request's pieces start and the others wait behind other
// requests, the finished results fill the replicas' memory, and nothing can
// start although replicas are free. So the remaining pieces move to the front
// of the queue.
void PieceBatcher::PrioritizeSiblings(const PieceKey& key) {
  for (auto it = pieces_.lower_bound(PieceKey{key.request, key.stage, 0});
       it != pieces_.end() && it->first.request == key.request &&
       it->first.stage == key.stage;
       ++it) {
    Piece& piece = it->second;
    piece.sibling_started = true;
    if (piece.queued &&
        piece.rank.dispatch_class != DispatchClass::kSiblingStarted) {
      waiting_.erase(piece.rank);
      piece.rank.dispatch_class = DispatchClass::kSiblingStarted;
      waiting_.insert(piece.rank);
    }
  }
}

std::uint64_t PieceBatcher::LateMemoryBytes() const {
  return static_cast<std::uint64_t>(
      kLateMemoryShare * static_cast<double>(limits_.result_memory_bytes));
}

std::map<PieceKey, PieceBatcher::Piece>::iterator PieceBatcher::Cancel(
    std::map<PieceKey, Piece>::iterator it) {
  if (it->second.queued) {
    waiting_.erase(it->second.rank);
  }
  DropRetries(it->second);
  return pieces_.erase(it);
}

void PieceBatcher::CancelStage(const std::string& request,
                               std::uint32_t stage) {
  auto it = pieces_.lower_bound(PieceKey{request, stage, 0});
  while (it != pieces_.end() && it->first.request == request &&
         it->first.stage == stage) {
    it = Cancel(it);
  }
  inputs_read_.erase({request, stage});
}

void PieceBatcher::CancelRequest(const std::string& request) {
  auto it = pieces_.lower_bound(PieceKey{request, 0, 0});
  while (it != pieces_.end() && it->first.request == request) {
    it = Cancel(it);
  }
  auto read = inputs_read_.lower_bound({request, 0});
  while (read != inputs_read_.end() && read->first.first == request) {
    read = inputs_read_.erase(read);
  }
}

void PieceBatcher::Dispatch(TimeUs now) {
  if (waiting_.empty()) {
    return;
  }
  std::vector<const ReplicaEntry*> free = replicas_.FreeReplicas(now);
  std::erase_if(free, [&](const ReplicaEntry* it) {
    return !output_->MayCall(now, *it);
  });
  for (std::size_t n = 0; n < free.size() && !waiting_.empty(); ++n) {
    if (!replicas_.ShouldUse(now, *free[n], waiting_.size())) {
      continue;
    }
    const std::size_t share =
        (waiting_.size() + free.size() - n - 1) / (free.size() - n);
    StartCallOn(now, *free[n], std::max<std::size_t>(share, kMinPiecesPerCall));
  }
}

DurationUs PieceBatcher::PreferredDomainWait(TimeUs now, const Piece& piece) {
  const DurationUs slack = piece.latest_start - now;
  return std::clamp(slack / 2, kMinPreferredDomainWait,
                    kMaxPreferredDomainWait);
}

bool PieceBatcher::MayRunInDomain(TimeUs now,
                                  const Piece& piece,
                                  const std::string& domain) {
  if (piece.task.near_domain.empty() || piece.task.near_domain == domain ||
      now - piece.queued_at >= PreferredDomainWait(now, piece)) {
    return true;
  }
  const auto& replicas = replicas_.All();
  return std::none_of(replicas.begin(), replicas.end(),
                      [&](const ReplicaEntry* it) {
                        return it->domain == piece.task.near_domain &&
                               !replicas_.InBackoff(now, it->id);
                      });
}

// Number of waiting pieces of the same request and stage.
std::size_t PieceBatcher::WaitingInStage(const PieceKey& key) const {
  std::size_t n = 0;
  for (auto it = pieces_.lower_bound(PieceKey{key.request, key.stage, 0});
       it != pieces_.end() && it->first.request == key.request &&
       it->first.stage == key.stage;
       ++it) {
    n += it->second.queued ? 1 : 0;
  }
  return n;
}

// Result memory for the pieces that should start together with this one: all
// waiting pieces of its request and stage or, if their results would take more
// than half of a replica's result memory, this piece alone.
std::uint64_t PieceBatcher::GroupResultBytes(const Piece& piece) const {
  const std::uint64_t piece_bytes = piece.task.result_bytes;
  const std::uint64_t group_bytes =
      WaitingInStage(piece.task.key) * piece_bytes;
  return group_bytes <= limits_.result_memory_bytes / 2 ? group_bytes
                                                        : piece_bytes;
}

PieceBatcher::Rank PieceBatcher::LastOfGroup(const Rank& rank) {
  Rank last = rank;
  last.key.piece = std::numeric_limits<std::uint32_t>::max();
  return last;
}

// Returns the groups that may run on the replica now, in order of rank, until
// there are enough to choose from.
PieceBatcher::Groups PieceBatcher::EligibleGroups(TimeUs now,
                                                  const ReplicaEntry& replica) {
  Groups groups;
  const std::uint64_t held = replicas_.HeldBytes(replica.id);
  // Result memory of the replica if all groups that fit together were started.
  std::uint64_t held_if_started = held;
  std::size_t skipped = 0;
  std::size_t pieces = 0;
  for (auto it = waiting_.begin(); it != waiting_.end() &&
                                   skipped < kMaxSkippedGroups &&
                                   pieces < kCandidateCalls * limits_.batch;) {
    const Rank first = *it;
    const auto end = waiting_.upper_bound(LastOfGroup(first));
    const Piece& piece = pieces_.at(first.key);
    WaitingGroup group;
    group.dispatch_class = static_cast<std::uint32_t>(first.dispatch_class);
    group.priority = first.priority;
    group.request_arrived_at = first.request_arrived_at;
    group.result_bytes = GroupResultBytes(piece);
    group.memory_limit = first.dispatch_class == DispatchClass::kLate
                             ? LateMemoryBytes()
                             : limits_.result_memory_bytes;
    group.inputs_near = piece.task.near_domain.empty() ||
                        piece.task.near_domain == replica.domain;
    group.pieces =
        static_cast<std::size_t>(std::count_if(it, end, [&](const Rank& rank) {
          return !pieces_.at(rank.key).tried_replicas.contains(replica.id);
        }));
    it = end;
    if (group.pieces == 0 || held + group.result_bytes > group.memory_limit ||
        !MayRunInDomain(now, piece, replica.domain)) {
      ++skipped;
      continue;
    }
    if (held_if_started + group.result_bytes <= group.memory_limit) {
      held_if_started += group.result_bytes;
      pieces += group.pieces;
    } else {
      ++skipped;
    }
    groups.first_ranks.push_back(first);
    groups.candidates.push_back(group);
  }
  return groups;
}

std::vector<PieceTask> PieceBatcher::TakePieces(TimeUs now,
                                                BatchId call,
                                                const ReplicaEntry& replica,
                                                std::size_t max_pieces) {
  const Groups groups = EligibleGroups(now, replica);
  std::uint64_t held = replicas_.HeldBytes(replica.id);
  std::vector<PieceTask> taken;
  std::size_t input_bytes = 0;
  for (const std::size_t n :
       FillCall(groups.candidates, {max_pieces, limits_.batch, held})) {
    const Rank last = LastOfGroup(groups.first_ranks[n]);
    for (auto it = waiting_.lower_bound(groups.first_ranks[n]);
         it != waiting_.end() && *it < last && taken.size() < limits_.batch;) {
      Piece& piece = pieces_.at(it->key);
      const bool has_memory =
          held + piece.task.result_bytes <= groups.candidates[n].memory_limit;
      if (!has_memory || piece.tried_replicas.contains(replica.id) ||
          !FitsInputs(input_bytes, piece.task)) {
        ++it;
        continue;
      }
      held += piece.task.result_bytes;
      input_bytes += piece.task.inputs.bytes();
      replicas_.Reserve(replica.id, piece.task.result_bytes);
      piece.queued = false;
      piece.calls.insert(call);
      ++piece.attempts;
      piece.tried_replicas.insert(replica.id);
      piece.task.time_left = piece.deadline - now;
      taken.push_back(piece.task);
      it = waiting_.erase(it);
    }
  }
  return taken;
}

void PieceBatcher::StartCallOn(TimeUs now,
                               const ReplicaEntry& replica,
                               std::size_t max_pieces) {
  Call call;
  call.call.id = next_id_++;
  call.call.pieces = TakePieces(now, call.call.id, replica, max_pieces);
  if (call.call.pieces.empty()) {
    return;
  }
  call.started = now;
  call.call.slowness = replicas_.Slowness(now, replica.id);
  call.expected =
      replicas_.OnCallStarted(now, replica.id, call.call.pieces.size());
  call.call.replica = replica.id;
  call.call.address = replica.address;
  call.call.expected = replicas_.CallTime(1, call.call.pieces.size());
  call.call.left_waiting = waiting_.size();
  call.call.held_bytes = replicas_.HeldBytes(replica.id);
  for (const PieceTask& it : call.call.pieces) {
    PrioritizeSiblings(it.key);
  }
  queue_rate_.OnPiecesStarted(now, call.call.pieces.size(), !waiting_.empty());
  const BatchId id = call.call.id;
  calls_.emplace(id, std::move(call));
  output_->StartCall(calls_.at(id).call);
}

StageReplicas::CallView PieceBatcher::ViewOf(const Call& call) {
  StageReplicas::CallView view{call.started, call.call.expected, 0,
                               call.requeued};
  for (const PieceTask& it : call.call.pieces) {
    view.result_bytes += it.result_bytes;
  }
  return view;
}

void PieceBatcher::ReleaseResults(const std::vector<std::string>& handles) {
  for (const auto& handle : handles) {
    const auto producer =
        ParseAddress(std::string_view(handle).substr(0, handle.find('/')));
    if (!producer) {
      continue;  // No result was produced.
    }
    // Includes results that were produced for another gateway's batcher.
    pending_releases_[*producer].push_back(handle);
    replicas_.RemoveResult(handle);
  }
}

// Replicas in an evacuated failure domain are not contacted: their results
// expire without a message. Replicas that rest get theirs afterwards.
void PieceBatcher::SendReleases(TimeUs now) {
  for (auto& [address, handles] : std::exchange(pending_releases_, {})) {
    if (replicas_.InEvacuatedDomain(handles.front())) {
      continue;
    }
    if (output_->MayRelease(now, handles.front())) {
      output_->ReleaseAt(address, handles);
    } else {
      pending_releases_[address] = std::move(handles);
    }
  }
}

void PieceBatcher::OnCallEnd(TimeUs now, BatchId id, const PieceCallEnd& end) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;  // The call has timed out; its results expire on the replica.
  }
  const Call call = std::move(it->second);
  calls_.erase(it);
  replicas_.OnCallEnded(now, call.call.replica, ViewOf(call), EndOf(end.kind));
  if (end.kind == PieceCallEnd::Kind::kAnswered) {
    EndLostCallsBefore(now, call);
  } else if (end.kind == PieceCallEnd::Kind::kLost) {
    ReserveLostResults(now, call);
  }
  for (std::size_t n = 0; n < call.call.pieces.size(); ++n) {
    const PieceTask& task = call.call.pieces[n];
    const bool answered =
        end.kind == PieceCallEnd::Kind::kAnswered && n < end.results.size();
    PieceResult result;
    if (answered) {
      result = end.results[n];
      if (!result.handle.empty()) {
        replicas_.AddResult(now, call.call.replica, result.handle,
                            task.result_bytes);
      } else if (result.outcome == PieceOutcome::kOutOfMemory) {
        replicas_.OnOutOfMemory(now, call.call.replica);
      }
    }
    result.key = task.key;
    EndPiece(now, id, answered, result);
  }
  Dispatch(now);
}

void PieceBatcher::EndLostCallsBefore(TimeUs now, const Call& answered) {
  if (limits_.slots != 1) {
    return;  // Concurrent calls may end in any order.
  }
  EndCallsWhere(now,
                {PieceCallEnd::Kind::kLost,
                 "no answer, although the replica answered a later call",
                 {}},
                [&](const Call& call) {
                  return call.requeued &&
                         call.call.replica == answered.call.replica &&
                         call.started < answered.started;
                });
}

void PieceBatcher::EndCallsWhere(
    TimeUs now,
    const PieceCallEnd& end,
    const std::function<bool(const Call&)>& matches) {
  std::vector<BatchId> ended;
  for (const auto& [id, call] : calls_) {
    if (matches(call)) {
      ended.push_back(id);
    }
  }
  for (const BatchId id : ended) {
    OnCallEnd(now, id, end);
  }
}

// The results of a lost answer occupy the replica's memory, under handles
// unknown here, until the replica discards them.
void PieceBatcher::ReserveLostResults(TimeUs now, const Call& call) {
  // Replicas never issue a handle with this prefix.
  const std::string handle = "lost/" + std::to_string(call.call.id);
  replicas_.AddResult(now, call.call.replica, handle,
                      ViewOf(call).result_bytes);
}

void PieceBatcher::EndPiece(TimeUs now,
                            BatchId call,
                            bool answered,
                            const PieceResult& result) {
  const auto piece = pieces_.find(result.key);
  // Another call returned the piece first, or it was cancelled, and maybe
  // submitted again since.
  if (piece == pieces_.end() || piece->second.calls.erase(call) == 0) {
    ReleaseResults({result.handle});
    return;
  }
  if (piece->second.calls.empty() && !piece->second.queued) {
    EndRetries(&piece->second, answered);
  }
  if (result.outcome == PieceOutcome::kInputMissing &&
      !piece->second.calls.empty()) {
    // The first call has read the inputs and may still complete the piece.
    return;
  }
  const bool final = result.outcome == PieceOutcome::kMade ||
                     result.outcome == PieceOutcome::kInputMissing ||
                     result.outcome == PieceOutcome::kLate;
  if (answered && final) {
    Finish(piece, result);
  } else {
    RetryOrFinish(now, &piece->second, result.outcome);
  }
}

// Delivers the result to the request. Copies of the piece that still wait are
// removed, and results of those that run will be released.
void PieceBatcher::Finish(std::map<PieceKey, Piece>::iterator it,
                          const PieceResult& result) {
  if (it->second.queued) {
    waiting_.erase(it->second.rank);
  }
  DropRetries(it->second);
  pieces_.erase(it);
  output_->OnPiece(result);
}

// Once a piece was tried on all replicas, all may be tried again.
void PieceBatcher::ResetTriedReplicas(Piece* piece) const {
  const auto& replicas = replicas_.All();
  const bool untried_left = std::any_of(
      replicas.begin(), replicas.end(),
      [&](const auto* it) { return !piece->tried_replicas.contains(it->id); });
  if (!untried_left) {
    piece->tried_replicas.clear();
  }
}

void PieceBatcher::RetryOrFinish(TimeUs now,
                                 Piece* piece,
                                 PieceOutcome outcome) {
  if (!piece->calls.empty()) {
    return;  // Another call with this piece is in progress.
  }
  ResetTriedReplicas(piece);
  if (piece->queued) {
    return;
  }
  const PieceKey key = piece->task.key;
  if (InputsReleased(*piece)) {
    Finish(pieces_.find(key), {key, PieceOutcome::kInputMissing, ""});
    return;
  }
  if (piece->inputs_read) {
    // The next call has to read the inputs again before they may be released.
    piece->inputs_read = false;
    --inputs_read_.at({key.request, key.stage});
  }
  if (piece->attempts < kMaxCallsPerPiece && now < piece->deadline &&
      RetryPiece(now, piece, RetryReason::kPieceFailed)) {
    return;
  }
  Finish(pieces_.find(key), {key, outcome, ""});
}

void PieceBatcher::OnReplicaRemoved(TimeUs now, const ReplicaId& replica) {
  replicas_.OnReplicaRemoved(replica);
  Dispatch(now);
}

void PieceBatcher::OnReplicaRestarted(TimeUs now, const ReplicaId& replica) {
  EndCallsWhere(now, {PieceCallEnd::Kind::kBroken, "the replica restarted", {}},
                [&](const Call& call) { return call.call.replica == replica; });
  OnReplicaRemoved(now, replica);
}

void PieceBatcher::ExpireWaiting(TimeUs now) {
  std::vector<PieceKey> expired;
  std::vector<PieceKey> late;
  for (const Rank& it : waiting_) {
    const Piece& piece = pieces_.at(it.key);
    if (now >= piece.deadline) {
      expired.push_back(it.key);
    } else if (it.dispatch_class == DispatchClass::kOnTime &&
               piece.demote_when_late && now > piece.latest_start) {
      late.push_back(it.key);
    }
  }
  for (const auto& key : late) {
    Piece& piece = pieces_.at(key);
    waiting_.erase(piece.rank);
    Enqueue(now, &piece);
  }
  for (const auto& key : expired) {
    // The handler of the previous result may have cancelled this piece.
    if (const auto it = pieces_.find(key); it != pieces_.end()) {
      Finish(it, {key, PieceOutcome::kLate, ""});
    }
  }
}

void PieceBatcher::CheckCalls(TimeUs now) {
  const auto read_after = static_cast<DurationUs>(
      kInputsReadShare * static_cast<double>(limits_.call));
  for (auto& [id, call] : calls_) {
    const DurationUs age = now - call.started;
    if (!call.inputs_read && age >= read_after) {
      call.inputs_read = true;
      MarkInputsRead(call);
    }
    const auto overdue = static_cast<DurationUs>(
        kOverdueFactor * static_cast<double>(call.expected));
    if (!call.requeued && age >= overdue + kOverdueMargin) {
      RequeueOverdue(now, &call);
    }
  }
  EndCallsWhere(
      now,
      {PieceCallEnd::Kind::kBroken, "no answer within the call timeout", {}},
      [&](const Call& call) { return now - call.started > kCallTimeout; });
}

bool PieceBatcher::FitsInputs(std::size_t taken, const PieceTask& task) {
  return taken == 0 || taken + task.inputs.bytes() <= kMaxCallInputBytes;
}

void PieceBatcher::MarkInputsRead(const Call& call) {
  std::vector<std::string> unneeded;
  const PieceTask* previous = nullptr;
  bool short_of_memory = false;
  for (const PieceTask& it : call.call.pieces) {
    if (previous == nullptr || !previous->inputs.IsSame(it.inputs)) {
      short_of_memory =
          !it.inputs.empty() && output_->ShortOfMemory(it.inputs.list());
    }
    previous = &it;
    const auto piece = pieces_.find(it.key);
    if (it.sole_users == 0 || it.inputs.empty() || piece == pieces_.end() ||
        !piece->second.calls.contains(call.call.id) ||
        piece->second.inputs_read || !short_of_memory) {
      continue;
    }
    piece->second.inputs_read = true;
    if (++inputs_read_[{it.key.request, it.key.stage}] == it.sole_users) {
      unneeded.insert(unneeded.end(), it.inputs.begin(), it.inputs.end());
    }
  }
  if (!unneeded.empty()) {
    output_->OnInputsRead(unneeded);
  }
}

bool PieceBatcher::InputsReleased(const Piece& piece) const {
  const PieceTask& task = piece.task;
  const auto it = inputs_read_.find({task.key.request, task.key.stage});
  return it != inputs_read_.end() && it->second >= task.sole_users;
}

void PieceBatcher::RequeueOverdue(TimeUs now, Call* call) {
  call->requeued = true;
  replicas_.OnCallOverdue(now, call->call.replica, ViewOf(*call));
  for (const auto& task : call->call.pieces) {
    const auto it = pieces_.find(task.key);
    if (it != pieces_.end() && !it->second.queued &&
        it->second.calls.size() == 1 &&
        it->second.calls.contains(call->call.id) &&
        it->second.attempts < kMaxCallsPerPiece &&
        !InputsReleased(it->second)) {
      RetryPiece(now, &it->second, RetryReason::kPieceOverdue);
    }
  }
}

void PieceBatcher::OnTick(TimeUs now) {
  CheckCalls(now);
  if (now >= next_expiry_scan_) {
    next_expiry_scan_ = now + kExpiryScanPeriod;
    ExpireWaiting(now);
    replicas_.RemoveExpiredResults(now);
  }
  SendReleases(now);
  Dispatch(now);
}

// Expected number of pieces per call when many wait: half of a replica's memory
// is occupied by results that wait for their next stage.
std::size_t PieceBatcher::ExpectedBatchSize() const {
  std::uint64_t result_bytes = 0;
  for (const auto& [id, call] : calls_) {
    result_bytes =
        std::max(result_bytes, call.call.pieces.front().result_bytes);
  }
  if (result_bytes == 0) {
    return limits_.batch;
  }
  const std::uint64_t fit = limits_.result_memory_bytes / (2 * result_bytes);
  return std::clamp<std::size_t>(fit, 1, limits_.batch);
}

PieceBatcher::QueueSpeed PieceBatcher::CurrentQueueSpeed(TimeUs now) const {
  const auto [replicas, time_until_free] = replicas_.NextAvailability(
      now, kCallTimeout,
      [&](const auto& replica) { return output_->NextCall(now, replica); });
  if (replicas == 0) {
    return {};
  }
  const std::size_t batch = ExpectedBatchSize();
  QueueSpeed speed{true, time_until_free,
                   static_cast<double>(replicas_.CallTime(1, batch)) /
                       static_cast<double>(replicas * batch)};
  speed.time_per_piece =
      std::max(speed.time_per_piece, queue_rate_.TimePerPiece(now).value_or(0));
  return speed;
}

// Time until a piece behind `ahead` others starts.
DurationUs PieceBatcher::WaitBehind(const QueueSpeed& speed,
                                    std::size_t ahead) {
  if (!speed.has_replica) {
    return kCallTimeout;
  }
  return speed.time_until_free +
         static_cast<DurationUs>(static_cast<double>(ahead) *
                                 speed.time_per_piece);
}

QueueWait PieceBatcher::ExpectedWait(TimeUs now) const {
  std::array<std::size_t, QueueWait::kPriorityLevels> ahead{};
  for (const Rank& it : waiting_) {
    const std::size_t first =
        it.dispatch_class == DispatchClass::kSiblingStarted ? 0
        : it.dispatch_class == DispatchClass::kLate ? QueueWait::kPriorityLevels
                                                    : it.priority;
    for (std::size_t n = first; n < QueueWait::kPriorityLevels; ++n) {
      ++ahead[n];
    }
  }
  const QueueSpeed speed = CurrentQueueSpeed(now);
  QueueWait wait;
  for (std::size_t n = 0; n < QueueWait::kPriorityLevels; ++n) {
    wait.in_time[n] = WaitBehind(speed, ahead[n]);
  }
  wait.late = WaitBehind(speed, waiting_.size());
  wait.memory = replicas_.MemoryShareInUse();
  return wait;
}

}  // namespace acaciachute
