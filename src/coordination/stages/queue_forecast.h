// Forecasts how long a piece waits in the queue of one batching service.
//
// Work is counted in microseconds of a replica that runs well filled calls: a
// piece with a large result leaves room for fewer others in its call, so it is
// more work than one with a small result. The speed of the queue is the work
// that starts per microsecond. A forecast is the work ahead by the speed that
// more urgent arrivals leave, corrected by what earlier forecasts of the same
// priority came to.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_QUEUE_FORECAST_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_QUEUE_FORECAST_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/stages/coming_work.h"
#include "coordination/stages/queue_rate.h"
#include "state/piece.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

class QueueForecast {
 public:
  // One for each priority, and one for requests that are late already.
  static constexpr std::size_t kLevels = QueueWait::kPriorityLevels + 1;
  static constexpr std::size_t kLateLevel = kLevels - 1;
  using Levels = std::array<double, kLevels>;

  // Arrivals older than this hardly count in their rate.
  static constexpr DurationUs kArrivalWindow = kSecond;
  // Share of the speed that is taken to remain beside more urgent arrivals.
  static constexpr double kMinSpeedShare = 0.1;
  // Outcomes of forecasts count for this long, and at most this many.
  static constexpr DurationUs kOutcomeWindow = kSecond;
  static constexpr std::size_t kMaxOutcomes = 256;
  // The share of the outcomes that the corrected forecast covers.
  static constexpr double kCoveredShare = 0.9;
  // Below this number of outcomes of a level, those of all levels count.
  static constexpr std::size_t kMinLevelOutcomes = 5;
  // Outcomes of one, that is, of correct forecasts, that are added, so that a
  // single request does not determine the correction.
  static constexpr std::size_t kAddedOutcomes = 9;
  static constexpr double kMinCorrection = 0.5;
  static constexpr double kMaxCorrection = 4;
  // Period at which the corrections are computed.
  static constexpr DurationUs kCorrectionPeriod = 50 * kMillisecond;
  // Forecast while no replica takes calls.
  static constexpr DurationUs kNoReplicaWait = 4 * kSecond;

  // Longest time for which a report of the queue is used before the next.
  static constexpr DurationUs kReportAge = 150 * kMillisecond;
  static constexpr DurationUs kMaxForecast = 3600 * kSecond;

  // What the batcher sees of its queue.
  struct Queue {
    std::size_t replicas = 0;   // That take calls.
    DurationUs until_free = 0;  // Time until the next call starts.
    Levels ahead{};             // Waiting work by level.
  };
  // How far a group's wait went beyond its forecast.
  struct Outcome {
    TimeUs at = 0;
    std::size_t level = 0;
    double ratio = 1;
  };

  void SetLimits(const BatchLimits& limits) { limits_ = limits; }
  // Work of a piece with a result of this size.
  static double WorkOf(const BatchLimits& limits, std::uint64_t result_bytes);
  double WorkOf(std::uint64_t result_bytes) const {
    return WorkOf(limits_, result_bytes);
  }
  static std::size_t LevelOf(std::uint32_t priority, bool late) {
    return late ? kLateLevel : QueueWait::Level(priority);
  }

  // A piece that was not queued before is queued; `queue`: before it. Pieces of
  // one request and stage form a group.
  void OnQueued(TimeUs now,
                const Queue& queue,
                const PieceTask& task,
                std::size_t level);
  // Whether a piece of the group waits.
  bool Waits(const PieceKey& key) const {
    return groups_.contains({key.request, key.stage});
  }
  // A piece that was queued by `OnQueued` starts for the first time.
  void OnStarted(TimeUs now, const PieceKey& key);
  // A piece of the group expires or becomes late.
  void OnGroupLeft(TimeUs now, const PieceKey& key);
  // The request is cancelled; its forecasts have no outcome.
  void OnRequestLeft(const std::string& request);
  // A call started with this work.
  void OnCallStarted(TimeUs now, double work, bool more_waiting);
  void OnTick(TimeUs now);

  void Announce(TimeUs now, const ComingPieces& coming);

  QueueWait Expect(TimeUs now, const Queue& queue) const;
  // Factor by which forecasts of the level are corrected.
  double Correction(std::size_t level) const { return corrections_[level]; }

 private:
  using GroupKey = std::pair<std::string, std::uint32_t>;
  struct Group {
    std::size_t level = 0;
    TimeUs queued_at = 0;
    double forecast = 0;  // Without correction.
    std::uint32_t waiting = 0;
  };

  double Speed(TimeUs now, const Queue& queue) const;
  // Work of more urgent levels that arrives per microsecond.
  double UrgentArrivals(TimeUs now, std::size_t level) const;
  // By how much the wait grows until the next report, as more work arrives than
  // starts.
  double Growth(TimeUs now, const Queue& queue, std::size_t level) const;
  // Without correction.
  double RawWait(TimeUs now, const Queue& queue, std::size_t level) const;
  DurationUs CorrectedWait(TimeUs now,
                           const Queue& queue,
                           std::size_t level) const;
  // Differences of less than a call are no error of a forecast.
  double Granularity() const;
  double RatioOf(TimeUs now, const Group& group) const;
  void Record(TimeUs now, const Group& group);
  void RecordIfExceeded(TimeUs now, const Group& group);
  // The ratios of the outcomes of the level and of the groups that have
  // exceeded their forecasts.
  std::vector<double> RatiosOf(TimeUs now, std::size_t level) const;
  double CorrectionOf(TimeUs now, std::size_t level) const;

  BatchLimits limits_;
  QueueRate rate_;
  ComingWork coming_;
  std::map<GroupKey, Group> groups_;
  // Work that arrived, decaying with `kArrivalWindow` since `arrivals_at_`.
  Levels arrivals_{};
  TimeUs arrivals_at_ = 0;
  std::deque<Outcome> outcomes_;
  Levels corrections_ = [] {
    Levels ones;
    ones.fill(1);
    return ones;
  }();
  TimeUs next_correction_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_QUEUE_FORECAST_H_
