// The waits of one request at its stages, forecast at admission and as they
// were, for the log.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_STAGE_WAITS_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_STAGE_WAITS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "text.h"
#include "types.h"

namespace acaciachute {

class StageWaits {
 public:
  // Stages that `Text` lists.
  static constexpr std::size_t kMaxListed = 8;

  void OnForecast(std::vector<DurationUs> waits) {
    forecast_ = std::move(waits);
  }
  void OnSubmitted(TimeUs now, std::uint32_t stage) {
    submitted_at_[stage] = now;
  }
  // `time`: of the stage without waiting. Returns by how much the wait exceeded
  // its forecast, which may be negative; empty without a forecast.
  std::optional<DurationUs> OnMade(TimeUs now,
                                   std::uint32_t stage,
                                   DurationUs time) {
    const auto submitted = submitted_at_.find(stage);
    if (submitted == submitted_at_.end() || stage >= forecast_.size()) {
      return std::nullopt;
    }
    const DurationUs wait =
        std::max<DurationUs>(0, now - submitted->second - time);
    actual_[stage] = wait;
    return wait - forecast_[stage];
  }

  // By stage "forecast/actual" in milliseconds, or only the forecast.
  std::string Text() const {
    std::string text;
    for (std::uint32_t n = 0; n < forecast_.size() && n < kMaxListed; ++n) {
      text += StrCat(n == 0 ? "" : " ", n, ":", forecast_[n] / kMillisecond);
      if (const auto it = actual_.find(n); it != actual_.end()) {
        text += StrCat("/", it->second / kMillisecond);
      }
    }
    return text;
  }

 private:
  std::vector<DurationUs> forecast_;
  std::map<std::uint32_t, TimeUs> submitted_at_;
  std::map<std::uint32_t, DurationUs> actual_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_STAGE_WAITS_H_
