// Tracks the stages of one request: which pieces can run now, which results the
// next stages and the model replica need, and which are needed no longer.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_PROGRESS_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_PROGRESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/client_request.h"
#include "state/serving_config.h"

namespace acaciachute {

class StageProgress {
 public:
  // `pieces` holds the number of pieces per stage and may be shorter than
  // `stages`; the stages beyond its end are skipped. `times` holds the expected
  // duration of each stage.
  StageProgress(const std::vector<StageSpec>& stages,
                const std::vector<std::uint32_t>& pieces,
                const std::vector<DurationUs>& times);

  // Returns the stages that are due: inputs complete, not started yet, and not
  // deferred. Marks them as started.
  //
  // Example for deferring: a stage that takes 0.4 s and produces 1 MB results
  // runs beside a chain of three stages that takes 1.5 s. If both started
  // together, the large results would occupy their replicas' memory while they
  // wait for the chain. So a stage is deferred while the remaining time of the
  // others exceeds its own by more than `kStageLeadTime`.
  std::vector<std::uint32_t> TakeReady();
  // How much earlier than strictly necessary a deferred stage starts. About the
  // duration of one call, so that time spent in its queue delays nothing.
  static constexpr DurationUs kStageLeadTime = 250 * kMillisecond;

  // Shortest time until all stages are done, and shortest time from the end of
  // `stage` until all stages that depend on it are done.
  DurationUs TimeLeft() const;
  DurationUs TimeAfter(std::uint32_t stage) const;
  // Expected duration of the stage; zero if it is skipped.
  DurationUs TimeOf(std::uint32_t stage) const { return stages_[stage].time; }
  // Time for which `TakeReady` defers the stage, if no other stage waits.
  DurationUs DeferredFor(std::uint32_t stage) const;
  bool IsStarted(std::uint32_t stage) const { return stages_[stage].started; }

  std::uint32_t Pieces(std::uint32_t stage) const;
  // Handles of the results of all pieces of all stages that `stage` needs.
  std::vector<std::string> InputsOf(std::uint32_t stage) const;

  // Whether no other stage needs the results that `stage` needs.
  bool OnlyUserOfItsInputs(std::uint32_t stage) const;

  // Records the result of a piece. Returns whether this completed its stage.
  bool OnMade(std::uint32_t stage, std::uint32_t piece, std::string handle);
  bool Complete() const;
  // Whether all pieces of the stage are done.
  bool IsMade(std::uint32_t stage) const { return stages_[stage].done(); }
  // Results of the stages that no other stage depends on, for the model
  // replica.
  std::vector<std::string> FinalResults() const;
  // Total size of the final results in bytes, as configured in the route.
  std::uint64_t FinalBytes() const;
  // Results that no unfinished stage needs; each is returned once.
  std::vector<std::string> TakeUnneeded();
  // All results that `TakeUnneeded` has not returned yet.
  std::vector<std::string> TakeAll();
  // Resets all stages to the beginning, after a result was lost.
  void Restart();

 private:
  struct Stage {
    std::vector<std::uint32_t> after;
    std::vector<std::string> handles;  // Empty until the piece is done.
    std::uint32_t made = 0;
    // From the start of this stage to the end of the last stage that depends on
    // it.
    DurationUs critical_path = 0;
    DurationUs time = 0;
    std::uint64_t result_bytes = 0;  // Per piece.
    bool started = false;
    bool has_dependents = false;
    bool released = false;

    bool done() const { return made == handles.size(); }
  };

  std::vector<Stage> stages_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_PROGRESS_H_
