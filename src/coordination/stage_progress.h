// How far one request's stages are: which pieces can be made now, which results
// the next stages and the model replica need, and which are needed no longer.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGE_PROGRESS_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGE_PROGRESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "state/client_call.h"
#include "state/serving_config.h"

namespace acaciachute {

class StageProgress {
 public:
  // `pieces` is by stage and may be shorter than the stages; what is missing is
  // left out.
  StageProgress(const std::vector<StageSpec>& stages,
                const std::vector<std::uint32_t>& pieces);

  // Stages whose needs are met and that were not begun; they count as begun.
  std::vector<std::uint32_t> TakeReady();
  std::uint32_t Pieces(std::uint32_t stage) const;
  // Results of all pieces of all stages that `stage` needs.
  std::vector<std::string> InputsOf(std::uint32_t stage) const;

  void OnMade(std::uint32_t stage, std::uint32_t piece, std::string handle);
  bool Complete() const;
  // Results of the stages that no other stage follows, for the model replica.
  std::vector<std::string> FinalResults() const;
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
    bool begun = false;
    bool followed = false;
    bool released = false;

    bool done() const { return made == handles.size(); }
  };

  std::vector<Stage> stages_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGE_PROGRESS_H_
