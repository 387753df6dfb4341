#include "coordination/stages/stage_progress.h"

#include <algorithm>
#include <utility>

namespace acaciachute {

StageProgress::StageProgress(const std::vector<StageSpec>& stages,
                             const std::vector<std::uint32_t>& pieces,
                             const std::vector<DurationUs>& times) {
  stages_.resize(stages.size());
  for (std::size_t n = 0; n < stages.size(); ++n) {
    stages_[n].after = stages[n].after;
    stages_[n].result_bytes = stages[n].result_bytes;
    stages_[n].handles.resize(n < pieces.size() ? pieces[n] : 0);
    stages_[n].time = stages_[n].handles.empty() ? 0 : times[n];
  }
  // Stages depend only on earlier ones, so each critical path is complete when
  // it is used.
  for (std::size_t n = stages_.size(); n-- > 0;) {
    Stage& stage = stages_[n];
    stage.critical_path += stage.time;
    for (const std::uint32_t needed : stage.after) {
      if (needed < n) {
        stages_[needed].critical_path =
            std::max(stages_[needed].critical_path, stage.critical_path);
      }
    }
  }
  for (const Stage& it : stages_) {
    for (const std::uint32_t needed : it.after) {
      if (needed < stages_.size() && !it.handles.empty()) {
        stages_[needed].has_dependents = true;
      }
    }
  }
}

DurationUs StageProgress::TimeLeft() const {
  DurationUs left = 0;
  for (const Stage& it : stages_) {
    if (!it.done()) {
      left = std::max(left, it.critical_path);
    }
  }
  return left;
}

DurationUs StageProgress::TimeAfter(std::uint32_t stage) const {
  return stages_[stage].critical_path - stages_[stage].time;
}

DurationUs StageProgress::DeferredFor(std::uint32_t stage) const {
  const Stage& it = stages_[stage];
  return it.started ? 0
                    : std::max<DurationUs>(
                          0, TimeLeft() - it.critical_path - kStageLeadTime);
}

std::vector<std::uint32_t> StageProgress::TakeReady() {
  std::vector<std::uint32_t> ready;
  const DurationUs left = TimeLeft();
  for (std::uint32_t n = 0; n < stages_.size(); ++n) {
    Stage& stage = stages_[n];
    if (stage.started || stage.critical_path + kStageLeadTime < left) {
      continue;
    }
    const bool inputs_complete = std::all_of(
        stage.after.begin(), stage.after.end(), [&](std::uint32_t needed) {
          return needed >= stages_.size() || stages_[needed].done();
        });
    if (inputs_complete) {
      stage.started = true;
      ready.push_back(n);
    }
  }
  return ready;
}

std::uint32_t StageProgress::Pieces(std::uint32_t stage) const {
  return static_cast<std::uint32_t>(stages_[stage].handles.size());
}

std::vector<std::string> StageProgress::InputsOf(std::uint32_t stage) const {
  std::vector<std::string> inputs;
  for (const std::uint32_t needed : stages_[stage].after) {
    if (needed < stages_.size()) {
      const auto& handles = stages_[needed].handles;
      inputs.insert(inputs.end(), handles.begin(), handles.end());
    }
  }
  return inputs;
}

bool StageProgress::OnlyUserOfItsInputs(std::uint32_t stage) const {
  const auto& inputs = stages_[stage].after;
  for (std::uint32_t n = 0; n < stages_.size(); ++n) {
    const auto& other = stages_[n].after;
    const bool shares =
        n != stage && !stages_[n].handles.empty() &&
        std::any_of(other.begin(), other.end(), [&](std::uint32_t needed) {
          return std::find(inputs.begin(), inputs.end(), needed) !=
                 inputs.end();
        });
    if (shares) {
      return false;
    }
  }
  return true;
}

bool StageProgress::OnMade(std::uint32_t stage,
                           std::uint32_t piece,
                           std::string handle) {
  if (stage >= stages_.size() || piece >= stages_[stage].handles.size() ||
      !stages_[stage].handles[piece].empty()) {
    return false;
  }
  stages_[stage].handles[piece] = std::move(handle);
  ++stages_[stage].made;
  return stages_[stage].done();
}

bool StageProgress::Complete() const {
  return std::all_of(stages_.begin(), stages_.end(),
                     [](const Stage& it) { return it.started && it.done(); });
}

std::vector<std::string> StageProgress::FinalResults() const {
  std::vector<std::string> results;
  for (const Stage& it : stages_) {
    if (!it.has_dependents) {
      results.insert(results.end(), it.handles.begin(), it.handles.end());
    }
  }
  return results;
}

std::uint64_t StageProgress::FinalBytes() const {
  std::uint64_t bytes = 0;
  for (const Stage& it : stages_) {
    bytes += it.has_dependents ? 0 : it.result_bytes * it.handles.size();
  }
  return bytes;
}

std::vector<std::string> StageProgress::TakeUnneeded() {
  std::vector<std::string> unneeded;
  for (std::uint32_t n = 0; n < stages_.size(); ++n) {
    Stage& stage = stages_[n];
    if (stage.released || !stage.has_dependents || !stage.done()) {
      continue;
    }
    const bool needed =
        std::any_of(stages_.begin(), stages_.end(), [&](const Stage& it) {
          return !it.done() && std::find(it.after.begin(), it.after.end(), n) !=
                                   it.after.end();
        });
    if (!needed) {
      stage.released = true;
      unneeded.insert(unneeded.end(), stage.handles.begin(),
                      stage.handles.end());
    }
  }
  return unneeded;
}

std::vector<std::string> StageProgress::TakeAll() {
  std::vector<std::string> unneeded;
  for (Stage& it : stages_) {
    if (it.released) {
      continue;
    }
    it.released = true;
    for (const auto& handle : it.handles) {
      if (!handle.empty()) {
        unneeded.push_back(handle);
      }
    }
  }
  return unneeded;
}

void StageProgress::Restart() {
  for (Stage& it : stages_) {
    std::fill(it.handles.begin(), it.handles.end(), std::string());
    it.made = 0;
    it.started = false;
    it.released = false;
  }
}

}  // namespace acaciachute
