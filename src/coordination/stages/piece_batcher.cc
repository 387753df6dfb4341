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
    return;  // Sent twice, as after a lost connection: one making is enough.
  }
  budget_->OnRequest(now);
  Piece& piece = it->second;
  piece.deadline = now + task.time_left;
  piece.queued_at = now;
  piece.begin_by = now + task.time_to_begin;
  piece.yields = task.holds_bytes <= task.result_bytes;
  piece.rank.priority = task.priority;
  piece.rank.since = now - task.waited;
  piece.rank.key = key;
  piece.task = std::move(task);
  Enqueue(now, &piece);
}

void PieceBatcher::Enqueue(TimeUs now, Piece* piece) {
  const bool late = piece->yields && now > piece->begin_by;
  piece->rank.standing = piece->sibling_begun ? Standing::kBegun
                         : late               ? Standing::kLate
                                              : Standing::kInTime;
  piece->queued = true;
  waiting_.insert(piece->rank);
}

// Failure: a request's pieces are begun in part, and the rest waits behind
// other requests. Symptom: the results that were made fill the replicas'
// memory, and nothing can be begun although replicas are free.
void PieceBatcher::AdvanceSiblings(const PieceKey& key) {
  for (auto it = pieces_.lower_bound(PieceKey{key.request, key.stage, 0});
       it != pieces_.end() && it->first.request == key.request &&
       it->first.stage == key.stage;
       ++it) {
    Piece& piece = it->second;
    piece.sibling_begun = true;
    if (piece.queued && piece.rank.standing != Standing::kBegun) {
      waiting_.erase(piece.rank);
      piece.rank.standing = Standing::kBegun;
      waiting_.insert(piece.rank);
    }
  }
}

std::uint64_t PieceBatcher::LateRoom() const {
  return static_cast<std::uint64_t>(
      kLateRoom * static_cast<double>(limits_.result_memory_bytes));
}

void PieceBatcher::Drop(const std::string& request) {
  auto it = pieces_.lower_bound(PieceKey{request, 0, 0});
  while (it != pieces_.end() && it->first.request == request) {
    if (it->second.queued) {
      waiting_.erase(it->second.rank);
    }
    it = pieces_.erase(it);
  }
  auto read = read_.lower_bound({request, 0});
  while (read != read_.end() && read->first.first == request) {
    read = read_.erase(read);
  }
}

void PieceBatcher::Dispatch(TimeUs now) {
  if (waiting_.empty()) {
    return;
  }
  const std::vector<const ReplicaEntry*> free = replicas_.Free(now);
  for (std::size_t n = 0; n < free.size() && !waiting_.empty(); ++n) {
    if (!replicas_.WorthIt(now, *free[n], waiting_.size())) {
      continue;
    }
    const std::size_t share =
        (waiting_.size() + free.size() - n - 1) / (free.size() - n);
    StartOn(now, *free[n], std::max<std::size_t>(share, kWorthACall));
  }
}

DurationUs PieceBatcher::NearPatience(TimeUs now, const Piece& piece) {
  const DurationUs slack = piece.begin_by - now;
  return std::clamp(slack / 2, kNearPatience, kMostNearPatience);
}

bool PieceBatcher::NearEnough(TimeUs now,
                              const Piece& piece,
                              const std::string& domain) {
  if (piece.task.near_domain.empty() || piece.task.near_domain == domain ||
      now - piece.queued_at >= NearPatience(now, piece)) {
    return true;
  }
  const auto& replicas = replicas_.All();
  return std::none_of(replicas.begin(), replicas.end(),
                      [&](const ReplicaEntry* it) {
                        return it->domain == piece.task.near_domain &&
                               !replicas_.IsShunned(now, it->id);
                      });
}

// Pieces of the same request and stage that wait.
std::size_t PieceBatcher::QueuedOf(const PieceKey& key) const {
  std::size_t n = 0;
  for (auto it = pieces_.lower_bound(PieceKey{key.request, key.stage, 0});
       it != pieces_.end() && it->first.request == key.request &&
       it->first.stage == key.stage;
       ++it) {
    n += it->second.queued ? 1 : 0;
  }
  return n;
}

