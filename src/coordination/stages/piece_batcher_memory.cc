// The parts of `PieceBatcher` that concern the replicas' memory, and pieces
// that wait because of it.
#include <string>
#include <utility>
#include <vector>

#include "coordination/stages/piece_batcher.h"

namespace acaciachute {

void PieceBatcher::SetOwner(TimeUs now, bool owner) {
  if (std::exchange(owner_, owner) != owner) {
    memory_.DoubtAll(now);
  }
}

void PieceBatcher::AskReports(TimeUs now) {
  for (const ReplicaEntry* it : replicas_.All()) {
    if (!replicas_.InBackoff(now, it->id) && memory_.ToAsk(now, *it) &&
        output_->MayCall(now, *it)) {
      memory_.OnAsked(now, it->id, output_->AskReport(*it));
    }
  }
}

void PieceBatcher::OnReport(TimeUs now,
                            const ReplicaId& replica,
                            const std::optional<ReplicaReport>& report) {
  memory_.OnReport(now, replica, report);
  Dispatch(now);
}

const ReplicaEntry* PieceBatcher::ReplicaToHold(TimeUs now,
                                                const Piece& piece) {
  const std::uint64_t bytes = GroupResultBytes(piece);
  const ReplicaEntry* least_used = nullptr;
  std::uint64_t least = 0;
  std::size_t usable = 0;
  for (const ReplicaEntry* it : replicas_.All()) {
    if (replicas_.InBackoff(now, it->id) ||
        piece.tried_replicas.contains(it->id) || hold_.HoldsAt(it->id) ||
        !MayRunInDomain(now, piece, it->domain)) {
      continue;
    }
    const std::uint64_t used = memory_.UsedBytes(it->id);
    if (used + bytes <= limits_.result_memory_bytes) {
      return nullptr;
    }
    if (usable++ == 0 || used < least) {
      least_used = it;
      least = used;
    }
  }
  return usable > 1 ? least_used : nullptr;
}

void PieceBatcher::UpdateHold(TimeUs now) {
  hold_.OnTick(now, [&](const MemoryHold::Held& held) {
    return WaitingInStage({held.request, held.stage, 0}) > 0;
  });
  std::size_t groups = 0;
  for (auto it = waiting_.begin();
       it != waiting_.end() && groups < MemoryHold::kHeadGroups &&
       hold_.MayBegin(now, replicas_.All().size());
       ++groups) {
    const Piece& piece = pieces_.at(it->key);
    const bool on_time = it->dispatch_class != DispatchClass::kLate;
    it = waiting_.upper_bound(LastOfGroup(*it));
    if (!on_time || hold_.HoldsFor(piece.task.key) ||
        !MemoryHold::WaitedLong(now, piece.queued_at, piece.latest_start)) {
      continue;
    }
    if (const ReplicaEntry* replica = ReplicaToHold(now, piece)) {
      const PieceKey& key = piece.task.key;
      hold_.Begin(
          {key.request, key.stage, replica->id, GroupResultBytes(piece), now});
    }
  }
}

std::uint64_t PieceBatcher::LateMemoryBytes() const {
  return static_cast<std::uint64_t>(
      kLateMemoryShare * static_cast<double>(limits_.result_memory_bytes));
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

std::uint64_t PieceBatcher::ResultBytes(const Call& call) {
  std::uint64_t bytes = 0;
  for (const PieceTask& it : call.call.pieces) {
    bytes += it.result_bytes;
  }
  return bytes;
}

void PieceBatcher::ReleaseResults(const std::vector<std::string>& handles) {
  releases_.Add(handles);
}

// Replicas in an evacuated failure domain are not contacted: their results
// expire without a message. Replicas that rest get theirs afterwards.
void PieceBatcher::SendReleases(TimeUs now) {
  releases_.Send(
      [&](const std::string& handle) {
        if (replicas_.InEvacuatedDomain(handle)) {
          return ResultReleases::Action::kDrop;
        }
        return output_->MayRelease(now, handle) ? ResultReleases::Action::kSend
                                                : ResultReleases::Action::kWait;
      },
      [&](const Address& replica, const std::vector<std::string>& handles) {
        memory_.OnReleaseSent(now, handles);
        output_->ReleaseAt(replica, handles);
      });
}

void PieceBatcher::OnOutOfMemory(TimeUs now,
                                 const ReplicaId& replica,
                                 const PieceKey& key) {
  memory_.OnRefused(now, replica);
  if (const auto it = pieces_.find(key);
      it != pieces_.end() && it->second.attempts > 0) {
    --it->second.attempts;
  }
}

// The results of a lost answer occupy the replica's memory, under handles
// unknown here, until the replica discards them.
void PieceBatcher::ReserveLostResults(TimeUs now, const Call& call) {
  // Replicas never issue a handle with this prefix.
  const std::string handle = "lost/" + std::to_string(call.call.id);
  memory_.AddResult(now, call.call.replica, handle, ResultBytes(call));
}

PostponedPieces::Place PieceBatcher::PlaceOf(const Piece& piece) {
  return {piece.rank.priority, piece.rank.request_arrived_at, piece.task.key};
}

void PieceBatcher::Postpone(Piece* piece, PieceOutcome outcome) {
  postponed_.Add(PlaceOf(*piece), {piece->task.key, outcome, ""},
                 piece->deadline - replicas_.CallTime(1, 1));
}

void PieceBatcher::RetryPostponed(TimeUs now) {
  while (!postponed_.empty() && budget_->Available(now) >= 1) {
    const PostponedPieces::Place first = postponed_.First();
    if (!RetryPiece(now, &pieces_.at(first.key), RetryReason::kPieceFailed)) {
      return;
    }
    postponed_.Remove(first);
  }
}

std::uint64_t PieceBatcher::ForeignBytes() const {
  std::uint64_t bytes = 0;
  for (const ReplicaEntry* it : replicas_.All()) {
    bytes += memory_.ForeignBytes(it->id);
  }
  return bytes;
}

}  // namespace acaciachute
