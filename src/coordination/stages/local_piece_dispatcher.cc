#include "coordination/stages/local_piece_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace acaciachute {

LocalPieceDispatcher::LocalPieceDispatcher(const ReplicaDirectory* directory,
                                           PieceBatcherOutput* output,
                                           RetryBudgetOf budget_of)
    : directory_(directory),
      output_(output),
      budget_of_(std::move(budget_of)) {}

void LocalPieceDispatcher::SetServices(const ServingConfig& config) {
  for (const auto& [name, service] : config.services()) {
    if (!service.batching) {
      continue;
    }
    auto& batcher = batchers_[name];
    if (batcher == nullptr) {
      batcher =
          std::make_unique<PieceBatcher>(directory_, budget_of_(name), output_);
    }
    batcher->SetService(name, *service.batching);
  }
}

void LocalPieceDispatcher::Submit(TimeUs now, std::vector<PieceTask> tasks) {
  std::set<PieceBatcher*> batchers_to_dispatch;
  for (PieceTask& task : tasks) {
    const auto it = batchers_.find(task.service);
    if (it == batchers_.end()) {
      output_->OnPiece({task.key, PieceOutcome::kNotMade, ""});
    } else {
      it->second->Add(now, std::move(task));
      batchers_to_dispatch.insert(it->second.get());
    }
  }
  // Dispatches only after all pieces were added, so that they can share a call.
  for (PieceBatcher* batcher : batchers_to_dispatch) {
    batcher->Dispatch(now);
  }
}

void LocalPieceDispatcher::CancelRequest(const std::string& request) {
  for (auto& [name, batcher] : batchers_) {
    batcher->CancelRequest(request);
  }
}

void LocalPieceDispatcher::CancelStage(const std::string& request,
                                       std::uint32_t stage) {
  for (auto& [name, batcher] : batchers_) {
    batcher->CancelStage(request, stage);
  }
}

void LocalPieceDispatcher::ReleaseResults(
    const std::vector<std::string>& handles) {
  for (const auto& handle : handles) {
    const ReplicaEntry* producer = directory_->ProducerOf(handle);
    if (producer != nullptr) {
      FreeForService(producer->service, {handle});
    }
  }
}

void LocalPieceDispatcher::FreeForService(
    const std::string& service,
    const std::vector<std::string>& handles) {
  if (const auto it = batchers_.find(service); it != batchers_.end()) {
    it->second->ReleaseResults(handles);
  }
}

bool LocalPieceDispatcher::Idle() const {
  return std::all_of(batchers_.begin(), batchers_.end(),
                     [](const auto& it) { return it.second->Idle(); });
}

QueueWait LocalPieceDispatcher::ExpectedWait(TimeUs now,
                                             const std::string& service) const {
  const auto it = batchers_.find(service);
  return it == batchers_.end() ? QueueWait{} : it->second->ExpectedWait(now);
}

double LocalPieceDispatcher::MemoryShareInUse(
    const std::string& service) const {
  const auto it = batchers_.find(service);
  return it == batchers_.end() ? 0 : it->second->MemoryShareInUse();
}

// All are from one replica, which may not be listed any longer.
void LocalPieceDispatcher::OnReleased(const std::vector<std::string>& handles) {
  for (auto& [name, batcher] : batchers_) {
    batcher->OnReleased(handles);
  }
}

void LocalPieceDispatcher::OnReport(
    TimeUs now,
    const std::string& service,
    const ReplicaId& replica,
    const std::optional<ReplicaReport>& report) {
  if (const auto it = batchers_.find(service); it != batchers_.end()) {
    it->second->OnReport(now, replica, report);
  }
}

void LocalPieceDispatcher::OnCallEnd(TimeUs now,
                                     const std::string& service,
                                     BatchId id,
                                     const PieceCallEnd& end) {
  if (const auto it = batchers_.find(service); it != batchers_.end()) {
    it->second->OnCallEnd(now, id, end);
  }
}

void LocalPieceDispatcher::OnReplicaRemoved(TimeUs now,
                                            const ReplicaEntry& replica) {
  if (const auto it = batchers_.find(replica.service); it != batchers_.end()) {
    it->second->OnReplicaRemoved(now, replica.id);
  }
}

void LocalPieceDispatcher::OnReplicaRestarted(TimeUs now,
                                              const ReplicaEntry& replica) {
  if (const auto it = batchers_.find(replica.service); it != batchers_.end()) {
    it->second->OnReplicaRestarted(now, replica.id);
  }
}

void LocalPieceDispatcher::OnTick(TimeUs now) {
  for (auto& [name, batcher] : batchers_) {
    batcher->OnTick(now);
  }
}

}  // namespace acaciachute