// Memory for the results of the pieces that are begun together with this one:
// those of its request and stage, unless they would fill a replica by
// themselves.
std::uint64_t PieceBatcher::BytesOfQueued(const Piece& piece) const {
  const std::uint64_t one = piece.task.result_bytes;
  const std::uint64_t all = QueuedOf(piece.task.key) * one;
  return all <= limits_.result_memory_bytes / 2 ? all : one;
}

PieceBatcher::Rank PieceBatcher::LastOfGroup(const Rank& rank) {
  Rank last = rank;
  last.key.piece = std::numeric_limits<std::uint32_t>::max();
  return last;
}

// Groups that may go to the replica now, in order of rank, until there is
// enough to choose from.
PieceBatcher::Groups PieceBatcher::GroupsFor(TimeUs now,
                                             const ReplicaEntry& replica) {
  Groups groups;
  const std::uint64_t held = replicas_.HeldBytes(replica.id);
  std::uint64_t chosen = held;  // With all that fit beside one another.
  std::size_t passed_over = 0;
  std::size_t pieces = 0;
  for (auto it = waiting_.begin(); it != waiting_.end() &&
                                   passed_over < kLookAhead &&
                                   pieces < kChoice * limits_.batch;) {
    const Rank first = *it;
    const auto end = waiting_.upper_bound(LastOfGroup(first));
    const Piece& piece = pieces_.at(first.key);
    WaitingGroup group;
    group.standing = static_cast<std::uint32_t>(first.standing);
    group.priority = first.priority;
    group.since = first.since;
    group.bytes = BytesOfQueued(piece);
    group.room = first.standing == Standing::kLate
                     ? LateRoom()
                     : limits_.result_memory_bytes;
    group.near = piece.task.near_domain.empty() ||
                 piece.task.near_domain == replica.domain;
    group.pieces =
        static_cast<std::size_t>(std::count_if(it, end, [&](const Rank& rank) {
          return !pieces_.at(rank.key).tried.contains(replica.id);
        }));
    it = end;
    if (group.pieces == 0 || held + group.bytes > group.room ||
        !NearEnough(now, piece, replica.domain)) {
      ++passed_over;
      continue;
    }
    if (chosen + group.bytes <= group.room) {
      chosen += group.bytes;
      pieces += group.pieces;
    } else {
      ++passed_over;
    }
    groups.firsts.push_back(first);
    groups.views.push_back(group);
  }
  return groups;
}

std::vector<PieceTask> PieceBatcher::TakePieces(TimeUs now,
                                                const ReplicaEntry& replica,
                                                std::size_t most) {
  const Groups groups = GroupsFor(now, replica);
  std::uint64_t held = replicas_.HeldBytes(replica.id);
  std::vector<PieceTask> taken;
  for (const std::size_t n :
       FillCall(groups.views, {most, limits_.batch, held})) {
    const Rank last = LastOfGroup(groups.firsts[n]);
    for (auto it = waiting_.lower_bound(groups.firsts[n]);
         it != waiting_.end() && *it < last && taken.size() < limits_.batch;) {
      Piece& piece = pieces_.at(it->key);
      const bool fits = held + piece.task.result_bytes <= groups.views[n].room;
      if (!fits || piece.tried.contains(replica.id)) {
        ++it;
        continue;
      }
      held += piece.task.result_bytes;
      replicas_.Reserve(replica.id, piece.task.result_bytes);
      piece.queued = false;
      ++piece.calls;
      ++piece.tries;
      piece.tried.insert(replica.id);
      piece.task.time_left = piece.deadline - now;
      taken.push_back(piece.task);
      it = waiting_.erase(it);
    }
  }
  return taken;
}

void PieceBatcher::StartOn(TimeUs now,
                           const ReplicaEntry& replica,
                           std::size_t most) {
  Call call;
  call.call.pieces = TakePieces(now, replica, most);
  if (call.call.pieces.empty()) {
    return;
  }
  call.started = now;
  call.call.slowness = replicas_.Slowness(now, replica.id);
  call.expected =
      replicas_.OnCallStarted(now, replica.id, call.call.pieces.size());
  call.call.id = next_id_++;
  call.call.replica = replica.id;
  call.call.address = replica.address;
  call.call.expected = replicas_.CallTime(1, call.call.pieces.size());
  call.call.left_waiting = waiting_.size();
  call.call.held_bytes = replicas_.HeldBytes(replica.id);
  for (const PieceTask& it : call.call.pieces) {
    AdvanceSiblings(it.key);
  }
  rate_.OnBegun(now, call.call.pieces.size(), !waiting_.empty());
  const BatchId id = call.call.id;
  calls_.emplace(id, std::move(call));
  output_->StartCall(calls_.at(id).call);
}

