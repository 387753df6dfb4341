// How far one request's stages are: which pieces can be made now, which results
// the next stages and the model replica need, and which are needed no longer.
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
  // `pieces` is by stage and may be shorter than the stages; what is missing is
  // left out.
  // `times` is how long each stage takes, by stage.
  StageProgress(const std::vector<StageSpec>& stages,
                const std::vector<std::uint32_t>& pieces,
                const std::vector<DurationUs>& times);

  // Stages whose needs are met and that were not begun; they count as begun.
  //
  // Load pattern: one stage takes 0.4 s and makes results of 1 MB, beside a
  // chain of three that takes 1.5 s. Begun together, the large results fill
  // their replicas' memory while they wait for the chain. A stage is put off
  // while the others need longer than it does by `kAhead`.
  std::vector<std::uint32_t> TakeReady();
  // About one call of a stage, so that waiting in its queue delays nothing.
  static constexpr DurationUs kAhead = 250 * kMillisecond;

  // The least time until all stages are done, and that from the end of `stage`
  // until the end of those that need it.
  DurationUs TimeLeft() const;
  DurationUs TimeAfter(std::uint32_t stage) const;

  std::uint32_t Pieces(std::uint32_t stage) const;
  // Results of all pieces of all stages that `stage` needs.
  std::vector<std::string> InputsOf(std::uint32_t stage) const;

  // Whether no other stage needs the results that `stage` needs.
  bool OnlyUserOfItsInputs(std::uint32_t stage) const;

  // Whether that made its stage whole.
  bool OnMade(std::uint32_t stage, std::uint32_t piece, std::string handle);
  bool Complete() const;
  // Whether nothing of the stage is left to be made.
  bool IsMade(std::uint32_t stage) const { return stages_[stage].done(); }
  // Results of the stages that no other stage follows, for the model replica.
  std::vector<std::string> FinalResults() const;
  // Their bytes, as the route states them.
  std::uint64_t FinalBytes() const;
  // Results that only finished stages needed; each is given once.
  std::vector<std::string> TakeUnneeded();
  // All results that were not yet given by `TakeUnneeded`.
  std::vector<std::string> TakeAll();
  // Begins again: some result is gone.
  void Restart();

 private:
  struct Stage {
    std::vector<std::uint32_t> after;
    std::vector<std::string> handles;  // Empty until made.
    std::uint32_t made = 0;
    DurationUs path =
        0;  // From its begin to the end of the last that needs it.
    DurationUs time = 0;
    std::uint64_t result_bytes = 0;  // Of one piece.
    bool begun = false;
    bool followed = false;
    bool released = false;

    bool done() const { return made == handles.size(); }
  };

  std::vector<Stage> stages_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_STAGE_PROGRESS_H_
