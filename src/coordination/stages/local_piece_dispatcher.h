// Runs all pieces through this process's own batchers, one per service.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_LOCAL_PIECE_DISPATCHER_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_LOCAL_PIECE_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/stages/piece_batcher.h"
#include "coordination/stages/piece_dispatcher.h"

namespace acaciachute {

class LocalPieceDispatcher : public PieceDispatcher {
 public:
  LocalPieceDispatcher(const ReplicaDirectory* directory,
                       PieceBatcherOutput* output,
                       RetryBudgetOf budget_of);

  // A service that is no longer listed keeps its batcher.
  void SetServices(const ServingConfig& config);

  void Submit(TimeUs now, std::vector<PieceTask> tasks) override;
  void CancelRequest(const std::string& request) override;
  void CancelStage(const std::string& request, std::uint32_t stage) override;
  void ReleaseResults(const std::vector<std::string>& handles) override;
  void FreeForService(const std::string& service,
                      const std::vector<std::string>& handles);
  QueueWait ExpectedWait(TimeUs now, const std::string& service) const override;
  // See `PieceBatcher::MemoryShareInUse`.
  double MemoryShareInUse(const std::string& service) const;

  // A replica has released these results.
  void OnReleased(const std::vector<std::string>& handles);
  void OnReport(TimeUs now,
                const std::string& service,
                const ReplicaId& replica,
                const std::optional<ReplicaReport>& report);
  void OnCallEnd(TimeUs now,
                 const std::string& service,
                 BatchId id,
                 const PieceCallEnd& end);
  void OnReplicaRemoved(TimeUs now, const ReplicaEntry& replica);
  void OnReplicaRestarted(TimeUs now, const ReplicaEntry& replica);
  void OnTick(TimeUs now);
  const std::map<std::string, std::unique_ptr<PieceBatcher>>& batchers() const {
    return batchers_;
  }
  // Whether no piece is queued or running.
  bool Idle() const;

 private:
  const ReplicaDirectory* const directory_;
  PieceBatcherOutput* const output_;
  const RetryBudgetOf budget_of_;
  std::map<std::string, std::unique_ptr<PieceBatcher>> batchers_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_LOCAL_PIECE_DISPATCHER_H_
