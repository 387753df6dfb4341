// Runs the stages of a request one after another and assembles the answer.
//
// Each result carries (request, stage, attempt, sidecar incarnation). Results
// of any other attempt are dropped and counted, and only a complete sequence of
// chunks forms an answer.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_PIPELINE_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_PIPELINE_H_

#include <string>
#include <string_view>
#include <vector>

#include "coordination/admission/load_control.h"
#include "coordination/interface/entry_request.h"
#include "coordination/interface/quarantine.h"
#include "messages.h"
#include "state/metrics.h"
#include "state/random.h"
#include "state/replica_table.h"

namespace acaciachute::detail {

class PipelineOutput {
 public:
  virtual ~PipelineOutput() = default;
  virtual void SendStage(const NodeId& sidecar, const Message& message) = 0;
  virtual void StreamPart(const EntryRequest& request,
                          std::string_view part) = 0;
  virtual void ExportSpan(const Span& span) = 0;
  // The last stage answered with `body`.
  virtual void OnPipelineAnswer(TimeUs now,
                                EntryRequest& request,
                                std::string body) = 0;
  // The request failed and no further attempt is made; `request.may_have_run`
  // says whether it may have run.
  virtual void OnPipelineFailure(TimeUs now,
                                 EntryRequest& request,
                                 Refusal reason,
                                 DurationUs retry_after) = 0;
};

class Pipeline {
 public:
  Pipeline(PipelineOutput* output,
           ReplicaTable* replicas,
           Quarantine* quarantine,
           LoadControl* load,
           Random* random,
           Metrics* metrics)
      : output_(output),
        replicas_(replicas),
        quarantine_(quarantine),
        load_(load),
        random_(random),
        metrics_(metrics) {}

  // Sends the request's current stage to a replica.
  void Start(TimeUs now, EntryRequest& request);
  // `request` is null if the request is no longer in progress.
  void OnChunk(TimeUs now,
               EntryRequest* request,
               const NodeId& from,
               const StageChunk& chunk);
  void OnFailure(TimeUs now,
                 EntryRequest* request,
                 const NodeId& from,
                 const StageFailure& failure);
  // Ends the attempt in progress without an answer. If `spend_retry` is set, a
  // retry is charged to the retry budget.
  void FailAttempt(TimeUs now,
                   EntryRequest& request,
                   Verdict verdict,
                   Refusal reason,
                   DurationUs retry_after,
                   bool spend_retry = true);
  // Cancels the attempt in progress through to the upstream, because no caller
  // waits for it.
  void Cancel(TimeUs now, EntryRequest& request, Refusal reason);

 private:
  Replica* ChooseReplica(TimeUs now, const EntryRequest& request);
  StageCall MakeCall(TimeUs now, const EntryRequest& request) const;
  bool IsCurrentAttempt(const EntryRequest* request,
                        const NodeId& from,
                        const StageKey& key,
                        Incarnation incarnation);
  bool AddChunk(StageAttempt& attempt, const StageChunk& chunk);
  bool StreamNewParts(EntryRequest& request);
  void FinishStage(TimeUs now, EntryRequest& request);
  void EndAttempt(TimeUs now,
                  EntryRequest& request,
                  std::string_view outcome,
                  AttemptEnd end);

  PipelineOutput* const output_;
  ReplicaTable* const replicas_;
  Quarantine* const quarantine_;
  LoadControl* const load_;
  Random* const random_;
  Metrics* const metrics_;
};

}  // namespace acaciachute::detail

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_PIPELINE_H_
