#include "coordination/local_piece_desk.h"

#include <utility>

namespace acaciachute {

LocalPieceDesk::LocalPieceDesk(const ReplicaDirectory* directory,
                               PieceBatcherOutput* output,
                               BudgetOf budget_of)
    : directory_(directory),
      output_(output),
      budget_of_(std::move(budget_of)) {}

void LocalPieceDesk::SetServices(const ServingConfig& config) {
  for (const auto& [name, service] : config.services()) {
    if (!service.batching) {
      continue;
    }
    auto& batcher = batchers_[name];
    if (batcher == nullptr) {
      batcher = std::make_unique<PieceBatcher>(directory_, budget_of_(name),
                                               output_);
    }
    batcher->SetService(name, *service.batching);
  }
}

void LocalPieceDesk::Submit(TimeUs now, const PieceOrder& order) {
  const auto it = batchers_.find(order.service);
  if (it == batchers_.end()) {
    output_->OnPiece({order.key, PieceOutcome::kNotMade, ""});
    return;
  }
  it->second->Add(now, order);
}

void LocalPieceDesk::Drop(const std::string& request) {
  for (auto& [name, batcher] : batchers_) {
    batcher->Drop(request);
  }
}

DurationUs LocalPieceDesk::ExpectedWait(TimeUs now,
                                        const std::string& service,
                                        std::uint32_t priority) const {
  const auto it = batchers_.find(service);
  return it == batchers_.end() ? 0 : it->second->ExpectedWait(now, priority);
}

void LocalPieceDesk::OnCallEnd(TimeUs now,
                               const std::string& service,
                               BatchId id,
                               const PieceCallEnd& end) {
  if (const auto it = batchers_.find(service); it != batchers_.end()) {
    it->second->OnCallEnd(now, id, end);
  }
}

void LocalPieceDesk::OnReplicaGone(TimeUs now, const ReplicaEntry& replica) {
  if (const auto it = batchers_.find(replica.service); it != batchers_.end()) {
    it->second->OnReplicaGone(now, replica.id);
  }
}

void LocalPieceDesk::OnTick(TimeUs now) {
  for (auto& [name, batcher] : batchers_) {
    batcher->OnTick(now);
  }
}

}  // namespace acaciachute