StageReplicas::CallView PieceBatcher::ViewOf(const Call& call) {
  StageReplicas::CallView view{call.started, call.call.expected, 0,
                               call.copied};
  for (const PieceTask& it : call.call.pieces) {
    view.bytes += it.result_bytes;
  }
  return view;
}

void PieceBatcher::Free(const std::vector<std::string>& handles) {
  for (const auto& handle : handles) {
    const auto producer =
        ParseAddress(std::string_view(handle).substr(0, handle.find('/')));
    if (!producer) {
      continue;  // None was made.
    }
    // Also those that another gateway's batcher had made before.
    frees_[*producer].push_back(handle);
    replicas_.Forget(handle);
  }
}

// Replicas in an emptied failure domain are sent nothing: what lies there ends
// by itself.
void PieceBatcher::SendFrees() {
  for (const auto& [address, handles] : std::exchange(frees_, {})) {
    if (!replicas_.InEvacuatedDomain(handles.front())) {
      output_->FreeAt(address, handles);
    }
  }
}

void PieceBatcher::OnCallEnd(TimeUs now, BatchId id, const PieceCallEnd& end) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;  // Given up before; what it made ends by itself.
  }
  const Call call = std::move(it->second);
  calls_.erase(it);
  replicas_.OnCallEnded(now, call.call.replica, ViewOf(call), EndOf(end.kind));
  if (end.kind == PieceCallEnd::Kind::kAnswered) {
    EndLostBefore(now, call);
  } else if (end.kind == PieceCallEnd::Kind::kLost) {
    HoldLost(now, call);
  }
  for (std::size_t n = 0; n < call.call.pieces.size(); ++n) {
    const PieceTask& task = call.call.pieces[n];
    const bool answered =
        end.kind == PieceCallEnd::Kind::kAnswered && n < end.results.size();
    PieceResult result;
    if (answered) {
      result = end.results[n];
      if (!result.handle.empty()) {
        replicas_.Hold(now, call.call.replica, result.handle,
                       task.result_bytes);
      } else if (result.outcome == PieceOutcome::kOutOfMemory) {
        replicas_.OnOutOfMemory(now, call.call.replica);
      }
    }
    result.key = task.key;
    EndPiece(now, answered, result);
  }
  Dispatch(now);
}

void PieceBatcher::EndLostBefore(TimeUs now, const Call& answered) {
  if (limits_.slots != 1) {
    return;  // Calls that are worked on together end in any order.
  }
  EndCallsWhere(
      now, {PieceCallEnd::Kind::kLost, "a later call was answered", {}},
      [&](const Call& call) {
        return call.copied && call.call.replica == answered.call.replica &&
               call.started < answered.started;
      });
}

void PieceBatcher::EndCallsWhere(
    TimeUs now,
    const PieceCallEnd& end,
    const std::function<bool(const Call&)>& holds) {
  std::vector<BatchId> ended;
  for (const auto& [id, call] : calls_) {
    if (holds(call)) {
      ended.push_back(id);
    }
  }
  for (const BatchId id : ended) {
    OnCallEnd(now, id, end);
  }
}

// The results of a lost answer lie at their producer, under handles that nobody
// knows, until it forgets them.
void PieceBatcher::HoldLost(TimeUs now, const Call& call) {
  // No handle that a replica gives begins like this.
  const std::string handle = "lost/" + std::to_string(call.call.id);
  replicas_.Hold(now, call.call.replica, handle, ViewOf(call).bytes);
}

void PieceBatcher::EndPiece(TimeUs now,
                            bool answered,
                            const PieceResult& result) {
  const auto piece = pieces_.find(result.key);
  if (piece == pieces_.end()) {
    Free({result.handle});  // Another copy was first, or nobody waits.
    return;
  }
  --piece->second.calls;
  if (result.outcome == PieceOutcome::kInputGone && piece->second.calls > 0) {
    return;  // The first call has read them and may still make it.
  }
  const bool final = result.outcome == PieceOutcome::kMade ||
                     result.outcome == PieceOutcome::kInputGone ||
                     result.outcome == PieceOutcome::kLate;
  if (answered && final) {
    Finish(piece, result);
  } else {
    Again(now, &piece->second, result.outcome);
  }
}

// The piece's request is told; a copy that waits or runs is for nobody now.
void PieceBatcher::Finish(std::map<PieceKey, Piece>::iterator it,
                          const PieceResult& result) {
  if (it->second.queued) {
    waiting_.erase(it->second.rank);
  }
  pieces_.erase(it);
  output_->OnPiece(result);
}

// Where no replica is left that a piece was not tried at, all may be tried
// again.
void PieceBatcher::ForgetTriedIfAll(Piece* piece) const {
  const auto& replicas = replicas_.All();
  const bool untried_left = std::any_of(
      replicas.begin(), replicas.end(),
      [&](const auto* it) { return !piece->tried.contains(it->id); });
  if (!untried_left) {
    piece->tried.clear();
  }
}

void PieceBatcher::Again(TimeUs now, Piece* piece, PieceOutcome outcome) {
  if (piece->calls > 0) {
    return;  // Another copy is on its way.
  }
  ForgetTriedIfAll(piece);
  if (piece->queued) {
    return;
  }
  const PieceKey key = piece->task.key;
  if (LetGoOfInputs(*piece)) {
    Finish(pieces_.find(key), {key, PieceOutcome::kInputGone, ""});
    return;
  }
  if (piece->inputs_read) {
    // Its next call has to read them again before they may be let go.
    piece->inputs_read = false;
    --read_.at({key.request, key.stage});
  }
  if (piece->tries < kMostTries && now < piece->deadline &&
      budget_->Take(now)) {
    Enqueue(now, piece);
    return;
  }
  Finish(pieces_.find(key), {key, outcome, ""});
}

void PieceBatcher::OnReplicaGone(TimeUs now, const ReplicaId& replica) {
  replicas_.OnGone(replica);
  Dispatch(now);
}

void PieceBatcher::OnReplicaRestarted(TimeUs now, const ReplicaId& replica) {
  EndCallsWhere(now,
                {PieceCallEnd::Kind::kBroken, "the replica started again", {}},
                [&](const Call& call) { return call.call.replica == replica; });
  OnReplicaGone(now, replica);
}

void PieceBatcher::ExpireWaiting(TimeUs now) {
  std::vector<PieceKey> over;
  std::vector<PieceKey> late;
  for (const Rank& it : waiting_) {
    const Piece& piece = pieces_.at(it.key);
    if (now >= piece.deadline) {
      over.push_back(it.key);
    } else if (it.standing == Standing::kInTime && piece.yields &&
               now > piece.begin_by) {
      late.push_back(it.key);
    }
  }
  for (const auto& key : late) {
    Piece& piece = pieces_.at(key);
    waiting_.erase(piece.rank);
    Enqueue(now, &piece);
  }
  for (const auto& key : over) {
    // Whoever was told of the one before may have dropped this one.
    if (const auto it = pieces_.find(key); it != pieces_.end()) {
      Finish(it, {key, PieceOutcome::kLate, ""});
    }
  }
}

void PieceBatcher::WatchCalls(TimeUs now) {
  const auto read_after =
      static_cast<DurationUs>(kInputsRead * static_cast<double>(limits_.call));
  for (auto& [id, call] : calls_) {
    const DurationUs age = now - call.started;
    if (!call.inputs_read && age >= read_after) {
      call.inputs_read = true;
      NoteInputsRead(call);
    }
    const auto overdue =
        static_cast<DurationUs>(kOverdue * static_cast<double>(call.expected));
    if (!call.copied && age >= overdue + kOverdueSlack) {
      CopyOverdue(now, &call);
    }
  }
  EndCallsWhere(now, {PieceCallEnd::Kind::kBroken, "no answer", {}},
                [&](const Call& call) { return now - call.started > kGiveUp; });
}

void PieceBatcher::NoteInputsRead(const Call& call) {
  std::vector<std::string> unneeded;
  for (const PieceTask& it : call.call.pieces) {
    const auto piece = pieces_.find(it.key);
    if (it.sole_users == 0 || it.inputs.empty() || piece == pieces_.end() ||
        piece->second.inputs_read || !output_->ShortOfMemory(it.inputs)) {
      continue;
    }
    piece->second.inputs_read = true;
    if (++read_[{it.key.request, it.key.stage}] == it.sole_users) {
      unneeded.insert(unneeded.end(), it.inputs.begin(), it.inputs.end());
    }
  }
  if (!unneeded.empty()) {
    output_->OnInputsRead(unneeded);
  }
}

bool PieceBatcher::LetGoOfInputs(const Piece& piece) const {
  const PieceTask& task = piece.task;
  const auto it = read_.find({task.key.request, task.key.stage});
  return it != read_.end() && it->second >= task.sole_users;
}

void PieceBatcher::CopyOverdue(TimeUs now, Call* call) {
  call->copied = true;
  replicas_.OnCallOverdue(now, call->call.replica, ViewOf(*call));
  for (const auto& task : call->call.pieces) {
    const auto it = pieces_.find(task.key);
    if (it != pieces_.end() && !it->second.queued && it->second.calls == 1 &&
        it->second.tries < kMostTries && !LetGoOfInputs(it->second) &&
        budget_->Take(now)) {
      Enqueue(now, &it->second);
    }
  }
}

void PieceBatcher::OnTick(TimeUs now) {
  WatchCalls(now);
  if (now >= next_upkeep_) {
    next_upkeep_ = now + kUpkeep;
    ExpireWaiting(now);
    replicas_.ForgetLapsed(now);
  }
  SendFrees();
  Dispatch(now);
}

// Pieces that a call takes when many wait: half of a replica's memory is held
// by results that wait for their next stage.
std::size_t PieceBatcher::UsualBatch() const {
  std::uint64_t bytes = 0;
  for (const auto& [id, call] : calls_) {
    bytes = std::max(bytes, call.call.pieces.front().result_bytes);
  }
  if (bytes == 0) {
    return limits_.batch;
  }
  const std::uint64_t fit = limits_.result_memory_bytes / (2 * bytes);
  return std::clamp<std::size_t>(fit, 1, limits_.batch);
}

PieceBatcher::Pace PieceBatcher::PaceOf(TimeUs now) const {
  const auto [replica_count, first_free] = replicas_.WhenFree(now, kGiveUp);
  if (replica_count == 0) {
    return {};
  }
  const std::size_t batch = UsualBatch();
  Pace pace{true, first_free,
            static_cast<double>(replicas_.CallTime(1, batch)) /
                static_cast<double>(replica_count * batch)};
  pace.each = std::max(pace.each, rate_.Each(now).value_or(0));
  return pace;
}

// Until a piece behind `ahead` others is begun.
DurationUs PieceBatcher::WaitBehind(const Pace& pace, std::size_t ahead) {
  if (!pace.any) {
    return kGiveUp;
  }
  return pace.first_free +
         static_cast<DurationUs>(static_cast<double>(ahead) * pace.each);
}

QueueWait PieceBatcher::ExpectedWait(TimeUs now) const {
  std::array<std::size_t, QueueWait::kPriorityLevels> ahead{};
  for (const Rank& it : waiting_) {
    const std::size_t first = it.standing == Standing::kBegun ? 0
                              : it.standing == Standing::kLate
                                  ? QueueWait::kPriorityLevels
                                  : it.priority;
    for (std::size_t n = first; n < QueueWait::kPriorityLevels; ++n) {
      ++ahead[n];
    }
  }
  const Pace pace = PaceOf(now);
  QueueWait wait;
  for (std::size_t n = 0; n < QueueWait::kPriorityLevels; ++n) {
    wait.in_time[n] = WaitBehind(pace, ahead[n]);
  }
  wait.late = WaitBehind(pace, waiting_.size());
  wait.memory = replicas_.MemoryHeld();
  return wait;
}

}  // namespace acaciachute
